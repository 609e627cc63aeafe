//! Failover between zones, decided for the whole fleet.
//!
//! Each driver counts what became of its attempts by group and zone ([`ZoneHistory`]) and reports it. The holder of
//! the duty puts all reports together ([`Evidence`]), tells apart what is wrong with a zone ([`ZoneVerdict`]),
//! and keeps for each group and zone a level with how much of its traffic goes elsewhere, and where
//! ([`FailoverPlanner`]). What it decrees is a [`TrafficShift`]; a driver weighs by it the members that its own rules leave
//! open, and by nothing else.
//!
//! Traffic stays near while near serves in time. It moves in steps, never more than the others were measured to bear, and no
//! two zones are sent to each other at once. Nothing here does I/O or has a clock.

mod evidence;
pub mod frame;
mod history;
mod levels;

pub use evidence::{Evidence, ZoneVerdict, ZoneView};
pub use history::{OutcomeCounts, ReadOutcome, Row, ZoneHistory};
pub use levels::{FailoverLevel, FailoverPlanner, TrafficShift};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A group of members, and a zone by its place in the settings' list.
pub type Group = u64;
pub type Zone = usize;
