//! Repeats of requests that may have run, by the members that drop them.

use aldermill_routing::{
    DeduplicationScope, Effect, ListedMember, MemberStatus, Micros, RequestHandle, Verdict,
};

use crate::fixtures::{DEDUPLICATED_WRITE, MS, WRITE, list_entry, router_config, target};
use crate::simulation::Simulation;

/// Time for which members remember the key of a request.
const WINDOW: Micros = 20_000 * MS;
/// More attempts than any request of these tests uses.
const MAX_ATTEMPTS: u32 = 100;
/// Time that clients wait for their answers.
const TIMEOUT: Micros = 60_000 * MS;

/// Returns a simulation of members 0 and 2 in one zone and 1 and 3 in another. Member 0 is the primary. Deduplicated
/// writes have this scope.
fn simulation(scope: DeduplicationScope) -> Simulation {
    let mut config = router_config();
    config.zones = 2;
    config.max_attempts = MAX_ATTEMPTS;
    config.classes[DEDUPLICATED_WRITE].effect = Effect::Deduplicated { scope, window: WINDOW };
    let mut simulation = Simulation::new(config, 1);
    simulation.grow_to(4);
    for id in 1..4 {
        simulation
            .apply_list_entry(ListedMember { zone: id % 2, ..list_entry(id, MemberStatus::Ready, None) });
    }
    simulation.answer_all_health_checks();
    simulation
}

/// Submits a deduplicated write whose attempt at member 0 ends with a reset: it may have run there.
fn write_that_may_have_run(simulation: &mut Simulation) -> RequestHandle {
    let write = simulation.submit(DEDUPLICATED_WRITE, TIMEOUT);
    assert_eq!(target(simulation, write), Some(0));
    simulation.end_attempt(write, Verdict::Reset);
    write
}

/// Lets another write find out that the member has become the primary, after member 0 has left the list.
fn find_primary(simulation: &mut Simulation, id: usize) {
    simulation.move_primary(id);
    simulation.update_list_entry(0, MemberStatus::Unlisted, None);
    let other = simulation.submit(WRITE, TIMEOUT);
    for _ in 0..500 {
        let misdirected = simulation.in_flight().into_iter().find(|&(_, asked)| asked != id);
        match misdirected {
            Some((handle, _)) => simulation.end_attempt(handle, Verdict::NotPrimary),
            None if target(simulation, other) == Some(id) => {
                return simulation.end_attempt(other, Verdict::Served);
            }
            None => simulation.advance(20 * MS),
        }
    }
    panic!("the primary was never asked");
}

/// Returns the members that the request was attempted at.
fn attempted_at(simulation: &Simulation, write: RequestHandle) -> Vec<usize> {
    simulation.attempted.iter().filter(|(handle, _)| *handle == write).map(|&(_, id)| id).collect()
}

/// Guards against a second effect of a write whose repeats one zone drops, at a new primary in another zone. It can't be
/// sent again, so it is answered as soon as that primary is known.
#[test]
fn a_write_that_one_zone_deduplicates_is_not_repeated_in_another() {
    let mut simulation = simulation(DeduplicationScope::Zone);
    let write = write_that_may_have_run(&mut simulation);
    find_primary(&mut simulation, 1);
    simulation.advance(40 * MS);
    assert_eq!(simulation.failed, [write]);
    assert_eq!(attempted_at(&simulation, write), [0]);
}

/// Guards against a repeat that is given up although the new primary drops it.
#[test]
fn a_write_that_may_have_run_is_repeated_at_a_new_primary_that_drops_it() {
    for (scope, primary) in [(DeduplicationScope::Zone, 2), (DeduplicationScope::Group, 1)] {
        let mut simulation = simulation(scope);
        let write = write_that_may_have_run(&mut simulation);
        find_primary(&mut simulation, primary);
        simulation.advance(40 * MS);
        assert_eq!(target(&simulation, write), Some(primary), "{scope:?}");
    }
}

/// Guards against a search for the primary that asks members of other zones, or the own zone only once.
#[test]
fn the_search_for_the_primary_of_a_repeat_stays_in_its_zone_until_one_is_found() {
    let mut simulation = simulation(DeduplicationScope::Zone);
    let write = write_that_may_have_run(&mut simulation);
    simulation.move_primary(3);
    for step in 0..200 {
        if step == 100 {
            simulation.move_primary(2);
        }
        match target(&simulation, write) {
            Some(id) if id == 2 && step >= 100 => return,
            Some(id) => {
                assert_eq!(id % 2, 0, "a member of another zone");
                simulation.end_attempt(write, Verdict::NotPrimary);
            }
            None => simulation.advance(20 * MS),
        }
    }
    panic!("the new primary of the zone was never asked: {:?}", attempted_at(&simulation, write));
}

/// Guards against a repeat that waits for its deadline after the last member that drops it has left the list.
#[test]
fn a_write_is_answered_once_no_member_that_drops_its_repeat_is_in_service() {
    let mut simulation = simulation(DeduplicationScope::Zone);
    let write = write_that_may_have_run(&mut simulation);
    for id in [0, 2] {
        simulation.apply_list_entry(ListedMember { zone: 0, ..list_entry(id, MemberStatus::Unlisted, None) });
    }
    simulation.advance(40 * MS);
    assert_eq!(simulation.failed, [write]);
}

/// Guards against a client that is told that a retry is harmless after the members have forgotten the request.
#[test]
fn a_write_that_may_have_run_is_not_rejected_after_its_window() {
    let mut simulation = simulation(DeduplicationScope::All);
    let write = write_that_may_have_run(&mut simulation);
    (0..4).for_each(|id| simulation.update_list_entry(id, MemberStatus::Unlisted, None));
    simulation.advance(WINDOW - 200 * MS);
    assert!(simulation.failed.is_empty());
    simulation.advance(400 * MS);
    assert_eq!((&simulation.failed[..], &simulation.rejected[..]), (&[write][..], &[][..]));
}
