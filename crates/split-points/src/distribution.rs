//! All proxies' summaries of one group, combined into a distribution of cost over its keys.

use std::collections::{BTreeMap, BTreeSet};

use crate::{AccessSample, KeySummary};

/// The most that one proxy may report, as a multiple of the median cost: beyond it figures are wrong, or it alone has the load, and
/// either way a single proxy is not to split a range.
const MAX_MEDIAN_COST_FACTOR: f64 = 50.0;
/// With fewer proxies their median says nothing of a single one.
const MIN_PROXIES_FOR_MEDIAN: usize = 3;
/// The most that a summary's samples may stand for, as a multiple of its cost: a sum that is further off is not that of a
/// priority sample.
const MAX_SAMPLED_COST_FACTOR: f64 = 4.0;
/// Added to the bound above, in units of cost, so that it means something for a cost near zero.
const SAMPLED_COST_ALLOWANCE: f64 = 1.0;
/// The width of a 95% interval of a normal distribution, in standard deviations to each side.
const Z_SCORE_95_PERCENT: f64 = 1.96;
/// The variance of a share that is one half, of one sample: the most that a share's variance can be.
const MAX_SHARE_VARIANCE: f64 = 0.25;

/// A share of the cost that was estimated from samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareEstimate {
    /// From 0 to 1.
    pub share: f64,
    /// How far it may be off to either side, in 95 of 100 cases.
    pub margin: f64,
}

/// The cost of one group's recent accesses over its keys, as all proxies together saw it.
#[derive(Clone, Debug, Default)]
pub struct KeyDistribution {
    /// In order of their keys.
    pub(crate) samples: Vec<AccessSample>,
    pub(crate) cost: f64,
    /// How many proxies stand behind it.
    pub reporters: usize,
    /// Names of proxies that were left out for implausible figures.
    pub excluded: BTreeSet<String>,
    /// What heavy hitters certainly cost.
    pub(crate) heavy_hitters: BTreeMap<Vec<u8>, f64>,
}

impl KeyDistribution {
    /// Combines the newest summaries, by the proxies' names.
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

    /// The cost of all recent accesses.
    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// The part of it from `from` on, below `to` if there is one. Proxies that saw none of these keys stand behind that as
    /// well.
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

    /// The weight of all samples, an estimate of the cost.
    pub(crate) fn total_weight(&self) -> f64 {
        total_weight(&self.samples)
    }

    /// The share of all cost at keys below this one.
    pub fn share_below(&self, key: &[u8]) -> ShareEstimate {
        let total_weight = self.total_weight().max(f64::EPSILON);
        let below = self.samples.iter().filter(|sample| *sample.key < *key).map(|sample| sample.weight);
        ShareEstimate { share: below.sum::<f64>() / total_weight, margin: self.margin() }
    }

    /// How far an estimated share may be off. Samples of unequal weight count as fewer ones of equal weight (the effective
    /// sample size by Kish).
    pub(crate) fn margin(&self) -> f64 {
        let total_weight = self.total_weight();
        let sum_of_squares: f64 = self.samples.iter().map(|sample| sample.weight * sample.weight).sum();
        let effective_samples = total_weight * total_weight / sum_of_squares.max(f64::EPSILON);
        Z_SCORE_95_PERCENT * (MAX_SHARE_VARIANCE / effective_samples.max(1.0)).sqrt()
    }

    /// The key below which half of the cost lies; `None` without samples.
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

/// What one proxy's cost may be at most; infinite where too few report any.
fn max_plausible_cost(summaries: &BTreeMap<String, KeySummary>) -> f64 {
    let costs = summaries.values().map(|summary| summary.cost);
    let mut costs: Vec<f64> = costs.filter(|cost| *cost > 0.0).collect();
    if costs.len() < MIN_PROXIES_FOR_MEDIAN {
        return f64::INFINITY;
    }
    costs.sort_by(f64::total_cmp);
    MAX_MEDIAN_COST_FACTOR * costs[costs.len() / 2]
}

/// Whether the figures can be those of a priority sample, and of one proxy among others.
fn is_plausible(summary: &KeySummary, max_cost: f64) -> bool {
    let samples_match_cost =
        total_weight(&summary.samples) <= MAX_SAMPLED_COST_FACTOR * summary.cost + SAMPLED_COST_ALLOWANCE;
    samples_match_cost && summary.cost <= max_cost
}
