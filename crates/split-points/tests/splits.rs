//! Keys of known distributions, spread over proxies of which some are not heard.

use std::collections::BTreeMap;

use aldermill_split_points::{
    KeyDistribution, KeySketch, KeySummary, LoadShape, MAX_SUMMARY_BYTES, Micros, RecommendationState,
    ShareEstimate, SplitAdvisor, SplitAssessment, SplitRecommendation,
};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const KEYS: usize = 2_000;

fn numbered_key(number: usize) -> Vec<u8> {
    format!("k{number:06}").into_bytes()
}

/// Which key is accessed next.
type Load = Box<dyn Fn(&mut Pcg64Mcg, Micros) -> usize>;

/// Twenty proxies, each with its own sight of the same load.
struct Fleet {
    now: Micros,
    sketches: Vec<KeySketch>,
    /// Who is heard.
    heard: Vec<bool>,
    /// The true cost of each key in the last window.
    truth: BTreeMap<Vec<u8>, f64>,
    advisor: SplitAdvisor,
    rng: Pcg64Mcg,
    load: Load,
}

impl Fleet {
    fn new(seed: u64, load: impl Fn(&mut Pcg64Mcg, Micros) -> usize + 'static) -> Fleet {
        Fleet {
            now: 0,
            sketches: (0..20).map(|proxy| KeySketch::start(0, seed * 100 + proxy)).collect(),
            heard: vec![true; 20],
            truth: BTreeMap::new(),
            advisor: SplitAdvisor::start(0, None),
            rng: Pcg64Mcg::seed_from_u64(seed),
            load: Box::new(load),
        }
    }

    fn pass(&mut self, seconds: i64) -> SplitRecommendation {
        let mut last = None;
        for second in 0..seconds {
            self.now += SECOND;
            if second % 10 == 0 {
                self.truth.clear();
            }
            for _ in 0..400 {
                let accessed = numbered_key((self.load)(&mut self.rng, self.now));
                let cost = self.rng.random_range(5.0..40.0);
                let proxy = self.rng.random_range(0..20);
                *self.truth.entry(accessed.clone()).or_default() += cost;
                self.sketches[proxy].record(self.now, &accessed, cost > 30.0, cost);
            }
            last = Some(self.advise());
        }
        last.unwrap()
    }

    fn advise(&mut self) -> SplitRecommendation {
        let mut summaries: BTreeMap<String, KeySummary> = BTreeMap::new();
        for (proxy, sketch) in self.sketches.iter_mut().enumerate().filter(|(proxy, _)| self.heard[*proxy]) {
            let bytes = sketch.encode_summary(self.now);
            assert!(bytes.len() <= MAX_SUMMARY_BYTES, "{}", bytes.len());
            summaries.insert(format!("n{proxy}"), KeySummary::decode(&bytes).unwrap());
        }
        self.advisor.advise(self.now, KeyDistribution::combine(&summaries), 20)
    }

    /// The larger side's true share under that split, over the larger side's under the best one.
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
fn proposed_split(advice: &SplitRecommendation) -> Vec<u8> {
    match &advice.assessment {
        SplitAssessment::Split(split) if advice.state == RecommendationState::Proposed => split.key.clone(),
        _ => panic!("{advice:?}"),
    }
}

#[test]
fn split_is_within_a_tenth_of_the_best_even_without_a_third_of_the_proxies() {
    type Keys = fn(&mut Pcg64Mcg) -> usize;
    let loads: [(&str, Keys); 2] = [("zipf", zipf), ("hot range", hot_range)];
    for (name, load) in loads {
        for seed in 0..6 {
            let mut points = Vec::new();
            for missing in [0, 2, 6] {
                let mut fleet = Fleet::new(seed, move |rng, _| load(rng));
                fleet.heard[..missing].fill(false);
                let advice = fleet.pass(40);
                let at = proposed_split(&advice);
                let off = fleet.imbalance(&at);
                assert!(off < 1.1, "{name}, seed {seed}, {missing} missing: {off}, {advice:?}");
                points.push((at, fleet));
            }
            // Each of them within the interval of the others.
            let (left, within) = {
                let summaries = |fleet: &mut Fleet| {
                    let all = fleet.sketches.iter_mut().enumerate();
                    all.map(|(at, sketch)| (at.to_string(), sketch.summary(fleet.now, 60))).collect()
                };
                let distribution = KeyDistribution::combine(&summaries(&mut points[0].1));
                let shares: Vec<ShareEstimate> =
                    points.iter().map(|(at, _)| distribution.share_below(at)).collect();
                (shares.iter().map(|left| left.share).collect::<Vec<_>>(), shares[0].margin)
            };
            assert!(
                left.iter().all(|share| (share - left[0]).abs() < 2.0 * within + 0.03),
                "{name} {left:?} {within}"
            );
        }
    }
}

#[test]
fn uniform_hot_key_and_ascending_loads_are_named_instead_of_split() {
    let mut fleet = Fleet::new(1, |rng, _| rng.random_range(0..KEYS));
    assert_eq!(fleet.pass(60).assessment, SplitAssessment::Uniform);
    let mut fleet = Fleet::new(2, |rng, _| if rng.random_bool(0.6) { 77 } else { rng.random_range(0..KEYS) });
    match fleet.pass(60).assessment {
        SplitAssessment::HotKey { key, share } => {
            assert!(key == numbered_key(77) && (share - 0.6).abs() < 0.1, "{share}")
        }
        other => panic!("{other:?}"),
    }
    let front = |rng: &mut Pcg64Mcg, now: Micros| (now / SECOND) as usize * 40 + rng.random_range(0..400);
    let mut fleet = Fleet::new(3, front);
    let mut fronts = 0;
    for _ in 0..10 {
        let advice = fleet.pass(10);
        assert_ne!(advice.state, RecommendationState::Proposed, "{advice:?}");
        fronts += usize::from(matches!(advice.assessment, SplitAssessment::MovingFront { .. }));
    }
    assert!(fronts >= 5, "{fronts}");
}

#[test]
fn short_bursts_and_low_coverage_propose_nothing() {
    let burst = |rng: &mut Pcg64Mcg, now: Micros| {
        if (20 * SECOND..28 * SECOND).contains(&now) { hot_range(rng) } else { rng.random_range(0..KEYS) }
    };
    let mut fleet = Fleet::new(1, burst);
    for _ in 0..60 {
        assert_ne!(fleet.pass(1).state, RecommendationState::Proposed);
    }
    let mut fleet = Fleet::new(1, |rng, _| hot_range(rng));
    fleet.heard[..10].fill(false);
    let advice = fleet.pass(60);
    assert_eq!(
        (advice.state, advice.assessment),
        (RecommendationState::Observing, SplitAssessment::LowCoverage { reporters: 10, living: 20 })
    );
}

#[test]
fn proposal_stands_under_steady_load_and_follows_a_lasting_move() {
    let mut fleet = Fleet::new(4, |rng, now| {
        let hot = if now < 200 * SECOND { 300..400 } else { 1_700..1_800 };
        if rng.random_bool(0.8) { rng.random_range(hot) } else { rng.random_range(0..KEYS) }
    });
    let at = proposed_split(&fleet.pass(40));
    for _ in 0..15 {
        assert_eq!(proposed_split(&fleet.pass(10)), at, "no other point without another load");
    }
    // Proxies that die for a while withdraw nothing.
    fleet.heard[..9].fill(false);
    assert_eq!(fleet.pass(5).state, RecommendationState::Proposed);
    fleet.heard.fill(true);
    fleet.pass(100);
    let moved = proposed_split(&fleet.advise());
    assert!(moved > at && fleet.imbalance(&moved) < 1.15, "{}", fleet.imbalance(&moved));
    // A new lease holder keeps it.
    fleet.advisor = SplitAdvisor::start(fleet.now, Some(moved.clone()));
    assert_eq!(proposed_split(&fleet.pass(30)), moved);
}

#[test]
fn proxy_with_implausible_figures_is_excluded_and_named() {
    let mut fleet = Fleet::new(5, |rng, _| hot_range(rng));
    fleet.pass(20);
    let mut summaries: BTreeMap<String, KeySummary> = BTreeMap::new();
    for (proxy, sketch) in fleet.sketches.iter_mut().enumerate() {
        summaries.insert(format!("n{proxy}"), sketch.summary(fleet.now, 60));
    }
    let sound = KeyDistribution::combine(&summaries);
    if let Some(summary) = summaries.get_mut("n3") {
        summary.cost *= 1e6;
        summary.samples.iter_mut().for_each(|sample| sample.weight *= 1e6);
    }
    let distribution = KeyDistribution::combine(&summaries);
    assert!(distribution.excluded.iter().eq(["n3"]) && distribution.reporters == 19);
    let (LoadShape::Splittable(one), LoadShape::Splittable(other)) = (sound.shape(), distribution.shape())
    else {
        panic!()
    };
    assert!((sound.share_below(&other.key).share - one.left_share).abs() < 0.05);
}

#[test]
fn samples_are_unbiased_and_arbitrary_bytes_do_no_harm() {
    // The mean over many seeds of what is estimated of a range comes to the truth.
    let mut mean = 0.0;
    for seed in 0..200 {
        let mut sketch = KeySketch::start(0, seed);
        (0..3_000).for_each(|at| sketch.record(0, &numbered_key(at % KEYS), false, 1.0 + (at % 7) as f64));
        let summary = sketch.summary(0, 60);
        let left = summary
            .samples
            .iter()
            .filter(|sample| sample.key < numbered_key(500))
            .map(|sample| sample.weight);
        mean += left.sum::<f64>() / summary.cost / 200.0;
    }
    let truth = (0..3_000).filter(|at| at % KEYS < 500).map(|at| 1.0 + (at % 7) as f64).sum::<f64>()
        / (0..3_000).map(|at| 1.0 + (at % 7) as f64).sum::<f64>();
    assert!((mean - truth).abs() < 0.015, "{mean} {truth}");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(limits, rng)
        .run(&vec(any::<u8>(), 0..300), |bytes| {
            if let Ok(summary) = KeySummary::decode(&bytes) {
                KeyDistribution::combine(&BTreeMap::from([("n".to_owned(), summary)])).shape();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn summary_of_many_heavy_hitters_of_unlike_length_fits_and_is_read() {
    for seed in 0..20 {
        let mut sketch = KeySketch::start(0, seed);
        // Six short ones first in their order, just heavy enough, and six long ones that cost most of it.
        for _ in 0..200 {
            (0..6).for_each(|at| sketch.record(0, format!("a{at}").as_bytes(), false, 5.3));
            let long = |at| format!("b{at}{}", "x".repeat(46));
            (0..6).for_each(|at| sketch.record(0, long(at).as_bytes(), false, 11.4));
        }
        let bytes = sketch.encode_summary(0);
        assert!(bytes.len() <= MAX_SUMMARY_BYTES, "{}", bytes.len());
        let summary = KeySummary::decode(&bytes).unwrap();
        assert!(
            summary.heavy_hitters.len() == 6
                && summary.heavy_hitters.iter().all(|hitter| hitter.key.starts_with(b"b"))
        );
    }
}
