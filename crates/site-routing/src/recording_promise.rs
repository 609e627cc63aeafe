//! The promise, kept on disk, that no request is accepted without a record.

use crate::Micros;

/// How long a promise holds, in microseconds; also how long remote requests are rejected at most once the disk takes
/// nothing.
pub(crate) const PROMISE_DURATION: Micros = 5_000_000;
/// A promise is renewed once no more than this is left of it, in microseconds: a slow disk has that long before it ends.
const RENEW_BELOW: Micros = 3_000_000;

/// That until a stated time nothing is accepted without a record on disk. It stands on the disk too, so that a later
/// incarnation knows whether a request without a record can have been accepted.
///
/// Without it a later incarnation could never say "never accepted", and a request that is safe to send elsewhere would fail.
/// It holds whatever the disk does: stand still, fill up or vanish. The cost: remote requests that come while the disk takes
/// nothing and the promise holds are rejected, for `PROMISE_DURATION` at most. After a request was accepted without a
/// record, the next promise waits until nobody can ask about that request any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct RecordingPromise {
    /// Until when the promise holds that is on the disk.
    until: Micros,
    /// Until when a promise would hold that was handed to the disk and is not confirmed.
    pending: Option<Micros>,
    /// Until when somebody may ask about a request that was accepted without a record.
    unrecorded_until: Micros,
}

impl RecordingPromise {
    /// Until when the next promise holds, if one is due and may be given. The caller writes it.
    pub fn renew(&mut self, now: Micros) -> Option<Micros> {
        if self.pending.is_some() || self.until - now > RENEW_BELOW || now < self.unrecorded_until {
            return None;
        }
        self.pending = Some(now + PROMISE_DURATION);
        self.pending
    }

    /// The write of the last promise has ended, well or not. It may be on the disk in either case, and binds.
    pub fn settle(&mut self) {
        let pending = self.pending.take().unwrap_or(self.until);
        self.until = self.until.max(pending);
    }

    /// A request was accepted without a record; `until` then somebody may ask about it.
    pub fn accepted_unrecorded(&mut self, until: Micros) {
        self.unrecorded_until = self.unrecorded_until.max(until);
    }

    /// Whether a request may be accepted without a record: no promise holds.
    pub fn permits_unrecorded(&self, now: Micros) -> bool {
        let binding = self.until.max(self.pending.unwrap_or(self.until));
        now > binding
    }
}
