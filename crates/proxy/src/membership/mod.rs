//! The actor side of the package `membership`: the datagram socket between the proxies of a fleet, the status socket, and
//! the way from coordination to the dispatcher.

mod actor;
mod coordination_runner;
mod quota_divisors;
mod start;
mod status;
mod status_socket;

pub use actor::MembershipActor;
pub use start::{CoordinationSetup, MembershipSetup};
