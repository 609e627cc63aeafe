//! Recommendations under key distributions that are known, spread over proxies of which some may not report.

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
const KEY_COUNT: usize = 2_000;

fn numbered_key(number: usize) -> Vec<u8> {
    format!("k{number:06}").into_bytes()
}

/// Returns the number of the key that is accessed next, given the current time.
type KeyGenerator = Box<dyn Fn(&mut Pcg64Mcg, Micros) -> usize>;

/// Twenty proxies, each of which receives a random part of the same load, and an advisor for a single range.
struct Simulation {
    now: Micros,
    sketches: Vec<KeySketch>,
    /// Whether each proxy reports.
    reporting: Vec<bool>,
    /// The true cost of each key in the latest window.
    true_costs: BTreeMap<Vec<u8>, f64>,
    advisor: SplitAdvisor,
    rng: Pcg64Mcg,
    load: KeyGenerator,
}

impl Simulation {
    fn new(seed: u64, load: impl Fn(&mut Pcg64Mcg, Micros) -> usize + 'static) -> Simulation {
        Simulation {
            now: 0,
            sketches: (0..20).map(|proxy| KeySketch::new(0, seed * 100 + proxy)).collect(),
            reporting: vec![true; 20],
            true_costs: BTreeMap::new(),
            advisor: SplitAdvisor::new(0, None),
            rng: Pcg64Mcg::seed_from_u64(seed),
            load: Box::new(load),
        }
    }

    /// Simulates this many seconds with 400 accesses each and returns the last recommendation.
    fn run(&mut self, seconds: i64) -> SplitRecommendation {
        let mut recommendation = None;
        for second in 0..seconds {
            self.now += SECOND;
            if second % 10 == 0 {
                self.true_costs.clear();
            }
            for _ in 0..400 {
                let accessed = numbered_key((self.load)(&mut self.rng, self.now));
                let cost = self.rng.random_range(5.0..40.0);
                let proxy = self.rng.random_range(0..20);
                *self.true_costs.entry(accessed.clone()).or_default() += cost;
                self.sketches[proxy].record(self.now, &accessed, cost > 30.0, cost);
            }
            recommendation = Some(self.advise());
        }
        recommendation.unwrap()
    }

    /// Combines the encoded summaries of the proxies that report, and returns the advisor's recommendation.
    fn advise(&mut self) -> SplitRecommendation {
        let mut summaries: BTreeMap<String, KeySummary> = BTreeMap::new();
        for (proxy, sketch) in
            self.sketches.iter_mut().enumerate().filter(|(proxy, _)| self.reporting[*proxy])
        {
            let bytes = sketch.encode_summary(self.now);
            assert!(bytes.len() <= MAX_SUMMARY_BYTES, "{}", bytes.len());
            summaries.insert(format!("n{proxy}"), KeySummary::decode(&bytes).unwrap());
        }
        self.advisor.advise(self.now, KeyDistribution::combine(&summaries), 20)
    }

    /// Returns the larger side's true share of the cost for a split at `split_key`, relative to that of the
    /// best split.
    fn imbalance(&self, split_key: &[u8]) -> f64 {
        let total: f64 = self.true_costs.values().sum();
        let larger_side = |left: f64| (left / total).max(1.0 - left / total);
        let left: f64 =
            self.true_costs.iter().filter(|(key, _)| key[..] < *split_key).map(|(_, cost)| cost).sum();
        let (mut sum, mut best_larger_side) = (0.0, 1.0f64);
        for cost in self.true_costs.values() {
            best_larger_side = best_larger_side.min(larger_side(sum));
            sum += cost;
        }
        larger_side(left) / best_larger_side
    }
}

/// Draws a key from a Zipf distribution with the exponent 1.1, by inversion. Keys are numbered by their rank.
fn zipf_key(rng: &mut Pcg64Mcg) -> usize {
    let u: f64 = rng.random();
    let mass_below_max = 1.0 - (KEY_COUNT as f64).powf(-0.1);
    (((1.0 - u * mass_below_max).powf(-10.0)) as usize).min(KEY_COUNT - 1)
}

/// Draws 70% of the keys from a tenth of all keys, and the others from all keys.
fn hot_range_key(rng: &mut Pcg64Mcg) -> usize {
    if rng.random_bool(0.7) { rng.random_range(1_500..1_700) } else { rng.random_range(0..KEY_COUNT) }
}

#[track_caller]
fn proposed_split(recommendation: &SplitRecommendation) -> Vec<u8> {
    match &recommendation.assessment {
        SplitAssessment::Split(split) if recommendation.state == RecommendationState::Proposed => {
            split.key.clone()
        }
        _ => panic!("{recommendation:?}"),
    }
}

#[test]
fn split_is_within_a_tenth_of_the_best_with_up_to_a_third_of_the_proxies_missing() {
    type KeyFunction = fn(&mut Pcg64Mcg) -> usize;
    let loads: [(&str, KeyFunction); 2] = [("zipf", zipf_key), ("hot range", hot_range_key)];
    for (name, load) in loads {
        for seed in 0..6 {
            let mut splits = Vec::new();
            for missing in [0, 2, 6] {
                let mut simulation = Simulation::new(seed, move |rng, _| load(rng));
                simulation.reporting[..missing].fill(false);
                let recommendation = simulation.run(40);
                let split_key = proposed_split(&recommendation);
                let imbalance = simulation.imbalance(&split_key);
                assert!(
                    imbalance < 1.1,
                    "{name}, seed {seed}, {missing} missing: {imbalance}, {recommendation:?}"
                );
                splits.push((split_key, simulation));
            }
            // The splits agree with each other within their margins of error.
            let (left_shares, margin) = {
                let summaries = |simulation: &mut Simulation| {
                    let sketches = simulation.sketches.iter_mut().enumerate();
                    sketches
                        .map(|(proxy, sketch)| (proxy.to_string(), sketch.summary(simulation.now, 60)))
                        .collect()
                };
                let distribution = KeyDistribution::combine(&summaries(&mut splits[0].1));
                let shares: Vec<ShareEstimate> =
                    splits.iter().map(|(split_key, _)| distribution.share_below(split_key)).collect();
                (shares.iter().map(|left| left.share).collect::<Vec<_>>(), shares[0].margin)
            };
            assert!(
                left_shares.iter().all(|share| (share - left_shares[0]).abs() < 2.0 * margin + 0.03),
                "{name} {left_shares:?} {margin}"
            );
        }
    }
}

#[test]
fn uniform_hot_key_and_ascending_loads_are_reported_instead_of_split() {
    let mut simulation = Simulation::new(1, |rng, _| rng.random_range(0..KEY_COUNT));
    assert_eq!(simulation.run(60).assessment, SplitAssessment::Uniform);
    let mut simulation =
        Simulation::new(2, |rng, _| if rng.random_bool(0.6) { 77 } else { rng.random_range(0..KEY_COUNT) });
    match simulation.run(60).assessment {
        SplitAssessment::HotKey { key, share } => {
            assert!(key == numbered_key(77) && (share - 0.6).abs() < 0.1, "{share}")
        }
        other => panic!("{other:?}"),
    }
    let ascending_keys =
        |rng: &mut Pcg64Mcg, now: Micros| (now / SECOND) as usize * 40 + rng.random_range(0..400);
    let mut simulation = Simulation::new(3, ascending_keys);
    let mut ascending_count = 0;
    for _ in 0..10 {
        let recommendation = simulation.run(10);
        assert_ne!(recommendation.state, RecommendationState::Proposed, "{recommendation:?}");
        ascending_count +=
            usize::from(matches!(recommendation.assessment, SplitAssessment::AscendingKeys { .. }));
    }
    assert!(ascending_count >= 5, "{ascending_count}");
}

#[test]
fn short_bursts_and_low_coverage_propose_nothing() {
    let burst = |rng: &mut Pcg64Mcg, now: Micros| {
        if (20 * SECOND..28 * SECOND).contains(&now) {
            hot_range_key(rng)
        } else {
            rng.random_range(0..KEY_COUNT)
        }
    };
    let mut simulation = Simulation::new(1, burst);
    for _ in 0..60 {
        assert_ne!(simulation.run(1).state, RecommendationState::Proposed);
    }
    let mut simulation = Simulation::new(1, |rng, _| hot_range_key(rng));
    simulation.reporting[..10].fill(false);
    let recommendation = simulation.run(60);
    assert_eq!(
        (recommendation.state, recommendation.assessment),
        (RecommendationState::Observing, SplitAssessment::LowCoverage { reporters: 10, live_proxies: 20 })
    );
}

#[test]
fn proposal_is_stable_under_steady_load_and_follows_a_lasting_shift() {
    let mut simulation = Simulation::new(4, |rng, now| {
        let hot_keys = if now < 200 * SECOND { 300..400 } else { 1_700..1_800 };
        if rng.random_bool(0.8) { rng.random_range(hot_keys) } else { rng.random_range(0..KEY_COUNT) }
    });
    let split_key = proposed_split(&simulation.run(40));
    for _ in 0..15 {
        assert_eq!(proposed_split(&simulation.run(10)), split_key, "split key changed under steady load");
    }
    // A temporary outage of proxies does not withdraw the proposal.
    simulation.reporting[..9].fill(false);
    assert_eq!(simulation.run(5).state, RecommendationState::Proposed);
    simulation.reporting.fill(true);
    simulation.run(100);
    let moved_split_key = proposed_split(&simulation.advise());
    assert!(
        moved_split_key > split_key && simulation.imbalance(&moved_split_key) < 1.15,
        "{}",
        simulation.imbalance(&moved_split_key)
    );
    // A new lease holder keeps the proposal.
    simulation.advisor = SplitAdvisor::new(simulation.now, Some(moved_split_key.clone()));
    assert_eq!(proposed_split(&simulation.run(30)), moved_split_key);
}

#[test]
fn proxy_with_implausible_figures_is_excluded_and_reported() {
    let mut simulation = Simulation::new(5, |rng, _| hot_range_key(rng));
    simulation.run(20);
    let mut summaries: BTreeMap<String, KeySummary> = BTreeMap::new();
    for (proxy, sketch) in simulation.sketches.iter_mut().enumerate() {
        summaries.insert(format!("n{proxy}"), sketch.summary(simulation.now, 60));
    }
    let plausible = KeyDistribution::combine(&summaries);
    if let Some(summary) = summaries.get_mut("n3") {
        summary.cost *= 1e6;
        summary.samples.iter_mut().for_each(|sample| sample.weight *= 1e6);
    }
    let distribution = KeyDistribution::combine(&summaries);
    assert!(distribution.excluded.iter().eq(["n3"]) && distribution.reporters == 19);
    let (LoadShape::Splittable(expected_split), LoadShape::Splittable(split)) =
        (plausible.shape(), distribution.shape())
    else {
        panic!()
    };
    assert!((plausible.share_below(&split.key).share - expected_split.left_share).abs() < 0.05);
}

#[test]
fn samples_are_unbiased_and_arbitrary_bytes_do_not_panic() {
    // The mean of the estimated share of a key range over many seeds is close to the true share.
    let mut mean_share = 0.0;
    for seed in 0..200 {
        let mut sketch = KeySketch::new(0, seed);
        (0..3_000).for_each(|number| {
            sketch.record(0, &numbered_key(number % KEY_COUNT), false, 1.0 + (number % 7) as f64)
        });
        let summary = sketch.summary(0, 60);
        let weights_below = summary
            .samples
            .iter()
            .filter(|sample| sample.key < numbered_key(500))
            .map(|sample| sample.weight);
        mean_share += weights_below.sum::<f64>() / summary.cost / 200.0;
    }
    let true_share = (0..3_000)
        .filter(|number| number % KEY_COUNT < 500)
        .map(|number| 1.0 + (number % 7) as f64)
        .sum::<f64>()
        / (0..3_000).map(|number| 1.0 + (number % 7) as f64).sum::<f64>();
    assert!((mean_share - true_share).abs() < 0.015, "{mean_share} {true_share}");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(any::<u8>(), 0..300), |bytes| {
            if let Ok(summary) = KeySummary::decode(&bytes) {
                KeyDistribution::combine(&BTreeMap::from([("n".to_owned(), summary)])).shape();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn summary_of_many_heavy_hitters_of_different_lengths_fits_and_is_decoded() {
    for seed in 0..20 {
        let mut sketch = KeySketch::new(0, seed);
        // Six short keys, which sort first and are barely heavy hitters, and six long keys with most of the
        // cost. The summary has to contain the long keys and still fit.
        for _ in 0..200 {
            (0..6).for_each(|number| sketch.record(0, format!("a{number}").as_bytes(), false, 5.3));
            let long_key = |number| format!("b{number}{}", "x".repeat(46));
            (0..6).for_each(|number| sketch.record(0, long_key(number).as_bytes(), false, 11.4));
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
