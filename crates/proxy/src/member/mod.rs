//! The members' side: one actor a member, its pool of connections and the queries on them.

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
