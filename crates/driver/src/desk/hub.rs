//! The desk's part in the gateway: tasks that cross to other sites, and guests that come from them. What
//! `crates/sites` returns is carried out here; no choice is made.

use std::collections::HashMap;
use std::rc::Rc;

use aldermill_link::{
    Ask, Confirm, Credit, Event, Fate as FateFrame, FateKind, Home, Identity, Outcome as OutcomeFrame,
    OutcomeKind, Room as RoomFrame, Said, Task as TaskFrame,
};
use aldermill_pace::Peer;
use aldermill_routing::{Effect, Handle as HereHandle, Micros, Need};
use aldermill_sites::{
    Answer as FarAnswer, Effect as FarEffect, Fate, Fates, GateId, Handle, HereEnded, Need as FarNeed, OWN,
    Offering, Origin, SiteId, Sites, Step, Task, Terms, Todo, TurnedAway,
};
use aldermill_terms::Decoded;
use aldermill_wire::statement::Comment;
use serde_json::json;
use slog::{info, warn};
use tokio::sync::mpsc;

use super::book::{Book, Taking, Token};
use super::{Desk, Holder};
use crate::gate::Room;
use crate::keep::Folder;
use crate::words::{Answer, ClientId, LinkCall, LinkId, Mail, Order, Rows, SiteSeen};

mod guests;
mod links;
mod trips;

/// Guests' statements get numbers of their own beside the clients'.
const GUESTS: ClientId = 1 << 63;

/// What an effectful guest's honoured task brought, kept as long as anybody may ask.
#[derive(Clone)]
pub struct Kept {
    bytes: Rc<Vec<u8>>,
    _room: Option<Rc<Room>>,
}

/// A task of another gateway, and over which link its answer goes.
struct Guest {
    gate: GateId,
    number: u64,
    link: LinkId,
    origin: Origin,
}

/// A task on its way: with the module here, over a link, or waiting for either.
struct Trip {
    order: Rc<Order>,
    offering: usize,
    here: Option<HereHandle>,
    client: Option<(ClientId, mpsc::Sender<Mail>)>,
    guest: Option<Guest>,
    visited: Vec<String>,
}

struct LinkState {
    gate: Option<GateId>,
    said: mpsc::Sender<Said>,
    holder: Peer,
}

/// Another gateway's process, as it greeted last.
struct GateState {
    site: SiteId,
    origin: Origin,
    links: Vec<LinkId>,
}

/// A task that crossed: to which start of which gateway, and over which link.
struct Crossed {
    gate: GateId,
    start: u64,
    link: LinkId,
}

pub struct Hub {
    own: Identity,
    /// The sites' names, the own one first.
    names: Vec<String>,
    offerings: Vec<String>,
    sites: Sites,
    fates: Fates<Kept>,
    gates: Vec<GateState>,
    links: HashMap<LinkId, LinkState>,
    trips: HashMap<Handle, Trip>,
    guests: HashMap<(GateId, u64), Handle>,
    crossed: HashMap<u64, Crossed>,
    /// Where the book is kept over a restart, and what waits for the disk.
    pub book: Option<Book>,
    pub kept: Option<mpsc::Receiver<bool>>,
    coming: HashMap<Token, Coming>,
    leaving: HashMap<Token, Leaving>,
    next_guest: ClientId,
    /// The comment's field that names a session.
    session: Option<String>,
    ended: Ended,
    draining: bool,
    /// When the books want to be woken, and when others are next told of the room here unasked.
    pub wake_at: Micros,
    tell_at: Micros,
}

/// Tasks that ended with the module here since it was last asked, how many of them in quoted time, and how many would go
/// elsewhere with their sessions.
#[derive(Default)]
struct Ended {
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
    /// Where the book is kept.
    pub folder: Option<Rc<Folder>>,
}

/// An effectful task of another gateway that is taken once its record is kept.
struct Coming {
    link: LinkId,
    gate: GateId,
    origin: Origin,
    number: u64,
    /// On the router's clock.
    came: Micros,
    task: TaskFrame,
    statement: Vec<u8>,
}

/// An outcome that leaves once its record is kept.
struct Leaving {
    gate: GateId,
    link: LinkId,
    frame: OutcomeFrame,
    value: Vec<u8>,
}

/// How long after its time limit somebody may still ask about a task.
const SLACK: Micros = 5_000_000;
/// How often others are told of the room here though nothing has changed.
const TELL: Micros = 500_000;
const MOST: Micros = 1_000_000_000;
/// Confirmations that may wait for the desk: as many as records may wait for the disk, and more.
const BOOK_WORDS: usize = 2048;

impl Hub {
    pub fn new(opening: Opening, decoded: &Decoded, seed: u64, now: Micros) -> Hub {
        let Opening { own, peers, homes, hops, credit, session, fates, folder } = opening;
        let (told, kept) = mpsc::channel(BOOK_WORDS);
        let book = folder.map(|folder| Book::open(folder, own.start, now, told));
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
        let offerings = decoded.terms.offerings.iter().map(|offering| Offering {
            effect: effect(offering.effect),
            need: need(offering.need),
            quoted: offering.quoted,
            payoff: offering.payoff,
            late_share: offering.late_share,
        });
        let terms = Terms {
            offerings: offerings.collect(),
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
        Hub {
            own,
            names,
            offerings: decoded.names(),
            sites,
            fates: Fates::start(fates, SLACK),
            gates: Vec::new(),
            links: HashMap::new(),
            trips: HashMap::new(),
            guests: HashMap::new(),
            crossed: HashMap::new(),
            kept: book.is_some().then_some(kept),
            book,
            coming: HashMap::new(),
            leaving: HashMap::new(),
            next_guest: GUESTS,
            session,
            ended: Ended { since: now, ..Ended::default() },
            draining: false,
            wake_at: now,
            tell_at: now,
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

    pub fn trips(&self) -> usize {
        self.trips.len()
    }

    pub fn is_draining(&self) -> bool {
        self.draining
    }

    pub fn guests(&self) -> usize {
        self.guests.len() + self.coming.len() + self.leaving.len()
    }

    /// What this gateway saw of its site since it was last asked, and what it has of those that retire.
    pub fn seen(&mut self, now: Micros) -> SiteSeen {
        let Ended { since, all, in_time, bound } = std::mem::take(&mut self.ended);
        self.ended.since = now;
        let fates = (self.fates.len() + self.coming.len() + self.leaving.len()) as u64;
        let gates = self.gates.iter().enumerate().filter(|(_, gate)| !gate.links.is_empty());
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
    fn say(&self, gate: GateId, link: Option<LinkId>, said: Said) -> Option<LinkId> {
        let links = &self.gates.get(gate)?.links;
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
    fn tell_room(&mut self, only: Option<GateId>) {
        for id in 0..self.gates.len() {
            if only.is_some_and(|only| only != id) || self.gates[id].links.is_empty() {
                continue;
            }
            let (credits, groups) = self.sites.offered(id);
            let credits = self.offerings.iter().zip(credits);
            let room = RoomFrame {
                credits: credits.map(|(name, tasks)| Credit { offering: name.clone(), tasks }).collect(),
                homes: groups.into_iter().map(|(group, primary)| Home { group, primary }).collect(),
                draining: self.draining,
            };
            self.say(id, None, Said::Room(room));
        }
    }

    /// What is believed here, for people.
    fn describe(&self, now: Micros) -> String {
        let gates: Vec<_> = (self.gates.iter().enumerate())
            .map(|(id, gate)| {
                let view = self.sites.view(now, id);
                json!({
                    "site": self.names[gate.site], "instance": gate.origin.instance, "links": gate.links.len(),
                    "round_trip_us": view.trip, "draining": view.draining, "barred": view.barred,
                    "credits": self.offerings.iter().cloned().zip(view.credits).collect::<HashMap<_, _>>(),
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
            "gateways": gates, "groups": homes, "tasks": self.trips.len(), "guests": self.guests.len(),
            "fates_kept": self.fates.len(), "book": self.book.as_ref().map(|book| json!({
                "disk": !book.is_without(), "earlier_records": book.earlier().0, "earlier_starts": book.earlier().1})),
        });
        format!("{text:#}\n")
    }
}

fn micros(told: u64) -> Micros {
    Micros::try_from(told).unwrap_or(MOST).min(MOST)
}
