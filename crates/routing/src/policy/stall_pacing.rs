//! The pace of attempts after a stall of the process.

use super::concurrency_limit::GUARANTEED_FLEET_LIMIT;
use super::{MS, TICK};
use crate::Micros;

/// How long attempts are paced after a stall, in microseconds.
const PACING_DURATION: Micros = 2_000 * MS;
/// A stall that is no longer than this, in microseconds, leaves the pace as it is.
const MAX_UNPACED_STALL: Micros = 10 * TICK;
/// Attempts in a tick after a stall, as a multiple of the usual ones.
const PACE_FACTOR: f64 = 1.6;
/// The least number of attempts that a tick after a stall allows for.
const MIN_PACE: f64 = 0.2;
/// Unused attempts are saved up for at most this many ticks.
const MAX_SAVED_TICKS: f64 = 5.0;
/// The part by which one tick moves an average of attempts.
const SMOOTHING_FACTOR: f64 = 0.02;

/// Counts attempts by ticks, and allows for only so many after a stall.
///
/// Without it all processes of a fleet that stalled together, as in a suspended machine, send at once what waited
/// meanwhile. The cost: attempts that would have been in time wait.
#[derive(Clone)]
pub(crate) struct StallPacing {
    /// Attempts in a tick, as of late, while not paced.
    usual_attempts: f64,
    /// Attempts in this tick.
    attempted: f64,
    /// Until then attempts are paced.
    paced_until: Micros,
    /// Attempts that are allowed for, while paced.
    allowed: f64,
    /// Attempts in a tick, as of late, paced or not, from a careful start.
    recent_attempts: f64,
}

impl StallPacing {
    /// Not paced; `recent_attempts` in a tick are assumed until they are counted.
    pub(super) fn new(now: Micros, recent_attempts: f64) -> StallPacing {
        StallPacing {
            usual_attempts: GUARANTEED_FLEET_LIMIT,
            attempted: 0.0,
            paced_until: now,
            allowed: 0.0,
            recent_attempts,
        }
    }

    /// The process stalled for `stall` microseconds, until now.
    pub(super) fn record_stall(&mut self, now: Micros, stall: Micros) {
        self.allowed = 1.0;
        self.paced_until =
            self.paced_until.max(if stall > MAX_UNPACED_STALL { now + PACING_DURATION } else { 0 });
    }

    /// An attempt was sent.
    pub(super) fn record_attempt(&mut self) {
        self.attempted += 1.0;
        self.allowed -= 1.0;
    }

    /// An attempt could not leave this machine: it does not count.
    pub(super) fn undo_attempt(&mut self) {
        self.attempted -= 1.0;
        self.allowed += 1.0;
    }

    /// A tick ends: counts its attempts, and those that the next one allows for.
    pub(super) fn tick(&mut self, now: Micros) {
        if now >= self.paced_until {
            self.usual_attempts += (self.attempted - self.usual_attempts) * SMOOTHING_FACTOR;
        }
        self.recent_attempts += (self.attempted - self.recent_attempts) * SMOOTHING_FACTOR;
        let pace = (self.usual_attempts * PACE_FACTOR).max(MIN_PACE);
        self.attempted = 0.0;
        self.allowed = (self.allowed + pace).min((MAX_SAVED_TICKS * pace).max(1.0));
    }

    /// Whether attempts wait because those allowed for are used up.
    pub(super) fn blocks_attempts(&self, now: Micros) -> bool {
        now < self.paced_until && self.allowed < 1.0
    }

    /// Attempts in a tick, as of late.
    pub(super) fn recent_attempts(&self) -> f64 {
        self.recent_attempts
    }
}
