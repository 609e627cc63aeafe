//! Schedule of the peer list requests that a proxy sends after a start or an absence.

use crate::Micros;

/// Time after a start or an absence during which peer lists are requested. Changes that were gossiped in the meantime
/// are not gossiped again, so the proxy has to ask for them.
const DURATION: Micros = 15_000_000;
/// Time between two peer list requests.
const REQUEST_INTERVAL: Micros = 500_000;

/// Schedules the peer list requests that follow a start or an absence.
pub(crate) struct CatchUp {
    started_at: Micros,
    request_at: Micros,
}

impl CatchUp {
    /// Begins the catch-up period; the first request is due at once.
    pub(crate) fn start(now: Micros) -> CatchUp {
        CatchUp { started_at: now, request_at: now }
    }

    /// Whether the catch-up period is still running. A proxy that knows no other live proxy announces itself more often
    /// during this time.
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        now - self.started_at < DURATION
    }

    /// Returns whether a request is due. If so, schedules the next one.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        if now < self.request_at || now - self.started_at > DURATION {
            return false;
        }
        self.request_at = now + REQUEST_INTERVAL;
        true
    }

    /// Time of the next request; `None` after the catch-up period.
    pub(crate) fn next_due_at(&self, now: Micros) -> Option<Micros> {
        (now - self.started_at <= DURATION).then_some(self.request_at)
    }
}
