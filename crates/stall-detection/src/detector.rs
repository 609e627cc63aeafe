//! Detects stalls from the gaps between runs of the event loop, and estimates when data that was
//! read after a stall had been received.

use std::collections::VecDeque;

use crate::Micros;

/// Gap between two calls of [`StallDetector::observe`], in microseconds (60 ms), above which the
/// loop counts as stalled. The loop wakes at least every 20 ms.
///
/// With a lower threshold, scheduling delays on a busy machine would count as stalls; with a higher
/// one, members would be blamed for pauses of this process. The trade-off is that a loop that is
/// merely busy loses some milliseconds of measured time.
pub const STALL_THRESHOLD: Micros = 60_000;

/// Maximum number of stalls that are retained. Queries concern only the last seconds; stalls that
/// have been discarded are no longer subtracted by [`StallDetector::unstalled_time`].
const MAX_RETAINED_STALLS: usize = 32;

/// Time after a stall, in microseconds (250 ms), during which data that is read may have been
/// received before the stall ended, unless the system reports when it was received. It is also the
/// period in which stalls count as consecutive.
const MAX_READ_LAG: Micros = 250_000;

/// A gap between two runs of the loop that exceeds [`STALL_THRESHOLD`].
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// Instant at which the loop last ran before the stall.
    start: Micros,
    /// Instant at which the loop ran again.
    end: Micros,
}

/// Bounds on when bytes were received that were read only after a stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiptBounds {
    /// No byte was received before this instant.
    pub earliest: Micros,
    /// The last byte was received at this instant, as far as is known.
    pub latest: Micros,
}

/// Detects the stalls of one process.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_observed_at: Micros,
    /// The most recent stalls, oldest first; at most [`MAX_RETAINED_STALLS`].
    stalls: VecDeque<Stall>,
    /// Total stalled time, including stalls that are no longer retained.
    total_stalled: Micros,
}

impl StallDetector {
    /// Creates a detector for a loop that starts running at `now`.
    #[must_use]
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_observed_at: now, stalls: VecDeque::new(), total_stalled: 0 }
    }

    /// Records that the loop runs at `now`. The loop must call this at the beginning of every step:
    /// a step that begins more than [`STALL_THRESHOLD`] after the previous call was preceded by a
    /// stall.
    pub fn observe(&mut self, now: Micros) {
        if now - self.last_observed_at > STALL_THRESHOLD {
            self.record(Stall { start: self.last_observed_at, end: now });
        }
        self.last_observed_at = self.last_observed_at.max(now);
    }

    fn record(&mut self, stall: Stall) {
        self.total_stalled += stall.end - stall.start;
        self.stalls.push_back(stall);
        if self.stalls.len() > MAX_RETAINED_STALLS {
            self.stalls.pop_front();
        }
    }

    /// Returns the total stalled time since the detector was created, in microseconds.
    #[must_use]
    pub fn total_stalled_time(&self) -> Micros {
        self.total_stalled
    }

    /// Returns whether any stall ended after `since`.
    #[must_use]
    pub fn stalled_since(&self, since: Micros) -> bool {
        self.stalls.back().is_some_and(|stall| stall.end > since)
    }

    /// Returns how much of the time between `from` and `to` the process was not stalled, in
    /// microseconds. Only the retained stalls are subtracted.
    #[must_use]
    pub fn unstalled_time(&self, from: Micros, to: Micros) -> Micros {
        let overlap = |stall: &Stall| (stall.end.min(to) - stall.start.max(from)).max(0);
        to - from - self.stalls.iter().map(overlap).sum::<Micros>()
    }

    /// Returns bounds on when bytes were received that are read at `now` from a connection that was
    /// last read at `last_read_at`. `last_byte_age` is the time since the system received the last
    /// of these bytes, or `None` where the system does not report it. The result is `None` if, as
    /// far as can be known, the bytes were received just now.
    ///
    /// Without these bounds, the proxy would serve clients that have already left, and send members
    /// requests that nobody waits for any more. The trade-off is that, where the system does not
    /// report the time of receipt, bytes that arrive just after a stall are treated as if they were
    /// as old as the stall.
    #[must_use]
    pub fn receipt_bounds(
        &self,
        now: Micros,
        last_read_at: Micros,
        last_byte_age: Option<Micros>,
    ) -> Option<ReceiptBounds> {
        let newest = self.stalls.back().filter(|stall| stall.end > last_read_at)?;
        let earliest = self.first_of_consecutive_stalls(now, last_read_at).unwrap_or(newest).start;
        match last_byte_age.map(|age| now - age) {
            Some(received_at) if received_at > newest.end => None,
            Some(received_at) => Some(ReceiptBounds { earliest, latest: received_at.max(earliest) }),
            None if now - newest.end < MAX_READ_LAG => Some(ReceiptBounds { earliest, latest: earliest }),
            None => None,
        }
    }

    /// Returns the first of the consecutive stalls that ended after the last read and less than
    /// [`MAX_READ_LAG`] ago, counted back from the latest one. They followed each other so closely
    /// that possibly nothing was read between them. Data that was available when the loop last ran
    /// before the first of them has been read by now.
    fn first_of_consecutive_stalls(&self, now: Micros, last_read_at: Micros) -> Option<&Stall> {
        let is_recent = |stall: &&Stall| now - stall.end < MAX_READ_LAG && stall.end > last_read_at;
        self.stalls.iter().rev().take_while(is_recent).last()
    }
}
