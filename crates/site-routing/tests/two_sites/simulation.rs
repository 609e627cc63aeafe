//! Two gateways, and a link between them that delays, breaks and comes back.

use std::collections::HashMap;

use aldermill_site_routing::{Micros, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway::{
    ClientRequest, Frame, GROUP, MS, PEER_GATEWAY, REMOTE_SITE, SimulatedGateway, TIMEOUT, new_gateway,
    origin,
};

pub struct Simulation {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub gateways: [SimulatedGateway; 2],
    pub primary_site: usize,
    pub is_linked: bool,
    pub delay: Micros,
    /// In flight: when it arrives, to whom.
    pub network: Vec<(Micros, usize, Frame)>,
    pub requests: Vec<ClientRequest>,
    pub forwarded_requests: HashMap<usize, u32>,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            gateways: [new_gateway(seed, 0, 1), new_gateway(seed + 1, 0, 1)],
            primary_site: 0,
            is_linked: false,
            delay: 10 * MS,
            network: Vec::new(),
            requests: Vec::new(),
            forwarded_requests: HashMap::new(),
        };
        simulation.connect();
        simulation
    }

    pub fn connect(&mut self) {
        self.is_linked = true;
        for gateway in 0..2 {
            let incarnation = self.gateways[1 - gateway].incarnation;
            self.gateways[gateway].outcomes.register_incarnation(&origin(1 - gateway, incarnation), false);
            let offer = self.gateways[1 - gateway].router.offered_capacity(PEER_GATEWAY);
            let actions =
                self.gateways[gateway].router.links_changed(self.now, PEER_GATEWAY, REMOTE_SITE, 1, true);
            self.execute(gateway, actions);
            let actions = self.gateways[gateway].router.capacity_announced(
                self.now,
                PEER_GATEWAY,
                offer.credits,
                &offer.groups,
                false,
            );
            self.execute(gateway, actions);
        }
    }

    /// The link breaks; what is in flight is lost, or comes late all the same.
    pub fn lose_link(&mut self) {
        self.is_linked = false;
        for gateway in 0..2 {
            let actions =
                self.gateways[gateway].router.links_changed(self.now, PEER_GATEWAY, REMOTE_SITE, 0, true);
            self.execute(gateway, actions);
            let sent = std::mem::take(&mut self.gateways[gateway].sent_numbers);
            let actions = self.gateways[gateway].router.link_lost(self.now, PEER_GATEWAY, &sent);
            self.execute(gateway, actions);
        }
        let (rng, now) = (&mut self.rng, self.now);
        self.network.retain(|_| rng.random_bool(0.5));
        self.network.iter_mut().for_each(|delivery| delivery.0 = now + rng.random_range(0..400 * MS));
    }

    /// The process at a side dies and starts again: all that it held is gone.
    pub fn restart(&mut self, gateway: usize) {
        if self.is_linked {
            self.lose_link();
        }
        let incarnation = self.gateways[gateway].incarnation + 1;
        for (_, request) in std::mem::take(&mut self.gateways[gateway].client_requests) {
            // Its clients went with it.
            self.requests[request].abandoned = true;
        }
        self.gateways[gateway] = new_gateway(incarnation * 77 + gateway as u64, self.now, incarnation);
        let actions =
            self.gateways[1 - gateway].router.links_changed(self.now, PEER_GATEWAY, REMOTE_SITE, 0, false);
        self.execute(1 - gateway, actions);
        self.gateways[1 - gateway].outcomes.register_incarnation(&origin(gateway, incarnation), false);
        self.gateways[gateway]
            .outcomes
            .register_incarnation(&origin(1 - gateway, self.gateways[1 - gateway].incarnation), false);
    }

    pub fn send(&mut self, from: usize, frame: Frame) {
        if self.is_linked {
            let arrives_at = self.now + self.delay + self.rng.random_range(0..self.delay + 1);
            self.network.push((arrives_at, 1 - from, frame.clone()));
            if self.rng.random_bool(0.02) {
                self.network.push((arrives_at + 50 * MS, 1 - from, frame));
            }
        }
    }

    pub fn submit_request(&mut self, gateway: usize, class: usize) {
        let request = self.requests.len();
        self.requests.push(ClientRequest {
            class,
            deadline: self.now + TIMEOUT,
            answer: None,
            abandoned: false,
            runs: 0,
        });
        let (handle, actions) = self.gateways[gateway].router.accept(
            self.now,
            Request { class, group: GROUP, timeout: TIMEOUT, visited: Vec::new(), session: None },
        );
        self.gateways[gateway].client_requests.insert(handle, request);
        self.execute(gateway, actions);
    }

    pub fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            let now = self.now;
            while let Some(position) = self.network.iter().position(|delivery| delivery.0 <= now) {
                let (_, to, frame) = self.network.remove(position);
                self.receive(to, frame);
            }
            for gateway in 0..2 {
                let due = self.gateways[gateway].at_local_router.iter().filter(|(_, (due, _))| *due <= now);
                for (handle, deadline) in
                    due.map(|(&handle, &(_, deadline))| (handle, deadline)).collect::<Vec<_>>()
                {
                    self.gateways[gateway].at_local_router.remove(&handle);
                    self.finish_local(gateway, handle, deadline);
                }
                self.gateways[gateway].outcomes.expire(now);
                let actions = self.gateways[gateway].router.wake(now);
                self.execute(gateway, actions);
            }
            for request in &self.requests {
                assert!(
                    request.answer.is_some() || request.abandoned || now < request.deadline,
                    "no answer in time: {request:?}"
                );
            }
        }
    }

    pub fn step(&mut self, kind: u8, parameter: u64) {
        match kind {
            0..=5 => self.submit_request((parameter % 2) as usize, (parameter / 2 % 4) as usize),
            6 if self.is_linked => self.lose_link(),
            7 | 8 if !self.is_linked => self.connect(),
            9 => self.primary_site = (parameter % 2) as usize,
            10 if parameter.is_multiple_of(5) => self.restart((parameter / 5 % 2) as usize),
            11 => self.delay = [1, 10, 40, 150][(parameter % 4) as usize] * MS,
            12 if !self.requests.is_empty() => {
                let request = parameter as usize % self.requests.len();
                for gateway in 0..2 {
                    let handle_at_gateway = self.gateways[gateway]
                        .client_requests
                        .iter()
                        .find(|(_, client_request)| **client_request == request)
                        .map(|(&handle, _)| handle);
                    // What the module here has begun is left to it, as by the driver.
                    if let Some(handle) = handle_at_gateway
                        .filter(|handle| !self.gateways[gateway].at_local_router.contains_key(handle))
                    {
                        self.requests[request].abandoned = true;
                        self.gateways[gateway].client_requests.remove(&handle);
                        let actions = self.gateways[gateway].router.abandon(self.now, handle);
                        self.execute(gateway, actions);
                    }
                }
            }
            _ => self.advance((1 + parameter as Micros % 300) * MS),
        }
    }
}
