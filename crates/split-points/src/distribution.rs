//! Combines the summaries of all proxies for one group into a distribution of cost over its keys.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AccessSample, KeySummary};

/// Upper bound for the cost that one proxy reports, as a multiple of the median of the proxies that report a
/// cost above zero. A proxy above it either reports wrong figures or has almost all of the load, and a range
/// must not be split because of a single proxy in either case.
const MAX_MEDIAN_COST_FACTOR: f64 = 50.0;
/// Minimum number of proxies for a meaningful median; with fewer, the cost of a proxy is not bounded.
const MIN_PROXIES_FOR_MEDIAN: usize = 3;
/// Upper bound for the total weight of a summary's samples, as a multiple of the summary's cost. A larger
/// total is not plausible for a priority sample.
const MAX_SAMPLED_COST_FACTOR: f64 = 4.0;
/// Added to the bound given by [`MAX_SAMPLED_COST_FACTOR`], in units of cost, so that the bound is meaningful
/// for a cost near zero.
const SAMPLED_COST_ALLOWANCE: f64 = 1.0;
/// Half-width of the 95% confidence interval of a normal distribution, in standard deviations.
const Z_SCORE_95_PERCENT: f64 = 1.96;
/// Variance of a share of one half for a single sample, p * (1 - p), which is the maximum over all shares.
const MAX_SHARE_VARIANCE: f64 = 0.25;

/// A share of the cost, estimated from samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareEstimate {
    /// The estimated share, from 0 to 1.
    pub share: f64,
    /// Half-width of the 95% confidence interval of `share`.
    pub margin: f64,
}

/// The cost of the recent accesses to one group by key, as observed by all proxies together.
#[derive(Clone, Debug, Default)]
pub struct KeyDistribution {
    /// The samples of all proxies, in order of their keys.
    pub(crate) samples: Vec<AccessSample>,
    /// The cost of all recent accesses, sampled or not; for a part of the keys, an estimate from the samples.
    pub(crate) cost: f64,
    /// Number of proxies whose summaries are included.
    pub reporters: usize,
    /// Names of the proxies whose summaries are not included because of implausible figures.
    pub excluded: BTreeSet<String>,
    /// Lower bound of the cost of each heavy hitter, by key.
    pub(crate) heavy_hitters: BTreeMap<Vec<u8>, f64>,
}

impl KeyDistribution {
    /// Combines the latest summary of each proxy; `summaries` is keyed by proxy name. Summaries with
    /// implausible figures are left out, and their proxies are listed in
    /// [`excluded`](KeyDistribution::excluded).
    pub fn combine(summaries: &BTreeMap<String, KeySummary>) -> KeyDistribution {
        let max_cost = max_plausible_cost(summaries);
        let mut distribution = KeyDistribution::default();
        for (reporter, summary) in summaries {
            if is_plausible(summary, max_cost) {
                distribution.add_summary(summary);
            } else {
                distribution.excluded.insert(reporter.clone());
            }
        }
        distribution.samples.sort_by(|a, b| a.key.cmp(&b.key));
        distribution
    }

    fn add_summary(&mut self, summary: &KeySummary) {
        self.reporters += 1;
        self.cost += summary.cost;
        self.samples.extend(summary.samples.iter().cloned());
        for hitter in &summary.heavy_hitters {
            *self.heavy_hitters.entry(hitter.key.clone()).or_default() += hitter.cost - hitter.error;
        }
    }

    /// Returns the cost of all recent accesses, in the unit of the summaries.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the distribution over the keys from `from` (inclusive) to `to` (exclusive), or to the last key
    /// if `to` is `None`. The number of reporters stays the same: proxies that observed no access to these
    /// keys count as well.
    pub fn between(&self, from: &[u8], to: Option<&[u8]>) -> KeyDistribution {
        let is_within = |key: &[u8]| key >= from && to.is_none_or(|to| key < to);
        let samples_within = self.samples.iter().filter(|sample| is_within(&sample.key));
        let samples: Vec<AccessSample> = samples_within.cloned().collect();
        let share = total_weight(&samples) / self.total_weight().max(f64::EPSILON);
        let heavy_hitters = self.heavy_hitters.iter().filter(|(key, _)| is_within(key));
        KeyDistribution {
            samples,
            cost: self.cost * share,
            reporters: self.reporters,
            excluded: self.excluded.clone(),
            heavy_hitters: heavy_hitters.map(|(key, cost)| (key.clone(), *cost)).collect(),
        }
    }

    /// Returns the total weight of all samples, which is an estimate of the cost.
    pub(crate) fn total_weight(&self) -> f64 {
        total_weight(&self.samples)
    }

    /// Estimates the share of the cost at keys below `key`.
    pub fn share_below(&self, key: &[u8]) -> ShareEstimate {
        let total_weight = self.total_weight().max(f64::EPSILON);
        let below = self.samples.iter().filter(|sample| *sample.key < *key).map(|sample| sample.weight);
        ShareEstimate { share: below.sum::<f64>() / total_weight, margin: self.margin() }
    }

    /// Returns the half-width of the 95% confidence interval of an estimated share. Samples of unequal weight
    /// are equivalent to a smaller number of samples of equal weight (Kish's effective sample size).
    pub(crate) fn margin(&self) -> f64 {
        let total_weight = self.total_weight();
        let sum_of_squares: f64 = self.samples.iter().map(|sample| sample.weight * sample.weight).sum();
        let effective_samples = total_weight * total_weight / sum_of_squares.max(f64::EPSILON);
        Z_SCORE_95_PERCENT * (MAX_SHARE_VARIANCE / effective_samples.max(1.0)).sqrt()
    }

    /// Returns the key at which the cumulative cost first exceeds one half of the total; `None` if there are
    /// no samples.
    pub fn median_key(&self) -> Option<&[u8]> {
        let half = self.total_weight() / 2.0;
        let mut sum = 0.0;
        let median = self.samples.iter().find(|sample| {
            sum += sample.weight;
            sum > half
        });
        median.map(|sample| &sample.key[..])
    }
}

fn total_weight(samples: &[AccessSample]) -> f64 {
    samples.iter().map(|sample| sample.weight).sum()
}

/// Returns the highest plausible cost of a single proxy, or infinity if too few proxies report a cost above
/// zero.
fn max_plausible_cost(summaries: &BTreeMap<String, KeySummary>) -> f64 {
    let costs = summaries.values().map(|summary| summary.cost);
    let mut costs: Vec<f64> = costs.filter(|cost| *cost > 0.0).collect();
    if costs.len() < MIN_PROXIES_FOR_MEDIAN {
        return f64::INFINITY;
    }
    costs.sort_by(f64::total_cmp);
    MAX_MEDIAN_COST_FACTOR * costs[costs.len() / 2]
}

/// Returns whether the weights of the samples are consistent with the summary's cost, and the cost is at most
/// `max_cost`.
fn is_plausible(summary: &KeySummary, max_cost: f64) -> bool {
    let samples_match_cost =
        total_weight(&summary.samples) <= MAX_SAMPLED_COST_FACTOR * summary.cost + SAMPLED_COST_ALLOWANCE;
    samples_match_cost && summary.cost <= max_cost
}
