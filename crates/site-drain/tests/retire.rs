//! Sessions that move at most once, steps that survivors bear, and a last word that is never too early.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    Farewell, Homes, Left, Looks, Micros, Open, Order, Retirement, Site, State, Unusable, WHOLE, Waits,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;

fn homes(weights: &[(&str, u32)]) -> Homes {
    Homes::of(weights.iter().map(|&(name, weight)| (name.to_owned(), weight))).unwrap()
}

#[test]
fn each_session_moves_at_most_once_and_none_between_survivors() {
    let sessions: Vec<String> = (0..20_000).map(|at| format!("s{at}")).collect();
    let mut moved = vec![0; sessions.len()];
    let mut before: Vec<String> = Vec::new();
    for weight in [1000, 900, 700, 650, 400, 150, 20, 0] {
        let homes = homes(&[("a", weight), ("b", WHOLE), ("c", WHOLE), ("d", 500)]);
        let now: Vec<String> =
            sessions.iter().map(|session| homes.home(session, |_| false).unwrap().to_owned()).collect();
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
    let whole = homes(&[("a", 300), ("b", WHOLE), ("c", WHOLE)]);
    for session in &sessions {
        let (with, without) = (whole.home(session, |_| false), whole.home(session, |site| site == "b"));
        assert!(with == without || with == Some("b"));
    }
    assert_eq!(Homes::of([("a".to_owned(), 0)]), Err(Unusable::Nobody));
    assert_eq!(Homes::of([("a".to_owned(), 1001)]), Err(Unusable::Weight("a".to_owned(), 1001)));
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
    fn looks(&self) -> Looks {
        let whole = self.load * 300.0;
        let own = f64::from(self.weight) / f64::from(self.weight + 2 * WHOLE);
        let other = whole * (1.0 - own) / 2.0;
        let site = |rate: f64, lives, served| Site {
            rate,
            bound: rate,
            room: (100.0 - rate).max(0.0),
            served,
            lives,
        };
        let sites = [
            ("a".to_owned(), site(whole * own, true, 1.0)),
            ("b".to_owned(), site(other, self.lives, self.served)),
            ("c".to_owned(), site(other, true, 1.0)),
        ];
        Looks { sites: sites.into_iter().collect(), heard: self.heard, living: 10 }
    }
}

fn world(load: f64) -> World {
    World { load, weight: WHOLE, lives: true, heard: 10, served: 1.0 }
}

#[test]
fn a_site_goes_by_steps_that_the_others_bear_and_waits_where_they_do_not() {
    let mut world = world(0.6);
    let mut retirement = Retirement::goes_on(0, "a", 60 * S, WHOLE);
    let mut took = None;
    for second in 0..120 {
        let now = second * S;
        assert!(!retirement.is_late(now, &world.looks()));
        let state = retirement.look(now, Order::Goes, &world.looks());
        world.weight = retirement.weight();
        let looks = world.looks();
        assert!(looks.sites["b"].rate <= 100.0 && looks.sites["c"].rate <= 100.0, "{looks:?}");
        if state == State::Emptied {
            took = Some(second);
            break;
        }
    }
    assert!(took.is_some_and(|took| took <= 12), "{took:?}");
    // Two sites cannot bear what three do at 80%.
    let mut world = self::world(0.8);
    let mut retirement = Retirement::goes_on(0, "a", 60 * S, WHOLE);
    let mut last = State::Back;
    for second in 0..200 {
        last = retirement.look(second * S, Order::Goes, &world.looks());
        world.weight = retirement.weight();
        assert!(world.looks().sites["b"].rate <= 100.0 + 1e-9);
    }
    assert_eq!(last, State::Moving { weight: retirement.weight(), waits: Some(Waits::Room) });
    assert!(retirement.is_late(200 * S, &world.looks()));
}

#[test]
fn it_waits_for_service_survivors_drivers_and_the_operator_and_says_for_which() {
    let waits = |world: &World, order| match Retirement::goes_on(-10 * S, "a", 60 * S, 600).look(
        0,
        order,
        &world.looks(),
    ) {
        State::Moving { waits, .. } => waits,
        state => panic!("{state:?}"),
    };
    let well = || World { weight: 600, ..world(0.5) };
    assert_eq!(waits(&well(), Order::Goes), None);
    assert_eq!(waits(&well(), Order::Held), Some(Waits::Operator));
    let b = || "b".to_owned();
    assert_eq!(waits(&World { served: 0.9, ..well() }, Order::Goes), Some(Waits::Service(b())));
    assert_eq!(waits(&World { served: 0.9, ..well() }, Order::Hurried), None);
    assert_eq!(waits(&World { lives: false, ..well() }, Order::Goes), Some(Waits::Survivor(b())));
    assert_eq!(waits(&World { heard: 7, ..well() }, Order::Hurried), Some(Waits::Drivers));
    let mut back = Retirement::goes_on(-10 * S, "a", 60 * S, 300);
    let states: Vec<State> =
        (0..10).map(|second| back.look(second * S, Order::TakenBack, &well().looks())).collect();
    assert_eq!(states.last(), Some(&State::Back));
    assert!(matches!(states[0], State::Moving { weight: 550, .. }), "{:?}", states[0]);
}

/// Drivers with sessions and requests at a site, some of which die, stand still or are cut off; whoever holds
/// the duty goes by what it is told. 'Nothing is left' is said only when it is true.
#[test]
fn retired_is_never_said_while_anything_is_left() {
    const ACTS: Micros = 6 * S;
    let mut said = 0;
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut farewell = Farewell::start(ACTS);
        // Until when each driver has something open there, whether it is heard, and since when it is not.
        let mut open: Vec<Micros> = (0..8).map(|_| rng.random_range(0..ACTS / 2)).collect();
        let mut unheard: BTreeMap<usize, Micros> = BTreeMap::new();
        let mut taken_for_dead = [false; 8];
        let plan = (7, 3);
        let mut knows = [0; 8];
        for tenth in 0..600 {
            let now = tenth * S / 10;
            for driver in 0..8 {
                // The plan arrives at some time; from then on nothing new is opened there.
                if knows[driver] == 0 && rng.random_bool(0.02) && !unheard.contains_key(&driver) {
                    knows[driver] = 3;
                }
                let since = unheard.get(&driver).copied();
                // One that hears nobody goes on by what it knew, until decrees run out.
                if knows[driver] == 0
                    && since.is_none_or(|since| now - since < ACTS / 2)
                    && rng.random_bool(0.1)
                {
                    open[driver] = open[driver].max(now + rng.random_range(0..ACTS / 2));
                }
                if since.is_none() && rng.random_bool(0.002) {
                    unheard.insert(driver, now);
                }
                if since.is_none() && tenth % 10 == 0 {
                    let sessions = u64::from(open[driver] > now);
                    let of = Open { sessions, ..Open::default() };
                    farewell.hear(now, &format!("n{driver}"), 1, (7, knows[driver]), of);
                }
                // Its death is known after a while.
                if since.is_some_and(|since| now - since > 2 * S) && !taken_for_dead[driver] {
                    taken_for_dead[driver] = true;
                    farewell.lost(now, &format!("n{driver}"));
                }
            }
            let living: Vec<String> =
                (0..8).filter(|&at| !taken_for_dead[at]).map(|at| format!("n{at}")).collect();
            let left = farewell.left(now, plan, living.iter().map(String::as_str), 2 * S);
            if left == Left::Nothing {
                said += 1;
                let still: Vec<usize> = (0..8).filter(|&driver| open[driver] > now).collect();
                assert!(still.is_empty(), "seed {seed} at {now}: {still:?} still have something");
                break;
            }
        }
    }
    assert!(said > 150, "{said} of 200 came to an end");
}

#[test]
fn words_of_an_earlier_start_or_plan_do_not_count() {
    let mut farewell = Farewell::start(6 * S);
    let left = |farewell: &Farewell, now| farewell.left(now, (7, 3), ["a"], 2 * S);
    farewell.hear(0, "a", 2, (7, 2), Open::default());
    assert_eq!(left(&farewell, 0), Left::Drivers(vec!["a".to_owned()]), "it had not heard of the last step");
    farewell.hear(0, "a", 2, (7, 3), Open::default());
    assert_eq!(left(&farewell, 0), Left::Nothing);
    farewell.hear(S, "a", 1, (7, 3), Open { requests: 1, ..Open::default() });
    assert_eq!(left(&farewell, S), Left::Nothing, "an earlier start");
    farewell.hear(S, "a", 3, (7, 3), Open { fates: 1, ..Open::default() });
    assert_eq!(left(&farewell, S), Left::Drivers(vec!["a".to_owned()]));
    farewell.lost(2 * S, "a");
    assert_eq!(farewell.left(2 * S, (7, 3), [], 2 * S), Left::Until(8 * S));
    assert_eq!(farewell.left(8 * S, (7, 3), [], 2 * S), Left::Nothing);
}
