//! A fleet in virtual time, whose proxies are started, killed, stalled, partitioned and configured with
//! duplicate names.

mod common;

use aldermill_membership::{Change, ProtocolPeriods, SeedAddress, Snapshot, frame};
use common::{MILLISECOND, SECOND, Simulation, address};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const FLEET_SIZE: usize = 20;

/// Returns the indices of all nodes.
fn all_nodes() -> Vec<usize> {
    (0..FLEET_SIZE).collect()
}

/// Returns a simulation of a fleet whose proxies all know each other.
fn settled_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(FLEET_SIZE, seed);
    simulation.start_all();
    assert!(
        simulation.run_until_all_see(&all_nodes(), FLEET_SIZE, 20 * SECOND).is_some(),
        "the proxies discover each other"
    );
    simulation.run_for(10 * SECOND);
    simulation
}

#[test]
fn proxies_started_together_discover_each_other_without_false_deaths() {
    let mut simulation = Simulation::new(FLEET_SIZE, 1);
    simulation.start_all();
    let elapsed = simulation
        .run_until_all_see(&all_nodes(), FLEET_SIZE, 20 * SECOND)
        .expect("the proxies discover each other");
    assert!(elapsed < 5 * SECOND, "{elapsed}");
    simulation.run_for(120 * SECOND);
    assert_eq!(simulation.false_death_reports(0, |_| true), 0);
    let snapshot = simulation.snapshot(3);
    assert_eq!(
        snapshot,
        Snapshot { alive: FLEET_SIZE, most_alive: FLEET_SIZE, is_certain: true, may_be_minority: false }
    );
    assert_eq!((snapshot.quota_divisor(40), snapshot.warm_up_quota_divisor(40)), (20, 40));
}

#[test]
fn a_death_reaches_all_and_a_restart_replaces_the_earlier_instance() {
    let mut simulation = settled_simulation(2);
    simulation.kill(7);
    let remaining: Vec<usize> = all_nodes().into_iter().filter(|&node| node != 7).collect();
    let elapsed = simulation
        .run_until_all_see(&remaining, FLEET_SIZE - 1, 30 * SECOND)
        .expect("all remaining proxies learn of it");
    assert!(elapsed < 12 * SECOND, "{elapsed}");
    assert_eq!(simulation.false_death_reports(0, |name| name != "n7"), 0);
    simulation.start(7);
    assert!(simulation.run_until_all_see(&all_nodes(), FLEET_SIZE, 10 * SECOND).is_some());
    // A proxy that restarts before its death was noticed is announced as a new instance all the same.
    let since = simulation.now;
    simulation.kill(8);
    simulation.start(8);
    simulation.run_for(5 * SECOND);
    let learnt_of_restart = |node: usize| {
        let is_restart = |change: &Change| matches!(change, Change::Restarted(peer) | Change::Up(peer) if &*peer.name == "n8");
        simulation.nodes[node].changes.iter().any(|learnt| learnt.at >= since && is_restart(&learnt.change))
    };
    assert!(all_nodes().into_iter().filter(|&node| node != 8).all(learnt_of_restart));
    assert_eq!(simulation.alive_count(0), FLEET_SIZE);
}

#[test]
fn a_departure_reaches_all_within_two_seconds() {
    let mut simulation = settled_simulation(3);
    simulation.leave(4);
    let remaining: Vec<usize> = all_nodes().into_iter().filter(|&node| node != 4).collect();
    let elapsed = simulation
        .run_until_all_see(&remaining, FLEET_SIZE - 1, 10 * SECOND)
        .expect("all remaining proxies learn of it");
    assert!(elapsed <= 2 * SECOND, "{elapsed}");
}

#[test]
fn no_running_proxy_is_declared_dead_while_others_stall_and_return() {
    for (seed, stall_time) in [(4, 500 * MILLISECOND), (5, 3 * SECOND), (6, 30 * SECOND)] {
        let mut simulation = settled_simulation(seed);
        let since = simulation.now;
        (0..14).for_each(|node| simulation.stall(node));
        simulation.run_for(stall_time);
        let resumed_at = simulation.now;
        (0..14).for_each(|node| simulation.resume(node));
        assert!(!simulation.snapshot(0).is_certain, "the count is uncertain right after a stall");
        assert_eq!(simulation.snapshot(0).quota_divisor(40), 40);
        let elapsed = simulation.run_until_all_see(&all_nodes(), FLEET_SIZE, 30 * SECOND);
        assert!(elapsed.is_some_and(|elapsed| elapsed < 15 * SECOND), "{stall_time}: {elapsed:?}");
        simulation.run_for(30 * SECOND);
        // The running proxies may declare the stalled ones dead, but nobody may declare a running one dead.
        let was_running = |name: &str| name[1..].parse::<usize>().unwrap() >= 14;
        assert_eq!(simulation.false_death_reports(since, was_running), 0, "{stall_time}");
        let changes_at_resumed = simulation.nodes[..14].iter().flat_map(|node| &node.changes);
        let down_reports = changes_at_resumed
            .filter(|learnt| learnt.at >= resumed_at && matches!(learnt.change, Change::Down(_)));
        // The resumed proxies may learn of each other's death, which the running ones had declared, until
        // they hear from each other again.
        assert!(down_reports.count() <= 14 * 14);
        assert!(
            all_nodes().into_iter().all(
                |node| simulation.snapshot(node).is_certain && simulation.alive_count(node) == FLEET_SIZE
            )
        );
    }
}

#[test]
fn a_partitioned_minority_detects_that_it_may_be_one_and_the_fleet_reunites() {
    let mut simulation = settled_simulation(7);
    simulation.can_reach = Box::new(|from, to| (from < 8) == (to < 8));
    simulation.run_for(60 * SECOND);
    for node in all_nodes() {
        let snapshot = simulation.snapshot(node);
        let part_size = if node < 8 { 8 } else { 12 };
        assert_eq!(
            (snapshot.alive, snapshot.most_alive, snapshot.may_be_minority),
            (part_size, FLEET_SIZE, node < 8)
        );
        assert_eq!(snapshot.warm_up_quota_divisor(FLEET_SIZE), FLEET_SIZE);
    }
    simulation.can_reach = Box::new(|_, _| true);
    let elapsed =
        simulation.run_until_all_see(&all_nodes(), FLEET_SIZE, 60 * SECOND).expect("the parts reunite");
    assert!(elapsed < 30 * SECOND, "{elapsed}");
}

#[test]
fn a_lost_path_between_two_proxies_causes_no_false_death() {
    for one_way in [true, false] {
        let mut simulation = settled_simulation(8);
        let since = simulation.now;
        simulation.can_reach =
            Box::new(move |from, to| !(from == 1 && to == 2 || !one_way && from == 2 && to == 1));
        simulation.run_for(300 * SECOND);
        assert_eq!(simulation.false_death_reports(since, |_| true), 0);
    }
}

#[test]
fn a_proxy_whose_datagrams_are_lost_is_declared_dead_and_rejoins() {
    let mut simulation = settled_simulation(9);
    simulation.can_reach = Box::new(|from, to| from != 3 || to == 3);
    simulation.run_for(60 * SECOND);
    assert!(
        (0..FLEET_SIZE).filter(|&node| node != 3).all(|node| simulation.alive_count(node) == FLEET_SIZE - 1)
    );
    assert!(simulation.nodes[3].changes.iter().any(|learnt| learnt.change == Change::Rejoined));
    // Node 3 has received the others' datagrams all the time, so it declares hardly any of them dead.
    simulation.can_reach = Box::new(|_, _| true);
    assert!(simulation.run_until_all_see(&all_nodes(), FLEET_SIZE, 60 * SECOND).is_some());
}

#[test]
fn datagrams_of_other_fleets_versions_and_networks_are_dropped_and_counted() {
    let mut simulation = Simulation::new(6, 10);
    (3..6).for_each(|node| simulation.set_fleet(node, "another"));
    simulation.start_all();
    simulation.run_for(30 * SECOND);
    assert!((0..6).all(|node| simulation.alive_count(node) == 3), "each proxy knows its own fleet only");
    assert!(simulation.nodes[0].membership.as_ref().unwrap().dropped().unknown_fleet > 0);
    let membership = simulation.nodes[0].membership.as_mut().unwrap();
    let loopback = "127.0.0.1".parse().unwrap();
    let outside_address = "10.1.1.1".parse().unwrap();
    let dropped_before = membership.dropped();
    let _ = membership.receive(0, outside_address, b"whatever");
    let _ = membership.receive(0, loopback, b"whatever it may be");
    let _ = membership.receive(0, loopback, &[0xa1, 0xdf, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let dropped_after = membership.dropped();
    assert_eq!(dropped_after.unknown_network - dropped_before.unknown_network, 1);
    assert_eq!(
        (
            dropped_after.not_membership - dropped_before.not_membership,
            dropped_after.unsupported_version - dropped_before.unsupported_version
        ),
        (1, 1)
    );
}

#[test]
fn of_two_instances_of_one_name_the_earlier_is_superseded() {
    let mut simulation = Simulation::new(6, 11);
    let seeds = || {
        vec![SeedAddress { name: None, address: address(0) }, SeedAddress { name: None, address: address(1) }]
    };
    (0..5).for_each(|node| simulation.start(node));
    simulation.run_for(10 * SECOND);
    simulation.start_as(5, "n4", seeds());
    simulation.run_for(20 * SECOND);
    let was_superseded = |node: usize| {
        let mut changes = simulation.nodes[node].changes.iter();
        changes.any(|learnt| matches!(&learnt.change, Change::Superseded(by) if by.address == address(5)))
    };
    assert!(was_superseded(4) && !was_superseded(5));
    assert_eq!(simulation.alive_count(0), 5);
    let membership = simulation.nodes[0].membership.as_ref().unwrap();
    assert!(membership.alive().any(|peer| &*peer.name == "n4" && peer.address == address(5)));
}

#[test]
fn traffic_per_proxy_does_not_grow_with_the_fleet() {
    let bytes_per_proxy_and_second = |fleet_size: usize| {
        let mut simulation = Simulation::new(fleet_size, 12);
        simulation.periods = ProtocolPeriods::for_fleet_size(300);
        simulation.start_all();
        simulation.run_for(60 * SECOND);
        let bytes_before: u64 = simulation.nodes.iter().map(|node| node.bytes_sent).sum();
        simulation.run_for(60 * SECOND);
        let bytes_after: u64 = simulation.nodes.iter().map(|node| node.bytes_sent).sum();
        (bytes_after - bytes_before) as f64 / fleet_size as f64 / 60.0
    };
    let (small_fleet, large_fleet) = (bytes_per_proxy_and_second(10), bytes_per_proxy_and_second(100));
    assert!(
        large_fleet < 1.5 * small_fleet && large_fleet < 2_000.0,
        "{small_fleet} and {large_fleet} bytes per second and proxy"
    );
}

#[test]
fn random_datagrams_do_not_disturb_the_membership() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let datagram_lists = vec(vec(0u8.., 0..200), 1..20);
    TestRunner::new_with_rng(config, rng)
        .run(&(datagram_lists, 0u64..1 << 30), |(datagrams, seed)| {
            let mut simulation = Simulation::new(3, seed);
            simulation.start_all();
            simulation.run_for(5 * SECOND);
            for (index, datagram) in datagrams.into_iter().enumerate() {
                let framed = frame::encode_gossip(frame::fleet_tag("f"), &datagram);
                let bytes = if index % 2 == 0 { framed } else { datagram };
                let loopback = "127.0.0.1".parse().unwrap();
                let now = simulation.now;
                let _ = simulation.nodes[0].membership.as_mut().unwrap().receive(now, loopback, &bytes);
            }
            simulation.run_for(20 * SECOND);
            assert_eq!(simulation.alive_count(0), 3);
            Ok(())
        })
        .unwrap();
}

#[test]
fn live_proxies_agree_after_any_sequence_of_faults() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..8, 0usize..8, 0i64..8_000), 5..40);
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, 0u64..1 << 30), |(steps, seed)| {
            let mut simulation = Simulation::new(8, seed);
            simulation.start_all();
            for (kind, node, time_ms) in steps {
                match kind {
                    0 => simulation.kill(node),
                    1 if simulation.nodes[node].membership.is_none() => simulation.start(node),
                    2 => simulation.stall(node),
                    3 => simulation.resume(node),
                    4 => {
                        let boundary = node;
                        simulation.can_reach = Box::new(move |from, to| (from < boundary) == (to < boundary));
                    }
                    5 => simulation.can_reach = Box::new(|_, _| true),
                    6 => simulation.loss = node as f64 / 20.0,
                    _ => simulation.run_for(time_ms * MILLISECOND),
                }
                let running = (0..8).filter(|&node| simulation.nodes[node].membership.is_some());
                assert!(running.into_iter().all(|node| simulation.alive_count(node) <= 8));
            }
            (0..8).for_each(|node| simulation.resume(node));
            simulation.can_reach = Box::new(|_, _| true);
            simulation.loss = 0.0;
            let running_nodes: Vec<usize> =
                (0..8).filter(|&node| simulation.nodes[node].membership.is_some()).collect();
            simulation.run_for(60 * SECOND);
            let elapsed = simulation.run_until_all_see(&running_nodes, running_nodes.len(), 120 * SECOND);
            assert!(
                elapsed.is_some(),
                "{:?}",
                running_nodes.iter().map(|&node| simulation.alive_count(node)).collect::<Vec<_>>()
            );
            Ok(())
        })
        .unwrap();
}
