//! Members: one actor per member, which owns the connections to it and runs queries on them.

mod actor;
mod connection;
mod last_heard;
mod outcome;
mod pool;
mod query;
mod report;
mod response;
mod symptom_log;

pub use actor::{MemberActor, MemberSharedState};
pub use last_heard::LastHeard;
