//! The detector: notices stalls by when the loop last ran, and dates what was received meanwhile.

use std::collections::VecDeque;

use crate::Micros;

/// A loop that wakes every 20 ms at least and did nothing for longer than this has stalled.
///
/// Shorter, and scheduling on a busy machine would count; longer, and members would be blamed for pauses of this process. The
/// cost: a loop that is only busy loses some milliseconds of measured time.
pub const STALL_THRESHOLD: Micros = 60_000;

/// Stalls remembered. What is asked of lies in the last seconds; older ones no longer count in
/// [`StallDetector::unstalled_time`].
const MAX_RETAINED_STALLS: usize = 32;

/// How long after a stall something that is read may have been received in it, where the system does not say when it was.
const MAX_READ_LAG: Micros = 250_000;

/// One stall.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the loop last ran before it.
    start: Micros,
    /// When the loop ran again.
    end: Micros,
}

/// When bytes were received that were read only later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiptBounds {
    /// None of them was received before this instant.
    pub earliest: Micros,
    /// The last of them was received at this instant, as far as is known.
    pub latest: Micros,
}

/// Notices the stalls of one process.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_observed_at: Micros,
    /// The newest last.
    stalls: VecDeque<Stall>,
    /// All time stalled, that of stalls no longer remembered included.
    total_stalled: Micros,
}

impl StallDetector {
    /// A detector for a loop that runs from now on.
    #[must_use]
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_observed_at: now, stalls: VecDeque::new(), total_stalled: 0 }
    }

    /// To be called at the beginning of all that the loop does: a step that begins long after the last one began has a stall
    /// before it.
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

    /// All time stalled since the start.
    #[must_use]
    pub fn total_stalled_time(&self) -> Micros {
        self.total_stalled
    }

    /// Whether any stall ended after that instant.
    #[must_use]
    pub fn stalled_since(&self, since: Micros) -> bool {
        self.stalls.back().is_some_and(|stall| stall.end > since)
    }

    /// How much of the time from one instant to another the process was not stalled.
    #[must_use]
    pub fn unstalled_time(&self, from: Micros, to: Micros) -> Micros {
        let overlap = |stall: &Stall| (stall.end.min(to) - stall.start.max(from)).max(0);
        to - from - self.stalls.iter().map(overlap).sum::<Micros>()
    }

    /// When the bytes were received that are read at `now` from a connection that was last read at `last_read_at`. `last_byte_age` is how
    /// long ago the system received the last of them, where it says so. `None` means now, as far as anybody can tell.
    ///
    /// Without this a client that has left would be served, and a member would get requests that nobody waits for any more.
    /// The cost: where the system does not say, what arrives just after a stall is taken to be as old as the stall.
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

    /// The first of the stalls that followed each other so closely that nothing may have been read in between. What was there
    /// when the loop last ran before it has been read by now.
    fn first_of_consecutive_stalls(&self, now: Micros, last_read_at: Micros) -> Option<&Stall> {
        let is_recent = |stall: &&Stall| now - stall.end < MAX_READ_LAG && stall.end > last_read_at;
        self.stalls.iter().rev().take_while(is_recent).last()
    }
}
