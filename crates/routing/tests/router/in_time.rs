//! What is late, may have run, or fell into a standstill.

use crate::simulation::{
    ANY_AGE_READ, DEDUPLICATED_WRITE, MS, RECENT_READ, STALENESS_BOUND, Simulation, WRITE,
    checked_simulation, large_fleet_config, router_config, target,
};
use aldermill_routing::{MemberReport, MemberStatus, Role, Verdict};

#[test]
fn what_may_have_run_is_failed_or_repeated_within_its_receipt() {
    let mut world = checked_simulation(router_config());
    let effectful = world.submit(WRITE, 2_000 * MS);
    world.end_attempt(effectful, Verdict::Error);
    assert_eq!((world.attempted.len(), &world.failed[..]), (1, &[effectful][..]));
    let receipted = world.submit(DEDUPLICATED_WRITE, 60_000 * MS);
    world.end_attempt(receipted, Verdict::Error);
    assert_eq!(target(&world, receipted), Some(0), "its receipt drops repeats");
    world.advance(2_100 * MS);
    world.end_attempt(receipted, Verdict::Reset);
    assert_eq!(world.failed, [effectful, receipted]);
}

#[test]
fn a_late_report_does_not_bring_back_a_demoted_primary() {
    let mut world = checked_simulation(router_config());
    world.save_report(0);
    world.advance(STALENESS_BOUND + 10 * MS);
    world.move_primary(1);
    let write = world.submit(WRITE, 2_000 * MS);
    world.end_attempt(write, Verdict::NotPrimary);
    world.deliver_saved_report(0);
    world.advance(STALENESS_BOUND + 10 * MS);
    let read = world.submit(RECENT_READ, 1_000 * MS);
    assert_ne!(target(&world, read), Some(0));
}

#[test]
fn a_try_too_late_for_its_latency_objective_is_rejected_at_once() {
    let mut world = checked_simulation(router_config());
    let soon = world.submit_marked(RECENT_READ, 1_900 * MS, true);
    assert!(target(&world, soon).is_some());
    let later = world.submit_marked(RECENT_READ, 1_400 * MS, true);
    assert_eq!(world.rejected, [later]);
    let late_but_paid = world.submit_marked(ANY_AGE_READ, 1_400 * MS, true);
    assert!(target(&world, late_but_paid).is_some());
}

#[test]
fn what_was_never_attempted_and_pays_little_when_late_is_rejected_by_half_of_its_time() {
    let mut world = checked_simulation(router_config());
    (0..4).for_each(|id| world.update_list_entry(id, MemberStatus::Unlisted, None));
    let (read, write) = (world.submit(ANY_AGE_READ, 1_600 * MS), world.submit(WRITE, 1_600 * MS));
    world.advance(700 * MS);
    assert!(world.rejected.is_empty());
    world.advance(140 * MS);
    assert_eq!(world.rejected, [read]);
    world.advance(600 * MS);
    assert_eq!(world.rejected, [read, write]);
}

#[test]
fn a_driver_among_many_attempts_nothing_that_pays_only_a_small_late_priority_weight() {
    let mut world = checked_simulation(large_fleet_config());
    // Of two seconds in all 0.6 s have gone by: the quoted half a second as well.
    let (read, write) =
        (world.submit_marked(ANY_AGE_READ, 1_400 * MS, true), world.submit_marked(WRITE, 1_400 * MS, true));
    assert_eq!(world.rejected, [read]);
    assert_eq!(target(&world, write), Some(0), "half of its priority weight is left");
}

#[test]
fn what_fell_into_a_standstill_counts_against_no_member() {
    let mut world = checked_simulation(router_config());
    for _ in 0..4 {
        let write = world.submit(WRITE, 1_000 * MS);
        assert_eq!(target(&world, write), Some(0));
    }
    world.advance(20 * MS);
    world.health_checks.clear();
    world.stall(2_500 * MS);
    assert_eq!((world.failed.len(), world.rejected.len()), (4, 0), "they may have run");
    world.advance(20 * MS);
    assert!(world.health_checks.is_empty(), "nobody is asked for having been silent then");
    (0..5).for_each(|_| world.end_health_check_with_verdict(0, Verdict::Unobserved));
    let write = world.submit(WRITE, 1_000 * MS);
    assert_eq!(target(&world, write), Some(0), "neither mute, lost nor blacklisted");
}

#[test]
fn a_word_read_late_is_as_old_as_it_is() {
    let mut world = checked_simulation(router_config());
    let now = world.now;
    // Member 2 says that it is primary, and after that member 0 is read, which said so before.
    let (role, position) = (Some(Role::Primary), None);
    world.move_primary(2);
    world.end_health_check(2, true);
    world.now += 2_500 * MS;
    world.router.stall_ended(world.now, 2_500 * MS);
    let report = MemberReport { role, position, age: world.now - now + 100 * MS };
    let _ = world.router.health_checked(world.now, 0, Verdict::Served, MS, report);
    let write = world.submit(WRITE, 1_000 * MS);
    assert_eq!(target(&world, write), Some(2));
}

#[test]
fn after_a_standstill_attempts_go_out_at_less_than_twice_the_usual_pace() {
    let mut world = checked_simulation(router_config());
    let step = |world: &mut Simulation, requests: usize| -> usize {
        let before = world.attempted.len();
        for _ in 0..5 {
            for _ in 0..requests {
                world.submit(ANY_AGE_READ, 1_500 * MS);
            }
            world.in_flight().into_iter().for_each(|(handle, _)| world.end_attempt(handle, Verdict::Served));
            world.advance(20 * MS);
            world.in_flight().into_iter().for_each(|(handle, _)| world.end_attempt(handle, Verdict::Served));
        }
        world.attempted.len() - before
    };
    for _ in 0..60 {
        step(&mut world, 1);
    }
    let usual = step(&mut world, 1);
    world.stall(2_500 * MS);
    for _ in 0..40 {
        world.submit(ANY_AGE_READ, 1_500 * MS);
    }
    let counts: Vec<usize> = (0..10).map(|_| step(&mut world, 1)).collect();
    assert!(counts.iter().all(|&count| count <= 2 * usual), "{counts:?}, usual {usual}");
    assert!(counts[..4].iter().sum::<usize>() > 6 * usual, "and what can be served is: {counts:?}");
}

#[test]
fn a_driver_that_had_no_turn_for_a_moment_goes_on_as_it_was() {
    let mut world = checked_simulation(router_config());
    world.advance(20 * MS);
    world.stall(100 * MS);
    for _ in 0..12 {
        world.submit(ANY_AGE_READ, 1_500 * MS);
    }
    assert!(world.attempted.len() >= 8, "{} attempted", world.attempted.len());
}
