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
const MAX_REMEMBERED_STALLS: usize = 32;

/// How long after a stall something that is read may have been received in it, where the system does not say when it was.
const READ_BACKLOG: Micros = 250_000;

/// One stall.
#[derive(Clone, Copy, Debug)]
struct Stall {
    /// When the loop last ran before it.
    began: Micros,
    /// When the loop ran again.
    ended: Micros,
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
    last_observed: Micros,
    /// The newest last.
    stalls: VecDeque<Stall>,
    /// All time stalled, that of stalls no longer remembered included.
    total: Micros,
}

impl StallDetector {
    /// A detector for a loop that runs from now on.
    #[must_use]
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_observed: now, stalls: VecDeque::new(), total: 0 }
    }

    /// To be called at the beginning of all that the loop does: a step that begins long after the last one began has a stall
    /// before it.
    pub fn observe(&mut self, now: Micros) {
        if now - self.last_observed > STALL_THRESHOLD {
            self.record(Stall { began: self.last_observed, ended: now });
        }
        self.last_observed = self.last_observed.max(now);
    }

    fn record(&mut self, stall: Stall) {
        self.total += stall.ended - stall.began;
        self.stalls.push_back(stall);
        if self.stalls.len() > MAX_REMEMBERED_STALLS {
            self.stalls.pop_front();
        }
    }

    /// All time stalled since the start.
    #[must_use]
    pub fn stalled_for(&self) -> Micros {
        self.total
    }

    /// Whether any stall ended after that instant.
    #[must_use]
    pub fn stalled_since(&self, since: Micros) -> bool {
        self.stalls.back().is_some_and(|stall| stall.ended > since)
    }

    /// How much of the time from one instant to another the process was not stalled.
    #[must_use]
    pub fn unstalled_time(&self, from: Micros, to: Micros) -> Micros {
        let stalled = |stall: &Stall| (stall.ended.min(to) - stall.began.max(from)).max(0);
        to - from - self.stalls.iter().map(stalled).sum::<Micros>()
    }

    /// When the bytes were received that are read at `now` from a connection that was last read at `last_read`. `age` is how
    /// long ago the system received the last of them, where it says so. `None` means now, as far as anybody can tell.
    ///
    /// Without this a client that has left would be served, and a member would get requests that nobody waits for any more.
    /// The cost: where the system does not say, what arrives just after a stall is taken to be as old as the stall.
    #[must_use]
    pub fn receipt_bounds(
        &self,
        now: Micros,
        last_read: Micros,
        age: Option<Micros>,
    ) -> Option<ReceiptBounds> {
        let newest = self.stalls.back().filter(|stall| stall.ended > last_read)?;
        let earliest = self.first_of_series(now, last_read).unwrap_or(newest).began;
        match age.map(|age| now - age) {
            Some(received) if received > newest.ended => None,
            Some(received) => Some(ReceiptBounds { earliest, latest: received.max(earliest) }),
            None if now - newest.ended < READ_BACKLOG => Some(ReceiptBounds { earliest, latest: earliest }),
            None => None,
        }
    }

    /// The first of the stalls that followed each other so closely that nothing may have been read in between. What was there
    /// when the loop last ran before it has been read by now.
    fn first_of_series(&self, now: Micros, last_read: Micros) -> Option<&Stall> {
        let is_recent = |stall: &&Stall| now - stall.ended < READ_BACKLOG && stall.ended > last_read;
        self.stalls.iter().rev().take_while(is_recent).last()
    }
}
