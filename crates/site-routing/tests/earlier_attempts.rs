//! Requests whose repeats are deduplicated for a limited time, after an attempt elsewhere that may have run.

use aldermill_site_routing::{
    Action, Effect, LocalResult, Micros, Need, Outcome, PeerAnswer, Request, RequestClass, RequestHandle,
    SiteRouter, SiteRouterConfig,
};

/// One millisecond in microseconds.
const MS: Micros = 1_000;
/// How long members remember a key, in microseconds.
const WINDOW: Micros = 800 * MS;
/// The timeout of all requests, in microseconds.
const TIMEOUT: Micros = 2_000 * MS;
const GROUP: u64 = 2;
/// The gateway and the site that requests come from.
const SENDER: usize = 0;
const SENDER_SITE: usize = 1;
/// The gateway and the site that has the group's primary.
const RECEIVER: usize = 1;
const RECEIVER_SITE: usize = 2;

fn config(within_site: bool) -> SiteRouterConfig {
    let write = RequestClass {
        effect: Effect::Deduplicated { window: WINDOW, within_site },
        need: Need::Primary,
        objective: 700 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.5,
    };
    SiteRouterConfig {
        classes: vec![write],
        sites: 3,
        max_hops: 3,
        max_credit: 64,
        max_retry_after: 1_000 * MS,
        duplicate_attempts_allowed: false,
    }
}

/// Returns a router between two linked gateways. Whether the receiver takes the age of attempts into account
/// depends on `reads_attempt_ages`.
fn router(within_site: bool, reads_attempt_ages: bool) -> SiteRouter {
    let mut router = SiteRouter::new(config(within_site), 1, 0);
    for (gateway, site, has_primary) in [(SENDER, SENDER_SITE, false), (RECEIVER, RECEIVER_SITE, true)] {
        router.links_changed(0, gateway, site, 1, true);
        router.attempt_ages_announced(gateway, reads_attempt_ages);
        router.capacity_announced(0, gateway, vec![9], &[(GROUP, has_primary)], false);
    }
    router
}

fn from_client() -> Request {
    Request { group: GROUP, timeout: TIMEOUT, ..Request::default() }
}

fn from_sender(earlier_attempt_age: Option<Micros>) -> Request {
    Request { visited: vec![SENDER_SITE], earlier_attempt_age, ..from_client() }
}

/// Returns the number and the attempt age of the one action, which forwards the request.
#[track_caller]
fn forwarded(actions: &[(RequestHandle, Action)]) -> (u64, Option<Micros>) {
    match actions {
        [(_, Action::Forward { number, earlier_attempt_age, .. })] => (*number, *earlier_attempt_age),
        _ => panic!("{actions:?}"),
    }
}

/// Guards against a receiver that takes a copy for a request that was never attempted.
#[test]
fn a_request_is_forwarded_with_the_age_of_its_first_attempt() {
    let mut router = router(false, true);
    let (_, actions) = router.accept(0, from_client());
    let (number, age) = forwarded(&actions.requests);
    assert_eq!(age, None);
    let actions = router.outcome_received::<()>(300 * MS, number, &Outcome::Failed);
    let (number, age) = forwarded(&actions.requests);
    assert_eq!(age, Some(300 * MS));
    // A later attempt does not extend the window, which counts from the first one.
    let actions = router.outcome_received::<()>(500 * MS, number, &Outcome::Failed);
    let (number, age) = forwarded(&actions.requests);
    assert_eq!(age, Some(500 * MS));
    let actions = router.outcome_received::<()>(WINDOW, number, &Outcome::Failed);
    assert!(matches!(actions.requests[..], [(_, Action::Fail)]), "{actions:?}");
}

/// Guards against a middle gateway that loses the age on the way.
#[test]
fn the_age_of_an_earlier_gateways_attempt_is_passed_on() {
    let mut router = router(false, true);
    let (_, actions) = router.accept(0, from_sender(Some(300 * MS)));
    let (number, age) = forwarded(&actions.requests);
    assert_eq!(age, Some(300 * MS));
    // The earlier attempt's window has ended when the receiver gives the request back.
    let actions = router.answered(WINDOW - 300 * MS, number, PeerAnswer::NotPrimary { hint: None });
    assert!(matches!(actions.requests[..], [(_, Action::Reject { .. })]), "{actions:?}");
}

/// Guards against a local router that takes the request for one that was never attempted, when the group's
/// primary moves to its own site.
#[test]
fn the_local_router_gets_the_age_of_an_attempt_at_another_site() {
    let mut router = router(false, true);
    router.groups_listed(0, &[(GROUP, 2)]);
    let (handle, actions) = router.accept(0, from_client());
    let (number, _) = forwarded(&actions.requests);
    router.local_primary_found(100 * MS, GROUP);
    let actions = router.outcome_received::<()>(300 * MS, number, &Outcome::Failed);
    let serve = |actions: &[(RequestHandle, Action)]| match actions {
        [(_, Action::ServeLocally { earlier_attempt_age, .. })] => *earlier_attempt_age,
        _ => panic!("{actions:?}"),
    };
    assert_eq!(serve(&actions.requests), Some(300 * MS));
    let actions = router.local_finished(400 * MS, handle, LocalResult::Rejected { retry_after: 0 });
    assert_eq!(actions.requests, [(handle, Action::Fail)]);
    let (_, actions) = router.accept(400 * MS, from_sender(Some(40 * MS)));
    assert_eq!(serve(&actions.requests), Some(40 * MS));
}

/// Guards against an effect at a second site, where the site of an earlier gateway's attempt is not known.
#[test]
fn a_request_that_only_one_site_deduplicates_is_not_repeated_after_an_earlier_gateways_attempt() {
    let mut router = router(true, true);
    let (handle, actions) = router.accept(0, from_sender(Some(100 * MS)));
    assert!(
        matches!(actions.requests[..], [(other, Action::Reject { .. })] if other == handle),
        "{actions:?}"
    );
}

/// Guards against copies that the receiver has to refuse, one after another, where it doesn't know which of its zones
/// remembers the key.
#[test]
fn a_request_that_only_one_zone_deduplicates_is_failed_at_once_when_it_may_have_run_at_another_site() {
    let mut router = router(true, true);
    let (handle, actions) = router.accept(0, from_client());
    let (number, _) = forwarded(&actions.requests);
    let actions = router.outcome_received::<()>(300 * MS, number, &Outcome::Failed);
    assert_eq!(actions.requests, [(handle, Action::Fail)]);
}

/// Guards a fleet of two versions: a gateway of the earlier one would take a copy for a new request.
#[test]
fn a_request_that_may_have_run_is_not_forwarded_to_a_gateway_that_does_not_read_its_age() {
    let mut router = router(false, false);
    let (handle, actions) = router.accept(0, from_client());
    let (number, _) = forwarded(&actions.requests);
    let actions = router.outcome_received::<()>(300 * MS, number, &Outcome::Failed);
    assert!(actions.requests.is_empty(), "{actions:?}");
    assert!(router.wake(WINDOW - MS).requests.is_empty());
    let actions = router.wake(WINDOW + 20 * MS);
    assert_eq!(actions.requests, [(handle, Action::Fail)]);
}

/// Guards against a write that was applied behind two links and is refused as harmless to try again: the second link
/// drops, and the gateway between them must not tell the sender that the request never ran.
#[test]
fn a_gateway_between_two_links_does_not_deny_a_request_that_it_forwarded_over_a_lost_one() {
    let mut router = router(false, true);
    let (handle, actions) = router.accept(0, from_sender(None));
    let (number, _) = forwarded(&actions.requests);
    assert!(router.links_changed(100 * MS, RECEIVER, RECEIVER_SITE, 0, true).requests.is_empty());
    let actions = router.link_lost(100 * MS, RECEIVER, &[number]);
    assert!(actions.requests.is_empty(), "{actions:?}");
    // A request that was not forwarded over it still goes back at once.
    let (other, actions) = router.accept(100 * MS, from_sender(None));
    assert_eq!(actions.requests, [(other, Action::ReportNotPrimary { hint: None })]);
    // The one that was waits for the link, and fails at its deadline.
    assert!(router.wake(TIMEOUT - 30 * MS).requests.is_empty());
    let actions = router.wake(TIMEOUT - 10 * MS);
    assert_eq!(actions.requests.last(), Some(&(handle, Action::Fail)));
}

/// Guards against the same denial where the receiver fails the request and the primary is not found again.
#[test]
fn a_gateway_between_two_links_does_not_deny_a_request_that_may_have_run_behind_it() {
    let mut router = router(false, true);
    let (handle, actions) = router.accept(0, from_sender(None));
    let (number, _) = forwarded(&actions.requests);
    let actions = router.answered(100 * MS, number, PeerAnswer::Failed);
    let (number, _) = forwarded(&actions.requests);
    let actions = router.answered(200 * MS, number, PeerAnswer::NotPrimary { hint: None });
    assert!(actions.requests.is_empty(), "{actions:?}");
    let actions = router.wake(WINDOW + 20 * MS);
    assert_eq!(actions.requests, [(handle, Action::Fail)]);
}
