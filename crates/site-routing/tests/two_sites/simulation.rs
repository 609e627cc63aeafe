//! Simulation of two gateways, one at each of two sites, and of the link between them, which delays frames,
//! breaks and is restored.

use std::collections::HashMap;

use aldermill_site_routing::{Micros, Request};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway::{
    ClientRequest, Frame, GROUP, MS, PEER_GATEWAY, REMOTE_SITE, SimulatedGateway, TIMEOUT, new_gateway,
    origin,
};

/// The state of both gateways, the link between them, and all requests of clients.
pub struct Simulation {
    /// The time since the start, in microseconds.
    pub now: Micros,
    /// The source of all random choices.
    pub rng: Pcg64Mcg,
    /// The gateways of sites a and b, at index 0 and 1.
    pub gateways: [SimulatedGateway; 2],
    /// The index of the gateway whose site has the group's primary.
    pub primary_site: usize,
    /// Whether the link is up.
    pub is_linked: bool,
    /// The minimum delay of a frame, in microseconds; the maximum is twice as long.
    pub delay: Micros,
    /// Frames in flight: when each arrives, and the gateway that it arrives at.
    pub network: Vec<(Micros, usize, Frame)>,
    /// All requests of clients, in the order of submission.
    pub requests: Vec<ClientRequest>,
    /// The index in `requests` of each forwarded request. The key is twice its number, plus the index of the
    /// gateway that forwarded it.
    pub forwarded_requests: HashMap<usize, u32>,
}

impl Simulation {
    /// Creates two gateways with a link between them.
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

    /// Sets up the link: each gateway registers the other one's incarnation and learns its capacity.
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

    /// Breaks the link. Each frame in flight is either lost or arrives within 400 ms all the same.
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

    /// Restarts a gateway's process, which loses all of its state.
    pub fn restart(&mut self, gateway: usize) {
        if self.is_linked {
            self.lose_link();
        }
        let incarnation = self.gateways[gateway].incarnation + 1;
        for (_, request) in std::mem::take(&mut self.gateways[gateway].client_requests) {
            // Clients of the process lose their connection, and get no answer.
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

    /// Sends a frame to the other gateway. It is lost if the link is down. With a probability of 2% a copy
    /// follows 50 ms later.
    pub fn send(&mut self, from: usize, frame: Frame) {
        if self.is_linked {
            let arrives_at = self.now + self.delay + self.rng.random_range(0..self.delay + 1);
            self.network.push((arrives_at, 1 - from, frame.clone()));
            if self.rng.random_bool(0.02) {
                self.network.push((arrives_at + 50 * MS, 1 - from, frame));
            }
        }
    }

    /// A client submits a request of a class at a gateway.
    pub fn submit_request(&mut self, gateway: usize, class: usize) {
        let request = self.requests.len();
        self.requests.push(ClientRequest {
            class,
            deadline: self.now + TIMEOUT,
            answer: None,
            abandoned: false,
            runs: 0,
        });
        let (handle, actions) = self.gateways[gateway]
            .router
            .accept(self.now, Request { class, group: GROUP, timeout: TIMEOUT, ..Request::default() });
        self.gateways[gateway].client_requests.insert(handle, request);
        self.execute(gateway, actions);
    }

    /// Advances the time by `time` microseconds, in steps of at most 5 ms. In each step it delivers frames,
    /// ends attempts at the local routers, wakes the site routers, and checks that no request is past its
    /// deadline without an answer.
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
                    "no answer by the deadline: {request:?}"
                );
            }
        }
    }

    /// Takes one step. `kind` selects an event, and `parameter` its details; a kind whose precondition does
    /// not hold, or that has no event, lets time pass.
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
                    // As in the proxy, an attempt that the local router has begun goes on.
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
