//! The promise, kept on disk, that no request is accepted without a record.

use crate::Micros;

/// How long a promise holds, in microseconds; also how long remote requests are rejected at most once the disk takes
/// nothing.
pub(crate) const PROMISE_DURATION: Micros = 5_000_000;
/// A promise is renewed once no more than this is left of it, in microseconds: a slow disk has that long before it ends.
const RENEWAL_THRESHOLD: Micros = 3_000_000;

/// How long a promise binds the incarnation that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub enum PromiseScope {
    /// For as long as the incarnation lives. A wall clock may be set back between two incarnations, so the later one can't
    /// tell by it whether a promise had ended before the earlier one did.
    #[default]
    Incarnation,
    /// Until its time is over, on a clock that later incarnations read and nobody can set.
    Timed,
}

/// That until a stated time nothing is accepted without a record on disk. It stands on the disk too, so that a later
/// incarnation knows whether a request without a record can have been accepted.
///
/// Without it a later incarnation could never say "never accepted", and a request that is safe to send elsewhere would fail.
/// It holds whatever the disk does: stand still, fill up or vanish. The cost: remote requests that come while the disk takes
/// nothing and the promise holds are rejected, for `PROMISE_DURATION` at most with [`PromiseScope::Timed`]. After a request
/// was accepted without a record, the next promise waits until nobody can ask about that request any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct RecordingPromise {
    scope: PromiseScope,
    /// Until when the latest promise holds that may be on the disk.
    until: Option<Micros>,
    /// Until when a promise would hold that was handed to the disk and is not confirmed.
    pending: Option<Micros>,
    /// Until when somebody may ask about a request that was accepted without a record.
    unrecorded_until: Micros,
}

impl RecordingPromise {
    /// No promise yet. With [`PromiseScope::Timed`] every `now` is on the clock that later incarnations read.
    pub fn new(scope: PromiseScope) -> RecordingPromise {
        RecordingPromise { scope, ..RecordingPromise::default() }
    }

    /// Until when the next promise holds, if one is due and may be given. The caller writes it.
    pub fn renew(&mut self, now: Micros) -> Option<Micros> {
        let is_fresh = self.until.is_some_and(|until| until - now > RENEWAL_THRESHOLD);
        if self.pending.is_some() || is_fresh || now < self.unrecorded_until {
            return None;
        }
        self.pending = Some(now + PROMISE_DURATION);
        self.pending
    }

    /// The write of the last promise has ended, well or not. It may be on the disk in either case, and binds.
    pub fn resolve_pending(&mut self) {
        self.until = self.until.max(self.pending.take());
    }

    /// A request was accepted without a record; `until` then somebody may ask about it.
    pub fn accepted_unrecorded(&mut self, until: Micros) {
        self.unrecorded_until = self.unrecorded_until.max(until);
    }

    /// Whether a request may be accepted without a record: no promise binds.
    pub fn permits_unrecorded(&self, now: Micros) -> bool {
        let Some(until) = self.until.max(self.pending) else { return true };
        match self.scope {
            PromiseScope::Incarnation => false,
            PromiseScope::Timed => now > until,
        }
    }
}
