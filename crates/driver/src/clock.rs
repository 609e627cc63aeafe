use std::time::{Duration, SystemTime, UNIX_EPOCH};

use aldermill_routing::Micros;
use tokio::time::Instant;

/// The router's clock: it starts at the Unix time of the start and never steps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    at_start: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now(), at_start: unix_now() }
    }

    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Micros {
        self.at_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at - self.at_start)
    }

    /// A Unix time on this clock, whatever steps the system's clock has made since the start.
    pub fn convert(&self, unix: Micros) -> Micros {
        // In this order a pause between the two makes a position older, never newer than it is.
        let now = self.now();
        unix.saturating_sub(unix_now() - now)
    }
}

pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}
