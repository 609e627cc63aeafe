//! Seeded random runs that check the invariants of flow control after every step against a separate model.

mod common;

use std::collections::HashMap;

use aldermill_flow_control::{
    Actions, Disconnect, DisconnectReason, FlowController, Micros, PeerId, ReservationId, ReservationOwner,
    ReservationRequest, Transfer,
};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use common::{KIB, SECOND, TO_CLIENT, address, limits, request, with_highest_priority};

/// The controller under test and a model of what it should have granted and disconnected.
struct Simulation {
    controller: FlowController,
    now: Micros,
    peers: HashMap<PeerId, PeerModel>,
    /// Peers whose connections are not closed yet, in order of registration.
    registered: Vec<PeerId>,
    /// Granted reservations: the peer, the bytes, and whether the priority is the highest.
    granted: HashMap<ReservationId, (PeerId, u64, bool)>,
    /// Reservations that are neither granted nor rejected yet.
    waiting: HashMap<ReservationId, ReservationRequest>,
}

/// What the model knows of one peer.
#[derive(Default)]
struct PeerModel {
    /// Since when the peer is being measured; `None` if it never was.
    metering_since: Option<Micros>,
    /// Time for which the peer was measured before `metering_since`.
    metered_before: Micros,
    /// The measured time at each transfer, and the bytes transferred.
    transfers: Vec<(Micros, u64)>,
    disconnected: bool,
}

impl PeerModel {
    fn metered_time(&self, now: Micros) -> Micros {
        self.metered_before + self.metering_since.map_or(0, |since| now - since)
    }

    /// Whether in some interval up to `now` the peer transferred less than the minimum rate requires after the
    /// allowance. Only time in which the peer was measured counts.
    fn was_slow(&self, now: Micros, rate: u64, allowance: Micros) -> bool {
        let end = self.metered_time(now);
        let starts = self.transfers.iter().map(|&(at, _)| at).chain([0]);
        starts.into_iter().any(|start| {
            let bytes: u64 =
                self.transfers.iter().filter(|&&(at, _)| at > start).map(|&(_, bytes)| bytes).sum();
            let needed = (end - start - allowance).max(0) as f64 * rate as f64 / SECOND as f64;
            (bytes as f64) < needed + 1.0
        })
    }
}

impl Simulation {
    fn apply(&mut self, actions: Actions) {
        for reservation in actions.granted {
            let request =
                self.waiting.remove(&reservation).expect("a granted reservation must have been waiting");
            let ReservationOwner { peer, priority } = request.owner;
            self.granted.insert(reservation, (peer, request.bytes, priority.is_highest()));
        }
        for reservation in actions.rejected {
            self.waiting.remove(&reservation).expect("a rejected reservation must have been waiting");
        }
        for Disconnect { peer, reason } in actions.disconnect {
            let now = self.now;
            let model = self.peers.get_mut(&peer).expect("a disconnected peer must be registered");
            assert!(!std::mem::replace(&mut model.disconnected, true), "a peer was disconnected twice");
            assert_ne!(reason, DisconnectReason::Shutdown);
            assert!(
                model.was_slow(now, TO_CLIENT.bytes_per_second, TO_CLIENT.start_allowance),
                "a peer that kept its minimum rate was disconnected: {reason:?}"
            );
        }
        let total_granted: u64 = self.granted.values().map(|&(_, bytes, _)| bytes).sum();
        assert!(
            total_granted <= self.controller.used()
                && self.controller.used() <= self.controller.limits().budget
        );
        let total_normal: u64 = self
            .granted
            .values()
            .filter(|&&(_, _, is_highest)| !is_highest)
            .map(|&(_, bytes, _)| bytes)
            .sum();
        assert!(total_normal <= self.controller.limits().budget - self.controller.limits().priority_reserve);
        // A connected peer that holds nothing must not wait while the budget has space for its request.
        let held = |peer: PeerId| {
            self.granted
                .values()
                .filter(|reservation| reservation.0 == peer)
                .map(|reservation| reservation.1)
                .sum()
        };
        for request in self.waiting.values() {
            let peer = request.owner.peer;
            let held: u64 = held(peer);
            let available_to_normal =
                self.controller.limits().budget - self.controller.limits().priority_reserve;
            assert!(
                held > 0
                    || self.peers[&peer].disconnected
                    || self.controller.used() + request.bytes > available_to_normal,
                "{request:?} waits although space is available"
            );
        }
    }

    #[allow(clippy::too_many_lines, reason = "one match arm per kind of step")]
    fn step(&mut self, kind: u8, choice: usize, value: u64) {
        let peer = self.registered.get(choice % self.registered.len().max(1)).copied();
        let reservation = self.granted.keys().min_by_key(|reservation| {
            // Picks a reservation by the length of its printed id. Among equals the map's iteration order decides,
            // which differs between runs.
            (format!("{reservation:?}").len() + choice) % 7
        });
        let reservation =
            reservation.copied().filter(|_| choice.is_multiple_of(2)).or(self.granted.keys().min().copied());
        match (kind, peer, reservation) {
            (0 | 1, _, _) => {
                let peer = self.controller.register(self.now, address(choice as u8)).unwrap();
                self.peers.insert(peer, PeerModel::default());
                self.registered.push(peer);
            }
            (2..=4, Some(peer), _) if !self.peers[&peer].disconnected => {
                let until = self.now + (value % 7) as Micros * SECOND;
                let normal = request(peer, 1 + value % (250 * KIB), until);
                let request = if value.is_multiple_of(5) { with_highest_priority(normal) } else { normal };
                let (reservation, actions) = self.controller.reserve(self.now, request);
                self.waiting.insert(reservation, request);
                self.apply(actions);
            }
            (5, _, Some(reservation)) => {
                self.granted.remove(&reservation);
                let actions = self.controller.release(self.now, reservation);
                self.apply(actions);
            }
            (6, _, Some(reservation)) => {
                let model = self.granted.get_mut(&reservation).unwrap();
                model.1 = model.1.min(value % (64 * KIB));
                let actions = self.controller.shrink(self.now, reservation, model.1);
                self.apply(actions);
            }
            (7, _, Some(reservation)) => {
                self.granted.remove(&reservation);
                let actions = self.controller.linger(self.now, reservation);
                self.apply(actions);
            }
            (8 | 9, Some(peer), _) => {
                let model = self.peers.get_mut(&peer).unwrap();
                model.metering_since.get_or_insert(self.now);
                let actions = self.controller.start_metering(self.now, peer, Transfer::ToPeer);
                self.apply(actions);
            }
            (10..=12, Some(peer), _) if self.peers[&peer].metering_since.is_some() => {
                let model = self.peers.get_mut(&peer).unwrap();
                let at = model.metered_time(self.now);
                model.transfers.push((at, value % (32 * KIB)));
                self.controller.record_progress(self.now, peer, value % (32 * KIB));
            }
            (13, Some(peer), _) => {
                // Closes the connection and releases everything that was reserved for it.
                self.registered.retain(|&other| other != peer);
                let first_of_peer = |waiting: &HashMap<ReservationId, ReservationRequest>| {
                    waiting
                        .iter()
                        .filter(|(_, other)| other.owner.peer == peer)
                        .map(|(&reservation, _)| reservation)
                        .min()
                };
                while let Some(reservation) = first_of_peer(&self.waiting) {
                    self.waiting.remove(&reservation);
                    let actions = self.controller.release(self.now, reservation);
                    self.apply(actions);
                }
                let held = self
                    .granted
                    .iter()
                    .filter(|(_, held)| held.0 == peer)
                    .map(|(&reservation, _)| reservation);
                for reservation in held.collect::<Vec<_>>() {
                    self.granted.remove(&reservation);
                    let actions = self.controller.release(self.now, reservation);
                    self.apply(actions);
                }
                let actions = self.controller.unregister(self.now, peer);
                self.apply(actions);
            }
            _ => {
                self.now += 1 + (value % (700 * 1000)) as Micros;
                let actions = self.controller.wake(self.now);
                self.apply(actions);
            }
        }
    }
}

/// For any order of events: the budget is never exceeded, a peer that holds nothing does not wait while space is
/// available, no peer that keeps its minimum rate is disconnected, and all space is freed in the end.
#[test]
fn invariants_hold_after_every_step_of_random_runs() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0usize..64, 0u64..1 << 40), 1..250);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut simulation = Simulation {
                controller: FlowController::new(limits()),
                now: 0,
                peers: HashMap::new(),
                registered: Vec::new(),
                granted: HashMap::new(),
                waiting: HashMap::new(),
            };
            steps.iter().for_each(|&(kind, choice, value)| simulation.step(kind, choice, value));
            // Once every connection is closed, no space may stay in use.
            while let Some(peer) = simulation.registered.first().copied() {
                simulation.step(13, 0, 0);
                assert!(!simulation.registered.contains(&peer));
            }
            let _ = simulation.controller.wake(simulation.now + 60 * SECOND);
            assert_eq!(simulation.controller.used(), 0);
            Ok(())
        })
        .unwrap();
}
