//! Requests of which another router has made an attempt that may have run.

use aldermill_routing::{Action, DeduplicationScope, Effect, Micros, Request, RequestClass};

use crate::fixtures::{DEDUPLICATED_WRITE, MS, checked_simulation, router_config};

/// Deduplication window of [`DEDUPLICATED_WRITE`], in microseconds.
const WINDOW: Micros = 2_000 * MS;

fn write(earlier_attempt_age: Micros) -> Request {
    Request {
        class: DEDUPLICATED_WRITE,
        group: 7,
        ttl: 3_000 * MS,
        earlier_attempt_age: Some(earlier_attempt_age),
        ..Request::default()
    }
}

/// Guards against an attempt after the window of another router's attempt, right away or on a slow connection.
#[test]
fn the_deduplication_window_counts_from_the_attempt_of_another_router() {
    let mut simulation = checked_simulation(router_config());
    let now = simulation.now;
    let (_, actions) = simulation.router.accept_request(now, write(500 * MS));
    let [(_, Action::Attempt { validity, .. })] = actions.requests[..] else { panic!("{actions:?}") };
    assert!(validity.expires_at < now + WINDOW - 500 * MS, "{validity:?}");
    let (_, actions) = simulation.router.accept_request(now, write(WINDOW));
    // This router made no attempt; the one that submitted the request knows of the earlier one.
    assert!(matches!(actions.requests[..], [(_, Action::Reject { .. })]), "{actions:?}");
}

/// Guards against a repeat in a zone that does not remember the key.
#[test]
fn a_request_that_only_a_zone_deduplicates_is_not_attempted_after_another_router() {
    let mut config = router_config();
    let effect = Effect::Deduplicated { scope: DeduplicationScope::Zone, window: WINDOW };
    let class = &config.classes[DEDUPLICATED_WRITE];
    config.classes[DEDUPLICATED_WRITE] = RequestClass { effect, ..class.clone() };
    let mut simulation = checked_simulation(config);
    let now = simulation.now;
    let (_, actions) = simulation.router.accept_request(now, write(MS));
    assert!(matches!(actions.requests[..], [(_, Action::Reject { .. })]), "{actions:?}");
}
