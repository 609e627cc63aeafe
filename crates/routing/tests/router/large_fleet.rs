//! Decisions of a router in a large fleet, which sends each member only few attempts.

use crate::simulation::{
    ANY_AGE_READ, MS, RECENT_READ, Simulation, WRITE, checked_simulation, large_fleet_config, list_entry,
    router_config, target,
};
use aldermill_routing::{ListedMember, MemberStatus, RequestHandle, Verdict};

#[test]
fn health_checks_are_limited_by_the_number_of_requests() {
    let mut simulation = checked_simulation(large_fleet_config());
    simulation.update_list_entry(0, MemberStatus::Unlisted, None);
    simulation.primary = 9;
    simulation.positions.resize(10, 0);
    simulation.health_checks.clear();
    simulation.submit(WRITE, 60_000 * MS);
    for _ in 0..100 {
        simulation.advance(100 * MS);
        (1..4).for_each(|id| simulation.end_health_check(id, true));
    }
    assert!(
        (1..=5).contains(&simulation.health_checks.len()),
        "{} health checks for one request",
        simulation.health_checks.len()
    );
}

#[test]
fn a_write_rejected_by_an_overloaded_member_waits_before_its_retry() {
    let mut simulation = checked_simulation(large_fleet_config());
    simulation.advance(5_000 * MS);
    simulation.answer_all_health_checks();
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.end_attempt(write, Verdict::Overloaded);
    simulation.advance(300 * MS);
    assert_eq!(target(&simulation, write), None);
}

#[test]
fn a_primary_that_leaves_the_list_is_not_searched_for_at_once() {
    let mut simulation = checked_simulation(large_fleet_config());
    simulation.update_list_entry(0, MemberStatus::Unlisted, None);
    simulation.submit(WRITE, 2_000 * MS);
    assert!(simulation.in_flight().is_empty());
}

#[test]
fn each_router_sends_a_member_in_slow_start_less_than_one_attempt_per_window() {
    let mut simulation = checked_simulation(large_fleet_config());
    for id in 0..4 {
        let started_at = simulation.now;
        simulation.update_list_entry(id, MemberStatus::Ready, Some(started_at));
    }
    for _ in 0..100 {
        simulation.advance(30 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        if target(&simulation, read).is_some() {
            simulation.end_attempt(read, Verdict::Served);
        }
    }
    assert!(
        simulation.attempted.len() <= 4,
        "{} attempts at four members in three windows",
        simulation.attempted.len()
    );
}

#[test]
fn a_router_with_few_requests_sends_an_idle_primary_its_share_of_the_reads() {
    let mut simulation = checked_simulation(large_fleet_config());
    for _ in 0..60 {
        simulation.advance(400 * MS);
        simulation.answer_all_health_checks();
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        if target(&simulation, read).is_some() {
            simulation.end_attempt(read, Verdict::Served);
        }
    }
    let at_primary = simulation.attempted.iter().filter(|&&(_, id)| id == 0).count();
    assert!(
        (5..=25).contains(&at_primary),
        "{at_primary} of {} attempts at the primary",
        simulation.attempted.len()
    );
}

#[test]
fn a_class_of_long_attempts_does_not_delay_the_other_classes() {
    let mut simulation = checked_simulation(large_fleet_config());
    for _ in 0..8 {
        let write = simulation.submit(WRITE, 2_000 * MS);
        simulation.advance(500 * MS);
        assert!(target(&simulation, write).is_some(), "a write was held for half a second");
        simulation.end_attempt(write, Verdict::Served);
    }
}

#[test]
fn no_member_is_health_checked_before_a_request_needs_it() {
    let mut simulation = Simulation::new(large_fleet_config(), 4);
    simulation.advance(20_000 * MS);
    assert!(simulation.health_checks.is_empty());
    simulation.submit(RECENT_READ, 1_000 * MS);
    assert_eq!(simulation.health_checks.len(), 1);
}

#[test]
fn reads_avoid_a_zone_with_a_long_round_trip() {
    let mut simulation = checked_simulation(large_fleet_config());
    simulation.grow_to(6);
    for id in [4, 5] {
        simulation.apply_list_entry(ListedMember { zone: 1, ..list_entry(id, MemberStatus::Ready, None) });
    }
    let count_far_reads = |simulation: &mut Simulation| {
        let far_reads = (0..40).filter(|_| {
            simulation.advance(100 * MS);
            let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
            let is_far = target(simulation, read).is_some_and(|id| id >= 4);
            if target(simulation, read).is_some() {
                simulation.end_attempt(read, Verdict::Served);
            }
            is_far
        });
        far_reads.count()
    };
    assert!(count_far_reads(&mut simulation) > 5);
    // Member 4 does not answer health checks. Member 5, in the same zone, is not checked.
    (0..8).for_each(|_| simulation.end_health_check_with_verdict(4, Verdict::TimedOut));
    assert_eq!(count_far_reads(&mut simulation), 0);
    simulation.advance(5_000 * MS);
    assert!(count_far_reads(&mut simulation) > 5, "the zone is tried again after a while");
}

#[test]
fn a_refused_connection_closes_idle_ones_and_triggers_a_health_check() {
    let mut simulation = checked_simulation(large_fleet_config());
    simulation.health_checks.clear();
    let write = simulation.submit(WRITE, 2_000 * MS);
    simulation.end_attempt(write, Verdict::Unconnected);
    assert_eq!((&simulation.health_checks[..], simulation.idle_closed.len()), (&[0][..], 4));
    simulation.end_health_check(0, true);
    simulation.advance(300 * MS);
    assert_eq!(target(&simulation, write), Some(0), "a member that answers a health check is not dead");
    simulation.end_attempt(write, Verdict::Served);
    assert_eq!(simulation.idle_closed[4..], [0], "connections are closed after use while they are scarce");
}

#[test]
fn capacity_of_dead_routers_is_taken_over_and_given_back_except_in_slow_start() {
    let mut simulation = checked_simulation(large_fleet_config());
    // Returns how many of 60 requests have an attempt in flight at once while `live_routers` are alive.
    let mut attempts_at_once = |live_routers: usize| {
        simulation.router.set_fleet_size(live_routers, 150);
        simulation.advance(1_500 * MS);
        simulation.answer_all_health_checks();
        let requests: Vec<RequestHandle> =
            (0..60).map(|_| simulation.submit(ANY_AGE_READ, 1_500 * MS)).collect();
        let in_flight = simulation.in_flight().len();
        for request in requests {
            if target(&simulation, request).is_some() {
                simulation.end_attempt(request, Verdict::Served);
            }
        }
        simulation.advance(1_500 * MS);
        in_flight
    };
    let with_all = attempts_at_once(150);
    let with_three = attempts_at_once(3);
    assert!(
        with_three >= 4 * with_all.max(1),
        "{with_three} attempts with three routers alive, {with_all} with all"
    );
    assert!(attempts_at_once(150) <= with_all + 1, "the capacity is given back at once");
    // Returns how many attempts a member in slow start gets within a second.
    let attempts_in_slow_start = |live_routers: usize| {
        let mut simulation = checked_simulation(large_fleet_config());
        simulation.router.set_fleet_size(live_routers, 150);
        simulation.update_list_entry(3, MemberStatus::Ready, Some(simulation.now));
        for _ in 0..50 {
            let request = simulation.submit(ANY_AGE_READ, 1_500 * MS);
            if target(&simulation, request).is_some() {
                simulation.end_attempt(request, Verdict::Served);
            }
            simulation.advance(20 * MS);
        }
        simulation.attempted.iter().filter(|&&(_, id)| id == 3).count()
    };
    assert!(
        attempts_in_slow_start(3) <= attempts_in_slow_start(150).max(1),
        "{} attempts with three routers alive, {} with all",
        attempts_in_slow_start(3),
        attempts_in_slow_start(150)
    );
}

#[test]
fn errors_caused_by_a_request_blacklist_no_member_and_those_of_one_member_do() {
    let mut simulation = checked_simulation(large_fleet_config());
    for round in 0..40 {
        simulation.advance(200 * MS);
        let is_failing = round % 2 == 0;
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        let mut tried = Vec::new();
        while let Some(id) = target(&simulation, read) {
            tried.push(id);
            simulation.end_attempt(read, if is_failing { Verdict::Error } else { Verdict::Served });
        }
        // Errors of two members are enough: the read is failed, and no member is avoided because of it.
        assert_eq!(
            (tried.len(), simulation.failed.contains(&read)),
            if is_failing { (2, true) } else { (1, false) }
        );
    }
    simulation.failed.clear();
    let mut attempts_at_faulty = 0;
    for _ in 0..60 {
        simulation.advance(100 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        while let Some(id) = target(&simulation, read) {
            attempts_at_faulty += usize::from(id == 2);
            simulation.end_attempt(read, if id == 2 { Verdict::Error } else { Verdict::Served });
        }
    }
    assert!(
        attempts_at_faulty <= 4,
        "{attempts_at_faulty} attempts at a member that fails what others serve"
    );
    assert!(simulation.failed.is_empty());
}

#[test]
fn connections_dropped_while_idle_are_replaced_by_new_ones() {
    let mut simulation = Simulation::new(large_fleet_config(), 1);
    simulation.answer_all_health_checks();
    // Connections that were idle for over a second have been dropped silently. An attempt soon after an
    // answer is served.
    let mut unanswered_rounds = Vec::new();
    for round in 0..30 {
        for idle_ms in [1_500, 100] {
            simulation.advance(idle_ms * MS);
            simulation.new_connections.clear();
            let read = simulation.submit(ANY_AGE_READ, 600 * MS);
            if target(&simulation, read).is_none() {
                continue;
            }
            if idle_ms > 1_000 && simulation.new_connections.is_empty() {
                unanswered_rounds.push(round);
                simulation.advance(600 * MS);
            } else {
                simulation.end_attempt(read, Verdict::Served);
            }
        }
    }
    assert!(!unanswered_rounds.is_empty(), "the drops are not known at first");
    assert!(unanswered_rounds.len() < 12, "attempts still use dropped connections: {unanswered_rounds:?}");
}

#[test]
fn thirty_routers_together_stay_within_the_slow_start_allowance() {
    check_slow_start_load(0);
}

#[test]
fn quick_errors_count_against_the_slow_start_allowance() {
    check_slow_start_load(6);
}

/// Checks what 30 routers together send to a member in slow start. Of ten requests, `failing_in_ten` end
/// with a quick error at every member.
fn check_slow_start_load(failing_in_ten: usize) {
    let config =
        aldermill_routing::RouterConfig { routers: 30, routers_sharing_warm_up: 30, ..router_config() };
    let mut simulations: Vec<Simulation> =
        (0..30).map(|seed| Simulation::with_seed(config.clone(), 4, seed)).collect();
    simulations.iter_mut().for_each(Simulation::answer_all_health_checks);
    // Times of the attempts at member 3, in milliseconds since its start.
    let mut sent_times: Vec<i64> = Vec::new();
    // Attempts that member 2 serves in the two seconds before that start.
    let mut served_at_warm_member = 0;
    let began_at = simulations[0].now;
    for step in 0..1_300 {
        for (index, simulation) in simulations.iter_mut().enumerate() {
            if step == 500 {
                simulation.update_list_entry(3, MemberStatus::Ready, Some(simulation.now));
            }
            // Each router gets ten requests a second, at times that differ between routers.
            if (step + index) % 10 == 0 {
                let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
                let is_failing = (step / 10 + index) % 10 < failing_in_ten;
                while let Some(id) = target(simulation, read) {
                    served_at_warm_member += i64::from(id == 2 && !is_failing && (300..500).contains(&step));
                    sent_times.extend((id == 3 && step >= 500).then_some(step as i64 * 10 - 5_000));
                    simulation.advance(MS);
                    simulation.end_attempt(read, if is_failing { Verdict::Error } else { Verdict::Served });
                }
            }
            simulation.advance((step as i64 + 1) * 10 * MS - (simulation.now - began_at));
        }
    }
    let warm_load = served_at_warm_member as f64 / 2.0;
    for &start in &sent_times {
        let sent = sent_times.iter().filter(|&&at| (start..start + 1_000).contains(&at)).count() as f64;
        let capacity = 0.2 + 0.8 * ((start + 500) as f64 / 10_000.0).min(1.0);
        let allowance = 2.5 * capacity * warm_load;
        assert!(
            sent <= allowance + 3.0 * allowance.sqrt() + 3.0,
            "{sent} attempts in the second from {start} ms, {allowance} allowed"
        );
    }
    assert!(
        sent_times.iter().filter(|&&at| at < 3_000).count() > 20,
        "the allowance is hardly used: {sent_times:?}"
    );
}

#[test]
fn reads_avoid_a_member_with_a_long_round_trip() {
    let mut simulation = checked_simulation(large_fleet_config());
    let count_reads_at_member = |simulation: &mut Simulation| {
        let reads_at_member = (0..40).filter(|_| {
            simulation.advance(100 * MS);
            let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
            let target_member = target(simulation, read);
            target_member.into_iter().for_each(|_| simulation.end_attempt(read, Verdict::Served));
            target_member == Some(3)
        });
        reads_at_member.count()
    };
    assert!(count_reads_at_member(&mut simulation) > 3);
    // Member 3 takes 300 ms to answer a health check. The others in its zone answer in 1 ms, as before.
    (0..6).for_each(|_| simulation.answer_health_check_after(3, 300 * MS));
    (0..3).for_each(|id| (0..6).for_each(|_| simulation.end_health_check(id, true)));
    assert_eq!(count_reads_at_member(&mut simulation), 0);
}
