//! Many drivers in virtual time, and a network between them that delays, loses and cuts.

#![allow(dead_code, reason = "tests and the measurement use different parts")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, SocketAddr};

use aldermill_membership::{Actions, Change, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// What waits for a process that stands still; more is lost, as by a socket's buffer.
const WAITING: usize = 500;
const HOME: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

pub struct Node {
    pub fellows: Option<Membership>,
    pub starts: u64,
    /// Time spent standing, and since when it stands.
    away: Micros,
    stands: Option<Micros>,
    inbox: Vec<Vec<u8>>,
    /// The only wake that counts.
    wakes: Option<Micros>,
    pub sent: u64,
    pub bytes: u64,
    /// When it learnt of what became of whom.
    pub heard: Vec<(Micros, Change)>,
}

enum Event {
    Wake(usize, u64),
    Comes { to: SocketAddr, from: usize, bytes: Vec<u8> },
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Whether anything goes from one to another.
    pub lets: Box<dyn Fn(usize, usize) -> bool>,
    pub tempo: ProtocolPeriods,
    fleet: Vec<String>,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: std::collections::HashMap<u64, Event>,
    next: u64,
    pub rng: Pcg64Mcg,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::new(HOME, 10_000 + node as u16)
}

impl World {
    /// So many drivers, none of them started.
    pub fn new(count: usize, seed: u64) -> World {
        let node = |_| Node {
            fellows: None,
            starts: 0,
            away: 0,
            stands: None,
            inbox: Vec::new(),
            wakes: None,
            sent: 0,
            bytes: 0,
            heard: Vec::new(),
        };
        World {
            now: 0,
            nodes: (0..count).map(node).collect(),
            loss: 0.0,
            lets: Box::new(|_, _| true),
            tempo: ProtocolPeriods::for_fleet_of(count),
            fleet: vec!["f".to_owned(); count],
            events: BinaryHeap::new(),
            what: std::collections::HashMap::new(),
            next: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub fn of_fleet(&mut self, node: usize, fleet: &str) {
        self.fleet[node] = fleet.to_owned();
    }

    /// Starts a driver, which knows where the first few are.
    pub fn start(&mut self, node: usize) {
        let few =
            (0..self.nodes.len().min(5)).map(|at| SeedAddress { name: None, address: address(at) }).collect();
        self.start_as(node, &format!("n{node}"), few);
    }

    pub fn start_as(&mut self, node: usize, name: &str, peers: Vec<SeedAddress>) {
        let start = 1 + self.now as u64 * 1000 + node as u64;
        let own = LocalPeer {
            fleet: self.fleet[node].clone(),
            name: name.to_owned(),
            address: address(node),
            start,
        };
        let networks = vec!["127.0.0.0/8".parse().unwrap()];
        let (seed, count) = (self.rng.random(), self.nodes.len());
        let state = &mut self.nodes[node];
        (state.away, state.stands, state.starts, state.wakes) = (0, None, state.starts + 1, None);
        state.inbox.clear();
        let (fellows, actions) = Membership::start(self.now, own, peers, networks, self.tempo, count, seed);
        state.fellows = Some(fellows);
        self.carry_out(node, actions);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].fellows = None;
    }

    pub fn leave(&mut self, node: usize) {
        if let Some(mut fellows) = self.nodes[node].fellows.take() {
            let actions = fellows.leave();
            self.carry_out(node, actions);
        }
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stands.get_or_insert(self.now);
    }

    pub fn go_on(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(since) = state.stands.take() else { return };
        state.away += self.now - since;
        let (lived, inbox) = (self.now - state.away, std::mem::take(&mut state.inbox));
        let Some(fellows) = state.fellows.as_mut() else { return };
        fellows.resume_after_stall(lived);
        let mut todos: Vec<Actions> = inbox.iter().map(|bytes| fellows.receive(lived, HOME, bytes)).collect();
        todos.push(fellows.wake(lived));
        todos.into_iter().for_each(|actions| self.carry_out(node, actions));
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.what.insert(self.next, event);
        self.next += 1;
    }

    fn carry_out(&mut self, node: usize, actions: Actions) {
        for (to, bytes) in actions.send {
            (self.nodes[node].sent, self.nodes[node].bytes) =
                (self.nodes[node].sent + 1, self.nodes[node].bytes + bytes.len() as u64);
            let target = usize::from(to.port()).wrapping_sub(10_000);
            let lost = self.rng.random::<f64>() < self.loss || !(self.lets)(node, target);
            if !lost && target < self.nodes.len() {
                let at = self.now + self.rng.random_range(200..3_000);
                self.at(at, Event::Comes { to, from: node, bytes });
            }
        }
        let now = self.now;
        self.nodes[node].heard.extend(actions.changes.into_iter().map(|change| (now, change)));
        if let Some(at) = actions.wake_at {
            let at = (at + self.nodes[node].away).max(now);
            if self.nodes[node].wakes != Some(at) {
                self.nodes[node].wakes = Some(at);
                let starts = self.nodes[node].starts;
                self.at(at, Event::Wake(node, starts));
            }
        }
    }

    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(&Reverse((at, id))) = self.events.peek() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at);
            let now = self.now;
            let (node, actions) = match self.what.remove(&id) {
                Some(Event::Wake(node, starts)) => {
                    let state = &mut self.nodes[node];
                    if state.starts != starts || state.stands.is_some() || state.wakes != Some(at) {
                        continue;
                    }
                    state.wakes = None;
                    let Some(fellows) = state.fellows.as_mut() else { continue };
                    (node, fellows.wake(now - state.away))
                }
                Some(Event::Comes { to, from, bytes }) => {
                    let node = usize::from(to.port()) - 10_000;
                    if !(self.lets)(from, node) {
                        continue;
                    }
                    let state = &mut self.nodes[node];
                    if state.stands.is_some() {
                        if state.inbox.len() < WAITING {
                            state.inbox.push(bytes);
                        }
                        continue;
                    }
                    let Some(fellows) = state.fellows.as_mut() else { continue };
                    (node, fellows.receive(now - state.away, HOME, &bytes))
                }
                None => continue,
            };
            self.carry_out(node, actions);
        }
        self.now = end;
    }

    pub fn alive(&self, node: usize) -> usize {
        let state = &self.nodes[node];
        state.fellows.as_ref().map_or(0, |fellows| fellows.view(self.now - state.away).alive)
    }

    pub fn view(&self, node: usize) -> aldermill_membership::Snapshot {
        let state = &self.nodes[node];
        state.fellows.as_ref().expect("it runs").view(self.now - state.away)
    }

    /// Until all of them see so many, or the time is over; how long it took.
    pub fn until_all_see(&mut self, nodes: &[usize], count: usize, most: Micros) -> Option<Micros> {
        let begin = self.now;
        while self.now - begin < most {
            if nodes.iter().all(|&node| self.alive(node) == count) {
                return Some(self.now - begin);
            }
            self.pass(50 * MS);
        }
        None
    }

    /// How often a driver was told dead since then, by anybody, that was not.
    pub fn wrongly(&self, since: Micros, lives: impl Fn(&str) -> bool) -> usize {
        let heard = self.nodes.iter().flat_map(|node| &node.heard);
        heard
            .filter(|(at, change)| matches!(change, Change::Down(of) if *at >= since && lives(&of.name)))
            .count()
    }
}
