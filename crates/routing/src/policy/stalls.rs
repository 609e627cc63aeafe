//! Stalls of the process itself.

use crate::Micros;
use crate::state::{Member, Router};

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
        self.stall_pacing.stalled(now, long);
    }
}
