//! Every decision of the router.
//!
//! A driver starts one [`Router`] with its terms and a seed, hands it lists and probe answers, and
//! wakes it at the time last asked for. `take` gives a [`Handle`] for a task; what happens to the task
//! later is a call on that handle. Each call brings `now` and returns a [`Todo`]. The interface types are
//! in `lib.rs`; a task's way is `place`, from top to bottom.

use std::collections::{BTreeMap, HashMap, HashSet};

use aldermill_measured::Histogram;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::state::{Errand, Group, Handle, Member, Router, Session};
use crate::{
    Effect, Learnt, Listed, ListedRoles, MemberId, Micros, Need, Offering, Outcome, Role, Scope, Standing,
    Step, Task, Terms, Todo, Told, Validity, Verdict,
};

mod decide;
mod fresh;
mod local;
mod members;
mod primary_search;
mod replica_subset;

use replica_subset::salt;

pub(crate) use local::Backoff;

const MS: Micros = 1_000;
const BEAT: Micros = 20 * MS; // how often the router looks at what no event brings
/// How often all members are looked at where a router keeps to some of them.
const WALK: Micros = 10 * BEAT;
/// For so long may the process be held up between a decision and the write that follows from it.
const HELD_UP: Micros = 150 * MS;
const HOLD: Micros = 500 * MS; // the design's, of a write after a round of misses
const BAR: Micros = 5_000 * MS;
const FAILURES: usize = 5;
const FAILURE_WINDOW: Micros = 10_000 * MS;
const PROBE_MISSES: u32 = 3;
const PROBE_EVERY: Micros = 1_000 * MS;
/// Probes of members whose proof of freshness has run out, and of a group without a primary.
const PROBE_NEEDED: Micros = 100 * MS;
const PROBES_A_TASK: f64 = 0.7; // that a task taken pays for: the allowance
const PROBES_AT_START: f64 = 4.0;
const KEEP: u32 = 32;
const SESSIONS: usize = 10_000; // remembered before older ones are forgotten
/// Launches at a member that windows start with and stay at, all drivers together.
const START: f64 = 10.0;
const STAY: f64 = 4.0;
const MOST: f64 = 100.0;
/// After a standstill: how long launches are paced, at how many times the usual, and a beat's least.
const RUSH: Micros = 2_000 * MS;
const RUSH_PACE: f64 = 1.6;
const RUSH_LEAST: f64 = 0.2;

impl Handle {
    /// The task's launch has ended.
    pub fn ended(self, router: &mut Router, now: Micros, outcome: Outcome) -> Todo {
        router.launch_ended(now, self, outcome);
        router.take_todo()
    }

    /// The client has left; nothing more is owed.
    pub fn left(self, router: &mut Router, now: Micros) -> Todo {
        router.close(self);
        router.pump_all(now);
        router.take_todo()
    }
}

impl Member {
    /// Protects a process that died and came back from the crowd that waits for it. Should also cover
    /// starts that no list tells. Harms a member that only refused: it gets a cold part until it must be
    /// warm, unless it is heard sooner than any process comes back.
    fn hear(&mut self, now: Micros, credit: f64) {
        (self.heard, self.lost_until) = (now, now);
        if self.fell.take().is_some_and(|at| now - at > 4 * HOLD) {
            (self.since, self.credit, self.credited) = (Some(now), credit, now);
        }
    }
}

impl Router {
    pub fn start(terms: Terms, seed: u64, now: Micros) -> Router {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // All drivers ask at their start: the window grows with their number.
        let ask_at =
            now + rng.random_range(0..(30 * MS * terms.drivers as Micros).clamp(200 * MS, 1_200 * MS));
        Router {
            salt: salt(seed),
            rng,
            members: Vec::new(),
            groups: Vec::new(),
            group_ids: HashMap::new(),
            errands: HashMap::new(),
            next_handle: 0,
            sessions: HashMap::new(),
            clock_offset: 0,
            forgotten: None,
            // Until launches tell better, most are taken to last half of the quoted time.
            took: terms.offerings.iter().map(|offering| Histogram::of(offering.quoted / 2, 4)).collect(),
            ways: BTreeMap::new(),
            any_took: Histogram::of(terms.offerings.iter().map(|o| o.quoted / 2).min().unwrap_or(0), 4),
            usual_wait: vec![(0, 0); terms.offerings.len()],
            warm_load: 0.0,
            mean_size: 1.0,
            allowance: PROBES_AT_START,
            rests: Default::default(),
            tight_until: now,
            backoff: Backoff::none(now),
            next_beat: now,
            next_walk: now,
            usual: STAY,
            attempts: replica_subset::at_start(),
            launched: 0.0,
            rush_until: now,
            rush: 0.0,
            ask_at,
            ask_wait: 500 * MS,
            todo: Todo::default(),
            terms,
        }
    }

    /// The driver stood still for so long, until now: what it measures of members goes on where it stopped.
    pub fn stood_still(&mut self, now: Micros, long: Micros) {
        self.errands.values_mut().for_each(|errand| errand.waits_from += long);
        for member in &mut self.members {
            let Member { heard, answered, overtaken, probed, credited, .. } = member;
            for at in [heard, answered, overtaken, probed, credited] {
                *at = (*at + long).min(now);
            }
        }
        (self.next_beat, self.rush) = (now, 1.0);
        self.rush_until = self.rush_until.max(if long > 10 * BEAT { now + RUSH } else { 0 });
    }

    /// So many drivers live: room of the dead is taken over, or given back, at once. Cold members are shared
    /// by `at_cold`, whoever may come back. Harms members where drivers that live are taken for dead.
    pub fn fleet(&mut self, living: usize, at_cold: usize) {
        let part = self.terms.drivers as f64 / living as f64;
        (self.terms.drivers, self.terms.drivers_at_cold) = (living, at_cold);
        let least = if self.sparse() { 0.0 } else { 1.0 };
        self.members.iter_mut().for_each(|member| member.window = (member.window * part).max(least));
    }

    /// What the fleet decreed for the own zone, by group: the part of its reads that goes to other zones,
    /// and how much of that to each. It weighs what the draw leaves open, and opens nothing. Protects a
    /// crowded or returning zone's members; harms reads by a crossing each where the decree is out of date.
    pub fn lean(&mut self, leans: HashMap<u64, (f64, BTreeMap<usize, f64>)>) {
        for (name, &group) in &self.group_ids {
            self.groups[group].lean = leans.get(name).cloned().unwrap_or_default();
        }
    }

    /// Takes in what an earlier start learnt. Protects members from walks of those that come back:
    /// primaries are guesses, as the list's are, windows are narrower. Harms by a miss where they moved.
    pub fn recall(&mut self, learnt: &Learnt) {
        for &(id, word) in &learnt.primaries {
            let group = &mut self.groups[self.members[id].group];
            if self.members[id].standing == Standing::Ready && group.primary.is_none() {
                (group.primary, group.word) = (Some(id), word);
            }
        }
        for (took, &(usual, _)) in self.took.iter_mut().zip(&learnt.took).filter(|(_, of)| of.0 > 0) {
            *took = Histogram::of(usual, 8);
        }
        for &(id, power) in &learnt.windows {
            let member = &mut self.members[id];
            member.window = member.window.min(2f64.powi(power).max(STAY / self.terms.drivers as f64));
        }
    }

    pub fn wake(&mut self, now: Micros) -> Todo {
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.beat(now);
        }
        self.take_todo()
    }

    /// How long writes wait between walks. Protects members, cold ones most, from walks of many drivers at
    /// once. Harms where probes are untrue: a sparse driver then learns of a new primary late.
    fn hold(&self) -> Micros {
        HOLD.max(HOLD * self.terms.drivers as Micros * 2 / 50)
    }

    /// A driver among so many that it is not due one launch at a time at each member.
    fn sparse(&self) -> bool {
        self.terms.drivers as f64 > 1.5 * START
    }

    fn beat(&mut self, now: Micros) {
        self.rests.iter_mut().for_each(|silent| *silent *= 1.0 - BEAT as f64 / (3 * FAILURE_WINDOW) as f64);
        self.usual += if now < self.rush_until { 0.0 } else { (self.launched - self.usual) * 0.02 };
        self.attempts += (self.launched - self.attempts) * 0.02;
        let pace = (self.usual * RUSH_PACE).max(RUSH_LEAST);
        (self.launched, self.rush) = (0.0, (self.rush + pace).min((5.0 * pace).max(1.0)));
        if now >= self.next_walk {
            self.walk_members(now);
        }
        for group in 0..self.groups.len() {
            if !self.groups[group].held.is_empty() {
                self.search_primary(now, group);
                self.probe_for_held(now, group);
            }
        }
        if !self.sparse() && !self.keeps_to_some() {
            (0..self.members.len()).for_each(|id| self.probe_to_spare(now, id));
        }
        if self.sessions.len() > SESSIONS {
            self.forgotten = Some(self.members_now(now) - FAILURE_WINDOW);
            self.sessions.retain(|_, session| session.out > 0 || Some(session.commit) > self.forgotten);
        }
        if self.terms.list_on_request && now >= self.ask_at {
            self.todo.subscribe = true;
            self.ask_at = now + 10_000 * MS;
        }
        self.pump_all(now);
    }

    /// What fades with time at each member, and what warm members carry. Where there are many members this is done
    /// less often.
    fn walk_members(&mut self, now: Micros) {
        // Only what was honoured counts as a warm member's load: misses and launches turned away are no work.
        let window = self.terms.overload_window;
        let (mut load, mut warm) = (0.0, 0.0);
        let passed = if self.keeps_to_some() { WALK } else { BEAT };
        self.next_walk = now + passed;
        let fading = passed as f64 / window as f64;
        for member in &mut self.members {
            member.sent.retain(|&at| at > now - window);
            let cold = member.since.is_some_and(|since| now - since < self.terms.warm_within);
            if member.standing == Standing::Ready && !cold {
                (load, warm) = (load + member.honoured, warm + member.size);
            }
            member.honoured *= if cold { 0.0 } else { 1.0 - 0.1 * fading };
        }
        // What members carry does not shrink with what they are sent: their best of late counts.
        let faded = self.warm_load * (1.0 - 0.02 * fading);
        self.warm_load = faded.max(if warm > 0.0 { load / warm } else { 0.0 });
    }

    /// Checks members of a group in which requests are held, where that may set them free.
    fn probe_for_held(&mut self, now: Micros, group: usize) {
        let sought = !self.is_wide(&self.groups[group]) && self.lacks_primary(now, &self.groups[group]);
        let gap = if self.sparse() { HOLD } else { PROBE_NEEDED };
        for at in 0..self.groups[group].members.len() {
            let id = self.groups[group].members[at];
            if sought || now < self.members[id].lost_until {
                self.probe(now, id, gap);
            }
        }
    }

    /// Checks a member that was not heard of late, where requests have paid for more than they need.
    fn probe_to_spare(&mut self, now: Micros, id: MemberId) {
        let spare = self.allowance > self.members.len() as f64 * 0.5;
        if spare && now - self.members[id].heard > PROBE_EVERY {
            self.probe(now, id, PROBE_EVERY);
        }
    }
}
