//! When a proxy that is new, or was absent, asks others whom they know.

use crate::Micros;

/// For how long after a start or an absence others are asked: what was gossiped meanwhile is not repeated by itself.
const DURATION: Micros = 15_000_000;
const REQUEST_INTERVAL: Micros = 500_000;

/// When a proxy that is new, or was absent, asks others whom they know.
pub(crate) struct CatchUp {
    started_at: Micros,
    request_at: Micros,
}

impl CatchUp {
    pub(crate) fn start(now: Micros) -> CatchUp {
        CatchUp { started_at: now, request_at: now }
    }

    /// Whether this proxy counts as new, so that one that is alone announces itself more often.
    pub(crate) fn is_new(&self, now: Micros) -> bool {
        now - self.started_at < DURATION
    }

    /// Whether another proxy is to be asked now; the next time is then set.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        if now < self.request_at || now - self.started_at > DURATION {
            return false;
        }
        self.request_at = now + REQUEST_INTERVAL;
        true
    }

    /// When the next request is due, if there is to be one.
    pub(crate) fn next_due_at(&self, now: Micros) -> Option<Micros> {
        (now - self.started_at <= DURATION).then_some(self.request_at)
    }
}
