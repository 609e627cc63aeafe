//! Basic routing as designed, and a regression test for each failure that was found.

use crate::simulation::{
    ANY_AGE_READ, LONG_READ, MS, OWN_WRITES_READ, RECENT_READ, STALENESS_BOUND, Simulation, WRITE,
    checked_simulation, list_entry, router_config, target,
};
use aldermill_routing::{MemberStatus, Request, RequestHandle, RouterConfig, Verdict};

#[test]
fn a_write_goes_to_the_primary_and_a_read_to_a_fresh_replica() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 2_000 * MS);
    assert_eq!(target(&simulation, write), Some(0));
    simulation.positions[2] = simulation.now + 50 * MS;
    simulation.advance(50 * MS);
    simulation.end_health_check(2, true);
    simulation.advance(STALENESS_BOUND - 170 * MS);
    // The reports of members 1 and 3 are too old to prove them fresh, as the process may be held up for
    // 150 ms before it sends an attempt.
    for _ in 0..3 {
        let read = simulation.submit(RECENT_READ, 1_000 * MS);
        assert_eq!(target(&simulation, read), Some(2));
    }
}

#[test]
fn a_read_health_checks_one_replica_at_a_time_and_falls_back_to_the_primary() {
    let mut simulation = checked_simulation(router_config());
    simulation.advance(STALENESS_BOUND + 10 * MS);
    simulation.health_checks.clear();
    let read = simulation.submit(RECENT_READ, 1_000 * MS);
    for checked in 1..=3 {
        assert_eq!((target(&simulation, read), simulation.health_checks.len()), (None, checked));
        simulation.end_health_check(simulation.health_checks[checked - 1], true);
    }
    assert_eq!(target(&simulation, read), Some(0));
}

#[test]
fn a_write_tries_members_in_id_order_then_waits_for_a_primary() {
    let mut simulation = Simulation::new(router_config(), 4);
    simulation.primary = 9;
    simulation.positions.resize(10, 0);
    let write = simulation.submit(WRITE, 4_000 * MS);
    for expected in 0..4 {
        assert_eq!(target(&simulation, write), Some(expected));
        simulation.end_attempt(write, Verdict::NotPrimary);
    }
    assert_eq!(target(&simulation, write), None);
    let second = simulation.submit(WRITE, 4_000 * MS);
    simulation.advance(100 * MS);
    assert!(simulation.in_flight().is_empty(), "writes of a group without a primary wait");
    simulation.primary = 2;
    simulation.end_health_check(2, true);
    assert_eq!((target(&simulation, write), target(&simulation, second)), (Some(2), Some(2)));
}

#[test]
fn five_failures_blacklist_a_member_but_the_last_one_left_is_still_tried() {
    let mut simulation = checked_simulation(router_config());
    let mut attempts_by_member = [0; 4];
    for _ in 0..60 {
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        while let Some(id) = target(&simulation, read) {
            attempts_by_member[id] += 1;
            simulation.end_attempt(read, if id == 1 { Verdict::Error } else { Verdict::Served });
        }
    }
    assert_eq!(attempts_by_member[1], 5);
    for id in [2, 3] {
        simulation.update_list_entry(id, MemberStatus::Unlisted, None);
    }
    simulation.update_list_entry(0, MemberStatus::Draining, None);
    let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
    assert_eq!(target(&simulation, read), Some(1));
}

#[test]
fn a_timeout_at_a_member_that_answers_other_attempts_is_no_failure() {
    let mut simulation = checked_simulation(router_config());
    [2, 3].into_iter().for_each(|id| simulation.update_list_entry(id, MemberStatus::Unlisted, None));
    for _ in 0..8 {
        let (slow, quick) =
            (simulation.submit(ANY_AGE_READ, 1_000 * MS), simulation.submit(ANY_AGE_READ, 1_000 * MS));
        assert_eq!((target(&simulation, slow), target(&simulation, quick)), (Some(1), Some(1)));
        simulation.advance(MS);
        simulation.end_attempt(quick, Verdict::Served);
        simulation.end_attempt(slow, Verdict::TimedOut);
        assert_eq!(target(&simulation, slow), Some(0), "the read is attempted at another member");
        simulation.end_attempt(slow, Verdict::Served);
    }
}

#[test]
fn an_unreachable_primary_is_avoided_and_starts_slowly_once_it_answers() {
    let mut simulation = checked_simulation(RouterConfig { overload_window: 500 * MS, ..router_config() });
    let write = simulation.submit(WRITE, 4_000 * MS);
    simulation.end_attempt(write, Verdict::Unconnected);
    assert_eq!(target(&simulation, write), None);
    let second = simulation.submit(WRITE, 4_000 * MS);
    simulation.advance(600 * MS);
    assert_eq!(target(&simulation, second), None);
    simulation.advance(500 * MS);
    while let Some(&(tried, _)) = simulation.in_flight().first() {
        simulation.end_attempt(tried, Verdict::Unconnected);
    }
    simulation.advance(990 * MS);
    simulation.end_health_check(0, true);
    assert_eq!(
        simulation.in_flight().len(),
        1,
        "a primary that was down for long is in slow start once it answers"
    );
}

#[test]
fn a_member_that_answers_soon_after_refusing_a_connection_does_not_start_slowly() {
    let mut simulation = checked_simulation(RouterConfig { overload_window: 500 * MS, ..router_config() });
    let (write, second) = (simulation.submit(WRITE, 2_000 * MS), simulation.submit(WRITE, 2_000 * MS));
    simulation.end_attempt(write, Verdict::Unconnected);
    simulation.advance(600 * MS);
    simulation.end_health_check(0, true);
    assert_eq!((target(&simulation, write), target(&simulation, second)), (Some(0), Some(0)));
}

#[test]
fn overtaken_attempts_that_stay_in_flight_for_long_use_no_capacity() {
    let mut simulation = checked_simulation(router_config());
    let writes: Vec<RequestHandle> = (0..40).map(|_| simulation.submit(WRITE, 60_000 * MS)).collect();
    let queued = writes.iter().filter(|&&write| target(&simulation, write).is_none()).count();
    assert!(queued > 0, "the concurrency limit is reached");
    for _ in 0..3 {
        simulation.advance(1_100 * MS);
        let newest =
            simulation.in_flight().into_iter().map(|(handle, _)| handle).max().expect("a write is in flight");
        simulation.end_attempt(newest, Verdict::Served);
    }
    let (sent_at_first, in_flight) = (writes.len() - queued, simulation.in_flight().len());
    assert!(
        2 * sent_at_first <= in_flight,
        "{in_flight} in flight, {sent_at_first} at first: lost attempts hold up queued writes"
    );
}

#[test]
fn a_session_reads_its_own_writes() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.advance(20 * MS);
    simulation.end_attempt(write, Verdict::Served);
    let read = simulation.submit(OWN_WRITES_READ, 1_000 * MS);
    assert_eq!(target(&simulation, read), Some(0), "no replica is known to have the write");
}

#[test]
fn a_health_check_rejected_by_an_overloaded_member_counts_as_answered() {
    let mut simulation = checked_simulation(router_config());
    for _ in 0..4 {
        simulation.end_health_check_with_verdict(0, Verdict::Overloaded);
    }
    let write = simulation.submit(WRITE, 2_000 * MS);
    assert_eq!(target(&simulation, write), Some(0));
}

#[test]
fn the_list_held_at_the_start_does_not_answer_a_subscription() {
    let mut simulation = Simulation::new(router_config(), 4);
    simulation.advance(1_000 * MS);
    assert_eq!(simulation.subscriptions, 1);
    simulation.list_unavailable();
    simulation.advance(10_000 * MS);
    assert_eq!(simulation.subscriptions, 2);
}

#[test]
fn a_member_in_slow_start_gets_only_its_share() {
    let mut simulation = checked_simulation(router_config());
    let started_at = simulation.now;
    simulation.update_list_entry(3, MemberStatus::Ready, Some(started_at));
    for _ in 0..300 {
        simulation.advance(10 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        if target(&simulation, read).is_some() {
            simulation.end_attempt(read, Verdict::Served);
        }
    }
    let attempts = simulation.attempted.iter().filter(|&&(_, id)| id == 3).count();
    assert!(attempts > 0 && attempts < 75, "{attempts} of 300 reads at the member in slow start");
}

#[test]
fn rejected_attempts_do_not_raise_a_slow_start_allowance() {
    let mut simulation = checked_simulation(router_config());
    simulation.update_list_entry(3, MemberStatus::Unlisted, None);
    for _ in 0..1_000 {
        simulation.advance(2 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        while target(&simulation, read).is_some() {
            simulation.end_attempt(read, Verdict::Overloaded);
        }
    }
    simulation.advance(1_100 * MS);
    let started_at = simulation.now;
    simulation.update_list_entry(3, MemberStatus::Ready, Some(started_at));
    simulation.move_primary(3);
    simulation.answer_all_health_checks();
    for _ in 0..20 {
        simulation.submit(WRITE, 2_000 * MS);
    }
    let attempts = simulation.in_flight().iter().filter(|&&(_, id)| id == 3).count();
    assert!(attempts <= 1, "{attempts} attempts, though the load that a warm member can carry is not known");
}

#[test]
fn requests_that_can_no_longer_be_served_in_time_are_rejected_at_once() {
    let mut simulation = checked_simulation(router_config());
    (0..4).for_each(|id| simulation.update_list_entry(id, MemberStatus::Unlisted, None));
    let read = simulation.submit(RECENT_READ, 2_000 * MS);
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.advance(600 * MS);
    assert_eq!(simulation.rejected, [read]);
    simulation.advance(1_500 * MS);
    assert_eq!(simulation.rejected, [read, write]);
}

#[test]
fn a_request_with_little_time_is_attempted_where_there_is_capacity() {
    let mut simulation = checked_simulation(router_config());
    // Three in ten attempts take 50 ms, the others 10 ms.
    for (ttl, duration) in (0..40).map(|i| if i < 12 { (1_000 * MS, 0) } else { (600 * MS, 590 * MS) }) {
        let read = simulation.submit(ANY_AGE_READ, ttl);
        simulation.advance(duration);
        simulation.end_attempt(read, Verdict::Served);
    }
    let urgent = simulation.submit(ANY_AGE_READ, 60 * MS);
    assert!(target(&simulation, urgent).is_some());
    assert!(simulation.rejected.is_empty());
}

#[test]
fn only_malformed_responses_in_a_row_blacklist_a_member() {
    for (malformed_every, max_attempts) in [(3, 200), (1, 2 * 5)] {
        let mut simulation = checked_simulation(router_config());
        let mut attempts_by_member = [0; 4];
        for _ in 0..60 {
            let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
            while let Some(id) = target(&simulation, read) {
                attempts_by_member[id] += 1;
                let is_malformed = if malformed_every == 1 {
                    id == 1
                } else {
                    attempts_by_member[id] % malformed_every == 0
                };
                simulation.end_attempt(read, if is_malformed { Verdict::Malformed } else { Verdict::Served });
            }
        }
        assert!((9..=max_attempts).contains(&attempts_by_member[1]), "{attempts_by_member:?}");
        assert!(attempts_by_member[2] > 15 && attempts_by_member[3] > 15, "{attempts_by_member:?}");
    }
}

#[test]
fn a_member_unlisted_for_long_is_forgotten_and_its_index_is_reused() {
    let mut simulation = checked_simulation(router_config());
    let slow_read = simulation.submit(ANY_AGE_READ, 60_000 * MS);
    let id = target(&simulation, slow_read).unwrap();
    simulation.update_list_entry(id, MemberStatus::Unlisted, None);
    simulation.advance(11_000 * MS);
    assert!(!simulation.router.forget_member(simulation.now, id), "its attempt is in flight");
    simulation.end_attempt(slow_read, Verdict::Served);
    assert!(!simulation.router.forget_member(simulation.now, id), "it was heard from just now");
    simulation.advance(11_000 * MS);
    simulation.answer_all_health_checks();
    assert!(!simulation.router.forget_member(simulation.now, 0), "the primary is listed as ready");
    simulation.update_list_entry(id, MemberStatus::Unlisted, None);
    simulation.advance(11_000 * MS);
    assert!(simulation.router.forget_member(simulation.now, id));
    // Another member with the same index starts without the history of the forgotten one.
    simulation.update_list_entry(id, MemberStatus::Ready, None);
    simulation.answer_all_health_checks();
    let reads_at_member = (0..30).filter(|_| {
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        let is_at_member = target(&simulation, read) == Some(id);
        simulation.end_attempt(read, Verdict::Served);
        is_at_member
    });
    assert!(reads_at_member.count() > 3);
}

#[test]
fn a_primary_missing_from_a_full_list_is_searched_for_elsewhere() {
    let mut simulation = checked_simulation(router_config());
    let others = (1..4).map(|id| list_entry(id, MemberStatus::Ready, None)).collect();
    drop(simulation.router.update_endpoint_list(simulation.now, true, others));
    simulation.primary = 2;
    simulation.advance(600 * MS);
    let write = simulation.submit(WRITE, 4_000 * MS);
    let mut attempts = 0;
    while let Some(id) = target(&simulation, write) {
        attempts += 1;
        simulation.end_attempt(write, if id == 2 { Verdict::Served } else { Verdict::NotPrimary });
    }
    assert!((1..=3).contains(&attempts), "{attempts}");
}

#[test]
fn a_member_is_unresponsive_by_the_usual_duration_of_its_attempts() {
    let mut simulation = checked_simulation(router_config());
    (1..3).for_each(|id| simulation.update_list_entry(id, MemberStatus::Unlisted, None));
    let long_read = simulation.submit(LONG_READ, 12_000 * MS);
    assert_eq!(target(&simulation, long_read), Some(3));
    simulation.advance(2_000 * MS);
    let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
    assert_eq!(
        target(&simulation, read),
        Some(3),
        "a long read in flight for two seconds says nothing against its member"
    );
    simulation.advance(900 * MS);
    let other = simulation.submit(ANY_AGE_READ, 1_000 * MS);
    assert_ne!(target(&simulation, other), Some(3), "a read in flight for 900 ms does");
}

#[test]
fn long_reads_of_a_group_share_one_replica() {
    let mut simulation = checked_simulation(router_config());
    for expected in [3, 3, 3, 2, 2] {
        let long_read = simulation.submit(LONG_READ, 12_000 * MS);
        assert_eq!(target(&simulation, long_read), Some(expected));
        if simulation.attempted.len() == 3 {
            simulation.update_list_entry(3, MemberStatus::Draining, None);
        }
    }
}

#[test]
fn reads_of_which_three_in_a_row_exceed_the_bound_are_long_except_in_a_large_fleet() {
    // Until attempts are measured, a long read is expected to take half of its latency objective: less than
    // the bound, but more than a third of it.
    let reads_at_last_replica = |config: RouterConfig| {
        let expected_duration = config.classes[LONG_READ].objective / 2;
        let mut config = config;
        config.classes[RECENT_READ].need = aldermill_routing::Need::Recent(expected_duration * 2);
        let mut simulation = checked_simulation(config);
        let mut at_last_replica = 0;
        for _ in 0..5 {
            let long_read = simulation.submit(LONG_READ, 12_000 * MS);
            at_last_replica += usize::from(target(&simulation, long_read) == Some(3));
            simulation.advance(10 * MS);
        }
        at_last_replica
    };
    assert_eq!(reads_at_last_replica(router_config()), 5);
    assert!(reads_at_last_replica(crate::simulation::large_fleet_config()) < 5);
}

#[test]
fn an_unmarked_retry_is_detected_by_its_shorter_wait() {
    let mut simulation = checked_simulation(RouterConfig { client_retries_marked: false, ..router_config() });
    for _ in 0..3 {
        let read = simulation.submit(RECENT_READ, 1_200 * MS);
        simulation.end_attempt(read, Verdict::Served);
        simulation.answer_all_health_checks();
    }
    // Of the timeout of 2 s, 1.3 s have passed, and with them the latency objective of 0.5 s.
    let retry = simulation.submit(RECENT_READ, 700 * MS);
    assert_eq!(simulation.rejected, [retry]);
}

#[test]
fn a_request_already_past_its_deadline_is_rejected_and_never_attempted() {
    let mut simulation = checked_simulation(router_config());
    let (ttl, waited) = (-300 * MS, 1_800 * MS);
    let request = Request { class: WRITE, group: 7, ttl, waited, ..Request::default() };
    let expired = simulation.submit_request(request);
    assert_eq!((simulation.rejected.as_slice(), simulation.attempted.len()), ([expired].as_slice(), 0));
}

#[test]
fn unattempted_requests_in_a_large_fleet_are_rejected_before_half_of_their_time_has_passed() {
    let mut simulation =
        Simulation::new(RouterConfig { routers: 40, routers_sharing_warm_up: 40, ..router_config() }, 4);
    simulation.primary = 9;
    simulation.positions.resize(10, 0);
    (0..4).for_each(|id| simulation.end_health_check(id, true));
    // No member is the primary: some writes search for it, and the others are queued behind them.
    let requests: Vec<RequestHandle> = (0..6).map(|_| simulation.submit(WRITE, 2_000 * MS)).collect();
    (0..99).for_each(|_| simulation.advance(10 * MS));
    let was_queued =
        |request: &&RequestHandle| !simulation.attempted.iter().any(|(attempted, _)| attempted == *request);
    let queued: Vec<&RequestHandle> = requests.iter().filter(was_queued).collect();
    assert!(
        !queued.is_empty() && queued.iter().all(|request| simulation.rejected.contains(request)),
        "{:?}",
        simulation.rejected
    );
}

#[test]
fn a_read_that_waited_for_a_report_is_admitted_like_a_new_one() {
    let mut config = RouterConfig { routers: 40, routers_sharing_warm_up: 40, ..router_config() };
    // Attempts are expected to take 30 ms. After a wait of 6 ms, an attempt of median duration still ends
    // in time, but one at the 85th percentile does not.
    config.classes[RECENT_READ].objective = 60 * MS;
    let mut simulation = Simulation::new(config, 2);
    simulation.end_health_check(0, true);
    simulation.advance(STALENESS_BOUND + 30 * MS);
    let reads: Vec<RequestHandle> = (0..8).map(|_| simulation.submit(RECENT_READ, 1_500 * MS)).collect();
    assert!(
        simulation.health_checks.contains(&1)
            && reads.iter().any(|&read| target(&simulation, read).is_none())
    );
    simulation.advance(6 * MS);
    simulation.positions[1] = simulation.now;
    simulation.end_health_check(1, true);
    assert!(simulation.rejected.is_empty() && simulation.attempted.iter().any(|&(_, member)| member == 1));
}
