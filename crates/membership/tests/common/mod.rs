//! Simulation of many proxies in virtual time, on a network that delays and loses datagrams and can be
//! partitioned.

#![allow(dead_code, reason = "tests and the measurement use different parts")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use aldermill_membership::{
    Actions, Change, Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress, Snapshot,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
/// Maximum number of datagrams that wait for a stalled process. Further ones are lost, as if its socket's
/// receive buffer were full.
const SOCKET_BUFFER_DATAGRAMS: usize = 500;
/// Number of proxies that each proxy's configuration names as seeds.
const SEED_COUNT: usize = 5;
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Port of the first node; the other nodes have the ports after it.
const FIRST_PORT: u16 = 10_000;
/// Unix time at the start of the simulation.
const WALL_CLOCK_AT_START: Micros = 1_800_000_000 * SECOND;

/// A change that a proxy learnt of.
pub struct LearntChange {
    /// Virtual time at which the proxy learnt of the change.
    pub at: Micros,
    /// Change as the proxy reported it.
    pub change: Change,
}

/// A node of the simulation, which runs at most one proxy process at a time.
pub struct Node {
    /// Membership of the running process; `None` while no process runs.
    pub membership: Option<Membership>,
    /// Number of processes started on this node so far, which identifies the latest one.
    pub instance_number: u64,
    /// Time for which the current process was stalled, without a stall that still lasts.
    total_stall_time: Micros,
    /// Time at which the current stall began; `None` while the process is not stalled.
    stalled_since: Option<Micros>,
    /// Datagrams that arrived during the current stall.
    buffered_datagrams: Vec<Vec<u8>>,
    /// Virtual time of the next wake; wakes scheduled for other times are ignored. `None` if no wake is
    /// scheduled.
    wake_at: Option<Micros>,
    /// Number of datagrams sent from this node.
    pub datagrams_sent: u64,
    /// Number of bytes sent from this node.
    pub bytes_sent: u64,
    /// Changes that the processes of this node learnt of, oldest first.
    pub changes: Vec<LearntChange>,
}

impl Node {
    fn new() -> Node {
        Node {
            membership: None,
            instance_number: 0,
            total_stall_time: 0,
            stalled_since: None,
            buffered_datagrams: Vec::new(),
            wake_at: None,
            datagrams_sent: 0,
            bytes_sent: 0,
            changes: Vec::new(),
        }
    }
}

/// An event that happens at a scheduled time.
enum Event {
    /// A process is woken, unless another one runs on its node by then.
    Wake { node: usize, instance_number: u64 },
    /// A datagram reaches its destination.
    Arrival { to: SocketAddr, from: usize, bytes: Vec<u8> },
}

/// Nodes, and the network between them, in virtual time. Nodes are referred to by their index.
pub struct Simulation {
    /// Virtual time since the start of the simulation.
    pub now: Micros,
    /// All nodes, whether or not a process runs on them.
    pub nodes: Vec<Node>,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// Whether the network carries datagrams from the first node to the second. Asked when a datagram is sent
    /// and when it arrives.
    pub can_reach: Box<dyn Fn(usize, usize) -> bool>,
    /// Intervals and timeouts of the processes that are started from now on.
    pub periods: ProtocolPeriods,
    /// Offset of the wall clock from which start numbers are taken; negative if the clock was set back.
    pub wall_clock_offset: Micros,
    /// Name of each node's fleet.
    fleet_names: Vec<String>,
    /// Times and numbers of the pending events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Pending events by number.
    events: HashMap<u64, Event>,
    next_event_number: u64,
    /// Source of all randomness in the simulation, seeded by its creator.
    pub rng: Pcg64Mcg,
}

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::new(LOCALHOST, FIRST_PORT + node as u16)
}

/// Returns the node with this address, or an index without a node if there is none.
fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port()).wrapping_sub(usize::from(FIRST_PORT))
}

impl Simulation {
    /// Creates a simulation of `node_count` nodes of one fleet, on none of which a process runs. Equal seeds
    /// with equal calls give equal runs.
    pub fn new(node_count: usize, seed: u64) -> Simulation {
        Simulation {
            now: 0,
            nodes: (0..node_count).map(|_| Node::new()).collect(),
            loss: 0.0,
            can_reach: Box::new(|_, _| true),
            periods: ProtocolPeriods::for_fleet_size(node_count),
            wall_clock_offset: 0,
            fleet_names: vec!["f".to_owned(); node_count],
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event_number: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the fleet that the next process of a node joins.
    pub fn set_fleet(&mut self, node: usize, fleet: &str) {
        self.fleet_names[node] = fleet.to_owned();
    }

    /// Starts a proxy on a node, with a name of the node's own and the first nodes as seeds.
    pub fn start(&mut self, node: usize) {
        let seed = |node| SeedAddress { name: None, address: address(node) };
        let seeds = (0..self.nodes.len().min(SEED_COUNT)).map(seed).collect();
        self.start_as(node, &format!("n{node}"), seeds);
    }

    /// Starts a proxy on a node, with this name and these seeds.
    pub fn start_as(&mut self, node: usize, name: &str, seeds: Vec<SeedAddress>) {
        let fleet_size = self.nodes.len();
        let local = LocalPeer {
            fleet: self.fleet_names[node].clone(),
            name: name.to_owned(),
            address: address(node),
            start: (WALL_CLOCK_AT_START + self.now + self.wall_clock_offset) as u64 + node as u64,
        };
        let networks = vec!["127.0.0.0/8".parse().unwrap()];
        let config = Config { local, seeds, networks, periods: self.periods, fleet_size };
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.total_stall_time = 0;
        state.stalled_since = None;
        state.instance_number += 1;
        state.wake_at = None;
        state.buffered_datagrams.clear();
        let (membership, actions) = Membership::start(self.now, config, seed);
        state.membership = Some(membership);
        self.carry_out(node, actions);
    }

    /// Starts a proxy on each node.
    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    /// Ends a node's process without notice to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].membership = None;
    }

    /// Ends a node's process after it has left the fleet.
    pub fn leave(&mut self, node: usize) {
        if let Some(mut membership) = self.nodes[node].membership.take() {
            let actions = membership.leave();
            self.carry_out(node, actions);
        }
    }

    /// Stalls a node's process. Has no effect if it is stalled already.
    pub fn stall(&mut self, node: usize) {
        self.nodes[node].stalled_since.get_or_insert(self.now);
    }

    /// Ends a stall: the process handles the datagrams that arrived in the meantime, then wakes. Has no
    /// effect if the process is not stalled.
    pub fn resume(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(since) = state.stalled_since.take() else { return };
        state.total_stall_time += self.now - since;
        let process_time = self.now - state.total_stall_time;
        let buffered_datagrams = std::mem::take(&mut state.buffered_datagrams);
        let Some(membership) = state.membership.as_mut() else { return };
        membership.resume_after_stall(process_time);
        let mut collected_actions: Vec<Actions> = buffered_datagrams
            .iter()
            .map(|bytes| membership.receive(process_time, LOCALHOST, bytes))
            .collect();
        collected_actions.push(membership.wake(process_time));
        collected_actions.into_iter().for_each(|actions| self.carry_out(node, actions));
    }

    /// Schedules an event at a virtual time.
    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, self.next_event_number)));
        self.events.insert(self.next_event_number, event);
        self.next_event_number += 1;
    }

    /// Sends a process's datagrams, records the changes it learnt of and schedules its next wake.
    fn carry_out(&mut self, node: usize, actions: Actions) {
        for datagram in actions.send {
            self.nodes[node].datagrams_sent += 1;
            self.nodes[node].bytes_sent += datagram.bytes.len() as u64;
            let target = node_at(datagram.to);
            let is_lost = self.rng.random::<f64>() < self.loss || !(self.can_reach)(node, target);
            if !is_lost && target < self.nodes.len() {
                let at = self.now + self.rng.random_range(200..3_000);
                self.schedule(at, Event::Arrival { to: datagram.to, from: node, bytes: datagram.bytes });
            }
        }
        let now = self.now;
        let learnt = actions.changes.into_iter().map(|change| LearntChange { at: now, change });
        self.nodes[node].changes.extend(learnt);
        if let Some(at) = actions.wake_at {
            let at = (at + self.nodes[node].total_stall_time).max(now);
            if self.nodes[node].wake_at != Some(at) {
                self.nodes[node].wake_at = Some(at);
                let instance_number = self.nodes[node].instance_number;
                self.schedule(at, Event::Wake { node, instance_number });
            }
        }
    }

    /// Runs the simulation for a span of virtual time.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(&Reverse((at, event_number))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match self.events.remove(&event_number) {
                Some(Event::Wake { node, instance_number }) => self.wake(at, node, instance_number),
                Some(Event::Arrival { to, from, bytes }) => self.deliver(node_at(to), from, bytes),
                None => {}
            }
        }
        self.now = end;
    }

    /// Wakes a process, unless it has ended, is stalled or was rescheduled to another time.
    fn wake(&mut self, at: Micros, node: usize, instance_number: u64) {
        let state = &mut self.nodes[node];
        if state.instance_number != instance_number
            || state.stalled_since.is_some()
            || state.wake_at != Some(at)
        {
            return;
        }
        state.wake_at = None;
        let Some(membership) = state.membership.as_mut() else { return };
        let actions = membership.wake(self.now - state.total_stall_time);
        self.carry_out(node, actions);
    }

    /// Delivers a datagram to the process of a node, or buffers it if the process is stalled.
    fn deliver(&mut self, node: usize, from: usize, bytes: Vec<u8>) {
        if !(self.can_reach)(from, node) {
            return;
        }
        let state = &mut self.nodes[node];
        if state.stalled_since.is_some() {
            if state.buffered_datagrams.len() < SOCKET_BUFFER_DATAGRAMS {
                state.buffered_datagrams.push(bytes);
            }
            return;
        }
        let Some(membership) = state.membership.as_mut() else { return };
        let actions = membership.receive(self.now - state.total_stall_time, LOCALHOST, &bytes);
        self.carry_out(node, actions);
    }

    /// Returns the number of proxies that a node's process knows to be alive, itself included; 0 if no
    /// process runs.
    pub fn alive_count(&self, node: usize) -> usize {
        let is_running = self.nodes[node].membership.is_some();
        if is_running { self.snapshot(node).alive } else { 0 }
    }

    /// Returns what a node's process concludes about its fleet. Panics if no process runs.
    pub fn snapshot(&self, node: usize) -> Snapshot {
        let state = &self.nodes[node];
        state
            .membership
            .as_ref()
            .expect("a process runs on the node")
            .snapshot(self.now - state.total_stall_time)
    }

    /// Runs until all of the given nodes know `expected_count` proxies to be alive. Returns the virtual time that
    /// this took, or `None` if `timeout` has passed before.
    pub fn run_until_all_see(
        &mut self,
        nodes: &[usize],
        expected_count: usize,
        timeout: Micros,
    ) -> Option<Micros> {
        let started_at = self.now;
        while self.now - started_at < timeout {
            if nodes.iter().all(|&node| self.alive_count(node) == expected_count) {
                return Some(self.now - started_at);
            }
            self.run_for(50 * MILLISECOND);
        }
        None
    }

    /// Counts how often since the time `since` a proxy learnt of the death of a proxy whose name satisfies
    /// `is_alive`. A false death counts once for each proxy that learnt of it.
    pub fn false_death_reports(&self, since: Micros, is_alive: impl Fn(&str) -> bool) -> usize {
        let learnt = self.nodes.iter().flat_map(|node| &node.changes).filter(|learnt| learnt.at >= since);
        learnt.filter(|learnt| matches!(&learnt.change, Change::Down(peer) if is_alive(&peer.name))).count()
    }
}
