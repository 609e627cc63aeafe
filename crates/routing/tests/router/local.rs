//! Attempts that this machine could not send.

use crate::world::{LOOSE, MS, WRITE, World, heard, target, terms};
use aldermill_routing::{RouterConfig, Verdict};

/// Every attempt out ends as one that could not leave.
fn fail_all(world: &mut World) {
    world.out().into_iter().for_each(|(handle, _)| world.end(handle, Verdict::LocalFailure));
}

#[test]
fn a_write_that_cannot_leave_is_tried_again_for_as_long_as_its_deadline_allows() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 1_500 * MS);
    for _ in 0..100 {
        fail_all(&mut world);
        world.pass(10 * MS);
    }
    let tries = world.attempted.len();
    assert!((10..60).contains(&tries), "{tries} tries in a second");
    assert!(world.rejected.is_empty() && world.failed.is_empty());
    world.pass(100 * MS);
    assert_eq!(target(&world, write), Some(0), "the primary is as believed as before");
    world.end(write, Verdict::Served);
    assert!(world.rejected.is_empty() && world.failed.is_empty());
}

#[test]
fn attempts_that_cannot_leave_cost_their_members_nothing() {
    let mut world = heard(terms());
    // More in a row than failures that blacklist a member; what still waits is given up by its own deadline.
    for round in 0..60 {
        if round < 40 {
            world.take(LOOSE, 200 * MS);
        }
        fail_all(&mut world);
        world.pass(20 * MS);
    }
    assert!(world.out().is_empty());
    world.pass(1_100 * MS);
    let reads: Vec<_> = (0..12).map(|_| world.take(LOOSE, 1_500 * MS)).collect();
    for id in 1..4 {
        assert!(reads.iter().any(|&read| target(&world, read) == Some(id)), "{id}: {:?}", world.out());
    }
}

#[test]
fn members_with_idle_connections_come_first_and_new_ones_are_opened_one_by_one() {
    let mut world = heard(terms());
    let reads: Vec<_> = (0..6).map(|_| world.take(LOOSE, 1_500 * MS)).collect();
    assert_eq!(world.out().len(), 6);
    let ends = |world: &World, id| world.out().into_iter().find(|&(_, at)| at == id).expect("out there").0;
    // All find no connection, but for one at member 1, which was answered.
    let answered = ends(&world, 1);
    fail_all_but(&mut world, answered);
    let before = world.attempted.len();
    world.end(answered, Verdict::Served);
    assert_eq!(world.attempted.len(), before + 1, "one waits no longer");
    assert_eq!(world.attempted[before].1, 1, "where a connection is idle");
    // Connections can be opened again: those that wait come a few at a time.
    let waiting = reads.len() - 2;
    world.pass(20 * MS);
    assert!(world.attempted.len() - before - 1 < waiting, "{:?}", &world.attempted[before..]);
    world.pass(300 * MS);
    assert_eq!(world.out().len(), waiting + 1, "all are out by now");
}

fn fail_all_but(world: &mut World, kept: aldermill_routing::RequestHandle) {
    loop {
        let failing = world.out().into_iter().find(|&(handle, _)| handle != kept);
        let Some((handle, _)) = failing else { return };
        world.end(handle, Verdict::LocalFailure);
    }
}

#[test]
fn a_member_that_no_path_led_to_is_passed_over_and_not_taken_for_cold() {
    for (verdict, cold) in [(Verdict::Unreachable, false), (Verdict::Unconnected, true)] {
        let mut world = heard(RouterConfig { overload_window: 500 * MS, ..terms() });
        let first = world.take(WRITE, 4_000 * MS);
        world.end(first, verdict);
        assert_eq!(target(&world, first), None, "{verdict:?}: not at once again");
        world.take(WRITE, 4_000 * MS);
        world.pass(1_100 * MS);
        while let Some(&(tried, _)) = world.out().first() {
            world.end(tried, verdict);
        }
        world.pass(990 * MS);
        world.health_check_answer(0, true);
        assert_eq!(world.out().len(), if cold { 1 } else { 2 }, "{verdict:?}");
    }
}
