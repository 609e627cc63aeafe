//! Every decision on sites.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_measured::{Histogram, Trip};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::credit::Offers;
use crate::crossing::{Crossing, Crossings, Settled};
use crate::homes::Homes;
use crate::{
    Answer, Effect, Fate, GateId, HereEnded, Micros, Need, OWN, Offering, SiteId, Step, Task, Terms, Todo,
};

const MS: Micros = 1_000;
const BEAT: Micros = 20 * MS;
/// Of a write after a round of 'not here', as the router holds one after a round of misses.
const HOLD: Micros = 500 * MS;
const BAR: Micros = 5_000 * MS;
const FAILURES: usize = 5;
const FAILURE_WINDOW: Micros = 10_000 * MS;
/// An unsettled crossing is asked about again after so long without an answer.
const ASK_AGAIN: Micros = 500 * MS;
/// Until a link's round trip is measured.
const TRIP: Micros = 50 * MS;
const KEEP: u32 = 128;
/// Honoured tasks after which a gateway's times are believed.
const ENOUGH: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(u64);

impl Handle {
    /// A launch of it here was answered 'miss': that member is not the primary.
    pub fn here_missed(self, sites: &mut Sites, now: Micros) -> Todo {
        sites.here_missed(now, self);
        sites.take_todo()
    }

    /// The own site's module is done with it.
    pub fn here_ended(self, sites: &mut Sites, now: Micros, ended: HereEnded) -> Todo {
        sites.here_ended(now, self, ended);
        sites.take_todo()
    }

    /// Nobody waits for it any more.
    pub fn left(self, sites: &mut Sites, now: Micros) -> Todo {
        if let Some(errand) = sites.errands.get(&self)
            && let Some(number) = errand.out
            && let Some(sent) = sites.crossings.get(number)
        {
            sites.todo.steps.push((self, Step::Cancel { gate: sent.gate, number }));
        }
        sites.close(self);
        sites.pump_all(now);
        sites.take_todo()
    }
}

#[derive(Debug)]
struct Errand {
    task: Task,
    limit: Micros,
    quoted_by: Micros,
    /// With the own site's module.
    here: bool,
    /// Misses that it met here in this round.
    misses: usize,
    /// Crossed under this number, and not settled.
    out: Option<u64>,
    /// Sites that answered 'not here' in this round.
    tried: Vec<SiteId>,
    /// When it may first have run, and at which site.
    may_have_run: Option<(Micros, SiteId)>,
    crossed: u32,
}

/// Another gateway.
#[derive(Debug)]
struct Gate {
    site: SiteId,
    links: usize,
    /// When its last link went.
    lost: Micros,
    trip: Trip,
    credits: Vec<u32>,
    draining: bool,
    barred_until: Micros,
    failures: VecDeque<Micros>,
    took: Vec<Histogram>,
    /// Tasks that it honoured, as far as they tell more than the first guess.
    honoured: u32,
}

impl Gate {
    /// How many tasks may be out so that those under way there are as many as it offers: on a long line most of them
    /// are on the way at any time. Protects throughput over long lines from windows meant for work. Harms the other
    /// side with a burst when what was on the way comes at once; what it cannot take it denies, and offers less.
    fn may_be_out(&self, offering: usize, most: u32) -> usize {
        let credit = self.credits.get(offering).copied().unwrap_or(0);
        let total = self.took[offering].quantile(0.5).unwrap_or(0);
        if self.honoured < ENOUGH || credit == 0 {
            return credit as usize;
        }
        let there = (total - self.trip.mean()).max(MS);
        let stretch = (total.max(there) as f64 / there as f64).max(1.0);
        ((f64::from(credit) * stretch) as usize).min(most as usize).max(credit as usize)
    }
}

/// What is believed of a gateway, for people.
#[derive(Clone, Debug, Default)]
pub struct GateView {
    pub trip: Micros,
    pub credits: Vec<u32>,
    pub draining: bool,
    pub barred: bool,
    /// Tasks under way there.
    pub out: usize,
}

/// The decisions of one gateway on which site a task goes to.
#[derive(Debug)]
pub struct Sites {
    terms: Terms,
    rng: Pcg64Mcg,
    gates: BTreeMap<GateId, Gate>,
    homes: Homes,
    errands: HashMap<Handle, Errand>,
    next: u64,
    crossings: Crossings<Handle>,
    offers: Offers,
    /// Tasks that wait, in the order in which they came.
    held: Vec<Handle>,
    next_beat: Micros,
    /// When the last standstill of this process ended.
    woke: Micros,
    todo: Todo,
}

impl Sites {
    pub fn start(terms: Terms, seed: u64, now: Micros) -> Sites {
        Sites {
            rng: Pcg64Mcg::seed_from_u64(seed),
            gates: BTreeMap::new(),
            homes: Homes::default(),
            errands: HashMap::new(),
            next: 0,
            crossings: Crossings::default(),
            offers: Offers::start(&terms.offerings, terms.max_credit),
            held: Vec::new(),
            next_beat: now,
            woke: Micros::MIN / 2,
            todo: Todo::default(),
            terms,
        }
    }

    /// A task of a client, or one that came over a link.
    pub fn take(&mut self, now: Micros, task: Task) -> (Handle, Todo) {
        let handle = Handle(self.next);
        self.next += 1;
        let (limit, quoted_by) = (now + task.ttl, now + self.offering(&task).quoted);
        let errand = Errand {
            task,
            limit,
            quoted_by,
            here: false,
            misses: 0,
            out: None,
            tried: Vec::new(),
            may_have_run: None,
            crossed: 0,
        };
        self.errands.insert(handle, errand);
        self.place(now, handle);
        (handle, self.take_todo())
    }

    pub fn knows(&self, handle: Handle) -> bool {
        self.errands.contains_key(&handle)
    }

    /// The task that crossed under this number, if it is not closed.
    pub fn crossed(&self, number: u64) -> Option<Handle> {
        self.crossings.get(number).map(|sent| sent.handle)
    }

    pub fn knows_group(&self, group: u64) -> bool {
        self.homes.known().any(|known| known == group)
    }

    /// One way to a gateway, with a margin.
    pub fn one_way(&self, id: GateId) -> Micros {
        self.gates.get(&id).map_or(TRIP, |gate| gate.trip.one_way())
    }

    pub fn view(&self, now: Micros, id: GateId) -> GateView {
        let Some(gate) = self.gates.get(&id) else { return GateView::default() };
        GateView {
            trip: gate.trip.mean(),
            credits: gate.credits.clone(),
            draining: gate.draining,
            barred: now < gate.barred_until,
            out: self.crossings.open_at(id).len(),
        }
    }

    /// This process stood still until now. What was out meanwhile says nothing of other gateways: neither how long
    /// they take nor that they lose tasks.
    ///
    /// Protects gateways from a bar for what fell into a standstill here. Harms tasks by a gateway that loses them at
    /// that moment: it is found out by those sent after it.
    pub fn stood_still(&mut self, now: Micros) {
        self.woke = now;
    }

    /// Each group, where its primary is believed to be, and how many members it has here.
    pub fn homes(&self) -> Vec<(u64, Option<SiteId>, usize)> {
        let homes = &self.homes;
        homes.known().map(|group| (group, homes.home(group), homes.here(group))).collect()
    }

    // ---- What is heard.

    /// The operator's word on a group's home, until an answer tells.
    pub fn guess(&mut self, group: u64, site: SiteId) {
        self.homes.guess(group, site);
    }

    /// The groups that have members here, and how many.
    pub fn listed(&mut self, now: Micros, groups: &[(u64, usize)]) -> Todo {
        self.homes.listed(groups);
        self.todo.offers = true;
        self.pump_all(now);
        self.take_todo()
    }

    /// A member here said that it is its group's primary.
    pub fn primary_here(&mut self, now: Micros, group: u64) -> Todo {
        if self.homes.answered(now, group, OWN) {
            self.todo.offers = true;
            self.pump_all(now);
        }
        self.take_todo()
    }

    /// Another gateway was greeted, or one of its links came or went: so many stand now. `same` is false where its
    /// process is another one than before: what that one took it knows as far as it was kept.
    pub fn links(&mut self, now: Micros, id: GateId, site: SiteId, links: usize, same: bool) -> Todo {
        let offerings = &self.terms.offerings;
        let gate = self.gates.entry(id).or_insert_with(|| Gate {
            site,
            links: 0,
            lost: Micros::MIN / 2,
            trip: Trip::guessed(TRIP),
            credits: vec![0; offerings.len()],
            draining: false,
            barred_until: Micros::MIN / 2,
            failures: VecDeque::new(),
            honoured: 0,
            took: offerings.iter().map(|offering| Histogram::of(offering.quoted / 8, 4)).collect(),
        });
        if gate.links > 0 && links == 0 {
            gate.lost = now;
        }
        gate.links = links;
        if !same {
            gate.draining = false;
            self.offers.forget(id);
            // The book of its earlier start may have been kept: it is asked, and knows or does not.
            for number in self.crossings.open_at(id) {
                let Some(sent) = self.crossings.get_mut(number) else { continue };
                let harmless = self.terms.offerings[sent.offering].effect != Effect::Effectful;
                let settled = sent.crossing.lost(harmless);
                self.settle(now, number, settled);
            }
        }
        if links > 0 {
            self.ask_all(now, id);
        } else if let Some(gate) = self.gates.get_mut(&id) {
            // What it said of its room is no longer true.
            gate.credits.iter_mut().for_each(|credit| *credit = 0);
        }
        self.pump_all(now);
        self.take_todo()
    }

    /// The link that these numbers went out on broke.
    pub fn lost(&mut self, now: Micros, id: GateId, numbers: &[u64]) -> Todo {
        for &number in numbers {
            let Some(sent) = self.crossings.get(number).filter(|sent| sent.gate == id) else { continue };
            let harmless = self.terms.offerings[sent.offering].effect != Effect::Effectful;
            if let Some(sent) = self.crossings.get_mut(number) {
                let settled = sent.crossing.lost(harmless);
                self.settle(now, number, settled);
            }
        }
        self.ask_all(now, id);
        self.pump_all(now);
        self.take_todo()
    }

    /// What another gateway says of itself: its credits by offering, its groups and which of them have their primary
    /// there, whether it drains.
    pub fn room(
        &mut self,
        now: Micros,
        id: GateId,
        credits: Vec<u32>,
        homes: &[(u64, bool)],
        draining: bool,
    ) -> Todo {
        if let Some(gate) = self.gates.get_mut(&id) {
            (gate.credits, gate.draining) = (credits, draining);
            let site = gate.site;
            self.homes.told(now, site, homes);
        }
        self.pump_all(now);
        self.take_todo()
    }

    pub fn trip(&mut self, id: GateId, took: Micros) {
        if let Some(gate) = self.gates.get_mut(&id) {
            gate.trip.measured(took);
        }
    }

    /// Another gateway answered a task.
    pub fn answered(&mut self, now: Micros, number: u64, answer: Answer) -> Todo {
        if let Some(sent) = self.crossings.get_mut(number) {
            let (id, handle, offering, at) = (sent.gate, sent.handle, sent.offering, sent.since);
            let settled = sent.crossing.answered(answer);
            let group = self.errands.get(&handle).map(|errand| errand.task.group);
            if let Some(gate) = self.gates.get_mut(&id) {
                let site = gate.site;
                match answer {
                    Answer::Honoured => {
                        if at >= self.woke {
                            gate.took[offering].add(now - at, KEEP);
                        }
                        gate.honoured = gate.honoured.saturating_add(1);
                        gate.failures.clear();
                        if let (Some(group), Need::Primary) = (group, self.terms.offerings[offering].need) {
                            self.homes.answered(now, group, site);
                        }
                    }
                    Answer::NotHere { hint } => {
                        group.into_iter().for_each(|group| self.homes.missed(now, group, site, hint));
                        if let Some(errand) = self.errands.get_mut(&handle) {
                            errand.tried.push(site);
                        }
                    }
                    Answer::Denied { .. } | Answer::BrokenOff | Answer::NeverTaken => {}
                }
            }
            match answer {
                // The far site's word on when to come again goes to the client as it is.
                Answer::Denied { cool_down } => {
                    self.uncross(number);
                    self.deny(handle, cool_down);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_todo()
    }

    /// Another gateway said what became of a task that was asked about.
    pub fn fate<V>(&mut self, now: Micros, number: u64, fate: &Fate<V>) -> Todo {
        if let Some(sent) = self.crossings.get_mut(number) {
            let handle = sent.handle;
            let settled = sent.crossing.told(fate);
            match fate {
                Fate::Denied { cool_down } => {
                    self.uncross(number);
                    self.deny(handle, *cool_down);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_todo()
    }

    /// What is offered to another gateway now: credits by offering, and the groups here with their primary or not.
    pub fn offered(&mut self, id: GateId) -> (Vec<u32>, Vec<(u64, bool)>) {
        let homes = &self.homes;
        let here = homes.known().filter(|&group| homes.here(group) > 0);
        let groups = here.map(|group| (group, homes.home(group) == Some(OWN))).collect();
        (self.offers.credits(id), groups)
    }

    /// A task of another gateway came, or is over here.
    pub fn guest_came(&mut self, id: GateId, offering: usize) {
        self.offers.came(id, offering);
    }

    pub fn guest_over(&mut self, now: Micros, id: GateId, offering: usize, denied: bool) -> bool {
        self.offers.over(now, id, offering, denied)
    }

    pub fn wake(&mut self, now: Micros) -> Todo {
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.beat(now);
        }
        self.take_todo()
    }

    // ---- The ordinary path.

    /// Sends the task to the site that it belongs to, holds it, or gives it up.
    fn place(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get(&handle) else { return };
        let offering = *self.offering(&errand.task);
        if self.stuck(now, errand, &offering) {
            return self.give_up(handle);
        }
        let Some(site) = self.site_for(now, errand, &offering) else {
            // Every site has said 'not here', or none can be reached: as the router after a round of misses.
            return self.hold(now, handle);
        };
        if site == OWN {
            let ttl = errand.limit - now;
            let errand = self.errands.get_mut(&handle).expect("held by its handle");
            (errand.here, errand.misses) = (true, 0);
            return self.todo.steps.push((handle, Step::Here { ttl }));
        }
        if errand.task.visited.len() >= self.terms.max_hops {
            return self.not_here(handle, site);
        }
        // Where it has no room, what is held goes when it has.
        let Some(id) = self.gate_to(now, site, errand.task.offering) else { return self.hold(now, handle) };
        let gate = &self.gates[&id];
        let (way, errand) = (gate.trip.one_way(), &self.errands[&handle]);
        let usual = gate.took[errand.task.offering].quantile(0.5).unwrap_or(0).max(gate.trip.mean());
        let useful =
            if offering.late_share > 0.0 { errand.limit } else { errand.limit.min(errand.quoted_by) };
        // What cannot be back in time is denied before it is sent.
        if now + usual.max(2 * way) >= useful {
            return self.give_up(handle);
        }
        let left = errand.limit - now - way;
        let number = self.crossings.send(now, handle, id, errand.task.offering);
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        (errand.out, errand.crossed) = (Some(number), errand.crossed + 1);
        self.todo.steps.push((handle, Step::Cross { gate: id, number, left }));
    }

    /// Whether it can be sent nowhere any more: its time is up, or it may have run and must not again.
    fn stuck(&self, now: Micros, errand: &Errand, offering: &Offering) -> bool {
        let never_again = match (offering.effect, errand.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Receipted { window, .. }, Some((at, _))) => now >= at + window,
            (Effect::Effectful, Some(_)) => true,
        };
        // Protects other sites from tasks that are lost again and again; each crossing costs both sides work.
        never_again || now + BEAT >= errand.limit || errand.crossed > 2 + self.terms.sites as u32
    }

    /// Where it goes next; `None` is nowhere for now.
    fn site_for(&self, now: Micros, errand: &Errand, offering: &Offering) -> Option<SiteId> {
        let group = errand.task.group;
        // A receipt may reach no further than the site that had the task first.
        if let (Effect::Receipted { within_site: true, .. }, Some((_, site))) =
            (offering.effect, errand.may_have_run)
        {
            return Some(site);
        }
        let known = |&site: &SiteId| self.homes.is_at(group, site) && !errand.task.visited.contains(&site);
        match offering.need {
            Need::Primary => {
                let tried = |site: &SiteId| errand.tried.contains(site);
                let home = self.homes.home(group).filter(|site| !tried(site) && known(site));
                if let Some(home) = home.filter(|&home| self.is_reached(home) || self.lost_lately(now, home))
                {
                    return self.is_reached(home).then_some(home);
                }
                // The walk: the believed home first, then all others in their order, the own site first.
                let mut others = (0..self.terms.sites).filter(known).filter(|site| !tried(site));
                if now < self.homes.walk_after(group) {
                    None
                } else {
                    others.find(|&site| self.is_reached(site))
                }
            }
            // What can be answered at home stays at home.
            Need::Any | Need::Recent(_) if self.homes.here(group) > 0 => Some(OWN),
            Need::Any => self.nearest(now, errand, |_| true),
            // It is measured from when it was sent: what is left of the bound beyond must be more than the way.
            Need::Recent(bound) => self.nearest(now, errand, |gate| gate.trip.one_way() < bound),
        }
    }

    /// The site with the shortest round trip of those that have members of the group.
    fn nearest(&self, now: Micros, errand: &Errand, fits: impl Fn(&Gate) -> bool) -> Option<SiteId> {
        let group = errand.task.group;
        let may = |gate: &&Gate| {
            self.homes.is_at(group, gate.site)
                && !errand.task.visited.contains(&gate.site)
                && !errand.tried.contains(&gate.site)
                && self.usable(now, gate)
                && fits(gate)
        };
        self.gates.values().filter(may).min_by_key(|gate| gate.trip.mean()).map(|gate| gate.site)
    }

    /// A gateway of that site with credit left for the offering, by chance in proportion to it. One that is barred
    /// is still tried where all are.
    fn gate_to(&mut self, now: Micros, site: SiteId, offering: usize) -> Option<GateId> {
        let credit = |id: GateId, gate: &Gate| {
            let most = gate.may_be_out(offering, self.terms.max_credit);
            most.saturating_sub(self.crossings.count_at(id, offering))
        };
        let open = |(&id, gate): (&GateId, &Gate)| (id, credit(id, gate));
        let may = |gate: &Gate| gate.site == site && gate.links > 0 && !gate.draining;
        let mut gates: Vec<(GateId, usize)> =
            self.gates.iter().filter(|(_, gate)| may(gate) && now >= gate.barred_until).map(open).collect();
        if gates.is_empty() {
            gates = self.gates.iter().filter(|(_, gate)| may(gate)).map(open).collect();
        }
        let all: usize = gates.iter().map(|(_, credit)| credit).sum();
        if all == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..all);
        gates
            .into_iter()
            .find(|&(_, credit)| {
                let found = drawn < credit;
                drawn = drawn.saturating_sub(credit);
                found
            })
            .map(|(id, _)| id)
    }

    /// Something may be sent there at all.
    fn is_reached(&self, site: SiteId) -> bool {
        let up = |gate: &Gate| gate.site == site && gate.links > 0 && !gate.draining;
        site == OWN || self.gates.values().any(up)
    }

    /// Protects other sites, and the members here, from walks at every short break of a link: the home's tasks wait
    /// as long as after a round of 'not here'. Should also cover a gateway that starts anew. Harms writes whose home
    /// moved with the break.
    fn lost_lately(&self, now: Micros, site: SiteId) -> bool {
        self.gates.values().any(|gate| gate.site == site && !gate.draining && now - gate.lost < HOLD)
    }

    /// The three bars: its own word that it drains, no link that stands, failures in a row.
    fn usable(&self, now: Micros, gate: &Gate) -> bool {
        gate.links > 0 && !gate.draining && now >= gate.barred_until
    }

    fn hold(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        if !errand.task.visited.is_empty() {
            // Who sent it holds it; here it only takes up time.
            return self.not_here(handle, OWN);
        }
        let round = !errand.tried.is_empty();
        errand.tried.clear();
        let group = errand.task.group;
        if round && self.homes.walk_after(group) <= now {
            self.homes.hold_walks(group, now + HOLD);
        }
        self.held.push(handle);
    }

    /// To the gateway that sent it: it never ran, and the primary is elsewhere.
    fn not_here(&mut self, handle: Handle, believed: SiteId) {
        let hint = (believed != OWN).then_some(believed);
        self.todo.steps.push((handle, Step::NotHere { hint }));
        self.close(handle);
    }

    fn here_missed(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle).filter(|errand| errand.here) else { return };
        errand.misses += 1;
        let (group, misses) = (errand.task.group, errand.misses);
        // Once every member here has said that it is not the primary, the walk goes on at other sites. Where there
        // are none that could be asked, the own module holds the task as ever.
        if misses < self.homes.here(group) || self.homes.home(group) == Some(OWN) && misses < 2 {
            return;
        }
        self.homes.missed(now, group, OWN, None);
        let errand = &self.errands[&handle];
        let guest = !errand.task.visited.is_empty();
        let elsewhere = self.gates.values().any(|gate| {
            self.usable(now, gate)
                && self.homes.is_at(group, gate.site)
                && !errand.tried.contains(&gate.site)
                && !errand.task.visited.contains(&gate.site)
        });
        if !guest && !elsewhere {
            // With the own module again, which holds it after its round of misses; then all may be asked anew.
            return self.errands.get_mut(&handle).expect("held by its handle").tried.clear();
        }
        self.todo.steps.push((handle, Step::TakeBack));
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        errand.here = false;
        errand.tried.push(OWN);
        self.place(now, handle);
    }

    fn here_ended(&mut self, now: Micros, handle: Handle, ended: HereEnded) {
        let Some(errand) = self.errands.get(&handle).filter(|errand| errand.here) else { return };
        let (group, need) = (errand.task.group, self.offering(&errand.task).need);
        match ended {
            HereEnded::Honoured => {
                if need == Need::Primary && self.homes.answered(now, group, OWN) {
                    self.todo.offers = true;
                }
                self.todo.steps.push((handle, Step::Honour));
            }
            HereEnded::Denied { cool_down } => self.todo.steps.push((handle, Step::Deny { cool_down })),
            HereEnded::BrokenOff => self.todo.steps.push((handle, Step::BreakOff)),
        }
        self.close(handle);
    }

    // ---- What crossed.

    fn settle(&mut self, now: Micros, number: u64, settled: Settled) {
        if settled == Settled::Open {
            return;
        }
        let Some(sent) = self.uncross(number) else { return };
        let handle = sent.handle;
        if settled == Settled::MayHaveRun && sent.since >= self.woke {
            self.failed(now, sent.gate);
        }
        let site = self.gates.get(&sent.gate).map_or(OWN, |gate| gate.site);
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        match settled {
            Settled::Honoured => {
                self.todo.steps.push((handle, Step::Honour));
                self.close(handle);
            }
            Settled::MayHaveRun => {
                errand.may_have_run = errand.may_have_run.or(Some((sent.at, site)));
                self.place(now, handle);
            }
            _ => self.place(now, handle),
        }
    }

    /// Takes a crossing out of the books; nothing more will be asked about it.
    fn uncross(&mut self, number: u64) -> Option<crate::crossing::Sent<Handle>> {
        let sent = self.crossings.close(number)?;
        if let Some(errand) = self.errands.get_mut(&sent.handle) {
            errand.out = None;
        }
        if let Some(upto) = self.crossings.confirm(sent.gate) {
            self.todo.confirms.retain(|(gate, _)| *gate != sent.gate);
            self.todo.confirms.push((sent.gate, upto));
        }
        Some(sent)
    }

    /// Protects tasks from a gateway that loses them. Should also cover one whose links break all the time. Harms
    /// one whose link broke once under many tasks: it is barred for a while, unless it is the only one.
    fn failed(&mut self, now: Micros, id: GateId) {
        let Some(gate) = self.gates.get_mut(&id) else { return };
        gate.failures.push_back(now);
        gate.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if gate.failures.len() >= FAILURES {
            gate.barred_until = now + BAR;
            gate.failures.clear();
        }
    }

    fn ask_all(&mut self, now: Micros, id: GateId) {
        if self.gates.get(&id).is_none_or(|gate| gate.links == 0) {
            return;
        }
        for number in self.crossings.open_at(id) {
            self.ask(now, number);
        }
    }

    fn ask(&mut self, now: Micros, number: u64) {
        if let Some(sent) = self.crossings.get_mut(number)
            && sent.crossing == Crossing::Unsettled
        {
            (sent.crossing, sent.at) = (Crossing::Asked, now);
            self.todo.steps.push((sent.handle, Step::Ask { gate: sent.gate, number }));
        }
    }

    // ---- The end of a task.

    fn deny(&mut self, handle: Handle, cool_down: Micros) {
        let Some(errand) = self.errands.get(&handle) else { return };
        let pure = self.offering(&errand.task).effect == Effect::Pure;
        // A denial promises that nothing ran.
        let step = if errand.may_have_run.is_none() || pure {
            Step::Deny { cool_down: cool_down.min(self.terms.max_cool_down) }
        } else {
            Step::BreakOff
        };
        self.todo.steps.push((handle, step));
        self.close(handle);
    }

    fn give_up(&mut self, handle: Handle) {
        let Some(errand) = self.errands.get(&handle) else { return };
        let quoted = self.offering(&errand.task).quoted;
        self.deny(handle, quoted);
    }

    fn close(&mut self, handle: Handle) {
        if let Some(errand) = self.errands.remove(&handle) {
            if let Some(number) = errand.out {
                self.uncross(number);
            }
            self.held.retain(|&held| held != handle);
        }
    }

    fn pump_all(&mut self, now: Micros) {
        let mut held = std::mem::take(&mut self.held);
        held.retain(|handle| self.errands.contains_key(handle));
        // Best paid first, then those that came first.
        held.sort_by(|a, b| {
            let payoff = |handle: &Handle| self.offering(&self.errands[handle].task).payoff;
            payoff(b).total_cmp(&payoff(a)).then(a.cmp(b))
        });
        held.into_iter().for_each(|handle| self.place(now, handle));
    }

    fn beat(&mut self, now: Micros) {
        // What is out and unsettled when its time is nearly up ends as what it is: it may have run.
        let ends = |errand: &Errand| errand.out.is_some() && now + BEAT >= errand.limit;
        let mut late: Vec<Handle> =
            self.errands.iter().filter(|(_, errand)| ends(errand)).map(|(&handle, _)| handle).collect();
        late.sort();
        for handle in late {
            let Some(number) = self.errands[&handle].out else { continue };
            if let Some(sent) = self.crossings.get(number) {
                let gate = sent.gate;
                self.todo.steps.push((handle, Step::Cancel { gate, number }));
            }
            self.settle(now, number, Settled::MayHaveRun);
        }
        let unanswered: Vec<u64> = self
            .gates
            .keys()
            .flat_map(|&id| self.crossings.open_at(id))
            .filter(|&number| {
                let sent = self.crossings.get(number);
                sent.is_some_and(|sent| sent.crossing == Crossing::Asked && now - sent.at >= ASK_AGAIN)
            })
            .collect();
        for number in unanswered {
            if let Some(sent) = self.crossings.get_mut(number) {
                sent.crossing = Crossing::Unsettled;
            }
            let up = self.crossings.get(number).and_then(|sent| self.gates.get(&sent.gate));
            if up.is_some_and(|gate| gate.links > 0) {
                self.ask(now, number);
            }
        }
        self.pump_all(now);
    }

    fn offering(&self, task: &Task) -> &Offering {
        &self.terms.offerings[task.offering]
    }

    fn take_todo(&mut self) -> Todo {
        self.todo.wake_at = Some(self.next_beat);
        std::mem::take(&mut self.todo)
    }
}
