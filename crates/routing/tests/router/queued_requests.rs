//! Requests that wait for a member: their order, and what they cost while they wait.

use std::time::{Duration, Instant};

use aldermill_routing::{Request, RequestHandle, Verdict};

use crate::simulation::{ANY_AGE_READ, MS, Simulation, WRITE, checked_simulation, router_config, target};

/// Number of requests of one client that a proxy may have open at the default limits, several times over.
const MANY_REQUESTS: usize = 1_000;

/// Submits a write of a connection that has this many earlier requests open.
fn submit_write(simulation: &mut Simulation, client_backlog: usize) -> RequestHandle {
    let request = Request { class: WRITE, group: 7, ttl: 2_000 * MS, client_backlog, ..Request::default() };
    simulation.submit_request(request)
}

/// Fills the primary with writes of a client that pipelines, and returns those in flight and the next one, which has
/// to wait.
fn fill_primary(simulation: &mut Simulation) -> (Vec<RequestHandle>, RequestHandle) {
    let mut in_flight = Vec::new();
    loop {
        let write = submit_write(simulation, in_flight.len());
        if target(simulation, write).is_none() {
            return (in_flight, write);
        }
        in_flight.push(write);
    }
}

/// Guards against clients that pipeline faster than they are served: as the newest request goes first, they took all
/// capacity, and the requests of others waited until they were given up.
#[test]
fn a_request_of_another_client_goes_before_the_newer_ones_of_a_client_that_pipelines() {
    let mut simulation = checked_simulation(router_config());
    let (in_flight, _) = fill_primary(&mut simulation);
    let other = submit_write(&mut simulation, 0);
    let newer: Vec<RequestHandle> =
        (1..9).map(|more| submit_write(&mut simulation, in_flight.len() + more)).collect();
    simulation.end_attempt(in_flight[0], Verdict::Served);
    assert_eq!(target(&simulation, other), Some(0));
    assert!(newer.iter().all(|&write| target(&simulation, write).is_none()));
}

#[test]
fn of_requests_with_equal_backlogs_the_newest_goes_first() {
    let mut simulation = checked_simulation(router_config());
    let (in_flight, _) = fill_primary(&mut simulation);
    let older = submit_write(&mut simulation, 0);
    let newer = submit_write(&mut simulation, 0);
    simulation.end_attempt(in_flight[0], Verdict::Served);
    assert_eq!((target(&simulation, older), target(&simulation, newer)), (None, Some(0)));
}

/// Guards against a search for members by each waiting request at each event: the answers to a few clients with
/// hundreds of requests open held up everybody for hundreds of milliseconds.
#[test]
fn a_thousand_waiting_requests_do_not_hold_up_the_answers_to_others() {
    let mut simulation = checked_simulation(router_config());
    let read = Request { class: ANY_AGE_READ, group: 7, ttl: 2_000 * MS, ..Request::default() };
    let (mut router, now) = (simulation.router.clone(), simulation.now);
    let in_flight: Vec<RequestHandle> = (0..MANY_REQUESTS)
        .filter_map(|_| {
            let (handle, actions) = router.accept_request(now, read.clone());
            (!actions.requests.is_empty()).then_some(handle)
        })
        .collect();
    assert!(in_flight.len() < MANY_REQUESTS / 2, "most requests wait");
    simulation.router = router;
    let started_at = Instant::now();
    for _ in 0..20 {
        simulation.advance(20 * MS);
    }
    // The router decided 20 times about all of them; each time, clients wait for as long as it takes.
    assert!(started_at.elapsed() < Duration::from_millis(500), "{:?}", started_at.elapsed());
}
