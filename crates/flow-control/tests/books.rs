//! The books on room and pace: plain cases, and seeded random runs that check the rules after every step.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use aldermill_flow_control::{
    Actions, Ask, Bounds, Claim, Least, Meter, Micros, Pace, Peer, PerAddress, TooMany, Way, Why,
};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const S: Micros = 1_000_000;
const KIB: u64 = 1024;
const READING: Least = Least { rate: 8 * KIB, start: 2 * S, window: 4 * S };

fn bounds() -> Bounds {
    let member = Least { rate: 32 * KIB, start: 3 * S / 10, window: 3 * S / 10 };
    Bounds {
        room: 1024 * KIB,
        connection: 256 * KIB,
        address: None,
        reserve: 128 * KIB,
        short: (768 * KIB, 512 * KIB),
        reading: READING,
        sending: Least { rate: KIB, start: 2 * S, window: 4 * S },
        answering: member,
        taking: member,
        patience: 60 * S,
        overdue: 6 * S,
        lingering: 5 * S,
        stopping: 5 * S,
    }
}

fn from(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

fn ask(bytes: u64, until: Micros) -> Ask {
    Ask { bytes, best: false, until }
}

#[test]
fn a_meter_lets_a_quick_peer_pause_and_sees_through_single_bytes() {
    let mut quick = Meter::start(READING, 0);
    quick.owes(0);
    quick.moved(S / 10, 64 * KIB);
    assert_eq!(quick.behind_since(S / 10 + 4 * S), None);
    assert!(quick.behind_since(S / 10 + 4 * S + 1).is_some());
    let (mut least, mut trickle, mut half) = (quick, quick, quick);
    for (meter, bytes) in [(&mut least, 8 * KIB), (&mut trickle, 1), (&mut half, 4 * KIB)] {
        *meter = Meter::start(READING, 0);
        meter.owes(0);
        (1..=60).for_each(|second| meter.moved(second * S, bytes));
    }
    assert_eq!(least.behind_since(60 * S), None);
    assert!(trickle.behind_since(60 * S).is_some_and(|since| since <= 21 * S / 10));
    assert!(half.behind_since(60 * S).is_some_and(|since| since <= 5 * S));
    // Behind for long, it catches up once it is quick again, and rests cost nothing.
    half.moved(60 * S, 64 * KIB);
    assert_eq!(half.behind_since(60 * S), None);
    half.rests(61 * S);
    assert_eq!((half.behind_since(600 * S), half.due()), (None, None));
    half.owes(600 * S);
    assert!(half.due().unwrap() >= 602 * S);
}

#[test]
fn room_goes_to_those_who_wait_as_soon_as_it_is_given_back() {
    let mut pace = Pace::start(bounds());
    let peers: Vec<Peer> = (0..5).map(|last| pace.meet(0, from(last)).unwrap()).collect();
    let mut claims = Vec::new();
    for &peer in &peers[..3] {
        let (claim, actions) = peer.asks(&mut pace, 0, ask(256 * KIB, 0));
        assert_eq!(actions.granted, [claim]);
        claims.push(claim);
    }
    // The part of the best paid is theirs alone.
    let (plain, actions) = peers[3].asks(&mut pace, 0, ask(256 * KIB, S));
    assert_eq!((actions.granted, actions.cut), (vec![], vec![]));
    let (small, actions) = peers[4].asks(&mut pace, 1, ask(20 * KIB, S));
    assert_eq!(actions.granted, [small]);
    let (best, actions) = peers[4].asks(&mut pace, 1, Ask { best: true, ..ask(200 * KIB, 1) });
    assert_eq!(actions.granted, [best]);
    assert_eq!(claims[0].given_back(&mut pace, 2).granted, []);
    assert_eq!(best.given_back(&mut pace, 3).granted, [plain]);
    // What waits no longer is refused, and what could never fit at once.
    let (late, _) = peers[0].asks(&mut pace, 4, ask(200 * KIB, S));
    let (never, actions) = peers[0].asks(&mut pace, 4, ask(257 * KIB, S));
    assert_eq!(actions.refused, [never]);
    assert_eq!(pace.wake(S).refused, [late]);
    for claim in [claims[1], claims[2], plain, small] {
        claim.given_back(&mut pace, S);
    }
    assert_eq!(pace.used(), 0);
}

#[test]
fn who_holds_much_and_is_behind_gives_way_first_and_only_where_room_is_wanted() {
    let mut pace = Pace::start(bounds());
    let peers: Vec<Peer> = (0..6).map(|last| pace.meet(0, from(last)).unwrap()).collect();
    let held: Vec<Claim> = [200, 250, 200, 200]
        .iter()
        .zip(&peers)
        .map(|(&size, peer)| peer.asks(&mut pace, 0, ask(size * KIB, 0)).0)
        .collect();
    peers[..4].iter().for_each(|peer| drop(peer.owes(&mut pace, 0, Way::Reading)));
    let quick = 2;
    peers[quick].moved(&mut pace, S, 64 * KIB);
    assert_eq!(pace.wake(3 * S).cut, []);
    let (claim, actions) = peers[4].asks(&mut pace, 3 * S, ask(100 * KIB, 9 * S));
    assert_eq!(actions.cut, [(peers[1], Why::Room)]);
    // Nothing more until that one is gone; what the system may hold of it counts for a while.
    assert_eq!(pace.wake(3 * S + 1).cut, []);
    assert_eq!(held[1].shrinks(&mut pace, 3 * S + 2, 32 * KIB).granted, [claim]);
    held[1].lingers(&mut pace, 3 * S + 3);
    let before = pace.used();
    peers[1].left(&mut pace, 3 * S + 4);
    assert_eq!(before, pace.used());
    peers[quick].moved(&mut pace, 4 * S, 64 * KIB);
    // A place that is wanted costs the next; nobody asks for the last one, which is overdue in the end.
    assert_eq!(pace.slot_wanted(7 * S).cut, [(peers[0], Why::Slot)]);
    assert_eq!(pace.wake(8 * S).cut, [(peers[3], Why::Overdue)]);
    pace.wake(8 * S + 10);
    assert_eq!(pace.used(), before - 32 * KIB);
}

#[test]
fn who_waits_for_room_that_nobody_gives_back_is_told_at_once() {
    let mut pace = Pace::start(Bounds { patience: S / 4, ..bounds() });
    let peers: Vec<Peer> = (0..12).map(|last| pace.meet(0, from(last)).unwrap()).collect();
    let held: Vec<Claim> =
        peers[..4].iter().map(|peer| peer.asks(&mut pace, 0, ask(220 * KIB, 0)).0).collect();
    // At first it is taken to come free within a second: a little may wait, much may not.
    let (little, actions) = peers[4].asks(&mut pace, 0, ask(200 * KIB, 9 * S));
    assert_eq!((actions.granted, actions.refused), (vec![], vec![]));
    let (much, actions) = peers[5].asks(&mut pace, 0, ask(250 * KIB, 9 * S));
    assert_eq!(actions.refused, [much]);
    assert_eq!(pace.wake(S / 4).refused, [little]);
    // Nothing came free for seconds: not even a little may wait. Where it does, it may.
    let (none, actions) = peers[6].asks(&mut pace, 9 * S, ask(200 * KIB, 19 * S));
    assert_eq!(actions.refused, [none]);
    for claim in held {
        claim.shrinks(&mut pace, 9 * S, 160 * KIB);
    }
    peers[7].asks(&mut pace, 9 * S, ask(200 * KIB, 9 * S));
    let (again, actions) = peers[8].asks(&mut pace, 9 * S, ask(100 * KIB, 19 * S));
    assert_eq!((actions.granted, actions.refused), (vec![], vec![]));
    assert_eq!(pace.wake(10 * S).refused, [again]);
}

#[test]
fn an_address_has_its_share_and_does_not_come_back_at_once() {
    let address = Some(PerAddress { connections: 2, room: 300 * KIB });
    let mut pace = Pace::start(Bounds { address, short: (100 * KIB, 50 * KIB), ..bounds() });
    let [first, second] = [pace.meet(0, from(1)).unwrap(), pace.meet(0, from(1)).unwrap()];
    assert_eq!(pace.meet(0, from(1)), Err(TooMany::AtAddress));
    let (held, _) = first.asks(&mut pace, 0, ask(250 * KIB, 0));
    let (wanted, actions) = second.asks(&mut pace, 0, ask(100 * KIB, 0));
    assert_eq!(actions.refused, [wanted]);
    first.owes(&mut pace, 0, Way::Reading);
    assert_eq!(pace.slot_wanted(3 * S).cut, [(first, Why::Slot)]);
    first.left(&mut pace, 3 * S);
    assert_eq!(pace.meet(3 * S, from(1)), Err(TooMany::CutLately));
    assert!(pace.meet(3 * S, from(2)).is_ok());
    held.given_back(&mut pace, 4 * S);
    assert!(pace.meet(4 * S, from(1)).is_ok());
}

#[test]
fn lowered_limits_and_a_stop_cut_those_who_are_behind() {
    let mut pace = Pace::start(bounds());
    let [slow, quick] = [pace.meet(0, from(1)).unwrap(), pace.meet(0, from(2)).unwrap()];
    for peer in [slow, quick] {
        peer.asks(&mut pace, 0, ask(256 * KIB, 0));
        peer.owes(&mut pace, 0, Way::Reading);
    }
    quick.moved(&mut pace, 2 * S, 64 * KIB);
    let lowered = Bounds { room: 400 * KIB, ..bounds() };
    assert_eq!(pace.rebound(3 * S, lowered).cut, [(slow, Why::Room)]);
    let (more, actions) = quick.asks(&mut pace, 3 * S, ask(KIB, 3 * S));
    assert_eq!(actions.refused, [more]);
    let actions = pace.stop(4 * S);
    assert_eq!((actions.cut, actions.wake_at), (vec![], Some(6 * S + 1)));
    quick.moved(&mut pace, 5 * S, 64 * KIB);
    assert_eq!(pace.wake(9 * S).cut, [(quick, Why::Stopping)]);
}

#[test]
fn limits_that_cannot_hold_one_statement_and_one_answer_name_the_least_that_would_do() {
    assert_eq!(bounds().check(KIB, 255 * KIB), Ok(()));
    assert_eq!(bounds().check(KIB, 256 * KIB), Err(("connection", 257 * KIB)));
    assert_eq!(bounds().check(KIB, 1024 * KIB), Err(("room", 1153 * KIB)));
}

// ---- Seeded random runs, with books of their own.

struct Walker {
    pace: Pace,
    now: Micros,
    /// Of each peer: since when it owes, and what it moved when, with the time it owed before.
    peers: HashMap<Peer, Walk>,
    order: Vec<Peer>,
    claims: HashMap<Claim, (Peer, u64, bool)>,
    waiting: HashMap<Claim, (Peer, Ask)>,
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
            let (peer, ask) = self.waiting.remove(&claim).expect("granted once, and asked for before");
            self.claims.insert(claim, (peer, ask.bytes, ask.best));
        }
        for claim in actions.refused {
            self.waiting.remove(&claim).expect("refused once, and not after it was granted");
        }
        for (peer, why) in actions.cut {
            let now = self.now;
            let walk = self.peers.get_mut(&peer).expect("a peer that is there");
            assert!(!std::mem::replace(&mut walk.cut, true), "cut twice");
            assert_ne!(why, Why::Stopping);
            assert!(walk.was_slow(now, READING.rate, READING.start), "a quick peer was cut: {why:?}");
        }
        let granted: u64 = self.claims.values().map(|&(_, bytes, _)| bytes).sum();
        assert!(granted <= self.pace.used() && self.pace.used() <= self.pace.bounds().room);
        let plain: u64 =
            self.claims.values().filter(|&&(_, _, best)| !best).map(|&(_, bytes, _)| bytes).sum();
        assert!(plain <= self.pace.bounds().room - self.pace.bounds().reserve);
        // Nothing small waits while there is room for it.
        let held =
            |peer: Peer| self.claims.values().filter(|claim| claim.0 == peer).map(|claim| claim.1).sum();
        for (peer, ask) in self.waiting.values() {
            let held: u64 = held(*peer);
            let open = self.pace.bounds().room - self.pace.bounds().reserve;
            assert!(
                held > 0 || self.peers[peer].cut || self.pace.used() + ask.bytes > open,
                "{ask:?} starves"
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
                let peer = self.pace.meet(self.now, from(a as u8)).unwrap();
                self.peers.insert(peer, Walk::default());
                self.order.push(peer);
            }
            (2..=4, Some(peer), _) if !self.peers[&peer].cut => {
                let until = self.now + (b % 7) as Micros * S;
                let ask = Ask { bytes: 1 + b % (250 * KIB), best: b.is_multiple_of(5), until };
                let (claim, actions) = peer.asks(&mut self.pace, self.now, ask);
                self.waiting.insert(claim, (peer, ask));
                self.heard(actions);
            }
            (5, _, Some(claim)) => {
                self.claims.remove(&claim);
                let actions = claim.given_back(&mut self.pace, self.now);
                self.heard(actions);
            }
            (6, _, Some(claim)) => {
                let kept = self.claims.get_mut(&claim).unwrap();
                kept.1 = kept.1.min(b % (64 * KIB));
                let actions = claim.shrinks(&mut self.pace, self.now, kept.1);
                self.heard(actions);
            }
            (7, _, Some(claim)) => {
                self.claims.remove(&claim);
                let actions = claim.lingers(&mut self.pace, self.now);
                self.heard(actions);
            }
            (8 | 9, Some(peer), _) => {
                let walk = self.peers.get_mut(&peer).unwrap();
                walk.owing.get_or_insert(self.now);
                let actions = peer.owes(&mut self.pace, self.now, Way::Reading);
                self.heard(actions);
            }
            (10..=12, Some(peer), _) if self.peers[&peer].owing.is_some() => {
                let walk = self.peers.get_mut(&peer).unwrap();
                let at = walk.owed(self.now);
                walk.moved.push((at, b % (32 * KIB)));
                peer.moved(&mut self.pace, self.now, b % (32 * KIB));
            }
            (13, Some(peer), _) => {
                // It is closed, and all that is kept for it with it.
                self.order.retain(|&other| other != peer);
                let of_peer = |waiting: &HashMap<Claim, (Peer, Ask)>| {
                    waiting.iter().filter(|(_, (other, _))| *other == peer).map(|(&claim, _)| claim).min()
                };
                while let Some(claim) = of_peer(&self.waiting) {
                    self.waiting.remove(&claim);
                    let actions = claim.given_back(&mut self.pace, self.now);
                    self.heard(actions);
                }
                let held = self.claims.iter().filter(|(_, held)| held.0 == peer).map(|(&claim, _)| claim);
                for claim in held.collect::<Vec<_>>() {
                    self.claims.remove(&claim);
                    let actions = claim.given_back(&mut self.pace, self.now);
                    self.heard(actions);
                }
                let actions = peer.left(&mut self.pace, self.now);
                self.heard(actions);
            }
            _ => {
                self.now += 1 + (b % (700 * 1000)) as Micros;
                let actions = self.pace.wake(self.now);
                self.heard(actions);
            }
        }
    }
}

#[test]
fn the_rules_hold_after_every_step_of_random_runs() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let limits = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0usize..64, 0u64..1 << 40), 1..250);
    TestRunner::new_with_rng(limits, rng)
        .run(&steps, |steps| {
            let mut walker = Walker {
                pace: Pace::start(bounds()),
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
            walker.pace.wake(walker.now + 60 * S);
            assert_eq!(walker.pace.used(), 0);
            Ok(())
        })
        .unwrap();
}
