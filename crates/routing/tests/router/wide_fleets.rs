//! Fleets of so many members that a router keeps to some of them.

use std::collections::BTreeSet;

use aldermill_routing::{ListedMember, MemberId, MemberStatus, Request, RouterConfig, Verdict};

use crate::simulation::{
    ANY_AGE_READ, MS, RECENT_READ, Simulation, large_fleet_config, list_entry, router_config, target,
};

/// A router that gets ten requests a second, and the members that served its reads.
fn used(world: &mut Simulation, reads: usize) -> BTreeSet<MemberId> {
    let mut used = BTreeSet::new();
    for _ in 0..reads {
        world.advance(100 * MS);
        let read = world.submit(ANY_AGE_READ, 1_000 * MS);
        if let Some(id) = target(world, read) {
            used.insert(id);
            world.end_attempt(read, Verdict::Served);
        }
    }
    used
}

/// After this the router knows how few requests it gets.
fn settled(members: usize, drivers: usize, seed: u64) -> Simulation {
    let terms = RouterConfig { routers: drivers, routers_sharing_warm_up: drivers, ..large_fleet_config() };
    let mut world = Simulation::with_seed(terms, members, seed);
    used(&mut world, 60);
    world
}

#[test]
fn a_router_keeps_to_few_of_very_many_members() {
    let mut world = settled(320, 1, 4);
    let used = used(&mut world, 300);
    assert!((7..=15).contains(&used.len()), "{} members for ten requests a second", used.len());
}

#[test]
fn a_router_uses_all_of_as_many_members_as_it_can_keep_connections_to() {
    let mut world = settled(100, 1, 4);
    let used = used(&mut world, 600);
    assert!(used.len() > 90, "{} of 100 members", used.len());
}

#[test]
fn all_routers_together_spread_evenly() {
    let mut users = vec![0; 320];
    for seed in 0..120 {
        let mut world = settled(320, 1, seed);
        used(&mut world, 60).into_iter().for_each(|id| users[id] += 1);
    }
    let mean = users.iter().sum::<usize>() as f64 / 320.0;
    let spread = users.iter().map(|&users| (users as f64 - mean).powi(2)).sum::<f64>() / 320.0;
    // By chance alone the variance is the mean.
    assert!(spread < mean * 1.5, "variance {spread}, mean {mean}");
    assert!(users.iter().filter(|&&users| users == 0).count() < 20);
}

#[test]
fn members_that_leave_are_replaced_and_the_others_kept() {
    let mut world = settled(320, 1, 4);
    let before = used(&mut world, 200);
    let gone: Vec<MemberId> = before.iter().copied().take(5).collect();
    gone.iter().for_each(|&id| world.update_list_entry(id, MemberStatus::Draining, None));
    let after = used(&mut world, 200);
    assert!(gone.iter().all(|id| !after.contains(id)));
    let kept = before.intersection(&after).count();
    assert!(kept + 7 >= before.len(), "{kept} of {} kept", before.len());
    assert!(after.len() + 3 >= before.len(), "{} in place of {}", after.len(), before.len());
}

#[test]
fn a_full_subset_is_left_for_members_with_room() {
    let mut world = settled(320, 1, 4);
    let out: Vec<_> = (0..400).map(|_| world.submit(ANY_AGE_READ, 1_000 * MS)).collect();
    let placed: BTreeSet<MemberId> = out.iter().filter_map(|&read| target(&world, read)).collect();
    assert_eq!(out.iter().filter(|&&read| target(&world, read).is_some()).count(), 400, "none is held");
    assert!(placed.len() > 20, "{} members for 400 reads at once", placed.len());
}

#[test]
fn members_of_a_wide_fleet_that_are_not_used_are_not_checked() {
    let mut world = Simulation::with_seed(RouterConfig { routers: 1, ..router_config() }, 320, 4);
    let mut checks = Vec::new();
    for _ in 0..100 {
        world.advance(100 * MS);
        let read = world.submit(RECENT_READ, 1_000 * MS);
        let asked = std::mem::take(&mut world.health_checks);
        for &id in &asked {
            world.positions[id] = world.now;
            world.end_health_check(id, true);
        }
        checks.extend(asked);
        if target(&world, read).is_some() {
            world.end_attempt(read, Verdict::Served);
        }
    }
    assert!(checks.len() <= 150, "{} health checks for 100 reads", checks.len());
    let checked: BTreeSet<MemberId> = checks.into_iter().collect();
    assert!(checked.len() < 120, "{} members checked", checked.len());
}

#[test]
fn connections_of_a_search_are_closed_and_those_of_members_in_use_are_kept() {
    let mut world = settled(320, 1, 4);
    world.idle_closed.clear();
    let kept = used(&mut world, 100);
    assert!(world.idle_closed.is_empty(), "closed after reads: {:?}", world.idle_closed);
    let other = (0..320).find(|id| !kept.contains(id) && *id != world.primary).expect("not all are used");
    world.end_health_check(other, true);
    let in_use = *kept.iter().find(|id| **id != world.primary).expect("some are used");
    world.end_health_check(in_use, true);
    assert_eq!(world.idle_closed, [other]);
}

#[test]
fn a_router_that_has_just_started_keeps_to_few_members_too() {
    let mut world = Simulation::with_seed(
        RouterConfig { routers: 1, routers_sharing_warm_up: 1, ..large_fleet_config() },
        320,
        4,
    );
    let used = used(&mut world, 300);
    assert!(used.len() <= 40, "{} members", used.len());
}

const WIDE_GROUP: usize = 80;
const WIDE_GROUPS: usize = 24;

/// The reads that each member of wide groups got from one of thirty routers, which gets 45 reads a second: the first
/// 300 tell it how many requests it gets, the next 300 count.
fn reads_by_member(seed: u64) -> Vec<usize> {
    let terms = RouterConfig { routers: 30, routers_sharing_warm_up: 30, ..large_fleet_config() };
    let mut world = Simulation::with_seed(terms, WIDE_GROUP, seed);
    world.grow_to(WIDE_GROUP * WIDE_GROUPS);
    for id in WIDE_GROUP..WIDE_GROUP * WIDE_GROUPS {
        let group = 100 + (id / WIDE_GROUP) as u64;
        world.apply_list_entry(ListedMember { group, ..list_entry(id, MemberStatus::Ready, None) });
    }
    let mut reads = vec![0; WIDE_GROUP * WIDE_GROUPS];
    for turn in 0..600 {
        world.advance(22 * MS);
        let group = if turn % WIDE_GROUPS == 0 { 7 } else { 100 + (turn % WIDE_GROUPS) as u64 };
        let ttl = 1_000 * MS;
        let read = world.submit_request(Request { class: ANY_AGE_READ, group, ttl, ..Request::default() });
        let id = target(&world, read).expect("placed at once");
        reads[id] += usize::from(turn >= 300);
        world.end_attempt(read, Verdict::Served);
    }
    reads
}

#[test]
fn thirty_routers_share_groups_of_eighty_and_each_keeps_to_two_replicas_of_each() {
    let mut by_member = vec![0; WIDE_GROUP * WIDE_GROUPS];
    for seed in 0..30 {
        let reads = reads_by_member(seed);
        let used = reads.iter().filter(|&&reads| reads > 0).count();
        assert!(used <= 2 * WIDE_GROUPS, "{used} members used by router {seed}");
        by_member.iter_mut().zip(reads).for_each(|(sum, reads)| *sum += reads);
    }
    let mean = by_member.iter().sum::<usize>() as f64 / by_member.len() as f64;
    let most = *by_member.iter().max().expect("members");
    let unused = by_member.iter().filter(|&&reads| reads == 0).count() as f64 / by_member.len() as f64;
    // Sixty draws among eighty by chance leave out 0.47 of them, and one of 1,920 is drawn five or six times.
    assert!(most as f64 <= 8.0 * mean, "{most} reads at one member, mean {mean}");
    assert!(unused <= 0.5, "{unused} of the members not used");
}
