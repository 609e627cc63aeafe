//! Fleets of so many members that a router keeps to some of them.

use std::collections::BTreeSet;

use aldermill_routing::{MemberId, Standing, Terms, Verdict};

use crate::world::{LOOSE, MS, READ, World, many, target, terms};

/// A router that gets ten requests a second, and the members that served its reads.
fn used(world: &mut World, reads: usize) -> BTreeSet<MemberId> {
    let mut used = BTreeSet::new();
    for _ in 0..reads {
        world.pass(100 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        if let Some(id) = target(world, read) {
            used.insert(id);
            world.end(read, Verdict::Honoured);
        }
    }
    used
}

/// After this the router knows how few requests it gets.
fn settled(members: usize, drivers: usize, seed: u64) -> World {
    let terms = Terms { drivers, drivers_at_cold: drivers, ..many() };
    let mut world = World::seeded(terms, members, seed);
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
    gone.iter().for_each(|&id| world.relist(id, Standing::Draining, None));
    let after = used(&mut world, 200);
    assert!(gone.iter().all(|id| !after.contains(id)));
    let kept = before.intersection(&after).count();
    assert!(kept + 7 >= before.len(), "{kept} of {} kept", before.len());
    assert!(after.len() + 3 >= before.len(), "{} in place of {}", after.len(), before.len());
}

#[test]
fn a_full_subset_is_left_for_members_with_room() {
    let mut world = settled(320, 1, 4);
    let out: Vec<_> = (0..400).map(|_| world.take(LOOSE, 1_000 * MS)).collect();
    let placed: BTreeSet<MemberId> = out.iter().filter_map(|&read| target(&world, read)).collect();
    assert_eq!(out.iter().filter(|&&read| target(&world, read).is_some()).count(), 400, "none is held");
    assert!(placed.len() > 20, "{} members for 400 reads at once", placed.len());
}

#[test]
fn members_of_a_wide_fleet_that_are_not_used_are_not_checked() {
    let mut world = World::seeded(Terms { drivers: 1, ..terms() }, 320, 4);
    let mut checks = Vec::new();
    for _ in 0..100 {
        world.pass(100 * MS);
        let read = world.take(READ, 1_000 * MS);
        let asked = std::mem::take(&mut world.probes);
        for &id in &asked {
            world.positions[id] = world.now;
            world.probe_answer(id, true);
        }
        checks.extend(asked);
        if target(&world, read).is_some() {
            world.end(read, Verdict::Honoured);
        }
    }
    assert!(checks.len() <= 150, "{} health checks for 100 reads", checks.len());
    let checked: BTreeSet<MemberId> = checks.into_iter().collect();
    assert!(checked.len() < 120, "{} members checked", checked.len());
}

#[test]
fn connections_of_a_search_are_closed_and_those_of_members_in_use_are_kept() {
    let mut world = settled(320, 1, 4);
    world.shut.clear();
    let kept = used(&mut world, 100);
    assert!(world.shut.is_empty(), "closed after reads: {:?}", world.shut);
    let other = (0..320).find(|id| !kept.contains(id) && *id != world.primary).expect("not all are used");
    world.probe_answer(other, true);
    let in_use = *kept.iter().find(|id| **id != world.primary).expect("some are used");
    world.probe_answer(in_use, true);
    assert_eq!(world.shut, [other]);
}

#[test]
fn a_router_that_has_just_started_keeps_to_few_members_too() {
    let mut world = World::seeded(Terms { drivers: 1, drivers_at_cold: 1, ..many() }, 320, 4);
    let used = used(&mut world, 300);
    assert!(used.len() <= 40, "{} members", used.len());
}
