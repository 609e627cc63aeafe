//! Messages to the dispatcher from all other actors.

use std::rc::Rc;

use aldermill_flow_control::PeerId;
use aldermill_routing::{MemberId, MemberReport, Micros, RequestHandle, Verdict};
use aldermill_site_drain::Plan;
use aldermill_site_link::{Inbound, Outbound};
use aldermill_wire::statement::Comment;
use aldermill_zone_failover::ZoneDirective;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Cancellation, ClientMessage, ClientRequestId, ObservationSummary, Rows};
use crate::client::PipelineCharge;
use crate::discovery::endpoint_list::EndpointList;
use crate::flow_control::BufferReservation;
use crate::shadow::ShadowRouter;

/// Identifies a link, which is a connection to another gateway, for as long as this process runs.
pub type LinkId = u64;

/// A message from another actor to the dispatcher.
pub enum DispatcherMessage {
    /// A client sent a statement.
    ClientRequest(ClientRequest),
    /// A client left before its request was answered.
    ClientLeft(ClientLeft),
    /// An attempt ended.
    AttemptFinished(AttemptFinished),
    /// A health check ended.
    HealthCheckFinished(HealthCheckFinished),
    /// The shadow evaluation was replaced by this one, or ended if `None`.
    ShadowReplaced(Option<Box<ShadowRouter>>),
    /// A link came up, received a message or was lost.
    Link(LinkMessage),
    /// Asks for a reply once no remote request is open.
    AwaitRemoteRequests(oneshot::Sender<()>),
    /// Asks for the state of sites and links, as JSON.
    DescribeSites(oneshot::Sender<String>),
    /// The number of proxies that share the members has changed.
    FleetSize(FleetSize),
    /// Asks for a summary of the recent observations, which ends a reporting interval. The reply channel is
    /// dropped if this process keeps no observations.
    TakeObservations(oneshot::Sender<ObservationSummary>),
    /// The zone failover directives in force that shift reads away from this process's zone.
    ZoneDirectives(Vec<ZoneDirective>),
    /// The site drain directives in force.
    SiteDrainPlans(Vec<Plan>),
    /// The actor of this member found no free descriptor for a new connection.
    DescriptorsExhausted(MemberId),
}

/// Notice that a client no longer waits for its requests.
pub struct ClientLeft {
    /// The ids of the abandoned requests.
    pub request_ids: Vec<ClientRequestId>,
}

/// The number of proxies that share the available capacity of members.
pub struct FleetSize {
    /// The number of proxies that share members that are warm.
    pub sharing_warm: usize,
    /// The number of proxies that share members that are warming up.
    pub sharing_warming_up: usize,
}

/// A message from the actor of a link to the dispatcher.
pub struct LinkMessage {
    /// The link that the event concerns.
    pub link: LinkId,
    /// What happened to the link.
    pub event: LinkEvent,
}

/// An event of a link.
pub enum LinkEvent {
    /// The link is up: the other side sent a handshake that was accepted.
    Up {
        /// The channel for messages to be sent over the link.
        outbox: mpsc::Sender<Outbound>,
        /// The flow-control id of the link's connection, for which buffer space for received values is
        /// reserved.
        peer: PeerId,
    },
    /// The other side sent a message.
    Received(Inbound),
    /// The link is down.
    Lost,
}

/// A client's request: a statement with its comment, received in full.
pub struct ClientRequest {
    /// Identifies the request to the client's actor.
    pub request_id: ClientRequestId,
    /// The flow-control id of the client's connection, for which buffer space for the answer is reserved.
    pub peer: PeerId,
    /// The mailbox of the client's actor, which receives the answer.
    pub mailbox: mpsc::Sender<ClientMessage>,
    /// The time at which the statement was received, in microseconds on the router's clock.
    pub received_at: Micros,
    /// The text of the statement, with the comment, in the bytes that the client sent.
    pub statement: Vec<u8>,
    /// The parsed comment at the start of the statement.
    pub comment: Comment,
    /// The time from the commit of the session's last write to `received_at`, in microseconds, as another
    /// gateway stated it; `None` if it stated none or the request came from a client.
    pub last_write_age: Option<Micros>,
    /// Number of earlier requests of the connection that were not answered yet when this one arrived; zero if it came
    /// from another gateway.
    pub client_backlog: usize,
    /// Set once the client has left. No attempt of the request begins from then on.
    pub client_gone: Cancellation,
    /// Memory of the statement and its response; `None` if the request came from another gateway.
    pub _pipeline_charge: Option<Rc<PipelineCharge>>,
    /// Buffer space of a large statement, in use for as long as anybody holds the request, whether or not its client
    /// is still connected; `None` if the statement is small.
    pub _statement_reservation: Option<BufferReservation>,
}

impl ClientRequest {
    /// Returns the position on the members' clock that a read must see, as the client states it; `None` if it
    /// states none.
    pub fn min_position(&self) -> Option<Micros> {
        self.comment.min_position_ms.map(millis_to_micros)
    }

    /// Returns the time from the commit of the session's last write to `now`, in microseconds; `None` if no
    /// other gateway stated it.
    pub fn last_write_age_at(&self, now: Micros) -> Option<Micros> {
        self.last_write_age.map(|age| age + (now - self.received_at))
    }
}

/// Converts milliseconds to microseconds, capped at `Micros::MAX`.
fn millis_to_micros(millis: u64) -> Micros {
    Micros::try_from(millis).map_or(Micros::MAX, |millis| millis.saturating_mul(1000))
}

/// The end of an attempt.
pub struct AttemptFinished {
    /// The router's handle of the request that the attempt was for.
    pub request: RequestHandle,
    /// The result of the attempt.
    pub verdict: Verdict,
    /// The time at which the attempt was decided on.
    pub decided_at: Instant,
    /// The time from the decision to the end of the attempt without stalls of this process, in microseconds.
    pub elapsed: Micros,
    /// What the response says of its member.
    pub report: MemberReport,
    /// The response for the client.
    pub response: AttemptResponse,
    /// The member's replica reports, counted when the attempt ended; `None` if the attempt never reached the
    /// member's actor.
    pub replica_reports: Option<ReplicaReports>,
}

/// The end of a health check.
pub struct HealthCheckFinished {
    /// The result of the health check.
    pub verdict: Verdict,
    /// The time from the decision to the end of the health check without stalls of this process, in
    /// microseconds.
    pub elapsed: Micros,
    /// What the response says of its member.
    pub report: MemberReport,
    /// The member's replica reports, counted when the health check ended.
    pub replica_reports: ReplicaReports,
}

/// The number of a member's responses that said that the member is a replica, including the response being
/// reported.
///
/// A write is sent only if this count has not changed since the decision, since a change shows that the
/// member has been demoted.
#[derive(Clone, Copy)]
pub struct ReplicaReports {
    /// The member that sent the responses.
    pub member: MemberId,
    /// The number of such responses since the member's actor was started.
    pub count: u64,
}

/// The response of an attempt, for the client.
pub enum AttemptResponse {
    /// There is nothing to forward.
    None,
    /// The messages that carry the value.
    Rows(Rows),
    /// A response arrived, but no buffer space could be reserved for it on behalf of the client. This is not
    /// the member's fault.
    NoBufferSpace,
}

/// A message from the discovery watcher to the dispatcher.
pub enum ListUpdate {
    /// The full endpoint list, or the changes to it.
    Received(EndpointList),
    /// Discovery cannot be reached. Sent only if the list is fetched on request.
    Unavailable,
}
