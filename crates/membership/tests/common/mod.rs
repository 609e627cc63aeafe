//! Many proxies in virtual time, and a network between them that delays, loses and partitions.

#![allow(dead_code, reason = "tests and the measurement use different parts")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use aldermill_membership::{
    Actions, Change, Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress, Snapshot,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Datagrams that wait for a stalled process; more are lost, as by a socket's buffer.
const SOCKET_BUFFER: usize = 500;
/// Proxies that each proxy's configuration names as seeds.
const SEEDS: usize = 5;
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const FIRST_PORT: u16 = 10_000;
const WALL_CLOCK_AT_START: Micros = 1_800_000_000 * SECOND;

/// A change that a proxy learnt of.
pub struct LearntChange {
    pub at: Micros,
    pub change: Change,
}

pub struct Node {
    /// `None` while the process does not run.
    pub membership: Option<Membership>,
    pub starts: u64,
    /// How long this start was stalled so far.
    stalled_for: Micros,
    /// Since when it is stalled now.
    stalled_since: Option<Micros>,
    inbox: Vec<Vec<u8>>,
    /// The only wake that counts.
    wake_at: Option<Micros>,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub changes: Vec<LearntChange>,
}

impl Node {
    fn new() -> Node {
        Node {
            membership: None,
            starts: 0,
            stalled_for: 0,
            stalled_since: None,
            inbox: Vec::new(),
            wake_at: None,
            datagrams_sent: 0,
            bytes_sent: 0,
            changes: Vec::new(),
        }
    }
}

enum Event {
    Wake { node: usize, start: u64 },
    Arrival { to: SocketAddr, from: usize, bytes: Vec<u8> },
}

pub struct Simulation {
    pub now: Micros,
    pub nodes: Vec<Node>,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Whether the network carries anything from one node to another.
    pub connects: Box<dyn Fn(usize, usize) -> bool>,
    pub periods: ProtocolPeriods,
    /// By how much the wall clock is off that numbers starts.
    pub wall_clock_step: Micros,
    fleets: Vec<String>,
    /// By time and number.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    pub rng: Pcg64Mcg,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::new(LOCALHOST, FIRST_PORT + node as u16)
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port()).wrapping_sub(usize::from(FIRST_PORT))
}

impl Simulation {
    /// So many proxies, none of them started.
    pub fn new(count: usize, seed: u64) -> Simulation {
        Simulation {
            now: 0,
            nodes: (0..count).map(|_| Node::new()).collect(),
            loss: 0.0,
            connects: Box::new(|_, _| true),
            periods: ProtocolPeriods::for_fleet_size(count),
            wall_clock_step: 0,
            fleets: vec!["f".to_owned(); count],
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub fn set_fleet(&mut self, node: usize, fleet: &str) {
        self.fleets[node] = fleet.to_owned();
    }

    /// Starts a proxy whose seeds are the first few.
    pub fn start(&mut self, node: usize) {
        let seed = |node| SeedAddress { name: None, address: address(node) };
        let seeds = (0..self.nodes.len().min(SEEDS)).map(seed).collect();
        self.start_as(node, &format!("n{node}"), seeds);
    }

    pub fn start_as(&mut self, node: usize, name: &str, seeds: Vec<SeedAddress>) {
        let fleet_size = self.nodes.len();
        let local = LocalPeer {
            fleet: self.fleets[node].clone(),
            name: name.to_owned(),
            address: address(node),
            start: (WALL_CLOCK_AT_START + self.now + self.wall_clock_step) as u64 + node as u64,
        };
        let networks = vec!["127.0.0.0/8".parse().unwrap()];
        let config = Config { local, seeds, networks, periods: self.periods, fleet_size };
        let seed = self.rng.random();
        let state = &mut self.nodes[node];
        state.stalled_for = 0;
        state.stalled_since = None;
        state.starts += 1;
        state.wake_at = None;
        state.inbox.clear();
        let (membership, actions) = Membership::start(self.now, config, seed);
        state.membership = Some(membership);
        self.carry_out(node, actions);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].membership = None;
    }

    pub fn leave(&mut self, node: usize) {
        if let Some(mut membership) = self.nodes[node].membership.take() {
            let actions = membership.leave();
            self.carry_out(node, actions);
        }
    }

    pub fn stall(&mut self, node: usize) {
        self.nodes[node].stalled_since.get_or_insert(self.now);
    }

    /// A stalled process goes on: it reads what waits, and wakes.
    pub fn resume(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(since) = state.stalled_since.take() else { return };
        state.stalled_for += self.now - since;
        let unstalled = self.now - state.stalled_for;
        let inbox = std::mem::take(&mut state.inbox);
        let Some(membership) = state.membership.as_mut() else { return };
        membership.resume_after_stall(unstalled);
        let mut all: Vec<Actions> =
            inbox.iter().map(|bytes| membership.receive(unstalled, LOCALHOST, bytes)).collect();
        all.push(membership.wake(unstalled));
        all.into_iter().for_each(|actions| self.carry_out(node, actions));
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn carry_out(&mut self, node: usize, actions: Actions) {
        for datagram in actions.send {
            self.nodes[node].datagrams_sent += 1;
            self.nodes[node].bytes_sent += datagram.bytes.len() as u64;
            let target = node_at(datagram.to);
            let is_lost = self.rng.random::<f64>() < self.loss || !(self.connects)(node, target);
            if !is_lost && target < self.nodes.len() {
                let at = self.now + self.rng.random_range(200..3_000);
                self.schedule(at, Event::Arrival { to: datagram.to, from: node, bytes: datagram.bytes });
            }
        }
        let now = self.now;
        let learnt = actions.changes.into_iter().map(|change| LearntChange { at: now, change });
        self.nodes[node].changes.extend(learnt);
        if let Some(at) = actions.wake_at {
            let at = (at + self.nodes[node].stalled_for).max(now);
            if self.nodes[node].wake_at != Some(at) {
                self.nodes[node].wake_at = Some(at);
                let start = self.nodes[node].starts;
                self.schedule(at, Event::Wake { node, start });
            }
        }
    }

    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(&Reverse((at, number))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match self.events.remove(&number) {
                Some(Event::Wake { node, start }) => self.wake(at, node, start),
                Some(Event::Arrival { to, from, bytes }) => self.deliver(node_at(to), from, bytes),
                None => {}
            }
        }
        self.now = end;
    }

    fn wake(&mut self, at: Micros, node: usize, start: u64) {
        let state = &mut self.nodes[node];
        if state.starts != start || state.stalled_since.is_some() || state.wake_at != Some(at) {
            return;
        }
        state.wake_at = None;
        let Some(membership) = state.membership.as_mut() else { return };
        let actions = membership.wake(self.now - state.stalled_for);
        self.carry_out(node, actions);
    }

    fn deliver(&mut self, node: usize, from: usize, bytes: Vec<u8>) {
        if !(self.connects)(from, node) {
            return;
        }
        let state = &mut self.nodes[node];
        if state.stalled_since.is_some() {
            if state.inbox.len() < SOCKET_BUFFER {
                state.inbox.push(bytes);
            }
            return;
        }
        let Some(membership) = state.membership.as_mut() else { return };
        let actions = membership.receive(self.now - state.stalled_for, LOCALHOST, &bytes);
        self.carry_out(node, actions);
    }

    pub fn alive(&self, node: usize) -> usize {
        let is_running = self.nodes[node].membership.is_some();
        if is_running { self.snapshot(node).alive } else { 0 }
    }

    /// What a running proxy concludes.
    pub fn snapshot(&self, node: usize) -> Snapshot {
        let state = &self.nodes[node];
        state.membership.as_ref().expect("it runs").snapshot(self.now - state.stalled_for)
    }

    /// Runs until all of these see so many alive; how long it took, or `None` after `timeout`.
    pub fn run_until_all_see(&mut self, nodes: &[usize], count: usize, timeout: Micros) -> Option<Micros> {
        let begin = self.now;
        while self.now - begin < timeout {
            if nodes.iter().all(|&node| self.alive(node) == count) {
                return Some(self.now - begin);
            }
            self.run_for(50 * MILLISECOND);
        }
        None
    }

    /// How often any proxy learnt since then of a death that `is_alive` contradicts.
    pub fn false_deaths(&self, since: Micros, is_alive: impl Fn(&str) -> bool) -> usize {
        let learnt = self.nodes.iter().flat_map(|node| &node.changes).filter(|learnt| learnt.at >= since);
        learnt.filter(|learnt| matches!(&learnt.change, Change::Down(peer) if is_alive(&peer.name))).count()
    }
}
