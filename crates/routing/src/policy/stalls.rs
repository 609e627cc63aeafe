//! Stalls of the process itself.

use crate::Micros;
use crate::state::{Member, Router};

impl Router {
    /// Handles a stall of the process that lasted `duration` microseconds, until now. The times from which
    /// members and attempts are measured move forward by the duration, so that the stall does not count as
    /// waiting.
    pub fn stall_ended(&mut self, now: Micros, duration: Micros) {
        self.pending_requests.values_mut().for_each(|pending| pending.waiting_since += duration);
        for member in &mut self.members {
            let Member {
                last_heard_at,
                last_answered_at,
                newest_answered_sent_at,
                last_health_check_at,
                saved_at,
                ..
            } = member;
            for at in
                [last_heard_at, last_answered_at, newest_answered_sent_at, last_health_check_at, saved_at]
            {
                *at = (*at + duration).min(now);
            }
        }
        self.next_tick = now;
        self.stall_pacing.record_stall(now, duration);
    }
}
