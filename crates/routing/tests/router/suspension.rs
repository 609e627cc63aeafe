//! Requests that are suspended while their requester cannot be reached.

use aldermill_routing::{Action, Request, RequestHandle, Verdict};

use crate::fixtures::{MS, WRITE, checked_simulation, router_config, target};
use crate::simulation::Simulation;

fn suspended_write(simulation: &mut Simulation) -> RequestHandle {
    let write = Request { class: WRITE, group: 7, ttl: 2_000 * MS, is_suspended: true, ..Request::default() };
    simulation.submit_request(write)
}

/// Guards against an attempt of a request that nobody may wait for any more.
#[test]
fn a_suspended_request_is_attempted_only_once_it_is_resumed() {
    let mut simulation = checked_simulation(router_config());
    let write = suspended_write(&mut simulation);
    simulation.advance(300 * MS);
    assert_eq!(target(&simulation, write), None);
    let actions = write.resume(&mut simulation.router, simulation.now);
    assert!(matches!(actions.requests[..], [(handle, Action::Attempt { .. })] if handle == write));
}

/// Guards against a retry while the requester cannot be reached. The attempt in flight goes on.
#[test]
fn a_request_that_is_suspended_during_an_attempt_is_not_retried() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 2_000 * MS);
    assert!(target(&simulation, write).is_some());
    write.suspend(&mut simulation.router);
    simulation.end_attempt(write, Verdict::Overloaded);
    simulation.advance(500 * MS);
    assert_eq!(target(&simulation, write), None);
}

/// Guards against a suspended request that never ends.
#[test]
fn a_suspended_request_ends_by_its_deadline() {
    let mut simulation = checked_simulation(router_config());
    let write = suspended_write(&mut simulation);
    simulation.advance(2_000 * MS);
    assert!(simulation.rejected.contains(&write));
}
