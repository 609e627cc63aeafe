//! Simulation of voters in virtual time. The network delays, loses and duplicates messages and can be
//! partitioned, processes are killed, stalled and restarted, writes to disk take a while, and a fence accepts
//! or rejects operations as their receiver does.

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

/// An event that happens at a scheduled time.
#[derive(Clone, Debug)]
enum Event {
    /// The process of a node is woken, unless it is no longer the one with this start number.
    Wake(usize, u64),
    /// A message reaches its recipient.
    Arrival { to: usize, from: Incarnation, message: Message },
    /// A term is on a node's disk; `start` is the start number of the process that wrote it.
    Persisted { node: usize, start: u64, term: Term },
    /// An operation leaves its sender, which checked its lease some time before.
    Operation { sender: usize, term: Term },
    /// A fault happens or ends.
    Fault(Fault),
}

/// A fault, or its end. Nodes are given by their index.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The process ends without notice.
    Kill(usize),
    /// A process starts, unless one is running on the node.
    Start(usize),
    /// The process stalls.
    Stall(usize),
    /// The stall ends, and the process handles the messages that arrived in the meantime.
    Resume(usize),
    /// The network is divided into the nodes whose bits are set and the others; 0 ends the partition.
    Partition(u8),
    /// The process releases its leases and ends.
    Leave(usize),
}

/// A node of the simulation, which runs at most one process at a time.
#[derive(Default)]
struct Node {
    /// `None` while no process runs.
    participant: Option<Participant>,
    /// Start number of the latest process.
    start: u64,
    is_stalled: bool,
    /// Messages that arrived during a stall, with their senders.
    queued_messages: Vec<(Incarnation, Message)>,
    /// Terms on the node's disk, by lease; `None` for a node without a disk.
    persisted_terms: Option<BTreeMap<String, Term>>,
    /// Rate of the node's clock relative to virtual time: above 1 if the clock runs fast.
    rate: f64,
    /// Offset of the node's wall clock, in milliseconds; negative if it is behind.
    wall_clock_offset_ms: i64,
}

/// Nodes, the network between them and the receiver of their operations, in virtual time.
struct Simulation {
    /// Virtual time since the start of the simulation.
    now: Micros,
    nodes: Vec<Node>,
    config: LeaseConfig,
    /// Bit mask of the nodes on one side of a partition; 0 if there is none.
    partition_mask: u8,
    /// Probability with which a message is lost.
    loss: f64,
    /// Times and numbers of the pending events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Pending events by number.
    events: BTreeMap<u64, Event>,
    next_event_number: u64,
    /// Number of processes started so far on all nodes, which gives the next start number.
    start_count: u64,
    rng: Pcg64Mcg,
    /// Fence of the receiver of operations.
    fence: Fence,
    /// Terms of the accepted operations, in the order of their acceptance.
    accepted_terms: Vec<Term>,
    /// Time, node and term of each acquisition of the lease, in order.
    acquisitions: Vec<(Micros, usize, Term)>,
    /// From 10 s on: time for which the lease was held while a connected majority was running, and time for
    /// which a connected majority was running.
    availability: (Micros, Micros),
}

impl Simulation {
    /// Creates a simulation and starts a process on each node. The nodes have disks if `durable` is set.
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

    /// Schedules an event at a virtual time.
    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, self.next_event_number)));
        self.events.insert(self.next_event_number, event);
        self.next_event_number += 1;
    }

    /// Returns the time by a node's own clock.
    fn local_time(&self, node: usize) -> Micros {
        (self.now as f64 * self.nodes[node].rate) as Micros
    }

    /// Returns the Unix time by a node's wall clock, in milliseconds.
    fn wall_clock_ms(&self, node: usize) -> u64 {
        (1_000_000 + self.now / 1000 + self.nodes[node].wall_clock_offset_ms) as u64
    }

    /// Returns the node that may act on the lease; `None` if there is none or it is stalled. Panics if
    /// several nodes may act.
    fn holder(&self) -> Option<usize> {
        let may_act = |index: &usize| {
            let node = &self.nodes[*index];
            node.participant
                .as_ref()
                .is_some_and(|participant| participant.may_act(self.local_time(*index), LEASE).is_some())
        };
        let holders: Vec<usize> = (0..self.nodes.len()).filter(may_act).collect();
        assert!(holders.len() < 2, "nodes {holders:?} hold the lease at {} us", self.now);
        holders.first().copied().filter(|&index| !self.nodes[index].is_stalled)
    }

    /// Returns whether a majority of the nodes has running processes that are not stalled and are on the same
    /// side of a partition.
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

    /// Handles the events up to a virtual time.
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
                    // The term is on the disk even if the process that wrote it has ended since.
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
                        // The sender is stalled between checking its lease and acting.
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

    /// Tells a node the highest term known to the receiver that has rejected the node's operation.
    fn observe_term(&mut self, node: usize, term: Term) {
        let (now, wall_clock_ms) = (self.local_time(node), self.wall_clock_ms(node));
        if let Some(participant) = &mut self.nodes[node].participant {
            let actions = participant.observe_term(now, wall_clock_ms, LEASE, term);
            self.carry_out(node, actions);
        }
    }

    /// Wakes a process, unless it has ended or is stalled. If it may act, it sends an operation a little
    /// later.
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

    /// Carries out a process's actions: sends messages, starts writes to disk, records acquisitions and
    /// schedules the next wake.
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

    /// Applies a fault, or its end.
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

    /// Checks that the terms of accepted operations never fall, that no term was granted twice, and that
    /// terms rise with each acquisition.
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
            "terms do not rise: {:?}",
            self.acquisitions
        );
    }
}

/// Faults of all kinds, on 3, 5 or 7 voters with and without disks. The fence accepts no operation under a
/// lower term than an earlier one.
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
            // All nodes lose power, and with it everything that is not on a disk.
            (0..voters).for_each(|node| simulation.inject(Fault::Kill(node)));
            let restart_at = simulation.now + 2 * SECOND;
            (0..voters).for_each(|node| simulation.schedule(restart_at, Event::Fault(Fault::Start(node))));
        }
        let end = simulation.now + 20 * SECOND;
        simulation.run_until(end);
        simulation.assert_invariants();
        assert!(simulation.holder().is_some(), "nobody holds the lease at the end, seed {seed}");
        let share = simulation.availability.0 as f64 / simulation.availability.1.max(1) as f64;
        lowest_share = f64::min(lowest_share, share);
        (total_held, total_connected) =
            (total_held + simulation.availability.0, total_connected + simulation.availability.1);
    }
    eprintln!(
        "lease held for {:.4} of the time with a connected majority, lowest share {lowest_share:.3}",
        total_held as f64 / total_connected as f64
    );
}

/// Returns the times from a fault of the holder until the next acquisition, for 50 seeds, shortest first.
fn handover_times(fault: impl Fn(usize) -> Fault) -> Vec<Micros> {
    let mut times: Vec<Micros> = (0..50)
        .map(|seed| {
            let mut simulation = Simulation::new(5, seed, seed % 2 == 0);
            simulation.run_until(10 * SECOND + seed as Micros * 37 * MILLISECOND);
            let holder = simulation.holder().expect("the lease is held while there are no faults");
            let faulted_at = simulation.now;
            simulation.inject(fault(holder));
            simulation.run_until(faulted_at + 3 * LEASE_DURATION);
            simulation.assert_invariants();
            simulation
                .acquisitions
                .iter()
                .find(|acquisition| acquisition.0 > faulted_at)
                .expect("the lease is acquired after the fault")
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
    report("released", &after_release);
    assert!(after_release[48] < 300 * MILLISECOND, "{after_release:?}");
    for (name, times) in [
        ("killed", handover_times(Fault::Kill)),
        ("stalled", handover_times(Fault::Stall)),
        ("partitioned", handover_times(|holder| Fault::Partition(1 << holder))),
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

/// All wall clocks step by an hour or by 2 s, forward or back, during elections. Then all voters lose their
/// state, and the wall clocks are set back: new terms start below those that the fence has accepted, and have
/// to rise above them.
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
                "no new holder at a wall clock offset of {offset_ms} ms"
            );
            simulation.inject(Fault::Start(holder));
        }
        simulation.assert_invariants();
        // All voters, which have no disks, restart under wall clocks that are behind the earlier ones.
        (0..5).for_each(|node| simulation.inject(Fault::Kill(node)));
        simulation.nodes.iter_mut().for_each(|node| node.wall_clock_offset_ms = -2 * HOUR);
        (0..5).for_each(|node| simulation.inject(Fault::Start(node)));
        let accepted_before = simulation.accepted_terms.len();
        let end = simulation.now + 8 * SECOND;
        simulation.run_until(end);
        assert!(
            simulation.accepted_terms.len() > accepted_before + 5,
            "operations are no longer accepted, seed {seed}"
        );
        assert!(simulation.accepted_terms.windows(2).all(|pair| pair[0] <= pair[1]));
    }
}
