//! Recommendation for one key range: a split point that has been stable for some time, or the reason why
//! there is none.

use std::collections::VecDeque;

use crate::{KeyDistribution, LoadShape, Micros, REQUIRED_WINDOWS, SplitPoint, WINDOW_LENGTH, WriteShares};

/// A proposal is kept until the lower bound of its larger side's share of the cost exceeds this value,
/// because the gain from a different split has to justify moving data again.
const MAX_LARGER_SIDE_SHARE: f64 = 0.62;
/// Minimum fraction of the live proxies that have to report. Below it, windows are not evaluated and
/// proposals do not change.
const MIN_COVERAGE: f64 = 0.6;
/// If keys are accessed in ascending order, the share of the cost below a fixed key drops by more than this
/// from each window to the next.
const MIN_SHARE_DROP_PER_WINDOW: f64 = 0.05;
/// Minimum tolerance for a split to count as halving the cost of a recent window: the distance of the left
/// side's share from one half.
const MIN_HALVING_TOLERANCE: f64 = 0.05;

/// The state of the proposal for a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecommendationState {
    /// No split is proposed. After a withdrawal, this is the state only while too few proxies report.
    Observing,
    /// A split is proposed.
    Proposed,
    /// A proposal was withdrawn because it no longer helps, and no other split has been proposed since.
    Withdrawn,
}

/// The split that is proposed for a range, or the reason why none is.
#[derive(Clone, Debug, PartialEq)]
pub enum SplitAssessment {
    /// There is too little data for an assessment.
    Unknown,
    /// Too few proxies report for an assessment.
    LowCoverage {
        /// Number of proxies whose summaries are included.
        reporters: usize,
        /// Number of live proxies.
        live_proxies: usize,
    },
    /// All keys cost about the same, so a split by the number of keys is as good as any.
    Uniform,
    /// A single key has so much of the cost that a split does not help.
    HotKey {
        /// The key, truncated to its first 48 bytes.
        key: Vec<u8>,
        /// Lower bound of the key's share of the cost, from 0 to 1.
        share: f64,
    },
    /// The load moves to ever higher keys, so that it soon leaves any split point behind.
    AscendingKeys {
        /// First key of the new range that operators should create for the keys to come.
        from: Vec<u8>,
    },
    /// The range is one of several in its group and is not too large compared with the others.
    Balanced,
    /// A split would help now, but has not been stable for long enough to be proposed.
    Pending,
    /// The range should be split at this point.
    Split(SplitPoint),
}

/// The recommendation for one range.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitRecommendation {
    /// The state of the proposal.
    pub state: RecommendationState,
    /// The proposed split, or the reason why there is none.
    pub assessment: SplitAssessment,
    /// Number of proxies whose summaries are included.
    pub reporters: usize,
    /// The cost of the recent accesses to the range, in the unit of the summaries.
    pub cost: f64,
}

/// The load of a range at the end of a window.
#[derive(Clone, Debug)]
struct Window {
    distribution: KeyDistribution,
    shape: LoadShape,
}

/// Tracks the recommendation for one key range over several windows.
#[derive(Clone, Debug)]
pub struct SplitAdvisor {
    /// When the current window ends.
    next_window: Micros,
    /// The last [`REQUIRED_WINDOWS`] windows, the newest last.
    windows: VecDeque<Window>,
    /// The proposed split key, if any.
    proposed_key: Option<Vec<u8>>,
    /// Number of consecutive windows in which the proposed split has been too imbalanced.
    windows_imbalanced: usize,
}

impl SplitAdvisor {
    /// Creates an advisor without any windows; `proposed_key` is the split key that an earlier lease holder
    /// proposed, if any.
    pub fn new(now: Micros, proposed_key: Option<Vec<u8>>) -> SplitAdvisor {
        SplitAdvisor { next_window: now, windows: VecDeque::new(), proposed_key, windows_imbalanced: 0 }
    }

    /// Returns the current recommendation, given the latest distribution of the range and the number of live
    /// proxies. The method keeps track of the windows itself and may be called at any interval that is
    /// shorter than a window (10 s).
    ///
    /// Recommendations depend on several windows and on a minimum coverage so that operators do not move data
    /// because of a load of a few seconds, or because of what only a few proxies observed. The drawback is
    /// that the recommendation follows a lasting shift of the load only three windows later.
    pub fn advise(
        &mut self,
        now: Micros,
        distribution: KeyDistribution,
        live_proxies: usize,
    ) -> SplitRecommendation {
        let reporters = distribution.reporters;
        let cost = distribution.cost();
        if (reporters as f64) < MIN_COVERAGE * live_proxies as f64 {
            let assessment = SplitAssessment::LowCoverage { reporters, live_proxies };
            return SplitRecommendation {
                state: self.state_under_low_coverage(),
                assessment,
                reporters,
                cost,
            };
        }
        self.end_window(now, &distribution);
        let assessment = match &self.proposed_key {
            Some(key) => SplitAssessment::Split(self.measure_split(key, &distribution)),
            None => self.reason_for_no_split(),
        };
        SplitRecommendation { state: self.state(), assessment, reporters, cost }
    }

    /// Returns the state while too few proxies report. A proposal remains in force, as there is no evidence
    /// against it.
    fn state_under_low_coverage(&self) -> RecommendationState {
        if self.proposed_key.is_some() {
            RecommendationState::Proposed
        } else {
            RecommendationState::Observing
        }
    }

    fn state(&self) -> RecommendationState {
        if self.proposed_key.is_some() {
            RecommendationState::Proposed
        } else if self.windows_imbalanced > 0 {
            RecommendationState::Withdrawn
        } else {
            RecommendationState::Observing
        }
    }

    /// If the current window has ended, records it and updates the proposal.
    fn end_window(&mut self, now: Micros, distribution: &KeyDistribution) {
        if now < self.next_window {
            return;
        }
        self.next_window = now + WINDOW_LENGTH;
        let shape = distribution.shape();
        self.windows.push_back(Window { distribution: distribution.clone(), shape });
        if self.windows.len() > REQUIRED_WINDOWS {
            self.windows.pop_front();
        }
        self.update_proposal(distribution);
    }

    /// Evaluates the split at `key` under the latest load. The shares of writes are those of the best split
    /// for the latest window, or 0 if no split would help.
    fn measure_split(&self, key: &[u8], distribution: &KeyDistribution) -> SplitPoint {
        let left = distribution.share_below(key);
        let writes = match self.newest_shape() {
            Some(LoadShape::Splittable(best)) => best.writes,
            _ => WriteShares::default(),
        };
        SplitPoint { key: key.to_vec(), left_share: left.share, margin: left.margin, writes }
    }

    /// Returns why no split is proposed, according to the latest window.
    fn reason_for_no_split(&self) -> SplitAssessment {
        match self.newest_shape() {
            None | Some(LoadShape::Unknown) => SplitAssessment::Unknown,
            Some(LoadShape::HotKey { key, share }) => {
                SplitAssessment::HotKey { key: key.clone(), share: *share }
            }
            Some(shape) => match self.ascending_keys_from() {
                Some(from) => SplitAssessment::AscendingKeys { from },
                None if *shape == LoadShape::Uniform => SplitAssessment::Uniform,
                None => SplitAssessment::Pending,
            },
        }
    }

    /// Returns the load shape of the latest window; `None` before the first one has ended.
    fn newest_shape(&self) -> Option<&LoadShape> {
        self.windows.back().map(|window| &window.shape)
    }

    /// Proposes, keeps, replaces or withdraws a split. Called once per window.
    fn update_proposal(&mut self, distribution: &KeyDistribution) {
        if let Some(key) = &self.proposed_key {
            let imbalanced = self.is_imbalanced(key, distribution);
            self.windows_imbalanced = if imbalanced { self.windows_imbalanced + 1 } else { 0 };
            if self.windows_imbalanced < REQUIRED_WINDOWS {
                return;
            }
            self.proposed_key = None;
        }
        let Some(LoadShape::Splittable(split)) = self.newest_shape() else { return };
        let is_stable = self.windows.len() >= REQUIRED_WINDOWS && self.halves_all_windows(split);
        if is_stable && self.ascending_keys_from().is_none() {
            self.proposed_key = Some(split.key.clone());
            self.windows_imbalanced = 0;
        }
    }

    /// Returns whether the split at `key` is too imbalanced, allowing for its margin of error. Always `false`
    /// if the latest window has a hot key, as no other split would help.
    fn is_imbalanced(&self, key: &[u8], distribution: &KeyDistribution) -> bool {
        let left = distribution.share_below(key);
        let min_larger_side_share = left.share.max(1.0 - left.share) - left.margin;
        let is_hot_key = matches!(self.newest_shape(), Some(LoadShape::HotKey { .. }));
        min_larger_side_share > MAX_LARGER_SIDE_SHARE && !is_hot_key
    }

    /// Returns whether the split would have halved the cost of every recent window, within the margins of
    /// error.
    fn halves_all_windows(&self, split: &SplitPoint) -> bool {
        self.windows.iter().all(|window| {
            let left = window.distribution.share_below(&split.key);
            (left.share - 0.5).abs() <= (split.margin + left.margin).max(MIN_HALVING_TOLERANCE)
        })
    }

    /// Detects keys that are accessed in ascending order: the share of the cost below the median key of the
    /// oldest window drops from each window to the next. Returns the median key of the latest window if so.
    fn ascending_keys_from(&self) -> Option<Vec<u8>> {
        let median = self.windows.front()?.distribution.median_key()?;
        let shares_below = self.windows.iter().map(|window| window.distribution.share_below(median));
        let shares_below: Vec<_> = shares_below.collect();
        let is_falling = shares_below.windows(2).all(|pair| {
            let has_dropped = pair[1].share + MIN_SHARE_DROP_PER_WINDOW < pair[0].share;
            has_dropped && pair[1].share + pair[1].margin < 0.5
        });
        let newest_median = self.windows.back()?.distribution.median_key()?;
        (self.windows.len() >= REQUIRED_WINDOWS && is_falling).then(|| newest_median.to_vec())
    }
}
