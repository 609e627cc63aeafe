//! Restarts of a proxy under a wall clock that was set back, so that the new instance has a lower start
//! number than the earlier one.
//!
//! The tests guard against others that take the new instance for an earlier one. They would answer with a
//! later instance notice, so that the proxy would send nothing for the rest of its run: the fleet would
//! divide capacity without counting it, it could hold no lease, and its log would report that an instance at
//! its own address had superseded it.

mod common;

use aldermill_membership::{Change, Peer, SeedAddress};
use common::{MILLISECOND, SECOND, Simulation, address};

const HOUR: i64 = 3_600 * SECOND;
const FLEET_SIZE: usize = 6;
/// Node that does not run at first; all the others do.
const SPARE_NODE: usize = FLEET_SIZE - 1;

/// Returns a simulation in which all nodes but the spare one have run for 20 s.
fn settled_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(FLEET_SIZE, seed);
    (0..SPARE_NODE).for_each(|node| simulation.start(node));
    simulation.run_for(20 * SECOND);
    simulation
}

/// Returns the addresses of the first two nodes as seeds.
fn seeds() -> Vec<SeedAddress> {
    (0..2).map(|node| SeedAddress { name: None, address: address(node) }).collect()
}

/// Returns the identity under which all observers know the live proxy named `name`. Panics if they disagree
/// or do not know it.
fn agreed_peer(simulation: &Simulation, name: &str, observers: &[usize]) -> Peer {
    let known_peer = |&node: &usize| {
        let membership = simulation.nodes[node].membership.as_ref().unwrap();
        membership.alive().find(|peer| &*peer.name == name).cloned()
    };
    let known_peers: Vec<Option<Peer>> = observers.iter().map(known_peer).collect();
    assert!(known_peers.windows(2).all(|pair| pair[0] == pair[1]), "{known_peers:?}");
    known_peers[0].clone().expect("the observers know the proxy")
}

/// Returns whether a proxy on this node was superseded by a later instance of its name.
fn was_superseded(simulation: &Simulation, node: usize) -> bool {
    simulation.nodes[node].changes.iter().any(|learnt| matches!(learnt.change, Change::Superseded(_)))
}

/// Kills node 4 and restarts it after `downtime` under a wall clock set back by `set_back_by`, both in
/// microseconds. Checks that the others accept the new instance.
fn assert_accepted_after_restart(seed: u64, downtime: i64, set_back_by: i64) {
    let mut simulation = settled_simulation(seed);
    simulation.kill(4);
    simulation.run_for(downtime);
    simulation.wall_clock_offset = -set_back_by;
    simulation.start(4);
    simulation.run_for(20 * SECOND);
    let local = simulation.nodes[4].membership.as_ref().unwrap().local().clone();
    assert_eq!(
        agreed_peer(&simulation, "n4", &[0, 1, 2, 3]),
        local,
        "down for {downtime} us, clock set back by {set_back_by} us"
    );
    assert!(!was_superseded(&simulation, 4));
    assert_eq!(
        (0..SPARE_NODE).map(|node| simulation.alive_count(node)).collect::<Vec<_>>(),
        [SPARE_NODE; SPARE_NODE]
    );
}

#[test]
fn a_restarted_proxy_is_accepted_whether_its_death_was_noticed_or_not() {
    for (seed, downtime) in (0..).zip([MILLISECOND, 100 * MILLISECOND, 5 * SECOND, 10 * SECOND, 40 * SECOND])
    {
        for set_back_by in [2 * SECOND, 60 * SECOND, HOUR] {
            assert_accepted_after_restart(seed, downtime, set_back_by);
        }
    }
}

#[test]
fn a_proxy_is_accepted_after_repeated_restarts_under_a_clock_set_back_further_each_time() {
    let mut simulation = settled_simulation(1);
    for _ in 0..4 {
        simulation.wall_clock_offset -= HOUR;
        simulation.kill(4);
        simulation.start(4);
        simulation.run_for(3 * SECOND);
    }
    simulation.run_for(20 * SECOND);
    let local = simulation.nodes[4].membership.as_ref().unwrap().local().clone();
    assert_eq!(agreed_peer(&simulation, "n4", &[0, 1, 2, 3]), local);
}

#[test]
fn a_proxy_moved_to_another_address_under_a_clock_set_back_is_accepted() {
    let mut simulation = settled_simulation(2);
    simulation.kill(4);
    simulation.wall_clock_offset = -HOUR;
    simulation.start_as(SPARE_NODE, "n4", seeds());
    simulation.run_for(20 * SECOND);
    assert_eq!(agreed_peer(&simulation, "n4", &[0, 1, 2, 3]).address, address(SPARE_NODE));
}

#[test]
fn of_two_running_instances_of_one_name_the_earlier_is_superseded_although_the_clock_was_set_back() {
    let mut simulation = settled_simulation(3);
    simulation.wall_clock_offset = -HOUR;
    simulation.start_as(SPARE_NODE, "n4", seeds());
    simulation.run_for(20 * SECOND);
    assert_eq!(agreed_peer(&simulation, "n4", &[0, 1, 2, 3]).address, address(SPARE_NODE));
    assert!(was_superseded(&simulation, 4) && !was_superseded(&simulation, SPARE_NODE));
}

#[test]
fn of_two_instances_of_one_name_that_start_together_one_is_superseded() {
    let mut simulation = Simulation::new(FLEET_SIZE, 4);
    (0..SPARE_NODE).for_each(|node| simulation.start(node));
    simulation.start_as(SPARE_NODE, "n4", seeds());
    simulation.run_for(30 * SECOND);
    let superseded = [4, SPARE_NODE].map(|node| was_superseded(&simulation, node));
    assert!(superseded[0] != superseded[1], "{superseded:?}");
    let renumber_count = |node: usize| {
        let changes = simulation.nodes[node].changes.iter();
        changes.filter(|learnt| matches!(learnt.change, Change::Renumbered(_))).count()
    };
    assert!(
        renumber_count(4) + renumber_count(SPARE_NODE) <= 8,
        "the instances stop raising their start numbers"
    );
}
