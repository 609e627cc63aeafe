//! Whether buffer space is short, and how quickly it is freed while it is.

use crate::buffer_budget::BufferBudget;
use crate::drain_rate::DrainRate;
use crate::{FlowLimits, Micros, PressureChange};

/// The overload state of the buffer budget. It has one level to enter and a lower one to leave, so that it does not flap.
#[derive(Debug)]
pub(crate) struct Pressure {
    active: bool,
    drain_rate: DrainRate,
}

impl Pressure {
    /// Not under pressure. Until it is measured, the whole budget is assumed to be freed within a second.
    pub(crate) fn new(budget: u64) -> Pressure {
        Pressure { active: false, drain_rate: DrainRate::assumed(budget, 0) }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Counts bytes of a reservation that was released, or made smaller.
    pub(crate) fn record_freed(&mut self, now: Micros, bytes: u64) {
        self.drain_rate.record_freed(now, bytes);
    }

    /// How long it takes to free this many bytes at the rate that was measured.
    pub(crate) fn time_to_free(&self, now: Micros, bytes: u64) -> Micros {
        self.drain_rate.time_to_free(now, bytes)
    }

    /// Enters or leaves the state; returns the change. What is freed without pressure says nothing of the rate under it,
    /// so the rate is assumed anew there.
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
