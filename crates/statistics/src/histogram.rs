//! Quantiles of durations, in a fixed amount of memory.

use crate::Micros;

/// Bins of a histogram. The last one ends at 11 s, and holds all that is longer as well.
const BIN_COUNT: usize = 32;
/// The upper end of the first bin, in microseconds: 1 ms.
const FIRST_BIN_END: f64 = 1_000.0;
/// How many times as far the next bin reaches: an estimate is wrong by that factor at most.
const BIN_GROWTH: f64 = 1.35;

/// Counts of durations, in bins that each end 1.35 times as far as the one before. All counts are halved when there are
/// enough, so that old durations count less.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u32; BIN_COUNT],
    total_count: u32,
}

impl Histogram {
    /// A histogram that holds one duration, `count` times: an estimate until there are samples.
    #[must_use]
    pub fn from_estimate(duration: Micros, count: u32) -> Histogram {
        let mut histogram = Histogram::default();
        for _ in 0..count {
            histogram.add(duration, u32::MAX);
        }
        histogram
    }

    /// Counts one duration. Once `halve_at` are counted, all counts are halved.
    pub fn add(&mut self, duration: Micros, halve_at: u32) {
        self.counts[bin_index(duration)] += 1;
        self.total_count += 1;
        if self.total_count >= halve_at {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total_count = self.counts.iter().sum();
        }
    }

    /// The duration that this fraction of all, from 0 to 1, does not exceed. Durations are taken to be spread evenly within
    /// a bin, by the logarithm. `None` while nothing is counted.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Micros> {
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
