//! The messages between actors: one type for each receiving actor, in a file of its own, and the types that
//! they carry. Nothing here imports an actor.

mod client;
mod dispatcher;
mod member;
mod observations;

pub use client::{Answer, ClientMessage, ClientRequestId, Rows};
pub use dispatcher::{
    AttemptFinished, AttemptResponse, ClientLeft, ClientRequest, DispatcherMessage, FleetSize,
    HealthCheckFinished, LinkEvent, LinkId, LinkMessage, ListUpdate, ReplicaReports,
};
pub use member::{Attempt, Cancellation, MemberCommand, PoolUse, Query};
pub use observations::{ObservationSummary, SiteObservations};
