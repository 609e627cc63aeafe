//! Groups of so many members that a walk by misses does not reach the primary in the time of a write.

use aldermill_routing::{
    ListedMember, MemberId, MemberStatus, Request, RequestHandle, RouterConfig, Verdict,
};

use crate::simulation::{
    ANY_AGE_READ, MS, Simulation, WRITE, large_fleet_config, list_entry, router_config, target,
};

/// Passes time in which members answer health checks within a few milliseconds and attempts at once, until the
/// write is served. Returns how long that took, and the health checks it cost.
fn until_served(world: &mut Simulation, write: RequestHandle) -> Option<(i64, Vec<MemberId>)> {
    let (begin, mut checks) = (world.now, Vec::new());
    while world.now - begin < 2_000 * MS {
        while let Some(id) = target(world, write) {
            world.end_attempt(write, Verdict::Served);
            if id == world.primary {
                return Some((world.now - begin, checks));
            }
        }
        world.advance(5 * MS);
        let asked = std::mem::take(&mut world.health_checks);
        asked.iter().for_each(|&id| world.end_health_check(id, true));
        checks.extend(asked);
    }
    None
}

fn wide(drivers: usize, members: usize, seed: u64) -> Simulation {
    let few = RouterConfig { list_requires_subscription: false, max_attempts: 8, ..router_config() };
    let mut world = Simulation::with_seed(
        RouterConfig { routers: drivers, routers_sharing_warm_up: drivers, ..few },
        members,
        seed,
    );
    world.primary = members * 2 / 3;
    world
}

#[test]
fn the_primary_of_a_wide_group_is_found_within_a_second() {
    for members in [80, 800] {
        for seed in 0..30 {
            let mut world = wide(30, members, seed);
            let write = world.submit(WRITE, 2_400 * MS);
            let (took, checks) = until_served(&mut world, write).expect("served in its time");
            assert!(took <= 1_000 * MS, "{took} us among {members}, seed {seed}");
            assert!(checks.len() <= members, "{} health checks of {members} members", checks.len());
        }
    }
}

#[test]
fn after_a_failover_the_primary_of_a_wide_group_is_found_within_a_second() {
    for seed in 0..30 {
        let mut world = wide(30, 80, seed);
        let write = world.submit(WRITE, 2_400 * MS);
        until_served(&mut world, write).expect("served in its time");
        world.advance(10_000 * MS);
        let old = world.primary;
        world.move_primary((old + 17) % 80);
        world.update_list_entry(old, MemberStatus::Unlisted, None);
        let write = world.submit(WRITE, 2_400 * MS);
        let (took, _) = until_served(&mut world, write).expect("served in its time");
        assert!(took <= 1_000 * MS, "{took} us, seed {seed}");
    }
}

#[test]
fn routers_that_search_at_once_spread_over_the_members() {
    let mut asked_at_first = [0; 80];
    for seed in 0..30 {
        let mut world = wide(30, 80, seed);
        world.primary = 200;
        world.positions.resize(201, 0);
        world.submit(WRITE, 2_400 * MS);
        world.advance(100 * MS);
        world.attempted.iter().for_each(|&(_, id)| asked_at_first[id] += 1);
        world.health_checks.iter().for_each(|&id| asked_at_first[id] += 1);
    }
    let most = asked_at_first.iter().max().expect("members");
    assert!(*most <= 15, "{most} of 30 routers asked the same member first");
}

#[test]
fn the_search_of_many_routers_is_paced_by_what_a_member_bears() {
    let mut world = Simulation::with_seed(
        RouterConfig { routers: 900, routers_sharing_warm_up: 900, ..large_fleet_config() },
        800,
        3,
    );
    world.primary = 1_000;
    world.positions.resize(1_001, 0);
    let write = world.submit(WRITE, 20_000 * MS);
    (0..4).for_each(|_| world.end_attempt(write, Verdict::NotPrimary));
    world.advance(2_000 * MS);
    let members_share = 900.0 * world.health_checks.len() as f64 / 800.0 / 2.0;
    assert!((20.0..=70.0).contains(&members_share), "{members_share} health checks a second and member");
}

/// A router that looks for the primaries of 24 groups of eighty at once.
fn searching_everywhere() -> Simulation {
    let mut world = wide(30, 80, 1);
    world.grow_to(1_920);
    world.primary = 2_000;
    world.positions.resize(2_001, 0);
    for id in 80..1_920 {
        let group = 100 + (id / 80) as u64;
        world.apply_list_entry(ListedMember { group, ..list_entry(id, MemberStatus::Ready, None) });
    }
    for group in 101..124 {
        world.submit_request(Request { class: WRITE, group, ttl: 20_000 * MS, ..Request::default() });
    }
    world.submit(WRITE, 20_000 * MS);
    for _ in 0..4 {
        world.in_flight().into_iter().for_each(|(write, _)| world.end_attempt(write, Verdict::NotPrimary));
    }
    world.health_checks.clear();
    world
}

#[test]
fn searches_of_many_groups_at_once_ask_no_faster_than_they_are_answered() {
    let mut world = searching_everywhere();
    world.advance(190 * MS);
    let unanswered = world.health_checks.len();
    assert!((16..=32).contains(&unanswered), "{unanswered} health checks with none answered");
    world.advance(1_000 * MS);
    let silent = world.health_checks.len();
    assert!((24..=64).contains(&silent), "{silent} health checks of members that are silent");
}

#[test]
fn searches_of_many_groups_at_once_ask_all_members_where_these_answer() {
    let mut world = searching_everywhere();
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..200 {
        world.advance(10 * MS);
        let checks = std::mem::take(&mut world.health_checks);
        checks.iter().for_each(|&id| world.end_health_check(id, true));
        asked.extend(checks);
    }
    assert!(asked.len() >= 1_800, "{} of 1,920 members asked in two seconds", asked.len());
}

#[test]
fn answers_of_reads_narrow_the_search() {
    let mut world = wide(2, 12, 5);
    world.health_checks.clear();
    let mut heard = [false; 12];
    while heard.iter().filter(|&&heard| heard).count() < 10 {
        world.advance(10 * MS);
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        let id = target(&world, read).expect("a replica has room");
        let verdict = if id == world.primary { Verdict::Overloaded } else { Verdict::Served };
        heard[id] = id != world.primary;
        if id == world.primary {
            world.end_attempt_with_report(read, verdict, Default::default());
            world.disconnect_client(read);
        } else {
            world.end_attempt(read, verdict);
        }
    }
    world.advance(1_000 * MS);
    let write = world.submit(WRITE, 2_000 * MS);
    let mut misses = 0;
    while target(&world, write).is_some_and(|id| id != world.primary) {
        world.end_attempt(write, Verdict::NotPrimary);
        misses += 1;
    }
    assert!(misses <= 1, "{misses} misses with two members left");
    assert_eq!(target(&world, write), Some(world.primary));
}

#[test]
fn a_member_promoted_after_it_said_that_it_is_a_replica_is_found_in_the_next_round() {
    let mut world = wide(2, 12, 5);
    world.primary = 100;
    world.positions.resize(101, 0);
    let write = world.submit(WRITE, 20_000 * MS);
    assert!(until_served(&mut world, write).is_none(), "no member is primary");
    world.primary = 3;
    let write = world.submit(WRITE, 4_000 * MS);
    assert!(until_served(&mut world, write).is_some());
}

#[test]
fn a_member_that_joins_a_group_without_a_primary_is_asked() {
    let mut world = wide(30, 80, 1);
    world.primary = 80;
    world.grow_to(81);
    let write = world.submit(WRITE, 4_000 * MS);
    world.apply_list_entry(list_entry(80, MemberStatus::Ready, None));
    assert!(until_served(&mut world, write).is_some());
}
