//! The failover level of one group in one zone and the rules for changing it.

use std::collections::VecDeque;

use crate::{FailoverLevel, Micros, ZoneHealth};

/// The most changes of the level within [`CHANGE_WINDOW`]: one to fail over and one to begin failing back.
const MAX_CHANGES: usize = 2;
/// The window over which level changes are limited, in microseconds.
const CHANGE_WINDOW: Micros = 60_000_000;
/// How long a zone must be unreachable before it fails over, in microseconds. This is only two evaluations, because an
/// unreachable zone is recognized unambiguously at once.
const FAILOVER_DELAY: Micros = 1_000_000;
/// How long a zone must be overloaded before traffic spills over, in microseconds, so that a short burst shifts
/// nothing.
const SPILLOVER_DELAY: Micros = 3_000_000;
/// How long a zone must answer again before it fails back, in microseconds, to show that it remains reachable.
const FAILBACK_DELAY: Micros = 2_000_000;
/// The shortest time between steps of a spillover, in microseconds. It is the span of a report, so that the reads
/// served after a step confirm it before the next.
const SPILLOVER_STEP_INTERVAL: Micros = 2_000_000;
/// The shortest time between steps of failing back, in microseconds. It is shorter than [`SPILLOVER_STEP_INTERVAL`],
/// because the traffic returns to the zone that it belongs to.
const FAILBACK_STEP_INTERVAL: Micros = 1_000_000;
/// The share of traffic that one step shifts to other zones or returns from a spillover, in thousandths.
const SHIFT_STEP: u16 = 100;
/// The share of traffic that one step of failing back returns, in thousandths.
const FAILBACK_STEP: u16 = 200;
/// The share of traffic that is shifted away from an unreachable zone, in thousandths. A read that is not shifted gets
/// no answer there, and its proxy retries it elsewhere. When the zone returns, slow start limits the load on its cold
/// members while the other zones are overloaded; 950 was measured to be worse than no directive at all
/// (`docs/zones.md`, "What was tried and did not help").
const FAILED_OVER_SHIFT: u16 = 500;
/// The largest share of traffic that an overloaded zone shifts to other zones, in thousandths.
const MAX_SPILLOVER: u16 = 500;

/// The failover level of one group in one zone and the observations that it depends on.
#[derive(Clone, Debug)]
pub(crate) struct ZoneState {
    pub(crate) level: FailoverLevel,
    /// The share of traffic that should go to other zones, in thousandths.
    pub(crate) shifted_share: u16,
    /// The last health other than [`ZoneHealth::Unknown`]; `Unknown` only before the first.
    health: ZoneHealth,
    health_since: Micros,
    last_step: Micros,
    /// Times of the level changes within [`CHANGE_WINDOW`], oldest first. Older entries are removed at the next attempt
    /// to change the level.
    changes: VecDeque<Micros>,
}

impl ZoneState {
    pub(crate) fn start(now: Micros) -> ZoneState {
        ZoneState {
            level: FailoverLevel::Local,
            shifted_share: 0,
            health: ZoneHealth::Unknown,
            health_since: now,
            last_step: now,
            changes: VecDeque::new(),
        }
    }

    /// Takes over the level and share that an earlier lease holder directed. This counts as a level change at `now`,
    /// because the changes under that holder are unknown.
    pub(crate) fn resume(now: Micros, level: FailoverLevel, shifted_share: u16) -> ZoneState {
        let mut state = ZoneState { level, shifted_share, ..ZoneState::start(now) };
        state.changes.push_back(now);
        state
    }

    /// Returns whether the level changed within the last `span` microseconds.
    pub(crate) fn changed_within(&self, now: Micros, span: Micros) -> bool {
        self.changes.back().is_some_and(|&at| now - at <= span)
    }

    /// Records the observed health. [`ZoneHealth::Unknown`] changes nothing, because proxies stop trying a zone where
    /// no member answers.
    pub(crate) fn observe(&mut self, now: Micros, health: ZoneHealth) {
        if health != self.health && health != ZoneHealth::Unknown {
            self.health = health;
            self.health_since = now;
        }
    }

    /// Applies the table of levels once (`docs/zones.md`).
    pub(crate) fn step(&mut self, now: Micros) {
        let stable_for = now - self.health_since;
        if self.health == ZoneHealth::Unreachable {
            if self.level != FailoverLevel::FailedOver && stable_for >= FAILOVER_DELAY {
                self.change_level(now, FailoverLevel::FailedOver, FAILED_OVER_SHIFT);
            }
            return;
        }
        match self.level {
            FailoverLevel::Local => self.step_local(now, stable_for),
            FailoverLevel::Spillover => self.step_spillover(now, stable_for),
            FailoverLevel::FailedOver => self.step_failed_over(now, stable_for),
            FailoverLevel::FailingBack => self.step_failing_back(now),
        }
    }

    fn step_local(&mut self, now: Micros, stable_for: Micros) {
        if self.health == ZoneHealth::Overloaded && stable_for >= SPILLOVER_DELAY {
            self.change_level(now, FailoverLevel::Spillover, SHIFT_STEP);
        }
    }

    fn step_spillover(&mut self, now: Micros, stable_for: Micros) {
        if now - self.last_step < SPILLOVER_STEP_INTERVAL {
            return;
        }
        match self.health {
            ZoneHealth::Overloaded => self.shift_more(now, MAX_SPILLOVER),
            ZoneHealth::Healthy if stable_for >= SPILLOVER_STEP_INTERVAL => self.shift_less(now, SHIFT_STEP),
            _ => {}
        }
    }

    fn step_failed_over(&mut self, now: Micros, stable_for: Micros) {
        let answering = matches!(
            self.health,
            ZoneHealth::Healthy | ZoneHealth::Marginal | ZoneHealth::Overloaded | ZoneHealth::PartlyServed
        );
        if answering && stable_for >= FAILBACK_DELAY {
            self.change_level(now, FailoverLevel::FailingBack, FAILED_OVER_SHIFT - FAILBACK_STEP);
        }
    }

    fn step_failing_back(&mut self, now: Micros) {
        if now - self.last_step < FAILBACK_STEP_INTERVAL {
            return;
        }
        match self.health {
            ZoneHealth::Healthy | ZoneHealth::Marginal => self.shift_less(now, FAILBACK_STEP),
            ZoneHealth::Overloaded => self.shift_more(now, FAILED_OVER_SHIFT),
            _ => {}
        }
    }

    fn shift_more(&mut self, now: Micros, limit: u16) {
        self.shifted_share = (self.shifted_share + SHIFT_STEP).min(limit);
        self.last_step = now;
    }

    /// Returns up to `step` thousandths of the traffic to the zone. Once all of it has returned, the zone is local
    /// again. If the level may not change yet, nothing is shifted regardless.
    fn shift_less(&mut self, now: Micros, step: u16) {
        self.last_step = now;
        if self.shifted_share > step {
            self.shifted_share -= step;
        } else {
            self.shifted_share = 0;
            self.change_level(now, FailoverLevel::Local, 0);
        }
    }

    /// Changes the level unless it has changed [`MAX_CHANGES`] times within [`CHANGE_WINDOW`].
    ///
    /// Without this limit, traffic would follow a flapping zone, and each change would overload members and fail
    /// requests of clients. The cost is that a zone that becomes unreachable again within the minute does not fail
    /// over; each of its proxies then relies on its own observations.
    fn change_level(&mut self, now: Micros, level: FailoverLevel, shifted_share: u16) {
        self.changes.retain(|&at| now - at < CHANGE_WINDOW);
        if self.changes.len() < MAX_CHANGES {
            self.changes.push_back(now);
            self.level = level;
            self.shifted_share = shifted_share;
            self.last_step = now;
        }
    }
}
