//! The messages between actors, one type each, in one file by receiver. Imports no actor.

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
