//! The number of live proxies over time.

use std::collections::VecDeque;

use crate::{Micros, Snapshot};

/// How long a higher number of live proxies is remembered, to tell whether this may be the smaller part of a divided fleet.
const PEAK_RETENTION: Micros = 600_000_000;
/// How long after a stall, or the start, silence of others proves nothing: what is read first may have waited since before.
const SETTLING_TIME: Micros = 2_000_000;

/// A number of live proxies that was higher than all later ones.
#[derive(Clone, Copy, Debug)]
struct Peak {
    ended_at: Micros,
    alive: usize,
}

/// The number of live proxies over time.
#[derive(Clone, Debug)]
pub(crate) struct LiveCount {
    alive: usize,
    most_alive: usize,
    /// Falling, the oldest first: no more entries than the highest number.
    peaks: VecDeque<Peak>,
    /// Since when nothing was heard that proves the count; `None` while it is certain.
    uncertain_since: Option<Micros>,
}

impl LiveCount {
    /// This proxy alone.
    pub(crate) fn start(now: Micros) -> LiveCount {
        LiveCount { alive: 1, most_alive: 1, peaks: VecDeque::new(), uncertain_since: Some(now) }
    }

    /// So many are alive now, this proxy among them.
    pub(crate) fn set_alive(&mut self, now: Micros, alive: usize) {
        if alive < self.alive {
            while self.peaks.back().is_some_and(|peak| peak.alive <= self.alive) {
                self.peaks.pop_back();
            }
            self.peaks.push_back(Peak { ended_at: now, alive: self.alive });
        }
        self.alive = alive;
        self.most_alive = self.most_alive.max(alive);
    }

    /// Another proxy was heard.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        if self.uncertain_since.is_some_and(|since| now - since >= SETTLING_TIME) {
            self.uncertain_since = None;
        }
    }

    /// This process was stalled, or the others had declared it dead.
    pub(crate) fn mark_uncertain(&mut self, now: Micros) {
        self.uncertain_since = Some(now);
    }

    pub(crate) fn snapshot(&self, now: Micros) -> Snapshot {
        let recent = self.peaks.iter().filter(|peak| now - peak.ended_at <= PEAK_RETENTION);
        let recent_peak = recent.map(|peak| peak.alive).max().unwrap_or(0).max(self.alive);
        Snapshot {
            alive: self.alive,
            most_alive: self.most_alive,
            is_certain: self.uncertain_since.is_none() && self.alive > 1,
            may_be_minority: 2 * self.alive <= recent_peak,
        }
    }
}
