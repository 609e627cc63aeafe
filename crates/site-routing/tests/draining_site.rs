//! Routing at one gateway in a fleet of three sites while one of the sites drains.

use std::collections::BTreeMap;

use aldermill_site_drain::{OperatorCommand, Order, Plan, Stage};
use aldermill_site_routing::{
    Action, Effect, LOCAL_SITE, LocalResult, Micros, Need, PeerAnswer, Request, RequestClass, SiteRouter,
    SiteRouterConfig,
};

/// One millisecond in microseconds.
const MS: Micros = 1_000;
const GROUP: u64 = 1;
/// Class of idempotent requests that any member can serve.
const READ: usize = 0;
/// Class of non-idempotent requests that only the primary can serve.
const WRITE: usize = 1;
/// Timeout of every request, in microseconds.
const TIMEOUT: Micros = 1_000 * MS;

/// Returns the names of the sites by their index; "a" is the local site.
fn site_names() -> Vec<String> {
    ["a", "b", "c"].map(str::to_owned).to_vec()
}

/// Creates the router of a gateway at site a that is linked to one gateway at b and one at c. All three sites
/// have members of the group, and b announces that it has the primary.
fn router_at_site_a() -> SiteRouter {
    let class = |effect, need| RequestClass {
        effect,
        need,
        objective: 400 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.5,
    };
    let classes = vec![class(Effect::Idempotent, Need::Any), class(Effect::NonIdempotent, Need::Primary)];
    let config = SiteRouterConfig {
        classes,
        sites: 3,
        max_hops: 1,
        max_credit: 10_000,
        max_retry_after: 500 * MS,
        duplicate_attempts_allowed: false,
    };
    let mut router = SiteRouter::new(config, 1, 0);
    router.groups_listed(0, &[(GROUP, 2)]);
    for gateway in 0..2 {
        router.links_changed(0, gateway, gateway + 1, 1, true);
        router.capacity_announced(0, gateway, vec![10_000, 10_000], &[(GROUP, gateway == 0)], false);
    }
    router
}

/// Creates the plan for draining `site`, whose sessions move to the two other sites in equal shares. `weight`
/// is the part of its sessions that the site still has, in thousandths.
fn plan(site: &str, stage: Stage, weight: u32) -> Plan {
    let operator_command =
        OperatorCommand { site: site.to_owned(), number: 1, order: Order::Run, deadline_unix_ms: 0 };
    let shares = site_names().into_iter().filter(|name| name != site).map(|name| (name, 1000)).collect();
    Plan { command: operator_command, stage, weight, shares, wait_text: None }
}

/// Routes a request and reports it as served by the chosen site. Returns that site, or `None` if the request
/// is queued.
fn route_and_answer(router: &mut SiteRouter, session: &str, class: usize) -> Option<usize> {
    let session = Some(session.to_owned());
    let request = Request { class, group: GROUP, timeout: TIMEOUT, session, ..Request::default() };
    let (handle, actions) = router.accept(0, request);
    match actions.requests[..] {
        [] => None,
        [(_, Action::ServeLocally { .. })] => {
            router.local_finished(0, handle, LocalResult::Served);
            Some(LOCAL_SITE)
        }
        [(_, Action::Forward { gateway, number, .. })] => {
            router.answered(0, number, PeerAnswer::Served);
            Some(gateway + 1)
        }
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn each_session_moves_once_in_a_drain_and_again_only_if_its_new_site_is_lost() {
    let mut router = router_at_site_a();
    let sessions: Vec<String> = (0..300).map(|index| format!("session {index}")).collect();
    let mut site_by_session: BTreeMap<&str, usize> =
        sessions.iter().map(|name| (name.as_str(), LOCAL_SITE)).collect();
    let mut moves_by_session: BTreeMap<&str, u32> = BTreeMap::new();
    for weight in [1000, 750, 600, 350, 100, 0] {
        let stage = if weight > 0 { Stage::Moving } else { Stage::Emptied };
        router.assign_sessions(0, &site_names(), vec![plan("a", stage, weight)]);
        for session in &sessions {
            let site = route_and_answer(&mut router, session, READ).unwrap();
            if site_by_session.insert(session, site) != Some(site) {
                *moves_by_session.entry(session).or_default() += 1;
            }
        }
        let remaining = site_by_session.values().filter(|site| **site == LOCAL_SITE).count() as u32;
        assert!(
            remaining.abs_diff(weight * 3 / 10) <= 30,
            "{remaining} of 300 sessions stay at weight {weight}"
        );
    }
    assert!(
        moves_by_session.len() == 300 && moves_by_session.values().all(|count| *count == 1),
        "{moves_by_session:?}"
    );
    // Site b is lost: its sessions move to c, and the sessions at c stay there.
    router.links_changed(0, 0, 1, 0, true);
    for session in &sessions {
        assert_eq!(route_and_answer(&mut router, session, READ), Some(2));
    }
    router.links_changed(0, 0, 1, 1, true);
    router.capacity_announced(0, 0, vec![10_000, 10_000], &[(GROUP, true)], false);
    assert!(sessions.iter().all(|session| route_and_answer(&mut router, session, READ)
        == site_by_session.get(session.as_str()).copied()));
}

#[test]
fn an_unlinked_draining_site_serves_while_it_has_sessions_and_nothing_once_drained() {
    let mut router = router_at_site_a();
    (0..2).for_each(|gateway| drop(router.links_changed(0, gateway, gateway + 1, 0, true)));
    router.assign_sessions(0, &site_names(), vec![plan("a", Stage::Moving, 1)]);
    assert_eq!(route_and_answer(&mut router, "s", READ), Some(LOCAL_SITE));
    router.assign_sessions(0, &site_names(), vec![plan("a", Stage::Emptied, 0)]);
    assert_eq!(route_and_answer(&mut router, "s", READ), None);
    // A queued read is rejected after half of its timeout, not at its deadline.
    assert!(router.wake(TIMEOUT / 2 - MS).requests.is_empty());
    let actions = router.wake(TIMEOUT / 2 + 20 * MS).requests;
    assert!(matches!(actions[..], [(_, Action::Reject { .. })]), "{actions:?}");
    // Gateways that do not know of the drain yet still forward requests here. Those are served until the site
    // is drained.
    let accept_remote_request = |router: &mut SiteRouter, class| {
        let request =
            Request { class, group: GROUP, timeout: TIMEOUT, visited: vec![1], ..Request::default() };
        router.accept(0, request).1.requests[0].1
    };
    assert!(matches!(accept_remote_request(&mut router, READ), Action::ServeLocally { .. }));
    let open_work = router.open_work(3)["a"];
    assert_eq!(
        (open_work.sessions, open_work.requests, open_work.outcomes, open_work.primaries),
        (0, 1, 3, 0)
    );
    router.local_primary_found(0, GROUP);
    assert_eq!(router.open_work(0)["a"].primaries, 1);
    assert!(matches!(accept_remote_request(&mut router, WRITE), Action::ServeLocally { .. }));
    router.assign_sessions(0, &site_names(), vec![plan("a", Stage::Drained, 0)]);
    assert!(matches!(accept_remote_request(&mut router, READ), Action::ReportNotPrimary { .. }));
    assert!(matches!(accept_remote_request(&mut router, WRITE), Action::ReportNotPrimary { .. }));
    assert_eq!(route_and_answer(&mut router, "s", WRITE), None);
}

#[test]
fn other_sites_send_no_reads_to_an_emptied_site_and_no_writes_to_a_drained_one() {
    let mut router = router_at_site_a();
    // The local site has no members: reads go to the nearest site and writes to b, which has the primary.
    router.groups_listed(0, &[]);
    router.round_trip_measured(0, 10 * MS);
    router.round_trip_measured(1, 40 * MS);
    assert_eq!(route_and_answer(&mut router, "s", READ), Some(1));
    router.assign_sessions(0, &site_names(), vec![plan("b", Stage::Emptied, 0)]);
    assert_eq!(route_and_answer(&mut router, "s", READ), Some(2));
    assert_eq!(
        route_and_answer(&mut router, "s", WRITE),
        Some(1),
        "the primary is still at b, as nothing here moves it"
    );
    assert_eq!(router.open_work(0)["b"].requests, 0);
    router.assign_sessions(0, &site_names(), vec![plan("b", Stage::Drained, 0)]);
    assert_eq!(route_and_answer(&mut router, "s", WRITE), Some(2));
}
