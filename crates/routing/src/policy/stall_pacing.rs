//! Pacing of attempts after a stall of the process.

use super::concurrency_limit::GUARANTEED_FLEET_LIMIT;
use super::{MS, TICK};
use crate::Micros;

/// Time for which attempts are paced after a stall, in microseconds.
const PACING_DURATION: Micros = 2_000 * MS;
/// Longest stall, in microseconds, that neither starts nor prolongs pacing.
const MAX_UNPACED_STALL: Micros = 10 * TICK;
/// Attempts allowed per tick after a stall, as a multiple of the usual number.
const PACE_FACTOR: f64 = 1.6;
/// Minimum number of attempts allowed per tick after a stall.
const MIN_PACE: f64 = 0.2;
/// Maximum number of ticks for which unused attempts are saved up.
const MAX_SAVED_TICKS: f64 = 5.0;
/// Weight of one tick in the moving averages of attempts.
const SMOOTHING_FACTOR: f64 = 0.02;

/// Counts attempts per tick, and limits them after a stall.
///
/// Without this limit, all processes of a fleet that stalled together, as in a suspended machine, would send
/// at once what waited in the meantime. The cost: attempts that would have been in time have to wait.
#[derive(Clone)]
pub(crate) struct StallPacing {
    /// Moving average of attempts per tick while they are not paced.
    usual_attempts: f64,
    /// Attempts in the current tick.
    attempted: f64,
    /// Time until which attempts are paced.
    paced_until: Micros,
    /// Attempts that are still allowed while they are paced.
    allowed: f64,
    /// Moving average of attempts per tick, paced or not, from a conservative initial value.
    recent_attempts: f64,
}

impl StallPacing {
    /// Creates an instance that is not pacing. `recent_attempts` per tick are assumed until attempts are
    /// counted.
    pub(super) fn new(now: Micros, recent_attempts: f64) -> StallPacing {
        StallPacing {
            usual_attempts: GUARANTEED_FLEET_LIMIT,
            attempted: 0.0,
            paced_until: now,
            allowed: 0.0,
            recent_attempts,
        }
    }

    /// Records that the process stalled for `stall` microseconds, until now.
    pub(super) fn record_stall(&mut self, now: Micros, stall: Micros) {
        self.allowed = 1.0;
        self.paced_until =
            self.paced_until.max(if stall > MAX_UNPACED_STALL { now + PACING_DURATION } else { 0 });
    }

    /// Counts an attempt that was sent.
    pub(super) fn record_attempt(&mut self) {
        self.attempted += 1.0;
        self.allowed -= 1.0;
    }

    /// Reverts the count of an attempt that could not be sent from this machine.
    pub(super) fn undo_attempt(&mut self) {
        self.attempted -= 1.0;
        self.allowed += 1.0;
    }

    /// Ends a tick: updates the averages by its attempts, and adds the attempts allowed in the next tick.
    pub(super) fn tick(&mut self, now: Micros) {
        if now >= self.paced_until {
            self.usual_attempts += (self.attempted - self.usual_attempts) * SMOOTHING_FACTOR;
        }
        self.recent_attempts += (self.attempted - self.recent_attempts) * SMOOTHING_FACTOR;
        let pace = (self.usual_attempts * PACE_FACTOR).max(MIN_PACE);
        self.attempted = 0.0;
        self.allowed = (self.allowed + pace).min((MAX_SAVED_TICKS * pace).max(1.0));
    }

    /// Returns whether attempts have to wait because the allowed ones are used up.
    pub(super) fn blocks_attempts(&self, now: Micros) -> bool {
        now < self.paced_until && self.allowed < 1.0
    }

    /// Returns the moving average of attempts per tick, paced or not.
    pub(super) fn recent_attempts(&self) -> f64 {
        self.recent_attempts
    }
}
