//! Drains where only they bind: a member that has left the list is used, unless it was listed as draining before.

use crate::simulation::{
    ANY_AGE_READ, MS, Simulation, checked_simulation, list_entry, router_config, target,
};
use aldermill_routing::{ListedMember, MemberId, MemberStatus, Micros, RouterConfig, Verdict};

/// The member that the lists of these tests are about.
const MEMBER: MemberId = 2;
/// Listed start of the member's process that drains.
const START: Micros = 1_000 * MS;

/// Returns a simulation in which only draining binds, and [`MEMBER`] has been listed with these statuses and starts.
fn simulation_after(lists: &[(MemberStatus, Micros)]) -> Simulation {
    let mut simulation =
        checked_simulation(RouterConfig { unlisted_members_usable: true, ..router_config() });
    for &(status, start) in lists {
        apply(&mut simulation, false, vec![list_entry(MEMBER, status, Some(start))]);
    }
    simulation
}

/// Gives the router a list or a change to it.
fn apply(simulation: &mut Simulation, is_full: bool, entries: Vec<ListedMember>) {
    simulation.router.update_endpoint_list(simulation.now, is_full, entries);
}

/// Returns how many of 60 reads, and of the health checks meanwhile, go to [`MEMBER`].
fn uses(simulation: &mut Simulation) -> usize {
    simulation.health_checks.clear();
    let is_at_member = |simulation: &mut Simulation| {
        simulation.advance(200 * MS);
        simulation.answer_all_health_checks();
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        let is_at_member = target(simulation, read) == Some(MEMBER);
        simulation.end_attempt(read, Verdict::Served);
        is_at_member
    };
    let reads = (0..60).filter(|_| is_at_member(simulation)).count();
    reads + simulation.health_checks.iter().filter(|&&id| id == MEMBER).count()
}

/// Guards against requests at a member that drained, as soon as the list says that it is gone.
#[test]
fn a_drained_member_gets_nothing_whatever_later_lists_state() {
    use MemberStatus::{Draining, Ready, Unlisted};
    let drained = [(Ready, START), (Draining, START)];
    let later_lists: [&[(MemberStatus, Micros)]; 5] = [
        &[(Unlisted, START)],
        &[(Unlisted, START + MS), (Ready, START)],
        &[(Ready, START)],
        &[(Ready, 0)],
        &[(Draining, START + MS), (Unlisted, START), (Ready, START + MS)],
    ];
    for later in later_lists {
        assert_eq!(uses(&mut simulation_after(&[&drained, later].concat())), 0, "{later:?}");
    }
    let mut left_out = simulation_after(&drained);
    apply(&mut left_out, true, vec![list_entry(0, Ready, None), list_entry(1, Ready, None)]);
    assert_eq!(uses(&mut left_out), 0, "left out of a full list");
    let mut moved = simulation_after(&drained);
    let group = 8;
    apply(&mut moved, false, vec![ListedMember { group, ..list_entry(MEMBER, Unlisted, None) }]);
    apply(&mut moved, false, vec![list_entry(MEMBER, Unlisted, None)]);
    assert_eq!(uses(&mut moved), 0, "gone from another group");
}

#[test]
fn a_member_that_never_drained_and_one_that_started_again_are_used() {
    use MemberStatus::{Draining, Ready, Unlisted};
    let restarted = [(Draining, START), (Unlisted, START), (Ready, START + MS)];
    let gone_after_restart = [&restarted[..], &[(Unlisted, START + MS)]].concat();
    let cases: [&[(MemberStatus, Micros)]; 4] =
        [&[(Unlisted, START)], &restarted, &gone_after_restart, &[(Draining, 0), (Ready, START)]];
    for lists in cases {
        assert!(uses(&mut simulation_after(lists)) > 0, "{lists:?}");
    }
    let mut left_out = simulation_after(&[]);
    apply(&mut left_out, true, vec![list_entry(0, Ready, None), list_entry(1, Ready, None)]);
    assert!(uses(&mut left_out) > 0, "left out of a full list");
}

#[test]
fn a_drain_is_forgotten_with_its_member() {
    use MemberStatus::{Draining, Ready, Unlisted};
    let mut simulation = simulation_after(&[(Draining, START)]);
    simulation.advance(11_000 * MS);
    assert!(!simulation.router.forget_member(simulation.now, MEMBER), "it is listed as draining");
    apply(&mut simulation, false, vec![list_entry(MEMBER, Unlisted, Some(START))]);
    assert!(simulation.router.forget_member(simulation.now, MEMBER));
    apply(&mut simulation, false, vec![list_entry(MEMBER, Ready, Some(START))]);
    assert!(uses(&mut simulation) > 0);
}
