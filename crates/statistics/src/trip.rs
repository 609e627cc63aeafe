use crate::Micros;

/// A round trip and its spread, each a moving mean as in RFC 6298.
#[derive(Clone, Copy, Debug)]
pub struct Trip {
    mean: Micros,
    spread: Micros,
    known: bool,
}

impl Trip {
    /// Taken to be so long until it is measured.
    pub fn guessed(mean: Micros) -> Trip {
        Trip { mean, spread: mean / 2, known: false }
    }

    pub fn measured(&mut self, took: Micros) {
        let took = took.max(0);
        if !std::mem::replace(&mut self.known, true) {
            (self.mean, self.spread) = (took, took / 2);
            return;
        }
        self.spread += ((self.mean - took).abs() - self.spread) / 4;
        self.mean += (took - self.mean) / 8;
    }

    pub fn mean(&self) -> Micros {
        self.mean
    }

    /// One way, with a margin for the spread.
    pub fn one_way(&self) -> Micros {
        self.mean / 2 + 2 * self.spread
    }
}
