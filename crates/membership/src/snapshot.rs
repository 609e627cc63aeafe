use std::collections::VecDeque;

use crate::Micros;

/// How long a number of living drivers is remembered when it is asked which half of the fleet this is.
const MEMORY: Micros = 600_000_000;
/// How long after a standstill, or the start, nothing is concluded from silence.
const SETTLING: Micros = 2_000_000;

/// What one driver may conclude on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Drivers that live as far as is known, this one among them.
    pub alive: usize,
    /// The most that were ever known to live at one time.
    pub seen: usize,
    /// Somebody was heard lately, and this process was not away just before.
    pub sure: bool,
    /// As many or more are gone as are left: this may be the smaller part of a divided fleet.
    pub may_be_smaller: bool,
}

impl Snapshot {
    /// By how many drivers room at members is to be divided: `told` is the settings' figure.
    ///
    /// Protects members from drivers that wrongly take others for dead: nobody who is in doubt takes their room. In a
    /// divided fleet both parts take that of the other; what members then answer narrows their windows, and cold
    /// members are spared by [`Snapshot::warm_up_quota_divisor`].
    pub fn quota_divisor(&self, told: usize) -> usize {
        if self.sure { self.alive } else { told.max(self.alive) }
    }

    /// The same at a cold member: whoever may be there counts.
    pub fn warm_up_quota_divisor(&self, told: usize) -> usize {
        told.max(self.seen)
    }
}

/// Counts the living over time.
#[derive(Clone, Debug, Default)]
pub struct LiveCount {
    alive: usize,
    seen: usize,
    /// The numbers that were higher than all later ones, and until when they were so: no more than the highest of them.
    lately: VecDeque<(Micros, usize)>,
    /// Since when nothing was heard that can be trusted; `None` while all is well.
    doubt: Option<Micros>,
}

impl LiveCount {
    pub fn start(now: Micros) -> LiveCount {
        LiveCount { alive: 1, seen: 1, doubt: Some(now), ..LiveCount::default() }
    }

    pub fn alive(&mut self, now: Micros, alive: usize) {
        if alive < self.alive {
            while self.lately.back().is_some_and(|&(_, count)| count <= self.alive) {
                self.lately.pop_back();
            }
            self.lately.push_back((now, self.alive));
        }
        self.alive = alive;
        self.seen = self.seen.max(alive);
    }

    pub fn heard(&mut self, now: Micros) {
        // What is heard first may have waited since before; what comes a while later is of now.
        if self.doubt.is_some_and(|since| now - since >= SETTLING) {
            self.doubt = None;
        }
    }

    pub fn away(&mut self, now: Micros) {
        self.doubt = Some(now);
    }

    pub fn view(&self, now: Micros) -> Snapshot {
        let recent = self.lately.iter().filter(|(at, _)| now - at <= MEMORY).map(|&(_, count)| count);
        let before = recent.max().unwrap_or(0).max(self.alive);
        Snapshot {
            alive: self.alive,
            seen: self.seen,
            sure: self.doubt.is_none() && self.alive > 1,
            may_be_smaller: 2 * self.alive <= before,
        }
    }
}
