//! What a distribution of cost over keys looks like, as far as a split is concerned.

use crate::{AccessSample, KeyDistribution};

/// Samples under which nothing is said: a share's 95% margin would be about 0.1 or more (0.98 / sqrt(samples)).
const MIN_SAMPLES: usize = 100;
/// A key with over this share of the cost can't be helped by a split: the side that it lies on keeps that load.
const MIN_HOT_KEY_SHARE: f64 = 0.35;
/// Under this distance between the distributions of cost and of keys (Kolmogorov-Smirnov, from 0 to 1) cost follows the
/// number of keys.
const MAX_UNIFORM_DISTANCE: f64 = 0.08;

/// What the cost over the keys of a range looks like.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadShape {
    /// Too little is known.
    Unknown,
    /// Each key costs about the same: a split by the number of keys is as good, and nothing is recommended.
    Uniform,
    /// One key has most of the cost.
    HotKey {
        /// The key, up to its first 48 bytes.
        key: Vec<u8>,
        /// Its share of the cost, at least.
        share: f64,
    },
    /// A split here halves the cost.
    Splittable(SplitPoint),
}

/// A key at which a range may be split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPoint {
    /// The first key of the right side.
    pub key: Vec<u8>,
    /// The left side's share of all cost, from 0 to 1.
    pub left_share: f64,
    /// How far `left_share` may be off to either side, in 95 of 100 cases.
    pub margin: f64,
    /// How much of each side's cost is writes.
    pub writes: WriteShares,
}

/// The share of writes in the cost on each side of a split, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriteShares {
    /// Below the split point.
    pub left: f64,
    /// From the split point on.
    pub right: f64,
}

/// The weight of all samples of one key.
struct KeyWeight<'a> {
    key: &'a [u8],
    weight: f64,
}

impl KeyDistribution {
    /// Whether, and where, a split would help now.
    pub fn shape(&self) -> LoadShape {
        if self.samples.len() < MIN_SAMPLES {
            return LoadShape::Unknown;
        }
        if let Some(hot_key) = self.hot_key() {
            return hot_key;
        }
        let by_key = weights_by_key(&self.samples);
        let total_weight = self.total_weight();
        if distance_from_uniform(&by_key, total_weight) < MAX_UNIFORM_DISTANCE {
            return LoadShape::Uniform;
        }
        LoadShape::Splittable(self.split_point(halving_key(&by_key, total_weight)))
    }

    fn hot_key(&self) -> Option<LoadShape> {
        let (key, cost) = self.heavy_hitters.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let is_hot = *cost > MIN_HOT_KEY_SHARE * self.cost;
        is_hot.then(|| LoadShape::HotKey { key: key.clone(), share: cost / self.cost })
    }

    fn split_point(&self, key: &[u8]) -> SplitPoint {
        let left = self.share_below(key);
        let writes = WriteShares {
            left: write_share(self.samples.iter().filter(|sample| *sample.key < *key)),
            right: write_share(self.samples.iter().filter(|sample| *sample.key >= *key)),
        };
        SplitPoint { key: key.to_vec(), left_share: left.share, margin: left.margin, writes }
    }
}

fn weights_by_key(samples: &[AccessSample]) -> Vec<KeyWeight<'_>> {
    let mut by_key: Vec<KeyWeight<'_>> = Vec::new();
    for sample in samples {
        match by_key.last_mut() {
            Some(last) if *last.key == sample.key => last.weight += sample.weight,
            _ => by_key.push(KeyWeight { key: &sample.key, weight: sample.weight }),
        }
    }
    by_key
}

/// The largest distance between the share of the cost and the share of the keys, at any key.
fn distance_from_uniform(by_key: &[KeyWeight<'_>], total_weight: f64) -> f64 {
    let mut sum = 0.0;
    let mut largest_distance = 0.0f64;
    for (index, key_weight) in by_key.iter().enumerate() {
        sum += key_weight.weight;
        let share_of_keys = (index + 1) as f64 / by_key.len() as f64;
        largest_distance = largest_distance.max((sum / total_weight - share_of_keys).abs());
    }
    largest_distance
}

/// The key below which the share of the cost is nearest to one half. There is at least one key.
fn halving_key<'a>(by_key: &[KeyWeight<'a>], total_weight: f64) -> &'a [u8] {
    let mut sum = 0.0;
    let mut least_distance = 1.0;
    let mut nearest_key = by_key[0].key;
    for key_weight in by_key {
        let distance = (sum / total_weight - 0.5).abs();
        if distance < least_distance {
            least_distance = distance;
            nearest_key = key_weight.key;
        }
        sum += key_weight.weight;
    }
    nearest_key
}

/// The share of writes in the weight of these samples; 0 without any.
fn write_share<'a>(side: impl Iterator<Item = &'a AccessSample> + Clone) -> f64 {
    let writes: f64 = side.clone().filter(|sample| sample.is_write).map(|sample| sample.weight).sum();
    writes / side.map(|sample| sample.weight).sum::<f64>().max(f64::EPSILON)
}
