use std::collections::VecDeque;

use crate::Micros;

/// A loop that wakes every 20 ms at the least and did nothing for so long has total still.
///
/// Protects what is measured from time in which nobody measured. Should also cover a machine that gives the process
/// no turn, which is the same to those who wait for it. Harms what is learnt from a loop that is only busy: some
/// milliseconds count as nobody's.
pub const STALL_THRESHOLD: Micros = 60_000;

/// Standstills remembered; older ones count no more.
const REMEMBERED_STALLS: usize = 32;

/// How long after a standstill what is read may have come in it, where nobody tells when it came.
const READ_BACKLOG: Micros = 250_000;

/// When bytes that were read only now were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiptBounds {
    /// No byte was received before.
    pub earliest: Micros,
    /// The last byte was received then.
    pub latest: Micros,
}

/// What one process knows of its own stalls.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_observed: Micros,
    /// From when to when, the newest last.
    stalls: VecDeque<(Micros, Micros)>,
    total: Micros,
}

impl StallDetector {
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_observed: now, stalls: VecDeque::new(), total: 0 }
    }

    /// To be called at the beginning of all that the loop does: a step that begins long after the last one began has
    /// a standstill before it.
    pub fn observe(&mut self, now: Micros) {
        if now - self.last_observed > STALL_THRESHOLD {
            self.stalls.push_back((self.last_observed, now));
            self.total += now - self.last_observed;
            if self.stalls.len() > REMEMBERED_STALLS {
                self.stalls.pop_front();
            }
        }
        self.last_observed = self.last_observed.max(now);
    }

    /// All time spent standing.
    pub fn stalled_for(&self) -> Micros {
        self.total
    }

    /// Whether any standstill ended after that moment.
    pub fn stalled_since(&self, since: Micros) -> bool {
        self.stalls.back().is_some_and(|&(_, to)| to > since)
    }

    /// How much of the time from one moment to another was lived.
    pub fn unstalled_time(&self, from: Micros, to: Micros) -> Micros {
        let part = |&(began, ended): &(Micros, Micros)| (ended.min(to) - began.max(from)).max(0);
        to - from - self.stalls.iter().map(part).sum::<Micros>()
    }

    /// Between when and when what is read at `now` came, the last byte at the latter, given when the same connection was last read and how long ago the system says
    /// that its last byte came. `None` is now, as far as anybody can tell.
    ///
    /// Protects clients that left from being served, and members from what nobody waits for any more. Harms what
    /// comes just behind a standstill where the system says nothing: it is taken for as old as that.
    pub fn receipt_bounds(
        &self,
        now: Micros,
        last_read: Micros,
        age: Option<Micros>,
    ) -> Option<ReceiptBounds> {
        let &(from, to) = self.stalls.back().filter(|&&(_, to)| to > last_read)?;
        // Nothing that was there when the loop last looked is read only now. Of standstills in a row the first counts.
        let mut stalls =
            self.stalls.iter().rev().take_while(|&&(_, to)| now - to < READ_BACKLOG && to > last_read);
        let earliest = stalls.by_ref().last().map_or(from, |&(from, _)| from);
        match age {
            Some(age) if now - age > to => None,
            Some(age) => Some(ReceiptBounds { earliest, latest: (now - age).max(earliest) }),
            None => (now - to < READ_BACKLOG).then_some(ReceiptBounds { earliest, latest: earliest }),
        }
    }
}
