use crate::Micros;

const BINS: usize = 24;
const FIRST: f64 = 1_000.0;

/// Durations in a few bins, each half as wide again as the one before; halved when full.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram {
    bins: [u32; BINS],
    total: u32,
}

impl Histogram {
    /// Counts one duration; with `keep` counted, all counts are halved.
    pub(crate) fn add(&mut self, took: Micros, keep: u32) {
        let bin = ((took.max(1) as f64 / FIRST).ln() / 1.35f64.ln()).ceil().max(0.0) as usize;
        self.bins[bin.min(BINS - 1)] += 1;
        self.total += 1;
        if self.total >= keep {
            self.bins.iter_mut().for_each(|count| *count /= 2);
            self.total = self.bins.iter().sum();
        }
    }

    /// The upper edge of the bin in which this share of the durations is reached.
    pub(crate) fn quantile(&self, share: f64) -> Option<Micros> {
        let wanted = (share * f64::from(self.total)).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (bin, count) in self.bins.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Some((FIRST * 1.35f64.powi(bin as i32)) as Micros);
            }
        }
        None
    }
}
