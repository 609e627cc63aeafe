//! Quantiles of durations, in a fixed amount of memory.

use crate::Micros;

/// Bins of a histogram. The last one ends at 11 s, and holds all that is longer as well.
const BINS: usize = 32;
/// The upper end of the first bin, in microseconds: 1 ms.
const FIRST_BIN_END: f64 = 1_000.0;
/// How many times as far the next bin reaches: an estimate is wrong by that factor at most.
const GROWTH: f64 = 1.35;

/// Counts of durations, in bins that each end 1.35 times as far as the one before. All counts are halved when there are
/// enough, so that old durations count less.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [u32; BINS],
    total: u32,
}

impl Histogram {
    /// A histogram that holds one duration, `count` times: an estimate until there are samples.
    #[must_use]
    pub fn of(duration: Micros, count: u32) -> Histogram {
        let mut histogram = Histogram::default();
        for _ in 0..count {
            histogram.add(duration, u32::MAX);
        }
        histogram
    }

    /// Counts one duration. Once `keep` are counted, all counts are halved.
    pub fn add(&mut self, duration: Micros, keep: u32) {
        self.counts[bin_of(duration)] += 1;
        self.total += 1;
        if self.total >= keep {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The duration that this fraction of all, from 0 to 1, does not exceed. Durations are taken to be spread evenly within
    /// a bin, by the logarithm. `None` while nothing is counted.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> Option<Micros> {
        let wanted = fraction * f64::from(self.total);
        let mut below = 0.0;
        for (bin, count) in self.counts.iter().enumerate().filter(|(_, count)| **count > 0) {
            let count = f64::from(*count);
            if below + count >= wanted {
                let within = (wanted - below) / count;
                let exponent = bin as f64 - 1.0 + within;
                return Some((FIRST_BIN_END * GROWTH.powf(exponent)) as Micros);
            }
            below += count;
        }
        None
    }
}

fn bin_of(duration: Micros) -> usize {
    let bin = ((duration.max(1) as f64 / FIRST_BIN_END).ln() / GROWTH.ln()).ceil().max(0.0) as usize;
    bin.min(BINS - 1)
}
