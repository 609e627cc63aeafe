//! Recommendations for groups that operators have split into ranges.

use std::collections::BTreeMap;

use aldermill_split_points::{
    KeyDistribution, KeySketch, Micros, RangeRecommendation, RangeSet, RecommendationState, SplitAssessment,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const KEY_COUNT: usize = 2_000;

fn numbered_key(number: usize) -> Vec<u8> {
    format!("k{number:06}").into_bytes()
}

/// Twenty proxies that read the keys of one group, and the lease holder that evaluates their summaries once a
/// second.
struct Simulation {
    now: Micros,
    sketches: Vec<KeySketch>,
    rng: Pcg64Mcg,
    ranges: RangeSet,
    /// Numbers of the keys from which 70% of the accesses are drawn; the others are drawn from all keys.
    hot_keys: std::ops::Range<usize>,
    /// Accesses per second, over all proxies.
    accesses_per_second: usize,
}

impl Simulation {
    fn new(splits: &[usize], hot_range: std::ops::Range<usize>) -> Simulation {
        let splits: Vec<Vec<u8>> = splits.iter().copied().map(numbered_key).collect();
        Simulation {
            now: 0,
            sketches: (0..20).map(|proxy| KeySketch::new(0, 7 + proxy)).collect(),
            rng: Pcg64Mcg::seed_from_u64(3),
            ranges: RangeSet::new(0, &splits, |_| None),
            hot_keys: hot_range,
            accesses_per_second: 400,
        }
    }

    /// Simulates this many seconds and returns the last recommendations.
    fn run(&mut self, seconds: i64, average_cost: f64) -> Vec<RangeRecommendation> {
        let mut recommendations = Vec::new();
        for _ in 0..seconds {
            self.now += SECOND;
            for _ in 0..self.accesses_per_second {
                let is_hot = self.rng.random_bool(0.7);
                let number = if is_hot {
                    self.rng.random_range(self.hot_keys.clone())
                } else {
                    self.rng.random_range(0..KEY_COUNT)
                };
                let proxy = self.rng.random_range(0..20);
                self.sketches[proxy].record(self.now, &numbered_key(number), false, 10.0);
            }
            let summaries: BTreeMap<String, _> = (self.sketches.iter_mut().enumerate())
                .map(|(proxy, sketch)| (format!("n{proxy}"), sketch.summary(self.now, 60)))
                .collect();
            recommendations =
                self.ranges.advise(self.now, &KeyDistribution::combine(&summaries), 20, average_cost);
        }
        recommendations
    }
}

#[test]
fn only_the_large_range_of_several_is_split() {
    let mut simulation = Simulation::new(&[1_000], 1_400..1_600);
    let recommendations = simulation.run(50, 1.0);
    assert_eq!(recommendations.len(), 2);
    assert_eq!(
        recommendations[0].split.assessment,
        SplitAssessment::Balanced,
        "{:?}",
        recommendations[0].split
    );
    assert!(
        (recommendations[1].share - 0.85).abs() < recommendations[1].margin + 0.02,
        "{}",
        recommendations[1].share
    );
    let SplitAssessment::Split(split) = &recommendations[1].split.assessment else {
        panic!("{:?}", recommendations[1].split)
    };
    assert_eq!(recommendations[1].split.state, RecommendationState::Proposed);
    assert!(
        (numbered_key(1_450)..numbered_key(1_550)).contains(&split.key),
        "{}",
        String::from_utf8_lossy(&split.key)
    );
    // Operators split the range at the recommended key. The first range keeps its advisor; the two new ranges
    // start without any windows.
    let split_key_number: usize = String::from_utf8_lossy(&split.key[1..]).parse().unwrap();
    simulation.ranges.set_splits(
        simulation.now,
        &[numbered_key(1_000), numbered_key(split_key_number)],
        |_| None,
    );
    let recommendations = simulation.run(50, 1.0);
    let shares: Vec<f64> = recommendations.iter().map(|range| range.share).collect();
    assert!(shares.len() == 3 && shares[1] < 0.5 && shares[2] < 0.5, "{shares:?}");
    // No merge is recommended. After further splits, at most three of the six ranges have a proposal, so that
    // the number of ranges does not keep growing.
    assert!(recommendations.iter().all(|range| !range.merge_with_previous));
    simulation.ranges.set_splits(
        simulation.now,
        &[
            numbered_key(400),
            numbered_key(1_000),
            numbered_key(1_450),
            numbered_key(split_key_number),
            numbered_key(1_550),
        ],
        |_| None,
    );
    let recommendations = simulation.run(50, 1.0);
    assert!(
        recommendations.iter().filter(|range| range.split.state == RecommendationState::Proposed).count()
            <= 3,
        "{recommendations:?}"
    );
}

#[test]
fn neighbours_are_merged_after_three_cold_windows() {
    let mut simulation = Simulation::new(&[1_000], 0..KEY_COUNT);
    let average_cost = 1e9;
    let cost = simulation.run(5, average_cost).iter().map(|range| range.split.cost).sum::<f64>();
    assert!(
        cost > 0.0 && simulation.run(5, average_cost).iter().all(|range| !range.merge_with_previous),
        "no cost recorded, or merged before the ranges were cold for long enough"
    );
    let recommendations = simulation.run(30, average_cost);
    assert_eq!(
        recommendations.iter().map(|range| range.merge_with_previous).collect::<Vec<_>>(),
        [false, true]
    );
    // Once the ranges cost as much as an average range, the merge is no longer recommended.
    assert!(simulation.run(20, cost).iter().all(|range| !range.merge_with_previous));
    let ranges_before = simulation.ranges.len();
    simulation.ranges.set_splits(simulation.now, &[], |_| None);
    assert_eq!((ranges_before, simulation.ranges.len(), simulation.run(1, average_cost).len()), (2, 1, 1));
}

#[test]
fn new_lease_holder_keeps_the_proposal_of_each_range() {
    let proposed = numbered_key(1_500);
    let earlier_proposal = |from: &[u8]| (from == numbered_key(1_000)).then(|| proposed.clone());
    let mut simulation = Simulation::new(&[], 1_400..1_600);
    simulation.ranges =
        RangeSet::new(0, &[numbered_key(1_000), Vec::new(), numbered_key(1_000)], earlier_proposal);
    let recommendations = simulation.run(25, 1.0);
    assert_eq!(recommendations.len(), 2, "duplicate splits and splits at the empty key are ignored");
    assert_eq!(
        (recommendations[0].split.state, recommendations[1].split.state),
        (RecommendationState::Observing, RecommendationState::Proposed)
    );
    assert!(
        matches!(&recommendations[1].split.assessment, SplitAssessment::Split(split) if split.key == proposed)
    );
}
