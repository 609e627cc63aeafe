//! What the dispatcher receives from all other actors.

use aldermill_flow_control::Peer;
use aldermill_routing::{Handle, MemberId, MemberReport, Micros, Verdict};
use aldermill_site_drain::Plan;
use aldermill_site_link::{Event, Said};
use aldermill_wire::statement::Comment;
use aldermill_zone_failover::Lean;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{ClientId, ClientMessage, ObservationSummary, Rows};
use crate::discovery::endpoint_list::EndpointList;
use crate::shadow::ShadowRouter;

/// Names one connection to another gateway.
pub type LinkId = u64;

/// What other actors tell the dispatcher.
pub enum DispatcherMessage {
    ClientRequest(ClientRequest),
    ClientLeft(ClientLeft),
    AttemptFinished(AttemptFinished),
    HealthCheckFinished(HealthCheckFinished),
    /// The shadow evaluation from now on, if any.
    ShadowReplaced(Option<Box<ShadowRouter>>),
    Link(LinkMessage),
    /// To be answered once no remote request is under way.
    AwaitRemoteEnd(oneshot::Sender<()>),
    /// To be answered with what is believed of sites and links, as JSON.
    DescribeSites(oneshot::Sender<String>),
    FleetSize(FleetSize),
    /// To be answered with what was observed since this was last asked.
    TakeObservations(oneshot::Sender<ObservationSummary>),
    /// What was decided in common for this process's zone, by group.
    ZoneDirectives(Vec<(u64, Lean)>),
    /// What was decided in common of sites that drain.
    SiteDrainPlans(Vec<Plan>),
    /// This member found no descriptor free for a connection.
    DescriptorsExhausted(MemberId),
}

/// A client no longer waits for its request.
pub struct ClientLeft {
    pub client: ClientId,
}

/// By how many processes the available capacity of members is shared.
pub struct FleetSize {
    /// Processes that share members which are warm.
    pub living: usize,
    /// Processes that share members which are warming up.
    pub at_cold: usize,
}

/// What the actor of a link tells the dispatcher.
pub struct LinkMessage {
    pub link: LinkId,
    pub event: LinkEvent,
}

/// What happened to a link.
pub enum LinkEvent {
    /// It stands, and the other side has greeted as one that it may be.
    Up {
        /// What is sent here goes over the link.
        outbox: mpsc::Sender<Said>,
        /// For whom buffer space for its values is asked.
        holder: Peer,
    },
    Heard(Event),
    Lost,
}

/// A client's statement with its comment, once it was received whole.
pub struct ClientRequest {
    pub client: ClientId,
    /// For whom buffer space for its answer is asked.
    pub holder: Peer,
    /// Where its answer goes.
    pub mailbox: mpsc::Sender<ClientMessage>,
    /// On the router's clock.
    pub arrived: Micros,
    pub statement: Vec<u8>,
    pub comment: Comment,
    /// How long ago the session's last write was committed, in microseconds, where another gateway says so.
    pub written_ago: Option<Micros>,
}

impl ClientRequest {
    /// How long before `now` the session's last write was committed; below zero where this process's clock is behind.
    /// The client's own word comes first: as long as both stand on one clock it is compared with positions as told.
    pub fn last_write(&self, now: Micros) -> Option<Micros> {
        let told = self.comment.after.map(|after| now.saturating_sub(millis(after)));
        told.or(self.written_ago)
    }
}

fn millis(millis: u64) -> Micros {
    Micros::try_from(millis).map_or(Micros::MAX, |millis| millis.saturating_mul(1000))
}

/// How an attempt ended.
pub struct AttemptFinished {
    pub request: Handle,
    pub verdict: Verdict,
    /// When the attempt was decided.
    pub decided_at: Instant,
    /// Unstalled time since then, in microseconds.
    pub elapsed: Micros,
    pub report: MemberReport,
    pub response: AttemptResponse,
    /// `None` where the attempt never reached its member's actor.
    pub replica_reports: Option<ReplicaReports>,
}

/// How a health check ended.
pub struct HealthCheckFinished {
    pub verdict: Verdict,
    /// Unstalled time since it was decided, in microseconds.
    pub elapsed: Micros,
    pub report: MemberReport,
    pub replica_reports: ReplicaReports,
}

/// How often a member has said that it is a replica, the answer at hand included.
#[derive(Clone, Copy)]
pub struct ReplicaReports {
    pub member: MemberId,
    pub count: u64,
}

/// What an attempt brought.
pub enum AttemptResponse {
    None,
    /// Where it was served: the messages that carry the value.
    Rows(Rows),
    /// It began an answer that nobody has buffer space for, on the client's side: no fault of the member's.
    TooLarge,
}

/// What the discovery watch tells the dispatcher.
pub enum ListUpdate {
    List(EndpointList),
    Unavailable,
}
