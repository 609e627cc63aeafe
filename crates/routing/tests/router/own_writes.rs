//! Reads that must see the writes of their session, where another router made these writes.

use aldermill_routing::{MemberReport, Micros, Request, Role};

use crate::fixtures::{MS, OWN_WRITES_READ, checked_simulation, router_config, target};
use crate::simulation::Simulation;

/// Lead of the members' clock over the router's, in microseconds.
const CLOCK_LEAD: Micros = 5_000 * MS;

/// Returns a simulation in which the members' clock is ahead, no primary is known, and all members report that they
/// are replicas that lag by `lag` microseconds.
fn lagging_replicas(lag: Micros) -> Simulation {
    let mut simulation = checked_simulation(router_config());
    simulation.router.set_members_clock(CLOCK_LEAD, &[]);
    simulation.advance(MS);
    let position = simulation.now + CLOCK_LEAD - lag;
    let report = MemberReport { role: Some(Role::Replica), position: Some(position), age: 0 };
    (0..4).for_each(|member| simulation.answer_health_check_with(member, report));
    simulation
}

fn own_writes_read(last_write_age: Micros) -> Request {
    Request {
        class: OWN_WRITES_READ,
        group: 7,
        ttl: 1_000 * MS,
        last_write_age: Some(last_write_age),
        ..Request::default()
    }
}

/// Guards against a stale read where the process's wall clock is behind: the age of a write that another router
/// states was compared with positions on the members' clock as if the two clocks agreed.
#[test]
fn the_age_of_a_write_counts_on_the_members_clock() {
    let mut simulation = lagging_replicas(100 * MS);
    let read = simulation.submit_request(own_writes_read(50 * MS));
    assert_eq!(target(&simulation, read), None, "no replica has applied the write");
    let read = simulation.submit_request(own_writes_read(150 * MS));
    assert!(target(&simulation, read).is_some(), "all replicas have applied the write");
}
