use crate::Micros;

/// A round trip and its spread, each a moving mean as in RFC 6298.
#[derive(Clone, Copy, Debug)]
pub struct RoundTripEstimate {
    mean: Micros,
    spread: Micros,
    known: bool,
}

impl RoundTripEstimate {
    /// Taken to be so long until it is measured.
    pub fn assumed(mean: Micros) -> RoundTripEstimate {
        RoundTripEstimate { mean, spread: mean / 2, known: false }
    }

    pub fn record(&mut self, sample: Micros) {
        let sample = sample.max(0);
        if !std::mem::replace(&mut self.known, true) {
            (self.mean, self.spread) = (sample, sample / 2);
            return;
        }
        self.spread += ((self.mean - sample).abs() - self.spread) / 4;
        self.mean += (sample - self.mean) / 8;
    }

    pub fn mean(&self) -> Micros {
        self.mean
    }

    /// One way, with a margin for the spread.
    pub fn one_way(&self) -> Micros {
        self.mean / 2 + 2 * self.spread
    }
}
