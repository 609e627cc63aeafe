//! Seeded random runs; `World` checks the five rules at every step.

use crate::world::{MS, World, terms};
use aldermill_routing::{ListedRoles, MemberStatus, Verdict};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const VERDICTS: [Verdict; 14] = [
    Verdict::Unobserved,
    Verdict::Served,
    Verdict::Served,
    Verdict::Error,
    Verdict::Overloaded,
    Verdict::TimedOut,
    Verdict::Unconnected,
    Verdict::Unreachable,
    Verdict::LocalFailure,
    Verdict::Reset,
    Verdict::Malformed,
    Verdict::ConnectionLost,
    Verdict::NotSent,
    Verdict::NotPrimary,
];

fn step(world: &mut World, kind: u8, a: u16, b: u16) {
    let (a, b) = (usize::from(a), usize::from(b));
    let members = world.positions.len();
    let id = a % members;
    match kind {
        0..=5 => drop(world.take(b % 6, (100 + 30 * a as i64 % 3_000) * MS)),
        6..=11 => {
            let out = world.out();
            if let Some(&(handle, _)) = out.get(a % out.len().max(1)) {
                world.end(handle, VERDICTS[b % VERDICTS.len()]);
            }
        }
        // The driver stands still, for a moment or for longer than any request lasts.
        12 if b % 4 == 0 => world.stand((1 + (a as i64 * b as i64) % 4_000) * MS),
        // Others are taken for dead, rightly or not, and are back.
        12 if b % 4 == 1 => world.router.set_fleet_size(1 + a % world.terms.routers, world.terms.routers),
        12 => world.pass((1 + b as i64 % 400) * MS),
        13 => world.pass((1 + b as i64 % 15) * MS),
        14 => world.positions[id] = world.positions[id].max(world.now - (b as i64 % 2) * 100 * MS),
        15 => match b % 5 {
            0 => world.health_check_answer(id, false),
            1 => world.report(id),
            2 => world.late_report(id),
            _ => world.health_check_answer(id, true),
        },
        16 => world.move_primary(id),
        17 => {
            let standing = [MemberStatus::Ready, MemberStatus::Draining, MemberStatus::Unlisted][b % 3];
            let started = world.now - (b as i64 % 3_000) * MS;
            let since = if b % 2 == 0 { Some(started) } else { world.since[id] };
            world.relist(id, standing, since);
        }
        18 if b % 2 == 0 => world.list_fails(),
        // Many members start cold at once, new ones among them.
        18 => {
            let (now, grown) = (world.now, members + usize::from(members < 12));
            world.grow(grown);
            (a % grown..grown).for_each(|id| world.relist(id, MemberStatus::Ready, Some(now)));
        }
        _ => {
            if let Some(&(handle, _)) = world.out().first() {
                world.leave(handle);
            }
        }
    }
}

#[test]
fn the_rules_hold_whatever_happens() {
    let config = Config { cases: 250, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let script = vec((0u8..20, 0u16..1000, 0u16..1000), 1..400);
    let (roles, drivers) = (0usize..3, 0usize..3);
    runner
        .run(&(script, roles, drivers), |(script, roles, drivers)| {
            let mut terms = terms();
            terms.routers = [2, 30, 150][drivers];
            terms.routers_sharing_warm_up = terms.routers;
            terms.listed_roles = [ListedRoles::Absent, ListedRoles::Delayed, ListedRoles::Initial][roles];
            let mut world = World::new(terms, if drivers == 2 { 9 } else { 4 });
            for (kind, a, b) in script {
                step(&mut world, kind, a, b);
            }
            world.pass(10_000 * MS);
            Ok(())
        })
        .unwrap();
}
