//! The dispatcher's gateway part: forwards requests to other sites, and serves the remote requests that their
//! gateways send.
//!
//! The gateway part carries out what the site router of `crates/site-routing` decides, and makes no routing
//! decisions itself. A request passes through four modules: `pending_requests` hands it to the site router,
//! `site_actions` carries out the site router's actions, `inbound_messages` handles what arrives over links, and
//! `answers` gives the request its one answer. `remote_requests` admits requests from other gateways, `links`
//! tracks which gateways are linked, `announcements` reports the gateway's state, and `start` constructs it.

mod announcements;
mod answers;
mod inbound_messages;
mod links;
mod pending_requests;
mod remote_requests;
mod site_actions;
mod start;

pub use start::GatewaySetup;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use aldermill_flow_control::PeerId;
use aldermill_routing::{Micros, RequestHandle as RouterHandle};
use aldermill_site_link::{Identity, Outbound, Request as RequestFrame, Response as ResponseFrame};
use aldermill_site_routing::{
    AnnouncementTimes, Origin, OutcomeTable, PeerGatewayId, RequestHandle, SiteId, SiteRouter,
};
use tokio::sync::mpsc;

use super::open_request::WaitingClient;
use super::outcome_log::{OutcomeLog, RecordId};
use crate::flow_control::BufferReservation;
use crate::messages::{ClientRequest, ClientRequestId, LinkId};

/// Time after a request's deadline during which its sender may still query its outcome, in microseconds.
const QUERY_GRACE: Micros = 5_000_000;
/// Upper limit for durations received from other gateways, in microseconds, so that sums of durations do not
/// overflow.
const MAX_RECEIVED_DURATION: Micros = 1_000_000_000;

/// Response to a served non-idempotent remote request, kept as long as its sender may query the outcome.
#[derive(Clone)]
pub struct RetainedResponse {
    bytes: Rc<Vec<u8>>,
    /// Buffer space reserved for the response, released when the response is dropped; `None` for a small one.
    _reservation: Option<Rc<BufferReservation>>,
}

/// A request that another gateway sent, and the link for its response.
struct RemoteRequest {
    gateway: PeerGatewayId,
    /// Number under which the other gateway sent the request.
    number: u64,
    link: LinkId,
    origin: Origin,
}

/// Who waits for the answer to a pending request.
enum Requester {
    Client(WaitingClient),
    Gateway(RemoteRequest),
}

/// A request that the site router decides on: it is at the local router, at another gateway, or queued.
struct PendingRequest {
    request: Rc<ClientRequest>,
    class: usize,
    /// Handle at the local router; `None` while the local router does not have the request.
    local_handle: Option<RouterHandle>,
    requester: Requester,
    /// Session whose write this is, once it has been forwarded; `None` before, and for other requests.
    forwarded_write: Option<String>,
    /// Names of the sites that the request has passed through, its origin first; empty for a request of a
    /// local client.
    visited: Vec<String>,
}

/// A link that is up.
struct ActiveLink {
    /// Gateway at the other end; `None` until its greeting arrives.
    gateway: Option<PeerGatewayId>,
    outbox: mpsc::Sender<Outbound>,
    /// The link's connection, on whose behalf buffer space is reserved for the answers to requests that arrive
    /// over it.
    peer: PeerId,
}

/// A gateway at another site, as of its latest greeting.
struct PeerGateway {
    site: SiteId,
    origin: Origin,
    links: Vec<LinkId>,
    /// The last announcement of its current incarnation; `None` if none has arrived, or it has no number.
    last_announcement: Option<ReceivedAnnouncement>,
}

/// A capacity announcement that another gateway sent.
#[derive(Clone, Copy)]
struct ReceivedAnnouncement {
    number: u64,
    /// Time of arrival, in microseconds on the router's clock.
    received_at: Micros,
}

/// Where a request was forwarded to: the gateway, the incarnation of its process, and the link.
struct SentRequest {
    gateway: PeerGatewayId,
    incarnation: u64,
    link: LinkId,
}

/// Counts of requests that ended at the local router since the observations were last taken.
#[derive(Default)]
struct EndedRequestCounts {
    /// Start of the counted period, in microseconds on the router's clock.
    since: Micros,
    total: u32,
    /// Requests that were served within the latency objective of their class.
    within_objective: u32,
    /// Reads of local clients, which would move to another site together with their sessions.
    session_reads: u32,
}

/// A remote request that was received and is not admitted yet. A non-idempotent one waits until its record is
/// written.
struct IncomingRequest {
    link: LinkId,
    gateway: PeerGatewayId,
    origin: Origin,
    number: u64,
    /// Time of arrival, in microseconds on the router's clock.
    received_at: Micros,
    frame: RequestFrame,
    statement: Vec<u8>,
}

/// A response that is sent once the record of its outcome is written.
struct OutgoingResponse {
    gateway: PeerGatewayId,
    link: LinkId,
    frame: ResponseFrame,
    data: Vec<u8>,
}

/// The dispatcher's state as a gateway to other sites.
pub struct GatewayPart {
    /// Site, instance and incarnation of this gateway.
    identity: Identity,
    /// Names of all sites, by site index: the local site is the first.
    site_names: Vec<String>,
    /// Names of the request classes, by class index.
    class_names: Vec<String>,
    /// Decides at which site each request is served.
    site_router: SiteRouter,
    /// Outcomes of the remote requests that this process accepted.
    announcement_times: AnnouncementTimes,
    outcomes: OutcomeTable<RetainedResponse>,
    /// Gateways that have greeted, by gateway index.
    peer_gateways: Vec<PeerGateway>,
    links: HashMap<LinkId, ActiveLink>,
    pending_requests: HashMap<RequestHandle, PendingRequest>,
    /// Pending remote requests, by the gateway that sent them and the number under which it did.
    remote_requests: HashMap<(PeerGatewayId, u64), RequestHandle>,
    /// Requests at other gateways, by the number under which they were forwarded there.
    sent_requests: HashMap<u64, SentRequest>,
    /// Outcomes on disk, which survive a restart; `None` without a data directory.
    pub(super) outcome_log: Option<OutcomeLog>,
    /// Receives, for each write to the outcome log in order, whether it succeeded; `None` without such a log.
    pub(super) write_confirmations: Option<mpsc::Receiver<bool>>,
    /// Remote requests that wait for the record of their acceptance.
    waiting_requests: HashMap<RecordId, IncomingRequest>,
    /// Responses that wait for the record of their outcome.
    waiting_responses: HashMap<RecordId, OutgoingResponse>,
    /// Request ID that was assigned to the latest remote request.
    last_remote_request_id: ClientRequestId,
    /// Field of a statement's comment that names the session; `None` if sessions are not named.
    session_field: Option<String>,
    ended_counts: EndedRequestCounts,
    /// Whether this gateway has announced that it drains, because the process is stopping.
    draining: bool,
    /// When the site router is to be woken, in microseconds on the router's clock.
    pub(super) wake_at: Micros,
    /// When the available capacity is announced next, even if it has not changed.
    next_announcement_at: Micros,
}

impl GatewayPart {
    /// Returns whether any site is known to have the group.
    pub(super) fn knows_group(&self, group: u64) -> bool {
        self.site_router.knows_group(group)
    }

    /// Returns the groups whose home is known, each with the name of the site believed to have its primary.
    pub(super) fn homes(&self) -> BTreeMap<u64, String> {
        let homes = self.site_router.home_sites().into_iter();
        homes.filter_map(|view| Some((view.group, self.site_names[view.home?].clone()))).collect()
    }

    /// Returns the number of pending requests, from clients and from other gateways.
    pub(super) fn open_requests(&self) -> usize {
        self.pending_requests.len()
    }

    /// Returns whether this gateway has announced to the others that it drains.
    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of remote requests in progress. Those that wait for a record, for themselves or for
    /// their response, are included.
    pub(super) fn remote_requests(&self) -> usize {
        self.remote_requests.len() + self.waiting_requests.len() + self.waiting_responses.len()
    }

    fn site_id(&self, name: &str) -> Option<SiteId> {
        self.site_names.iter().position(|known| known == name)
    }

    /// Sends a message to a gateway: over `link` if that is up, or else over the gateway's link with the most
    /// free queue capacity. Returns the link used, or `None` if no link is up or the queue of the chosen one is
    /// full.
    fn send(&self, gateway: PeerGatewayId, link: Option<LinkId>, frame: Outbound) -> Option<LinkId> {
        let links = &self.peer_gateways.get(gateway)?.links;
        let named = link.filter(|link| links.contains(link));
        let link = named.or_else(|| self.link_with_most_capacity(links))?;
        self.links.get(&link)?.outbox.try_send(frame).is_ok().then_some(link)
    }

    fn link_with_most_capacity(&self, links: &[LinkId]) -> Option<LinkId> {
        let capacity = |link: &LinkId| self.links.get(link).map_or(0, |active| active.outbox.capacity());
        links.iter().copied().max_by_key(capacity)
    }
}

/// Converts a duration received from another gateway, in microseconds, and limits it to
/// [`MAX_RECEIVED_DURATION`].
fn capped_micros(received: u64) -> Micros {
    Micros::try_from(received).unwrap_or(MAX_RECEIVED_DURATION).min(MAX_RECEIVED_DURATION)
}
