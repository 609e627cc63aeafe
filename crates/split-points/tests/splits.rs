//! Keys of known distributions, spread over drivers of which some are not heard.

use std::collections::BTreeMap;

use aldermill_split_points::{Advice, Advisor, Micros, Picture, Said, Shape, Sketch, State, Summary, frame};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const S: Micros = 1_000_000;
const KEYS: usize = 2_000;

fn name(key: usize) -> Vec<u8> {
    format!("k{key:06}").into_bytes()
}

/// Which key is accessed next.
type Load = Box<dyn Fn(&mut Pcg64Mcg, Micros) -> usize>;

/// Twenty drivers, each with its own sight of the same load.
struct World {
    now: Micros,
    sketches: Vec<Sketch>,
    /// Who is heard.
    heard: Vec<bool>,
    /// The true cost of each key in the last window.
    truth: BTreeMap<Vec<u8>, f64>,
    advisor: Advisor,
    rng: Pcg64Mcg,
    load: Load,
}

impl World {
    fn new(seed: u64, load: impl Fn(&mut Pcg64Mcg, Micros) -> usize + 'static) -> World {
        World {
            now: 0,
            sketches: (0..20).map(|driver| Sketch::start(0, seed * 100 + driver)).collect(),
            heard: vec![true; 20],
            truth: BTreeMap::new(),
            advisor: Advisor::start(0, None),
            rng: Pcg64Mcg::seed_from_u64(seed),
            load: Box::new(load),
        }
    }

    fn pass(&mut self, seconds: i64) -> Advice {
        let mut last = None;
        for second in 0..seconds {
            self.now += S;
            if second % 10 == 0 {
                self.truth.clear();
            }
            for _ in 0..400 {
                let key = name((self.load)(&mut self.rng, self.now));
                let cost = self.rng.random_range(5.0..40.0);
                let driver = self.rng.random_range(0..20);
                *self.truth.entry(key.clone()).or_default() += cost;
                self.sketches[driver].access(self.now, &key, cost > 30.0, cost);
            }
            last = Some(self.look());
        }
        last.unwrap()
    }

    fn look(&mut self) -> Advice {
        let mut told: BTreeMap<String, Summary> = BTreeMap::new();
        for (driver, sketch) in self.sketches.iter_mut().enumerate().filter(|(driver, _)| self.heard[*driver])
        {
            let bytes = frame::encode(sketch, self.now);
            assert!(bytes.len() <= frame::MOST, "{}", bytes.len());
            told.insert(format!("n{driver}"), frame::decode(&bytes).unwrap());
        }
        self.advisor.look(self.now, Picture::of(&told), 20)
    }

    /// The larger side's true share under that cut, over the larger side's under the best one.
    fn imbalance(&self, at: &[u8]) -> f64 {
        let all: f64 = self.truth.values().sum();
        let larger = |left: f64| (left / all).max(1.0 - left / all);
        let left: f64 = self.truth.iter().filter(|(key, _)| key[..] < *at).map(|(_, cost)| cost).sum();
        let (mut sum, mut best) = (0.0, 1.0f64);
        for cost in self.truth.values() {
            best = best.min(larger(sum));
            sum += cost;
        }
        larger(left) / best
    }
}

fn zipf(rng: &mut Pcg64Mcg) -> usize {
    // By inversion, with the exponent 1.1; the keys in order of their rank.
    let u: f64 = rng.random();
    let most = 1.0 - (KEYS as f64).powf(-0.1);
    (((1.0 - u * most).powf(-10.0)) as usize).min(KEYS - 1)
}

fn hot_range(rng: &mut Pcg64Mcg) -> usize {
    if rng.random_bool(0.7) { rng.random_range(1_500..1_700) } else { rng.random_range(0..KEYS) }
}

#[track_caller]
fn cut(advice: &Advice) -> Vec<u8> {
    match &advice.said {
        Said::Cut(cut) if advice.state == State::Proposed => cut.at.clone(),
        _ => panic!("{advice:?}"),
    }
}

#[test]
fn a_cut_is_as_good_as_the_best_within_a_tenth_and_the_same_without_a_third_of_the_drivers() {
    type Keys = fn(&mut Pcg64Mcg) -> usize;
    let loads: [(&str, Keys); 2] = [("zipf", zipf), ("hot range", hot_range)];
    for (what, load) in loads {
        for seed in 0..6 {
            let mut points = Vec::new();
            for missing in [0, 2, 6] {
                let mut world = World::new(seed, move |rng, _| load(rng));
                world.heard[..missing].fill(false);
                let advice = world.pass(40);
                let at = cut(&advice);
                let off = world.imbalance(&at);
                assert!(off < 1.1, "{what}, seed {seed}, {missing} missing: {off}, {advice:?}");
                points.push((at, world));
            }
            // Each of them within the interval of the others.
            let (left, within) = {
                let told = |world: &mut World| {
                    let all = world.sketches.iter_mut().enumerate();
                    all.map(|(at, sketch)| (at.to_string(), sketch.summary(world.now, 60))).collect()
                };
                let picture = Picture::of(&told(&mut points[0].1));
                let shares: Vec<(f64, f64)> = points.iter().map(|(at, _)| picture.below(at)).collect();
                (shares.iter().map(|share| share.0).collect::<Vec<_>>(), shares[0].1)
            };
            assert!(
                left.iter().all(|share| (share - left[0]).abs() < 2.0 * within + 0.03),
                "{what} {left:?} {within}"
            );
        }
    }
}

#[test]
fn what_a_cut_would_not_help_is_said() {
    let mut world = World::new(1, |rng, _| rng.random_range(0..KEYS));
    assert_eq!(world.pass(60).said, Said::Even);
    let mut world = World::new(2, |rng, _| if rng.random_bool(0.6) { 77 } else { rng.random_range(0..KEYS) });
    match world.pass(60).said {
        Said::HotKey { key, share } => assert!(key == name(77) && (share - 0.6).abs() < 0.1, "{share}"),
        said => panic!("{said:?}"),
    }
    let front = |rng: &mut Pcg64Mcg, now: Micros| (now / S) as usize * 40 + rng.random_range(0..400);
    let mut world = World::new(3, front);
    let mut fronts = 0;
    for _ in 0..10 {
        let advice = world.pass(10);
        assert_ne!(advice.state, State::Proposed, "{advice:?}");
        fronts += usize::from(matches!(advice.said, Said::Front { .. }));
    }
    assert!(fronts >= 5, "{fronts}");
}

#[test]
fn the_load_of_some_seconds_and_of_few_drivers_proposes_nothing() {
    let burst = |rng: &mut Pcg64Mcg, now: Micros| {
        if (20 * S..28 * S).contains(&now) { hot_range(rng) } else { rng.random_range(0..KEYS) }
    };
    let mut world = World::new(1, burst);
    for _ in 0..60 {
        assert_ne!(world.pass(1).state, State::Proposed);
    }
    let mut world = World::new(1, |rng, _| hot_range(rng));
    world.heard[..10].fill(false);
    let advice = world.pass(60);
    assert_eq!((advice.state, advice.said), (State::Seen, Said::Uncovered { heard: 10, living: 20 }));
}

#[test]
fn a_proposal_stands_while_load_is_the_same_and_follows_it_when_it_moves_for_good() {
    let mut world = World::new(4, |rng, now| {
        let hot = if now < 200 * S { 300..400 } else { 1_700..1_800 };
        if rng.random_bool(0.8) { rng.random_range(hot) } else { rng.random_range(0..KEYS) }
    });
    let at = cut(&world.pass(40));
    for _ in 0..15 {
        assert_eq!(cut(&world.pass(10)), at, "no other point without another load");
    }
    // Drivers that die for a while take nothing back.
    world.heard[..9].fill(false);
    assert_eq!(world.pass(5).state, State::Proposed);
    world.heard.fill(true);
    world.pass(100);
    let moved = cut(&world.look());
    assert!(moved > at && world.imbalance(&moved) < 1.15, "{}", world.imbalance(&moved));
    // A new holder goes on from it.
    world.advisor = Advisor::start(world.now, Some(moved.clone()));
    assert_eq!(cut(&world.pass(30)), moved);
}

#[test]
fn a_driver_with_absurd_figures_is_set_aside_and_named() {
    let mut world = World::new(5, |rng, _| hot_range(rng));
    world.pass(20);
    let mut told: BTreeMap<String, Summary> = BTreeMap::new();
    for (driver, sketch) in world.sketches.iter_mut().enumerate() {
        told.insert(format!("n{driver}"), sketch.summary(world.now, 60));
    }
    let sound = Picture::of(&told);
    if let Some(summary) = told.get_mut("n3") {
        summary.cost *= 1e6;
        summary.samples.iter_mut().for_each(|sample| sample.weight *= 1e6);
    }
    let picture = Picture::of(&told);
    assert!(picture.aside.iter().eq(["n3"]) && picture.drivers == 19);
    let (Shape::Cuts(one), Shape::Cuts(other)) = (sound.shape(), picture.shape()) else { panic!() };
    assert!((sound.below(&other.at).0 - one.left).abs() < 0.05);
}

#[test]
fn a_sample_is_unbiased_and_what_is_read_harms_nothing() {
    // The mean over many seeds of what is estimated of a range comes to the truth.
    let mut mean = 0.0;
    for seed in 0..200 {
        let mut sketch = Sketch::start(0, seed);
        (0..3_000).for_each(|at| sketch.access(0, &name(at % KEYS), false, 1.0 + (at % 7) as f64));
        let summary = sketch.summary(0, 60);
        let left = summary.samples.iter().filter(|sample| sample.key < name(500)).map(|sample| sample.weight);
        mean += left.sum::<f64>() / summary.cost / 200.0;
    }
    let truth = (0..3_000).filter(|at| at % KEYS < 500).map(|at| 1.0 + (at % 7) as f64).sum::<f64>()
        / (0..3_000).map(|at| 1.0 + (at % 7) as f64).sum::<f64>();
    assert!((mean - truth).abs() < 0.015, "{mean} {truth}");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..300), |bytes| {
            if let Ok(summary) = frame::decode(&bytes) {
                Picture::of(&BTreeMap::from([("n".to_owned(), summary)])).shape();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_report_of_many_heavy_keys_of_unlike_length_fits_and_is_read() {
    for seed in 0..20 {
        let mut sketch = Sketch::start(0, seed);
        // Six short ones first in their order, just heavy enough, and six long ones that cost most of it.
        for _ in 0..200 {
            (0..6).for_each(|at| sketch.access(0, format!("a{at}").as_bytes(), false, 5.3));
            let long = |at| format!("b{at}{}", "x".repeat(46));
            (0..6).for_each(|at| sketch.access(0, long(at).as_bytes(), false, 11.4));
        }
        let bytes = frame::encode(&mut sketch, 0);
        assert!(bytes.len() <= frame::MOST, "{}", bytes.len());
        let summary = frame::decode(&bytes).unwrap();
        assert!(summary.heavy.len() == 6 && summary.heavy.iter().all(|heavy| heavy.key.starts_with(b"b")));
    }
}
