//! The protocol's timers, ordered by when they are due.

use std::collections::BTreeMap;

use foca::Timer;

use crate::{Micros, Peer};

/// The protocol's timers, ordered by when they are due.
#[derive(Default)]
pub(crate) struct TimerQueue {
    /// By due time and a number that tells timers of one instant apart.
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    next_number: u64,
}

impl TimerQueue {
    pub(crate) fn insert(&mut self, due_at: Micros, timer: Timer<Peer>) {
        self.timers.insert((due_at, self.next_number), timer);
        self.next_number += 1;
    }

    /// Removes and returns what is due, in the order that the protocol wants of timers that fire late: answers are counted
    /// before their absence is.
    pub(crate) fn take_due(&mut self, now: Micros) -> Vec<Timer<Peer>> {
        let later = self.timers.split_off(&(now + 1, 0));
        let mut due: Vec<Timer<Peer>> = std::mem::replace(&mut self.timers, later).into_values().collect();
        due.sort();
        due
    }

    /// When the first timer is due.
    pub(crate) fn next_due_at(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(&(due_at, _), _)| due_at)
    }
}
