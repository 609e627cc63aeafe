//! A fleet in virtual time: proxies are started, killed, stalled, partitioned and given wrong names.

mod common;

use aldermill_membership::{Change, ProtocolPeriods, SeedAddress, Snapshot, frame};
use common::{MILLISECOND, SECOND, Simulation, address};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const FLEET_SIZE: usize = 20;

fn all() -> Vec<usize> {
    (0..FLEET_SIZE).collect()
}

/// Twenty proxies that know of one another.
fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(FLEET_SIZE, seed);
    simulation.start_all();
    assert!(simulation.run_until_all_see(&all(), FLEET_SIZE, 20 * SECOND).is_some(), "they find each other");
    simulation.run_for(10 * SECOND);
    simulation
}

#[test]
fn proxies_started_together_find_each_other_without_false_deaths() {
    let mut simulation = Simulation::new(FLEET_SIZE, 1);
    simulation.start_all();
    let took = simulation.run_until_all_see(&all(), FLEET_SIZE, 20 * SECOND).expect("they find each other");
    assert!(took < 5 * SECOND, "{took}");
    simulation.run_for(120 * SECOND);
    assert_eq!(simulation.false_deaths(0, |_| true), 0);
    let snapshot = simulation.snapshot(3);
    assert_eq!(
        snapshot,
        Snapshot { alive: FLEET_SIZE, most_alive: FLEET_SIZE, is_certain: true, may_be_minority: false }
    );
    assert_eq!((snapshot.quota_divisor(40), snapshot.warm_up_quota_divisor(40)), (20, 40));
}

#[test]
fn a_death_reaches_all_and_a_restart_replaces_the_earlier_start() {
    let mut simulation = settled(2);
    simulation.kill(7);
    let rest: Vec<usize> = all().into_iter().filter(|&node| node != 7).collect();
    let took = simulation.run_until_all_see(&rest, FLEET_SIZE - 1, 30 * SECOND).expect("all know");
    assert!(took < 12 * SECOND, "{took}");
    assert_eq!(simulation.false_deaths(0, |name| name != "n7"), 0);
    simulation.start(7);
    assert!(simulation.run_until_all_see(&all(), FLEET_SIZE, 10 * SECOND).is_some());
    // A proxy that restarts before anybody noticed its death is another peer all the same.
    let since = simulation.now;
    simulation.kill(8);
    simulation.start(8);
    simulation.run_for(5 * SECOND);
    let heard_of = |node: usize| {
        let is_restart = |change: &Change| matches!(change, Change::Restarted(peer) | Change::Up(peer) if &*peer.name == "n8");
        simulation.nodes[node].changes.iter().any(|learnt| learnt.at >= since && is_restart(&learnt.change))
    };
    assert!(all().into_iter().filter(|&node| node != 8).all(heard_of));
    assert_eq!(simulation.alive(0), FLEET_SIZE);
}

#[test]
fn a_leaving_proxy_is_gone_within_two_seconds() {
    let mut simulation = settled(3);
    simulation.leave(4);
    let rest: Vec<usize> = all().into_iter().filter(|&node| node != 4).collect();
    let took = simulation.run_until_all_see(&rest, FLEET_SIZE - 1, 10 * SECOND).expect("all know");
    assert!(took <= 2 * SECOND, "{took}");
}

#[test]
fn stalled_proxies_accuse_no_running_one_and_come_back() {
    for (seed, span) in [(4, 500 * MILLISECOND), (5, 3 * SECOND), (6, 30 * SECOND)] {
        let mut simulation = settled(seed);
        let since = simulation.now;
        (0..14).for_each(|node| simulation.stall(node));
        simulation.run_for(span);
        let resumed_at = simulation.now;
        (0..14).for_each(|node| simulation.resume(node));
        assert!(!simulation.snapshot(0).is_certain, "uncertain until others are heard again");
        assert_eq!(simulation.snapshot(0).quota_divisor(40), 40);
        let took = simulation.run_until_all_see(&all(), FLEET_SIZE, 30 * SECOND);
        assert!(took.is_some_and(|took| took < 15 * SECOND), "{span}: {took:?}");
        simulation.run_for(30 * SECOND);
        // Proxies that ran are right to declare the stalled ones dead. No running one may be declared dead.
        let was_running = |name: &str| name[1..].parse::<usize>().unwrap() >= 14;
        assert_eq!(simulation.false_deaths(since, was_running), 0, "{span}");
        let learnt_by_resumed = simulation.nodes[..14].iter().flat_map(|node| &node.changes);
        let accused = learnt_by_resumed
            .filter(|learnt| learnt.at >= resumed_at && matches!(learnt.change, Change::Down(_)));
        // Other stalled ones, which the running ones had declared dead, until they are heard again.
        assert!(accused.count() <= 14 * 14);
        assert!(
            all()
                .into_iter()
                .all(|node| simulation.snapshot(node).is_certain && simulation.alive(node) == FLEET_SIZE)
        );
    }
}

#[test]
fn a_partitioned_minority_knows_that_it_may_be_one_and_the_fleet_heals() {
    let mut simulation = settled(7);
    simulation.connects = Box::new(|from, to| (from < 8) == (to < 8));
    simulation.run_for(60 * SECOND);
    for node in all() {
        let snapshot = simulation.snapshot(node);
        let left = if node < 8 { 8 } else { 12 };
        assert_eq!(
            (snapshot.alive, snapshot.most_alive, snapshot.may_be_minority),
            (left, FLEET_SIZE, node < 8)
        );
        assert_eq!(snapshot.warm_up_quota_divisor(FLEET_SIZE), FLEET_SIZE);
    }
    simulation.connects = Box::new(|_, _| true);
    let took = simulation.run_until_all_see(&all(), FLEET_SIZE, 60 * SECOND).expect("they find together");
    assert!(took < 30 * SECOND, "{took}");
}

#[test]
fn a_lost_path_between_two_proxies_is_no_death() {
    for one_way in [true, false] {
        let mut simulation = settled(8);
        let since = simulation.now;
        simulation.connects =
            Box::new(move |from, to| !(from == 1 && to == 2 || !one_way && from == 2 && to == 1));
        simulation.run_for(300 * SECOND);
        assert_eq!(simulation.false_deaths(since, |_| true), 0);
    }
}

#[test]
fn a_proxy_that_nobody_hears_is_declared_dead_and_rejoins() {
    let mut simulation = settled(9);
    simulation.connects = Box::new(|from, to| from != 3 || to == 3);
    simulation.run_for(60 * SECOND);
    assert!((0..FLEET_SIZE).filter(|&node| node != 3).all(|node| simulation.alive(node) == FLEET_SIZE - 1));
    assert!(simulation.nodes[3].changes.iter().any(|learnt| learnt.change == Change::Rejoined));
    // Meanwhile it hears the others, so it declares hardly anybody dead.
    simulation.connects = Box::new(|_, _| true);
    assert!(simulation.run_until_all_see(&all(), FLEET_SIZE, 60 * SECOND).is_some());
}

#[test]
fn datagrams_of_other_fleets_versions_and_networks_are_dropped_and_counted() {
    let mut simulation = Simulation::new(6, 10);
    (3..6).for_each(|node| simulation.set_fleet(node, "another"));
    simulation.start_all();
    simulation.run_for(30 * SECOND);
    assert!((0..6).all(|node| simulation.alive(node) == 3), "each fleet by itself");
    assert!(simulation.nodes[0].membership.as_ref().unwrap().dropped().unknown_fleet > 0);
    let membership = simulation.nodes[0].membership.as_mut().unwrap();
    let home = "127.0.0.1".parse().unwrap();
    let away = "10.1.1.1".parse().unwrap();
    let before = membership.dropped();
    let _ = membership.receive(0, away, b"whatever");
    let _ = membership.receive(0, home, b"whatever it may be");
    let _ = membership.receive(0, home, &[0xa1, 0xdf, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let now = membership.dropped();
    assert_eq!(now.unknown_network - before.unknown_network, 1);
    assert_eq!(
        (now.not_membership - before.not_membership, now.unsupported_version - before.unsupported_version),
        (1, 1)
    );
}

#[test]
fn of_two_proxies_with_one_name_the_earlier_falls_silent() {
    let mut simulation = Simulation::new(6, 11);
    let peers = || {
        vec![SeedAddress { name: None, address: address(0) }, SeedAddress { name: None, address: address(1) }]
    };
    (0..5).for_each(|node| simulation.start(node));
    simulation.run_for(10 * SECOND);
    simulation.start_as(5, "n4", peers());
    simulation.run_for(20 * SECOND);
    let displaced = |node: usize| {
        let mut heard = simulation.nodes[node].changes.iter();
        heard.any(|learnt| matches!(&learnt.change, Change::Superseded(by) if by.address == address(5)))
    };
    assert!(displaced(4) && !displaced(5));
    assert_eq!(simulation.alive(0), 5);
    let known = simulation.nodes[0].membership.as_ref().unwrap();
    assert!(known.alive().any(|peer| &*peer.name == "n4" && peer.address == address(5)));
}

#[test]
fn traffic_per_proxy_does_not_grow_with_the_fleet() {
    let sent = |count: usize| {
        let mut simulation = Simulation::new(count, 12);
        simulation.periods = ProtocolPeriods::for_fleet_size(300);
        simulation.start_all();
        simulation.run_for(60 * SECOND);
        let before: u64 = simulation.nodes.iter().map(|node| node.bytes_sent).sum();
        simulation.run_for(60 * SECOND);
        let after: u64 = simulation.nodes.iter().map(|node| node.bytes_sent).sum();
        (after - before) as f64 / count as f64 / 60.0
    };
    let (few, many) = (sent(10), sent(100));
    assert!(many < 1.5 * few && many < 2_000.0, "{few} {many} bytes a second a proxy");
}

#[test]
fn random_datagrams_do_not_disturb_the_membership() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let limits = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let bytes = vec(vec(0u8.., 0..200), 1..20);
    TestRunner::new_with_rng(limits, rng)
        .run(&(bytes, 0u64..1 << 30), |(datagrams, seed)| {
            let mut simulation = Simulation::new(3, seed);
            simulation.start_all();
            simulation.run_for(5 * SECOND);
            for (at, datagram) in datagrams.into_iter().enumerate() {
                let inner = frame::encode_gossip(frame::fleet_tag("f"), &datagram);
                let whole = if at % 2 == 0 { inner } else { datagram };
                let home = "127.0.0.1".parse().unwrap();
                let now = simulation.now;
                let _ = simulation.nodes[0].membership.as_mut().unwrap().receive(now, home, &whole);
            }
            simulation.run_for(20 * SECOND);
            assert_eq!(simulation.alive(0), 3);
            Ok(())
        })
        .unwrap();
}

#[test]
fn live_proxies_agree_after_any_sequence_of_faults() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let limits = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..8, 0usize..8, 0i64..8_000), 5..40);
    TestRunner::new_with_rng(limits, rng)
        .run(&(steps, 0u64..1 << 30), |(steps, seed)| {
            let mut simulation = Simulation::new(8, seed);
            simulation.start_all();
            for (kind, node, time) in steps {
                match kind {
                    0 => simulation.kill(node),
                    1 if simulation.nodes[node].membership.is_none() => simulation.start(node),
                    2 => simulation.stall(node),
                    3 => simulation.resume(node),
                    4 => {
                        let cut = node;
                        simulation.connects = Box::new(move |from, to| (from < cut) == (to < cut));
                    }
                    5 => simulation.connects = Box::new(|_, _| true),
                    6 => simulation.loss = node as f64 / 20.0,
                    _ => simulation.run_for(time * MILLISECOND),
                }
                let running = (0..8).filter(|&node| simulation.nodes[node].membership.is_some());
                assert!(running.into_iter().all(|node| simulation.alive(node) <= 8));
            }
            (0..8).for_each(|node| simulation.resume(node));
            simulation.connects = Box::new(|_, _| true);
            simulation.loss = 0.0;
            let living: Vec<usize> =
                (0..8).filter(|&node| simulation.nodes[node].membership.is_some()).collect();
            simulation.run_for(60 * SECOND);
            let took = simulation.run_until_all_see(&living, living.len(), 120 * SECOND);
            assert!(
                took.is_some(),
                "{:?}",
                living.iter().map(|&node| simulation.alive(node)).collect::<Vec<_>>()
            );
            Ok(())
        })
        .unwrap();
}
