//! Sessions move at most once, steps are such that the other sites bear them, and a site is never called drained too early.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    CompletionCheck, DirectiveVersion, DrainState, FleetObservations, Micros, OpenWork, Order, Remaining,
    SiteDrain, SiteLoad, SiteWeights, WHOLE, WaitReason, WeightsError,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;

fn version(number: u64) -> DirectiveVersion {
    DirectiveVersion { term: 7, number }
}

fn site_weights(weights: &[(&str, u32)]) -> SiteWeights {
    SiteWeights::new(weights.iter().map(|&(name, weight)| (name.to_owned(), weight))).unwrap()
}

#[test]
fn each_session_moves_at_most_once_and_none_between_the_other_sites() {
    let sessions: Vec<String> = (0..20_000).map(|at| format!("s{at}")).collect();
    let mut moved = vec![0; sessions.len()];
    let mut before: Vec<String> = Vec::new();
    for weight in [1000, 900, 700, 650, 400, 150, 20, 0] {
        let weights = site_weights(&[("a", weight), ("b", WHOLE), ("c", WHOLE), ("d", 500)]);
        let now: Vec<String> =
            sessions.iter().map(|session| weights.site_for(session, |_| false).unwrap().to_owned()).collect();
        for (at, (old, new)) in before.iter().zip(&now).enumerate() {
            if old != new {
                assert_eq!(old, "a", "{} went from {old} to {new}", sessions[at]);
                moved[at] += 1;
            }
        }
        let own = now.iter().filter(|home| *home == "a").count() as f64 / sessions.len() as f64;
        let wanted = f64::from(weight) / (f64::from(weight) + 2500.0);
        assert!((own - wanted).abs() < 0.015, "{own} of the sessions at weight {weight}");
        before = now;
    }
    assert!(moved.iter().all(|&times| times <= 1));
    // One that dies meanwhile: only its own are bound anew.
    let whole = site_weights(&[("a", 300), ("b", WHOLE), ("c", WHOLE)]);
    for session in &sessions {
        let (with, without) =
            (whole.site_for(session, |_| false), whole.site_for(session, |site| site == "b"));
        assert!(with == without || with == Some("b"));
    }
    assert_eq!(SiteWeights::new([("a".to_owned(), 0)]), Err(WeightsError::NoWeight));
    assert_eq!(
        SiteWeights::new([("a".to_owned(), 1001)]),
        Err(WeightsError::TooHigh { site: "a".to_owned(), weight: 1001 })
    );
}

/// Three sites that bear 100 a second each, of which one retires.
struct World {
    load: f64,
    weight: u32,
    lives: bool,
    heard: usize,
    served: f64,
}

impl World {
    fn observations(&self) -> FleetObservations {
        let whole = self.load * 300.0;
        let own = f64::from(self.weight) / f64::from(self.weight + 2 * WHOLE);
        let other = whole * (1.0 - own) / 2.0;
        let site = |rate: f64, lives, served| SiteLoad {
            rate,
            session_rate: rate,
            spare_rate: (100.0 - rate).max(0.0),
            served_share: served,
            is_alive: lives,
        };
        let sites = [
            ("a".to_owned(), site(whole * own, true, 1.0)),
            ("b".to_owned(), site(other, self.lives, self.served)),
            ("c".to_owned(), site(other, true, 1.0)),
        ];
        FleetObservations { sites: sites.into_iter().collect(), reporting: self.heard, alive: 10 }
    }
}

fn world(load: f64) -> World {
    World { load, weight: WHOLE, lives: true, heard: 10, served: 1.0 }
}

#[test]
fn a_site_drains_in_steps_that_the_others_bear_and_waits_where_they_do_not() {
    let mut world = world(0.6);
    let mut drain = SiteDrain::resume(0, "a", 60 * S, WHOLE);
    let mut took = None;
    for second in 0..120 {
        let now = second * S;
        assert!(!drain.is_late(now, &world.observations()));
        let state = drain.evaluate(now, Order::Run, &world.observations());
        world.weight = drain.weight();
        let observations = world.observations();
        assert!(
            observations.sites["b"].rate <= 100.0 && observations.sites["c"].rate <= 100.0,
            "{observations:?}"
        );
        if state == DrainState::Emptied {
            took = Some(second);
            break;
        }
    }
    assert!(took.is_some_and(|took| took <= 12), "{took:?}");
    // Two sites cannot bear what three do at 80%.
    let mut world = self::world(0.8);
    let mut drain = SiteDrain::resume(0, "a", 60 * S, WHOLE);
    let mut last = DrainState::Restored;
    for second in 0..200 {
        last = drain.evaluate(second * S, Order::Run, &world.observations());
        world.weight = drain.weight();
        assert!(world.observations().sites["b"].rate <= 100.0 + 1e-9);
    }
    assert_eq!(last, DrainState::Moving { weight: drain.weight(), waits: Some(WaitReason::NoCapacity) });
    assert!(drain.is_late(200 * S, &world.observations()));
}

#[test]
fn a_drain_waits_for_service_sites_reports_and_the_operator_and_says_for_which() {
    let waits = |world: &World, order| match SiteDrain::resume(-10 * S, "a", 60 * S, 600).evaluate(
        0,
        order,
        &world.observations(),
    ) {
        DrainState::Moving { waits, .. } => waits,
        state => panic!("{state:?}"),
    };
    let well = || World { weight: 600, ..world(0.5) };
    assert_eq!(waits(&well(), Order::Run), None);
    assert_eq!(waits(&well(), Order::Pause), Some(WaitReason::Paused));
    let b = || "b".to_owned();
    assert_eq!(waits(&World { served: 0.9, ..well() }, Order::Run), Some(WaitReason::PoorService(b())));
    assert_eq!(waits(&World { served: 0.9, ..well() }, Order::Expedite), None);
    assert_eq!(waits(&World { lives: false, ..well() }, Order::Run), Some(WaitReason::SiteSilent(b())));
    assert_eq!(waits(&World { heard: 7, ..well() }, Order::Expedite), Some(WaitReason::FewReports));
    let mut back = SiteDrain::resume(-10 * S, "a", 60 * S, 300);
    let states: Vec<DrainState> =
        (0..10).map(|second| back.evaluate(second * S, Order::Cancel, &well().observations())).collect();
    assert_eq!(states.last(), Some(&DrainState::Restored));
    assert!(matches!(states[0], DrainState::Moving { weight: 550, .. }), "{:?}", states[0]);
}

/// Drivers with sessions and requests at a site, some of which die, stand still or are cut off; whoever holds
/// the duty goes by what it is told. 'Nothing is left' is said only when it is true.
#[test]
fn a_site_is_never_called_drained_while_anything_is_left() {
    const LONGEST_ACTION: Micros = 6 * S;
    let mut said = 0;
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut check = CompletionCheck::new(LONGEST_ACTION);
        // Until when each proxy has something open there, whether it is heard, and since when it is not.
        let mut open: Vec<Micros> = (0..8).map(|_| rng.random_range(0..LONGEST_ACTION / 2)).collect();
        let mut unheard: BTreeMap<usize, Micros> = BTreeMap::new();
        let mut taken_for_dead = [false; 8];
        let plan = version(3);
        let mut knows = [0; 8];
        for tenth in 0..600 {
            let now = tenth * S / 10;
            for proxy in 0..8 {
                // The plan arrives at some time; from then on nothing new is opened there.
                if knows[proxy] == 0 && rng.random_bool(0.02) && !unheard.contains_key(&proxy) {
                    knows[proxy] = 3;
                }
                let since = unheard.get(&proxy).copied();
                // One that hears nobody goes on by what it knew, until decrees run out.
                if knows[proxy] == 0
                    && since.is_none_or(|since| now - since < LONGEST_ACTION / 2)
                    && rng.random_bool(0.1)
                {
                    open[proxy] = open[proxy].max(now + rng.random_range(0..LONGEST_ACTION / 2));
                }
                if since.is_none() && rng.random_bool(0.002) {
                    unheard.insert(proxy, now);
                }
                if since.is_none() && tenth % 10 == 0 {
                    let sessions = u64::from(open[proxy] > now);
                    let of = OpenWork { sessions, ..OpenWork::default() };
                    check.record_report(now, &format!("n{proxy}"), 1, version(knows[proxy]), of);
                }
                // Its death is known after a while.
                if since.is_some_and(|since| now - since > 2 * S) && !taken_for_dead[proxy] {
                    taken_for_dead[proxy] = true;
                    check.proxy_lost(now, &format!("n{proxy}"));
                }
            }
            let living: Vec<String> =
                (0..8).filter(|&at| !taken_for_dead[at]).map(|at| format!("n{at}")).collect();
            let left = check.remaining(now, plan, living.iter().map(String::as_str), 2 * S);
            if left == Remaining::Nothing {
                said += 1;
                let still: Vec<usize> = (0..8).filter(|&proxy| open[proxy] > now).collect();
                assert!(still.is_empty(), "seed {seed} at {now}: {still:?} still have something");
                break;
            }
        }
    }
    assert!(said > 150, "{said} of 200 came to an end");
}

#[test]
fn reports_of_an_earlier_incarnation_or_plan_do_not_count() {
    let mut check = CompletionCheck::new(6 * S);
    let left = |check: &CompletionCheck, now| check.remaining(now, version(3), ["a"], 2 * S);
    check.record_report(0, "a", 2, version(2), OpenWork::default());
    assert_eq!(
        left(&check, 0),
        Remaining::Proxies(vec!["a".to_owned()]),
        "it had not heard of the last step"
    );
    check.record_report(0, "a", 2, version(3), OpenWork::default());
    assert_eq!(left(&check, 0), Remaining::Nothing);
    check.record_report(S, "a", 1, version(3), OpenWork { requests: 1, ..OpenWork::default() });
    assert_eq!(left(&check, S), Remaining::Nothing, "an earlier start");
    check.record_report(S, "a", 3, version(3), OpenWork { outcomes: 1, ..OpenWork::default() });
    assert_eq!(left(&check, S), Remaining::Proxies(vec!["a".to_owned()]));
    check.proxy_lost(2 * S, "a");
    assert_eq!(check.remaining(2 * S, version(3), [], 2 * S), Remaining::SilentUntil(8 * S));
    assert_eq!(check.remaining(8 * S, version(3), [], 2 * S), Remaining::Nothing);
}
