//! Trials of one proxy with little memory and few descriptors beside hostile clients: ordinary clients must be served
//! as if the hostile ones were not there, and the process must stay within its limits.

mod attack;
mod behaviour;
mod drawn;
mod ids;
mod members;
mod ordinary;
mod report;
mod trial;

pub use attack::HostileGroup;
pub use behaviour::Behaviour;
pub use members::MemberTrouble;
pub use report::Report;
pub use trial::{SignalPlan, Trial};
