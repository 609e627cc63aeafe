//! What actors say to each other, one type a message. Imports no actor.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::Peer;
use aldermill_routing::{Handle, MemberId, MemberReport, Micros, Validity, Verdict};
use aldermill_site_drain::Plan;
use aldermill_site_link::{Event, Said};
use aldermill_site_routing::Opens;
use aldermill_wire::pg;
use aldermill_wire::statement::Comment;
use aldermill_zone_failover::{Lean, Row};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::discovery::endpoint_list::EndpointList;
use crate::flow_control::BufferReservation;
use crate::shadow::ShadowRouter;

/// Names a statement of a client, new for each.
pub type ClientId = u64;

/// Names one connection to another gateway.
pub type LinkId = u64;

/// What other actors tell the dispatcher.
pub enum DispatcherMessage {
    ClientRequest(ClientRequest),
    ClientLeft(ClientLeft),
    AttemptFinished(AttemptFinished),
    HealthCheckFinished(HealthCheckFinished),
    /// The settings that are on trial from now on, if any.
    TrialReplaced(Option<Box<ShadowRouter>>),
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

/// What a process observed of late, for those who decide in common.
#[derive(Default)]
pub struct ObservationSummary {
    /// The span that `rows` were observed over, in microseconds.
    pub over: Micros,
    /// Ends of attempts, by group and zone.
    pub rows: Vec<Row>,
    /// By group, an encoded summary of which keys cost what.
    pub keys: Vec<(u64, Vec<u8>)>,
    /// Present where the process is a gateway.
    pub site: Option<SiteObservations>,
}

/// What a gateway observed of its own site, the round trips to others, and what it has of sites that drain.
#[derive(Default)]
pub struct SiteObservations {
    /// The own site's name.
    pub site: String,
    /// The span that this was observed over, in microseconds.
    pub over: Micros,
    /// Requests that ended with the router here.
    pub ended: u32,
    /// Those served within their latency objective.
    pub in_time: u32,
    /// Those that would go elsewhere with their sessions.
    pub bound: u32,
    /// By the other site's name, in microseconds.
    pub round_trips: Vec<(String, Micros)>,
    /// What is still open of sites that drain.
    pub open: Opens,
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

/// The messages that carry a value, and the buffer space reserved for them where they are large.
#[derive(Default)]
pub struct Rows {
    pub pieces: Vec<Vec<u8>>,
    pub room: Option<BufferReservation>,
}

/// What the dispatcher and the listener tell a client's actor.
pub enum ClientMessage {
    Answer(ClientId, Answer),
    /// Close the connection if nothing is under way on it.
    Yield,
}

/// The one answer of a request.
pub enum Answer {
    Served(Rows),
    Rejected {
        /// The retry-after, in microseconds.
        cool_down: Micros,
    },
    Failed,
    /// Not taken: the statement names what is not there.
    Wrong(&'static str),
}

/// What the dispatcher asks of a member's actor.
pub enum MemberCommand {
    Send(Attempt),
    HealthCheck {
        sent: Instant,
        until: Instant,
    },
    /// The member's process is another one, or reached elsewhere: old connections are of no use.
    Renew(SocketAddr),
    /// Others need descriptors: close an idle connection.
    Shed,
    /// The member has few connections to spare: close all idle ones.
    CloseIdle,
}

/// An attempt for a member's actor to send.
pub struct Attempt {
    pub handle: Handle,
    /// Its statement is written when it leaves: it tells the member the time that the client has left then.
    pub request: Rc<ClientRequest>,
    pub withdrawal: Withdrawal,
    /// For whom buffer space for the answer is asked, and whether the request's class is the best paid.
    pub holder: (Peer, bool),
    /// When it was decided.
    pub sent: Instant,
    /// When it times out.
    pub until: Instant,
    /// On a new connection, the idle ones being closed.
    pub afresh: bool,
    /// Whether it may still leave.
    pub validity: Validity,
    /// How often the member had been heard to say that it is a replica, when this was decided.
    pub replica_words: u64,
}

/// Set once nobody waits for a request any more: a first attempt or a retry that has not left by then is not to
/// leave, whatever it waits for.
#[derive(Clone, Default)]
pub struct Withdrawal(Rc<Cell<bool>>);

impl Withdrawal {
    pub fn set(&self) {
        self.0.set(true);
    }

    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// What the discovery watch tells the dispatcher.
pub enum ListUpdate {
    List(EndpointList),
    Unavailable,
}

/// Statements up to this size, in bytes, go out in one piece.
const SMALL: usize = 8 * 1024;

/// A statement as it goes to a member. A large one is held once, by its request.
pub enum Query {
    Whole(Vec<u8>),
    Split {
        /// All up to where the request's own bytes go on.
        front: Vec<u8>,
        request: Rc<ClientRequest>,
    },
}

impl Query {
    /// The client's statement with another timeout, `wait`, in milliseconds.
    pub fn of(request: &Rc<ClientRequest>, wait: &str) -> Query {
        let ClientRequest { statement, comment, .. } = &**request;
        let (before, after) = (&statement[..comment.wait_at.start], &statement[comment.wait_at.end..]);
        if statement.len() <= SMALL {
            let mut query = Vec::with_capacity(statement.len() + 16);
            pg::query(&mut query, &[before, wait.as_bytes(), after]);
            return Query::Whole(query);
        }
        let mut front = Vec::with_capacity(before.len() + 16);
        pg::query_front(&mut front, &[before, wait.as_bytes()].concat(), after.len() + 1);
        Query::Split { front, request: request.clone() }
    }

    /// Its bytes, in their order; the closing zero of a large one stands by itself.
    pub fn pieces(&self) -> [&[u8]; 3] {
        match self {
            Query::Whole(query) => [query, &[], &[]],
            Query::Split { front, request } => {
                [front, &request.statement[request.comment.wait_at.end..], &[0]]
            }
        }
    }
}
