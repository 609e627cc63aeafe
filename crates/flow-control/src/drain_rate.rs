//! Measures the rate at which buffer space is freed, as an exponentially decaying sum.

use crate::{Micros, SECOND};

/// Below this rate buffer space counts as not being freed at all.
const MIN_BYTES_PER_SECOND: f64 = 1.0;

/// Decaying sum of freed bytes with a time constant of one second: bytes freed a second ago count for 1/e. While
/// space is freed at a steady rate, the sum equals that rate in bytes per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainRate {
    /// The decayed sum, in bytes, as of `updated_at`.
    freed: f64,
    updated_at: Micros,
}

impl DrainRate {
    /// Starts from an assumed rate, which measurements gradually replace.
    pub(crate) fn assumed(bytes_per_second: u64, now: Micros) -> DrainRate {
        DrainRate { freed: bytes_per_second as f64, updated_at: now }
    }

    /// Adds bytes that were freed at `now`.
    pub(crate) fn record_freed(&mut self, now: Micros, bytes: u64) {
        self.freed = self.bytes_per_second(now) + bytes as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// The present rate in bytes per second.
    fn bytes_per_second(&self, now: Micros) -> f64 {
        let age = (now - self.updated_at).max(0) as f64 / SECOND as f64;
        self.freed * (-age).exp()
    }

    /// Time that it takes to free this many bytes at the present rate.
    pub(crate) fn time_to_free(&self, now: Micros, bytes: u64) -> Micros {
        let rate = self.bytes_per_second(now);
        if rate < MIN_BYTES_PER_SECOND {
            return Micros::MAX;
        }
        (bytes as f64 / rate * SECOND as f64) as Micros
    }
}
