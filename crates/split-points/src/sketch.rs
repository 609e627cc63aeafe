use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;

/// Samples and heavy keys kept of a group, and how much of a key: 64 KB a group at the most.
const SAMPLES: usize = 256;
const HEAVY: usize = 32;
pub const KEY: usize = 48;
/// What was seen is worth half after so long.
const HALVES: Micros = 10_000_000;

/// One access that stands for others like it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    pub key: Vec<u8>,
    pub write: bool,
    /// How much cost it stands for.
    pub weight: f64,
}

/// A key that alone has much of the cost, give or take `error`.
#[derive(Clone, Debug, PartialEq)]
pub struct Heavy {
    pub key: Vec<u8>,
    pub cost: f64,
    pub error: f64,
}

/// What a driver tells of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// All cost of late, of which the samples are a part.
    pub cost: f64,
    pub samples: Vec<Sample>,
    pub heavy: Vec<Heavy>,
}

#[derive(Clone, Debug)]
struct Kept {
    key: Vec<u8>,
    write: bool,
    weight: f64,
    priority: f64,
}

/// The accesses of one group, as one driver saw them.
#[derive(Clone, Debug)]
pub struct Sketch {
    /// In order of priority, the highest first.
    kept: Vec<Kept>,
    /// The highest priority that was left out.
    threshold: f64,
    heavy: BTreeMap<Vec<u8>, (f64, f64)>,
    cost: f64,
    halved: Micros,
    rng: Pcg64Mcg,
}

impl Sketch {
    pub fn start(now: Micros, seed: u64) -> Sketch {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Sketch { kept: Vec::new(), threshold: 0.0, heavy: BTreeMap::new(), cost: 0.0, halved: now, rng }
    }

    /// An access of that cost, in whatever unit all drivers count.
    pub fn access(&mut self, now: Micros, key: &[u8], write: bool, cost: f64) {
        self.age(now);
        let key = &key[..key.len().min(KEY)];
        self.cost += cost;
        let priority = cost / (1.0 - self.rng.random::<f64>());
        if priority > self.threshold {
            let at = self.kept.partition_point(|kept| kept.priority >= priority);
            self.kept.insert(at, Kept { key: key.to_vec(), write, weight: cost, priority });
            if self.kept.len() > SAMPLES
                && let Some(last) = self.kept.pop()
            {
                self.threshold = self.threshold.max(last.priority);
            }
        }
        if let Some((count, _)) = self.heavy.get_mut(key) {
            *count += cost;
        } else if self.heavy.len() < HEAVY {
            self.heavy.insert(key.to_vec(), (cost, 0.0));
        } else if let Some((least, &(count, _))) = self.heavy.iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0)) {
            let least = least.clone();
            self.heavy.remove(&least);
            self.heavy.insert(key.to_vec(), (count + cost, count));
        }
    }

    /// All weights and priorities alike are worth less, so that the sample stays one.
    fn age(&mut self, now: Micros) {
        while now - self.halved >= HALVES {
            self.halved += HALVES;
            for kept in &mut self.kept {
                (kept.weight, kept.priority) = (kept.weight / 2.0, kept.priority / 2.0);
            }
            self.heavy
                .values_mut()
                .for_each(|(count, error)| (*count, *error) = (*count / 2.0, *error / 2.0));
            (self.threshold, self.cost) = (self.threshold / 2.0, self.cost / 2.0);
            if self.cost < 1e-6 {
                (self.kept, self.threshold, self.cost) = (Vec::new(), 0.0, 0.0);
                self.heavy.clear();
                self.halved = now;
            }
        }
    }

    /// The longest key of all samples.
    pub(crate) fn longest(&self) -> usize {
        self.kept.iter().map(|kept| kept.key.len()).max().unwrap_or(0)
    }

    /// The best so many samples, which are a priority sample themselves, and keys that have a twentieth of the cost, the
    /// costliest first.
    pub fn summary(&mut self, now: Micros, most: usize) -> Summary {
        self.age(now);
        let left_out = self.kept.get(most).map_or(self.threshold, |kept| kept.priority);
        let samples = self.kept.iter().take(most).map(|kept| {
            let weight = kept.weight.max(left_out);
            Sample { key: kept.key.clone(), write: kept.write, weight }
        });
        let heavy = self.heavy.iter().filter(|(_, (count, error))| count - error > self.cost / 20.0);
        let heavy = heavy.map(|(key, &(cost, error))| Heavy { key: key.clone(), cost, error });
        let mut heavy: Vec<Heavy> = heavy.collect();
        heavy.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        Summary { cost: self.cost, samples: samples.collect(), heavy }
    }
}
