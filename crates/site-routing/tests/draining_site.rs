//! A gateway of three sites while one of them hands its sessions on.

use std::collections::BTreeMap;

use aldermill_site_drain::{Order, Plan, Stage, Word};
use aldermill_site_routing::{
    Action, Effect, LOCAL_SITE, LocalResult, Micros, Need, PeerAnswer, Request, RequestClass, SiteRouter,
    SiteRouterConfig,
};

const MS: Micros = 1_000;
const GROUP: u64 = 1;
const READ: usize = 0;
const WRITE: usize = 1;
const LIMIT: Micros = 1_000 * MS;

fn names() -> Vec<String> {
    ["a", "b", "c"].map(str::to_owned).to_vec()
}

/// A gateway of site a, with links to one gateway of b and one of c; all have members of the group.
fn gateway() -> SiteRouter {
    let class = |effect, need| RequestClass {
        effect,
        need,
        objective: 400 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.5,
    };
    let classes = vec![class(Effect::Idempotent, Need::Any), class(Effect::NonIdempotent, Need::Primary)];
    let terms =
        SiteRouterConfig { classes, sites: 3, max_hops: 1, max_credit: 10_000, max_retry_after: 500 * MS };
    let mut sites = SiteRouter::new(terms, 1, 0);
    sites.groups_listed(0, &[(GROUP, 2)]);
    for gateway in 0..2 {
        sites.links_changed(0, gateway, gateway + 1, 1, true);
        sites.capacity_announced(0, gateway, vec![10_000, 10_000], &[(GROUP, gateway == 0)], false);
    }
    sites
}

fn plan(site: &str, stage: Stage, weight: u32) -> Plan {
    let word = Word { site: site.to_owned(), number: 1, order: Order::Goes, by_ms: 0 };
    let shares = names().into_iter().filter(|name| name != site).map(|name| (name, 1000)).collect();
    Plan { word, stage, weight, shares, waits: None }
}

/// The site that the request goes to at once; `None` where it waits. It is answered there.
fn goes(sites: &mut SiteRouter, session: &str, class: usize) -> Option<usize> {
    let session = Some(session.to_owned());
    let request = Request { class, group: GROUP, timeout: LIMIT, visited: Vec::new(), session };
    let (handle, actions) = sites.accept(0, request);
    match actions.requests[..] {
        [] => None,
        [(_, Action::ServeLocally { .. })] => {
            sites.local_finished(0, handle, LocalResult::Served);
            Some(LOCAL_SITE)
        }
        [(_, Action::Forward { gateway, number, .. })] => {
            sites.answered(0, number, PeerAnswer::Served);
            Some(gateway + 1)
        }
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn each_session_moves_once_and_between_survivors_only_where_one_is_lost() {
    let mut sites = gateway();
    let all: Vec<String> = (0..300).map(|at| format!("session {at}")).collect();
    let mut at: BTreeMap<&str, usize> = all.iter().map(|name| (name.as_str(), LOCAL_SITE)).collect();
    let mut moves: BTreeMap<&str, u32> = BTreeMap::new();
    for weight in [1000, 750, 600, 350, 100, 0] {
        let stage = if weight > 0 { Stage::Moving } else { Stage::Emptied };
        sites.assign_sessions(0, &names(), vec![plan("a", stage, weight)]);
        for session in &all {
            let to = goes(&mut sites, session, READ).unwrap();
            if at.insert(session, to) != Some(to) {
                *moves.entry(session).or_default() += 1;
            }
        }
        let stay = at.values().filter(|site| **site == LOCAL_SITE).count() as u32;
        assert!(stay.abs_diff(weight * 3 / 10) <= 30, "{stay} at {weight}");
    }
    assert!(moves.len() == 300 && moves.values().all(|moves| *moves == 1), "{moves:?}");
    // b is lost: its sessions alone are bound anew.
    sites.links_changed(0, 0, 1, 0, true);
    for session in &all {
        assert_eq!(goes(&mut sites, session, READ), Some(2));
    }
    sites.links_changed(0, 0, 1, 1, true);
    sites.capacity_announced(0, 0, vec![10_000, 10_000], &[(GROUP, true)], false);
    assert!(all.iter().all(|session| goes(&mut sites, session, READ) == at.get(session.as_str()).copied()));
}

#[test]
fn alone_it_answers_while_anybody_is_bound_here_and_nothing_new_once_it_is_retired() {
    let mut sites = gateway();
    (0..2).for_each(|gateway| drop(sites.links_changed(0, gateway, gateway + 1, 0, true)));
    sites.assign_sessions(0, &names(), vec![plan("a", Stage::Moving, 1)]);
    assert_eq!(goes(&mut sites, "s", READ), Some(LOCAL_SITE));
    sites.assign_sessions(0, &names(), vec![plan("a", Stage::Emptied, 0)]);
    assert_eq!(goes(&mut sites, "s", READ), None);
    // It is rejected by half of its time, not at the end of it.
    assert!(sites.wake(LIMIT / 2 - MS).requests.is_empty());
    let said = sites.wake(LIMIT / 2 + 20 * MS).requests;
    assert!(matches!(said[..], [(_, Action::Reject { .. })]), "{said:?}");
    // Guests of gateways that have not heard of it are answered until it is retired.
    let guest = |sites: &mut SiteRouter, class| {
        let request = Request { class, group: GROUP, timeout: LIMIT, visited: vec![1], session: None };
        sites.accept(0, request).1.requests[0].1
    };
    assert!(matches!(guest(&mut sites, READ), Action::ServeLocally { .. }));
    let open = sites.open_work(3)["a"];
    assert_eq!((open.sessions, open.requests, open.fates, open.groups), (0, 1, 3, 0));
    sites.primary_found_here(0, GROUP);
    assert_eq!(sites.open_work(0)["a"].groups, 1);
    assert!(matches!(guest(&mut sites, WRITE), Action::ServeLocally { .. }));
    sites.assign_sessions(0, &names(), vec![plan("a", Stage::Retired, 0)]);
    assert!(matches!(guest(&mut sites, READ), Action::ReportNotPrimary { .. }));
    assert!(matches!(guest(&mut sites, WRITE), Action::ReportNotPrimary { .. }));
    assert_eq!(goes(&mut sites, "s", WRITE), None);
}

#[test]
fn others_send_no_reads_where_nobody_is_bound_and_no_writes_once_it_is_retired() {
    let mut sites = gateway();
    // No members here: reads go to the nearest, writes to b.
    sites.groups_listed(0, &[]);
    sites.round_trip_measured(0, 10 * MS);
    sites.round_trip_measured(1, 40 * MS);
    assert_eq!(goes(&mut sites, "s", READ), Some(1));
    sites.assign_sessions(0, &names(), vec![plan("b", Stage::Emptied, 0)]);
    assert_eq!(goes(&mut sites, "s", READ), Some(2));
    assert_eq!(goes(&mut sites, "s", WRITE), Some(1), "roles are not moved by anybody here");
    assert_eq!(sites.open_work(0)["b"].requests, 0);
    sites.assign_sessions(0, &names(), vec![plan("b", Stage::Retired, 0)]);
    assert_eq!(goes(&mut sites, "s", WRITE), Some(2));
}
