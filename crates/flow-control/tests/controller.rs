//! The books on room and controller: plain cases, and seeded random runs that check the rules after every step.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use aldermill_flow_control::{
    Actions, AddressLimits, ConnectionLimitReached, Disconnect, DisconnectReason, FlowController, FlowLimits,
    FlowLimitsError, Micros, MinimumRate, PeerId, PressureThresholds, Priority, ProgressMeter, ReservationId,
    ReservationOwner, ReservationRequest, Transfer,
};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const S: Micros = 1_000_000;
const KIB: u64 = 1024;
const TO_CLIENT: MinimumRate = MinimumRate { rate: 8 * KIB, start: 2 * S, window: 4 * S };

fn limits() -> FlowLimits {
    let member = MinimumRate { rate: 32 * KIB, start: 3 * S / 10, window: 3 * S / 10 };
    FlowLimits {
        budget: 1024 * KIB,
        per_connection: 256 * KIB,
        per_address: None,
        priority_reserve: 128 * KIB,
        pressure: PressureThresholds { enter: 768 * KIB, leave: 512 * KIB },
        to_client: TO_CLIENT,
        from_client: MinimumRate { rate: KIB, start: 2 * S, window: 4 * S },
        from_member: member,
        to_member: member,
        reservation_timeout: 60 * S,
        max_time_behind: 6 * S,
        linger: 5 * S,
        shutdown_grace: 5 * S,
    }
}

fn from(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

fn request(peer: PeerId, bytes: u64, deadline: Micros) -> ReservationRequest {
    ReservationRequest { owner: ReservationOwner { peer, priority: Priority::Normal }, bytes, deadline }
}

fn with_priority(request: ReservationRequest) -> ReservationRequest {
    let owner = ReservationOwner { priority: Priority::Highest, ..request.owner };
    ReservationRequest { owner, ..request }
}

#[test]
fn a_meter_lets_a_quick_peer_pause_and_sees_through_single_bytes() {
    let mut quick = ProgressMeter::new(0, TO_CLIENT);
    quick.start(0);
    quick.record_progress(S / 10, 64 * KIB);
    assert_eq!(quick.behind_since(S / 10 + 4 * S), None);
    assert!(quick.behind_since(S / 10 + 4 * S + 1).is_some());
    let (mut least, mut trickle, mut half) = (quick, quick, quick);
    for (meter, bytes) in [(&mut least, 8 * KIB), (&mut trickle, 1), (&mut half, 4 * KIB)] {
        *meter = ProgressMeter::new(0, TO_CLIENT);
        meter.start(0);
        (1..=60).for_each(|second| meter.record_progress(second * S, bytes));
    }
    assert_eq!(least.behind_since(60 * S), None);
    assert!(trickle.behind_since(60 * S).is_some_and(|since| since <= 21 * S / 10));
    assert!(half.behind_since(60 * S).is_some_and(|since| since <= 5 * S));
    // Behind for long, it catches up once it is quick again, and rests cost nothing.
    half.record_progress(60 * S, 64 * KIB);
    assert_eq!(half.behind_since(60 * S), None);
    half.stop(61 * S);
    assert_eq!((half.behind_since(600 * S), half.deadline()), (None, None));
    half.start(600 * S);
    assert!(half.deadline().unwrap() >= 602 * S);
}

#[test]
fn room_goes_to_those_who_wait_as_soon_as_it_is_given_back() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> = (0..5).map(|last| controller.register(0, from(last)).unwrap()).collect();
    let mut claims = Vec::new();
    for &peer in &peers[..3] {
        let (claim, actions) = controller.reserve(0, request(peer, 256 * KIB, 0));
        assert_eq!(actions.granted, [claim]);
        claims.push(claim);
    }
    // The part of the best paid is theirs alone.
    let (plain, actions) = controller.reserve(0, request(peers[3], 256 * KIB, S));
    assert_eq!((actions.granted, actions.disconnect), (vec![], vec![]));
    let (small, actions) = controller.reserve(1, request(peers[4], 20 * KIB, S));
    assert_eq!(actions.granted, [small]);
    let (best, actions) = controller.reserve(1, with_priority(request(peers[4], 200 * KIB, 1)));
    assert_eq!(actions.granted, [best]);
    assert_eq!(controller.release(2, claims[0]).granted, []);
    assert_eq!(controller.release(3, best).granted, [plain]);
    // What waits no longer is refused, and what could never fit at once.
    let (late, _) = controller.reserve(4, request(peers[0], 200 * KIB, S));
    let (never, actions) = controller.reserve(4, request(peers[0], 257 * KIB, S));
    assert_eq!(actions.rejected, [never]);
    assert_eq!(controller.wake(S).rejected, [late]);
    for claim in [claims[1], claims[2], plain, small] {
        controller.release(S, claim);
    }
    assert_eq!(controller.used(), 0);
}

#[test]
fn who_holds_much_and_is_behind_gives_way_first_and_only_where_room_is_wanted() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> = (0..6).map(|last| controller.register(0, from(last)).unwrap()).collect();
    let held: Vec<ReservationId> = [200, 250, 200, 200]
        .iter()
        .zip(&peers)
        .map(|(&size, &peer)| controller.reserve(0, request(peer, size * KIB, 0)).0)
        .collect();
    peers[..4].iter().for_each(|&peer| drop(controller.start_metering(0, peer, Transfer::ToPeer)));
    let quick = 2;
    controller.record_progress(S, peers[quick], 64 * KIB);
    assert_eq!(controller.wake(3 * S).disconnect, []);
    let (claim, actions) = controller.reserve(3 * S, request(peers[4], 100 * KIB, 9 * S));
    assert_eq!(actions.disconnect, [Disconnect { peer: peers[1], reason: DisconnectReason::BufferSpace }]);
    // Nothing more until that one is gone; what the system may hold of it counts for a while.
    assert_eq!(controller.wake(3 * S + 1).disconnect, []);
    assert_eq!(controller.shrink(3 * S + 2, held[1], 32 * KIB).granted, [claim]);
    controller.linger(3 * S + 3, held[1]);
    let before = controller.used();
    controller.unregister(3 * S + 4, peers[1]);
    assert_eq!(before, controller.used());
    controller.record_progress(4 * S, peers[quick], 64 * KIB);
    // A place that is wanted costs the next; nobody asks for the last one, which is overdue in the end.
    assert_eq!(
        controller.shed_one_connection(7 * S).disconnect,
        [Disconnect { peer: peers[0], reason: DisconnectReason::ConnectionSlot }]
    );
    assert_eq!(
        controller.wake(8 * S).disconnect,
        [Disconnect { peer: peers[3], reason: DisconnectReason::TooSlow }]
    );
    controller.wake(8 * S + 10);
    assert_eq!(controller.used(), before - 32 * KIB);
}

#[test]
fn who_waits_for_room_that_nobody_gives_back_is_told_at_once() {
    let mut controller = FlowController::new(FlowLimits { reservation_timeout: S / 4, ..limits() });
    let peers: Vec<PeerId> = (0..12).map(|last| controller.register(0, from(last)).unwrap()).collect();
    let held: Vec<ReservationId> =
        peers[..4].iter().map(|&peer| controller.reserve(0, request(peer, 220 * KIB, 0)).0).collect();
    // At first it is taken to come free within a second: a little may wait, much may not.
    let (little, actions) = controller.reserve(0, request(peers[4], 200 * KIB, 9 * S));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    let (much, actions) = controller.reserve(0, request(peers[5], 250 * KIB, 9 * S));
    assert_eq!(actions.rejected, [much]);
    assert_eq!(controller.wake(S / 4).rejected, [little]);
    // Nothing came free for seconds: not even a little may wait. Where it does, it may.
    let (none, actions) = controller.reserve(9 * S, request(peers[6], 200 * KIB, 19 * S));
    assert_eq!(actions.rejected, [none]);
    for claim in held {
        controller.shrink(9 * S, claim, 160 * KIB);
    }
    controller.reserve(9 * S, request(peers[7], 200 * KIB, 9 * S));
    let (again, actions) = controller.reserve(9 * S, request(peers[8], 100 * KIB, 19 * S));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    assert_eq!(controller.wake(10 * S).rejected, [again]);
}

#[test]
fn an_address_has_its_share_and_does_not_come_back_at_once() {
    let per_address = Some(AddressLimits { connections: 2, budget: 300 * KIB });
    let mut controller = FlowController::new(FlowLimits {
        per_address,
        pressure: PressureThresholds { enter: 100 * KIB, leave: 50 * KIB },
        ..limits()
    });
    let [first, second] =
        [controller.register(0, from(1)).unwrap(), controller.register(0, from(1)).unwrap()];
    assert_eq!(controller.register(0, from(1)), Err(ConnectionLimitReached::PerAddress));
    let (held, _) = controller.reserve(0, request(first, 250 * KIB, 0));
    let (wanted, actions) = controller.reserve(0, request(second, 100 * KIB, 0));
    assert_eq!(actions.rejected, [wanted]);
    controller.start_metering(0, first, Transfer::ToPeer);
    assert_eq!(
        controller.shed_one_connection(3 * S).disconnect,
        [Disconnect { peer: first, reason: DisconnectReason::ConnectionSlot }]
    );
    controller.unregister(3 * S, first);
    assert_eq!(controller.register(3 * S, from(1)), Err(ConnectionLimitReached::RecentlyDisconnected));
    assert!(controller.register(3 * S, from(2)).is_ok());
    controller.release(4 * S, held);
    assert!(controller.register(4 * S, from(1)).is_ok());
}

#[test]
fn lowered_limits_and_a_stop_cut_those_who_are_behind() {
    let mut controller = FlowController::new(limits());
    let [slow, quick] = [controller.register(0, from(1)).unwrap(), controller.register(0, from(2)).unwrap()];
    for peer in [slow, quick] {
        controller.reserve(0, request(peer, 256 * KIB, 0));
        controller.start_metering(0, peer, Transfer::ToPeer);
    }
    controller.record_progress(2 * S, quick, 64 * KIB);
    let lowered = FlowLimits { budget: 400 * KIB, ..limits() };
    assert_eq!(
        controller.update_limits(3 * S, lowered).disconnect,
        [Disconnect { peer: slow, reason: DisconnectReason::BufferSpace }]
    );
    let (more, actions) = controller.reserve(3 * S, request(quick, KIB, 3 * S));
    assert_eq!(actions.rejected, [more]);
    let actions = controller.shut_down(4 * S);
    assert_eq!((actions.disconnect, actions.wake_at), (vec![], Some(6 * S + 1)));
    controller.record_progress(5 * S, quick, 64 * KIB);
    assert_eq!(
        controller.wake(9 * S).disconnect,
        [Disconnect { peer: quick, reason: DisconnectReason::Shutdown }]
    );
}

#[test]
fn limits_that_cannot_hold_one_statement_and_one_answer_name_the_least_that_would_do() {
    assert_eq!(limits().validate(KIB, 255 * KIB), Ok(()));
    assert_eq!(limits().validate(KIB, 256 * KIB), Err(FlowLimitsError::PerConnection { minimum: 257 * KIB }));
    assert_eq!(limits().validate(KIB, 1024 * KIB), Err(FlowLimitsError::Budget { minimum: 1153 * KIB }));
}

// ---- Seeded random runs, with books of their own.

struct Walker {
    controller: FlowController,
    now: Micros,
    /// Of each peer: since when it owes, and what it moved when, with the time it owed before.
    peers: HashMap<PeerId, Walk>,
    order: Vec<PeerId>,
    claims: HashMap<ReservationId, (PeerId, u64, bool)>,
    waiting: HashMap<ReservationId, ReservationRequest>,
}

#[derive(Default)]
struct Walk {
    owing: Option<Micros>,
    /// Owed time so far, and at which of it how many bytes moved.
    owed: Micros,
    moved: Vec<(Micros, u64)>,
    /// Where the least rate was last asked anew, after a rest.
    cut: bool,
}

impl Walk {
    fn owed(&self, now: Micros) -> Micros {
        self.owed + self.owing.map_or(0, |since| now - since)
    }

    /// Over some part of the time that it owed it moved less than the least rate and the allowance ask for.
    fn was_slow(&self, now: Micros, rate: u64, allowance: Micros) -> bool {
        let end = self.owed(now);
        let starts = self.moved.iter().map(|&(at, _)| at).chain([0]);
        starts.into_iter().any(|start| {
            let bytes: u64 = self.moved.iter().filter(|&&(at, _)| at > start).map(|&(_, bytes)| bytes).sum();
            let needed = (end - start - allowance).max(0) as f64 * rate as f64 / S as f64;
            (bytes as f64) < needed + 1.0
        })
    }
}

impl Walker {
    fn heard(&mut self, actions: Actions) {
        for claim in actions.granted {
            let request = self.waiting.remove(&claim).expect("granted once, and asked for before");
            let ReservationOwner { peer, priority } = request.owner;
            self.claims.insert(claim, (peer, request.bytes, priority.is_highest()));
        }
        for claim in actions.rejected {
            self.waiting.remove(&claim).expect("refused once, and not after it was granted");
        }
        for Disconnect { peer, reason } in actions.disconnect {
            let now = self.now;
            let walk = self.peers.get_mut(&peer).expect("a peer that is there");
            assert!(!std::mem::replace(&mut walk.cut, true), "cut twice");
            assert_ne!(reason, DisconnectReason::Shutdown);
            assert!(walk.was_slow(now, TO_CLIENT.rate, TO_CLIENT.start), "a quick peer was cut: {reason:?}");
        }
        let granted: u64 = self.claims.values().map(|&(_, bytes, _)| bytes).sum();
        assert!(
            granted <= self.controller.used() && self.controller.used() <= self.controller.limits().budget
        );
        let plain: u64 =
            self.claims.values().filter(|&&(_, _, best)| !best).map(|&(_, bytes, _)| bytes).sum();
        assert!(plain <= self.controller.limits().budget - self.controller.limits().priority_reserve);
        // Nothing small waits while there is room for it.
        let held =
            |peer: PeerId| self.claims.values().filter(|claim| claim.0 == peer).map(|claim| claim.1).sum();
        for request in self.waiting.values() {
            let peer = request.owner.peer;
            let held: u64 = held(peer);
            let open = self.controller.limits().budget - self.controller.limits().priority_reserve;
            assert!(
                held > 0 || self.peers[&peer].cut || self.controller.used() + request.bytes > open,
                "{request:?} starves"
            );
        }
    }

    fn step(&mut self, kind: u8, a: usize, b: u64) {
        let peer = self.order.get(a % self.order.len().max(1)).copied();
        let claim = self.claims.keys().min_by_key(|claim| {
            // Any one, the same in every run.
            (format!("{claim:?}").len() + a) % 7
        });
        let claim = claim.copied().filter(|_| a.is_multiple_of(2)).or(self.claims.keys().min().copied());
        match (kind, peer, claim) {
            (0 | 1, _, _) => {
                let peer = self.controller.register(self.now, from(a as u8)).unwrap();
                self.peers.insert(peer, Walk::default());
                self.order.push(peer);
            }
            (2..=4, Some(peer), _) if !self.peers[&peer].cut => {
                let until = self.now + (b % 7) as Micros * S;
                let plain = request(peer, 1 + b % (250 * KIB), until);
                let request = if b.is_multiple_of(5) { with_priority(plain) } else { plain };
                let (claim, actions) = self.controller.reserve(self.now, request);
                self.waiting.insert(claim, request);
                self.heard(actions);
            }
            (5, _, Some(claim)) => {
                self.claims.remove(&claim);
                let actions = self.controller.release(self.now, claim);
                self.heard(actions);
            }
            (6, _, Some(claim)) => {
                let kept = self.claims.get_mut(&claim).unwrap();
                kept.1 = kept.1.min(b % (64 * KIB));
                let actions = self.controller.shrink(self.now, claim, kept.1);
                self.heard(actions);
            }
            (7, _, Some(claim)) => {
                self.claims.remove(&claim);
                let actions = self.controller.linger(self.now, claim);
                self.heard(actions);
            }
            (8 | 9, Some(peer), _) => {
                let walk = self.peers.get_mut(&peer).unwrap();
                walk.owing.get_or_insert(self.now);
                let actions = self.controller.start_metering(self.now, peer, Transfer::ToPeer);
                self.heard(actions);
            }
            (10..=12, Some(peer), _) if self.peers[&peer].owing.is_some() => {
                let walk = self.peers.get_mut(&peer).unwrap();
                let at = walk.owed(self.now);
                walk.moved.push((at, b % (32 * KIB)));
                self.controller.record_progress(self.now, peer, b % (32 * KIB));
            }
            (13, Some(peer), _) => {
                // It is closed, and all that is kept for it with it.
                self.order.retain(|&other| other != peer);
                let of_peer = |waiting: &HashMap<ReservationId, ReservationRequest>| {
                    waiting
                        .iter()
                        .filter(|(_, other)| other.owner.peer == peer)
                        .map(|(&claim, _)| claim)
                        .min()
                };
                while let Some(claim) = of_peer(&self.waiting) {
                    self.waiting.remove(&claim);
                    let actions = self.controller.release(self.now, claim);
                    self.heard(actions);
                }
                let held = self.claims.iter().filter(|(_, held)| held.0 == peer).map(|(&claim, _)| claim);
                for claim in held.collect::<Vec<_>>() {
                    self.claims.remove(&claim);
                    let actions = self.controller.release(self.now, claim);
                    self.heard(actions);
                }
                let actions = self.controller.unregister(self.now, peer);
                self.heard(actions);
            }
            _ => {
                self.now += 1 + (b % (700 * 1000)) as Micros;
                let actions = self.controller.wake(self.now);
                self.heard(actions);
            }
        }
    }
}

#[test]
fn the_rules_hold_after_every_step_of_random_runs() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0usize..64, 0u64..1 << 40), 1..250);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut walker = Walker {
                controller: FlowController::new(limits()),
                now: 0,
                peers: HashMap::new(),
                order: Vec::new(),
                claims: HashMap::new(),
                waiting: HashMap::new(),
            };
            steps.iter().for_each(|&(kind, a, b)| walker.step(kind, a, b));
            // All is given back, whatever happened.
            while let Some(peer) = walker.order.first().copied() {
                walker.step(13, 0, 0);
                assert!(!walker.order.contains(&peer));
            }
            walker.controller.wake(walker.now + 60 * S);
            assert_eq!(walker.controller.used(), 0);
            Ok(())
        })
        .unwrap();
}
