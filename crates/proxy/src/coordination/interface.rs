//! What a call to coordination brings, and what it leaves to be sent.

use aldermill_directives::Micros;

/// How often a lease holder decides, and each proxy looks at the directives in force.
pub const DECISION_INTERVAL: Micros = 1_000_000;

/// When a call is made.
#[derive(Clone, Copy)]
pub struct CallTime {
    /// By the clock that counts stalls, in microseconds.
    pub now: Micros,
    /// The Unix time in milliseconds, by the wall clock of the start and the monotonic clock since.
    pub wall_clock_ms: u64,
}

/// A message for another proxy.
pub struct Datagram {
    /// The other proxy's name.
    pub to: String,
    /// What its [`super::Coordination::receive`] takes.
    pub payload: Vec<u8>,
}
