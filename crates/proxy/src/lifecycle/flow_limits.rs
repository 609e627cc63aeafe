//! The limits on slow peers: the usual ones, changed by `slow_peers` of the operator's file.

use aldermill_flow_control::{
    AddressLimits, FlowLimits, FlowLimitsError, Micros, MinimumRate, PressureThresholds,
};
use aldermill_operator_config::{MinimumRate as WantedRate, SlowPeersConfig};

const KIB: u64 = 1024;

/// A limit of the operator's file that is too low to serve with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitTooLow {
    /// The field below `slow_peers`.
    pub field: &'static str,
    /// The least value, in the field's own unit.
    pub minimum: u64,
}

/// The usual limits, but for what the operator's file says otherwise.
pub fn apply(usual: FlowLimits, wanted: &SlowPeersConfig) -> FlowLimits {
    let budget = wanted.room_kib.map_or(usual.budget, |kib| kib.saturating_mul(KIB));
    // Parts that the file does not name keep their proportion.
    let scaled = |part: u64| (part as f64 / usual.budget as f64 * budget as f64) as u64;
    let share = |share: f64| (share.clamp(0.0, 1.0) * budget as f64) as u64;
    FlowLimits {
        budget,
        per_connection: wanted
            .connection_kib
            .map_or(scaled(usual.per_connection), |kib| kib.saturating_mul(KIB)),
        per_address: wanted.per_address.map(|most| AddressLimits {
            connections: most.connections as usize,
            budget: most.room_kib.saturating_mul(KIB),
        }),
        priority_reserve: wanted.best_paid_share.map_or(scaled(usual.priority_reserve), share),
        pressure: match wanted.short {
            Some(short) => PressureThresholds { enter: share(short.enter), leave: share(short.leave) },
            None => PressureThresholds {
                enter: scaled(usual.pressure.enter),
                leave: scaled(usual.pressure.leave),
            },
        },
        to_client: minimum_rate(usual.to_client, wanted.reading),
        from_client: minimum_rate(usual.from_client, wanted.sending),
        from_member: minimum_rate(usual.from_member, wanted.answering),
        to_member: minimum_rate(usual.to_member, wanted.taking),
        reservation_timeout: wanted.patience_ms.map_or(usual.reservation_timeout, micros),
        max_slow_time: wanted.overdue_ms.map_or(usual.max_slow_time, micros),
        linger_timeout: wanted.lingering_ms.map_or(usual.linger_timeout, micros),
        shutdown_grace: wanted.stopping_ms.map_or(usual.shutdown_grace, micros),
    }
}

/// Checks that one statement and one answer of full size, both in bytes, fit into the limits.
pub fn check(limits: &FlowLimits, statement: usize, response: usize) -> Result<(), LimitTooLow> {
    limits.validate(statement as u64, response as u64).map_err(|error| match error {
        FlowLimitsError::ConnectionsPerAddress { minimum } => {
            LimitTooLow { field: "per_address.connections", minimum }
        }
        FlowLimitsError::PerAddress { minimum } => in_kib("per_address.room_kib", minimum),
        FlowLimitsError::PerConnection { minimum } => in_kib("connection_kib", minimum),
        FlowLimitsError::Budget { minimum } => in_kib("room_kib", minimum),
    })
}

fn in_kib(field: &'static str, minimum: u64) -> LimitTooLow {
    LimitTooLow { field, minimum: minimum.div_ceil(KIB) }
}

fn minimum_rate(usual: MinimumRate, wanted: WantedRate) -> MinimumRate {
    MinimumRate {
        bytes_per_second: wanted.bytes_a_second.map_or(usual.bytes_per_second, |rate| rate.max(1)),
        start_allowance: wanted.start_ms.map_or(usual.start_allowance, micros),
        pause_allowance: wanted.window_ms.map_or(usual.pause_allowance, micros),
    }
}

fn micros(millis: u32) -> Micros {
    Micros::from(millis) * 1000
}
