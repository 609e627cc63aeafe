//! Round-trip times.

use crate::Micros;

/// How much the first sample is assumed to vary: half of itself (RFC 6298, 2.2).
const FIRST_VARIATION_DIVISOR: Micros = 2;
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
    measured: bool,
}

impl RoundTripEstimate {
    /// Assumes this mean until there is a sample.
    #[must_use]
    pub fn assumed(mean: Micros) -> RoundTripEstimate {
        RoundTripEstimate { mean, variation: mean / FIRST_VARIATION_DIVISOR, measured: false }
    }

    /// Takes in one round trip. One below zero counts as zero.
    pub fn record(&mut self, sample: Micros) {
        let sample = sample.max(0);
        if !self.measured {
            self.measured = true;
            self.mean = sample;
            self.variation = sample / FIRST_VARIATION_DIVISOR;
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
    pub fn one_way(&self) -> Micros {
        self.mean / 2 + 2 * self.variation
    }
}
