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
use crate::words::{Answer, ClientId, LinkCall, LinkId, Mail, Order, Rows};

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
    draining: bool,
    /// When the books want to be woken, and when others are next told of the room here unasked.
    pub wake_at: Micros,
    tell_at: Micros,
}

/// What a gateway is told at its start.
pub struct Opening {
    pub own: Identity,
    /// The names of the other sites.
    pub peers: Vec<String>,
    pub homes: Vec<(u64, String)>,
    pub hops: usize,
    pub credit: u32,
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
        let Opening { own, peers, homes, hops, credit, fates, folder } = opening;
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
                "disk": !book.is_without(), "earlier_records": book.earlier.len().0, "earlier_starts": book.earlier.len().1})),
        });
        format!("{text:#}\n")
    }
}

impl Desk {
    /// A client's task where there is a gateway: to the module here, or to another site.
    pub(crate) fn dispatch(&mut self, order: Order, offering: usize) {
        let now = self.context.clock.now();
        let ttl = Micros::from(order.comment.wait) * 1000 - (now - order.arrived);
        let client = Some((order.client, order.mailbox.clone()));
        self.set_out(order, offering, ttl, client, None, Vec::new());
    }

    fn set_out(
        &mut self,
        order: Order,
        offering: usize,
        ttl: Micros,
        client: Option<(ClientId, mpsc::Sender<Mail>)>,
        guest: Option<Guest>,
        visited: Vec<String>,
    ) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let by: Vec<SiteId> = visited.iter().filter_map(|name| hub.site(name)).collect();
        let (handle, todo) =
            hub.sites.take(now, Task { offering, group: order.comment.group, ttl, visited: by });
        if let Some(guest) = &guest {
            hub.guests.insert((guest.gate, guest.number), handle);
        }
        self.by_client.insert(order.client, Holder::Via(handle));
        self.open_ids.insert(order.comment.id.clone());
        let trip = Trip { order: Rc::new(order), offering, here: None, client, guest, visited };
        hub.trips.insert(handle, trip);
        self.carry_out_sites(todo, None);
    }

    /// Nobody waits for a task any more.
    pub(crate) fn trip_left(&mut self, handle: Handle) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some(here) = trip.here {
            self.leave_here(here);
        }
        let Some(hub) = &mut self.hub else { return };
        let todo = handle.left(&mut hub.sites, now);
        self.carry_out_sites(todo, None);
    }

    /// The module here has answered a task for the gateway.
    pub(crate) fn here_answered(&mut self, handle: Handle, answer: Answer) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let ended = match &answer {
            Answer::Honoured(_) => HereEnded::Honoured,
            Answer::Denied { cool_down } => HereEnded::Denied { cool_down: *cool_down },
            Answer::BrokenOff | Answer::Wrong(_) => HereEnded::BrokenOff,
        };
        if let Some(trip) = hub.trips.get_mut(&handle) {
            trip.here = None;
        }
        let todo = handle.here_ended(&mut hub.sites, now, ended);
        self.carry_out_sites(todo, Some((handle, answer)));
    }

    /// A launch here was answered 'miss'. What follows is carried out once the module has heard it, too; whether the
    /// task was taken back from it.
    pub(crate) fn here_missed(&mut self, handle: Handle) -> (Option<Todo>, bool) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return (None, false) };
        let todo = handle.here_missed(&mut hub.sites, now);
        let taken_back = todo.steps.contains(&(handle, Step::TakeBack));
        (Some(todo), taken_back)
    }

    pub(crate) fn primary_here(&mut self, group: u64) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            let todo = hub.sites.primary_here(now, group);
            self.carry_out_sites(todo, None);
        }
    }

    pub(crate) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            let todo = hub.sites.listed(now, groups);
            self.carry_out_sites(todo, None);
        }
    }

    pub(crate) fn wake_sites(&mut self) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        hub.fates.expire(now);
        if now >= hub.tell_at {
            hub.tell_at = now + TELL;
            hub.tell_room(None);
            if let Some(book) = &mut hub.book {
                book.renew(now);
            }
            let sites = &hub.sites;
            hub.crossed.retain(|&number, _| sites.crossed(number).is_some());
        }
        let todo = hub.sites.wake(now);
        self.carry_out_sites(todo, None);
    }

    pub(crate) fn sites_stood_still(&mut self) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.sites.stood_still(now);
        }
    }

    pub(crate) fn drain_sites(&mut self) {
        if let Some(hub) = &mut self.hub
            && !std::mem::replace(&mut hub.draining, true)
        {
            hub.tell_room(None);
        }
    }

    pub(crate) fn describe(&self) -> String {
        let now = self.context.clock.now();
        self.hub.as_ref().map_or_else(|| "{}\n".to_owned(), |hub| hub.describe(now))
    }

    /// Carries out what the books return. `brought` is what a task has just been answered with.
    pub(crate) fn carry_out_sites(&mut self, todo: Todo, brought: Option<(Handle, Answer)>) {
        let mut brought = brought;
        for (handle, step) in todo.steps {
            match step {
                Step::Here { ttl } => self.start_here(handle, ttl),
                Step::TakeBack => {
                    let trip = self.hub.as_mut().and_then(|hub| hub.trips.get_mut(&handle));
                    if let Some(here) = trip.and_then(|trip| trip.here.take()) {
                        self.leave_here(here);
                    }
                }
                Step::Cross { gate, number, left } => self.cross(handle, gate, number, left),
                Step::Ask { gate, number } => {
                    let Some(hub) = &mut self.hub else { return };
                    let Some(start) = hub.crossed.get(&number).map(|crossed| crossed.start) else { continue };
                    hub.say(gate, None, Said::Ask(Ask { number, receiver_start: start }));
                }
                Step::Cancel { gate, number } => {
                    let Some(hub) = &mut self.hub else { return };
                    let link = hub.crossed.remove(&number).map(|crossed| crossed.link);
                    hub.say(gate, link, Said::Cancel(number));
                }
                Step::Honour => {
                    let answer = brought.take_if(|(of, _)| *of == handle).map(|(_, answer)| answer);
                    self.finish(handle, answer.unwrap_or(Answer::BrokenOff), None);
                }
                Step::Deny { cool_down } => self.finish(handle, Answer::Denied { cool_down }, None),
                Step::BreakOff => self.finish(handle, Answer::BrokenOff, None),
                Step::NotHere { hint } => {
                    self.finish(handle, Answer::Denied { cool_down: 0 }, Some(hint));
                }
            }
        }
        let Some(hub) = &mut self.hub else { return };
        for (gate, upto) in todo.confirms {
            hub.say(gate, None, Said::Confirm(Confirm { upto }));
        }
        if todo.offers {
            hub.tell_room(None);
        }
        if let Some(at) = todo.wake_at {
            hub.wake_at = at;
        }
    }

    fn start_here(&mut self, handle: Handle, ttl: Micros) {
        let trip = self.hub.as_ref().and_then(|hub| hub.trips.get(&handle));
        let Some((order, offering)) = trip.map(|trip| (trip.order.clone(), trip.offering)) else { return };
        let client = Some((order.client, order.mailbox.clone()));
        let (here, todo) = self.hand_over(order, offering, ttl, client, Some(handle));
        if let Some(trip) = self.hub.as_mut().and_then(|hub| hub.trips.get_mut(&handle)) {
            trip.here = Some(here);
        }
        self.carry_out(todo);
    }

    /// The module here is to forget a task; what it has sent goes on.
    fn leave_here(&mut self, here: HereHandle) {
        if let Some(open) = self.open.get_mut(&here) {
            open.client = None;
        }
        let now = self.context.clock.now();
        let ((), todo) = self.ask(|router| ((), here.left(router, now)));
        self.carry_out(todo);
        self.release(here);
    }

    fn cross(&mut self, handle: Handle, gate: GateId, number: u64, left: Micros) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let (Some(trip), Some(state)) = (hub.trips.get(&handle), hub.gates.get(gate)) else { return };
        let order = &trip.order;
        let clock = self.context.clock;
        let written = order.comment.after.map(|after| clock.convert(super::millis(after)));
        let written_ago = order.written_ago.or(written.map(|at| now.saturating_sub(at).max(1)));
        let visited = trip.visited.iter().cloned().chain([hub.own.site.clone()]).collect();
        let start = state.origin.start;
        let task = TaskFrame {
            number,
            receiver_start: start,
            offering: order.comment.offering.clone(),
            group: order.comment.group,
            left_us: left.max(0) as u64,
            written_ago_us: written_ago.unwrap_or(0).max(0) as u64,
            repeat: order.comment.repeat,
            visited,
            length: 0,
        };
        let said = Said::Task(task, order.statement.clone());
        match hub.say(gate, None, said) {
            Some(link) => {
                hub.crossed.insert(number, Crossed { gate, start, link });
            }
            None => {
                // It never left this process.
                let todo = hub.sites.answered(now, number, FarAnswer::NeverTaken);
                self.carry_out_sites(todo, None);
            }
        }
    }

    fn forget_trip(&mut self, handle: Handle) -> Option<Trip> {
        let hub = self.hub.as_mut()?;
        let trip = hub.trips.remove(&handle)?;
        if let Some(guest) = &trip.guest {
            hub.guests.remove(&(guest.gate, guest.number));
        }
        self.open_ids.remove(&trip.order.comment.id);
        self.by_client.remove(&trip.order.client);
        Some(trip)
    }

    /// Gives a task its one answer. `elsewhere` says that its primary is not here, and perhaps where.
    fn finish(&mut self, handle: Handle, answer: Answer, elsewhere: Option<Option<SiteId>>) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some((client, mailbox)) = trip.client {
            // Its mailbox always has room for the answers it waits for; it may be gone.
            let _ = mailbox.try_send(Mail::Answer(client, answer));
            return;
        }
        let (Some(hub), Some(guest)) = (&mut self.hub, trip.guest) else { return };
        let effectful = matches!(self.decoded.terms.offerings[trip.offering].effect, Effect::Effectful);
        let mut frame = OutcomeFrame { number: guest.number, ..OutcomeFrame::default() };
        let (kind, fate, value) = match answer {
            Answer::Honoured(rows) => {
                let bytes = Rc::new(rows.pieces.concat());
                let kept = Kept { bytes: bytes.clone(), _room: rows.room.map(Rc::new) };
                (OutcomeKind::Honoured, Fate::Honoured(kept), bytes)
            }
            Answer::Denied { cool_down } => {
                frame.cool_down_us = cool_down.max(0) as u64;
                let kind = if elsewhere.is_some() { OutcomeKind::NotHere } else { OutcomeKind::Denied };
                (kind, Fate::Denied { cool_down }, Rc::default())
            }
            Answer::BrokenOff => (OutcomeKind::BrokenOff, Fate::BrokenOff, Rc::default()),
            Answer::Wrong(_) => (OutcomeKind::Wrong, Fate::Denied { cool_down: 0 }, Rc::default()),
        };
        let denied = kind == OutcomeKind::Denied;
        frame.kind = kind.into();
        frame.hint = elsewhere.flatten().map_or(String::new(), |site| hub.names[site].clone());
        frame.took_us = (self.context.clock.now() - trip.order.arrived).max(0) as u64;
        // Nobody asks about what may simply be sent again.
        let fate = if effectful { fate } else { Fate::BrokenOff };
        let kept = fate.as_ref().map(|kept| &kept.bytes[..]);
        let until = now + Micros::from(trip.order.comment.wait) * 1000 + SLACK;
        let book = hub.book.as_mut().filter(|_| effectful);
        let token = book.and_then(|book| book.settle(now, &guest.origin, guest.number, until, &kept));
        hub.fates.settle(&guest.origin, guest.number, fate);
        // Over the link that it came by, or was last asked about on; where that broke, it will be asked about.
        if hub.gates[guest.gate].links.contains(&guest.link) {
            let value = Rc::try_unwrap(value).unwrap_or_else(|shared| shared.to_vec());
            match token {
                Some(token) => {
                    let (gate, link) = (guest.gate, guest.link);
                    hub.leaving.insert(token, Leaving { gate, link, frame, value });
                }
                None => drop(hub.say(guest.gate, Some(guest.link), Said::Outcome(frame, value))),
            }
        }
        if hub.sites.guest_over(now, guest.gate, trip.offering, denied) {
            hub.tell_room(Some(guest.gate));
        }
    }

    // ---- Links.

    pub(crate) fn link(&mut self, link: LinkId, call: LinkCall) {
        let Some(hub) = &mut self.hub else { return };
        match call {
            LinkCall::Up { said, holder } => {
                hub.links.insert(link, LinkState { gate: None, said, holder });
            }
            LinkCall::Broke => self.link_broke(link),
            LinkCall::Heard(Event::Met(identity)) => self.met(link, identity),
            LinkCall::Heard(event) => {
                let Some(gate) = hub.links.get(&link).and_then(|state| state.gate) else { return };
                self.heard(link, gate, event);
            }
        }
    }

    fn met(&mut self, link: LinkId, identity: Identity) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let Some(site) = hub.site(&identity.site).filter(|&site| site != OWN) else {
            hub.links.remove(&link);
            return;
        };
        let Identity { site: name, instance, start } = identity;
        let origin = Origin { site: name, instance, start };
        let known =
            |gate: &GateState| gate.origin.site == origin.site && gate.origin.instance == origin.instance;
        let id = hub.gates.iter().position(known).unwrap_or_else(|| {
            hub.gates.push(GateState { site, origin: origin.clone(), links: Vec::new() });
            hub.gates.len() - 1
        });
        let current_up = !hub.gates[id].links.is_empty();
        if !hub.fates.greeted(&origin, current_up) {
            warn!(self.context.log, "link of an earlier start of that gateway, closed"; "link" => link,
                "site" => &origin.site, "instance" => &origin.instance);
            hub.links.remove(&link);
            return;
        }
        let same = hub.gates[id].origin.start == origin.start;
        if !same {
            info!(self.context.log, "gateway started anew, what it had taken it knows as far as it was kept";
                "site" => &origin.site, "instance" => &origin.instance);
            // Links of the start before lead nowhere.
            for old in std::mem::take(&mut hub.gates[id].links) {
                hub.links.remove(&old);
            }
            hub.gates[id].origin = origin;
        }
        hub.gates[id].links.push(link);
        if let Some(state) = hub.links.get_mut(&link) {
            state.gate = Some(id);
        }
        let links = hub.gates[id].links.len();
        let todo = hub.sites.links(now, id, site, links, same);
        hub.tell_room(Some(id));
        self.carry_out_sites(todo, None);
    }

    fn link_broke(&mut self, link: LinkId) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let Some(id) = hub.links.remove(&link).and_then(|state| state.gate) else { return };
        hub.gates[id].links.retain(|&other| other != link);
        let (site, links) = (hub.gates[id].site, hub.gates[id].links.len());
        let over = hub.crossed.iter().filter(|(_, crossed)| crossed.link == link && crossed.gate == id);
        let mut numbers: Vec<u64> = over.map(|(&number, _)| number).collect();
        numbers.sort();
        if links == 0 {
            warn!(self.context.log, "no link to that gateway any more"; "site" => &hub.names[site],
                "instance" => &hub.gates[id].origin.instance, "unsettled" => numbers.len());
        }
        let first = hub.sites.links(now, id, site, links, true);
        let second = hub.sites.lost(now, id, &numbers);
        self.carry_out_sites(first, None);
        self.carry_out_sites(second, None);
    }

    fn heard(&mut self, link: LinkId, gate: GateId, event: Event) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let origin = hub.gates[gate].origin.clone();
        match event {
            Event::Met(_) => {}
            Event::Task(task, statement) => self.guest_came(link, gate, task, statement),
            Event::Outcome(outcome, value) => {
                let answer = match outcome.kind() {
                    OutcomeKind::Honoured => FarAnswer::Honoured,
                    OutcomeKind::Denied => FarAnswer::Denied { cool_down: micros(outcome.cool_down_us) },
                    OutcomeKind::NotHere => FarAnswer::NotHere { hint: hub.site(&outcome.hint) },
                    OutcomeKind::Wrong => FarAnswer::NeverTaken,
                    OutcomeKind::BrokenOff | OutcomeKind::Unset => FarAnswer::BrokenOff,
                };
                let brought = self.brought(outcome.number, value);
                let Some(hub) = &mut self.hub else { return };
                let todo = hub.sites.answered(now, outcome.number, answer);
                hub.crossed.remove(&outcome.number);
                self.carry_out_sites(todo, brought);
            }
            Event::Fate(told, value) => {
                let kind = told.kind();
                let fate = match kind {
                    FateKind::NeverTaken => Fate::NeverTaken,
                    FateKind::Denied => Fate::Denied { cool_down: micros(told.cool_down_us) },
                    FateKind::Honoured => Fate::Honoured(()),
                    FateKind::UnderWay => Fate::UnderWay,
                    FateKind::BrokenOff => Fate::BrokenOff,
                    FateKind::Unknown | FateKind::Unset => Fate::Unknown,
                };
                if kind == FateKind::UnderWay
                    && let Some(crossed) = hub.crossed.get_mut(&told.number)
                {
                    crossed.link = link;
                }
                let brought = self.brought(told.number, value);
                let Some(hub) = &mut self.hub else { return };
                let todo = hub.sites.fate(now, told.number, &fate);
                self.carry_out_sites(todo, brought);
            }
            Event::Cancel(number) => {
                let Some(&handle) = hub.guests.get(&(gate, number)) else {
                    // One that waits for its record never begins.
                    let before = hub.coming.len();
                    hub.coming.retain(|_, coming| (coming.gate, coming.number) != (gate, number));
                    if hub.coming.len() < before {
                        hub.fates.settle(&origin, number, Fate::Denied { cool_down: 0 });
                    }
                    return;
                };
                // What the module has begun may run yet.
                hub.fates.settle(&origin, number, Fate::BrokenOff);
                let offering = hub.trips.get(&handle).map_or(0, |trip| trip.offering);
                hub.sites.guest_over(now, gate, offering, false);
                self.trip_left(handle);
            }
            Event::Ask(ask) => {
                let own = hub.own.start;
                let fate = match &hub.book {
                    // What an earlier start took is in what was kept of it.
                    Some(book) if ask.receiver_start != own => {
                        let fate = book.earlier.ask(&origin, ask.number, ask.receiver_start);
                        fate.map(|bytes| Kept { bytes, _room: None })
                    }
                    _ => hub.fates.ask(now, &origin, ask.number, ask.receiver_start, own),
                };
                let (kind, cool_down, value) = match fate {
                    Fate::NeverTaken => (FateKind::NeverTaken, 0, Vec::new()),
                    Fate::UnderWay => (FateKind::UnderWay, 0, Vec::new()),
                    Fate::Denied { cool_down } => (FateKind::Denied, cool_down, Vec::new()),
                    Fate::Honoured(kept) => (FateKind::Honoured, 0, kept.bytes.to_vec()),
                    Fate::BrokenOff => (FateKind::BrokenOff, 0, Vec::new()),
                    Fate::Unknown => (FateKind::Unknown, 0, Vec::new()),
                };
                for coming in hub
                    .coming
                    .values_mut()
                    .filter(|coming| (coming.gate, coming.number) == (gate, ask.number))
                {
                    coming.link = link;
                }
                if let Some(trip) = hub.guests.get(&(gate, ask.number)).and_then(|at| hub.trips.get_mut(at))
                    && let Some(guest) = &mut trip.guest
                {
                    guest.link = link;
                }
                let cool_down_us = cool_down.max(0) as u64;
                let told = FateFrame { number: ask.number, kind: kind.into(), cool_down_us, length: 0 };
                hub.say(gate, Some(link), Said::Fate(told, value));
            }
            Event::Confirm(confirm) => hub.fates.confirm(&origin, confirm.upto),
            Event::Room(room) => {
                let credit = |name: &String| room.credits.iter().find(|credit| credit.offering == *name);
                let credits = hub.offerings.iter().map(|name| credit(name).map_or(0, |credit| credit.tasks));
                let homes: Vec<(u64, bool)> =
                    room.homes.iter().map(|home| (home.group, home.primary)).collect();
                let todo = hub.sites.room(now, gate, credits.collect(), &homes, room.draining);
                self.carry_out_sites(todo, None);
            }
            Event::Trip(took) => hub.sites.trip(gate, took),
        }
    }

    /// What another gateway sent for a task, with room for it where it is large.
    fn brought(&self, number: u64, value: Vec<u8>) -> Option<(Handle, Answer)> {
        let hub = self.hub.as_ref()?;
        let handle = hub.sites.crossed(number)?;
        let trip = hub.trips.get(&handle)?;
        let best = self.context.best_paid.contains(&trip.order.comment.offering);
        let mut room = None;
        if value.len() > self.context.limits.small {
            room = self.context.gate.room_now(trip.order.holder, value.len(), best);
            if room.is_none() {
                return Some((handle, self.without_room(trip.offering)));
            }
        }
        Some((handle, Answer::Honoured(Rows { pieces: vec![value], room })))
    }

    fn guest_came(&mut self, link: LinkId, gate: GateId, task: TaskFrame, statement: Vec<u8>) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let number = task.number;
        // Meant for an earlier start of this gateway: what that one did with it is not known, so nothing is said.
        if task.receiver_start != hub.own.start {
            return;
        }
        let origin = hub.gates[gate].origin.clone();
        let left = micros(task.left_us);
        let mut frame = OutcomeFrame { number, ..OutcomeFrame::default() };
        match hub.fates.take(now, &origin, number, left) {
            Ok(()) => {}
            Err(TurnedAway::Full) => {
                frame.kind = OutcomeKind::Denied.into();
                hub.say(gate, Some(link), Said::Outcome(frame, Vec::new()));
                return;
            }
            // Another copy, or one that was asked about before it came: no news to the sender.
            Err(_) => return,
        }
        let coming = Coming { link, gate, origin, number, came: now, task, statement };
        let offering = self.decoded.offering(&coming.task.offering).ok();
        let effect = offering.map(|offering| self.decoded.terms.offerings[offering].effect);
        let until = now + left + SLACK;
        match hub.book.as_mut().filter(|_| effect == Some(Effect::Effectful)) {
            None => self.guest_goes_on(coming),
            Some(book) => match book.take(now, &coming.origin, number, until) {
                Taking::Waits(token) => drop(hub.coming.insert(token, coming)),
                Taking::Without => self.guest_goes_on(coming),
                Taking::Refused => self.refuse_guest(&coming, OutcomeKind::Denied),
            },
        }
    }

    fn refuse_guest(&mut self, coming: &Coming, kind: OutcomeKind) {
        let Some(hub) = &mut self.hub else { return };
        let frame = OutcomeFrame { number: coming.number, kind: kind.into(), ..OutcomeFrame::default() };
        hub.fates.settle(&coming.origin, coming.number, Fate::Denied { cool_down: 0 });
        hub.say(coming.gate, Some(coming.link), Said::Outcome(frame, Vec::new()));
    }

    /// A record was kept, or was not: what waited for it goes on.
    pub(crate) fn kept(&mut self, well: bool) {
        let now = self.context.clock.now();
        let Some(book) = self.hub.as_mut().and_then(|hub| hub.book.as_mut()) else { return };
        if let Some((token, well)) = book.told(now, well) {
            self.kept_or_not(token, well);
        }
    }

    /// The disk is too slow: what waits for it goes on without.
    pub(crate) fn book_gives_up(&mut self) {
        let now = self.context.clock.now();
        let Some(book) = self.hub.as_mut().and_then(|hub| hub.book.as_mut()) else { return };
        let tokens = book.given_up(now);
        if !tokens.is_empty() {
            warn!(self.context.log, "the gateway's book waits for the disk no longer"; "records" => tokens.len());
        }
        tokens.into_iter().for_each(|token| self.kept_or_not(token, false));
    }

    fn kept_or_not(&mut self, token: Token, well: bool) {
        let Some(hub) = &mut self.hub else { return };
        if let Some(Leaving { gate, link, frame, value }) = hub.leaving.remove(&token) {
            if hub.gates[gate].links.contains(&link) {
                hub.say(gate, Some(link), Said::Outcome(frame, value));
            }
            return;
        }
        match hub.coming.remove(&token) {
            Some(coming) if well => self.guest_goes_on(coming),
            // Nothing of it has begun: that may be said whatever the disk holds.
            Some(coming) => self.refuse_guest(&coming, OutcomeKind::Denied),
            None => {}
        }
    }

    /// A task of another gateway that is in the book goes to the module, or is turned away.
    fn guest_goes_on(&mut self, coming: Coming) {
        let Some(hub) = &mut self.hub else { return };
        let Coming { link, gate, number, ref task, ref statement, .. } = coming;
        let left = micros(task.left_us) - (self.context.clock.now() - coming.came);
        let offering = hub.offerings.iter().position(|name| *name == task.offering);
        let comment = Comment::parse(statement).ok().filter(|comment| comment.group == task.group);
        let circle = task.visited.contains(&hub.own.site);
        let busy = hub.draining || hub.trips.len() >= self.context.limits.tasks;
        let ttl = left - hub.sites.one_way(gate);
        let open = comment.as_ref().is_some_and(|comment| self.open_ids.contains(&comment.id));
        let refused = match (&comment, offering) {
            (Some(_), Some(_)) if circle => Some(OutcomeKind::NotHere),
            (Some(_), Some(_)) if busy || open || ttl <= 0 => Some(OutcomeKind::Denied),
            (Some(_), Some(_)) => None,
            _ => Some(OutcomeKind::Wrong),
        };
        if let Some(kind) = refused {
            return self.refuse_guest(&coming, kind);
        }
        let Coming { origin, task, statement, .. } = coming;
        let (Some(comment), Some(offering)) = (comment, offering) else { return };
        let Some(holder) = hub.links.get(&link).map(|state| state.holder) else { return };
        hub.sites.guest_came(gate, offering);
        hub.next_guest += 1;
        let written_ago = (task.written_ago_us > 0).then(|| micros(task.written_ago_us));
        let client = hub.next_guest;
        // Its answer goes over the link; this mailbox is nobody's.
        let (mailbox, _) = mpsc::channel(1);
        let arrived = self.context.clock.now();
        let order = Order { client, holder, mailbox, arrived, statement, comment, written_ago };
        let guest = Guest { gate, number, link, origin };
        self.set_out(order, offering, ttl.min(MOST), None, Some(guest), task.visited);
    }
}

fn micros(told: u64) -> Micros {
    Micros::try_from(told).unwrap_or(MOST).min(MOST)
}
