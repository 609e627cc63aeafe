//! Slow start: how many attempts a member that is warming up may be sent.

use rand::Rng;

use super::concurrency_limit::GUARANTEED_FLEET_LIMIT;
use super::{TICK, WRITE_HOLD};
use crate::state::{Member, Router};
use crate::{MemberId, MemberStatus, Micros};

/// Interval, in microseconds, at which a router that uses a subset of the members sweeps all of them.
const SWEEP_INTERVAL: Micros = 10 * TICK;

impl Member {
    /// Returns whether the member started less than `slow_start_duration` microseconds ago and is to be sent
    /// few attempts.
    pub(super) fn is_warming_up(&self, now: Micros, slow_start_duration: Micros) -> bool {
        self.started_at.is_some_and(|started_at| now - started_at < slow_start_duration)
    }

    /// Records that the member's process was heard from. A process that seemed dead for more than four write
    /// holds is taken to have started now, with `saved_attempts` as its saved attempts.
    ///
    /// This protects a process that died and came back from all the requests that wait for it, if no list
    /// tells when it started. The cost: a member that only refused connections gets a slow-start allowance,
    /// unless it is heard from sooner than any process could restart.
    pub(super) fn record_heard(&mut self, now: Micros, saved_attempts: f64) {
        self.last_heard_at = now;
        self.unreachable_until = now;
        if self.down_since.take().is_some_and(|at| now - at > 4 * WRITE_HOLD) {
            self.started_at = Some(now);
            self.saved_attempts = saved_attempts;
            self.saved_at = now;
        }
    }
}

impl Router {
    /// Returns the slow-start allowance: the number of attempts that the member may be sent in one window of
    /// the overload rule. It is infinite once the member is warm.
    pub(super) fn slow_start_allowance(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let age = member.started_at.map_or(Micros::MAX, |started_at| now - started_at);
        if age >= self.config.slow_start_duration {
            return f64::INFINITY;
        }
        // The capacity at the middle of the window that ends now, as capacity grows about linearly.
        let age =
            (age - self.config.overload_window / 2).max(0) as f64 / self.config.slow_start_duration as f64;
        let capacity = self.config.slow_start_capacity + (1.0 - self.config.slow_start_capacity) * age;
        let load = self.warm_load.max(GUARANTEED_FLEET_LIMIT / self.config.routers_sharing_warm_up as f64);
        self.config.overload_factor * capacity * load * member.size
    }

    /// Returns the saved attempts with which a member starts to warm up. They are random, so that not all
    /// routers send to it at once.
    pub(super) fn initial_saved_attempts(&mut self) -> f64 {
        self.rng.random::<f64>() + GUARANTEED_FLEET_LIMIT / self.config.routers_sharing_warm_up as f64
    }

    /// Lets what is remembered about each member decay, and measures the load of warm members. A router that
    /// uses a subset of the members does this less often.
    pub(super) fn sweep_members(&mut self, now: Micros) {
        // Only served attempts count as a warm member's load: rejected attempts, and those that reached a
        // replica instead of the primary, are no work.
        let window = self.config.overload_window;
        let mut total_load = 0.0;
        let mut warm_size = 0.0;
        let interval = if self.uses_subset() { SWEEP_INTERVAL } else { TICK };
        self.next_sweep = now + interval;
        let window_fraction = interval as f64 / window as f64;
        for member in &mut self.members {
            member.sent_recently.retain(|&at| at > now - window);
            let warming_up = member.is_warming_up(now, self.config.slow_start_duration);
            if member.status == MemberStatus::Ready && !warming_up {
                total_load += member.served_load;
                warm_size += member.size;
            }
            member.served_load *= if warming_up { 0.0 } else { 1.0 - 0.1 * window_fraction };
        }
        // The load that members can carry does not shrink when they are sent less, so their recent maximum
        // counts.
        let decayed_load = self.warm_load * (1.0 - 0.02 * window_fraction);
        self.warm_load = decayed_load.max(if warm_size > 0.0 { total_load / warm_size } else { 0.0 });
    }
}
