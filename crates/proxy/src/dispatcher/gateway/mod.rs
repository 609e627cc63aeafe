//! The dispatcher's part in the gateway: requests that cross to other sites, and guests that come from them.
//! What `crates/site-routing` returns is carried out here; no choice is made.

use std::collections::HashMap;
use std::rc::Rc;

use aldermill_flow_control::Peer;
use aldermill_routing::{Effect, Handle as HereHandle, Micros, Need};
use aldermill_settings::Decoded;
use aldermill_site_link::{
    Ask, Confirm, Credit, Event, Fate as FateFrame, FateKind, Home, Identity, Outcome as OutcomeFrame,
    OutcomeKind, Request as RequestFrame, Room as RoomFrame, Said,
};
use aldermill_site_routing::{
    Action, Actions, Answer as FarAnswer, Effect as FarEffect, Fate, Fates, GateId, Handle, HereEnded,
    Need as FarNeed, OWN, Origin, Request, RequestClass, SiteId, Sites, Terms, TurnedAway,
};
use aldermill_wire::statement::Comment;
use serde_json::json;
use slog::{info, warn};
use tokio::sync::mpsc;

use super::Dispatcher;
use super::open_request::{RequestLocation, WaitingClient};
use super::outcome_log::{OutcomeLog, Taking, Token};
use crate::gate::Room;
use crate::keep::Folder;
use crate::messages::{Answer, ClientId, LinkCall, LinkId, Order, Rows, SiteSeen};

mod forwarded_requests;
mod links;
mod remote_requests;

/// Guests' statements get numbers of their own beside the clients'.
const FIRST_REMOTE_ID: ClientId = 1 << 63;

/// What an effectful guest's served request brought, kept as long as anybody may ask.
#[derive(Clone)]
pub struct KeptValue {
    bytes: Rc<Vec<u8>>,
    _room: Option<Rc<Room>>,
}

/// A request of another gateway, and over which link its answer goes.
struct RemoteRequest {
    gate: GateId,
    number: u64,
    link: LinkId,
    origin: Origin,
}

/// A request on its way: with the module here, over a link, or waiting for either.
struct ForwardedRequest {
    order: Rc<Order>,
    class: usize,
    here: Option<HereHandle>,
    client: Option<WaitingClient>,
    guest: Option<RemoteRequest>,
    visited: Vec<String>,
}

struct LinkState {
    gate: Option<GateId>,
    said: mpsc::Sender<Said>,
    holder: Peer,
}

/// Another gateway's process, as it greeted last.
struct PeerGateway {
    site: SiteId,
    origin: Origin,
    links: Vec<LinkId>,
}

/// A request that crossed: to which start of which gateway, and over which link.
struct SentRequest {
    gate: GateId,
    start: u64,
    link: LinkId,
}

pub struct GatewayPart {
    own: Identity,
    /// The sites' names, the own one first.
    names: Vec<String>,
    classes: Vec<String>,
    sites: Sites,
    fates: Fates<KeptValue>,
    peer_gateways: Vec<PeerGateway>,
    links: HashMap<LinkId, LinkState>,
    forwarded: HashMap<Handle, ForwardedRequest>,
    remote_requests: HashMap<(GateId, u64), Handle>,
    sent: HashMap<u64, SentRequest>,
    /// Where the outcome log is kept over a restart, and what waits for the disk.
    pub outcome_log: Option<OutcomeLog>,
    pub written: Option<mpsc::Receiver<bool>>,
    arriving: HashMap<Token, ArrivingRequest>,
    departing: HashMap<Token, DepartingOutcome>,
    next_remote_id: ClientId,
    /// The comment's field that names a session.
    session: Option<String>,
    ended: EndedCounts,
    draining: bool,
    /// When the books want to be woken, and when others are next told of the room here unasked.
    pub wake_at: Micros,
    announce_at: Micros,
}

/// Requests that ended with the module here since it was last asked, how many of them within the latency
/// objective, and how many would go elsewhere with their sessions.
#[derive(Default)]
struct EndedCounts {
    since: Micros,
    all: u32,
    in_time: u32,
    bound: u32,
}

/// What a gateway is told at its start.
pub struct Opening {
    pub own: Identity,
    /// The names of the other sites.
    pub peers: Vec<String>,
    pub homes: Vec<(u64, String)>,
    pub hops: usize,
    pub credit: u32,
    /// The comment's field that names a session.
    pub session: Option<String>,
    /// Fates kept for one sender.
    pub fates: usize,
    /// Where the outcome log is kept.
    pub folder: Option<Rc<Folder>>,
}

/// An effectful request of another gateway that is taken once its record is kept.
struct ArrivingRequest {
    link: LinkId,
    gate: GateId,
    origin: Origin,
    number: u64,
    /// On the router's clock.
    received_at: Micros,
    request: RequestFrame,
    statement: Vec<u8>,
}

/// An outcome that leaves once its record is kept.
struct DepartingOutcome {
    gate: GateId,
    link: LinkId,
    frame: OutcomeFrame,
    value: Vec<u8>,
}

/// How long after its deadline somebody may still ask about a request.
const ASKED_AFTER_DEADLINE: Micros = 5_000_000;
/// How often others are told of the room here though nothing has changed.
const ANNOUNCE_EVERY: Micros = 500_000;
const LONGEST_SPAN: Micros = 1_000_000_000;
/// Confirmations that may wait for the dispatcher: as many as records may wait for the disk, and more.
const CONFIRMATIONS: usize = 2048;

impl GatewayPart {
    pub fn new(opening: Opening, decoded: &Decoded, seed: u64, now: Micros) -> GatewayPart {
        let Opening { own, peers, homes, hops, credit, session, fates, folder } = opening;
        let (told, written) = mpsc::channel(CONFIRMATIONS);
        let outcome_log = folder.map(|folder| OutcomeLog::open(folder, own.start, now, told));
        let effect = |effect| match effect {
            Effect::Pure => FarEffect::Pure,
            Effect::Receipted { scope, window } => {
                FarEffect::Receipted { window, within_site: scope == aldermill_routing::Scope::Zone }
            }
            Effect::Effectful => FarEffect::Effectful,
        };
        let need = |need| match need {
            Need::Write | Need::Latest | Need::OwnWrites => FarNeed::Primary,
            Need::Recent(bound) => FarNeed::Recent(bound),
            Need::Loose => FarNeed::Any,
        };
        let classes = decoded.terms.classes.iter().map(|class| RequestClass {
            effect: effect(class.effect),
            need: need(class.need),
            objective: class.objective,
            priority_weight: class.priority_weight,
            late_priority_weight: class.late_priority_weight,
        });
        let terms = Terms {
            classes: classes.collect(),
            sites: 1 + peers.len(),
            max_hops: hops,
            max_credit: credit,
            max_cool_down: decoded.terms.max_cool_down,
        };
        let names: Vec<String> = std::iter::once(own.site.clone()).chain(peers).collect();
        let mut sites = Sites::start(terms, seed, now);
        for (group, site) in homes {
            if let Some(site) = names.iter().position(|name| *name == site) {
                sites.guess(group, site);
            }
        }
        GatewayPart {
            own,
            names,
            classes: decoded.names(),
            sites,
            fates: Fates::start(fates, ASKED_AFTER_DEADLINE),
            peer_gateways: Vec::new(),
            links: HashMap::new(),
            forwarded: HashMap::new(),
            remote_requests: HashMap::new(),
            sent: HashMap::new(),
            written: outcome_log.is_some().then_some(written),
            outcome_log,
            arriving: HashMap::new(),
            departing: HashMap::new(),
            next_remote_id: FIRST_REMOTE_ID,
            session,
            ended: EndedCounts { since: now, ..EndedCounts::default() },
            draining: false,
            wake_at: now,
            announce_at: now,
        }
    }

    pub fn knows_group(&self, group: u64) -> bool {
        self.sites.knows_group(group)
    }

    /// Where groups have their primary, by the name of the site.
    pub fn homes(&self) -> std::collections::BTreeMap<u64, String> {
        let homes = self.sites.homes().into_iter();
        homes.filter_map(|(group, home, _)| Some((group, self.names[home?].clone()))).collect()
    }

    pub fn open_requests(&self) -> usize {
        self.forwarded.len()
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    pub fn remote_requests(&self) -> usize {
        self.remote_requests.len() + self.arriving.len() + self.departing.len()
    }

    /// What this gateway saw of its site since it was last asked, and what it has of those that retire.
    pub fn seen(&mut self, now: Micros) -> SiteSeen {
        let EndedCounts { since, all, in_time, bound } = std::mem::take(&mut self.ended);
        self.ended.since = now;
        let fates = (self.fates.len() + self.arriving.len() + self.departing.len()) as u64;
        let gates = self.peer_gateways.iter().enumerate().filter(|(_, gate)| !gate.links.is_empty());
        let trips = gates.map(|(id, gate)| (self.names[gate.site].clone(), self.sites.view(now, id).trip));
        SiteSeen {
            site: self.own.site.clone(),
            over: now - since,
            ended: all,
            in_time,
            bound,
            trips: trips.collect(),
            open: self.sites.open_at_retiring(fates),
        }
    }

    fn site(&self, name: &str) -> Option<SiteId> {
        self.names.iter().position(|known| known == name)
    }

    /// Says something to a gateway, over the link named or any that stands. Whether it could be said.
    fn send(&self, gate: GateId, link: Option<LinkId>, said: Said) -> Option<LinkId> {
        let links = &self.peer_gateways.get(gate)?.links;
        let link = link.filter(|link| links.contains(link)).or_else(|| {
            // The one with most room in its mailbox.
            links
                .iter()
                .copied()
                .max_by_key(|link| self.links.get(link).map_or(0, |state| state.said.capacity()))
        })?;
        self.links.get(&link)?.said.try_send(said).is_ok().then_some(link)
    }

    /// Tells a gateway, or all, what room there is here.
    fn announce_room(&mut self, only: Option<GateId>) {
        for id in 0..self.peer_gateways.len() {
            if only.is_some_and(|only| only != id) || self.peer_gateways[id].links.is_empty() {
                continue;
            }
            let (credits, groups) = self.sites.offered(id);
            let credits = self.classes.iter().zip(credits);
            let room = RoomFrame {
                credits: credits.map(|(name, requests)| Credit { class: name.clone(), requests }).collect(),
                homes: groups.into_iter().map(|(group, primary)| Home { group, primary }).collect(),
                draining: self.draining,
            };
            self.send(id, None, Said::Room(room));
        }
    }

    /// What is believed here, for people.
    fn describe(&self, now: Micros) -> String {
        let gates: Vec<_> = (self.peer_gateways.iter().enumerate())
            .map(|(id, gate)| {
                let view = self.sites.view(now, id);
                json!({
                    "site": self.names[gate.site], "instance": gate.origin.instance, "links": gate.links.len(),
                    "round_trip_us": view.trip, "draining": view.draining, "barred": view.blacklisted,
                    "credits": self.classes.iter().cloned().zip(view.credits).collect::<HashMap<_, _>>(),
                    "under_way": view.out,
                })
            })
            .collect();
        let homes = self.sites.homes();
        let homes: Vec<_> = homes
            .into_iter()
            .map(|(group, home, here)| json!({"group": group, "home": home.map(|site| &self.names[site]), "members_here": here}))
            .collect();
        let text = json!({
            "site": self.own.site, "instance": self.own.instance, "start": self.own.start, "draining": self.draining,
            "gateways": gates, "groups": homes, "tasks": self.forwarded.len(), "guests": self.remote_requests.len(),
            "fates_kept": self.fates.len(), "book": self.outcome_log.as_ref().map(|outcome_log| json!({
                "disk": !outcome_log.is_without(), "earlier_records": outcome_log.earlier().0, "earlier_starts": outcome_log.earlier().1})),
        });
        format!("{text:#}\n")
    }
}

fn micros(told: u64) -> Micros {
    Micros::try_from(told).unwrap_or(LONGEST_SPAN).min(LONGEST_SPAN)
}
