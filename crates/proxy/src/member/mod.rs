//! The members' side: one actor a member, its connections and the queries on them.

mod actor;
mod connection;
mod last_heard;
mod query;

pub use actor::Member;
pub use last_heard::LastHeard;
