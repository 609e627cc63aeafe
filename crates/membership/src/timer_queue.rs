//! Timers of the protocol, ordered by due time.

use std::collections::BTreeMap;

use foca::Timer;

use crate::{Micros, Peer};

/// Timers of the protocol, ordered by due time.
#[derive(Default)]
pub(crate) struct TimerQueue {
    /// Timers by due time and by a number that distinguishes timers with the same due time.
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    next_number: u64,
}

impl TimerQueue {
    /// Adds a timer that is due at `due_at`.
    pub(crate) fn insert(&mut self, due_at: Micros, timer: Timer<Peer>) {
        self.timers.insert((due_at, self.next_number), timer);
        self.next_number += 1;
    }

    /// Removes the due timers and returns them in the order that the protocol requires if timers fire late: an answer is
    /// evaluated before its absence.
    pub(crate) fn take_due(&mut self, now: Micros) -> Vec<Timer<Peer>> {
        let later = self.timers.split_off(&(now + 1, 0));
        let mut due: Vec<Timer<Peer>> = std::mem::replace(&mut self.timers, later).into_values().collect();
        due.sort();
        due
    }

    /// Due time of the first timer; `None` if there are no timers.
    pub(crate) fn next_due_at(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(&(due_at, _), _)| due_at)
    }
}
