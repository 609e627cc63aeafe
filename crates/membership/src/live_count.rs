//! Number of live proxies over time.

use std::collections::VecDeque;

use crate::{Micros, Snapshot};

/// Time for which a former, higher number of live proxies is taken into account. It serves to detect that this proxy may
/// be in the smaller part of a divided fleet.
const PEAK_RETENTION: Micros = 600_000_000;
/// Time after the start or a stall during which the count stays uncertain. Silence of the others proves nothing then, as
/// the datagrams read first may have been queued since before.
const SETTLING_TIME: Micros = 2_000_000;

/// A former number of live proxies that is higher than all later ones.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// Time at which the number fell.
    ended_at: Micros,
    alive: usize,
}

/// Tracks the number of live proxies, its recent peaks, and whether it is certain.
#[derive(Clone, Debug)]
pub(crate) struct LiveCount {
    /// Current number of live proxies, this one included.
    alive: usize,
    /// Highest number of live proxies since the start.
    most_alive: usize,
    /// Former numbers in strictly falling order, oldest first. There are never more entries than the highest number.
    peaks: VecDeque<Peak>,
    /// Time since which no message has confirmed the count; `None` while the count is certain.
    uncertain_since: Option<Micros>,
}

impl LiveCount {
    /// Creates an uncertain count of one: this proxy alone.
    pub(crate) fn start(now: Micros) -> LiveCount {
        LiveCount { alive: 1, most_alive: 1, peaks: VecDeque::new(), uncertain_since: Some(now) }
    }

    /// Sets the current number of live proxies, this one included.
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

    /// Records a message from another proxy, which makes the count certain once the settling time has passed.
    pub(crate) fn record_contact(&mut self, now: Micros) {
        if self.uncertain_since.is_some_and(|since| now - since >= SETTLING_TIME) {
            self.uncertain_since = None;
        }
    }

    /// Marks the count as uncertain, after a stall or a change of this proxy's identity.
    pub(crate) fn mark_uncertain(&mut self, now: Micros) {
        self.uncertain_since = Some(now);
    }

    /// Returns what this proxy may conclude from the count at `now`.
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
