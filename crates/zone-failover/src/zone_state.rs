//! The failover level of one group in one zone, and when it may change.

use std::collections::VecDeque;

use crate::{FailoverLevel, Micros, ZoneHealth};

/// How often the level may change within [`CHANGE_WINDOW`]: once to fail over, once to start back.
const MAX_CHANGES: usize = 2;
/// The span that changes are limited in, in microseconds.
const CHANGE_WINDOW: Micros = 60_000_000;
/// For how long a zone has to be unreachable before it is failed over, in microseconds: two evaluations, as this is plain
/// at once.
const FAILOVER_DELAY: Micros = 1_000_000;
/// For how long a zone has to be overloaded before a part spills over, in microseconds: a short burst moves nothing.
const SPILLOVER_DELAY: Micros = 3_000_000;
/// For how long a zone has to answer again before it takes traffic back, in microseconds: it shows that it stays.
const FAILBACK_DELAY: Micros = 2_000_000;
/// How long a step of spilling over waits for what was served to confirm it, in microseconds: the span of a report.
const SPILLOVER_STEP_INTERVAL: Micros = 2_000_000;
/// The same for a step of failing back, in microseconds. Shorter, as the traffic returns to where it belongs.
const FAILBACK_STEP_INTERVAL: Micros = 1_000_000;
/// By how much traffic is shifted at a time, in thousandths.
const SHIFT_STEP: u16 = 100;
/// By how much traffic is taken back at a time while failing back, in thousandths.
const FAILBACK_STEP: u16 = 200;
/// What is shifted from a failed zone, in thousandths. A read that is not shifted finds nobody there, and its proxy retries
/// elsewhere by itself. When the zone is back, slow start spares its cold members while the others are overloaded: 950 was
/// measured to be worse than no directive at all (docs/zones.md, "What was tried and did not help").
const FAILED_OVER_SHIFT: u16 = 500;
/// The most that an overloaded zone shifts, in thousandths.
const MAX_SPILLOVER: u16 = 500;

/// The level of one group in one zone, and what it follows from.
#[derive(Clone, Debug)]
pub(crate) struct ZoneState {
    pub(crate) level: FailoverLevel,
    /// How much should go to other zones, in thousandths.
    pub(crate) shifted_share: u16,
    /// The last verdict that was not [`ZoneHealth::Unknown`].
    health: ZoneHealth,
    health_since: Micros,
    last_step: Micros,
    /// When the level changed within the last minute, oldest first.
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

    /// Continues what an earlier lease holder directed, as if the level had just changed: that holder's changes are not
    /// known.
    pub(crate) fn resume(now: Micros, level: FailoverLevel, shifted_share: u16) -> ZoneState {
        let mut state = ZoneState { level, shifted_share, ..ZoneState::start(now) };
        state.changes.push_back(now);
        state
    }

    /// Whether the level changed within this span.
    pub(crate) fn changed_within(&self, now: Micros, span: Micros) -> bool {
        self.changes.back().is_some_and(|&at| now - at <= span)
    }

    /// Takes in a verdict. An unknown one changes nothing: nobody tries a zone where nobody answers.
    pub(crate) fn observe(&mut self, now: Micros, health: ZoneHealth) {
        if health != self.health && health != ZoneHealth::Unknown {
            self.health = health;
            self.health_since = now;
        }
    }

    /// Applies the table of levels once (docs/zones.md).
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

    /// Returns traffic to the zone. Once all of it is back the zone is local again; where the level may not change yet,
    /// nothing is shifted all the same.
    fn shift_less(&mut self, now: Micros, step: u16) {
        self.last_step = now;
        if self.shifted_share > step {
            self.shifted_share -= step;
        } else {
            self.shifted_share = 0;
            self.change_level(now, FailoverLevel::Local, 0);
        }
    }

    /// Changes the level, unless it changed too often of late.
    ///
    /// Without the limit traffic would follow a flapping zone, and each turn would overload members and fail clients. The
    /// cost: a zone that is lost again within the minute is not failed over; its proxies then go by what each observes.
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
