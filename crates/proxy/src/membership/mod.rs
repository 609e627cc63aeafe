//! The actor side of the package `membership`: the datagram socket between the proxies of a fleet.

mod actor;

pub use actor::*;
