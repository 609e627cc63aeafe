//! A proxy's sketch of the accesses to one group: a priority sample over the keys, and counters for heavy
//! hitters.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::summary::sample_capacity;
use crate::{AccessSample, HeavyHitter, KeySummary, Micros};

/// Maximum number of samples per group. Together with [`MAX_COUNTERS`] and [`MAX_KEY_BYTES`] this limits the
/// size of a sketch to 64 KB; in practice, it is about 20 KB.
const MAX_SAMPLES: usize = 256;
/// Maximum number of keys per group that are counted separately as potential heavy hitters.
const MAX_COUNTERS: usize = 32;
/// Maximum length of a stored key, in bytes. Keys that have the same first 48 bytes are treated as one key.
pub const MAX_KEY_BYTES: usize = 48;
/// Time after which recorded costs count half, in microseconds (10 s). It equals the length of the windows in
/// which load is evaluated, so that each window mostly reflects the accesses that were recorded in it.
const HALF_LIFE: Micros = 10_000_000;
/// A sketch whose cost has decayed below this value (in the caller's unit) is treated as empty and is
/// cleared.
const NEGLIGIBLE_COST: f64 = 1e-6;
/// A key is reported as a heavy hitter if the lower bound of its cost exceeds the total cost divided by this
/// value (5%). With that limit, the six heavy hitters that fit into a summary rarely omit one that matters.
const HEAVY_HITTER_DIVISOR: f64 = 20.0;

/// An access that is part of the sample.
#[derive(Clone, Debug)]
struct SampledAccess {
    key: Vec<u8>,
    is_write: bool,
    weight: f64,
    /// The weight divided by a random number from (0, 1]. The sample consists of the accesses of highest
    /// priority.
    priority: f64,
}

/// A SpaceSaving counter.
#[derive(Clone, Copy, Debug)]
struct Counter {
    /// Upper bound of the key's cost.
    cost: f64,
    /// The most by which `cost` may exceed the true cost, which is the cost of the counter that this one
    /// replaced.
    error: f64,
}

/// A sketch of the recent accesses to one group, as observed by one proxy.
#[derive(Clone, Debug)]
pub struct KeySketch {
    /// The samples in descending order of priority.
    samples: Vec<SampledAccess>,
    /// The highest priority that was dropped from the sample; 0 if none was.
    threshold: f64,
    /// Counters of potential heavy hitters, by key.
    counters: BTreeMap<Vec<u8>, Counter>,
    /// The cost of all recent accesses, sampled or not.
    cost: f64,
    /// Time up to which costs have been decayed.
    last_halved: Micros,
    rng: Pcg64Mcg,
}

impl KeySketch {
    /// Creates an empty sketch; `seed` determines its random draws.
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

    /// Records an access to `key`. All proxies have to measure `cost` in the same unit.
    pub fn record(&mut self, now: Micros, key: &[u8], is_write: bool, cost: f64) {
        self.decay(now);
        let key = &key[..key.len().min(MAX_KEY_BYTES)];
        self.cost += cost;
        self.sample(key, is_write, cost);
        self.count(key, cost);
    }

    /// Adds the access to the sample if its random priority is high enough.
    fn sample(&mut self, key: &[u8], is_write: bool, cost: f64) {
        let priority = cost / (1.0 - self.rng.random::<f64>());
        if priority > self.threshold {
            self.insert_sample(SampledAccess { key: key.to_vec(), is_write, weight: cost, priority });
        }
    }

    /// Inserts the access into the sample, and drops the access of lowest priority if the sample is full.
    fn insert_sample(&mut self, access: SampledAccess) {
        let position = self.samples.partition_point(|sampled| sampled.priority >= access.priority);
        self.samples.insert(position, access);
        if self.samples.len() > MAX_SAMPLES
            && let Some(last) = self.samples.pop()
        {
            self.threshold = self.threshold.max(last.priority);
        }
    }

    /// Adds the cost to the key's counter. If the key has none and no counter is free, it takes over the
    /// counter of lowest cost.
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

    /// Returns the counter of lowest cost, and its key.
    fn minimum_counter(&self) -> Option<(Vec<u8>, Counter)> {
        let minimum = self.counters.iter().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost));
        minimum.map(|(key, counter)| (key.clone(), *counter))
    }

    /// Applies one halving for each half-life that has passed. Weights and priorities are halved alike, so
    /// that the sample remains a priority sample.
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

    /// Halves all costs, weights and priorities.
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

    /// Removes all recorded accesses.
    fn clear(&mut self) {
        self.samples = Vec::new();
        self.threshold = 0.0;
        self.cost = 0.0;
        self.counters.clear();
    }

    /// Returns an encoded summary with as many samples as are certain to fit into
    /// [`MAX_SUMMARY_BYTES`](crate::MAX_SUMMARY_BYTES).
    pub fn encode_summary(&mut self, now: Micros) -> Vec<u8> {
        let heavy_hitters = self.summary(now, 0).heavy_hitters;
        let max_samples = sample_capacity(&heavy_hitters, self.longest_key());
        self.summary(now, max_samples).encode()
    }

    /// Returns the length of the longest key in the sample, in bytes; 0 if there are no samples.
    fn longest_key(&self) -> usize {
        self.samples.iter().map(|sampled| sampled.key.len()).max().unwrap_or(0)
    }

    /// Returns a summary with the `max_samples` samples of highest priority, which are a priority sample
    /// themselves, and with all heavy hitters: the keys whose cost is certain to exceed a twentieth of the
    /// total.
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

    /// Returns the heavy hitters in descending order of cost.
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
