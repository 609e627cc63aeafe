//! The limits on slow peers: the usual ones, changed by `slow_peers` of the operator's file.

use aldermill_flow_control::{Bounds, Least, Micros, PerAddress};
use aldermill_operator_config::{Rate, SlowPeers};

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
pub fn apply(usual: Bounds, wanted: &SlowPeers) -> Bounds {
    let room = wanted.room_kib.map_or(usual.room, |kib| kib.saturating_mul(KIB));
    // Parts that the file does not name keep their proportion.
    let scaled = |part: u64| (part as f64 / usual.room as f64 * room as f64) as u64;
    let share = |share: f64| (share.clamp(0.0, 1.0) * room as f64) as u64;
    Bounds {
        room,
        connection: wanted.connection_kib.map_or(scaled(usual.connection), |kib| kib.saturating_mul(KIB)),
        address: wanted.per_address.map(|most| PerAddress {
            connections: most.connections as usize,
            room: most.room_kib.saturating_mul(KIB),
        }),
        reserve: wanted.best_paid_share.map_or(scaled(usual.reserve), share),
        short: wanted.short.map_or((scaled(usual.short.0), scaled(usual.short.1)), |short| {
            (share(short.enter), share(short.leave))
        }),
        reading: least_rate(usual.reading, wanted.reading),
        sending: least_rate(usual.sending, wanted.sending),
        answering: least_rate(usual.answering, wanted.answering),
        taking: least_rate(usual.taking, wanted.taking),
        patience: wanted.patience_ms.map_or(usual.patience, micros),
        overdue: wanted.overdue_ms.map_or(usual.overdue, micros),
        lingering: wanted.lingering_ms.map_or(usual.lingering, micros),
        stopping: wanted.stopping_ms.map_or(usual.stopping, micros),
    }
}

/// Checks that one statement and one answer of full size, both in bytes, fit into the limits.
pub fn check(limits: &Bounds, statement: usize, answer: usize) -> Result<(), LimitTooLow> {
    limits.check(statement as u64, answer as u64).map_err(|(field, minimum)| match field {
        "per_address.connections" => LimitTooLow { field: "per_address.connections", minimum },
        "per_address.room" => LimitTooLow { field: "per_address.room_kib", minimum: minimum.div_ceil(KIB) },
        "connection" => LimitTooLow { field: "connection_kib", minimum: minimum.div_ceil(KIB) },
        _ => LimitTooLow { field: "room_kib", minimum: minimum.div_ceil(KIB) },
    })
}

fn least_rate(usual: Least, wanted: Rate) -> Least {
    Least {
        rate: wanted.bytes_a_second.map_or(usual.rate, |rate| rate.max(1)),
        start: wanted.start_ms.map_or(usual.start, micros),
        window: wanted.window_ms.map_or(usual.window, micros),
    }
}

fn micros(millis: u32) -> Micros {
    Micros::from(millis) * 1000
}
