//! Limits on slow peers: the defaults, overridden by `slow_peers` in the operator's file.

use aldermill_flow_control::{
    AddressLimits, FlowLimits, FlowLimitsError, Micros, MinimumRate, PressureThresholds,
};
use aldermill_operator_config::{MinimumRate as MinimumRateConfig, SlowPeersConfig};

/// Bytes in one KiB.
const KIB: u64 = 1024;

/// A limit in the operator's file that is too low for the proxy to serve requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitTooLow {
    /// Name of the field, relative to `slow_peers`.
    pub field: &'static str,
    /// Minimum value, in the unit of the field.
    pub minimum: u64,
}

/// Returns the limits of the operator's file, completed by the defaults.
pub fn apply(defaults: FlowLimits, config: &SlowPeersConfig) -> FlowLimits {
    let budget = config.room_kib.map_or(defaults.budget, |kib| kib.saturating_mul(KIB));
    // Limits that the file does not set keep their proportion to the budget.
    let scaled = |part: u64| (part as f64 / defaults.budget as f64 * budget as f64) as u64;
    let share = |fraction: f64| (fraction.clamp(0.0, 1.0) * budget as f64) as u64;
    FlowLimits {
        budget,
        per_connection: config
            .connection_kib
            .map_or(scaled(defaults.per_connection), |kib| kib.saturating_mul(KIB)),
        per_address: config.per_address.map(|limits| AddressLimits {
            connections: limits.connections as usize,
            budget: limits.room_kib.saturating_mul(KIB),
        }),
        priority_reserve: config.best_paid_share.map_or(scaled(defaults.priority_reserve), share),
        pressure: match config.short {
            Some(levels) => PressureThresholds { enter: share(levels.enter), leave: share(levels.leave) },
            None => PressureThresholds {
                enter: scaled(defaults.pressure.enter),
                leave: scaled(defaults.pressure.leave),
            },
        },
        to_client: minimum_rate(defaults.to_client, config.reading),
        from_client: minimum_rate(defaults.from_client, config.sending),
        from_member: minimum_rate(defaults.from_member, config.answering),
        to_member: minimum_rate(defaults.to_member, config.taking),
        reservation_timeout: config.patience_ms.map_or(defaults.reservation_timeout, micros),
        max_slow_time: config.overdue_ms.map_or(defaults.max_slow_time, micros),
        linger_timeout: config.lingering_ms.map_or(defaults.linger_timeout, micros),
        shutdown_grace: config.stopping_ms.map_or(defaults.shutdown_grace, micros),
    }
}

/// Checks that a statement and a response of these sizes, both in bytes, fit into the limits together.
pub fn check(limits: &FlowLimits, statement: usize, response: usize) -> Result<(), LimitTooLow> {
    limits.validate(statement as u64, response as u64).map_err(|error| match error {
        FlowLimitsError::ConnectionsPerAddress { minimum } => {
            LimitTooLow { field: "per_address.connections", minimum }
        }
        FlowLimitsError::PerAddress { minimum } => too_low_in_kib("per_address.room_kib", minimum),
        FlowLimitsError::PerConnection { minimum } => too_low_in_kib("connection_kib", minimum),
        FlowLimitsError::Budget { minimum } => too_low_in_kib("room_kib", minimum),
    })
}

/// Creates the error for a field in KiB from a minimum in bytes.
fn too_low_in_kib(field: &'static str, minimum: u64) -> LimitTooLow {
    LimitTooLow { field, minimum: minimum.div_ceil(KIB) }
}

fn minimum_rate(defaults: MinimumRate, config: MinimumRateConfig) -> MinimumRate {
    MinimumRate {
        bytes_per_second: config.bytes_a_second.map_or(defaults.bytes_per_second, |rate| rate.max(1)),
        start_allowance: config.start_ms.map_or(defaults.start_allowance, micros),
        pause_allowance: config.window_ms.map_or(defaults.pause_allowance, micros),
    }
}

fn micros(millis: u32) -> Micros {
    Micros::from(millis) * 1000
}
