//! Guarantees of a drain: each session moves at most once, steps fit the spare capacity of the other sites,
//! and a site is never declared drained too early.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    CompletionCheck, DirectiveVersion, DrainState, FULL_WEIGHT, FleetObservations, Micros, OpenWork, Order,
    RemainingWork, SiteDrain, SiteLoad, SiteWeights, WaitReason, WeightsError,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One second in microseconds.
const SECOND: Micros = 1_000_000;

fn version(number: u64) -> DirectiveVersion {
    DirectiveVersion { term: 7, number }
}

fn site_weights(weights: &[(&str, u32)]) -> SiteWeights {
    SiteWeights::new(weights.iter().map(|&(name, weight)| (name.to_owned(), weight))).unwrap()
}

#[test]
fn each_session_moves_at_most_once_and_none_between_the_other_sites() {
    let sessions: Vec<String> = (0..20_000).map(|index| format!("s{index}")).collect();
    let mut moves = vec![0; sessions.len()];
    let mut sites_before: Vec<String> = Vec::new();
    for weight in [1000, 900, 700, 650, 400, 150, 20, 0] {
        let weights = site_weights(&[("a", weight), ("b", FULL_WEIGHT), ("c", FULL_WEIGHT), ("d", 500)]);
        let sites: Vec<String> =
            sessions.iter().map(|session| weights.site_for(session, |_| false).unwrap().to_owned()).collect();
        for (index, (old, new)) in sites_before.iter().zip(&sites).enumerate() {
            if old != new {
                assert_eq!(old, "a", "session {} moved from {old} to {new}", sessions[index]);
                moves[index] += 1;
            }
        }
        let share_of_a = sites.iter().filter(|site| *site == "a").count() as f64 / sessions.len() as f64;
        let expected_share = f64::from(weight) / (f64::from(weight) + 2500.0);
        assert!(
            (share_of_a - expected_share).abs() < 0.015,
            "a share of {share_of_a} of the sessions is at site a at weight {weight}"
        );
        sites_before = sites;
    }
    assert!(moves.iter().all(|&count| count <= 1));
    // If another site fails meanwhile, only its sessions move.
    let weights = site_weights(&[("a", 300), ("b", FULL_WEIGHT), ("c", FULL_WEIGHT)]);
    for session in &sessions {
        let (with_b, without_b) =
            (weights.site_for(session, |_| false), weights.site_for(session, |site| site == "b"));
        assert!(with_b == without_b || with_b == Some("b"));
    }
    assert_eq!(SiteWeights::new([("a".to_owned(), 0)]), Err(WeightsError::NoWeight));
    assert_eq!(
        SiteWeights::new([("a".to_owned(), 1001)]),
        Err(WeightsError::TooHigh { site: "a".to_owned(), weight: 1001 })
    );
}

/// Three sites with a capacity of 100 requests per second each, of which site "a" is draining.
struct FleetModel {
    /// The load of all sites as a part of their capacity, from 0 to 1.
    load_share: f64,
    /// The weight of site "a", in thousandths.
    weight: u32,
    is_b_reporting: bool,
    reporting_proxies: usize,
    served_share_at_b: f64,
}

impl FleetModel {
    fn observations(&self) -> FleetObservations {
        let total_rate = self.load_share * 300.0;
        let share_of_a = f64::from(self.weight) / f64::from(self.weight + 2 * FULL_WEIGHT);
        let other_rate = total_rate * (1.0 - share_of_a) / 2.0;
        let site = |rate: f64, reporting, served| SiteLoad {
            rate,
            session_rate: rate,
            spare_rate: (100.0 - rate).max(0.0),
            served_share: served,
            is_reporting: reporting,
        };
        let sites = [
            ("a".to_owned(), site(total_rate * share_of_a, true, 1.0)),
            ("b".to_owned(), site(other_rate, self.is_b_reporting, self.served_share_at_b)),
            ("c".to_owned(), site(other_rate, true, 1.0)),
        ];
        FleetObservations {
            sites: sites.into_iter().collect(),
            reporting_proxies: self.reporting_proxies,
            alive_proxies: 10,
        }
    }
}

fn fleet(load_share: f64) -> FleetModel {
    FleetModel {
        load_share,
        weight: FULL_WEIGHT,
        is_b_reporting: true,
        reporting_proxies: 10,
        served_share_at_b: 1.0,
    }
}

#[test]
fn drain_steps_fit_the_spare_capacity_of_other_sites_or_wait_for_it() {
    let mut fleet = fleet(0.6);
    let mut drain = SiteDrain::resume(0, "a", 60 * SECOND, FULL_WEIGHT);
    let mut emptied_after = None;
    for second in 0..120 {
        let now = second * SECOND;
        assert!(!drain.misses_deadline(now, &fleet.observations()));
        let state = drain.evaluate(now, Order::Run, &fleet.observations());
        fleet.weight = drain.weight();
        let observations = fleet.observations();
        assert!(
            observations.sites["b"].rate <= 100.0 && observations.sites["c"].rate <= 100.0,
            "{observations:?}"
        );
        if state == DrainState::Emptied {
            emptied_after = Some(second);
            break;
        }
    }
    assert!(emptied_after.is_some_and(|seconds| seconds <= 12), "{emptied_after:?}");
    // Two sites cannot serve the load of three sites at 80% of their capacity.
    let mut fleet = self::fleet(0.8);
    let mut drain = SiteDrain::resume(0, "a", 60 * SECOND, FULL_WEIGHT);
    let mut last = DrainState::Restored;
    for second in 0..200 {
        last = drain.evaluate(second * SECOND, Order::Run, &fleet.observations());
        fleet.weight = drain.weight();
        assert!(fleet.observations().sites["b"].rate <= 100.0 + 1e-9);
    }
    assert_eq!(
        last,
        DrainState::Moving { weight: drain.weight(), wait_reason: Some(WaitReason::NoCapacity) }
    );
    assert!(drain.misses_deadline(200 * SECOND, &fleet.observations()));
}

#[test]
fn a_drain_waits_for_service_sites_reports_and_the_operator_and_names_the_reason() {
    let wait_reason = |fleet: &FleetModel, order| match SiteDrain::resume(-10 * SECOND, "a", 60 * SECOND, 600)
        .evaluate(0, order, &fleet.observations())
    {
        DrainState::Moving { wait_reason, .. } => wait_reason,
        state => panic!("{state:?}"),
    };
    let healthy = || FleetModel { weight: 600, ..fleet(0.5) };
    assert_eq!(wait_reason(&healthy(), Order::Run), None);
    assert_eq!(wait_reason(&healthy(), Order::Pause), Some(WaitReason::Paused));
    let b = || "b".to_owned();
    assert_eq!(
        wait_reason(&FleetModel { served_share_at_b: 0.9, ..healthy() }, Order::Run),
        Some(WaitReason::PoorService(b()))
    );
    assert_eq!(wait_reason(&FleetModel { served_share_at_b: 0.9, ..healthy() }, Order::Expedite), None);
    assert_eq!(
        wait_reason(&FleetModel { is_b_reporting: false, ..healthy() }, Order::Run),
        Some(WaitReason::SiteNotReporting(b()))
    );
    assert_eq!(
        wait_reason(&FleetModel { reporting_proxies: 7, ..healthy() }, Order::Expedite),
        Some(WaitReason::TooFewReports)
    );
    let mut cancelled = SiteDrain::resume(-10 * SECOND, "a", 60 * SECOND, 300);
    let states: Vec<DrainState> = (0..10)
        .map(|second| cancelled.evaluate(second * SECOND, Order::Cancel, &healthy().observations()))
        .collect();
    assert_eq!(states.last(), Some(&DrainState::Restored));
    assert!(matches!(states[0], DrainState::Moving { weight: 550, .. }), "{:?}", states[0]);
}

/// Simulates proxies with sessions and requests at a draining site. Some proxies die, stall or are isolated,
/// and the lease holder knows only what is reported to it. The site must be declared drained only when no
/// work is left there.
#[test]
fn a_site_is_not_drained_while_any_work_remains() {
    const MAX_ACTIVITY: Micros = 6 * SECOND;
    let mut drained_runs = 0;
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut check = CompletionCheck::new(MAX_ACTIVITY);
        // The instant until which each proxy has open work at the site. Proxies that are no longer heard from
        // are in `silent_since` with the instant at which that began.
        let mut active_until: Vec<Micros> = (0..8).map(|_| rng.random_range(0..MAX_ACTIVITY / 2)).collect();
        let mut silent_since: BTreeMap<usize, Micros> = BTreeMap::new();
        let mut reported_lost = [false; 8];
        let emptied_version = version(3);
        let mut versions = [0; 8];
        for tenth in 0..600 {
            let now = tenth * SECOND / 10;
            for proxy in 0..8 {
                // The plan arrives at a random time. From then on the proxy starts no new work at the site.
                if versions[proxy] == 0 && rng.random_bool(0.02) && !silent_since.contains_key(&proxy) {
                    versions[proxy] = 3;
                }
                let since = silent_since.get(&proxy).copied();
                // An isolated proxy without the plan continues to start work until its directives expire.
                if versions[proxy] == 0
                    && since.is_none_or(|since| now - since < MAX_ACTIVITY / 2)
                    && rng.random_bool(0.1)
                {
                    active_until[proxy] =
                        active_until[proxy].max(now + rng.random_range(0..MAX_ACTIVITY / 2));
                }
                if since.is_none() && rng.random_bool(0.002) {
                    silent_since.insert(proxy, now);
                }
                if since.is_none() && tenth % 10 == 0 {
                    let sessions = u64::from(active_until[proxy] > now);
                    let open_work = OpenWork { sessions, ..OpenWork::default() };
                    check.record_report(now, &format!("n{proxy}"), 1, version(versions[proxy]), open_work);
                }
                // The failure of a silent proxy is detected after two seconds.
                if since.is_some_and(|since| now - since > 2 * SECOND) && !reported_lost[proxy] {
                    reported_lost[proxy] = true;
                    check.proxy_lost(now, &format!("n{proxy}"));
                }
            }
            let alive: Vec<String> =
                (0..8).filter(|&proxy| !reported_lost[proxy]).map(|proxy| format!("n{proxy}")).collect();
            let remaining_work =
                check.remaining_work(now, emptied_version, alive.iter().map(String::as_str), 2 * SECOND);
            if remaining_work == RemainingWork::Nothing {
                drained_runs += 1;
                let unfinished: Vec<usize> = (0..8).filter(|&proxy| active_until[proxy] > now).collect();
                assert!(unfinished.is_empty(), "seed {seed} at {now}: {unfinished:?} still have open work");
                break;
            }
        }
    }
    assert!(drained_runs > 150, "only {drained_runs} of 200 drains completed");
}

#[test]
fn reports_of_an_earlier_incarnation_or_plan_do_not_count() {
    let mut check = CompletionCheck::new(6 * SECOND);
    let remaining_work =
        |check: &CompletionCheck, now| check.remaining_work(now, version(3), ["a"], 2 * SECOND);
    check.record_report(0, "a", 2, version(2), OpenWork::default());
    assert_eq!(
        remaining_work(&check, 0),
        RemainingWork::Proxies(vec!["a".to_owned()]),
        "the proxy did not know the plan that emptied the site"
    );
    check.record_report(0, "a", 2, version(3), OpenWork::default());
    assert_eq!(remaining_work(&check, 0), RemainingWork::Nothing);
    check.record_report(SECOND, "a", 1, version(3), OpenWork { requests: 1, ..OpenWork::default() });
    assert_eq!(
        remaining_work(&check, SECOND),
        RemainingWork::Nothing,
        "the report is from an earlier incarnation"
    );
    check.record_report(SECOND, "a", 3, version(3), OpenWork { outcomes: 1, ..OpenWork::default() });
    assert_eq!(remaining_work(&check, SECOND), RemainingWork::Proxies(vec!["a".to_owned()]));
    check.proxy_lost(2 * SECOND, "a");
    assert_eq!(
        check.remaining_work(2 * SECOND, version(3), [], 2 * SECOND),
        RemainingWork::LostProxiesUntil(8 * SECOND)
    );
    assert_eq!(check.remaining_work(8 * SECOND, version(3), [], 2 * SECOND), RemainingWork::Nothing);
}
