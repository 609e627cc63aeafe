//! Leases: at most one process at a time holds each of them.
//!
//! A lease has a name, a holder, a rising term and an expiry. Some named proxies, the voters, grant it to one of
//! themselves for a while by a majority, without a log and without a leader: PaxosLease as published (Trencseni, Gazso,
//! Reinhardt, 2012), with a term that a majority has seen.
//!
//! - [`Voter`]: what one voter promised and granted.
//! - [`Candidate`]: how one process gets a lease, renews it and releases it.
//! - [`Participant`]: both of them, for all leases of a process.
//! - [`HeldLease`]: whether its holder may act now.
//! - [`Fence`]: whether a receiver takes an act.
//!
//! Nothing here does I/O or has a clock. Each call brings `now` of a clock that counts stalls and suspension and never
//! steps. Clocks of different machines are never compared for leases; their rates may differ by one part in
//! [`CLOCK_DRIFT_DIVISOR`]. Terms start no lower than the Unix time in milliseconds (`wall_clock_ms`), so that they rise even if all
//! voters lost what they knew at once. If clocks went back between, whoever took acts of a higher term says so
//! ([`Participant::observe_term`]).

#![warn(missing_docs)]

mod candidate;
mod fence;
pub mod frame;
mod held_lease;
mod message;
mod participant;
mod voter;

pub use candidate::{Candidate, CandidateAction};
pub use fence::{Fence, FenceDecision};
pub use held_lease::HeldLease;
pub use message::{Ballot, Incarnation, Message, OutstandingLease, Payload};
pub use participant::{Actions, ConfigError, LeaseChange, LeaseConfig, Outgoing, Participant};
pub use voter::{GrantedLease, Reply, Voter};

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// Rises with every grant of a lease to another holder, and never falls.
pub type Term = u64;

/// The rates of two clocks differ by at most one part in this many. Real clocks are a thousand times better; that of a
/// virtual machine that was migrated is not.
pub const CLOCK_DRIFT_DIVISOR: Micros = 50;

/// How far two clocks may disagree on a span that long, in microseconds.
///
/// Guards the next lease holder from one whose clock is slow; costs a lease that is shorter by as much.
#[must_use]
pub fn clock_margin(span: Micros) -> Micros {
    span.div_euclid(CLOCK_DRIFT_DIVISOR) + 1
}
