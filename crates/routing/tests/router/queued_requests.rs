//! Requests that wait for a member: their order, and what they cost while they wait.

use std::time::{Duration, Instant};

use aldermill_routing::{Request, RequestHandle};

use crate::simulation::{ANY_AGE_READ, MS, checked_simulation, router_config};

/// Number of requests of one client that a proxy may have open at the default limits, several times over.
const MANY_REQUESTS: usize = 1_000;

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
