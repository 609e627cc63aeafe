//! Stalls of the process itself.

use super::{BEAT, MS};
use crate::Micros;
use crate::state::{Member, Router};

/// How long attempts are paced after a stall.
const PACED_FOR: Micros = 2_000 * MS;
/// Attempts after a stall, as a multiple of the usual ones.
const PACE: f64 = 1.6;
/// The least number of attempts that a beat after a stall allows for.
const LEAST_PACE: f64 = 0.2;

impl Router {
    /// The process stalled for `long` microseconds, until now: what is measured of members goes on where it
    /// stopped.
    pub fn stood_still(&mut self, now: Micros, long: Micros) {
        self.pending_requests.values_mut().for_each(|pending| pending.waits_from += long);
        for member in &mut self.members {
            let Member { heard, answered, newest_answered_sent, health_checked, credited, .. } = member;
            for at in [heard, answered, newest_answered_sent, health_checked, credited] {
                *at = (*at + long).min(now);
            }
        }
        self.next_beat = now;
        self.paced_attempts = 1.0;
        self.paced_until = self.paced_until.max(if long > 10 * BEAT { now + PACED_FOR } else { 0 });
    }

    /// Counts the attempts of the beat that ends, and those that the next one allows for after a stall.
    pub(super) fn count_attempts(&mut self, now: Micros) {
        if now >= self.paced_until {
            self.usual_attempts += (self.attempted - self.usual_attempts) * 0.02;
        }
        self.attempts += (self.attempted - self.attempts) * 0.02;
        let pace = (self.usual_attempts * PACE).max(LEAST_PACE);
        self.attempted = 0.0;
        self.paced_attempts = (self.paced_attempts + pace).min((5.0 * pace).max(1.0));
    }

    /// Whether attempts wait because those allowed for after a stall are used up.
    ///
    /// Guards members against all that stalled processes owe at once; costs attempts that would be in time.
    pub(super) fn is_paced(&self, now: Micros) -> bool {
        now < self.paced_until && self.paced_attempts < 1.0
    }
}
