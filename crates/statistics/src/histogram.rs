//! Estimates quantiles of durations in a fixed amount of memory.

use std::cell::Cell;

use crate::Micros;

/// Number of bins. The last one ends at 11 s and also counts all longer durations.
const BIN_COUNT: usize = 32;
/// Upper end of the first bin, in microseconds (1 ms).
const FIRST_BIN_END: f64 = 1_000.0;
/// Ratio between the upper ends of two adjacent bins. For durations from 1 ms to 11 s, it also
/// bounds the error factor of an estimate.
const BIN_GROWTH: f64 = 1.35;

/// Number of quantiles that are remembered between two added durations.
const REMEMBERED_QUANTILES: usize = 4;

/// A quantile that was computed since the last duration was added.
#[derive(Clone, Copy, Debug)]
struct RememberedQuantile {
    fraction: f64,
    duration: Option<Micros>,
}

/// A histogram of durations with exponential bins: each bin ends at 1.35 times the end of the
/// previous one. All counts are halved whenever their total reaches a limit, so that older
/// durations carry less weight.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u32; BIN_COUNT],
    total_count: u32,
    /// Quantiles that were computed since the last duration was added, in no particular order.
    remembered: Cell<[Option<RememberedQuantile>; REMEMBERED_QUANTILES]>,
}

impl Histogram {
    /// Creates a histogram that contains one duration, in microseconds, `count` times, as an
    /// estimate until there are samples.
    #[must_use]
    pub fn from_estimate(duration: Micros, count: u32) -> Histogram {
        let mut histogram = Histogram::default();
        for _ in 0..count {
            histogram.add(duration, u32::MAX);
        }
        histogram
    }

    /// Adds one duration, in microseconds. Once the total count reaches `halve_at`, all counts are
    /// halved.
    pub fn add(&mut self, duration: Micros, halve_at: u32) {
        self.counts[bin_index(duration)] += 1;
        self.total_count += 1;
        self.remembered = Cell::default();
        if self.total_count >= halve_at {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total_count = self.counts.iter().sum();
        }
    }

    /// Returns the duration, in microseconds, that the given fraction of all durations, from 0 to
    /// 1, does not exceed, or `None` while the histogram is empty. Within a bin, durations are
    /// assumed to be spread evenly on a logarithmic scale. The result is remembered until the next duration is added.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Micros> {
        let mut remembered = self.remembered.get();
        if let Some(known) = remembered.iter().flatten().find(|known| known.fraction == fraction) {
            return known.duration;
        }
        let duration = self.compute_quantile(fraction);
        remembered.rotate_right(1);
        remembered[0] = Some(RememberedQuantile { fraction, duration });
        self.remembered.set(remembered);
        duration
    }

    fn compute_quantile(&self, fraction: f64) -> Option<Micros> {
        let target_count = fraction * f64::from(self.total_count);
        let mut count_below = 0.0;
        for (bin, count) in self.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            let count = f64::from(*count);
            if count_below + count >= target_count {
                let position_in_bin = (target_count - count_below) / count;
                let exponent = bin as f64 - 1.0 + position_in_bin;
                return Some((FIRST_BIN_END * BIN_GROWTH.powf(exponent)) as Micros);
            }
            count_below += count;
        }
        None
    }
}

fn bin_index(duration: Micros) -> usize {
    let bin = ((duration.max(1) as f64 / FIRST_BIN_END).ln() / BIN_GROWTH.ln()).ceil().max(0.0) as usize;
    bin.min(BIN_COUNT - 1)
}
