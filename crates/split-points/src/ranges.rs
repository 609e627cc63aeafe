//! Recommendations for all key ranges of a group that operators may have split.

use crate::{
    KeyDistribution, Micros, REQUIRED_WINDOWS, RecommendationState, SplitAdvisor, SplitAssessment,
    SplitRecommendation, WINDOW_LENGTH,
};

/// Minimum share of the group's cost for a range to be considered for a split, as a multiple of the share
/// that it would have if all ranges cost the same. Ranges below it are not too large compared with the others
/// and are left whole.
const LARGE_RANGE_FACTOR: f64 = 1.25;
/// Two adjacent ranges should be merged if their combined cost is below this fraction of the cost of an
/// average range.
const COLD_PAIR_FACTOR: f64 = 0.3;

/// The recommendation for one key range of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeRecommendation {
    /// First key of the range (inclusive); empty for the group's first range.
    pub from: Vec<u8>,
    /// The range's share of the group's cost, from 0 to 1.
    pub share: f64,
    /// Half-width of the 95% confidence interval of `share`.
    pub margin: f64,
    /// Whether the range should be merged with the one before it; always `false` for the first range. If so,
    /// operators are shown this instead of the assessment in `split`.
    pub merge_with_previous: bool,
    /// Whether and where the range should be split.
    pub split: SplitRecommendation,
}

/// The bounds of one key range.
#[derive(Clone, Debug, PartialEq)]
struct KeyBounds {
    /// First key (inclusive); empty for the group's first range.
    from: Vec<u8>,
    /// First key of the next range (exclusive); `None` for the group's last range.
    to: Option<Vec<u8>>,
}

/// A key range and the state of its recommendations.
#[derive(Clone, Debug)]
struct KeyRange {
    bounds: KeyBounds,
    advisor: SplitAdvisor,
    /// Number of consecutive windows in which this range and the one before it have been cold.
    windows_cold: usize,
}

/// Tracks the recommendations for all key ranges of one group. A group that operators have not split has one
/// range.
#[derive(Clone, Debug)]
pub struct RangeSet {
    /// When the current window ends.
    next_window: Micros,
    /// The ranges in order of their keys; at least one.
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// Creates the ranges of a group, which start at the empty key and at each key of `splits`.
    /// `proposed_key` takes the first key of a range and returns the split key that an earlier lease holder
    /// proposed for that range, if any.
    pub fn new(now: Micros, splits: &[Vec<u8>], proposed_key: impl Fn(&[u8]) -> Option<Vec<u8>>) -> RangeSet {
        let mut set = RangeSet { next_window: now, ranges: Vec::new() };
        set.set_splits(now, splits, proposed_key);
        set
    }

    /// Replaces the ranges after operators have changed the splits. A range whose bounds have not changed
    /// keeps its advisor, including any proposal; `proposed_key` is called for the other ranges, as in
    /// [`RangeSet::new`]. The counts of cold windows restart at zero for all ranges.
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

    /// Returns the number of ranges; 1 for a group that has not been split.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Always returns `false`, as a group that has not been split has one range.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the current recommendations in order of the ranges. `group` is the group's latest
    /// distribution, `live_proxies` the number of live proxies, and `average_cost` the average cost of a
    /// range over all groups.
    ///
    /// The ranges are evaluated together because operators would otherwise split ranges that are not large
    /// within their group, and end up with many cold ranges. The drawback is that a group that is cold for
    /// half a minute, is merged and then becomes hot has to be split again.
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
    /// Counts the window as cold, or resets the count. `pair_cost` is the upper bound of the combined cost of
    /// this range and the one before it.
    fn count_cold_window(&mut self, pair_cost: f64, average_cost: f64) {
        let is_cold = pair_cost < COLD_PAIR_FACTOR * average_cost;
        self.windows_cold = if is_cold { self.windows_cold + 1 } else { 0 };
    }
}

/// Returns whether a range is left whole, regardless of the effect of a split, because it is one of several
/// ranges and `min_share`, the lower bound of its share, is not large among them.
fn is_balanced(min_share: f64, ranges: usize) -> bool {
    ranges > 1 && min_share < LARGE_RANGE_FACTOR / ranges as f64
}

/// Returns the bounds of the ranges between `splits`, in order. Duplicate splits, and splits at the empty
/// key, are ignored.
fn bounds_between(splits: &[Vec<u8>]) -> Vec<KeyBounds> {
    let mut starts: Vec<Vec<u8>> = splits.iter().filter(|split| !split.is_empty()).cloned().collect();
    starts.push(Vec::new());
    starts.sort();
    starts.dedup();
    let ends = starts.iter().skip(1).cloned().map(Some).chain([None]);
    starts.iter().cloned().zip(ends).map(|(from, to)| KeyBounds { from, to }).collect()
}
