//! Actor for the `membership` crate. It owns the datagram socket between the proxies of a fleet and the
//! status socket, and connects coordination with the other proxies and with the dispatcher.

mod actor;
mod coordination_runner;
mod quota_divisors;
mod start;
mod status;
mod status_socket;

pub use actor::MembershipActor;
pub use start::{CoordinationSetup, MembershipSetup};
