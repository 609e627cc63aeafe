//! The dispatcher's gateway part: requests that are forwarded to other sites, and remote requests that come from them.
//!
//! What `crates/site-routing` returns is carried out here; no choice is made. A request's way: `forwarded_requests` hands it
//! to the site router, `site_actions` carries out where it goes, `link_events` takes what comes back over links, `answers`
//! gives the one answer. `remote_requests` takes what other gateways send; `links` keeps account of who is linked.

mod announcements;
mod answers;
mod forwarded_requests;
mod link_events;
mod links;
mod remote_requests;
mod site_actions;
mod start;

pub use start::GatewaySetup;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use aldermill_flow_control::PeerId;
use aldermill_routing::{Micros, RequestHandle as RouterHandle};
use aldermill_site_link::{Identity, Outbound, Request as RequestFrame, Response as ResponseFrame};
use aldermill_site_routing::{Origin, OutcomeTable, PeerGatewayId, RequestHandle, SiteId, SiteRouter};
use tokio::sync::mpsc;

use super::open_request::WaitingClient;
use super::outcome_log::{OutcomeLog, RecordTicket};
use crate::flow_control::BufferReservation;
use crate::messages::{ClientRequest, ClientRequestId, LinkId};

/// How long after a request's deadline its sender may still ask about it, in microseconds.
const QUERY_GRACE: Micros = 5_000_000;
/// A span that another gateway sent is not taken for longer than this, in microseconds, so that sums do not overflow.
const MAX_RECEIVED_SPAN: Micros = 1_000_000_000;

/// The response to a served non-idempotent remote request, kept as long as anybody may ask.
#[derive(Clone)]
pub struct KeptValue {
    bytes: Rc<Vec<u8>>,
    /// The buffer space that the value takes, held as long as the value.
    _reservation: Option<Rc<BufferReservation>>,
}

/// A request of another gateway, and over which link its answer goes.
struct RemoteRequest {
    gateway: PeerGatewayId,
    /// The other gateway's number for it.
    number: u64,
    link: LinkId,
    origin: Origin,
}

/// Who waits for a forwarded request.
enum Requester {
    Client(WaitingClient),
    Gateway(RemoteRequest),
}

/// A request on its way: with the router here, over a link, or waiting for either.
struct ForwardedRequest {
    request: Rc<ClientRequest>,
    class: usize,
    /// The router's handle, while the router here decides on it.
    local: Option<RouterHandle>,
    requester: Requester,
    /// The sites that it has come through.
    visited: Vec<String>,
}

/// A link that stands.
struct LinkState {
    /// The gateway on the other side, once it has greeted.
    gateway: Option<PeerGatewayId>,
    outbox: mpsc::Sender<Outbound>,
    /// For whom buffer space for its values is asked.
    peer: PeerId,
}

/// Another gateway's process, as it greeted last.
struct PeerGateway {
    site: SiteId,
    origin: Origin,
    links: Vec<LinkId>,
}

/// A request that was forwarded: to which incarnation of which gateway, and over which link.
struct SentRequest {
    gateway: PeerGatewayId,
    incarnation: u64,
    link: LinkId,
}

/// Requests that ended with the router here since this was last asked.
#[derive(Default)]
struct EndedCounts {
    since: Micros,
    all: u32,
    /// Those served within their latency objective.
    in_time: u32,
    /// Those that would go elsewhere with their sessions.
    bound: u32,
}

/// A non-idempotent remote request that is taken once its record is written.
struct ArrivingRequest {
    link: LinkId,
    gateway: PeerGatewayId,
    origin: Origin,
    number: u64,
    /// On the router's clock.
    received_at: Micros,
    frame: RequestFrame,
    statement: Vec<u8>,
}

/// An outcome that leaves once its record is written.
struct DepartingOutcome {
    gateway: PeerGatewayId,
    link: LinkId,
    frame: ResponseFrame,
    value: Vec<u8>,
}

/// What the dispatcher keeps as a gateway to other sites.
pub struct GatewayPart {
    own: Identity,
    /// The sites' names, the own one first.
    names: Vec<String>,
    /// The names of the request classes, by their index.
    classes: Vec<String>,
    /// Decides where each request is served.
    site_router: SiteRouter,
    /// What became of remote requests that this process accepted.
    outcomes: OutcomeTable<KeptValue>,
    /// The gateways that have greeted, by their index.
    peer_gateways: Vec<PeerGateway>,
    links: HashMap<LinkId, LinkState>,
    forwarded: HashMap<RequestHandle, ForwardedRequest>,
    /// Remote requests, by the gateway that sent them and its number for them.
    remote_requests: HashMap<(PeerGatewayId, u64), RequestHandle>,
    /// Requests at other gateways, by the number under which they were forwarded.
    sent: HashMap<u64, SentRequest>,
    /// Where outcomes are kept over a restart.
    pub(super) outcome_log: Option<OutcomeLog>,
    /// Confirms each record of that log, in their order.
    pub(super) written: Option<mpsc::Receiver<bool>>,
    /// Remote requests whose record is being written.
    arriving: HashMap<RecordTicket, ArrivingRequest>,
    /// Outcomes whose record is being written.
    departing: HashMap<RecordTicket, DepartingOutcome>,
    next_remote_id: ClientRequestId,
    /// The comment's field that names a session.
    session_field: Option<String>,
    ended: EndedCounts,
    draining: bool,
    /// When the site router wants to be woken.
    pub(super) wake_at: Micros,
    /// When the available capacity here is next announced, though nothing may have changed.
    announce_at: Micros,
}

impl GatewayPart {
    /// Whether any site is known to have this group.
    pub(super) fn knows_group(&self, group: u64) -> bool {
        self.site_router.knows_group(group)
    }

    /// Where groups have their primary, by the name of the site.
    pub(super) fn homes(&self) -> BTreeMap<u64, String> {
        let homes = self.site_router.home_sites().into_iter();
        homes.filter_map(|view| Some((view.group, self.names[view.home?].clone()))).collect()
    }

    /// Requests that the gateway part decides on, whoever sent them.
    pub(super) fn open_requests(&self) -> usize {
        self.forwarded.len()
    }

    /// Whether other gateways were told that this one drains.
    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Remote requests under way, those included that wait for a record.
    pub(super) fn remote_requests(&self) -> usize {
        self.remote_requests.len() + self.arriving.len() + self.departing.len()
    }

    fn site(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|known| known == name)
    }

    /// Sends a frame to a gateway, over the link named or any that stands. Returns the link, unless none could take it.
    fn send(&self, gateway: PeerGatewayId, link: Option<LinkId>, frame: Outbound) -> Option<LinkId> {
        let links = &self.peer_gateways.get(gateway)?.links;
        let named = link.filter(|link| links.contains(link));
        let link = named.or_else(|| self.link_with_most_capacity(links))?;
        self.links.get(&link)?.outbox.try_send(frame).is_ok().then_some(link)
    }

    fn link_with_most_capacity(&self, links: &[LinkId]) -> Option<LinkId> {
        let capacity = |link: &LinkId| self.links.get(link).map_or(0, |state| state.outbox.capacity());
        links.iter().copied().max_by_key(capacity)
    }
}

/// A span that another gateway sent, in microseconds.
fn received_span(received: u64) -> Micros {
    Micros::try_from(received).unwrap_or(MAX_RECEIVED_SPAN).min(MAX_RECEIVED_SPAN)
}
