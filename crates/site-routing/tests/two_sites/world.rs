//! Two gateways, and a link between them that delays, breaks and comes back.

use std::collections::HashMap;

use aldermill_site_routing::{Micros, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::side::{ClientRequest, FAR_SITE, Frame, GATEWAY, GROUP, MS, Side, TIMEOUT, origin, side};

pub struct World {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub sides: [Side; 2],
    pub primary: usize,
    pub linked: bool,
    pub delay: Micros,
    /// In flight: when it arrives, to whom.
    pub network: Vec<(Micros, usize, Frame)>,
    pub requests: Vec<ClientRequest>,
    pub forwarded: HashMap<usize, u32>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            sides: [side(seed, 0, 1), side(seed + 1, 0, 1)],
            primary: 0,
            linked: false,
            delay: 10 * MS,
            network: Vec::new(),
            requests: Vec::new(),
            forwarded: HashMap::new(),
        };
        world.connect();
        world
    }

    pub fn connect(&mut self) {
        self.linked = true;
        for at in 0..2 {
            let incarnation = self.sides[1 - at].incarnation;
            self.sides[at].outcomes.register_incarnation(&origin(1 - at, incarnation), false);
            let offer = self.sides[1 - at].router.offered_capacity(GATEWAY);
            let actions = self.sides[at].router.links_changed(self.now, GATEWAY, FAR_SITE, 1, true);
            self.carry_out(at, actions);
            let actions = self.sides[at].router.capacity_announced(
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
    pub fn lose_link(&mut self) {
        self.linked = false;
        for at in 0..2 {
            let actions = self.sides[at].router.links_changed(self.now, GATEWAY, FAR_SITE, 0, true);
            self.carry_out(at, actions);
            let sent = std::mem::take(&mut self.sides[at].sent);
            let actions = self.sides[at].router.link_lost(self.now, GATEWAY, &sent);
            self.carry_out(at, actions);
        }
        let (rng, now) = (&mut self.rng, self.now);
        self.network.retain(|_| rng.random_bool(0.5));
        self.network.iter_mut().for_each(|flight| flight.0 = now + rng.random_range(0..400 * MS));
    }

    /// The process at a side dies and starts again: all that it held is gone.
    pub fn restart(&mut self, at: usize) {
        if self.linked {
            self.lose_link();
        }
        let incarnation = self.sides[at].incarnation + 1;
        for (_, request) in std::mem::take(&mut self.sides[at].own) {
            // Its clients went with it.
            self.requests[request].left = true;
        }
        self.sides[at] = side(incarnation * 77 + at as u64, self.now, incarnation);
        let actions = self.sides[1 - at].router.links_changed(self.now, GATEWAY, FAR_SITE, 0, false);
        self.carry_out(1 - at, actions);
        self.sides[1 - at].outcomes.register_incarnation(&origin(at, incarnation), false);
        self.sides[at].outcomes.register_incarnation(&origin(1 - at, self.sides[1 - at].incarnation), false);
    }

    pub fn send(&mut self, from: usize, frame: Frame) {
        if self.linked {
            let at = self.now + self.delay + self.rng.random_range(0..self.delay + 1);
            self.network.push((at, 1 - from, frame.clone()));
            if self.rng.random_bool(0.02) {
                self.network.push((at + 50 * MS, 1 - from, frame));
            }
        }
    }

    pub fn take(&mut self, at: usize, class: usize) {
        let request = self.requests.len();
        self.requests.push(ClientRequest {
            class,
            deadline: self.now + TIMEOUT,
            answered: None,
            left: false,
            runs: 0,
        });
        let (handle, actions) = self.sides[at].router.accept(
            self.now,
            Request { class, group: GROUP, timeout: TIMEOUT, visited: Vec::new(), session: None },
        );
        self.sides[at].own.insert(handle, request);
        self.carry_out(at, actions);
    }

    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let now = self.now;
            while let Some(at) = self.network.iter().position(|flight| flight.0 <= now) {
                let (_, to, frame) = self.network.remove(at);
                self.arrive(to, frame);
            }
            for at in 0..2 {
                let due = self.sides[at].local.iter().filter(|(_, (due, _))| *due <= now);
                for (handle, deadline) in
                    due.map(|(&handle, &(_, deadline))| (handle, deadline)).collect::<Vec<_>>()
                {
                    self.sides[at].local.remove(&handle);
                    self.local_done(at, handle, deadline);
                }
                self.sides[at].outcomes.expire(now);
                let actions = self.sides[at].router.wake(now);
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
            6 if self.linked => self.lose_link(),
            7 | 8 if !self.linked => self.connect(),
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
                    if let Some(handle) = held.filter(|handle| !self.sides[at].local.contains_key(handle)) {
                        self.requests[request].left = true;
                        self.sides[at].own.remove(&handle);
                        let actions = self.sides[at].router.abandon(self.now, handle);
                        self.carry_out(at, actions);
                    }
                }
            }
            _ => self.pass((1 + a as Micros % 300) * MS),
        }
    }
}
