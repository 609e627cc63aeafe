//! Groups that their operators have split into ranges.

use std::collections::BTreeMap;

use aldermill_split_points::{
    KeyDistribution, KeySketch, Micros, RangeRecommendation, RangeSet, RecommendationState, SplitAssessment,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Micros = 1_000_000;
const KEYS: usize = 2_000;

fn numbered_key(number: usize) -> Vec<u8> {
    format!("k{number:06}").into_bytes()
}

/// Twenty proxies that read one group of keys, and the lease holder.
struct Fleet {
    now: Micros,
    sketches: Vec<KeySketch>,
    rng: Pcg64Mcg,
    ranges: RangeSet,
    /// Keys that 0.7 of the accesses go to; the others go to all keys.
    hot_keys: std::ops::Range<usize>,
    /// Accesses a second.
    rate: usize,
}

impl Fleet {
    fn new(splits: &[usize], hot: std::ops::Range<usize>) -> Fleet {
        let splits: Vec<Vec<u8>> = splits.iter().copied().map(numbered_key).collect();
        Fleet {
            now: 0,
            sketches: (0..20).map(|proxy| KeySketch::start(0, 7 + proxy)).collect(),
            rng: Pcg64Mcg::seed_from_u64(3),
            ranges: RangeSet::start(0, &splits, |_| None),
            hot_keys: hot,
            rate: 400,
        }
    }

    fn pass(&mut self, seconds: i64, average_cost: f64) -> Vec<RangeRecommendation> {
        let mut last = Vec::new();
        for _ in 0..seconds {
            self.now += SECOND;
            for _ in 0..self.rate {
                let hot = self.rng.random_bool(0.7);
                let number = if hot {
                    self.rng.random_range(self.hot_keys.clone())
                } else {
                    self.rng.random_range(0..KEYS)
                };
                let proxy = self.rng.random_range(0..20);
                self.sketches[proxy].record(self.now, &numbered_key(number), false, 10.0);
            }
            let summaries: BTreeMap<String, _> = (self.sketches.iter_mut().enumerate())
                .map(|(proxy, sketch)| (format!("n{proxy}"), sketch.summary(self.now, 60)))
                .collect();
            last = self.ranges.advise(self.now, &KeyDistribution::combine(&summaries), 20, average_cost);
        }
        last
    }
}

#[test]
fn only_the_large_one_of_several_ranges_is_split() {
    let mut fleet = Fleet::new(&[1_000], 1_400..1_600);
    let advice = fleet.pass(50, 1.0);
    assert_eq!(advice.len(), 2);
    assert_eq!(advice[0].split.assessment, SplitAssessment::Balanced, "{:?}", advice[0].split);
    assert!((advice[1].share - 0.85).abs() < advice[1].margin + 0.02, "{}", advice[1].share);
    let SplitAssessment::Split(split) = &advice[1].split.assessment else { panic!("{:?}", advice[1].split) };
    assert_eq!(advice[1].split.state, RecommendationState::Proposed);
    assert!(
        (numbered_key(1_450)..numbered_key(1_550)).contains(&split.key),
        "{}",
        String::from_utf8_lossy(&split.key)
    );
    // The operators split there: what is known of the first range stays, and the two new ones begin anew.
    let at: usize = String::from_utf8_lossy(&split.key[1..]).parse().unwrap();
    fleet.ranges.set_splits(fleet.now, &[numbered_key(1_000), numbered_key(at)], |_| None);
    let advice = fleet.pass(50, 1.0);
    let shares: Vec<f64> = advice.iter().map(|range| range.share).collect();
    assert!(shares.len() == 3 && shares[1] < 0.5 && shares[2] < 0.5, "{shares:?}");
    // One more halving of each helps, and no more than that is proposed.
    assert!(advice.iter().all(|range| !range.merge_with_previous));
    fleet.ranges.set_splits(
        fleet.now,
        &[numbered_key(400), numbered_key(1_000), numbered_key(1_450), numbered_key(at), numbered_key(1_550)],
        |_| None,
    );
    let advice = fleet.pass(50, 1.0);
    assert!(
        advice.iter().filter(|range| range.split.state == RecommendationState::Proposed).count() <= 3,
        "{advice:?}"
    );
}

#[test]
fn neighbours_are_merged_once_they_have_been_cold_for_three_windows() {
    let mut fleet = Fleet::new(&[1_000], 0..KEYS);
    let average_cost = 1e9;
    let cost = fleet.pass(5, average_cost).iter().map(|range| range.split.cost).sum::<f64>();
    assert!(
        cost > 0.0 && fleet.pass(5, average_cost).iter().all(|range| !range.merge_with_previous),
        "it has not held for long enough"
    );
    let advice = fleet.pass(30, average_cost);
    assert_eq!(advice.iter().map(|range| range.merge_with_previous).collect::<Vec<_>>(), [false, true]);
    // Their load is as large as that of others: it is not recommended any more at once, nor while too few are heard.
    assert!(fleet.pass(20, cost).iter().all(|range| !range.merge_with_previous));
    let before = fleet.ranges.len();
    fleet.ranges.set_splits(fleet.now, &[], |_| None);
    assert_eq!((before, fleet.ranges.len(), fleet.pass(1, average_cost).len()), (2, 1, 1));
}

#[test]
fn new_lease_holder_keeps_the_proposal_of_each_range() {
    let proposed = numbered_key(1_500);
    let stands = |from: &[u8]| (from == numbered_key(1_000)).then(|| proposed.clone());
    let mut fleet = Fleet::new(&[], 1_400..1_600);
    fleet.ranges = RangeSet::start(0, &[numbered_key(1_000), Vec::new(), numbered_key(1_000)], stands);
    let advice = fleet.pass(25, 1.0);
    assert_eq!(advice.len(), 2, "a split named twice, or at the empty key, counts once");
    assert_eq!(
        (advice[0].split.state, advice[1].split.state),
        (RecommendationState::Observing, RecommendationState::Proposed)
    );
    assert!(matches!(&advice[1].split.assessment, SplitAssessment::Split(split) if split.key == proposed));
}
