//! Every decision of the router.
//!
//! A driver starts one [`Router`] with its terms and a seed, hands it lists and probe answers, and
//! wakes it at the time last asked for. `take` gives a [`Handle`] for a task; what happens to the task
//! later is a call on that handle. Each call brings `now` and returns a [`Todo`]. The interface types are
//! in `lib.rs`; a task's way is `place`, from top to bottom.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_measured::Histogram;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Effect, Learnt, Listed, ListedRoles, MemberId, Micros, Need, Offering, Outcome, Role, Scope, Standing,
    Step, Task, Terms, Todo, Told, Verdict,
};

const MS: Micros = 1_000;
const BEAT: Micros = 20 * MS; // how often the router looks at what no event brings
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(u64);

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

#[derive(Clone, Default)]
struct Errand {
    task: Task,
    group: usize,
    arrived: Micros,
    quoted_by: Micros,
    repeat: bool,
    launches: u32,
    out: Option<(MemberId, Micros)>, // where a launch is out, and since when
    waits_from: Micros,              // the same, without the time in which the driver stood still
    may_have_run: Option<(Micros, usize)>, // when first, and in which zone
    misses: usize,
    asked: bool, // it has waited for a replica's word
    last: Option<MemberId>,
    closed: bool,
}

#[derive(Clone, Default)]
struct Member {
    name: String,
    group: usize,
    zone: usize,
    standing: Standing,
    since: Option<Micros>,
    size: f64,
    position: Micros,
    seen_primary: bool, // by its own word, and not since seen as replica
    demoted: Micros,    // the time of its newest word that it is a replica
    heard: Micros,
    answered: Micros,
    overtaken: Micros,    // when the newest launch that it answered was sent
    lost_until: Micros,   // it could not be reached; believed until then, or until it is heard
    fell: Option<Micros>, // since when its process seems dead; taken for cold when it is heard again
    barred_until: Micros,
    failures: VecDeque<Micros>,
    spoilt: usize, // launches spoilt or dropped since the last honoured one
    probe_misses: u32,
    probe_out: bool,
    probed: Micros,
    out: Vec<Handle>,
    window: f64, // launches that may be out at once; below one, the part of the time that one may be
    credit: f64, // launches saved up at `credited`, where window or a cold part is below one
    credited: Micros,
    took: Histogram,
    sent: VecDeque<Micros>,
    honoured: f64, // launches in one window of the overload rule, as of late
}

#[derive(Clone, Default)]
struct Group {
    members: Vec<MemberId>,
    primary: Option<MemberId>,
    word: Micros, // the time of the newest word on the primary
    listed: Option<MemberId>,
    walk_after: Micros,
    owed: f64, // launches due to the primary by its size and window, beyond those it had
    held: Vec<Handle>,
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

#[derive(Clone)]
pub struct Router {
    terms: Terms,
    rng: Pcg64Mcg,
    members: Vec<Member>,
    groups: Vec<Group>,
    group_ids: HashMap<u64, usize>,
    errands: HashMap<Handle, Errand>,
    next_handle: u64,
    sessions: HashMap<String, Micros>,
    forgotten: Option<Micros>, // a write of a session not found may be as new as that
    took: Vec<Histogram>,
    ways: BTreeMap<usize, (Micros, Micros)>, // there and back by zone, and when last heard
    any_took: Histogram,                     // of launches of all offerings together
    usual_wait: Vec<(Micros, i32)>,          // that most tasks of an offering bring, and how sure that is
    warm_load: f64,
    mean_size: f64,
    allowance: f64,
    tight_until: Micros, // a member lately had no connection to spare
    next_beat: Micros,
    usual: f64,    // launches in a beat, as of late
    launched: f64, // in this beat
    rush_until: Micros,
    rush: f64, // launches due until then
    ask_at: Micros,
    ask_wait: Micros,
    todo: Todo,
}

impl Router {
    pub fn start(terms: Terms, seed: u64, now: Micros) -> Router {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // All drivers ask at their start: the window grows with their number.
        let ask_at =
            now + rng.random_range(0..(30 * MS * terms.drivers as Micros).clamp(200 * MS, 1_200 * MS));
        Router {
            rng,
            members: Vec::new(),
            groups: Vec::new(),
            group_ids: HashMap::new(),
            errands: HashMap::new(),
            next_handle: 0,
            sessions: HashMap::new(),
            forgotten: None,
            // Until launches tell better, most are taken to last half of the quoted time.
            took: terms.offerings.iter().map(|offering| Histogram::of(offering.quoted / 2, 4)).collect(),
            ways: BTreeMap::new(),
            any_took: Histogram::of(terms.offerings.iter().map(|o| o.quoted / 2).min().unwrap_or(0), 4),
            usual_wait: vec![(0, 0); terms.offerings.len()],
            warm_load: 0.0,
            mean_size: 1.0,
            allowance: PROBES_AT_START,
            tight_until: now,
            next_beat: now,
            usual: STAY,
            launched: 0.0,
            rush_until: now,
            rush: 0.0,
            ask_at,
            ask_wait: 500 * MS,
            todo: Todo::default(),
            terms,
        }
    }

    pub fn take(&mut self, now: Micros, task: Task) -> (Handle, Todo) {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let group = self.group(task.group);
        self.allowance = (self.allowance + PROBES_A_TASK).min(self.members.len() as f64);
        // Where repeats are not marked, first tries are told by the wait that most tasks bring.
        let Offering { limit, quoted, .. } = self.terms.offerings[task.offering];
        let (usual, votes) = &mut self.usual_wait[task.offering];
        let wait = task.ttl + task.waited;
        let common = (wait - *usual).abs() <= *usual / 64;
        *votes = if common { (*votes + 1).min(64) } else { *votes - 1 };
        (*usual, *votes) = if *votes < 0 { (wait, 1) } else { (*usual, *votes) };
        let repeat = task.repeat || !self.terms.repeats_marked && !common;
        // What is missing to the time limit of a repeat has gone by already. Where repeats are not
        // marked, a wait cut short tells them once the usual one is sure. Harms clients in a hurry: they
        // are taken for late.
        let cut = task.repeat || !self.terms.repeats_marked && !common && *votes >= 2 && wait < *usual;
        let quoted_by = now - task.waited + quoted - if cut { (limit - wait).max(0) } else { 0 };
        let errand = Errand { task, group, arrived: now, quoted_by, repeat, ..Errand::default() };
        self.errands.insert(handle, errand);
        self.place(now, handle);
        (handle, self.take_todo())
    }

    /// A copy that goes on under other terms, to see how it would decide.
    pub fn under(&self, terms: &Terms) -> Router {
        Router { terms: terms.clone(), ..self.clone() }
    }

    pub fn knows(&self, handle: Handle) -> bool {
        self.errands.contains_key(&handle)
    }

    pub fn list(&mut self, now: Micros, full: bool, lines: Vec<Listed>) -> Todo {
        // The list held at the start is no answer to a call.
        self.ask_at = if self.members.is_empty() { self.ask_at } else { Micros::MAX };
        let listed = |member: &Member| lines.iter().any(|line| line.name == member.name);
        for id in 0..self.members.len() {
            if full && !listed(&self.members[id]) {
                self.stand(now, id, Standing::Gone);
            }
        }
        if self.members.is_empty() {
            self.mean_size = lines.iter().map(|line| line.size).sum::<f64>() / lines.len().max(1) as f64;
        }
        for line in lines {
            self.list_line(now, line);
        }
        self.pump_all(now);
        self.take_todo()
    }

    pub fn list_unavailable(&mut self, now: Micros) -> Todo {
        self.ask_wait = (self.ask_wait * 2).min(8_000 * MS);
        self.ask_at = now + self.rng.random_range(self.ask_wait / 2..self.ask_wait);
        self.take_todo()
    }

    /// How a probe ended. A member too full to report has answered all the same.
    pub fn probed(&mut self, now: Micros, id: MemberId, verdict: Verdict, took: Micros, told: Told) -> Todo {
        let credit = self.first_credit();
        let Some(member) = self.members.get_mut(id) else { return self.take_todo() };
        // The way to its zone: an answer halves the difference, silence tells less, as one member alone
        // may be dead.
        let (way, at) = self.ways.entry(member.zone).or_insert((0, now));
        match verdict {
            Verdict::Honoured => (*way, *at) = ((*way + took) / 2, now),
            Verdict::TimedOut => (*way, *at) = (*way + (took - *way) / 4, now),
            _ => {}
        }
        let (group, was_barred) = (member.group, member.probe_misses >= PROBE_MISSES);
        member.probe_out = false;
        if matches!(verdict, Verdict::Moot | Verdict::Unseen) {
            // Nobody asked it, or nobody saw its answer.
        } else if matches!(verdict, Verdict::Honoured | Verdict::Full | Verdict::Spoilt | Verdict::Dropped) {
            // An answered probe lifts the detect bar.
            member.barred_until = if was_barred { now } else { member.barred_until };
            member.probe_misses = 0;
            member.hear(now, credit);
            self.note(id, told, told.position.unwrap_or(now - HOLD - told.age));
        } else {
            member.probe_misses += 1;
            member.fell = member.fell.or((verdict == Verdict::Unconnected).then_some(now));
            member.lost_until = now + 2 * HOLD;
            let barred = member.probe_misses >= PROBE_MISSES;
            member.barred_until = if barred { now + BAR } else { member.barred_until };
        }
        self.pump(now, group);
        self.take_todo()
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

    pub fn learnt(&self) -> Learnt {
        let primary = |group: &Group| group.primary.map(|id| (id, group.word));
        let took = |of: &Histogram| (of.quantile(0.5).unwrap_or(0), of.quantile(0.9).unwrap_or(0));
        let window = |id: MemberId| (id, self.members[id].window.log2().floor() as i32);
        Learnt {
            primaries: self.groups.iter().filter_map(primary).collect(),
            took: self.took.iter().map(took).collect(),
            windows: (0..self.members.len()).map(window).collect(),
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

    fn take_todo(&mut self) -> Todo {
        self.todo.wake_at = Some(self.next_beat);
        std::mem::take(&mut self.todo)
    }

    // ---- The ordinary path.

    /// Sends the task on its way, holds it, or gives it up.
    fn place(&mut self, now: Micros, handle: Handle) {
        let errand = &self.errands[&handle];
        let offering = &self.terms.offerings[errand.task.offering];
        let (hopeless, useful) = self.useful_until(now, errand);
        // Never again what may have run: an effectful task at all, a receipted one past its window.
        let stuck = match (offering.effect, errand.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Effectful, Some(_)) => true,
            (Effect::Receipted { window, .. }, Some((at, _))) => now >= at + window,
        };
        if stuck || now >= hopeless || errand.launches >= self.launches_allowed(offering) {
            return self.give_up(handle);
        }
        // Protects members from all that drivers which stood still owe at once. Harms what would be in time.
        let waits = now < self.rush_until && self.rush < 1.0;
        let target = match offering.need {
            _ if waits => None,
            Need::Write => self.write_target(now, errand),
            need => self.read_target(now, handle, need),
        };
        let Some(id) = target else {
            return self.groups[self.errands[&handle].group].held.push(handle);
        };
        self.account(now, id);
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        let member = &mut self.members[id];
        member.out.push(handle);
        member.sent.push_back(now);
        errand.launches += 1;
        (errand.out, errand.waits_from) = (Some((id, now)), now);
        (self.launched, self.rush) = (self.launched + 1.0, self.rush - 1.0);
        self.todo.steps.push((handle, Step::Launch { member: id, limit: useful - now }));
    }

    /// A launch uses up what was saved for its member; the primary is owed its part of its group's launches.
    fn account(&mut self, now: Micros, id: MemberId) {
        let (credit, hold) = (self.credit(now, id) - 1.0, self.hold());
        (self.members[id].credit, self.members[id].credited) = (credit, now);
        let part = |&id: &MemberId| {
            let Member { standing, size, window, lost_until, .. } = self.members[id];
            if standing == Standing::Ready && now >= lost_until { size * window } else { 0.0 }
        };
        let group = &mut self.groups[self.members[id].group];
        let Some(primary) = group.primary else { return group.walk_after = now + hold };
        let all: f64 = group.members.iter().map(part).sum();
        let due = part(&primary) / all.max(f64::EPSILON) - f64::from(id == primary);
        group.owed = (group.owed + due).clamp(-3.0, 3.0);
    }

    /// A cold member's part is saved up for from a random start, so that not all drivers come at once.
    fn first_credit(&mut self) -> f64 {
        self.rng.random::<f64>() + STAY / self.terms.drivers_at_cold as f64
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

    /// Until when a launch of the task would most likely pay, and until when an answer pays at all. Protects
    /// a client from a long wait for nothing: what was never launched and pays little when late is not held
    /// beyond half of its time, and a driver among many, who cannot see the crowd, launches nothing that
    /// would pay only that little. Should also cover groups without members. Harms what finds room later.
    fn useful_until(&self, now: Micros, errand: &Errand) -> (Micros, Micros) {
        let end = errand.arrived + errand.task.ttl;
        let late_share = self.terms.offerings[errand.task.offering].late_share;
        let useful = if late_share > 0.0 { end } else { end.min(errand.quoted_by) };
        // What waited for a replica's word alone has not waited for room.
        let arrives = now == errand.arrived || errand.asked && now - errand.arrived <= 2 * BEAT;
        let share = if arrives { 0.5 } else { 0.85 };
        let pays = if self.sparse() && late_share < 0.5 { useful.min(errand.quoted_by) } else { useful };
        let hopeless = pays - self.took[errand.task.offering].quantile(share).unwrap_or(0) - BEAT;
        let held = errand.launches == 0 && (late_share < 0.5 || self.sparse());
        // Told before half of the client's time is over, with what a beat and the way take.
        let half = errand.arrived + (errand.task.ttl - errand.task.waited) / 2 - 2 * BEAT;
        (if held { hopeless.min(half.max(errand.arrived + 1)) } else { hopeless }, useful)
    }

    /// Protects the price of probes and the time of writes: a member far behind is not asked again before it
    /// can have caught up, at twice the pace of time. Harms one that catches up faster, for a second at most.
    fn catches_up_in(&self, id: MemberId, floor: Micros) -> Micros {
        let position = self.members[id].position;
        let lacks = if position == Micros::MIN { 0 } else { floor.saturating_sub(position) };
        (lacks / 2).clamp(PROBE_NEEDED, PROBE_EVERY)
    }

    /// The believed primary; without one, the next member by sorted id, one write walking at a time.
    fn write_target(&self, now: Micros, errand: &Errand) -> Option<MemberId> {
        let group = &self.groups[errand.group];
        if let Some(id) = group.primary {
            let takes = self.usable(now, id) && self.room(now, id) > 0.0;
            return takes.then_some(id);
        }
        if errand.misses == 0 && now < group.walk_after {
            return None;
        }
        let start = errand.last.and_then(|last| group.members.iter().position(|&id| id == last));
        let start = start.map_or(0, |at| at + 1);
        let round = (0..group.members.len()).map(|step| group.members[(start + step) % group.members.len()]);
        let mut open = round.filter(|&id| self.usable(now, id));
        let first = open.clone().next();
        open.find(|&id| now >= self.members[id].barred_until).or(first).filter(|&id| self.room(now, id) > 0.0)
    }

    /// A random replica proven fresh enough, else the primary. A sparse driver draws first, then asks it.
    fn read_target(&mut self, now: Micros, handle: Handle, need: Need) -> Option<MemberId> {
        let errand = &self.errands[&handle];
        let floor = match need {
            Need::Latest => errand.arrived,
            Need::OwnWrites => {
                let told = errand.task.last_write.map(|ago| errand.arrived - ago);
                let known = |session| self.sessions.get(session).copied().or(self.forgotten);
                let remembered = errand.task.session.as_ref().and_then(known);
                told.max(remembered).unwrap_or(Micros::MIN)
            }
            Need::Recent(bound) => now - bound + MS,
            Need::Loose | Need::Write => Micros::MIN,
        };
        let (group, asked, sparse) = (errand.group, errand.asked, self.sparse());
        let offering = errand.task.offering;
        let may = |id: &MemberId| self.may_follow(now, errand, *id);
        let mut open: Vec<MemberId> = self.groups[group].members.iter().copied().filter(may).collect();
        if open.iter().any(|&id| now >= self.members[id].barred_until && Some(id) != errand.last) {
            open.retain(|&id| now >= self.members[id].barred_until && Some(id) != errand.last);
        }
        let primary = self.groups[group].primary;
        let seen = primary.filter(|id| open.contains(id) && self.members[*id].seen_primary);
        let replicas: Vec<MemberId> = open.iter().copied().filter(|&id| Some(id) != primary).collect();
        let idle = seen.filter(|_| sparse && self.groups[group].owed > 0.0);
        let drawable = replicas.iter().copied().chain(idle).map(|id| (id, self.room(now, id)));
        let mut rooms: Vec<(MemberId, f64)> = drawable.filter(|&(_, room)| room > 0.0).collect();
        let at_hand = rooms.iter().copied().filter(|&(id, _)| !self.remote(now, id, offering));
        let at_hand: Vec<(MemberId, f64)> = at_hand.collect();
        rooms = if at_hand.is_empty() { rooms } else { at_hand };
        if need == Need::Loose && self.long(offering) {
            // All drivers alike: the last replica by sorted id that has room.
            let last = rooms.iter().rev().find(|&&(id, _)| Some(id) != primary);
            return last.map(|&(id, _)| id);
        }
        let fresh = |router: &Router, id| Some(id) == idle || router.members[id].position >= floor;
        let proven: Vec<(MemberId, f64)> = rooms.iter().copied().filter(|&(id, _)| fresh(self, id)).collect();
        let drawn = if sparse && !asked { self.draw(&rooms) } else { None };
        let target = drawn.filter(|&id| fresh(self, id)).or_else(|| self.draw(&proven));
        let mut resort = seen.filter(|&id| self.room(now, id) > self.members[id].window.floor() * 0.3);
        if self.terms.members_check && resort.is_none() {
            let behind = replicas.iter().copied().filter(|&id| self.room(now, id) > 0.0);
            resort = behind.max_by_key(|&id| self.members[id].position);
        }
        let stale: Vec<MemberId> = replicas.iter().copied().filter(|&id| !fresh(self, id)).collect();
        let crowded = |id| self.room(now, id) < self.members[id].window.floor() * 0.7;
        let unsure = drawn.is_some_and(|id| stale.contains(&id));
        if stale.is_empty() || !unsure && !target.is_none_or(crowded) {
            return target.or(resort);
        }
        // One stale replica at a time is asked; a read waits for its word before it burdens the primary.
        let awaited = |member: &Member| member.probe_out && now - member.probed < BEAT;
        if !stale.iter().any(|&id| awaited(&self.members[id])) {
            let due = |&id: &MemberId| now - self.members[id].probed >= self.catches_up_in(id, floor);
            let due: Vec<MemberId> = stale.iter().copied().filter(due).collect();
            let ask = drawn.filter(|id| due.contains(id)).or_else(|| due.choose(&mut self.rng).copied());
            ask.into_iter().for_each(|id| self.probe(now, id, PROBE_NEEDED));
        }
        let waits = (target.is_none() || unsure) && stale.iter().any(|&id| awaited(&self.members[id]));
        self.errands.get_mut(&handle).expect("being placed").asked |= waits;
        if waits { None } else { target.or(resort) }
    }

    /// Protects the freshness of replicas from reads that hold up their log for longer than bounded reads
    /// bear: these share one replica. Harms them where that one is slow, and where other long reads hold
    /// up nothing.
    fn long(&self, offering: usize) -> bool {
        let usual = |offering: usize| self.took[offering].quantile(0.5).unwrap_or(0);
        let bound = |o: &Offering| if let Need::Recent(bound) = o.need { Some(bound) } else { None };
        let bound = self.terms.offerings.iter().filter_map(bound).min();
        let least = (0..self.took.len()).map(usual).min().unwrap_or(0);
        bound.is_some_and(|bound| usual(offering) > bound.max(3 * least))
    }

    /// Protects reads from a way that has grown so long that answers come too late, as its probes tell.
    /// Tried again after a while. Harms members beyond it that are probed just when a neighbour dies.
    fn remote(&self, now: Micros, id: MemberId, offering: usize) -> bool {
        let zone = self.members[id].zone;
        let (way, at) = self.ways.get(&zone).copied().unwrap_or_default();
        let usual = self.took[offering].quantile(0.5).unwrap_or(0);
        zone != self.terms.zone && now - at < BAR && way + usual > self.terms.offerings[offering].quoted / 2
    }

    /// A member drawn by its room. Where crossing has a price the own zone is preferred, by a sparse driver
    /// for what that zone's members carry if all zones send alike.
    fn draw(&mut self, rooms: &[(MemberId, f64)]) -> Option<MemberId> {
        let (near, far): (Vec<_>, Vec<_>) =
            rooms.iter().partition(|&&(id, _)| self.members[id].zone == self.terms.zone);
        let sum = |rooms: &[(MemberId, f64)]| rooms.iter().map(|&(_, room)| room).sum::<f64>();
        let stays = if self.sparse() { sum(&near) / sum(rooms) * self.terms.zones as f64 } else { 1.0 };
        let priced = self.terms.crossing_price > 0.0 && !near.is_empty() && !far.is_empty();
        let rooms = if priced && self.rng.random::<f64>() < stays { &near } else { rooms };
        rooms.choose_weighted(&mut self.rng, |&(_, room)| room).ok().map(|&(id, _)| id)
    }

    /// Denied where that is true to say, else broken off.
    fn give_up(&mut self, handle: Handle) {
        let errand = &self.errands[&handle];
        let deniable = match self.terms.offerings[errand.task.offering].effect {
            Effect::Pure | Effect::Receipted { scope: Scope::All, .. } => true,
            _ => errand.may_have_run.is_none() && errand.out.is_none(),
        };
        // What is denied for want of room has missed its quoted time: sooner again only adds to the crowd.
        let cool_down = self.terms.offerings[errand.task.offering].quoted.min(self.terms.max_cool_down);
        self.todo.steps.push((handle, if deniable { Step::Deny { cool_down } } else { Step::BreakOff }));
        self.close(handle);
    }

    fn close(&mut self, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        errand.closed = true;
        self.groups[errand.group].held.retain(|&held| held != handle);
        if errand.out.is_none() {
            self.errands.remove(&handle);
        }
    }

    fn launch_ended(&mut self, now: Micros, handle: Handle, outcome: Outcome) {
        let errand = self.errands.get(&handle);
        let out = errand.and_then(|errand| errand.out.map(|(id, _)| (id, errand.task.offering)));
        let mute = out.is_some_and(|(id, _)| self.mute(now, id));
        let patience = out.map_or(0, |(_, offering)| self.patience(offering));
        let (sparse, drivers) = (self.sparse(), self.terms.drivers as f64);
        let credit = self.first_credit();
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        let Some((id, sent)) = errand.out.take() else { return };
        let Outcome { verdict, told, .. } = outcome;
        let (group, offering, waits_from) = (errand.group, errand.task.offering, errand.waits_from);
        let member = &mut self.members[id];
        member.out.retain(|&out| out != handle);
        let ran = (!verdict.never_ran()).then_some((sent, member.zone));
        errand.may_have_run = errand.may_have_run.or(ran);
        let mut refusal = false;
        if verdict.heard() {
            (member.answered, member.overtaken) = (now, member.overtaken.max(waits_from));
            member.hear(now, credit);
        } else if matches!(verdict, Verdict::Unconnected | Verdict::Reset) {
            member.lost_until = now + 2 * HOLD;
            let refused = verdict == Verdict::Unconnected && outcome.took < PROBE_NEEDED;
            member.fell = member.fell.or((verdict == Verdict::Reset || refused).then_some(now));
            refusal = refused && sparse;
        }
        // A driver among many hears of few answers of a member: each then counts for more.
        let step = 0.92f64.powf(if sparse { (drivers / 4.0).min(16.0) } else { 1.0 });
        let least = if sparse { STAY / drivers } else { (STAY / drivers).max(1.0) };
        let shrunk = (member.window * step.min(0.7)).max(least.min(1.0));
        let crowded = verdict == Verdict::TimedOut && outcome.took < patience;
        let unseen = verdict == Verdict::Unseen;
        if verdict == Verdict::Honoured || crowded || sparse && !verdict.never_ran() && !unseen {
            member.took.add(outcome.took, KEEP / 4);
            let usual = member.took.quantile(0.6).unwrap_or(0);
            let came = matches!(verdict, Verdict::Honoured | Verdict::Spoilt);
            let took = if came { outcome.took } else { Micros::MAX };
            let (typical, share) = if sparse { (took, 45) } else { (usual, 30) };
            if typical > self.terms.offerings[offering].quoted * share / 100 {
                member.window = (member.window * step).max(least);
            } else if sparse {
                member.window = (member.window / step).min(MOST / drivers * member.size);
            } else if member.out.len() as f64 >= member.window - 2.0 {
                member.window += 1.0 / member.window;
            }
        }
        match verdict {
            Verdict::Honoured => {
                let write =
                    self.terms.remember_sessions && self.terms.offerings[offering].need == Need::Write;
                if let (true, Some(session), Some(position)) = (write, &errand.task.session, told.position) {
                    let newest = self.sessions.entry(session.clone());
                    newest.and_modify(|at| *at = position.max(*at)).or_insert(position);
                }
                self.took[offering].add(outcome.took, KEEP * 4);
                self.any_took.add(outcome.took, KEEP * 4);
                (member.honoured, member.spoilt) = (member.honoured + 0.1, 0);
            }
            Verdict::Full => (member.window, member.credit, member.credited) = (shrunk, 0.0, now),
            Verdict::Miss | Verdict::Moot | Verdict::Unseen => {}
            // Protects a group whose members all spoil alike from the bar: only those in a row are failures.
            // Should also cover links that break connections. Harms tasks at a member that spoils most.
            Verdict::Spoilt | Verdict::Dropped if member.spoilt < FAILURES => member.spoilt += 1,
            // A launch that outlasted its limit at a member that answers others met a crowd, not a fault.
            Verdict::TimedOut | Verdict::CalledOff if !mute => {}
            _ => {
                member.failures.push_back(now);
                member.failures.retain(|&at| at >= now - FAILURE_WINDOW);
                if member.failures.len() as f64 >= (FAILURES as f64 * 25.0 / drivers).min(FAILURES as f64) {
                    member.failures.clear();
                    member.barred_until = now + BAR;
                }
            }
        }
        errand.last = Some(id);
        let idle = member.out.is_empty();
        if refusal {
            self.refused(now, id);
        } else if now < self.tight_until && idle {
            self.todo.shut.push(id);
        }
        let errand = &self.errands[&handle];
        let over = outcome.closed || errand.closed;
        self.note(id, told, now - told.age);
        if verdict == Verdict::Miss && self.groups[group].primary.is_none() {
            let round = self.groups[group].members.len().min(self.terms.max_launches as usize / 2);
            let errand = self.errands.get_mut(&handle).expect("not yet closed");
            errand.misses += 1;
            if errand.misses >= round {
                errand.misses = 0;
                self.groups[group].walk_after = now + self.hold();
            }
        }
        if over {
            self.close(handle);
        } else {
            self.place(now, handle);
        }
        self.pump(now, group);
    }

    /// Protects members that take few connections from those that drivers keep idle: a driver among many
    /// that was refused closes its own, for a while after each use. A probe tells whether the process is
    /// dead. Harms launches by a handshake each.
    fn refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.tight_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].out.is_empty());
            self.todo.shut.extend(idle);
        }
        self.tight_until = now + FAILURE_WINDOW;
        self.probe(now, id, PROBE_NEEDED);
    }

    /// Takes in what a member says of itself, `at` being the time it was true. Protects against reports that
    /// come late: an older word never beats a newer one, neither on the member nor on its group.
    fn note(&mut self, id: MemberId, told: Told, at: Micros) {
        let member = &mut self.members[id];
        member.position = member.position.max(told.position.unwrap_or(Micros::MIN));
        let group = &mut self.groups[member.group];
        match told.role {
            Some(Role::Primary) if at >= member.demoted => {
                member.seen_primary = true;
                if member.standing == Standing::Ready && (at >= group.word || group.primary.is_none()) {
                    (group.primary, group.word) = (Some(id), at);
                }
            }
            Some(Role::Replica) if at >= group.word || group.primary != Some(id) => {
                (member.seen_primary, member.demoted) = (false, member.demoted.max(at));
                if group.primary == Some(id) {
                    (group.primary, group.word) = (None, at);
                }
            }
            _ => {}
        }
    }

    fn list_line(&mut self, now: Micros, line: Listed) {
        let group = self.group(line.group);
        if self.members.len() <= line.member {
            self.members.resize_with(line.member + 1, Member::default);
        }
        let credit = self.first_credit() + f64::from(line.since.is_none());
        let (id, drivers) = (line.member, self.terms.drivers as f64);
        let known = self.groups[group].members.contains(&id);
        if !known {
            let size = line.size / self.mean_size;
            let window = if self.sparse() { MOST / drivers * size } else { (START / drivers).max(1.0) };
            let fresh = Member { position: Micros::MIN, heard: now, answered: now, ..Member::default() };
            self.members[id] = Member { name: line.name, group, zone: line.zone, size, window, ..fresh };
            let members = &mut self.groups[group].members;
            members.push(id);
            members.sort_by_key(|&id| self.members[id].name.clone());
        }
        let member = &mut self.members[id];
        if !known || member.since != line.since && line.standing == Standing::Ready {
            member.barred_until = member.barred_until.min(now);
            (member.since, member.credit, member.credited) = (line.since, credit, now);
        }
        self.stand(now, id, line.standing);
        if !known && !self.sparse() {
            // A probe for each member and one in reserve.
            self.allowance += 2.0;
            self.probe(now, id, PROBE_NEEDED);
        }
        let group = &mut self.groups[group];
        if line.primary && line.standing == Standing::Ready && group.listed != Some(id) {
            let first = group.listed.replace(id).is_none();
            let trusted = match self.terms.listed_roles {
                ListedRoles::Late => first || now - group.word > 1_000 * MS,
                ListedRoles::AtStart => first && group.primary.is_none(),
                ListedRoles::Never => false,
            };
            group.primary = if trusted { Some(id) } else { group.primary };
        }
    }

    fn stand(&mut self, now: Micros, id: MemberId, standing: Standing) {
        self.members[id].standing = standing;
        let hold = self.hold();
        let group = &mut self.groups[self.members[id].group];
        if standing != Standing::Ready && group.primary == Some(id) {
            // The list tells all drivers, but they are not to walk all at once.
            (group.primary, group.walk_after) = (None, now + self.rng.random_range(0..hold));
        }
    }

    /// Lets go of a member that is gone, once nothing of it is out and it was not heard for long: its index
    /// may be given out anew, and one that comes back is another member.
    pub fn forget(&mut self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let quiet = member.out.is_empty() && !member.probe_out && now - member.heard > FAILURE_WINDOW;
        let forgotten = member.standing == Standing::Gone && quiet;
        if forgotten {
            let group = &mut self.groups[member.group];
            group.members.retain(|&member| member != id);
            group.listed = group.listed.filter(|&listed| listed != id);
            self.members[id] = Member::default();
        }
        forgotten
    }

    fn group(&mut self, name: u64) -> usize {
        *self.group_ids.entry(name).or_insert_with(|| {
            self.groups.push(Group { word: Micros::MIN / 2, walk_after: Micros::MIN, ..Group::default() });
            self.groups.len() - 1
        })
    }

    /// Further launches go by payoff: the best paid offering may use them all.
    fn launches_allowed(&self, offering: &Offering) -> u32 {
        let best = self.terms.offerings.iter().map(|o| o.payoff).fold(f64::MIN_POSITIVE, f64::max);
        let most = f64::from(self.terms.max_launches);
        (most * (offering.payoff / best).max(0.5)).ceil().min(most) as u32
    }

    /// Whether anything may be sent there: never against the drain rule, nor into silence.
    fn usable(&self, now: Micros, id: MemberId) -> bool {
        let standing = self.members[id].standing;
        let unbound = standing == Standing::Gone && self.terms.only_draining_binds;
        (standing == Standing::Ready || unbound) && !self.silent(now, id)
    }

    /// Whether a read may go to this member at all; a receipted one stays where its repeats are dropped.
    fn may_follow(&self, now: Micros, errand: &Errand, id: MemberId) -> bool {
        let scope = self.terms.offerings[errand.task.offering].effect;
        let zoned = matches!(scope, Effect::Receipted { scope: Scope::Zone, .. });
        let kept = errand.may_have_run.is_none_or(|(_, zone)| !zoned || zone == self.members[id].zone);
        kept && self.usable(now, id)
    }

    /// Protects against members that take work and answer nothing: a hang, a cut link, a long pause, a
    /// death without a reset. One launch a second tries whether it answers again. Harms a member whose few
    /// launches out are all long ones: it is passed over until it answers one or a second has passed.
    fn silent(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let tried = member.sent.back().is_some_and(|&last| now - last < 2 * HOLD);
        now < member.lost_until || tried && self.mute(now, id)
    }

    /// Has launches out that no later one overtook, and answered none for far longer than launches take.
    fn mute(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self.sent_out(id).filter(|&(at, _)| at >= member.overtaken);
        waiting.any(|(at, offering)| now - at.max(member.answered) > self.patience(offering))
    }

    /// When each launch out at the member was sent, and of which offering it is.
    fn sent_out(&self, id: MemberId) -> impl Iterator<Item = (Micros, usize)> {
        let out = self.members[id].out.iter().map(|out| &self.errands[out]);
        out.filter_map(|errand| errand.out.map(|_| (errand.waits_from, errand.task.offering)))
    }

    /// Beyond what nearly all launches of an offering take.
    fn patience(&self, offering: usize) -> Micros {
        let quoted = self.terms.offerings[offering].quoted;
        self.took[offering].quantile(0.9).unwrap_or(200 * MS).min(quoted).max(100 * MS) * 2
    }

    /// How many more launches this driver may have out at the member: its window, and for a cold one its
    /// part of what the member can bear. Where less than one launch is due, launches are saved up for.
    fn room(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        // Launches that were overtaken and stay out for long are taken for lost: they hold no place.
        let overdue = |(at, offering)| at < member.overtaken && now - at > self.patience(offering);
        let lost = self.sent_out(id).filter(|&out| overdue(out)).count();
        let out = (member.out.len() - lost) as f64;
        let mut room = member.window.floor() - out;
        if self.sparse() {
            let free = out < 1.0 && self.credit(now, id) >= 1.0;
            room = if free { member.window } else { 0.0 };
        } else if self.mute(now, id) {
            room = room.max(1.0);
        }
        let bearable = self.bearable(now, id);
        if bearable < 1.0 && self.credit(now, id) < 1.0 {
            return 0.0;
        }
        let sent = member.sent.iter().filter(|&&at| at > now - self.terms.overload_window).count();
        room.min(bearable.max(1.0).floor() - sent as f64)
    }

    /// How much a cold member may be sent in one window of the overload rule.
    fn bearable(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let age = member.since.map_or(Micros::MAX, |since| now - since);
        if age >= self.terms.warm_within {
            return f64::INFINITY;
        }
        // The part at the window's start.
        let age = (age - self.terms.overload_window).max(0) as f64 / self.terms.warm_within as f64;
        let part = self.terms.cold_from + (1.0 - self.terms.cold_from) * age;
        let load = self.warm_load.max(STAY / self.terms.drivers_at_cold as f64);
        self.terms.overload_factor * part * load * member.size
    }

    /// Launches saved up: at most two at a warm member and one at a cold one.
    fn credit(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let bearable = self.bearable(now, id);
        let bearable_pace = bearable / self.terms.overload_window as f64;
        let usual = self.any_took.quantile(0.9).unwrap_or(0).max(100 * MS) / 2;
        let pace = bearable_pace.min(member.window / usual as f64);
        let most = if bearable < 1.0 { 1.0 } else { 2.0 };
        (member.credit + (now - member.credited) as f64 * pace).min(most)
    }

    fn probe(&mut self, now: Micros, id: MemberId, gap: Micros) {
        let member = &mut self.members[id];
        let early = member.probe_out || now - member.probed < gap;
        if self.terms.may_probe && member.standing == Standing::Ready && !early && self.allowance >= 1.0 {
            self.allowance -= 1.0;
            (member.probe_out, member.probed) = (true, now);
            self.todo.probes.push(id);
        }
    }

    fn pump_all(&mut self, now: Micros) {
        (0..self.groups.len()).for_each(|group| self.pump(now, group));
    }

    /// Places the held tasks of a group again: best paid first, then those that came last.
    fn pump(&mut self, now: Micros, group: usize) {
        let mut held = std::mem::take(&mut self.groups[group].held);
        let worth = |handle: &Handle| {
            let errand = &self.errands[handle];
            let offering = &self.terms.offerings[errand.task.offering];
            let late = now > errand.quoted_by || errand.repeat;
            offering.payoff * if late { offering.late_share } else { 1.0 }
        };
        held.sort_by(|a, b| worth(b).total_cmp(&worth(a)).then(b.cmp(a)));
        held.into_iter().for_each(|handle| self.place(now, handle));
    }

    fn beat(&mut self, now: Micros) {
        self.usual += if now < self.rush_until { 0.0 } else { (self.launched - self.usual) * 0.02 };
        let pace = (self.usual * RUSH_PACE).max(RUSH_LEAST);
        (self.launched, self.rush) = (0.0, (self.rush + pace).min((5.0 * pace).max(1.0)));
        // Only what was honoured counts as a warm member's load: misses and launches turned away are no work.
        let window = self.terms.overload_window;
        let (mut load, mut warm) = (0.0, 0.0);
        for member in &mut self.members {
            member.sent.retain(|&at| at > now - window);
            let cold = member.since.is_some_and(|since| now - since < self.terms.warm_within);
            if member.standing == Standing::Ready && !cold {
                (load, warm) = (load + member.honoured, warm + member.size);
            }
            member.honoured *= if cold { 0.0 } else { 1.0 - 0.1 * BEAT as f64 / window as f64 };
        }
        self.warm_load = if warm > 0.0 { load / warm } else { self.warm_load };
        for id in 0..self.members.len() {
            let member = &self.members[id];
            let Group { primary, held, .. } = &self.groups[member.group];
            let wanted = !held.is_empty()
                && (now < member.lost_until || primary.is_none_or(|id| self.silent(now, id)));
            let spare = !self.sparse() && self.allowance > self.members.len() as f64 * 0.5;
            if wanted || spare && now - member.heard > PROBE_EVERY {
                let gap = if self.sparse() { HOLD } else { PROBE_NEEDED };
                self.probe(now, id, if wanted { gap } else { PROBE_EVERY });
            }
        }
        if self.sessions.len() > SESSIONS {
            self.forgotten = Some(now - FAILURE_WINDOW);
            self.sessions.retain(|_, &mut at| Some(at) > self.forgotten);
        }
        if self.terms.list_on_request && now >= self.ask_at {
            self.todo.subscribe = true;
            self.ask_at = now + 10_000 * MS;
        }
        self.pump_all(now);
    }
}
