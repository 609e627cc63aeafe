//! Whether a disk that is slow, full or gone is given more writes. No I/O and no clock here.

use std::collections::VecDeque;

use crate::Micros;

/// How well the disk keeps up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// Writes are confirmed soon (the breaker is closed).
    Healthy,
    /// Confirmations take more than half of the timeout: only essential writes are handed over.
    Slow,
    /// A write failed or timed out (the breaker is open).
    Unavailable {
        /// From this time on one write tries whether the disk is back (the breaker is half-open).
        until: Micros,
    },
}

/// A circuit breaker before the disk: work that waits too long for a confirmation goes on without it.
///
/// Without it one stalled write would hold up every request behind it, for as long as the disk likes; a full disk and
/// one that is gone are met in the same way. The cost: what is not written is unknown after a crash, although the
/// caller may have promised to remember it.
#[derive(Debug)]
pub struct DiskCircuitBreaker {
    state: DiskState,
    /// The longest wait for a confirmation.
    confirmation_timeout: Micros,
    /// How long the disk is left alone after the next failure; doubled with each that follows at once.
    next_retry_wait: Micros,
    /// When the writes that wait for their confirmation were handed over, the oldest first.
    in_flight: VecDeque<Micros>,
    /// How many writes may wait at once.
    max_in_flight: usize,
}

/// The first wait after a failure, in microseconds: long enough that a failing disk costs one write a second.
const MIN_RETRY_WAIT: Micros = 1_000_000;
/// The longest wait, in microseconds, and so the longest time in which a disk that is back is not noticed.
const MAX_RETRY_WAIT: Micros = 60_000_000;

impl DiskCircuitBreaker {
    /// For a disk that is taken for healthy; `confirmation_timeout` is in microseconds.
    pub fn new(confirmation_timeout: Micros, max_in_flight: usize) -> DiskCircuitBreaker {
        DiskCircuitBreaker {
            state: DiskState::Healthy,
            confirmation_timeout,
            next_retry_wait: MIN_RETRY_WAIT,
            in_flight: VecDeque::new(),
            max_in_flight,
        }
    }

    /// How well the disk keeps up, as of the last call that changed it.
    pub fn state(&self) -> DiskState {
        self.state
    }

    /// Whether a write is handed over now; if so, it counts as in flight. `is_essential` marks what loses its meaning
    /// if it is not written.
    pub fn admit_write(&mut self, now: Micros, is_essential: bool) -> bool {
        match self.state {
            DiskState::Unavailable { until } if now < until => return false,
            // One write tries whether the disk is back.
            DiskState::Unavailable { .. } if !self.in_flight.is_empty() => return false,
            DiskState::Slow if !is_essential => return false,
            _ => {}
        }
        if self.in_flight.len() >= self.max_in_flight {
            return false;
        }
        self.in_flight.push_back(now);
        true
    }

    /// The oldest write in flight is confirmed.
    pub fn write_confirmed(&mut self, now: Micros) {
        let took = self.in_flight.pop_front().map_or(0, |since| now - since);
        self.next_retry_wait = MIN_RETRY_WAIT;
        let is_slow = took > self.confirmation_timeout / 2;
        self.state = if is_slow { DiskState::Slow } else { DiskState::Healthy };
    }

    /// A write failed: no write in flight is waited for any more.
    pub fn write_failed(&mut self, now: Micros) {
        self.in_flight.clear();
        self.state = DiskState::Unavailable { until: now + self.next_retry_wait };
        self.next_retry_wait = (self.next_retry_wait * 2).min(MAX_RETRY_WAIT);
    }

    /// Whether the oldest write in flight has timed out just now, which counts as a failure.
    pub fn check_timeout(&mut self, now: Micros) -> bool {
        let is_late = self.in_flight.front().is_some_and(|&since| now - since > self.confirmation_timeout);
        if is_late {
            self.write_failed(now);
        }
        is_late
    }

    /// When [`check_timeout`](Self::check_timeout) is to be called next; none where no write is in flight.
    pub fn timeout_at(&self) -> Option<Micros> {
        self.in_flight.front().map(|&since| since + self.confirmation_timeout + 1)
    }
}
