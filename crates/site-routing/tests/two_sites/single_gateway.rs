//! One site router by itself: which requests it forwards, queues, rejects and fails.

use aldermill_site_routing::{
    Action, Actions, Effect, LOCAL_SITE, LocalResult, Outcome, PeerAnswer, Request, RequestClass, SiteRouter,
    SiteRouterConfig,
};

use crate::gateway::{GROUP, MS, PEER_GATEWAY, REMOTE_SITE, TIMEOUT, config};

#[test]
fn a_request_that_cannot_be_answered_in_time_is_rejected_before_it_is_forwarded() {
    let mut router = SiteRouter::new(config(), 1, 0);
    router.links_changed(0, PEER_GATEWAY, REMOTE_SITE, 1, true);
    (0..30).for_each(|_| router.round_trip_measured(PEER_GATEWAY, 300 * MS));
    router.capacity_announced(0, PEER_GATEWAY, vec![9; 4], &[(GROUP, true)], false);
    let request =
        |class, remaining| Request { class, group: GROUP, timeout: remaining, ..Request::default() };
    let (handle, actions) = router.accept(0, request(1, 250 * MS));
    assert!(
        matches!(actions.requests[..], [(other, Action::Reject { .. })] if other == handle),
        "{actions:?}"
    );
    let (_, actions) = router.accept(0, request(1, 1_000 * MS));
    assert!(
        matches!(actions.requests[..], [(_, Action::Forward { timeout, .. })] if timeout <= 850 * MS),
        "{actions:?}"
    );
    // A read of data no older than 10 ms is not forwarded over a link whose one-way delay is longer than
    // that; it is queued.
    let (_, actions) = router.accept(0, request(3, 1_000 * MS));
    assert!(actions.requests.is_empty(), "{actions:?}");
    // Requests beyond the credit are queued, and are forwarded when the credit grows.
    let mut forwarded = 1;
    for _ in 0..20 {
        forwarded += router.accept(0, request(1, 1_000 * MS)).1.requests.len();
    }
    assert_eq!(forwarded, 9);
    assert_eq!(
        router.capacity_announced(0, PEER_GATEWAY, vec![12; 4], &[(GROUP, true)], false).requests.len(),
        3
    );
    // Over a link with a long round trip, more requests may be in flight than the credit allows to run at
    // once, as most of them are in transit.
    let in_flight: Vec<u64> = (1..=12).collect();
    in_flight.iter().for_each(|&number| drop(router.answered(310 * MS, number, PeerAnswer::Served)));
    let mut forwarded = Vec::new();
    for number in 13..60 {
        let (_, actions) = router.accept(310 * MS, request(1, 1_000 * MS));
        forwarded.extend(actions.requests);
        drop(router.answered(620 * MS, number, PeerAnswer::Served));
    }
    assert!(forwarded.len() > 40, "{}", forwarded.len());
    let additional =
        (0..60).map(|_| router.accept(620 * MS, request(1, 1_000 * MS)).1.requests.len()).sum::<usize>();
    assert!(additional > 12, "{additional}");
    // Nothing is forwarded to a gateway that drains.
    router.capacity_announced(0, PEER_GATEWAY, vec![50; 4], &[(GROUP, true)], true);
    assert!(router.accept(0, request(1, 1_000 * MS)).1.requests.is_empty());
}

#[test]
fn a_stall_of_this_process_blacklists_no_peer_gateway() {
    let blacklisted = |stall_reported: bool| {
        let mut router = SiteRouter::new(config(), 1, 0);
        router.links_changed(0, PEER_GATEWAY, REMOTE_SITE, 1, true);
        router.capacity_announced(0, PEER_GATEWAY, vec![50; 4], &[(GROUP, true)], false);
        for _ in 0..9 {
            router.accept(0, Request { class: 1, group: GROUP, timeout: 1_000 * MS, ..Request::default() });
        }
        // The answers arrived during the stall, but were not read before the deadlines of the requests.
        let now = 3_000 * MS;
        if stall_reported {
            router.stall_ended(now);
        }
        let actions = router.wake(now);
        let failed = actions.requests.iter().filter(|(_, action)| matches!(action, Action::Fail)).count();
        assert_eq!(failed, 9, "{actions:?}");
        router.gateway_view(now, PEER_GATEWAY).blacklisted
    };
    assert!(!blacklisted(true));
    assert!(blacklisted(false), "a gateway that loses requests is blacklisted");
}

#[test]
fn a_request_is_never_forwarded_back_to_its_sender() {
    let mut router = SiteRouter::new(config(), 1, 0);
    router.groups_listed(0, &[(GROUP, 2)]);
    router.links_changed(0, PEER_GATEWAY, REMOTE_SITE, 1, true);
    router.capacity_announced(0, PEER_GATEWAY, vec![9; 4], &[(GROUP, true)], false);
    // Each gateway believes that the other site has the primary. The one that was asked reports that it does
    // not have the primary, and the request does not go back and forth.
    let (handle, actions) = router.accept(
        0,
        Request {
            class: 1,
            group: GROUP,
            timeout: 900 * MS,
            visited: vec![REMOTE_SITE],
            ..Request::default()
        },
    );
    assert!(matches!(actions.requests[..], [(_, Action::ServeLocally { .. })]), "{actions:?}");
    let mut last_actions = Actions::default();
    for _ in 0..2 {
        last_actions = router.local_not_primary(10 * MS, handle);
    }
    assert_eq!(
        last_actions.requests,
        [(handle, Action::Withdraw), (handle, Action::ReportNotPrimary { hint: None })]
    );
    assert_eq!(router.handle_by_forward_number(1), None);
    assert_eq!(LOCAL_SITE, 0);
}

#[test]
fn a_request_that_may_have_run_is_neither_withdrawn_nor_rejected() {
    let classes = || {
        let deduplicated = Effect::Deduplicated { window: 2_000 * MS, within_site: false };
        vec![RequestClass { effect: deduplicated, ..config().classes[1] }]
    };
    let new_router = || {
        let mut router = SiteRouter::new(SiteRouterConfig { classes: classes(), ..config() }, 1, 0);
        router.groups_listed(0, &[(GROUP, 2)]);
        router.links_changed(0, PEER_GATEWAY, REMOTE_SITE, 1, true);
        router.attempt_ages_announced(PEER_GATEWAY, true);
        router.capacity_announced(0, PEER_GATEWAY, vec![9], &[(GROUP, false)], false);
        router
    };
    let request =
        |visited| Request { class: 0, group: GROUP, timeout: TIMEOUT, visited, ..Request::default() };
    // An attempt at the local site may have run, and then all members there answered that they are not the
    // primary.
    for visited in [vec![], vec![REMOTE_SITE]] {
        let mut router = new_router();
        let (handle, _) = router.accept(0, request(visited));
        router.local_may_have_run(handle, 0);
        for _ in 0..6 {
            let actions = router.local_not_primary(MS, handle);
            assert!(actions.requests.is_empty(), "{actions:?}");
        }
        let actions = router.local_finished(2 * MS, handle, LocalResult::Failed);
        assert_eq!(actions.requests, [(handle, Action::Fail)]);
    }
    // The request was forwarded and its outcome there is unknown. The local router does not know of that
    // attempt, so its rejection must become a failure.
    let mut router = new_router();
    router.capacity_announced(0, PEER_GATEWAY, vec![9], &[(GROUP, true)], false);
    let (handle, actions) = router.accept(0, request(vec![]));
    let Action::Forward { number, .. } = actions.requests[0].1 else { panic!("{actions:?}") };
    let actions = router.outcome_received::<()>(MS, number, &Outcome::Unknown);
    assert!(matches!(actions.requests[..], [(_, Action::Forward { .. })]), "{actions:?}");
    router.local_primary_found(2 * MS, GROUP);
    let Action::Forward { number, .. } = actions.requests[0].1 else { panic!("{actions:?}") };
    let actions = router.answered(3 * MS, number, PeerAnswer::NotPrimary { hint: None });
    assert!(matches!(actions.requests[..], [(_, Action::ServeLocally { .. })]), "{actions:?}");
    let actions = router.local_finished(4 * MS, handle, LocalResult::Rejected { retry_after: 0 });
    assert_eq!(actions.requests, [(handle, Action::Fail)]);
}
