//! Attempts that this machine could not send.

use crate::simulation::{ANY_AGE_READ, MS, Simulation, WRITE, checked_simulation, router_config, target};
use aldermill_routing::{RouterConfig, Verdict};

/// Every attempt out ends as one that could not leave.
fn fail_all(world: &mut Simulation) {
    world.in_flight().into_iter().for_each(|(handle, _)| world.end_attempt(handle, Verdict::LocalFailure));
}

#[test]
fn a_write_that_cannot_leave_is_tried_again_for_as_long_as_its_deadline_allows() {
    let mut world = checked_simulation(router_config());
    let write = world.submit(WRITE, 1_500 * MS);
    for _ in 0..100 {
        fail_all(&mut world);
        world.advance(10 * MS);
    }
    let tries = world.attempted.len();
    assert!((10..60).contains(&tries), "{tries} tries in a second");
    assert!(world.rejected.is_empty() && world.failed.is_empty());
    world.advance(100 * MS);
    assert_eq!(target(&world, write), Some(0), "the primary is as believed as before");
    world.end_attempt(write, Verdict::Served);
    assert!(world.rejected.is_empty() && world.failed.is_empty());
}

#[test]
fn attempts_that_cannot_leave_cost_their_members_nothing() {
    let mut world = checked_simulation(router_config());
    // More in a row than failures that blacklist a member; what still waits is given up by its own deadline.
    for round in 0..60 {
        if round < 40 {
            world.submit(ANY_AGE_READ, 200 * MS);
        }
        fail_all(&mut world);
        world.advance(20 * MS);
    }
    assert!(world.in_flight().is_empty());
    world.advance(1_100 * MS);
    let reads: Vec<_> = (0..12).map(|_| world.submit(ANY_AGE_READ, 1_500 * MS)).collect();
    for id in 1..4 {
        assert!(reads.iter().any(|&read| target(&world, read) == Some(id)), "{id}: {:?}", world.in_flight());
    }
}

#[test]
fn members_with_idle_connections_come_first_and_new_ones_are_opened_one_by_one() {
    let mut world = checked_simulation(router_config());
    let reads: Vec<_> = (0..6).map(|_| world.submit(ANY_AGE_READ, 1_500 * MS)).collect();
    assert_eq!(world.in_flight().len(), 6);
    let ends = |world: &Simulation, id| {
        world.in_flight().into_iter().find(|&(_, at)| at == id).expect("out there").0
    };
    // All find no connection, but for one at member 1, which was answered.
    let answered = ends(&world, 1);
    fail_all_but(&mut world, answered);
    let before = world.attempted.len();
    world.end_attempt(answered, Verdict::Served);
    assert_eq!(world.attempted.len(), before + 1, "one waits no longer");
    assert_eq!(world.attempted[before].1, 1, "where a connection is idle");
    // Connections can be opened again: those that wait come a few at a time.
    let waiting = reads.len() - 2;
    world.advance(20 * MS);
    assert!(world.attempted.len() - before - 1 < waiting, "{:?}", &world.attempted[before..]);
    world.advance(300 * MS);
    assert_eq!(world.in_flight().len(), waiting + 1, "all are out by now");
}

fn fail_all_but(world: &mut Simulation, kept: aldermill_routing::RequestHandle) {
    loop {
        let failing = world.in_flight().into_iter().find(|&(handle, _)| handle != kept);
        let Some((handle, _)) = failing else { return };
        world.end_attempt(handle, Verdict::LocalFailure);
    }
}

#[test]
fn a_member_that_no_path_led_to_is_passed_over_and_not_taken_for_cold() {
    for (verdict, cold) in [(Verdict::Unreachable, false), (Verdict::Unconnected, true)] {
        let mut world = checked_simulation(RouterConfig { overload_window: 500 * MS, ..router_config() });
        let first = world.submit(WRITE, 4_000 * MS);
        world.end_attempt(first, verdict);
        assert_eq!(target(&world, first), None, "{verdict:?}: not at once again");
        world.submit(WRITE, 4_000 * MS);
        world.advance(1_100 * MS);
        while let Some(&(tried, _)) = world.in_flight().first() {
            world.end_attempt(tried, verdict);
        }
        world.advance(990 * MS);
        world.end_health_check(0, true);
        assert_eq!(world.in_flight().len(), if cold { 1 } else { 2 }, "{verdict:?}");
    }
}
