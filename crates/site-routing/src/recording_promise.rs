//! The recording promise: a commitment, stored on disk, to accept no request without a record.

use crate::Micros;

/// Duration of a promise in microseconds. With [`PromiseScope::Timed`] it is also the longest time for which remote
/// requests are rejected after the disk stops accepting writes.
pub(crate) const PROMISE_DURATION: Micros = 5_000_000;
/// Remaining time of a promise, in microseconds, at or below which it is renewed. A slow disk has this long to write
/// the next one.
const RENEWAL_THRESHOLD: Micros = 3_000_000;

/// How long a promise binds the incarnation that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub enum PromiseScope {
    /// The promise binds for the whole life of the incarnation. The wall clock may be set back between two
    /// incarnations, so the later one cannot use it to tell whether the promise ended before the earlier incarnation
    /// did.
    #[default]
    Incarnation,
    /// The promise binds until its end on a clock that later incarnations can read and nobody can set.
    Timed,
}

/// Promise that up to a stated time no request is accepted without a record on disk. The promise itself is stored on
/// disk, so that a later incarnation knows whether a request without a record can have been accepted.
///
/// Without the promise a later incarnation could never answer that a request was never accepted, and a request that is
/// safe to send elsewhere would fail. The promise binds even if the disk stalls, fills up or disappears. The drawback
/// is that remote requests are rejected while the disk accepts no writes and the promise is in force, for
/// `PROMISE_DURATION` at most with [`PromiseScope::Timed`]. After a request was accepted without a record, no new
/// promise is made until nobody can ask about that request any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct RecordingPromise {
    scope: PromiseScope,
    /// End of the latest promise that may be on disk and whose write is no longer pending; `None` before the first.
    until: Option<Micros>,
    /// End of the promise that was handed to the disk and whose write is not confirmed yet; `None` if no write is
    /// pending.
    pending: Option<Micros>,
    /// Until when somebody may ask about a request that was accepted without a record; zero if there was none.
    unrecorded_until: Micros,
}

impl RecordingPromise {
    /// Creates the state before the first promise. With [`PromiseScope::Timed`] every `now` must be read from the clock
    /// that later incarnations read as well.
    pub fn new(scope: PromiseScope) -> RecordingPromise {
        RecordingPromise { scope, ..RecordingPromise::default() }
    }

    /// Makes the next promise if one is due and permitted, and returns its end, in microseconds. The caller writes it
    /// to disk and then calls [`RecordingPromise::resolve_pending`].
    pub fn renew(&mut self, now: Micros) -> Option<Micros> {
        let is_fresh = self.until.is_some_and(|until| until - now > RENEWAL_THRESHOLD);
        if self.pending.is_some() || is_fresh || now < self.unrecorded_until {
            return None;
        }
        self.pending = Some(now + PROMISE_DURATION);
        self.pending
    }

    /// Ends the wait for the pending promise's write, whether that succeeded, failed or was abandoned. The promise may
    /// be on disk in any case, and binds.
    pub fn resolve_pending(&mut self) {
        self.until = self.until.max(self.pending.take());
    }

    /// Records that a request was accepted without a record. Somebody may ask about the request up to `until`.
    pub fn accepted_unrecorded(&mut self, until: Micros) {
        self.unrecorded_until = self.unrecorded_until.max(until);
    }

    /// Returns whether no promise is in force, so that a request may be accepted without a record.
    pub fn permits_unrecorded(&self, now: Micros) -> bool {
        let Some(until) = self.until.max(self.pending) else { return true };
        match self.scope {
            PromiseScope::Incarnation => false,
            PromiseScope::Timed => now > until,
        }
    }
}
