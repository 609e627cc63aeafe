//! Two gateways, their modules' answers, and a line between them that delays, cuts and restarts.

use std::collections::{BTreeMap, HashMap};

use aldermill_site_routing::{
    Action, Actions, Effect, LocalResult, Micros, Need, Origin, Outcome, OutcomeTable, PeerAnswer, Request,
    RequestClass, RequestHandle, SiteRouter, SiteRouterConfig,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Micros = 1_000;
pub const LIMIT: Micros = 2_000 * MS;
pub const GROUP: u64 = 2;
/// The other gateway, at either end.
pub const GATEWAY: usize = 0;
pub const FAR: usize = 1;

pub fn terms() -> SiteRouterConfig {
    let class = |effect, need, priority_weight| RequestClass {
        effect,
        need,
        objective: 700 * MS,
        priority_weight,
        late_priority_weight: 0.5,
    };
    SiteRouterConfig {
        classes: vec![
            class(Effect::Idempotent, Need::Any, 1.0),
            class(Effect::NonIdempotent, Need::Primary, 6.0),
            class(Effect::Idempotent, Need::Primary, 2.0),
            class(Effect::Idempotent, Need::Recent(10 * MS), 1.0),
        ],
        sites: 2,
        max_hops: 1,
        max_credit: 64,
        max_retry_after: 1_000 * MS,
    }
}

#[derive(Clone, Debug)]
pub enum Word {
    Request { number: u64, class: usize, left: Micros, start: u64 },
    Answer { number: u64, answer: PeerAnswer },
    Ask { number: u64, start: u64 },
    Told { number: u64, fate: Outcome<()> },
    Cancel(u64),
    Confirm(u64),
}

/// A request as its client sees it.
#[derive(Debug)]
pub struct Asked {
    pub class: usize,
    pub deadline: Micros,
    pub answered: Option<&'static str>,
    pub left: bool,
    pub runs: u32,
}

pub struct Side {
    pub sites: SiteRouter,
    pub fates: OutcomeTable<()>,
    pub start: u64,
    /// Which client's request each handle is, or which number of the other side's.
    pub own: HashMap<RequestHandle, usize>,
    pub guests: HashMap<RequestHandle, (u64, usize)>,
    /// With the module here: when it is done, and by when it must be.
    pub here: BTreeMap<RequestHandle, (Micros, Micros)>,
    pub sent: Vec<u64>,
    /// The start of the other side that a number was sent to.
    pub sent_to: HashMap<u64, u64>,
}

pub struct World {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub sides: [Side; 2],
    pub primary: usize,
    pub up: bool,
    pub delay: Micros,
    /// In flight: when it arrives, to whom.
    pub network: Vec<(Micros, usize, Word)>,
    pub requests: Vec<Asked>,
    pub effects: HashMap<usize, u32>,
}

pub fn origin(side: usize, start: u64) -> Origin {
    Origin { site: ["a", "b"][side].into(), instance: "n0".into(), incarnation: start }
}

pub fn side(seed: u64, now: Micros, start: u64) -> Side {
    let mut sites = SiteRouter::new(terms(), seed, now);
    sites.groups_listed(now, &[(GROUP, 2)]);
    Side {
        sites,
        fates: OutcomeTable::new(1000, 1_000 * MS),
        start,
        own: HashMap::new(),
        guests: HashMap::new(),
        here: BTreeMap::new(),
        sent: Vec::new(),
        sent_to: HashMap::new(),
    }
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            sides: [side(seed, 0, 1), side(seed + 1, 0, 1)],
            primary: 0,
            up: false,
            delay: 10 * MS,
            network: Vec::new(),
            requests: Vec::new(),
            effects: HashMap::new(),
        };
        world.connect();
        world
    }

    pub fn connect(&mut self) {
        self.up = true;
        for at in 0..2 {
            let start = self.sides[1 - at].start;
            self.sides[at].fates.greeted(&origin(1 - at, start), false);
            let offer = self.sides[1 - at].sites.offered_capacity(GATEWAY);
            let actions = self.sides[at].sites.links_changed(self.now, GATEWAY, FAR, 1, true);
            self.carry_out(at, actions);
            let actions = self.sides[at].sites.capacity_announced(
                self.now,
                GATEWAY,
                offer.credits,
                &offer.groups,
                false,
            );
            self.carry_out(at, actions);
        }
    }

    /// The link breaks; what is in flight is lost, or comes late all the same.
    pub fn cut(&mut self) {
        self.up = false;
        for at in 0..2 {
            let actions = self.sides[at].sites.links_changed(self.now, GATEWAY, FAR, 0, true);
            self.carry_out(at, actions);
            let sent = std::mem::take(&mut self.sides[at].sent);
            let actions = self.sides[at].sites.link_lost(self.now, GATEWAY, &sent);
            self.carry_out(at, actions);
        }
        let (rng, now) = (&mut self.rng, self.now);
        self.network.retain(|_| rng.random_bool(0.5));
        self.network.iter_mut().for_each(|flight| flight.0 = now + rng.random_range(0..400 * MS));
    }

    /// The process at a side dies and starts again: all that it held is gone.
    pub fn restart(&mut self, at: usize) {
        if self.up {
            self.cut();
        }
        let start = self.sides[at].start + 1;
        for (_, request) in std::mem::take(&mut self.sides[at].own) {
            // Its clients went with it.
            self.requests[request].left = true;
        }
        self.sides[at] = side(start * 77 + at as u64, self.now, start);
        let actions = self.sides[1 - at].sites.links_changed(self.now, GATEWAY, FAR, 0, false);
        self.carry_out(1 - at, actions);
        self.sides[1 - at].fates.greeted(&origin(at, start), false);
        self.sides[at].fates.greeted(&origin(1 - at, self.sides[1 - at].start), false);
    }

    pub fn say(&mut self, from: usize, word: Word) {
        if self.up {
            let at = self.now + self.delay + self.rng.random_range(0..self.delay + 1);
            self.network.push((at, 1 - from, word.clone()));
            if self.rng.random_bool(0.02) {
                self.network.push((at + 50 * MS, 1 - from, word));
            }
        }
    }

    pub fn take(&mut self, at: usize, class: usize) {
        let request = self.requests.len();
        self.requests.push(Asked { class, deadline: self.now + LIMIT, answered: None, left: false, runs: 0 });
        let (handle, actions) = self.sides[at].sites.accept(
            self.now,
            Request { class, group: GROUP, timeout: LIMIT, visited: Vec::new(), session: None },
        );
        self.sides[at].own.insert(handle, request);
        self.carry_out(at, actions);
    }

    pub fn carry_out(&mut self, at: usize, actions: Actions) {
        for (handle, step) in actions.requests {
            match step {
                Action::ServeLocally { timeout: ttl } => {
                    let takes = (self.rng.random_range(1..150) * MS).min((ttl - 20 * MS).max(0));
                    self.sides[at].here.insert(handle, (self.now + takes, self.now + ttl));
                }
                Action::Withdraw => {
                    self.sides[at].here.remove(&handle).expect("taken back from where it is");
                }
                Action::Forward { number, timeout: left, .. } => {
                    assert!(left > 0, "sent with no time left");
                    let (request, start) = (self.sides[at].own[&handle], self.sides[1 - at].start);
                    self.effects.insert(number as usize * 2 + at, request as u32);
                    self.sides[at].sent.push(number);
                    self.sides[at].sent_to.insert(number, start);
                    let class = self.requests[request].class;
                    self.say(at, Word::Request { number, class, left, start });
                }
                Action::QueryOutcome { number, .. } => {
                    let start = self.sides[at].sent_to[&number];
                    self.say(at, Word::Ask { number, start });
                }
                Action::Cancel { number, .. } => self.say(at, Word::Cancel(number)),
                Action::RelayResponse => self.answer(at, handle, PeerAnswer::Served),
                Action::Reject { retry_after } => {
                    self.answer(at, handle, PeerAnswer::Rejected { retry_after })
                }
                Action::Fail => self.answer(at, handle, PeerAnswer::Failed),
                Action::ReportNotPrimary { hint } => self.answer(at, handle, PeerAnswer::NotPrimary { hint }),
            }
        }
        for (_, upto) in actions.confirmations {
            self.say(at, Word::Confirm(upto));
        }
    }

    /// The one answer to a client, or to the other side.
    pub fn answer(&mut self, at: usize, handle: RequestHandle, answer: PeerAnswer) {
        if let Some(request) = self.sides[at].own.remove(&handle) {
            let now = self.now;
            let request = &mut self.requests[request];
            if request.left {
                return;
            }
            let said = match answer {
                PeerAnswer::Served => "served",
                PeerAnswer::Rejected { .. } => "rejected",
                PeerAnswer::Failed => "failed",
                _ => panic!("no answer for a client: {answer:?}"),
            };
            assert_eq!(request.answered.replace(said), None, "answered twice");
            assert!(now <= request.deadline, "{} too late", now - request.deadline);
            let effectful = request.class == 1;
            assert!(said != "rejected" || !effectful || request.runs == 0, "rejected, and it ran");
            assert!(said != "served" || request.runs > 0, "served, and it never ran");
        } else if let Some((number, class)) = self.sides[at].guests.remove(&handle) {
            let other = origin(1 - at, self.sides[1 - at].start);
            if class == 1 {
                let fate = match answer {
                    PeerAnswer::Served => Outcome::Served(()),
                    PeerAnswer::Failed => Outcome::Failed,
                    _ => Outcome::Rejected { retry_after: 0 },
                };
                self.sides[at].fates.record(&other, number, fate);
            }
            let rejected = matches!(answer, PeerAnswer::Rejected { .. });
            self.sides[at].sites.remote_request_ended(self.now, GATEWAY, class, rejected);
            self.say(at, Word::Answer { number, answer });
        }
    }

    /// The module at a side is done with a request.
    pub fn here_done(&mut self, at: usize, handle: RequestHandle, deadline: Micros) {
        let side = &mut self.sides[at];
        let request = match (side.own.get(&handle), side.guests.get(&handle)) {
            (Some(&request), _) => request,
            (None, Some(&(number, _))) => self.effects[&(number as usize * 2 + (1 - at))] as usize,
            _ => return,
        };
        let primary = self.primary == at;
        let needs_primary = matches!(self.requests[request].class, 1 | 2);
        let actions = if needs_primary && !primary && self.now > deadline - 60 * MS {
            side.sites.local_finished(self.now, handle, LocalResult::Rejected { retry_after: 0 })
        } else if needs_primary && !primary {
            let actions = side.sites.local_not_primary(self.now, handle);
            if !actions.requests.contains(&(handle, Action::Withdraw)) {
                side.here.insert(handle, (self.now + 30 * MS, deadline));
            } else {
                side.here.insert(handle, (0, 0));
            }
            actions
        } else {
            let ended = match self.rng.random_range(0..20) {
                0 => LocalResult::Rejected { retry_after: 0 },
                1 => LocalResult::Failed,
                _ => LocalResult::Served,
            };
            if !matches!(ended, LocalResult::Rejected { .. }) {
                self.requests[request].runs += 1;
                let asked = &self.requests[request];
                assert!(asked.class != 1 || asked.runs == 1, "an effectful request ran twice");
                assert!(asked.class != 1 || asked.answered != Some("rejected"), "it ran after a denial");
            }
            side.sites.local_finished(self.now, handle, ended)
        };
        self.carry_out(at, actions);
    }

    pub fn arrive(&mut self, at: usize, word: Word) {
        let other = origin(1 - at, self.sides[1 - at].start);
        let (now, own) = (self.now, self.sides[at].start);
        match word {
            Word::Request { start, .. } if start != own => {}
            Word::Request { number, class, left, .. } => {
                // Whatever its effect, a number is taken once: a doubled frame is no second request.
                if self.sides[at].fates.accept(now, &other, number, left).is_err() {
                    return;
                }
                self.sides[at].sites.remote_request_started(GATEWAY, class);
                let request = Request {
                    class,
                    group: GROUP,
                    timeout: left - self.delay,
                    visited: vec![FAR],
                    session: None,
                };
                let (handle, actions) = self.sides[at].sites.accept(now, request);
                self.sides[at].guests.insert(handle, (number, class));
                self.carry_out(at, actions);
            }
            Word::Answer { number, answer } => {
                let actions = self.sides[at].sites.answered(now, number, answer);
                self.carry_out(at, actions);
            }
            Word::Ask { number, start } => {
                let fate = self.sides[at].fates.query(now, &other, number, start, own);
                self.say(at, Word::Told { number, fate });
            }
            Word::Told { number, fate } => {
                let actions = self.sides[at].sites.outcome_received(now, number, &fate);
                self.carry_out(at, actions);
            }
            Word::Cancel(number) => {
                let guest = self.sides[at].guests.iter().find(|(_, guest)| guest.0 == number);
                if let Some((&handle, _)) = guest {
                    // What the module has begun goes on there.
                    if !self.sides[at].here.contains_key(&handle) {
                        let actions = self.sides[at].sites.abandon(now, handle);
                        self.carry_out(at, actions);
                    }
                }
            }
            Word::Confirm(upto) => self.sides[at].fates.confirm(&other, upto),
        }
    }

    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let now = self.now;
            while let Some(at) = self.network.iter().position(|flight| flight.0 <= now) {
                let (_, to, word) = self.network.remove(at);
                self.arrive(to, word);
            }
            for at in 0..2 {
                let due = self.sides[at].here.iter().filter(|(_, (due, _))| *due <= now);
                for (handle, deadline) in
                    due.map(|(&handle, &(_, deadline))| (handle, deadline)).collect::<Vec<_>>()
                {
                    self.sides[at].here.remove(&handle);
                    self.here_done(at, handle, deadline);
                }
                self.sides[at].fates.expire(now);
                let actions = self.sides[at].sites.wake(now);
                self.carry_out(at, actions);
            }
            for request in &self.requests {
                assert!(
                    request.answered.is_some() || request.left || now < request.deadline,
                    "no answer in time: {request:?}"
                );
            }
        }
    }

    pub fn step(&mut self, kind: u8, a: u64) {
        match kind {
            0..=5 => self.take((a % 2) as usize, (a / 2 % 4) as usize),
            6 if self.up => self.cut(),
            7 | 8 if !self.up => self.connect(),
            9 => self.primary = (a % 2) as usize,
            10 if a.is_multiple_of(5) => self.restart((a / 5 % 2) as usize),
            11 => self.delay = [1, 10, 40, 150][(a % 4) as usize] * MS,
            12 if !self.requests.is_empty() => {
                let request = a as usize % self.requests.len();
                for at in 0..2 {
                    let held = self.sides[at]
                        .own
                        .iter()
                        .find(|(_, own)| **own == request)
                        .map(|(&handle, _)| handle);
                    // What the module here has begun is left to it, as by the driver.
                    if let Some(handle) = held.filter(|handle| !self.sides[at].here.contains_key(handle)) {
                        self.requests[request].left = true;
                        self.sides[at].own.remove(&handle);
                        let actions = self.sides[at].sites.abandon(self.now, handle);
                        self.carry_out(at, actions);
                    }
                }
            }
            _ => self.pass((1 + a as Micros % 300) * MS),
        }
    }
}
