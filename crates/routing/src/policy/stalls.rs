//! Stalls of the process itself.

use super::{BEAT, MS};
use crate::Micros;
use crate::state::{Member, Router};

/// How long attempts are paced after a stall.
const RUSH: Micros = 2_000 * MS;
/// Attempts after a stall, as a multiple of the usual ones.
const RUSH_PACE: f64 = 1.6;
/// The least number of attempts that a beat after a stall allows for.
const RUSH_LEAST: f64 = 0.2;

impl Router {
    /// The driver stood still for so long, until now: what it measures of members goes on where it stopped.
    pub fn stood_still(&mut self, now: Micros, long: Micros) {
        self.pending_requests.values_mut().for_each(|pending| pending.waits_from += long);
        for member in &mut self.members {
            let Member { heard, answered, newest_answered_sent, health_checked, credited, .. } = member;
            for at in [heard, answered, newest_answered_sent, health_checked, credited] {
                *at = (*at + long).min(now);
            }
        }
        self.next_beat = now;
        self.rush = 1.0;
        self.rush_until = self.rush_until.max(if long > 10 * BEAT { now + RUSH } else { 0 });
    }

    /// Counts the attempts of the beat that ends, and those that the next one allows for after a stall.
    pub(super) fn count_attempts(&mut self, now: Micros) {
        if now >= self.rush_until {
            self.usual += (self.attempted - self.usual) * 0.02;
        }
        self.attempts += (self.attempted - self.attempts) * 0.02;
        let pace = (self.usual * RUSH_PACE).max(RUSH_LEAST);
        self.attempted = 0.0;
        self.rush = (self.rush + pace).min((5.0 * pace).max(1.0));
    }
}
