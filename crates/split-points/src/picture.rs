use std::collections::{BTreeMap, BTreeSet};

use crate::{Sample, Summary};

/// A driver whose figure is so many times the median of the others' is set aside: it is wrong, or it alone has the load,
/// and either way one word is not to cut a range.
const ABSURD: f64 = 50.0;
/// A key with so much of the cost cannot be helped by a cut.
const HOT: f64 = 0.35;
/// Cost follows the number of keys where the two distributions lie no further apart.
const UNIFORM: f64 = 0.08;

/// What the cost over the keys of a group looks like.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Too little is known.
    Unknown,
    /// Each key costs about the same: a cut by the number of keys is as good, and nothing is recommended.
    Even,
    /// One key has most of it.
    HotKey { key: Vec<u8>, share: f64 },
    /// A cut halves it.
    Cuts(Cut),
}

/// Keys below `at` are on the left.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    pub at: Vec<u8>,
    /// The left side's share of all cost, and how far it may be off (95 in 100).
    pub left: f64,
    pub within: f64,
    /// Of the left and the right side, the share that is writes.
    pub writes: [f64; 2],
}

/// All drivers' summaries of one group, put together.
#[derive(Clone, Debug, Default)]
pub struct Picture {
    samples: Vec<Sample>,
    cost: f64,
    pub drivers: usize,
    /// Set aside for absurd figures.
    pub aside: BTreeSet<String>,
    heavy: BTreeMap<Vec<u8>, f64>,
}

impl Picture {
    pub fn of(told: &BTreeMap<String, Summary>) -> Picture {
        let mut costs: Vec<f64> =
            told.values().map(|summary| summary.cost).filter(|cost| *cost > 0.0).collect();
        costs.sort_by(f64::total_cmp);
        let median = costs.get(costs.len() / 2).copied().unwrap_or(0.0);
        let mut picture = Picture::default();
        for (name, summary) in told {
            let stands_for: f64 = summary.samples.iter().map(|sample| sample.weight).sum();
            // A sum of samples that is far from what is said of all is no priority sample.
            let sound = stands_for <= 4.0 * summary.cost + 1.0
                && (costs.len() < 3 || summary.cost <= ABSURD * median);
            if !sound {
                picture.aside.insert(name.clone());
                continue;
            }
            picture.drivers += 1;
            picture.cost += summary.cost;
            picture.samples.extend(summary.samples.iter().cloned());
            for heavy in &summary.heavy {
                // What is certain of it.
                *picture.heavy.entry(heavy.key.clone()).or_default() += heavy.cost - heavy.error;
            }
        }
        picture.samples.sort_by(|a, b| a.key.cmp(&b.key));
        picture
    }

    pub fn cost(&self) -> f64 {
        self.cost
    }

    /// The keys from `from` on, below `to`. Drivers that saw none of them stand behind that as well.
    pub fn between(&self, from: &[u8], to: Option<&[u8]>) -> Picture {
        let within = |key: &[u8]| key >= from && to.is_none_or(|to| key < to);
        let samples: Vec<Sample> =
            self.samples.iter().filter(|sample| within(&sample.key)).cloned().collect();
        let share = samples.iter().map(|sample| sample.weight).sum::<f64>() / self.weight().max(f64::EPSILON);
        let heavy = self.heavy.iter().filter(|(key, _)| within(key));
        Picture {
            samples,
            cost: self.cost * share,
            drivers: self.drivers,
            aside: self.aside.clone(),
            heavy: heavy.map(|(key, cost)| (key.clone(), *cost)).collect(),
        }
    }

    fn weight(&self) -> f64 {
        self.samples.iter().map(|sample| sample.weight).sum()
    }

    /// The share of all cost at keys below this one, and how far it may be off.
    pub fn below(&self, key: &[u8]) -> (f64, f64) {
        let all = self.weight().max(f64::EPSILON);
        let left = self.samples.iter().filter(|sample| *sample.key < *key).map(|sample| sample.weight);
        (left.sum::<f64>() / all, self.within())
    }

    /// Of a share of samples that weigh alike; unequal weights make fewer of them.
    pub(crate) fn within(&self) -> f64 {
        let all = self.weight();
        let squares: f64 = self.samples.iter().map(|sample| sample.weight * sample.weight).sum();
        let as_many = all * all / squares.max(f64::EPSILON);
        1.96 * (0.25 / as_many.max(1.0)).sqrt()
    }

    /// The key below which half of the cost lies.
    pub fn middle(&self) -> Option<&[u8]> {
        let half = self.weight() / 2.0;
        let mut sum = 0.0;
        let middle = self.samples.iter().find(|sample| {
            sum += sample.weight;
            sum > half
        });
        middle.map(|sample| &sample.key[..])
    }

    pub fn shape(&self) -> Shape {
        // Under that an interval would be a tenth wide.
        if self.samples.len() < 100 {
            return Shape::Unknown;
        }
        let all = self.weight();
        if let Some((key, cost)) = self.heavy.iter().max_by(|a, b| a.1.total_cmp(b.1))
            && *cost > HOT * self.cost
        {
            return Shape::HotKey { key: key.clone(), share: cost / self.cost };
        }
        // Cost and number of keys, key by key.
        let mut by_key: Vec<(&[u8], f64)> = Vec::new();
        for sample in &self.samples {
            match by_key.last_mut() {
                Some((key, weight)) if *key == sample.key => *weight += sample.weight,
                _ => by_key.push((&sample.key, sample.weight)),
            }
        }
        let (mut sum, mut best, mut apart) = (0.0, (1.0, 0), 0.0f64);
        for (at, (_, weight)) in by_key.iter().enumerate() {
            let off = (sum / all - 0.5).abs();
            if off < best.0 {
                best = (off, at);
            }
            sum += weight;
            apart = apart.max((sum / all - (at + 1) as f64 / by_key.len() as f64).abs());
        }
        if apart < UNIFORM {
            return Shape::Even;
        }
        let at = by_key[best.1].0.to_vec();
        let (left, within) = self.below(&at);
        let writes = [true, false].map(|is_left| {
            let side = || self.samples.iter().filter(|sample| (*sample.key < *at) == is_left);
            let writes = side().filter(|sample| sample.write).map(|sample| sample.weight).sum::<f64>();
            writes / side().map(|sample| sample.weight).sum::<f64>().max(f64::EPSILON)
        });
        Shape::Cuts(Cut { at, left, within, writes })
    }
}
