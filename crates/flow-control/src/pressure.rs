//! Tracks whether buffer space is short, and how quickly it is freed while it is.

use crate::buffer_budget::BufferBudget;
use crate::drain_rate::DrainRate;
use crate::{FlowLimits, Micros, PressureChange};

/// Whether the buffer budget is under pressure, i.e. buffer space is short. Pressure ends at a lower threshold than
/// the one at which it starts, to avoid flapping.
#[derive(Debug)]
pub(crate) struct Pressure {
    active: bool,
    drain_rate: DrainRate,
}

impl Pressure {
    /// Creates a state without pressure. Until the drain rate is measured, the whole budget is assumed to be freed
    /// within a second.
    pub(crate) fn new(budget: u64) -> Pressure {
        Pressure { active: false, drain_rate: DrainRate::assumed(budget, 0) }
    }

    /// Whether buffer space is short.
    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Records bytes that were freed by releasing or shrinking a reservation.
    pub(crate) fn record_freed(&mut self, now: Micros, bytes: u64) {
        self.drain_rate.record_freed(now, bytes);
    }

    /// Time that it takes to free this many bytes at the measured rate.
    pub(crate) fn time_to_free(&self, now: Micros, bytes: u64) -> Micros {
        self.drain_rate.time_to_free(now, bytes)
    }

    /// Starts or ends the pressure state and returns the change, if any. The rate at which space is freed without
    /// pressure says nothing about the rate under pressure, so without pressure the drain rate is reset to the
    /// assumed one.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        limits: &FlowLimits,
        budget: &BufferBudget,
    ) -> Option<PressureChange> {
        let used = budget.used();
        let active = if self.active {
            used >= limits.pressure.leave || budget.has_waiting()
        } else {
            used > limits.pressure.enter
        };
        if !active {
            self.drain_rate = DrainRate::assumed(limits.budget, now);
        }
        let changed = active != self.active;
        self.active = active;
        changed.then(|| PressureChange { under_pressure: active, used, waiting: budget.waiting().count() })
    }
}
