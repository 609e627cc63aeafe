//! Voters in virtual time, with a network that delays, loses, doubles and cuts, processes that die, stand still and come
//! back, disks that take a while; and a ledger that takes acts as their receiver would.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use aldermill_leases::{
    Actions, Fence, FenceDecision, Incarnation, LeaseChange, LeaseConfig, Message, Micros, Outgoing,
    Participant, Term,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const LASTS: Micros = 2 * S;
const LEASE: &str = "d";

#[derive(Clone, Debug)]
enum Event {
    Wake(usize, u64),
    Comes {
        to: usize,
        from: Incarnation,
        message: Message,
    },
    Kept {
        node: usize,
        start: u64,
        term: Term,
    },
    /// An act that was decided on before, and left only now.
    Act {
        by: usize,
        term: Term,
    },
    Does(Fault),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Stop(usize),
    GoOn(usize),
    Cut(u8),
    Leave(usize),
}

#[derive(Default)]
struct Node {
    participant: Option<Participant>,
    start: u64,
    stands: bool,
    inbox: Vec<(Incarnation, Message)>,
    disk: Option<BTreeMap<String, Term>>,
    /// Its clock runs faster or slower by so much, and its wall clock is off by so many milliseconds.
    pace: f64,
    wall: i64,
}

struct World {
    now: Micros,
    nodes: Vec<Node>,
    config: LeaseConfig,
    /// Those on one side of a cut.
    cut: u8,
    loss: f64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Event>,
    next: u64,
    starts: u64,
    rng: Pcg64Mcg,
    fence: Fence,
    taken: Vec<Term>,
    got: Vec<(Micros, usize, Term)>,
    /// How long it was held, and how long a majority lived that was joined, from 10 s on.
    held: (Micros, Micros),
}

impl World {
    fn new(voters: usize, seed: u64, durable: bool) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names = (0..voters).map(|at| format!("n{at}")).collect();
        let node = |_| Node {
            disk: durable.then(BTreeMap::new),
            pace: 1.0 + rng.random_range(-0.004..0.004),
            wall: rng.random_range(-500..500),
            ..Node::default()
        };
        let nodes = (0..voters).map(node).collect();
        let config =
            LeaseConfig { voters: names, leases: vec![LEASE.to_owned()], duration: LASTS, least_term: 0 };
        let mut world = World {
            now: 0,
            nodes,
            config,
            cut: 0,
            loss: 0.0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
            starts: 0,
            rng,
            fence: Fence::volatile(),
            taken: Vec::new(),
            got: Vec::new(),
            held: (0, 0),
        };
        (0..voters).for_each(|at| world.does(Fault::Start(at)));
        world
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.what.insert(self.next, event);
        self.next += 1;
    }

    fn own(&self, node: usize) -> Micros {
        (self.now as f64 * self.nodes[node].pace) as Micros
    }

    fn wall(&self, node: usize) -> u64 {
        (1_000_000 + self.now / 1000 + self.nodes[node].wall) as u64
    }

    fn holder(&self) -> Option<usize> {
        let may = |at: &usize| {
            let node = &self.nodes[*at];
            node.participant.as_ref().is_some_and(|of| of.may_act(self.own(*at), LEASE).is_some())
        };
        let holders: Vec<usize> = (0..self.nodes.len()).filter(may).collect();
        assert!(holders.len() < 2, "{holders:?} hold it at {}", self.now);
        holders.first().copied().filter(|&at| !self.nodes[at].stands)
    }

    /// Whether a majority lives, goes on, and is joined.
    fn majority(&self) -> bool {
        let side = |which: bool| {
            let live = |at: &usize| {
                let node = &self.nodes[*at];
                node.participant.is_some() && !node.stands && (self.cut >> at & 1 == 1) == which
            };
            (0..self.nodes.len()).filter(live).count()
        };
        side(true).max(side(false)) > self.nodes.len() / 2
    }

    fn run(&mut self, until: Micros) {
        while let Some(&Reverse((at, key))) = self.events.peek()
            && at <= until
        {
            self.events.pop();
            let (before, majority) = (self.holder(), self.majority());
            if self.now > 10 * S && majority {
                self.held.1 += at - self.now;
                self.held.0 += if before.is_some() { at - self.now } else { 0 };
            }
            self.now = at;
            match self.what.remove(&key).unwrap() {
                Event::Wake(node, start) => self.wake(node, start),
                Event::Comes { to, from, message } => {
                    let (now, wall) = (self.own(to), self.wall(to));
                    let state = &mut self.nodes[to];
                    match &mut state.participant {
                        Some(_) if state.stands => state.inbox.push((from, message)),
                        Some(participant) => {
                            let actions = participant.receive(now, wall, &from, &message);
                            self.carry_out(to, actions);
                        }
                        None => {}
                    }
                }
                Event::Kept { node, start, term } => {
                    let (now, wall) = (self.own(node), self.wall(node));
                    let state = &mut self.nodes[node];
                    // It is on the disk although its process may be gone.
                    state.disk.as_mut().unwrap().insert(LEASE.to_owned(), term);
                    if state.start == start
                        && let Some(participant) = &mut state.participant
                    {
                        let actions = participant.persisted(now, wall, LEASE, term);
                        self.carry_out(node, actions);
                    }
                }
                Event::Act { by, term } => {
                    if self.nodes[by].stands {
                        // It stands between look and act.
                        self.at(self.now + 100 * MS, Event::Act { by, term });
                    } else {
                        match self.fence.admit(LEASE, term) {
                            FenceDecision::Accept => self.taken.push(term),
                            FenceDecision::Stale { highest_term } => self.overtaken(by, highest_term),
                            FenceDecision::PersistFirst => {}
                        }
                    }
                }
                Event::Does(fault) => self.does(fault),
            }
        }
        self.now = until;
    }

    /// Whoever refused an act says which term it knows of.
    fn overtaken(&mut self, node: usize, term: Term) {
        let (now, wall) = (self.own(node), self.wall(node));
        if let Some(participant) = &mut self.nodes[node].participant {
            let actions = participant.observe_term(now, wall, LEASE, term);
            self.carry_out(node, actions);
        }
    }

    fn wake(&mut self, node: usize, start: u64) {
        let (now, wall) = (self.own(node), self.wall(node));
        let state = &mut self.nodes[node];
        if state.start != start || state.stands {
            return;
        }
        let Some(participant) = &mut state.participant else { return };
        let actions = participant.wake(now, wall);
        let acts = participant.may_act(now, LEASE);
        self.carry_out(node, actions);
        if let Some(term) = acts {
            let late = self.rng.random_range(0..5 * MS);
            self.at(self.now + late, Event::Act { by: node, term });
        }
    }

    fn carry_out(&mut self, node: usize, actions: Actions) {
        let from = Incarnation { name: format!("n{node}"), start: self.nodes[node].start };
        for Outgoing { to, message } in actions.send {
            let to: usize = to[1..].parse().unwrap();
            let joined = self.cut >> node & 1 == self.cut >> to & 1;
            for _ in 0..1 + usize::from(self.rng.random_bool(0.05)) {
                if joined && !self.rng.random_bool(self.loss) {
                    let late = if self.rng.random_bool(0.02) { 700 * MS } else { 2 * MS };
                    let way = self.rng.random_range(100..late);
                    self.at(
                        self.now + way,
                        Event::Comes { to, from: from.clone(), message: message.clone() },
                    );
                }
            }
        }
        for (_, term) in actions.persist {
            let wait = self.rng.random_range(MS..20 * MS);
            self.at(self.now + wait, Event::Kept { node, start: self.nodes[node].start, term });
        }
        for change in actions.changes {
            if let LeaseChange::Acquired { term, .. } = change {
                self.got.push((self.now, node, term));
            }
        }
        let wake = actions
            .wake_at
            .map_or(self.now + 100 * MS, |at| (at as f64 / self.nodes[node].pace) as Micros + 1);
        self.at(wake.clamp(self.now + MS, self.now + 100 * MS), Event::Wake(node, self.nodes[node].start));
    }

    fn does(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => self.nodes[node].participant = None,
            Fault::Start(node) if self.nodes[node].participant.is_none() => {
                self.starts += 1;
                let (now, start, seed) = (self.own(node), self.starts, self.rng.random());
                let own = Incarnation { name: format!("n{node}"), start };
                let kept = self.nodes[node].disk.clone().map(|disk| disk.into_iter().collect());
                let participant = Participant::start(now, own, &self.config, kept, seed).unwrap();
                let state = &mut self.nodes[node];
                (state.start, state.stands) = (start, false);
                state.inbox.clear();
                state.participant = Some(participant);
                self.wake(node, start);
            }
            Fault::Stop(node) => self.nodes[node].stands = true,
            Fault::GoOn(node) => {
                let (now, wall) = (self.own(node), self.wall(node));
                self.nodes[node].stands = false;
                for (from, message) in std::mem::take(&mut self.nodes[node].inbox) {
                    if let Some(participant) = &mut self.nodes[node].participant {
                        let actions = participant.receive(now, wall, &from, &message);
                        self.carry_out(node, actions);
                    }
                }
                self.wake(node, self.nodes[node].start);
            }
            Fault::Cut(side) => self.cut = side,
            Fault::Leave(node) => {
                let now = self.own(node);
                if let Some(mut participant) = self.nodes[node].participant.take() {
                    let actions = participant.release_all(now);
                    self.carry_out(node, actions);
                }
            }
            Fault::Start(_) => {}
        }
    }

    fn check(&self) {
        assert!(self.taken.windows(2).all(|pair| pair[0] <= pair[1]), "{:?}", self.taken);
        let mut by_term = BTreeMap::new();
        for &(_, node, term) in &self.got {
            assert!(by_term.insert(term, node).is_none(), "term {term} was granted twice: {:?}", self.got);
        }
        assert!(self.got.windows(2).all(|pair| pair[0].2 < pair[1].2), "terms rise: {:?}", self.got);
    }
}

/// Faults of all kinds, on 3, 5 or 7 voters with and without disks; the ledger takes no act out of order.
#[test]
fn whatever_fails_no_two_hold_it_and_terms_rise() {
    let (mut least, mut held, mut joined) = (1.0, 0, 0);
    for seed in 0..100 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd_07);
        let voters = [3, 5, 7][rng.random_range(0..3)];
        let mut world = World::new(voters, seed, rng.random_bool(0.5));
        world.loss = if rng.random_bool(0.3) { 0.1 } else { 0.0 };
        for _ in 0..rng.random_range(1..5) {
            let (at, long) = (rng.random_range(8 * S..25 * S), rng.random_range(S / 10..6 * S));
            let holder = rng.random_bool(0.5);
            let node = rng.random_range(0..voters);
            world.run(at.max(world.now));
            let node = if holder { world.holder().unwrap_or(node) } else { node };
            let (does, undoes) = match rng.random_range(0..5) {
                0 => (Fault::Kill(node), Fault::Start(node)),
                1 => (Fault::Stop(node), Fault::GoOn(node)),
                2 => (Fault::Leave(node), Fault::Start(node)),
                3 => (Fault::Cut(1 << node), Fault::Cut(0)),
                _ => (Fault::Cut(rng.random_range(0..1 << voters) as u8), Fault::Cut(0)),
            };
            world.does(does);
            let end = world.now + long;
            world.at(end, Event::Does(undoes));
        }
        if rng.random_bool(0.1) {
            // The power goes, at all of them; what no disk has is forgotten.
            (0..voters).for_each(|node| world.does(Fault::Kill(node)));
            let on = world.now + 2 * S;
            (0..voters).for_each(|node| world.at(on, Event::Does(Fault::Start(node))));
        }
        let end = world.now + 20 * S;
        world.run(end);
        world.check();
        assert!(world.holder().is_some(), "held again at the end, seed {seed}");
        let share = world.held.0 as f64 / world.held.1.max(1) as f64;
        least = f64::min(least, share);
        (held, joined) = (held + world.held.0, joined + world.held.1);
    }
    eprintln!(
        "held {:.4} of the time in which a majority was joined, least {least:.3}",
        held as f64 / joined as f64
    );
}

/// From a fault that ends a holder until the next one, over 50 seeds each.
fn handover(fault: impl Fn(usize) -> Fault) -> Vec<Micros> {
    let mut took: Vec<Micros> = (0..50)
        .map(|seed| {
            let mut world = World::new(5, seed, seed % 2 == 0);
            world.run(10 * S + seed as Micros * 37 * MS);
            let holder = world.holder().expect("held in calm times");
            let at = world.now;
            world.does(fault(holder));
            world.run(at + 3 * LASTS);
            world.check();
            world.got.iter().find(|got| got.0 > at).expect("it passes on").0 - at
        })
        .collect();
    took.sort_unstable();
    took
}

#[test]
fn a_lease_passes_on_at_once_when_it_is_laid_down_and_within_two_leases_when_not() {
    let report = |name: &str, took: &[Micros]| {
        eprintln!("{name}: median {} ms, worst {} ms", took[25] / MS, took[49] / MS);
    };
    let left = handover(Fault::Leave);
    report("left", &left);
    assert!(left[48] < 300 * MS, "{left:?}");
    for (name, took) in [
        ("killed", handover(Fault::Kill)),
        ("stopped", handover(Fault::Stop)),
        ("cut off", handover(|holder| Fault::Cut(1 << holder))),
    ] {
        report(name, &took);
        assert!(took[49] < 2 * LASTS, "{name}: {took:?}");
    }
}

#[test]
fn a_calm_lease_stays_where_it_is_and_one_that_is_unable_gives_it_up() {
    let mut world = World::new(3, 5, false);
    world.run(60 * S);
    assert_eq!(world.got.len(), 1);
    assert!(world.held.0 * 1000 > world.held.1 * 999);
    let (holder, now) = (world.holder().unwrap(), world.now);
    let own = world.own(holder);
    let actions = world.nodes[holder].participant.as_mut().unwrap().set_eligible(own, LEASE, false);
    world.carry_out(holder, actions);
    world.run(now + S);
    assert!(world.holder().is_some_and(|next| next != holder));
    world.check();
}

/// An hour's step of all wall clocks, either way, while elections go on, and one undone over a loss of all that voters knew.
#[test]
fn steps_of_the_wall_clock_stop_no_election_and_make_no_term_that_cannot_be_passed() {
    const HOUR: i64 = 3_600_000;
    for (seed, step) in [HOUR, -HOUR, 2_000, -2_000].into_iter().cycle().take(20).enumerate() {
        let mut world = World::new(5, seed as u64, false);
        for (at, step) in [step, 0, -step].into_iter().enumerate() {
            world.nodes.iter_mut().for_each(|node| node.wall = step);
            let holder = world.holder().unwrap_or(at);
            world.does(Fault::Kill(holder));
            let end = world.now + 6 * S;
            world.run(end);
            assert!(world.holder().is_some_and(|next| next != holder), "nobody after {step}");
            world.does(Fault::Start(holder));
        }
        world.check();
        // Voters without disks all start again, under clocks behind those of before.
        (0..5).for_each(|node| world.does(Fault::Kill(node)));
        world.nodes.iter_mut().for_each(|node| node.wall = -2 * HOUR);
        (0..5).for_each(|node| world.does(Fault::Start(node)));
        let before = world.taken.len();
        let end = world.now + 8 * S;
        world.run(end);
        assert!(world.taken.len() > before + 5, "no act is taken any more, seed {seed}");
        assert!(world.taken.windows(2).all(|pair| pair[0] <= pair[1]));
    }
}
