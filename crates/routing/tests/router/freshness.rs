//! Freshness of members for reads, where no reported position proves it by itself: writes of sessions,
//! reported roles, and the time for which a proof holds.

use crate::simulation::{
    DEDUPLICATED_WRITE, MS, OWN_WRITES_READ, RECENT_READ, STALENESS_BOUND, Simulation, WRITE,
    checked_simulation, large_fleet_config, list_entry, router_config, target,
};
use aldermill_routing::{ListedMember, ListedRoles, MemberReport, MemberStatus, Role, RouterConfig, Verdict};

#[test]
fn forgotten_sessions_leave_a_bound_on_their_writes() {
    let mut simulation = checked_simulation(router_config());
    let run_writes = |simulation: &mut Simulation, from: u32| {
        for number in from..from + 10_100 {
            let write = simulation.submit_in_session(WRITE, 1_000 * MS, &number.to_string());
            simulation.end_attempt(write, Verdict::Served);
        }
    };
    run_writes(&mut simulation, 0);
    let first_writes_at = simulation.now;
    simulation.advance(10_500 * MS);
    simulation.answer_all_health_checks();
    // Positions from before those writes are too old for a session that may have made one of them.
    simulation.positions.iter_mut().for_each(|position| *position = first_writes_at - 50 * MS);
    simulation.health_checks.clear();
    let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "17");
    for checked in 0.. {
        if target(&simulation, read).is_some() {
            break;
        }
        simulation.end_health_check(simulation.health_checks[checked], true);
    }
    assert_eq!(target(&simulation, read), Some(0));
}

#[test]
fn without_a_primary_a_read_goes_to_the_newest_replica_where_members_check_freshness() {
    let mut simulation =
        checked_simulation(RouterConfig { members_check_freshness: true, ..router_config() });
    simulation.positions[2] = simulation.now + 200 * MS;
    simulation.advance(200 * MS);
    simulation.end_health_check(2, true);
    simulation.advance(STALENESS_BOUND + 20 * MS);
    simulation.update_list_entry(0, MemberStatus::Draining, None);
    simulation.health_checks.clear();
    let read = simulation.submit(RECENT_READ, 1_000 * MS);
    while let Some(checked) = simulation.health_checks.pop() {
        simulation.end_health_check(checked, true);
    }
    // All replicas have just reported how far behind they are, and would reject the read.
    assert_eq!(target(&simulation, read), None);
    simulation.advance(240 * MS);
    assert_eq!(target(&simulation, read), Some(2));
}

#[test]
fn reads_avoid_an_overloaded_primary_and_writes_do_not() {
    let mut simulation = checked_simulation(large_fleet_config());
    let fallback_target = |simulation: &mut Simulation| {
        simulation.advance(STALENESS_BOUND + 3_000 * MS);
        simulation.end_health_check(0, true);
        simulation.health_checks.clear();
        let read = simulation.submit(RECENT_READ, 1_000 * MS);
        for checked in 0..3 {
            if let Some(&id) = simulation.health_checks.get(checked) {
                simulation.end_health_check(id, true);
            }
        }
        let target_member = target(simulation, read);
        simulation.disconnect_client(read);
        target_member
    };
    assert_eq!(fallback_target(&mut simulation), Some(0));
    // A write that times out lowers the primary's concurrency limit. Any blacklisting for it has expired
    // when the next read arrives.
    simulation.advance(2_000 * MS);
    let write = simulation.submit(DEDUPLICATED_WRITE, 600 * MS);
    assert_eq!(target(&simulation, write), Some(0));
    simulation.advance(6_000 * MS);
    assert_eq!(fallback_target(&mut simulation), None);
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.advance(100 * MS);
    assert_eq!(target(&simulation, write), Some(0));
}

/// Makes member 1 the primary in place of member 0, and returns the report of member 0 from then on.
fn step_down(simulation: &mut Simulation) -> MemberReport {
    simulation.move_primary(1);
    MemberReport { role: Some(Role::Replica), position: Some(simulation.now), age: 0 }
}

/// Returns the member that a read goes to when only a primary is fresh enough for it, as no health check is
/// answered; `None` if the read waits.
fn fallback_target(simulation: &mut Simulation) -> Option<usize> {
    simulation.advance(STALENESS_BOUND + 50 * MS);
    simulation.health_checks.clear();
    let read = simulation.submit(RECENT_READ, 1_000 * MS);
    while let Some(checked) = simulation.health_checks.pop() {
        simulation.end_health_check(checked, false);
    }
    let target_member = target(simulation, read);
    simulation.disconnect_client(read);
    target_member
}

#[test]
fn a_primary_that_reports_itself_a_replica_is_believed_even_at_an_unchanged_position() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 1_000 * MS);
    simulation.end_attempt(write, Verdict::Served);
    assert_eq!(
        fallback_target(&mut simulation),
        Some(0),
        "a read that lacks a fresh replica goes to the primary"
    );
    let report = step_down(&mut simulation);
    // An answer to a write from before that arrives only now. It dates the newest report of the group's
    // primary later than the position that is reported below.
    simulation.advance(30 * MS);
    let write = simulation.submit(WRITE, 1_000 * MS);
    simulation.end_attempt_with_report(
        write,
        Verdict::Served,
        MemberReport { role: Some(Role::Primary), ..report },
    );
    simulation.answer_health_check_with(0, report);
    assert_eq!(
        fallback_target(&mut simulation),
        None,
        "rule 5: it has reported that it is no primary any more"
    );
}

#[test]
fn an_answer_requested_before_a_replica_report_does_not_confirm_a_primary() {
    let mut simulation = checked_simulation(router_config());
    let (first, second) = (simulation.submit(WRITE, 1_000 * MS), simulation.submit(WRITE, 1_000 * MS));
    simulation.advance(10 * MS);
    let report = step_down(&mut simulation);
    // Both answers arrive at once, and the newer one is handled first.
    simulation.end_attempt_with_report(second, Verdict::NotPrimary, report);
    simulation.end_attempt_with_report(
        first,
        Verdict::Served,
        MemberReport { role: Some(Role::Primary), ..report },
    );
    assert_eq!(fallback_target(&mut simulation), None, "rule 5: the older report is handled second");
}

#[test]
fn a_replica_report_from_before_a_promotion_does_not_demote_the_primary() {
    let mut simulation = checked_simulation(router_config());
    simulation.move_primary(2);
    simulation.save_report(0);
    simulation.move_primary(0);
    simulation.advance(100 * MS);
    let write = simulation.submit(WRITE, 1_000 * MS);
    simulation.end_attempt(write, Verdict::Served);
    simulation.deliver_saved_report(0);
    assert_eq!(fallback_target(&mut simulation), Some(0));
}

#[test]
fn a_restarted_primary_is_unconfirmed_until_it_reports_its_role() {
    let mut simulation =
        checked_simulation(RouterConfig { listed_roles: ListedRoles::Delayed, ..router_config() });
    let started_at = Some(simulation.now - 20_000 * MS);
    simulation.update_list_entry(0, MemberStatus::Unlisted, None);
    simulation.apply_list_entry(ListedMember {
        is_primary: true,
        ..list_entry(0, MemberStatus::Ready, started_at)
    });
    assert_eq!(fallback_target(&mut simulation), None, "the endpoint list alone confirms no primary");
    simulation.end_health_check(0, true);
    assert_eq!(fallback_target(&mut simulation), Some(0));
}

#[test]
fn a_write_whose_answer_states_no_commit_time_counts_as_committed_by_then() {
    let mut simulation = checked_simulation(router_config());
    simulation.advance(500 * MS);
    let write = simulation.submit_in_session(WRITE, 1_000 * MS, "17");
    simulation.end_attempt_with_report(write, Verdict::Served, MemberReport::default());
    // The replicas were last heard from before that write.
    let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "17");
    while let Some(checked) = simulation.health_checks.pop() {
        simulation.end_health_check(checked, false);
    }
    assert_eq!(target(&simulation, read), Some(0), "rule 5: a read that does not see its session's write");
}

#[test]
fn a_write_that_may_have_run_counts_as_written_by_its_session() {
    for verdict in [Verdict::Malformed, Verdict::Reset, Verdict::TimedOut, Verdict::Error] {
        let mut simulation = checked_simulation(router_config());
        let write = simulation.submit_in_session(WRITE, 1_000 * MS, "17");
        simulation.advance(300 * MS);
        simulation.answer_all_health_checks();
        // The write's answer may be lost on the way. While it is in flight, no replica is certain to have
        // the write.
        let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "17");
        assert!(
            [None, Some(0)].contains(&target(&simulation, read)),
            "{verdict:?}: rule 5, while it is in flight"
        );
        simulation.disconnect_client(read);
        simulation.advance(100 * MS);
        simulation.end_attempt_with_report(write, verdict, MemberReport::default());
        let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "17");
        assert!([None, Some(0)].contains(&target(&simulation, read)), "{verdict:?}: rule 5, once it ended");
    }
}

#[test]
fn a_write_that_never_ran_does_not_change_its_session() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit_in_session(WRITE, 1_000 * MS, "17");
    simulation.end_attempt_with_report(write, Verdict::NotSent, MemberReport::default());
    simulation.disconnect_client(write);
    simulation.in_flight().into_iter().for_each(|(retry, _)| {
        simulation.end_attempt_with_report(retry, Verdict::NotSent, MemberReport::default())
    });
    let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "17");
    assert!(target(&simulation, read).is_some_and(|id| id != 0));
}

#[test]
fn a_freshness_proof_that_may_expire_before_the_send_does_not_count() {
    let mut simulation = checked_simulation(router_config());
    simulation.positions[2] = simulation.now;
    simulation.end_health_check(2, true);
    simulation.advance(STALENESS_BOUND - 100 * MS);
    simulation.health_checks.clear();
    let read = simulation.submit(RECENT_READ, 1_000 * MS);
    assert_ne!(
        target(&simulation, read),
        Some(2),
        "rule 5: the proof holds for another 100 ms, and the attempt may be sent 150 ms later"
    );
}

#[test]
fn a_retry_that_may_be_sent_after_its_deduplication_window_is_not_made() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(DEDUPLICATED_WRITE, 3_000 * MS);
    assert_eq!(target(&simulation, write), Some(0));
    simulation.advance(1_900 * MS);
    simulation.end_attempt(write, Verdict::Error);
    assert_eq!(target(&simulation, write), None, "rule 2: 100 ms are left of its deduplication window");
    assert_eq!(simulation.failed, [write]);
}
