use crate::Micros;

const BINS: usize = 32; // up to eleven seconds
const FIRST: f64 = 1_000.0;
const GROWTH: f64 = 1.35;

/// Durations in a few bins, each half as wide again as the one before; halved when full.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    bins: [u32; BINS],
    total: u32,
}

impl Histogram {
    /// Starts from this many of one duration.
    pub fn of(took: Micros, count: u32) -> Histogram {
        let mut histogram = Histogram::default();
        (0..count).for_each(|_| histogram.add(took, u32::MAX));
        histogram
    }

    /// Counts one duration; with `keep` counted, all counts are halved.
    pub fn add(&mut self, took: Micros, keep: u32) {
        let bin = ((took.max(1) as f64 / FIRST).ln() / GROWTH.ln()).ceil().max(0.0) as usize;
        self.bins[bin.min(BINS - 1)] += 1;
        self.total += 1;
        if self.total >= keep {
            self.bins.iter_mut().for_each(|count| *count /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The duration that this share of them does not pass, taken as spread evenly within a bin.
    pub fn quantile(&self, share: f64) -> Option<Micros> {
        let wanted = share * f64::from(self.total);
        let mut seen = 0.0;
        for (bin, count) in self.bins.iter().enumerate().filter(|(_, count)| **count > 0) {
            let count = f64::from(*count);
            if seen + count >= wanted {
                let part = (wanted - seen) / count;
                return Some((FIRST * GROWTH.powf(bin as f64 - 1.0 + part)) as Micros);
            }
            seen += count;
        }
        None
    }
}
