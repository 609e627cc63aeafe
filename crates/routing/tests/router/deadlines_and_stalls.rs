//! Requests that are late or may have run, reports that are handled late, and stalls of the process.

use crate::simulation::{
    ANY_AGE_READ, DEDUPLICATED_WRITE, MS, RECENT_READ, STALENESS_BOUND, Simulation, WRITE,
    checked_simulation, large_fleet_config, router_config, target,
};
use aldermill_routing::{MemberReport, MemberStatus, Role, Verdict};

#[test]
fn a_write_that_may_have_run_is_failed_or_repeated_within_its_deduplication_window() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.end_attempt(write, Verdict::Error);
    assert_eq!((simulation.attempted.len(), &simulation.failed[..]), (1, &[write][..]));
    let deduplicated_write = simulation.submit(DEDUPLICATED_WRITE, 60_000 * MS);
    simulation.end_attempt(deduplicated_write, Verdict::Error);
    assert_eq!(
        target(&simulation, deduplicated_write),
        Some(0),
        "members drop a repeat within the deduplication window"
    );
    simulation.advance(2_100 * MS);
    simulation.end_attempt(deduplicated_write, Verdict::Reset);
    assert_eq!(simulation.failed, [write, deduplicated_write]);
}

#[test]
fn a_late_report_does_not_bring_back_a_demoted_primary() {
    let mut simulation = checked_simulation(router_config());
    simulation.save_report(0);
    simulation.advance(STALENESS_BOUND + 10 * MS);
    simulation.move_primary(1);
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.end_attempt(write, Verdict::NotPrimary);
    simulation.deliver_saved_report(0);
    simulation.advance(STALENESS_BOUND + 10 * MS);
    let read = simulation.submit(RECENT_READ, 1_000 * MS);
    assert_ne!(target(&simulation, read), Some(0));
}

#[test]
fn a_retry_too_late_for_its_latency_objective_is_rejected_at_once() {
    let mut simulation = checked_simulation(router_config());
    let early_retry = simulation.submit_marked(RECENT_READ, 1_900 * MS, true);
    assert!(target(&simulation, early_retry).is_some());
    let late_retry = simulation.submit_marked(RECENT_READ, 1_400 * MS, true);
    assert_eq!(simulation.rejected, [late_retry]);
    let late_but_useful_retry = simulation.submit_marked(ANY_AGE_READ, 1_400 * MS, true);
    assert!(target(&simulation, late_but_useful_retry).is_some());
}

#[test]
fn an_unattempted_request_worth_little_when_late_is_rejected_before_half_of_its_time_has_passed() {
    let mut simulation = checked_simulation(router_config());
    (0..4).for_each(|id| simulation.update_list_entry(id, MemberStatus::Unlisted, None));
    let (read, write) = (simulation.submit(ANY_AGE_READ, 1_600 * MS), simulation.submit(WRITE, 1_600 * MS));
    simulation.advance(700 * MS);
    assert!(simulation.rejected.is_empty());
    simulation.advance(140 * MS);
    assert_eq!(simulation.rejected, [read]);
    simulation.advance(600 * MS);
    assert_eq!(simulation.rejected, [read, write]);
}

#[test]
fn a_router_in_a_large_fleet_rejects_late_requests_with_a_small_late_priority_weight() {
    let mut simulation = checked_simulation(large_fleet_config());
    // Of the timeout of 2 s, 0.6 s have passed, and with them the latency objective of 0.5 s.
    let (read, write) = (
        simulation.submit_marked(ANY_AGE_READ, 1_400 * MS, true),
        simulation.submit_marked(WRITE, 1_400 * MS, true),
    );
    assert_eq!(simulation.rejected, [read]);
    assert_eq!(target(&simulation, write), Some(0), "a late answer still earns half of the priority weight");
}

#[test]
fn what_happens_during_a_stall_counts_against_no_member() {
    let mut simulation = checked_simulation(router_config());
    for _ in 0..4 {
        let write = simulation.submit(WRITE, 1_000 * MS);
        assert_eq!(target(&simulation, write), Some(0));
    }
    simulation.advance(20 * MS);
    simulation.health_checks.clear();
    simulation.stall(2_500 * MS);
    assert_eq!(
        (simulation.failed.len(), simulation.rejected.len()),
        (4, 0),
        "writes that may have run are failed, not rejected"
    );
    simulation.advance(20 * MS);
    assert!(
        simulation.health_checks.is_empty(),
        "no member is checked because it was silent during the stall"
    );
    (0..5).for_each(|_| simulation.end_health_check_with_verdict(0, Verdict::Unobserved));
    let write = simulation.submit(WRITE, 1_000 * MS);
    assert_eq!(
        target(&simulation, write),
        Some(0),
        "the primary is not unresponsive, unreachable or blacklisted"
    );
}

#[test]
fn a_report_handled_late_does_not_override_a_newer_one() {
    let mut simulation = checked_simulation(router_config());
    let promoted_at = simulation.now;
    // Member 2 reports that it is the primary. The report of member 0, which says the same of itself and is
    // 100 ms older, is handled after it.
    let (role, position) = (Some(Role::Primary), None);
    simulation.move_primary(2);
    simulation.end_health_check(2, true);
    simulation.now += 2_500 * MS;
    simulation.router.stall_ended(simulation.now, 2_500 * MS);
    let report = MemberReport { role, position, age: simulation.now - promoted_at + 100 * MS };
    let _ = simulation.router.health_checked(simulation.now, 0, Verdict::Served, MS, report);
    let write = simulation.submit(WRITE, 1_000 * MS);
    assert_eq!(target(&simulation, write), Some(2));
}

#[test]
fn after_a_stall_attempts_are_sent_at_no_more_than_twice_the_usual_rate() {
    let mut simulation = checked_simulation(router_config());
    let run_five_ticks = |simulation: &mut Simulation, requests_per_tick: usize| -> usize {
        let attempts_before = simulation.attempted.len();
        for _ in 0..5 {
            for _ in 0..requests_per_tick {
                simulation.submit(ANY_AGE_READ, 1_500 * MS);
            }
            simulation
                .in_flight()
                .into_iter()
                .for_each(|(handle, _)| simulation.end_attempt(handle, Verdict::Served));
            simulation.advance(20 * MS);
            simulation
                .in_flight()
                .into_iter()
                .for_each(|(handle, _)| simulation.end_attempt(handle, Verdict::Served));
        }
        simulation.attempted.len() - attempts_before
    };
    for _ in 0..60 {
        run_five_ticks(&mut simulation, 1);
    }
    let usual_attempts = run_five_ticks(&mut simulation, 1);
    simulation.stall(2_500 * MS);
    for _ in 0..40 {
        simulation.submit(ANY_AGE_READ, 1_500 * MS);
    }
    let attempt_counts: Vec<usize> = (0..10).map(|_| run_five_ticks(&mut simulation, 1)).collect();
    assert!(
        attempt_counts.iter().all(|&count| count <= 2 * usual_attempts),
        "{attempt_counts:?} attempts in five ticks each, {usual_attempts} usual"
    );
    assert!(
        attempt_counts[..4].iter().sum::<usize>() > 6 * usual_attempts,
        "the requests that waited are served too slowly: {attempt_counts:?}"
    );
}

#[test]
fn a_short_stall_does_not_pace_attempts() {
    let mut simulation = checked_simulation(router_config());
    simulation.advance(20 * MS);
    simulation.stall(100 * MS);
    for _ in 0..12 {
        simulation.submit(ANY_AGE_READ, 1_500 * MS);
    }
    assert!(simulation.attempted.len() >= 8, "{} of 12 reads attempted", simulation.attempted.len());
}
