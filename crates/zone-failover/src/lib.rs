//! Failover of reads between zones, decided for the whole fleet.
//!
//! **Job.** Reads stay in the proxy's own zone while that zone serves them in time. They are shifted to other zones in
//! steps, never by more than those were measured to bear, and no two zones are sent to each other at once.
//!
//! **Steps**, each in the module of that name:
//!
//! 1. *Report.* Each proxy counts how its reads ended by group and zone ([`ZoneHistory`]) and sends a [`ZoneReport`].
//! 2. *Evidence.* The lease holder combines the reports of all proxies into a [`ZoneView`] of each group in each zone
//!    ([`Evidence`]), without those of proxies that are unhealthy themselves.
//! 3. *Verdict.* Each view carries a [`ZoneHealth`]: what is wrong with the zone, if anything.
//! 4. *Directive.* The [`FailoverPlanner`] keeps a [`FailoverLevel`] for each group in each zone, and returns the
//!    [`ZoneDirective`]s to be issued. A proxy weights by the [`TrafficShift`] the members that its own rules leave open,
//!    and nothing else.
//!
//! **Caller.** The proxy's `coordination::zone_failover` sends the reports, runs steps 2 to 4 once a second while it holds
//! the lease `zones`, and issues and obeys the directives. `docs/zones.md` has the tables of verdicts and levels.
//!
//! **Assumptions.** `now` never goes back, comes from one clock for each object, and is in whole microseconds. Evaluation
//! happens about once a second: the decay of measured capacities is counted in evaluations. Nothing here does I/O, has a
//! clock or keeps globals.
//!
//! ```
//! use std::collections::BTreeMap;
//! use aldermill_zone_failover::{Evidence, FailoverPlanner, ReadOutcome, ZoneHistory, ZoneReport};
//!
//! // At each proxy: count, and report once a second.
//! let mut history = ZoneHistory::start(0);
//! history.record(7, 1, ReadOutcome::Served { in_time: true }, 20_000);
//! let recent = history.end_interval(1_000_000);
//! let report = ZoneReport { zone: 1, span: recent.span, rows: recent.rows };
//!
//! // At the lease holder: evaluate what was received.
//! let received = ZoneReport::decode(&report.encode())?;
//! let mut evidence = Evidence::default();
//! evidence.evaluate(&BTreeMap::from([("n0".to_owned(), vec![received])]));
//! let directives = FailoverPlanner::default().decide(1_000_000, &evidence);
//! assert!(directives.is_empty(), "one read proves nothing");
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

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// A group of members, by the number that statements and the endpoint list name it by.
pub type Group = u64;

/// A zone, by its place in the settings' list.
pub type Zone = usize;

/// One group's members in one zone: what a view, a verdict and a directive are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupZone {
    /// The group.
    pub group: Group,
    /// The zone of its members.
    pub zone: Zone,
}

/// Shares of traffic are in thousandths; this many are all of it.
pub const ALL_TRAFFIC: u16 = 1000;
