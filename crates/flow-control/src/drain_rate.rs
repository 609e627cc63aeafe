use crate::Micros;

const SECOND: f64 = 1_000_000.0;

/// How quickly room comes free, as bytes that did of late, the older counting less: by a second, to about a third.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainRate {
    freed: f64,
    at: Micros,
}

impl DrainRate {
    /// Taken to be so quick until it is seen under pressure.
    pub(crate) fn start(bytes: u64, now: Micros) -> DrainRate {
        DrainRate { freed: bytes as f64, at: now }
    }

    pub(crate) fn record_freed(&mut self, now: Micros, bytes: u64) {
        self.freed = self.bytes_a_second(now) + bytes as f64;
        self.at = self.at.max(now);
    }

    pub(crate) fn bytes_a_second(&self, now: Micros) -> f64 {
        self.freed * (-((now - self.at).max(0) as f64) / SECOND).exp()
    }

    /// How long so much takes at that pace.
    pub(crate) fn time_for(&self, now: Micros, bytes: u64) -> Micros {
        let pace = self.bytes_a_second(now);
        if pace < 1.0 { Micros::MAX } else { (bytes as f64 / pace * SECOND) as Micros }
    }
}
