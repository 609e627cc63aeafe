//! Groups of so many members that a walk by misses does not reach the primary in the time of a write.

use aldermill_routing::{Handle, MemberId, Standing, Terms, Verdict};

use crate::world::{LOOSE, MS, WRITE, World, line, many, target, terms};

/// Passes time in which members answer health checks within a few milliseconds and attempts at once, until the
/// write is served. Returns how long that took, and the health checks it cost.
fn until_served(world: &mut World, write: Handle) -> Option<(i64, Vec<MemberId>)> {
    let (begin, mut checks) = (world.now, Vec::new());
    while world.now - begin < 2_000 * MS {
        while let Some(id) = target(world, write) {
            world.end(write, Verdict::Honoured);
            if id == world.primary {
                return Some((world.now - begin, checks));
            }
        }
        world.pass(5 * MS);
        let asked = std::mem::take(&mut world.probes);
        asked.iter().for_each(|&id| world.probe_answer(id, true));
        checks.extend(asked);
    }
    None
}

fn wide(drivers: usize, members: usize, seed: u64) -> World {
    let few = Terms { list_on_request: false, max_launches: 8, ..terms() };
    let mut world = World::seeded(Terms { drivers, drivers_at_cold: drivers, ..few }, members, seed);
    world.primary = members * 2 / 3;
    world
}

#[test]
fn the_primary_of_a_wide_group_is_found_within_a_second() {
    for members in [80, 800] {
        for seed in 0..30 {
            let mut world = wide(30, members, seed);
            let write = world.take(WRITE, 2_400 * MS);
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
        let write = world.take(WRITE, 2_400 * MS);
        until_served(&mut world, write).expect("served in its time");
        world.pass(10_000 * MS);
        let old = world.primary;
        world.move_primary((old + 17) % 80);
        world.relist(old, Standing::Gone, None);
        let write = world.take(WRITE, 2_400 * MS);
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
        world.take(WRITE, 2_400 * MS);
        world.pass(100 * MS);
        world.launched.iter().for_each(|&(_, id)| asked_at_first[id] += 1);
        world.probes.iter().for_each(|&id| asked_at_first[id] += 1);
    }
    let most = asked_at_first.iter().max().expect("members");
    assert!(*most <= 15, "{most} of 30 routers asked the same member first");
}

#[test]
fn the_search_of_many_routers_is_paced_by_what_a_member_bears() {
    let mut world = World::seeded(Terms { drivers: 900, drivers_at_cold: 900, ..many() }, 800, 3);
    world.primary = 1_000;
    world.positions.resize(1_001, 0);
    let write = world.take(WRITE, 20_000 * MS);
    (0..4).for_each(|_| world.end(write, Verdict::Miss));
    world.pass(2_000 * MS);
    let members_share = 900.0 * world.probes.len() as f64 / 800.0 / 2.0;
    assert!((20.0..=70.0).contains(&members_share), "{members_share} health checks a second and member");
}

#[test]
fn answers_of_reads_narrow_the_search() {
    let mut world = wide(2, 12, 5);
    world.probes.clear();
    let mut heard = [false; 12];
    while heard.iter().filter(|&&heard| heard).count() < 10 {
        world.pass(10 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        let id = target(&world, read).expect("a replica has room");
        let verdict = if id == world.primary { Verdict::Full } else { Verdict::Honoured };
        heard[id] = id != world.primary;
        if id == world.primary {
            world.end_saying(read, verdict, Default::default());
            world.leave(read);
        } else {
            world.end(read, verdict);
        }
    }
    world.pass(1_000 * MS);
    let write = world.take(WRITE, 2_000 * MS);
    let mut misses = 0;
    while target(&world, write).is_some_and(|id| id != world.primary) {
        world.end(write, Verdict::Miss);
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
    let write = world.take(WRITE, 20_000 * MS);
    assert!(until_served(&mut world, write).is_none(), "no member is primary");
    world.primary = 3;
    let write = world.take(WRITE, 4_000 * MS);
    assert!(until_served(&mut world, write).is_some());
}

#[test]
fn a_member_that_joins_a_group_without_a_primary_is_asked() {
    let mut world = wide(30, 80, 1);
    world.primary = 80;
    world.grow(81);
    let write = world.take(WRITE, 4_000 * MS);
    world.relist_as(line(80, Standing::Ready, None));
    assert!(until_served(&mut world, write).is_some());
}
