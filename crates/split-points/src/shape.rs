//! Classifies distributions of cost over keys by whether and where a split would help.

use crate::{AccessSample, KeyDistribution};

/// Minimum number of samples for an assessment. With fewer, the 95% margin of error of a share would be about
/// 0.1 or more (0.98 / sqrt(samples)).
const MIN_SAMPLES: usize = 100;
/// A key with more than this share of the cost is hot: a split does not help, as one side keeps the whole
/// load of the key.
const MIN_HOT_KEY_SHARE: f64 = 0.35;
/// The load is uniform if the Kolmogorov-Smirnov distance (from 0 to 1) between the distributions of cost and
/// of keys is below this value.
const MAX_UNIFORM_DISTANCE: f64 = 0.08;

/// The shape of the distribution of cost over the keys of a range.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadShape {
    /// There are too few samples to determine the shape.
    Unknown,
    /// All keys cost about the same. A split by the number of keys is as good as any, so no split is
    /// recommended.
    Uniform,
    /// A single key has so much of the cost that a split does not help.
    HotKey {
        /// The key, truncated to its first 48 bytes.
        key: Vec<u8>,
        /// Lower bound of the key's share of the cost, from 0 to 1.
        share: f64,
    },
    /// A split at this point divides the cost into halves that are as equal as possible.
    Splittable(SplitPoint),
}

/// A key at which a range may be split.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPoint {
    /// The first key of the right side, truncated to its first 48 bytes.
    pub key: Vec<u8>,
    /// The left side's share of the cost, from 0 to 1.
    pub left_share: f64,
    /// Half-width of the 95% confidence interval of `left_share`.
    pub margin: f64,
    /// The share of writes in the cost of each side.
    pub writes: WriteShares,
}

/// The share of writes in the cost on each side of a split, from 0 to 1; 0 for a side without samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriteShares {
    /// The share of writes in the cost of the keys below the split point.
    pub left: f64,
    /// The share of writes in the cost of the keys from the split point on.
    pub right: f64,
}

/// A key and the total weight of its samples.
struct KeyWeight<'a> {
    key: &'a [u8],
    weight: f64,
}

impl KeyDistribution {
    /// Determines whether and where a split would help under this distribution.
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

    /// Returns [`LoadShape::HotKey`] with the costliest heavy hitter if its share of the cost is large
    /// enough.
    fn hot_key(&self) -> Option<LoadShape> {
        let (key, cost) = self.heavy_hitters.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let is_hot = *cost > MIN_HOT_KEY_SHARE * self.cost;
        is_hot.then(|| LoadShape::HotKey { key: key.clone(), share: cost / self.cost })
    }

    /// Evaluates a split at `key`.
    fn split_point(&self, key: &[u8]) -> SplitPoint {
        let left = self.share_below(key);
        let writes = WriteShares {
            left: write_share(self.samples.iter().filter(|sample| *sample.key < *key)),
            right: write_share(self.samples.iter().filter(|sample| *sample.key >= *key)),
        };
        SplitPoint { key: key.to_vec(), left_share: left.share, margin: left.margin, writes }
    }
}

/// Returns the total weight of each key, in order of the keys; `samples` are in that order as well.
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

/// Returns the largest difference, over all keys, between the share of the cost and the share of the keys up
/// to that key.
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

/// Returns the key for which the share of the cost below it is closest to one half. `by_key` is not empty.
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

/// Returns the share of writes in the total weight of the samples; 0 if there are none.
fn write_share<'a>(side: impl Iterator<Item = &'a AccessSample> + Clone) -> f64 {
    let writes: f64 = side.clone().filter(|sample| sample.is_write).map(|sample| sample.weight).sum();
    writes / side.map(|sample| sample.weight).sum::<f64>().max(f64::EPSILON)
}
