//! What is recommended for one range: a split point that has held for some time, or why there is none.

use std::collections::VecDeque;

use crate::{KeyDistribution, LoadShape, Micros, REQUIRED_WINDOWS, SplitPoint, WINDOW_LENGTH, WriteShares};

/// A proposal is kept while its larger side certainly has no more than this share of the cost: moving data again has to be
/// worth it.
const MAX_LARGER_SIDE_SHARE: f64 = 0.62;
/// The share of the living proxies that have to be heard, or nothing new is concluded.
const MIN_COVERAGE: f64 = 0.6;
/// Where keys are written in ascending order, the share of cost below a fixed key falls by over this with each window.
const MIN_SHARE_DROP_PER_WINDOW: f64 = 0.05;
/// How far from one half a split may be in an earlier window, at least, and still count as the same.
const MIN_HALVING_TOLERANCE: f64 = 0.05;

/// How far a recommendation has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecommendationState {
    /// Nothing to propose, or not yet.
    Observing,
    /// A split is proposed.
    Proposed,
    /// A proposal was withdrawn, as it no longer helps, and none has followed.
    Withdrawn,
}

/// Which split is proposed, or why none is.
#[derive(Clone, Debug, PartialEq)]
pub enum SplitAssessment {
    /// Too little is known.
    Unknown,
    /// Too few proxies are heard to conclude anything.
    LowCoverage {
        /// Proxies whose summaries stand behind this.
        reporters: usize,
        /// Proxies that live.
        live_proxies: usize,
    },
    /// Each key costs about the same.
    Uniform,
    /// One key has most of the cost, and a split does not help.
    HotKey {
        /// The key, up to its first 48 bytes.
        key: Vec<u8>,
        /// Its share of the cost, at least.
        share: f64,
    },
    /// Load is at ever new keys, and any split in their midst is soon behind them.
    AscendingKeys {
        /// From this key on they belong to a new range.
        from: Vec<u8>,
    },
    /// The range is one of several of its group, and none too large among them.
    Balanced,
    /// A split would help now, but has not for long enough.
    Pending,
    /// Split here.
    Split(SplitPoint),
}

/// What is recommended for one range.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitRecommendation {
    /// How far it has come.
    pub state: RecommendationState,
    /// The split, or why there is none.
    pub assessment: SplitAssessment,
    /// How many proxies stand behind it.
    pub reporters: usize,
    /// The cost of the range's recent accesses.
    pub cost: f64,
}

/// What was seen at the end of a window.
#[derive(Clone, Debug)]
struct Window {
    distribution: KeyDistribution,
    shape: LoadShape,
}

/// Keeps the recommendation for one range.
#[derive(Clone, Debug)]
pub struct SplitAdvisor {
    next_window: Micros,
    /// The last [`REQUIRED_WINDOWS`] windows, the newest last.
    windows: VecDeque<Window>,
    /// The key that is proposed.
    proposed_key: Option<Vec<u8>>,
    /// For how many windows running the proposal has not been worth keeping.
    windows_imbalanced: usize,
}

impl SplitAdvisor {
    /// `proposed` is the key that an earlier lease holder proposed.
    pub fn new(now: Micros, proposed_key: Option<Vec<u8>>) -> SplitAdvisor {
        SplitAdvisor { next_window: now, windows: VecDeque::new(), proposed_key, windows_imbalanced: 0 }
    }

    /// What is recommended now, from the range's newest distribution; `living` is how many proxies there are. Windows are
    /// counted here, so it may be called at any interval that is shorter than one (10 s).
    ///
    /// Without windows and coverage operators would move data for the load of some seconds, or for what few proxies saw. The
    /// cost: where load has just moved for good, the recommendation follows three windows later.
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

    /// A proposal stands where too few are heard: nothing is known against it.
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

    /// Where a window ends, takes it in and proposes, keeps or withdraws.
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

    /// The proposed split under the newest load. Its writes are those of the split that would be best now.
    fn measure_split(&self, key: &[u8], distribution: &KeyDistribution) -> SplitPoint {
        let left = distribution.share_below(key);
        let writes = match self.newest_shape() {
            Some(LoadShape::Splittable(best)) => best.writes,
            _ => WriteShares::default(),
        };
        SplitPoint { key: key.to_vec(), left_share: left.share, margin: left.margin, writes }
    }

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

    fn newest_shape(&self) -> Option<&LoadShape> {
        self.windows.back().map(|window| &window.shape)
    }

    /// Once a window: whether a split is proposed, changed or withdrawn.
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

    /// Whether the proposal's larger side is certainly too large now, and another split could help.
    fn is_imbalanced(&self, key: &[u8], distribution: &KeyDistribution) -> bool {
        let left = distribution.share_below(key);
        let min_larger_side_share = left.share.max(1.0 - left.share) - left.margin;
        let is_hot_key = matches!(self.newest_shape(), Some(LoadShape::HotKey { .. }));
        min_larger_side_share > MAX_LARGER_SIDE_SHARE && !is_hot_key
    }

    /// Whether the split would have halved each of the last windows as well.
    fn halves_all_windows(&self, split: &SplitPoint) -> bool {
        self.windows.iter().all(|window| {
            let left = window.distribution.share_below(&split.key);
            (left.share - 0.5).abs() <= (split.margin + left.margin).max(MIN_HALVING_TOLERANCE)
        })
    }

    /// Where keys are used in ascending order, what lay below the first window's median has ever less of the load; returns
    /// the newest median then.
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
