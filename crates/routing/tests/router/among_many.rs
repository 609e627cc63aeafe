//! A driver among many, which meets each member seldom.

use crate::simulation::{
    ANY_AGE_READ, MS, RECENT_READ, Simulation, WRITE, checked_simulation, large_fleet_config, list_entry,
    router_config, target,
};
use aldermill_routing::{ListedMember, MemberStatus, RequestHandle, Verdict};

#[test]
fn health_checks_are_paid_for_by_requests() {
    let mut world = checked_simulation(large_fleet_config());
    world.update_list_entry(0, MemberStatus::Unlisted, None);
    world.primary = 9;
    world.positions.resize(10, 0);
    world.health_checks.clear();
    world.submit(WRITE, 60_000 * MS);
    for _ in 0..100 {
        world.advance(100 * MS);
        (1..4).for_each(|id| world.end_health_check(id, true));
    }
    assert!(
        (1..=5).contains(&world.health_checks.len()),
        "{} probes for one task",
        world.health_checks.len()
    );
}

#[test]
fn a_driver_among_many_waits_after_a_member_was_full() {
    let mut world = checked_simulation(large_fleet_config());
    world.advance(5_000 * MS);
    world.answer_all_health_checks();
    let write = world.submit(WRITE, 2_000 * MS);
    world.end_attempt(write, Verdict::Overloaded);
    world.advance(300 * MS);
    assert_eq!(target(&world, write), None);
}

#[test]
fn what_the_list_tells_all_drivers_sets_off_no_walk_at_once() {
    let mut world = checked_simulation(large_fleet_config());
    world.update_list_entry(0, MemberStatus::Unlisted, None);
    world.submit(WRITE, 2_000 * MS);
    assert!(world.in_flight().is_empty());
}

#[test]
fn of_many_drivers_each_sends_a_cold_member_less_than_a_attempt_a_window() {
    let mut world = checked_simulation(large_fleet_config());
    for id in 0..4 {
        let since = world.now;
        world.update_list_entry(id, MemberStatus::Ready, Some(since));
    }
    for _ in 0..100 {
        world.advance(30 * MS);
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end_attempt(read, Verdict::Served);
        }
    }
    assert!(world.attempted.len() <= 4, "{} attempts in three windows at four", world.attempted.len());
}

#[test]
fn a_sparse_driver_gives_an_idle_primary_its_part_of_the_reads() {
    let mut world = checked_simulation(large_fleet_config());
    for _ in 0..60 {
        world.advance(400 * MS);
        world.answer_all_health_checks();
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end_attempt(read, Verdict::Served);
        }
    }
    let at_primary = world.attempted.iter().filter(|&&(_, id)| id == 0).count();
    assert!((5..=25).contains(&at_primary), "{at_primary} of {}", world.attempted.len());
}

#[test]
fn one_long_class_does_not_slow_the_pace_of_the_others() {
    let mut world = checked_simulation(large_fleet_config());
    for _ in 0..8 {
        let write = world.submit(WRITE, 2_000 * MS);
        world.advance(500 * MS);
        assert!(target(&world, write).is_some(), "held for half a second");
        world.end_attempt(write, Verdict::Served);
    }
}

#[test]
fn a_driver_among_many_health_checks_nobody_before_a_request_needs_it() {
    let mut world = Simulation::new(large_fleet_config(), 4);
    world.advance(20_000 * MS);
    assert!(world.health_checks.is_empty());
    world.submit(RECENT_READ, 1_000 * MS);
    assert_eq!(world.health_checks.len(), 1);
}

#[test]
fn reads_keep_off_a_zone_beyond_a_long_way() {
    let mut world = checked_simulation(large_fleet_config());
    world.grow_to(6);
    for id in [4, 5] {
        world.apply_list_entry(ListedMember { zone: 1, ..list_entry(id, MemberStatus::Ready, None) });
    }
    let met = |world: &mut Simulation| {
        let met = (0..40).filter(|_| {
            world.advance(100 * MS);
            let read = world.submit(ANY_AGE_READ, 1_000 * MS);
            let far = target(world, read).is_some_and(|id| id >= 4);
            if target(world, read).is_some() {
                world.end_attempt(read, Verdict::Served);
            }
            far
        });
        met.count()
    };
    assert!(met(&mut world) > 5);
    // One member does not answer; its neighbour is not asked.
    (0..8).for_each(|_| world.end_health_check_with_verdict(4, Verdict::TimedOut));
    assert_eq!(met(&mut world), 0);
    world.advance(5_000 * MS);
    assert!(met(&mut world) > 5, "tried again after a while");
}

#[test]
fn a_driver_among_many_that_is_refused_a_connection_closes_its_idle_ones_and_health_checks() {
    let mut world = checked_simulation(large_fleet_config());
    world.health_checks.clear();
    let write = world.submit(WRITE, 2_000 * MS);
    world.end_attempt(write, Verdict::Unconnected);
    assert_eq!((&world.health_checks[..], world.idle_closed.len()), (&[0][..], 4));
    world.end_health_check(0, true);
    world.advance(300 * MS);
    assert_eq!(target(&world, write), Some(0), "what answers is not dead");
    world.end_attempt(write, Verdict::Served);
    assert_eq!(world.idle_closed[4..], [0], "closed after use while connections are short");
}

#[test]
fn room_of_the_dead_is_taken_over_and_given_back_but_not_at_cold_members() {
    let mut world = checked_simulation(large_fleet_config());
    // How many attempts are out at once of what many requests want, with so many drivers alive.
    let mut at_once = |living: usize| {
        world.router.set_fleet_size(living, 150);
        world.advance(1_500 * MS);
        world.answer_all_health_checks();
        let requests: Vec<RequestHandle> = (0..60).map(|_| world.submit(ANY_AGE_READ, 1_500 * MS)).collect();
        let out = world.in_flight().len();
        for request in requests {
            if target(&world, request).is_some() {
                world.end_attempt(request, Verdict::Served);
            }
        }
        world.advance(1_500 * MS);
        out
    };
    let all = at_once(150);
    let few = at_once(3);
    assert!(few >= 4 * all.max(1), "{few} with three alive, {all} with all");
    assert!(at_once(150) <= all + 1, "given back at once");
    let cold = |living: usize| {
        let mut world = checked_simulation(large_fleet_config());
        world.router.set_fleet_size(living, 150);
        world.update_list_entry(3, MemberStatus::Ready, Some(world.now));
        for _ in 0..50 {
            let request = world.submit(ANY_AGE_READ, 1_500 * MS);
            if target(&world, request).is_some() {
                world.end_attempt(request, Verdict::Served);
            }
            world.advance(20 * MS);
        }
        world.attempted.iter().filter(|&&(_, id)| id == 3).count()
    };
    assert!(cold(3) <= cold(150).max(1), "{} and {}", cold(3), cold(150));
}

#[test]
fn errors_that_follow_a_request_blacklist_nobody_and_those_of_a_member_do() {
    let mut world = checked_simulation(large_fleet_config());
    for round in 0..40 {
        world.advance(200 * MS);
        let bad = round % 2 == 0;
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        let mut met = Vec::new();
        while let Some(id) = target(&world, read) {
            met.push(id);
            world.end_attempt(read, if bad { Verdict::Error } else { Verdict::Served });
        }
        // Two members' word is enough: it is failed, and nobody is passed over for it.
        assert_eq!((met.len(), world.failed.contains(&read)), if bad { (2, true) } else { (1, false) });
    }
    world.failed.clear();
    let mut met = 0;
    for _ in 0..60 {
        world.advance(100 * MS);
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        while let Some(id) = target(&world, read) {
            met += usize::from(id == 2);
            world.end_attempt(read, if id == 2 { Verdict::Error } else { Verdict::Served });
        }
    }
    assert!(met <= 4, "others honoured what it failed: it is blacklisted, {met}");
    assert!(world.failed.is_empty());
}

#[test]
fn connections_that_rested_and_met_silence_are_opened_afresh() {
    let mut world = Simulation::new(large_fleet_config(), 1);
    world.answer_all_health_checks();
    // Whatever rested for over a second is dropped unseen; an attempt just behind an answer is served.
    let mut silent = Vec::new();
    for round in 0..30 {
        for gap in [1_500, 100] {
            world.advance(gap * MS);
            world.new_connections.clear();
            let read = world.submit(ANY_AGE_READ, 600 * MS);
            if target(&world, read).is_none() {
                continue;
            }
            if gap > 1_000 && world.new_connections.is_empty() {
                silent.push(round);
                world.advance(600 * MS);
            } else {
                world.end_attempt(read, Verdict::Served);
            }
        }
    }
    assert!(!silent.is_empty(), "nothing is known at first");
    assert!(silent.len() < 12, "and then it is: {silent:?}");
}

#[test]
fn many_drivers_together_hold_to_what_a_cold_member_bears() {
    hold_to_what_a_cold_member_bears(0);
}

#[test]
fn requests_that_bring_a_quick_error_along_count_at_a_cold_member_as_others_do() {
    hold_to_what_a_cold_member_bears(6);
}

/// So many in ten requests end with a quick error wherever they go.
fn hold_to_what_a_cold_member_bears(bad: usize) {
    let terms =
        aldermill_routing::RouterConfig { routers: 30, routers_sharing_warm_up: 30, ..router_config() };
    let mut worlds: Vec<Simulation> =
        (0..30).map(|seed| Simulation::with_seed(terms.clone(), 4, seed)).collect();
    worlds.iter_mut().for_each(Simulation::answer_all_health_checks);
    let mut at_cold: Vec<i64> = Vec::new();
    let mut usual = 0;
    let began = worlds[0].now;
    for step in 0..1_300 {
        for (index, world) in worlds.iter_mut().enumerate() {
            if step == 500 {
                world.update_list_entry(3, MemberStatus::Ready, Some(world.now));
            }
            // Ten requests a second at each driver, each at its own moments.
            if (step + index) % 10 == 0 {
                let read = world.submit(ANY_AGE_READ, 1_000 * MS);
                let fails = (step / 10 + index) % 10 < bad;
                while let Some(id) = target(world, read) {
                    usual += i64::from(id == 2 && !fails && (300..500).contains(&step));
                    at_cold.extend((id == 3 && step >= 500).then_some(step as i64 * 10 - 5_000));
                    world.advance(MS);
                    world.end_attempt(read, if fails { Verdict::Error } else { Verdict::Served });
                }
            }
            world.advance((step as i64 + 1) * 10 * MS - (world.now - began));
        }
    }
    let carried = usual as f64 / 2.0;
    for &start in &at_cold {
        let sent = at_cold.iter().filter(|&&at| (start..start + 1_000).contains(&at)).count() as f64;
        let part = 0.2 + 0.8 * ((start + 500) as f64 / 10_000.0).min(1.0);
        let bears = 2.5 * part * carried;
        assert!(
            sent <= bears + 3.0 * bears.sqrt() + 3.0,
            "{sent} in the second from {start} ms, {bears} borne"
        );
    }
    assert!(at_cold.iter().filter(|&&at| at < 3_000).count() > 20, "and it is used: {at_cold:?}");
}

#[test]
fn reads_keep_off_a_member_whose_own_way_is_long() {
    let mut world = checked_simulation(large_fleet_config());
    let met = |world: &mut Simulation| {
        let met = (0..40).filter(|_| {
            world.advance(100 * MS);
            let read = world.submit(ANY_AGE_READ, 1_000 * MS);
            let met = target(world, read);
            met.into_iter().for_each(|_| world.end_attempt(read, Verdict::Served));
            met == Some(3)
        });
        met.count()
    };
    assert!(met(&mut world) > 3);
    // Its neighbours in the zone answer as ever.
    (0..6).for_each(|_| world.answer_health_check_after(3, 300 * MS));
    (0..3).for_each(|id| (0..6).for_each(|_| world.end_health_check(id, true)));
    assert_eq!(met(&mut world), 0);
}
