//! Recommendations for all ranges into which operators have split a group.

use crate::{
    KeyDistribution, Micros, REQUIRED_WINDOWS, RecommendationState, SplitAdvisor, SplitAssessment,
    SplitRecommendation, WINDOW_LENGTH,
};

/// From which share of the group's cost on a range is considered for a split, as a multiple of its even share: a range that
/// is none too large among its group's is left whole.
const LARGE_RANGE_FACTOR: f64 = 1.25;
/// Two neighbours that together cost under this part of an average range are better merged.
const COLD_PAIR_FACTOR: f64 = 0.3;

/// What is recommended for one range of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeRecommendation {
    /// The range's first key; empty for the group's first range.
    pub from: Vec<u8>,
    /// Its share of the group's cost, from 0 to 1.
    pub share: f64,
    /// How far `share` may be off to either side, in 95 of 100 cases.
    pub margin: f64,
    /// It and the range before it are better merged; then operators are told nothing else of it.
    pub merge_with_previous: bool,
    /// Whether it should be split.
    pub split: SplitRecommendation,
}

/// The keys of one range.
#[derive(Clone, Debug, PartialEq)]
struct KeyBounds {
    /// The first key; empty for the group's first range.
    from: Vec<u8>,
    /// The first key of the next range, if there is one.
    to: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
struct KeyRange {
    bounds: KeyBounds,
    advisor: SplitAdvisor,
    /// For how many windows running it and the one before have been cold.
    windows_cold: usize,
}

/// Keeps the recommendations for one group, whose operators have split it into ranges or not.
#[derive(Clone, Debug)]
pub struct RangeSet {
    next_window: Micros,
    /// In order of their keys; at least one.
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// The group's ranges, which begin at `splits` and at the empty key. `proposed` returns what an earlier lease holder
    /// proposed for the range with that first key.
    pub fn new(now: Micros, splits: &[Vec<u8>], proposed_key: impl Fn(&[u8]) -> Option<Vec<u8>>) -> RangeSet {
        let mut set = RangeSet { next_window: now, ranges: Vec::new() };
        set.set_splits(now, splits, proposed_key);
        set
    }

    /// The operators have split the group so. A range that is as it was keeps what is known of it.
    pub fn set_splits(
        &mut self,
        now: Micros,
        splits: &[Vec<u8>],
        proposed_key: impl Fn(&[u8]) -> Option<Vec<u8>>,
    ) {
        let previous_ranges = std::mem::take(&mut self.ranges);
        for bounds in bounds_between(splits) {
            let unchanged = previous_ranges.iter().find(|range| range.bounds == bounds);
            let advisor = match unchanged {
                Some(range) => range.advisor.clone(),
                None => SplitAdvisor::new(now, proposed_key(&bounds.from)),
            };
            self.ranges.push(KeyRange { bounds, advisor, windows_cold: 0 });
        }
    }

    /// How many ranges there are; 1 for a group that was not split.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Never: a group that was not split is one range.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// What is recommended now, in order of the ranges. `average_cost` is what a range costs on average over all groups,
    /// `living` how many proxies there are.
    ///
    /// Without a look at all ranges together operators would split ranges that are not large among their group's, and be
    /// left with many cold ones. The cost: a group that is cold for half a minute and then is not, once merged, has to be
    /// split again.
    pub fn advise(
        &mut self,
        now: Micros,
        group: &KeyDistribution,
        live_proxies: usize,
        average_cost: f64,
    ) -> Vec<RangeRecommendation> {
        let window_ends = now >= self.next_window;
        if window_ends {
            self.next_window = now + WINDOW_LENGTH;
        }
        let count = self.ranges.len();
        let group_cost = group.cost().max(f64::EPSILON);
        let margin = group.margin();
        let mut previous_cost = None;
        let mut recommendations = Vec::new();
        for range in &mut self.ranges {
            let range_distribution = group.between(&range.bounds.from, range.bounds.to.as_deref());
            let cost = range_distribution.cost();
            let share = cost / group_cost;
            let mut split = range.advisor.advise(now, range_distribution, live_proxies);
            let has_coverage = !matches!(split.assessment, SplitAssessment::LowCoverage { .. });
            if let Some(previous_cost) = previous_cost
                && has_coverage
                && window_ends
            {
                range.count_cold_window(previous_cost + cost + margin * group_cost, average_cost);
            }
            previous_cost = Some(cost);
            if has_coverage
                && is_balanced(share - margin, count)
                && split.state != RecommendationState::Proposed
            {
                split.assessment = SplitAssessment::Balanced;
            }
            recommendations.push(RangeRecommendation {
                from: range.bounds.from.clone(),
                share,
                margin,
                merge_with_previous: range.windows_cold >= REQUIRED_WINDOWS,
                split,
            });
        }
        recommendations
    }
}

impl KeyRange {
    /// `pair_cost` is what this range and the one before may cost together at most.
    fn count_cold_window(&mut self, pair_cost: f64, average_cost: f64) {
        let is_cold = pair_cost < COLD_PAIR_FACTOR * average_cost;
        self.windows_cold = if is_cold { self.windows_cold + 1 } else { 0 };
    }
}

/// Whether a range of several is left whole, whatever a split would do to it.
fn is_balanced(min_share: f64, ranges: usize) -> bool {
    ranges > 1 && min_share < LARGE_RANGE_FACTOR / ranges as f64
}

/// The ranges between splits, in order. A split named twice, or at the empty key, counts once.
fn bounds_between(splits: &[Vec<u8>]) -> Vec<KeyBounds> {
    let mut starts: Vec<Vec<u8>> = splits.iter().filter(|split| !split.is_empty()).cloned().collect();
    starts.push(Vec::new());
    starts.sort();
    starts.dedup();
    let ends = starts.iter().skip(1).cloned().map(Some).chain([None]);
    starts.iter().cloned().zip(ends).map(|(from, to)| KeyBounds { from, to }).collect()
}
