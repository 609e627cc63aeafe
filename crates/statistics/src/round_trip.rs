//! Estimates round-trip times.

use crate::Micros;

/// The initial variation is the assumed mean, or the first sample, divided by this (RFC 6298,
/// section 2.2).
const INITIAL_VARIATION_DIVISOR: Micros = 2;
/// A later sample changes the variation by the difference divided by this (RFC 6298, section 2.3).
const VARIATION_DIVISOR: Micros = 4;
/// A later sample changes the mean by the difference divided by this (RFC 6298, section 2.3).
const MEAN_DIVISOR: Micros = 8;

/// The mean and the variation of a round-trip time in microseconds, each an exponentially weighted
/// moving average as in RFC 6298.
#[derive(Clone, Copy, Debug)]
pub struct RoundTripEstimate {
    mean: Micros,
    variation: Micros,
    /// Whether a sample has replaced the initial values.
    has_sample: bool,
}

impl RoundTripEstimate {
    /// Creates an estimate with a mean, in microseconds, that is assumed until the first sample.
    #[must_use]
    pub fn with_initial_mean(mean: Micros) -> RoundTripEstimate {
        RoundTripEstimate { mean, variation: mean / INITIAL_VARIATION_DIVISOR, has_sample: false }
    }

    /// Records one round-trip time, in microseconds. A negative value counts as zero.
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

    /// Returns the mean round-trip time, in microseconds.
    #[must_use]
    pub fn mean(&self) -> Micros {
        self.mean
    }

    /// Returns half the mean round-trip time plus twice the variation as a margin, in microseconds.
    /// Most messages take less time than this in one direction.
    #[must_use]
    pub fn one_way_delay(&self) -> Micros {
        self.mean / 2 + 2 * self.variation
    }
}
