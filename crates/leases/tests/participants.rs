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

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const LEASE_DURATION: Micros = 2 * SECOND;
const LEASE: &str = "d";

#[derive(Clone, Debug)]
enum Event {
    Wake(usize, u64),
    Arrival {
        to: usize,
        from: Incarnation,
        message: Message,
    },
    Persisted {
        node: usize,
        start: u64,
        term: Term,
    },
    /// An act that was decided on before, and left only now.
    Operation {
        sender: usize,
        term: Term,
    },
    Fault(Fault),
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Stall(usize),
    Resume(usize),
    Partition(u8),
    Leave(usize),
}

#[derive(Default)]
struct Node {
    participant: Option<Participant>,
    start: u64,
    is_stalled: bool,
    queued_messages: Vec<(Incarnation, Message)>,
    persisted_terms: Option<BTreeMap<String, Term>>,
    /// Its clock runs faster or slower by so much, and its wall clock is off by so many milliseconds.
    rate: f64,
    wall_clock_offset_ms: i64,
}

struct Simulation {
    now: Micros,
    nodes: Vec<Node>,
    config: LeaseConfig,
    /// Those on one side of a cut.
    partition_mask: u8,
    loss: f64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event_number: u64,
    start_count: u64,
    rng: Pcg64Mcg,
    fence: Fence,
    accepted_terms: Vec<Term>,
    acquisitions: Vec<(Micros, usize, Term)>,
    /// How long it was held, and how long a majority lived that was joined, from 10 s on.
    availability: (Micros, Micros),
}

impl Simulation {
    fn new(voters: usize, seed: u64, durable: bool) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names = (0..voters).map(|at| format!("n{at}")).collect();
        let node = |_| Node {
            persisted_terms: durable.then(BTreeMap::new),
            rate: 1.0 + rng.random_range(-0.004..0.004),
            wall_clock_offset_ms: rng.random_range(-500..500),
            ..Node::default()
        };
        let nodes = (0..voters).map(node).collect();
        let config = LeaseConfig {
            voters: names,
            leases: vec![LEASE.to_owned()],
            duration: LEASE_DURATION,
            least_term: 0,
        };
        let mut simulation = Simulation {
            now: 0,
            nodes,
            config,
            partition_mask: 0,
            loss: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event_number: 0,
            start_count: 0,
            rng,
            fence: Fence::volatile(),
            accepted_terms: Vec::new(),
            acquisitions: Vec::new(),
            availability: (0, 0),
        };
        (0..voters).for_each(|at| simulation.inject(Fault::Start(at)));
        simulation
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, self.next_event_number)));
        self.events.insert(self.next_event_number, event);
        self.next_event_number += 1;
    }

    fn local_time(&self, node: usize) -> Micros {
        (self.now as f64 * self.nodes[node].rate) as Micros
    }

    fn wall_clock_ms(&self, node: usize) -> u64 {
        (1_000_000 + self.now / 1000 + self.nodes[node].wall_clock_offset_ms) as u64
    }

    fn holder(&self) -> Option<usize> {
        let may_act = |index: &usize| {
            let node = &self.nodes[*index];
            node.participant
                .as_ref()
                .is_some_and(|participant| participant.may_act(self.local_time(*index), LEASE).is_some())
        };
        let holders: Vec<usize> = (0..self.nodes.len()).filter(may_act).collect();
        assert!(holders.len() < 2, "{holders:?} hold it at {}", self.now);
        holders.first().copied().filter(|&index| !self.nodes[index].is_stalled)
    }

    /// Whether a majority lives, goes on, and is joined.
    fn has_connected_majority(&self) -> bool {
        let running_on_side = |in_mask: bool| {
            let is_connected = |index: &usize| {
                let node = &self.nodes[*index];
                node.participant.is_some()
                    && !node.is_stalled
                    && (self.partition_mask >> index & 1 == 1) == in_mask
            };
            (0..self.nodes.len()).filter(is_connected).count()
        };
        running_on_side(true).max(running_on_side(false)) > self.nodes.len() / 2
    }

    fn run_until(&mut self, until: Micros) {
        while let Some(&Reverse((at, event_number))) = self.queue.peek()
            && at <= until
        {
            self.queue.pop();
            let (holder_before, has_connected_majority) = (self.holder(), self.has_connected_majority());
            if self.now > 10 * SECOND && has_connected_majority {
                self.availability.1 += at - self.now;
                self.availability.0 += if holder_before.is_some() { at - self.now } else { 0 };
            }
            self.now = at;
            match self.events.remove(&event_number).unwrap() {
                Event::Wake(node, start) => self.wake(node, start),
                Event::Arrival { to, from, message } => {
                    let (now, wall_clock_ms) = (self.local_time(to), self.wall_clock_ms(to));
                    let state = &mut self.nodes[to];
                    match &mut state.participant {
                        Some(_) if state.is_stalled => state.queued_messages.push((from, message)),
                        Some(participant) => {
                            let actions = participant.receive(now, wall_clock_ms, &from, &message);
                            self.carry_out(to, actions);
                        }
                        None => {}
                    }
                }
                Event::Persisted { node, start, term } => {
                    let (now, wall_clock_ms) = (self.local_time(node), self.wall_clock_ms(node));
                    let state = &mut self.nodes[node];
                    // It is on the disk although its process may be gone.
                    state.persisted_terms.as_mut().unwrap().insert(LEASE.to_owned(), term);
                    if state.start == start
                        && let Some(participant) = &mut state.participant
                    {
                        let actions = participant.persisted(now, wall_clock_ms, LEASE, term);
                        self.carry_out(node, actions);
                    }
                }
                Event::Operation { sender, term } => {
                    if self.nodes[sender].is_stalled {
                        // It stands between look and act.
                        self.schedule(self.now + 100 * MILLISECOND, Event::Operation { sender, term });
                    } else {
                        match self.fence.admit(LEASE, term) {
                            FenceDecision::Accept => self.accepted_terms.push(term),
                            FenceDecision::Stale { highest_term } => self.observe_term(sender, highest_term),
                            FenceDecision::PersistFirst => {}
                        }
                    }
                }
                Event::Fault(fault) => self.inject(fault),
            }
        }
        self.now = until;
    }

    /// Whoever refused an act says which term it knows of.
    fn observe_term(&mut self, node: usize, term: Term) {
        let (now, wall_clock_ms) = (self.local_time(node), self.wall_clock_ms(node));
        if let Some(participant) = &mut self.nodes[node].participant {
            let actions = participant.observe_term(now, wall_clock_ms, LEASE, term);
            self.carry_out(node, actions);
        }
    }

    fn wake(&mut self, node: usize, start: u64) {
        let (now, wall_clock_ms) = (self.local_time(node), self.wall_clock_ms(node));
        let state = &mut self.nodes[node];
        if state.start != start || state.is_stalled {
            return;
        }
        let Some(participant) = &mut state.participant else { return };
        let actions = participant.wake(now, wall_clock_ms);
        let held_term = participant.may_act(now, LEASE);
        self.carry_out(node, actions);
        if let Some(term) = held_term {
            let delay = self.rng.random_range(0..5 * MILLISECOND);
            self.schedule(self.now + delay, Event::Operation { sender: node, term });
        }
    }

    fn carry_out(&mut self, node: usize, actions: Actions) {
        let from = Incarnation { name: format!("n{node}"), start: self.nodes[node].start };
        for Outgoing { to, message } in actions.send {
            let to: usize = to[1..].parse().unwrap();
            let is_connected = self.partition_mask >> node & 1 == self.partition_mask >> to & 1;
            for _ in 0..1 + usize::from(self.rng.random_bool(0.05)) {
                if is_connected && !self.rng.random_bool(self.loss) {
                    let max_delay =
                        if self.rng.random_bool(0.02) { 700 * MILLISECOND } else { 2 * MILLISECOND };
                    let delay = self.rng.random_range(100..max_delay);
                    self.schedule(
                        self.now + delay,
                        Event::Arrival { to, from: from.clone(), message: message.clone() },
                    );
                }
            }
        }
        for (_, term) in actions.persist {
            let delay = self.rng.random_range(MILLISECOND..20 * MILLISECOND);
            self.schedule(self.now + delay, Event::Persisted { node, start: self.nodes[node].start, term });
        }
        for change in actions.changes {
            if let LeaseChange::Acquired { term, .. } = change {
                self.acquisitions.push((self.now, node, term));
            }
        }
        let wake_at = actions
            .wake_at
            .map_or(self.now + 100 * MILLISECOND, |at| (at as f64 / self.nodes[node].rate) as Micros + 1);
        self.schedule(
            wake_at.clamp(self.now + MILLISECOND, self.now + 100 * MILLISECOND),
            Event::Wake(node, self.nodes[node].start),
        );
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => self.nodes[node].participant = None,
            Fault::Start(node) if self.nodes[node].participant.is_none() => {
                self.start_count += 1;
                let (now, start, seed) = (self.local_time(node), self.start_count, self.rng.random());
                let incarnation = Incarnation { name: format!("n{node}"), start };
                let stored_terms = self.nodes[node]
                    .persisted_terms
                    .clone()
                    .map(|persisted_terms| persisted_terms.into_iter().collect());
                let participant =
                    Participant::start(now, incarnation, &self.config, stored_terms, seed).unwrap();
                let state = &mut self.nodes[node];
                (state.start, state.is_stalled) = (start, false);
                state.queued_messages.clear();
                state.participant = Some(participant);
                self.wake(node, start);
            }
            Fault::Stall(node) => self.nodes[node].is_stalled = true,
            Fault::Resume(node) => {
                let (now, wall_clock_ms) = (self.local_time(node), self.wall_clock_ms(node));
                self.nodes[node].is_stalled = false;
                for (from, message) in std::mem::take(&mut self.nodes[node].queued_messages) {
                    if let Some(participant) = &mut self.nodes[node].participant {
                        let actions = participant.receive(now, wall_clock_ms, &from, &message);
                        self.carry_out(node, actions);
                    }
                }
                self.wake(node, self.nodes[node].start);
            }
            Fault::Partition(mask) => self.partition_mask = mask,
            Fault::Leave(node) => {
                let now = self.local_time(node);
                if let Some(mut participant) = self.nodes[node].participant.take() {
                    let actions = participant.release_all(now);
                    self.carry_out(node, actions);
                }
            }
            Fault::Start(_) => {}
        }
    }

    fn assert_invariants(&self) {
        assert!(self.accepted_terms.windows(2).all(|pair| pair[0] <= pair[1]), "{:?}", self.accepted_terms);
        let mut by_term = BTreeMap::new();
        for &(_, node, term) in &self.acquisitions {
            assert!(
                by_term.insert(term, node).is_none(),
                "term {term} was granted twice: {:?}",
                self.acquisitions
            );
        }
        assert!(
            self.acquisitions.windows(2).all(|pair| pair[0].2 < pair[1].2),
            "terms rise: {:?}",
            self.acquisitions
        );
    }
}

/// Faults of all kinds, on 3, 5 or 7 voters with and without disks; the ledger takes no act out of order.
#[test]
fn at_most_one_process_holds_the_lease_and_terms_rise_under_random_faults() {
    let (mut lowest_share, mut total_held, mut total_connected) = (1.0, 0, 0);
    for seed in 0..100 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xd_07);
        let voters = [3, 5, 7][rng.random_range(0..3)];
        let mut simulation = Simulation::new(voters, seed, rng.random_bool(0.5));
        simulation.loss = if rng.random_bool(0.3) { 0.1 } else { 0.0 };
        for _ in 0..rng.random_range(1..5) {
            let (fault_at, fault_duration) =
                (rng.random_range(8 * SECOND..25 * SECOND), rng.random_range(SECOND / 10..6 * SECOND));
            let targets_holder = rng.random_bool(0.5);
            let node = rng.random_range(0..voters);
            simulation.run_until(fault_at.max(simulation.now));
            let node = if targets_holder { simulation.holder().unwrap_or(node) } else { node };
            let (fault, repair) = match rng.random_range(0..5) {
                0 => (Fault::Kill(node), Fault::Start(node)),
                1 => (Fault::Stall(node), Fault::Resume(node)),
                2 => (Fault::Leave(node), Fault::Start(node)),
                3 => (Fault::Partition(1 << node), Fault::Partition(0)),
                _ => (Fault::Partition(rng.random_range(0..1 << voters) as u8), Fault::Partition(0)),
            };
            simulation.inject(fault);
            let end = simulation.now + fault_duration;
            simulation.schedule(end, Event::Fault(repair));
        }
        if rng.random_bool(0.1) {
            // The power goes, at all of them; what no disk has is forgotten.
            (0..voters).for_each(|node| simulation.inject(Fault::Kill(node)));
            let restart_at = simulation.now + 2 * SECOND;
            (0..voters).for_each(|node| simulation.schedule(restart_at, Event::Fault(Fault::Start(node))));
        }
        let end = simulation.now + 20 * SECOND;
        simulation.run_until(end);
        simulation.assert_invariants();
        assert!(simulation.holder().is_some(), "held again at the end, seed {seed}");
        let share = simulation.availability.0 as f64 / simulation.availability.1.max(1) as f64;
        lowest_share = f64::min(lowest_share, share);
        (total_held, total_connected) =
            (total_held + simulation.availability.0, total_connected + simulation.availability.1);
    }
    eprintln!(
        "held {:.4} of the time in which a majority was joined, least {lowest_share:.3}",
        total_held as f64 / total_connected as f64
    );
}

/// From a fault that ends a holder until the next one, over 50 seeds each.
fn handover_times(fault: impl Fn(usize) -> Fault) -> Vec<Micros> {
    let mut times: Vec<Micros> = (0..50)
        .map(|seed| {
            let mut simulation = Simulation::new(5, seed, seed % 2 == 0);
            simulation.run_until(10 * SECOND + seed as Micros * 37 * MILLISECOND);
            let holder = simulation.holder().expect("held in calm times");
            let faulted_at = simulation.now;
            simulation.inject(fault(holder));
            simulation.run_until(faulted_at + 3 * LEASE_DURATION);
            simulation.assert_invariants();
            simulation
                .acquisitions
                .iter()
                .find(|acquisition| acquisition.0 > faulted_at)
                .expect("it passes on")
                .0
                - faulted_at
        })
        .collect();
    times.sort_unstable();
    times
}

#[test]
fn a_released_lease_passes_on_at_once_and_any_other_within_two_lease_durations() {
    let report = |name: &str, times: &[Micros]| {
        eprintln!("{name}: median {} ms, worst {} ms", times[25] / MILLISECOND, times[49] / MILLISECOND);
    };
    let after_release = handover_times(Fault::Leave);
    report("left", &after_release);
    assert!(after_release[48] < 300 * MILLISECOND, "{after_release:?}");
    for (name, times) in [
        ("killed", handover_times(Fault::Kill)),
        ("stopped", handover_times(Fault::Stall)),
        ("cut off", handover_times(|holder| Fault::Partition(1 << holder))),
    ] {
        report(name, &times);
        assert!(times[49] < 2 * LEASE_DURATION, "{name}: {times:?}");
    }
}

#[test]
fn a_lease_stays_with_its_holder_until_the_holder_becomes_ineligible() {
    let mut simulation = Simulation::new(3, 5, false);
    simulation.run_until(60 * SECOND);
    assert_eq!(simulation.acquisitions.len(), 1);
    assert!(simulation.availability.0 * 1000 > simulation.availability.1 * 999);
    let (holder, now) = (simulation.holder().unwrap(), simulation.now);
    let local_time = simulation.local_time(holder);
    let actions =
        simulation.nodes[holder].participant.as_mut().unwrap().set_eligible(local_time, LEASE, false);
    simulation.carry_out(holder, actions);
    simulation.run_until(now + SECOND);
    assert!(simulation.holder().is_some_and(|next_holder| next_holder != holder));
    simulation.assert_invariants();
}

/// An hour's step of all wall clocks, either way, while elections go on, and one undone over a loss of all that voters knew.
#[test]
fn wall_clock_steps_neither_block_elections_nor_leave_terms_that_cannot_be_exceeded() {
    const HOUR: i64 = 3_600_000;
    for (seed, offset_ms) in [HOUR, -HOUR, 2_000, -2_000].into_iter().cycle().take(20).enumerate() {
        let mut simulation = Simulation::new(5, seed as u64, false);
        for (index, offset_ms) in [offset_ms, 0, -offset_ms].into_iter().enumerate() {
            simulation.nodes.iter_mut().for_each(|node| node.wall_clock_offset_ms = offset_ms);
            let holder = simulation.holder().unwrap_or(index);
            simulation.inject(Fault::Kill(holder));
            let end = simulation.now + 6 * SECOND;
            simulation.run_until(end);
            assert!(
                simulation.holder().is_some_and(|next_holder| next_holder != holder),
                "nobody after {offset_ms}"
            );
            simulation.inject(Fault::Start(holder));
        }
        simulation.assert_invariants();
        // Voters without disks all start again, under clocks behind those of before.
        (0..5).for_each(|node| simulation.inject(Fault::Kill(node)));
        simulation.nodes.iter_mut().for_each(|node| node.wall_clock_offset_ms = -2 * HOUR);
        (0..5).for_each(|node| simulation.inject(Fault::Start(node)));
        let accepted_before = simulation.accepted_terms.len();
        let end = simulation.now + 8 * SECOND;
        simulation.run_until(end);
        assert!(
            simulation.accepted_terms.len() > accepted_before + 5,
            "no act is taken any more, seed {seed}"
        );
        assert!(simulation.accepted_terms.windows(2).all(|pair| pair[0] <= pair[1]));
    }
}
