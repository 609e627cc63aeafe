//! What a proxy keeps of one group's accesses: a priority sample over the keys, and counters of heavy hitters.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::summary::sample_capacity;
use crate::{AccessSample, HeavyHitter, KeySummary, Micros};

/// Samples kept of a group. With [`MAX_COUNTERS`] and [`MAX_KEY_BYTES`] this bounds a sketch to 64 KB, some 20 KB in
/// practice.
const MAX_SAMPLES: usize = 256;
/// Keys counted apart as possible heavy hitters of a group.
const MAX_COUNTERS: usize = 32;
/// How much of a key is kept, in bytes. Keys that only differ after that count as one.
pub const MAX_KEY_BYTES: usize = 48;
/// What was recorded counts half after so long, in microseconds: as long as a window of the recommendations, so that each
/// window shows mostly what is new in it.
const HALF_LIFE: Micros = 10_000_000;
/// A sketch whose cost has aged below this (in the caller's unit) is as good as empty, and starts anew.
const NEGLIGIBLE_COST: f64 = 1e-6;
/// A key is reported as a heavy hitter where more than one part in twenty of all cost is certainly its own: the six that fit
/// into a summary then seldom leave one out that matters.
const HEAVY_HITTER_DIVISOR: f64 = 20.0;

/// An access in the sample.
#[derive(Clone, Debug)]
struct SampledAccess {
    key: Vec<u8>,
    is_write: bool,
    weight: f64,
    /// Its weight over a random number from (0, 1]; the highest ones stay in the sample.
    priority: f64,
}

/// A counter of SpaceSaving.
#[derive(Clone, Copy, Debug)]
struct Counter {
    /// Never lower than what the key cost.
    cost: f64,
    /// By how much `cost` may be too high: what the key that was replaced had.
    error: f64,
}

/// The recent accesses of one group, as one proxy saw them.
#[derive(Clone, Debug)]
pub struct KeySketch {
    /// In order of priority, the highest first.
    samples: Vec<SampledAccess>,
    /// The highest priority that was left out.
    threshold: f64,
    counters: BTreeMap<Vec<u8>, Counter>,
    cost: f64,
    last_halved: Micros,
    rng: Pcg64Mcg,
}

impl KeySketch {
    /// An empty sketch; `seed` determines its random draws.
    pub fn new(now: Micros, seed: u64) -> KeySketch {
        KeySketch {
            samples: Vec::new(),
            threshold: 0.0,
            counters: BTreeMap::new(),
            cost: 0.0,
            last_halved: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Records an access of that cost, in whatever unit all proxies count.
    pub fn record(&mut self, now: Micros, key: &[u8], is_write: bool, cost: f64) {
        self.decay(now);
        let key = &key[..key.len().min(MAX_KEY_BYTES)];
        self.cost += cost;
        self.sample(key, is_write, cost);
        self.count(key, cost);
    }

    /// Keeps the access in the sample where its priority is high enough.
    fn sample(&mut self, key: &[u8], is_write: bool, cost: f64) {
        let priority = cost / (1.0 - self.rng.random::<f64>());
        if priority > self.threshold {
            self.insert_sample(SampledAccess { key: key.to_vec(), is_write, weight: cost, priority });
        }
    }

    fn insert_sample(&mut self, access: SampledAccess) {
        let position = self.samples.partition_point(|sampled| sampled.priority >= access.priority);
        self.samples.insert(position, access);
        if self.samples.len() > MAX_SAMPLES
            && let Some(last) = self.samples.pop()
        {
            self.threshold = self.threshold.max(last.priority);
        }
    }

    /// Counts the key; where no counter is free, it takes over the least one.
    fn count(&mut self, key: &[u8], cost: f64) {
        if let Some(counter) = self.counters.get_mut(key) {
            counter.cost += cost;
        } else if self.counters.len() < MAX_COUNTERS {
            self.counters.insert(key.to_vec(), Counter { cost, error: 0.0 });
        } else if let Some((replaced_key, minimum)) = self.minimum_counter() {
            self.counters.remove(&replaced_key);
            let counter = Counter { cost: minimum.cost + cost, error: minimum.cost };
            self.counters.insert(key.to_vec(), counter);
        }
    }

    fn minimum_counter(&self) -> Option<(Vec<u8>, Counter)> {
        let minimum = self.counters.iter().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        minimum.map(|(key, counter)| (key.clone(), *counter))
    }

    /// Halves all weights and priorities alike for each half-life that passed, so that the sample stays a priority sample.
    fn decay(&mut self, now: Micros) {
        while now - self.last_halved >= HALF_LIFE {
            self.last_halved += HALF_LIFE;
            self.halve();
            if self.cost < NEGLIGIBLE_COST {
                self.clear();
                self.last_halved = now;
            }
        }
    }

    fn halve(&mut self) {
        for sampled in &mut self.samples {
            sampled.weight /= 2.0;
            sampled.priority /= 2.0;
        }
        for counter in self.counters.values_mut() {
            counter.cost /= 2.0;
            counter.error /= 2.0;
        }
        self.threshold /= 2.0;
        self.cost /= 2.0;
    }

    fn clear(&mut self) {
        self.samples = Vec::new();
        self.threshold = 0.0;
        self.cost = 0.0;
        self.counters.clear();
    }

    /// The bytes of the newest summary, with as many samples as fit into [`MAX_SUMMARY_BYTES`](crate::MAX_SUMMARY_BYTES).
    pub fn encode_summary(&mut self, now: Micros) -> Vec<u8> {
        let heavy_hitters = self.summary(now, 0).heavy_hitters;
        let max_samples = sample_capacity(&heavy_hitters, self.longest_key());
        self.summary(now, max_samples).encode()
    }

    /// The length of the longest key of all samples, in bytes.
    fn longest_key(&self) -> usize {
        self.samples.iter().map(|sampled| sampled.key.len()).max().unwrap_or(0)
    }

    /// A summary with at most `max_samples`, those of highest priority, which are a priority sample themselves; and with the
    /// keys that certainly have over a twentieth of the cost.
    pub fn summary(&mut self, now: Micros, max_samples: usize) -> KeySummary {
        self.decay(now);
        let threshold = self.samples.get(max_samples).map_or(self.threshold, |sampled| sampled.priority);
        let samples = self.samples.iter().take(max_samples).map(|sampled| AccessSample {
            key: sampled.key.clone(),
            is_write: sampled.is_write,
            weight: sampled.weight.max(threshold),
        });
        KeySummary { cost: self.cost, samples: samples.collect(), heavy_hitters: self.heavy_hitters() }
    }

    /// The costliest first.
    fn heavy_hitters(&self) -> Vec<HeavyHitter> {
        let min_cost = self.cost / HEAVY_HITTER_DIVISOR;
        let heavy_counters =
            self.counters.iter().filter(|(_, counter)| counter.cost - counter.error > min_cost);
        let to_heavy_hitter = |(key, counter): (&Vec<u8>, &Counter)| HeavyHitter {
            key: key.clone(),
            cost: counter.cost,
            error: counter.error,
        };
        let mut heavy_hitters: Vec<HeavyHitter> = heavy_counters.map(to_heavy_hitter).collect();
        heavy_hitters.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        heavy_hitters
    }
}
