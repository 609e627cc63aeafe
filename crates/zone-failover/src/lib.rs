//! Failover of reads between zones, decided for the whole fleet.
//!
//! Reads stay in the proxy's own zone while that zone serves them in time. Otherwise they are shifted to other zones in
//! steps, limited by the capacity measured there, and two zones never shift reads to each other at the same time.
//!
//! # Steps
//!
//! 1. *Report.* Each proxy counts how its reads ended by group and zone ([`ZoneHistory`]) and sends a [`ZoneReport`].
//! 2. *Evidence.* The lease holder combines the reports of all proxies into a [`ZoneView`] of each group in each zone
//!    ([`Evidence`]). Reports of proxies that are themselves unhealthy are excluded.
//! 3. *Health.* Each view carries a [`ZoneHealth`], which says what is wrong with the zone, if anything.
//! 4. *Directive.* The [`FailoverPlanner`] keeps a [`FailoverLevel`] for each group in each zone and returns the
//!    [`ZoneDirective`]s to issue. A proxy uses the [`TrafficShift`] only to weight the members that its own rules
//!    allow; the shift has no other effect.
//!
//! # Callers
//!
//! The proxy's `coordination::zone_failover` sends the reports, runs steps 2 to 4 once a second while it holds the
//! lease `zones`, and issues and applies the directives. `docs/zones.md` has the tables of health states and levels.
//!
//! # Assumptions
//!
//! `now` is in whole microseconds, never decreases, and comes from a single clock for each object. Evaluation happens
//! about once a second, because the decay of measured capacities is counted in evaluations. The crate does no I/O,
//! reads no clock and has no global state.
//!
//! # Example
//!
//! ```
//! use std::collections::BTreeMap;
//! use aldermill_zone_failover::{Evidence, FailoverPlanner, ReadOutcome, ZoneHistory, ZoneReport};
//!
//! // Each proxy counts its reads and reports once a second.
//! let mut history = ZoneHistory::start(0);
//! history.record(7, 1, ReadOutcome::Served { in_time: true }, 20_000);
//! let recent = history.end_interval(1_000_000);
//! let report = ZoneReport { zone: 1, span: recent.span, rows: recent.rows };
//!
//! // The lease holder evaluates the received reports.
//! let received = ZoneReport::decode(&report.encode())?;
//! let mut evidence = Evidence::default();
//! evidence.evaluate(&BTreeMap::from([("n0".to_owned(), vec![received])]));
//! let directives = FailoverPlanner::default().decide(1_000_000, &evidence);
//! assert!(directives.is_empty(), "one read is not enough to act on");
//! # Ok::<(), aldermill_zone_failover::DecodeError>(())
//! ```

mod directive;
mod error;
mod evidence;
mod health;
mod history;
mod outliers;
mod planner;
mod report;
mod zone_state;

pub use directive::{FailoverLevel, TrafficShift, ZoneDirective, ZoneShare};
pub use error::DecodeError;
pub use evidence::{Evidence, ZoneView};
pub use health::ZoneHealth;
pub use history::{RecentReads, ZoneHistory};
pub use planner::FailoverPlanner;
pub use report::{MAX_ROWS, OutcomeCounts, ReadOutcome, ZoneReport, ZoneRow};

/// An instant on the caller's clock, or a duration, in whole microseconds.
pub type Micros = i64;

/// The number that identifies a group of members in statements and in the endpoint list.
pub type Group = u64;

/// The index of a zone in the list of zones in the settings.
pub type Zone = usize;

/// The members of one group in one zone, which is what a view, a health state and a directive apply to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupZone {
    /// The group.
    pub group: Group,
    /// The zone of its members.
    pub zone: Zone,
}

/// All of the traffic, in thousandths. Shares of traffic are integers from 0 to this value.
pub const ALL_TRAFFIC: u16 = 1000;
