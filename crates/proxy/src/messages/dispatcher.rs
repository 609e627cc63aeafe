//! What the dispatcher receives from all other actors.

use aldermill_flow_control::PeerId;
use aldermill_routing::{MemberId, MemberReport, Micros, RequestHandle, Verdict};
use aldermill_site_drain::Plan;
use aldermill_site_link::{Inbound, Outbound};
use aldermill_wire::statement::Comment;
use aldermill_zone_failover::ZoneDirective;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{ClientMessage, ClientRequestId, ObservationSummary, Rows};
use crate::discovery::endpoint_list::EndpointList;
use crate::shadow::ShadowRouter;

/// Identifies one connection to another gateway for as long as this process runs.
pub type LinkId = u64;

/// What other actors send to the dispatcher.
pub enum DispatcherMessage {
    /// A client sent a statement.
    ClientRequest(ClientRequest),
    /// A client left before its answer.
    ClientLeft(ClientLeft),
    /// An attempt ended.
    AttemptFinished(AttemptFinished),
    /// A health check ended.
    HealthCheckFinished(HealthCheckFinished),
    /// The settings that are evaluated in shadow from now on, if any.
    ShadowReplaced(Option<Box<ShadowRouter>>),
    /// A link came up, carried something or was lost.
    Link(LinkMessage),
    /// To be answered once no remote request is in flight.
    AwaitRemoteRequests(oneshot::Sender<()>),
    /// To be answered with the state of sites and links, as JSON.
    DescribeSites(oneshot::Sender<String>),
    /// The number of proxies that share the members has changed.
    FleetSize(FleetSize),
    /// To be answered with what was observed since this was last asked.
    TakeObservations(oneshot::Sender<ObservationSummary>),
    /// The zone failover directives in force that shift reads of this process's zone.
    ZoneDirectives(Vec<ZoneDirective>),
    /// The site drain directives in force.
    SiteDrainPlans(Vec<Plan>),
    /// This member's actor found no descriptor free for a new connection.
    DescriptorsExhausted(MemberId),
}

/// A client no longer waits for its request.
pub struct ClientLeft {
    /// The statement that it no longer waits for.
    pub request_id: ClientRequestId,
}

/// By how many processes the available capacity of members is shared.
pub struct FleetSize {
    /// Processes that share members which are warm.
    pub sharing_warm: usize,
    /// Processes that share members which are warming up.
    pub sharing_warming_up: usize,
}

/// What the actor of a link sends to the dispatcher.
pub struct LinkMessage {
    /// The link that it is about.
    pub link: LinkId,
    /// What happened to it.
    pub event: LinkEvent,
}

/// What happened to a link.
pub enum LinkEvent {
    /// It is up: the other side sent a handshake that is allowed here.
    Up {
        /// What is sent here goes over the link.
        outbox: mpsc::Sender<Outbound>,
        /// The link's connection, for which buffer space for its values is reserved.
        peer: PeerId,
    },
    /// The other side sent something.
    Received(Inbound),
    /// It is down.
    Lost,
}

/// A client's statement with its comment, received whole.
pub struct ClientRequest {
    /// Names it to the client's actor.
    pub request_id: ClientRequestId,
    /// The client's connection, for which buffer space for the answer is reserved.
    pub peer: PeerId,
    /// Where its answer goes.
    pub mailbox: mpsc::Sender<ClientMessage>,
    /// When it was received, on the router's clock.
    pub received_at: Micros,
    /// Its text, in bytes as the client sent them.
    pub statement: Vec<u8>,
    /// The comment that the statement begins with.
    pub comment: Comment,
    /// How long ago the session's last write was committed, in microseconds, where another gateway says so.
    pub last_write_age: Option<Micros>,
}

impl ClientRequest {
    /// How long before `now` the session's last write was committed, in microseconds; below zero where this process's
    /// clock is behind. What the client states comes first: it is a time on the members' clock, as their positions are, so
    /// that both compare as they were stated.
    pub fn last_write_age_at(&self, now: Micros) -> Option<Micros> {
        let stated = self.comment.min_position_ms.map(|after| now.saturating_sub(millis_to_micros(after)));
        stated.or(self.last_write_age)
    }
}

/// Milliseconds as microseconds, capped at `Micros::MAX`.
fn millis_to_micros(millis: u64) -> Micros {
    Micros::try_from(millis).map_or(Micros::MAX, |millis| millis.saturating_mul(1000))
}

/// How an attempt ended.
pub struct AttemptFinished {
    /// The attempt, by the router's name for it.
    pub request: RequestHandle,
    /// What its end means for the request.
    pub verdict: Verdict,
    /// When the attempt was decided.
    pub decided_at: Instant,
    /// Unstalled time since then, in microseconds.
    pub elapsed: Micros,
    /// What the response says of its member.
    pub report: MemberReport,
    /// What is passed on to the client.
    pub response: AttemptResponse,
    /// `None` where the attempt never reached its member's actor.
    pub replica_reports: Option<ReplicaReports>,
}

/// How a health check ended.
pub struct HealthCheckFinished {
    /// What its end means.
    pub verdict: Verdict,
    /// Unstalled time since it was decided, in microseconds.
    pub elapsed: Micros,
    /// What the response says of its member.
    pub report: MemberReport,
    /// As counted when it ended.
    pub replica_reports: ReplicaReports,
}

/// How many responses of a member have said that it is a replica, the one at hand included.
///
/// A write is sent only while this count is what it was at the decision: a change shows that the member was demoted.
#[derive(Clone, Copy)]
pub struct ReplicaReports {
    /// The member that they came from.
    pub member: MemberId,
    /// Their number since the member's actor was started.
    pub count: u64,
}

/// What an attempt brought for the client.
pub enum AttemptResponse {
    /// Nothing to pass on.
    None,
    /// The messages that carry the value.
    Rows(Rows),
    /// The response began, and no buffer space was to be had for it on behalf of the client. The member is not to blame.
    NoBufferSpace,
}

/// What the discovery watch sends to the dispatcher.
pub enum ListUpdate {
    /// The whole endpoint list, or what has changed in it.
    Received(EndpointList),
    /// Discovery cannot be reached, where the list is fetched only on request.
    Unavailable,
}
