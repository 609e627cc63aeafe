//! Types and constants shared with the callers of coordination: the time of a call, datagrams, and the decision
//! interval.

use aldermill_directives::Micros;

/// Interval at which lease holders make decisions and each proxy applies the directives in force, in microseconds.
pub const DECISION_INTERVAL: Micros = 1_000_000;

/// Time of a call to coordination, by two clocks.
#[derive(Clone, Copy)]
pub struct CallTime {
    /// Time in microseconds, by the clock that also advances while the process is stalled.
    pub now: Micros,
    /// Unix time in milliseconds, read from the wall clock at the start and advanced by the monotonic clock since.
    pub wall_clock_ms: u64,
}

/// A message to send to another proxy.
pub struct Datagram {
    /// Name of the receiving proxy.
    pub to: String,
    /// Encoded message, which the receiver passes to [`super::Coordination::receive`].
    pub payload: Vec<u8>,
}
