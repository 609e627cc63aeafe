//! The search for the primary of large groups, in which a write that tries one member after another does
//! not reach the primary before its deadline.

use aldermill_routing::{
    ListedMember, MemberId, MemberStatus, Request, RequestHandle, RouterConfig, Verdict,
};

use crate::simulation::{
    ANY_AGE_READ, MS, Simulation, WRITE, large_fleet_config, list_entry, router_config, target,
};

/// Advances the time until the write is served, for at most two seconds. Members answer health checks
/// within 5 ms, and attempts at once. Returns the time that it took in microseconds, and the members that
/// health checks were sent to; `None` if the write was not served.
fn run_until_served(simulation: &mut Simulation, write: RequestHandle) -> Option<(i64, Vec<MemberId>)> {
    let (began_at, mut checked_members) = (simulation.now, Vec::new());
    while simulation.now - began_at < 2_000 * MS {
        while let Some(id) = target(simulation, write) {
            simulation.end_attempt(write, Verdict::Served);
            if id == simulation.primary {
                return Some((simulation.now - began_at, checked_members));
            }
        }
        simulation.advance(5 * MS);
        let newly_checked = std::mem::take(&mut simulation.health_checks);
        newly_checked.iter().for_each(|&id| simulation.end_health_check(id, true));
        checked_members.extend(newly_checked);
    }
    None
}

/// Returns a simulation of a router in a fleet of `router_count`, and of one group of `members`. The
/// primary is the member two thirds of the way through the group.
fn large_group_simulation(router_count: usize, members: usize, seed: u64) -> Simulation {
    let config = RouterConfig { list_requires_subscription: false, max_attempts: 8, ..router_config() };
    let mut simulation = Simulation::with_seed(
        RouterConfig { routers: router_count, routers_sharing_warm_up: router_count, ..config },
        members,
        seed,
    );
    simulation.primary = members * 2 / 3;
    simulation
}

#[test]
fn the_primary_of_a_large_group_is_found_within_a_second() {
    for members in [80, 800] {
        for seed in 0..30 {
            let mut simulation = large_group_simulation(30, members, seed);
            let write = simulation.submit(WRITE, 2_400 * MS);
            let (duration, checked_members) =
                run_until_served(&mut simulation, write).expect("the write is served within two seconds");
            assert!(duration <= 1_000 * MS, "{duration} us among {members} members, seed {seed}");
            assert!(
                checked_members.len() <= members,
                "{} health checks of {members} members",
                checked_members.len()
            );
        }
    }
}

#[test]
fn after_a_failover_the_primary_of_a_large_group_is_found_within_a_second() {
    for seed in 0..30 {
        let mut simulation = large_group_simulation(30, 80, seed);
        let write = simulation.submit(WRITE, 2_400 * MS);
        run_until_served(&mut simulation, write).expect("the write is served within two seconds");
        simulation.advance(10_000 * MS);
        let former_primary = simulation.primary;
        simulation.move_primary((former_primary + 17) % 80);
        simulation.update_list_entry(former_primary, MemberStatus::Unlisted, None);
        let write = simulation.submit(WRITE, 2_400 * MS);
        let (duration, _) =
            run_until_served(&mut simulation, write).expect("the write is served within two seconds");
        assert!(duration <= 1_000 * MS, "{duration} us, seed {seed}");
    }
}

#[test]
fn routers_that_search_at_once_spread_over_the_members() {
    let mut contacts_by_member = [0; 80];
    for seed in 0..30 {
        let mut simulation = large_group_simulation(30, 80, seed);
        simulation.primary = 200;
        simulation.positions.resize(201, 0);
        simulation.submit(WRITE, 2_400 * MS);
        simulation.advance(100 * MS);
        simulation.attempted.iter().for_each(|&(_, id)| contacts_by_member[id] += 1);
        simulation.health_checks.iter().for_each(|&id| contacts_by_member[id] += 1);
    }
    let max_contacts = contacts_by_member.iter().max().expect("there are members");
    assert!(*max_contacts <= 15, "{max_contacts} of 30 routers asked the same member first");
}

#[test]
fn the_search_of_many_routers_is_limited_by_the_load_on_each_member() {
    let mut simulation = Simulation::with_seed(
        RouterConfig { routers: 900, routers_sharing_warm_up: 900, ..large_fleet_config() },
        800,
        3,
    );
    simulation.primary = 1_000;
    simulation.positions.resize(1_001, 0);
    let write = simulation.submit(WRITE, 20_000 * MS);
    (0..4).for_each(|_| simulation.end_attempt(write, Verdict::NotPrimary));
    simulation.advance(2_000 * MS);
    let checks_per_second = 900.0 * simulation.health_checks.len() as f64 / 800.0 / 2.0;
    assert!(
        (20.0..=70.0).contains(&checks_per_second),
        "{checks_per_second} health checks per second and member"
    );
}

/// Returns a simulation of a router that searches for the primaries of 24 groups of eighty members at
/// once. None of the groups has a primary.
fn simulation_searching_all_groups() -> Simulation {
    let mut simulation = large_group_simulation(30, 80, 1);
    simulation.grow_to(1_920);
    simulation.primary = 2_000;
    simulation.positions.resize(2_001, 0);
    for id in 80..1_920 {
        let group = 100 + (id / 80) as u64;
        simulation.apply_list_entry(ListedMember { group, ..list_entry(id, MemberStatus::Ready, None) });
    }
    for group in 101..124 {
        simulation.submit_request(Request { class: WRITE, group, ttl: 20_000 * MS, ..Request::default() });
    }
    simulation.submit(WRITE, 20_000 * MS);
    for _ in 0..4 {
        simulation
            .in_flight()
            .into_iter()
            .for_each(|(write, _)| simulation.end_attempt(write, Verdict::NotPrimary));
    }
    simulation.health_checks.clear();
    simulation
}

#[test]
fn searches_of_many_groups_at_once_limit_unanswered_health_checks() {
    let mut simulation = simulation_searching_all_groups();
    simulation.advance(190 * MS);
    let unanswered = simulation.health_checks.len();
    assert!((16..=32).contains(&unanswered), "{unanswered} health checks while none is answered");
    simulation.advance(1_000 * MS);
    let total_unanswered = simulation.health_checks.len();
    assert!(
        (24..=64).contains(&total_unanswered),
        "{total_unanswered} health checks of members that do not answer"
    );
}

#[test]
fn searches_of_many_groups_at_once_ask_all_members_if_they_answer() {
    let mut simulation = simulation_searching_all_groups();
    let mut checked_members = std::collections::BTreeSet::new();
    for _ in 0..200 {
        simulation.advance(10 * MS);
        let newly_checked = std::mem::take(&mut simulation.health_checks);
        newly_checked.iter().for_each(|&id| simulation.end_health_check(id, true));
        checked_members.extend(newly_checked);
    }
    assert!(
        checked_members.len() >= 1_800,
        "{} of 1,920 members health checked in two seconds",
        checked_members.len()
    );
}

#[test]
fn answers_to_reads_narrow_the_search() {
    let mut simulation = large_group_simulation(2, 12, 5);
    simulation.health_checks.clear();
    let mut has_answered = [false; 12];
    while has_answered.iter().filter(|&&has_answered| has_answered).count() < 10 {
        simulation.advance(10 * MS);
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        let id = target(&simulation, read).expect("a member has capacity");
        let verdict = if id == simulation.primary { Verdict::Overloaded } else { Verdict::Served };
        has_answered[id] = id != simulation.primary;
        if id == simulation.primary {
            simulation.end_attempt_with_report(read, verdict, Default::default());
            simulation.disconnect_client(read);
        } else {
            simulation.end_attempt(read, verdict);
        }
    }
    simulation.advance(1_000 * MS);
    let write = simulation.submit(WRITE, 2_000 * MS);
    let mut not_primary_answers = 0;
    while target(&simulation, write).is_some_and(|id| id != simulation.primary) {
        simulation.end_attempt(write, Verdict::NotPrimary);
        not_primary_answers += 1;
    }
    assert!(not_primary_answers <= 1, "{not_primary_answers} attempts at replicas with two candidates left");
    assert_eq!(target(&simulation, write), Some(simulation.primary));
}

#[test]
fn a_member_promoted_after_it_reported_itself_a_replica_is_found_in_the_next_round() {
    let mut simulation = large_group_simulation(2, 12, 5);
    simulation.primary = 100;
    simulation.positions.resize(101, 0);
    let write = simulation.submit(WRITE, 20_000 * MS);
    assert!(run_until_served(&mut simulation, write).is_none(), "no member is the primary");
    simulation.primary = 3;
    let write = simulation.submit(WRITE, 4_000 * MS);
    assert!(run_until_served(&mut simulation, write).is_some());
}

#[test]
fn a_member_that_joins_a_group_without_a_primary_is_asked() {
    let mut simulation = large_group_simulation(30, 80, 1);
    simulation.primary = 80;
    simulation.grow_to(81);
    let write = simulation.submit(WRITE, 4_000 * MS);
    simulation.apply_list_entry(list_entry(80, MemberStatus::Ready, None));
    assert!(run_until_served(&mut simulation, write).is_some());
}
