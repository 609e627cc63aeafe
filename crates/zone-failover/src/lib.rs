//! Failover between zones, decided for the whole fleet.
//!
//! Each driver counts what became of its attempts by group and zone ([`Tally`]) and reports it. The holder of
//! the duty puts all reports together ([`Evidence`]), tells apart what is wrong with a zone ([`Finding`]),
//! and keeps for each group and zone a level with how much of its traffic goes elsewhere, and where
//! ([`Zones`]). What it decrees is a [`Lean`]; a driver weighs by it the members that its own rules leave
//! open, and by nothing else.
//!
//! Traffic stays near while near serves in time. It moves in steps, never more than the others were measured to bear, and no
//! two zones are sent to each other at once. Nothing here does I/O or has a clock.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod evidence;
pub mod frame;
mod levels;
mod tally;

pub use evidence::{Evidence, Finding, View};
pub use levels::{Lean, Level, Zones};
pub use tally::{End, Row, Seen, Tally};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A group of members, and a zone by its place in the settings' list.
pub type Group = u64;
pub type Zone = usize;
