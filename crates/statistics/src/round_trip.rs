//! Round-trip times.

use crate::Micros;

/// How much the first sample is assumed to vary: half of itself (RFC 6298, 2.2).
const INITIAL_VARIATION_DIVISOR: Micros = 2;
/// A later sample moves the variation by a quarter of the difference (RFC 6298, 2.3).
const VARIATION_DIVISOR: Micros = 4;
/// A later sample moves the mean by an eighth of the difference (RFC 6298, 2.3).
const MEAN_DIVISOR: Micros = 8;

/// The mean of a round trip and its variation, each a moving mean as in RFC 6298.
#[derive(Clone, Copy, Debug)]
pub struct RoundTripEstimate {
    mean: Micros,
    variation: Micros,
    /// Whether a sample has replaced what was assumed.
    has_sample: bool,
}

impl RoundTripEstimate {
    /// Assumes this mean until there is a sample.
    #[must_use]
    pub fn with_initial_mean(mean: Micros) -> RoundTripEstimate {
        RoundTripEstimate { mean, variation: mean / INITIAL_VARIATION_DIVISOR, has_sample: false }
    }

    /// Takes in one round trip. One below zero counts as zero.
    pub fn record(&mut self, sample: Micros) {
        let sample = sample.max(0);
        if !self.has_sample {
            self.has_sample = true;
            self.mean = sample;
            self.variation = sample / INITIAL_VARIATION_DIVISOR;
            return;
        }
        let deviation = (self.mean - sample).abs();
        self.variation += (deviation - self.variation) / VARIATION_DIVISOR;
        self.mean += (sample - self.mean) / MEAN_DIVISOR;
    }

    /// The mean round trip.
    #[must_use]
    pub fn mean(&self) -> Micros {
        self.mean
    }

    /// Half a round trip, and twice the variation as a margin: most messages take less one way.
    #[must_use]
    pub fn one_way_delay(&self) -> Micros {
        self.mean / 2 + 2 * self.variation
    }
}
