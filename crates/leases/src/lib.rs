//! Leases, each held by at most one process at a time.
//!
//! A lease has a name, a holder, a rising term and an expiry. Some named proxies, the voters, grant it for a
//! limited time to one of themselves. A grant needs a majority of the voters, but no log and no leader: the
//! protocol is PaxosLease as published (Trencseni, Gazso, Reinhardt, 2012), extended by a term that a
//! majority has seen.
//!
//! - [`Voter`]: keeps what one voter has promised and granted.
//! - [`Candidate`]: acquires, renews and releases one lease for one process.
//! - [`Participant`]: combines the voter and the candidates of one process for all leases.
//! - [`HeldLease`]: tells the holder whether it may act now.
//! - [`Fence`]: lets a receiver reject operations of a superseded holder.
//!
//! This crate does no I/O and reads no clock. Each call takes `now`, the time of a clock that never steps and
//! that keeps counting while the process is stalled or the machine is suspended. The protocol never compares
//! the clocks of different machines; it assumes only that their rates differ by at most one part in
//! [`CLOCK_DRIFT_DIVISOR`]. A new term is never below the Unix time in milliseconds (`wall_clock_ms`), so
//! that terms rise even if all voters lose their state at once. If the wall clocks have been set back in the
//! meantime, the processes that accepted operations under a higher term report that term to
//! [`Participant::observe_term`].

#![warn(missing_docs)]

mod actions;
mod candidate;
mod config;
mod fence;
pub mod frame;
mod held_lease;
mod message;
mod participant;
mod voter;

pub use actions::{Actions, LeaseChange, Outgoing};
pub use candidate::{Candidate, CandidateAction};
pub use config::{ConfigError, LeaseConfig};
pub use fence::{Fence, FenceDecision};
pub use held_lease::HeldLease;
pub use message::{Ballot, Incarnation, Message, OutstandingLease, Payload};
pub use participant::Participant;
pub use voter::{GrantedLease, Reply, Voter};

/// An instant on the caller's clock or a time span, in whole microseconds.
pub type Micros = i64;

/// The term of a lease: a number that rises with every grant to another holder and never falls; 0 stands for
/// none.
pub type Term = u64;

/// The rates of two clocks are assumed to differ by at most one part in this many. Physical clocks are a
/// thousand times more accurate; the clock of a migrated virtual machine is not.
pub const CLOCK_DRIFT_DIVISOR: Micros = 50;

/// Returns by how much two clocks may disagree after a time span, in microseconds.
///
/// A holder subtracts this margin from its lease, and a voter adds it to its silence after a start. That
/// protects the next holder from a holder whose clock is slow, and shortens every lease by as much.
#[must_use]
pub fn clock_margin(span: Micros) -> Micros {
    span.div_euclid(CLOCK_DRIFT_DIVISOR) + 1
}
