//! Drains where only they bind: a member that has left the list is used, unless it was listed as draining before.

use crate::simulation::{
    ANY_AGE_READ, MS, Simulation, checked_simulation, list_entry, router_config, target,
};
use aldermill_routing::MemberStatus::{self, Draining, Ready, Unlisted};
use aldermill_routing::{ListedMember, MemberId, Micros, RouterConfig, Verdict};

/// The member that the lists of these tests are about.
const MEMBER: MemberId = 2;
/// Listed start of the member's process that drains.
const START: Micros = 1_000 * MS;
/// Number of an unrelated group.
const OTHER_GROUP: u64 = 8;

/// Returns a simulation in which only draining binds, and the lists of changes have stated these entries.
fn simulation_after(lists: &[ListedMember]) -> Simulation {
    let config = RouterConfig { unlisted_members_usable: true, ..router_config() };
    let mut simulation = checked_simulation(config);
    for entry in lists {
        simulation.router.update_endpoint_list(simulation.now, false, vec![entry.clone()]);
    }
    simulation
}

fn entry(status: MemberStatus, start: Micros) -> ListedMember {
    list_entry(MEMBER, status, Some(start))
}

/// Gives the router a full list that leaves the member out.
fn leave_out(simulation: &mut Simulation) {
    let entries = vec![list_entry(0, Ready, None), list_entry(1, Ready, None)];
    simulation.router.update_endpoint_list(simulation.now, true, entries);
}

/// Returns how many of 60 reads, and of the health checks meanwhile, go to the member.
fn uses(simulation: &mut Simulation) -> usize {
    simulation.health_checks.clear();
    let mut reads = 0;
    for _ in 0..60 {
        simulation.advance(200 * MS);
        simulation.answer_all_health_checks();
        let read = simulation.submit(ANY_AGE_READ, 1_000 * MS);
        reads += usize::from(target(simulation, read) == Some(MEMBER));
        simulation.end_attempt(read, Verdict::Served);
    }
    reads + simulation.health_checks.iter().filter(|&&id| id == MEMBER).count()
}

/// Guards against requests at a member that drained, as soon as the list says that it is gone.
#[test]
fn a_drained_member_gets_nothing_whatever_later_lists_state() {
    let moved = ListedMember { group: OTHER_GROUP, ..entry(Unlisted, START) };
    let later_lists = [
        vec![entry(Unlisted, START)],
        vec![entry(Unlisted, START + MS), entry(Ready, START)],
        vec![entry(Ready, START)],
        vec![entry(Ready, 0)],
        vec![entry(Draining, START + MS), entry(Unlisted, START), entry(Ready, START + MS)],
        vec![moved, entry(Unlisted, START)],
    ];
    let drained = vec![entry(Ready, START), entry(Draining, START)];
    for later in later_lists {
        assert_eq!(uses(&mut simulation_after(&[drained.clone(), later.clone()].concat())), 0, "{later:?}");
    }
    let mut simulation = simulation_after(&drained);
    leave_out(&mut simulation);
    assert_eq!(uses(&mut simulation), 0, "left out of a full list");
}

/// Guards against a drain that binds members which never drained, started again, or were forgotten meanwhile.
#[test]
fn a_member_without_a_drain_since_its_start_is_used() {
    let restarted = [entry(Draining, START), entry(Unlisted, START), entry(Ready, START + MS)];
    let gone_after_restart = [&restarted[..], &[entry(Unlisted, START + MS)]].concat();
    for lists in [&[entry(Unlisted, START)][..], &restarted, &gone_after_restart] {
        assert!(uses(&mut simulation_after(lists)) > 0, "{lists:?}");
    }
    let mut simulation = simulation_after(&[]);
    leave_out(&mut simulation);
    assert!(uses(&mut simulation) > 0, "left out of a full list");

    let mut simulation = simulation_after(&[entry(Draining, START)]);
    simulation.advance(11_000 * MS);
    assert!(!simulation.router.forget_member(simulation.now, MEMBER), "it is listed as draining");
    leave_out(&mut simulation);
    assert!(simulation.router.forget_member(simulation.now, MEMBER));
    simulation.router.update_endpoint_list(simulation.now, false, vec![entry(Ready, START)]);
    assert!(uses(&mut simulation) > 0, "forgotten");
}
