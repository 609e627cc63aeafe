//! How much a member that is warming up may be sent.

use rand::Rng;

use super::concurrency_limit::GUARANTEED_FLEET_LIMIT;
use super::{TICK, WRITE_HOLD};
use crate::state::{Member, Router};
use crate::{MemberId, MemberStatus, Micros};

/// How often all members are looked at where a router keeps to some of them.
const SWEEP_INTERVAL: Micros = 10 * TICK;

impl Member {
    /// Whether it started so recently that it is to be sent little.
    pub(super) fn is_warming_up(&self, now: Micros, warm_within: Micros) -> bool {
        self.started_at.is_some_and(|since| now - since < warm_within)
    }

    /// The member's process was heard. One that seemed dead for long is taken for started now.
    ///
    /// Guards a process that died and came back against the crowd that waits for it, where no list tells its
    /// start; costs a member that only refused connections: it gets a slow-start allowance, unless it is
    /// heard sooner than any process comes back.
    pub(super) fn record_heard(&mut self, now: Micros, credit: f64) {
        self.last_heard_at = now;
        self.unreachable_until = now;
        if self.down_since.take().is_some_and(|at| now - at > 4 * WRITE_HOLD) {
            self.started_at = Some(now);
            self.saved_attempts = credit;
            self.saved_at = now;
        }
    }
}

impl Router {
    /// The slow-start allowance: attempts that the member may be sent in one window of the overload rule;
    /// infinite once it is warm.
    pub(super) fn slow_start_allowance(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let age = member.started_at.map_or(Micros::MAX, |since| now - since);
        if age >= self.config.slow_start_duration {
            return f64::INFINITY;
        }
        // The capacity at the middle of the window that ends now: it grows about evenly.
        let age =
            (age - self.config.overload_window / 2).max(0) as f64 / self.config.slow_start_duration as f64;
        let capacity = self.config.slow_start_capacity + (1.0 - self.config.slow_start_capacity) * age;
        let load = self.warm_load.max(GUARANTEED_FLEET_LIMIT / self.config.routers_sharing_warm_up as f64);
        self.config.overload_factor * capacity * load * member.size
    }

    /// Saving up for a member that warms up begins at a random credit, so that not all routers come at once.
    pub(super) fn initial_saved_attempts(&mut self) -> f64 {
        self.rng.random::<f64>() + GUARANTEED_FLEET_LIMIT / self.config.routers_sharing_warm_up as f64
    }

    /// Lets fade what is remembered of each member, and measures what warm members carry. Where there are
    /// many members this is done less often.
    pub(super) fn sweep_members(&mut self, now: Micros) {
        // Only what was served counts as a warm member's load: misses and rejected attempts are no work.
        let window = self.config.overload_window;
        let mut load = 0.0;
        let mut warm = 0.0;
        let passed = if self.uses_subset() { SWEEP_INTERVAL } else { TICK };
        self.next_sweep = now + passed;
        let fading = passed as f64 / window as f64;
        for member in &mut self.members {
            member.sent_recently.retain(|&at| at > now - window);
            let warming_up = member.is_warming_up(now, self.config.slow_start_duration);
            if member.status == MemberStatus::Ready && !warming_up {
                load += member.served_load;
                warm += member.size;
            }
            member.served_load *= if warming_up { 0.0 } else { 1.0 - 0.1 * fading };
        }
        // What members carry does not shrink with what they are sent: their best of late counts.
        let faded = self.warm_load * (1.0 - 0.02 * fading);
        self.warm_load = faded.max(if warm > 0.0 { load / warm } else { 0.0 });
    }
}
