//! Random runs with a fixed seed, in which [`Simulation`] checks the five rules at every step.

use crate::simulation::{MS, Simulation, router_config};
use aldermill_routing::{ListedRoles, MemberStatus, Verdict};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Verdicts that attempts end with. `Served` occurs twice, so that it is drawn more often.
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

/// Applies one step of a random run: `kind` selects what happens, `first` and `second` select the details.
fn apply_step(simulation: &mut Simulation, kind: u8, first: u16, second: u16) {
    let (first, second) = (usize::from(first), usize::from(second));
    let members = simulation.positions.len();
    let id = first % members;
    match kind {
        0..=5 => drop(simulation.submit(second % 6, (100 + 30 * first as i64 % 3_000) * MS)),
        6..=11 => {
            let in_flight = simulation.in_flight();
            if let Some(&(handle, _)) = in_flight.get(first % in_flight.len().max(1)) {
                simulation.end_attempt(handle, VERDICTS[second % VERDICTS.len()]);
            }
        }
        // The router's process stalls, for a moment or for longer than any request lasts.
        12 if second % 4 == 0 => simulation.stall((1 + (first as i64 * second as i64) % 4_000) * MS),
        // Other routers are taken for dead, rightly or wrongly, or are back.
        12 if second % 4 == 1 => {
            simulation.router.set_fleet_size(1 + first % simulation.config.routers, simulation.config.routers)
        }
        12 => simulation.advance((1 + second as i64 % 400) * MS),
        13 => simulation.advance((1 + second as i64 % 15) * MS),
        14 => {
            simulation.positions[id] =
                simulation.positions[id].max(simulation.now - (second as i64 % 2) * 100 * MS)
        }
        15 => match second % 5 {
            0 => simulation.end_health_check(id, false),
            1 => simulation.save_report(id),
            2 => simulation.deliver_saved_report(id),
            _ => simulation.end_health_check(id, true),
        },
        16 => simulation.move_primary(id),
        17 => {
            let member_status =
                [MemberStatus::Ready, MemberStatus::Draining, MemberStatus::Unlisted][second % 3];
            let recent_start = simulation.now - (second as i64 % 3_000) * MS;
            let start_time = if second % 2 == 0 { Some(recent_start) } else { simulation.started_at[id] };
            simulation.update_list_entry(id, member_status, start_time);
        }
        18 if second % 2 == 0 => simulation.list_unavailable(),
        // Many members, new ones among them, start at once and are in slow start.
        18 => {
            let (now, member_count) = (simulation.now, members + usize::from(members < 12));
            simulation.grow_to(member_count);
            (first % member_count..member_count)
                .for_each(|id| simulation.update_list_entry(id, MemberStatus::Ready, Some(now)));
        }
        _ => {
            if let Some(&(handle, _)) = simulation.in_flight().first() {
                simulation.disconnect_client(handle);
            }
        }
    }
}

#[test]
fn the_five_rules_hold_in_random_runs() {
    let runner_config = Config { cases: 250, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(runner_config, rng);
    let steps = vec((0u8..20, 0u16..1000, 0u16..1000), 1..400);
    let (roles_index, fleet_index) = (0usize..3, 0usize..3);
    runner
        .run(&(steps, roles_index, fleet_index), |(steps, roles_index, fleet_index)| {
            let mut config = router_config();
            config.routers = [2, 30, 150][fleet_index];
            config.routers_sharing_warm_up = config.routers;
            config.listed_roles =
                [ListedRoles::Absent, ListedRoles::Delayed, ListedRoles::Initial][roles_index];
            let mut simulation = Simulation::new(config, if fleet_index == 2 { 9 } else { 4 });
            for (kind, first, second) in steps {
                apply_step(&mut simulation, kind, first, second);
            }
            simulation.advance(10_000 * MS);
            Ok(())
        })
        .unwrap();
}
