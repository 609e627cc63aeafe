//! A proxy starts again under a wall clock that was set back, so that its start has a lower number than the one before.
//!
//! Others took it for the earlier start: they answered with notice of a later one, and it fell silent for its whole life,
//! so that capacity was divided by a fleet without it and it could hold no lease. The log had `superseded by a later start`
//! whose address was its own.

mod common;

use aldermill_membership::{Change, Peer, SeedAddress};
use common::{MILLISECOND, SECOND, Simulation, address};

const HOUR: i64 = 3_600 * SECOND;
const FLEET_SIZE: usize = 6;
/// All but the last run from the start on.
const SPARE: usize = FLEET_SIZE - 1;

fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(FLEET_SIZE, seed);
    (0..SPARE).for_each(|node| simulation.start(node));
    simulation.run_for(20 * SECOND);
    simulation
}

fn seeds() -> Vec<SeedAddress> {
    (0..2).map(|node| SeedAddress { name: None, address: address(node) }).collect()
}

/// How the others know the proxy of that name, once all know the same.
fn known_as(simulation: &Simulation, name: &str, others: &[usize]) -> Peer {
    let known = |&node: &usize| {
        let membership = simulation.nodes[node].membership.as_ref().unwrap();
        membership.alive().find(|peer| &*peer.name == name).cloned()
    };
    let all: Vec<Option<Peer>> = others.iter().map(known).collect();
    assert!(all.windows(2).all(|pair| pair[0] == pair[1]), "{all:?}");
    all[0].clone().expect("known to the others")
}

fn was_superseded(simulation: &Simulation, node: usize) -> bool {
    simulation.nodes[node].changes.iter().any(|learnt| matches!(learnt.change, Change::Superseded(_)))
}

/// Proxy 4 starts again, so long after its end, under a clock set back by so much; the others know that start.
fn assert_heard_after_restart(seed: u64, down_for: i64, step: i64) {
    let mut simulation = settled(seed);
    simulation.kill(4);
    simulation.run_for(down_for);
    simulation.wall_clock_step = -step;
    simulation.start(4);
    simulation.run_for(20 * SECOND);
    let local = simulation.nodes[4].membership.as_ref().unwrap().local().clone();
    assert_eq!(known_as(&simulation, "n4", &[0, 1, 2, 3]), local, "down {down_for}, step {step}");
    assert!(!was_superseded(&simulation, 4));
    assert_eq!((0..SPARE).map(|node| simulation.alive(node)).collect::<Vec<_>>(), [SPARE; SPARE]);
}

#[test]
fn a_restarted_proxy_is_heard_whether_its_death_was_noticed_or_not() {
    for (seed, down_for) in (0..).zip([MILLISECOND, 100 * MILLISECOND, 5 * SECOND, 10 * SECOND, 40 * SECOND])
    {
        for step in [2 * SECOND, 60 * SECOND, HOUR] {
            assert_heard_after_restart(seed, down_for, step);
        }
    }
}

#[test]
fn a_proxy_that_restarts_again_and_again_under_a_clock_set_back_is_heard_each_time() {
    let mut simulation = settled(1);
    for _ in 0..4 {
        simulation.wall_clock_step -= HOUR;
        simulation.kill(4);
        simulation.start(4);
        simulation.run_for(3 * SECOND);
    }
    simulation.run_for(20 * SECOND);
    let local = simulation.nodes[4].membership.as_ref().unwrap().local().clone();
    assert_eq!(known_as(&simulation, "n4", &[0, 1, 2, 3]), local);
}

#[test]
fn a_proxy_moved_to_another_address_under_a_clock_set_back_is_heard() {
    let mut simulation = settled(2);
    simulation.kill(4);
    simulation.wall_clock_step = -HOUR;
    simulation.start_as(SPARE, "n4", seeds());
    simulation.run_for(20 * SECOND);
    assert_eq!(known_as(&simulation, "n4", &[0, 1, 2, 3]).address, address(SPARE));
}

#[test]
fn of_two_running_proxies_with_one_name_the_earlier_falls_silent_though_the_clock_was_set_back() {
    let mut simulation = settled(3);
    simulation.wall_clock_step = -HOUR;
    simulation.start_as(SPARE, "n4", seeds());
    simulation.run_for(20 * SECOND);
    assert_eq!(known_as(&simulation, "n4", &[0, 1, 2, 3]).address, address(SPARE));
    assert!(was_superseded(&simulation, 4) && !was_superseded(&simulation, SPARE));
}

#[test]
fn of_two_proxies_with_one_name_that_start_together_one_falls_silent() {
    let mut simulation = Simulation::new(FLEET_SIZE, 4);
    (0..SPARE).for_each(|node| simulation.start(node));
    simulation.start_as(SPARE, "n4", seeds());
    simulation.run_for(30 * SECOND);
    let silent = [4, SPARE].map(|node| was_superseded(&simulation, node));
    assert!(silent[0] != silent[1], "{silent:?}");
    let renumbered = |node: usize| {
        let changes = simulation.nodes[node].changes.iter();
        changes.filter(|learnt| matches!(learnt.change, Change::Renumbered(_))).count()
    };
    assert!(renumbered(4) + renumbered(SPARE) <= 8, "it ends");
}
