//! Takes a site out of service without losing requests.
//!
//! The sessions of a draining site move to other sites in steps. The site counts as drained only when no
//! proxy has any work left there.
//!
//! - [`OperatorCommand`]: starts, pauses, expedites or cancels the drain of a site.
//! - [`DrainReport`]: tells the lease holder once a second what a proxy's site serves and what work the proxy
//!   still has at draining sites.
//! - [`DrainCoordinator`]: decides on all drains while its proxy holds the lease. It returns a
//!   [`Plan`] for each draining site, which the proxy issues as a directive.
//! - [`SiteDrain`]: lowers the weight of one draining site in steps that fit the measured spare capacity of
//!   the other sites.
//! - [`CompletionCheck`]: decides when a site is drained. Every proxy that is alive must have reported under
//!   the current plan that it has no work left there, and every lost proxy must be past the time for which it
//!   could still act.
//! - [`FollowedPlans`]: keeps the plans that a proxy follows.
//! - [`SiteWeights`] and [`SessionPlacement`]: assign sessions to sites by weighted rendezvous hashing. While
//!   the weight of one site falls, each of its sessions moves at most once, and no session moves between
//!   other sites.
//!
//! The caller is the coordination actor of the proxy. This crate does no I/O and reads no clock: each call
//! takes `now`, the time of one clock of the caller in microseconds. The lease holder is expected to evaluate
//! its drains once a second.
//!
//! # Example
//!
//! ```
//! use aldermill_site_drain::SiteWeights;
//!
//! let weights = [("north", 1000), ("south", 1000)].map(|(site, weight)| (site.to_owned(), weight));
//! let weights = SiteWeights::new(weights).unwrap();
//! let site = weights.site_for("session 1", |_| false).unwrap();
//! // If that site is excluded, the session belongs to the other one.
//! assert_ne!(weights.site_for("session 1", |name| name == site), Some(site));
//! ```

#![warn(missing_docs)]

mod completion_check;
mod coordinator;
mod followed_plans;
mod load_measurement;
mod observations;
mod plan;
mod report;
mod site_drain;
mod site_weights;
mod wait_texts;

pub use completion_check::{CompletionCheck, RemainingWork};
pub use coordinator::DrainCoordinator;
pub use followed_plans::FollowedPlans;
pub use observations::{FleetObservations, SiteLoad};
pub use plan::{DirectiveVersion, MalformedPayload, OperatorCommand, Order, Plan, SessionPlacement, Stage};
pub use report::{DrainReport, DrainStatus, OpenWork, ReceivedReport};
pub use site_drain::{DrainState, SiteDrain, WaitReason};
pub use site_weights::{SiteWeights, WeightsError};

/// An instant on the caller's clock or a time span, in whole microseconds.
pub type Micros = i64;

/// The weight of a site that has all of its sessions. Weights and shares are in thousandths of it.
pub const FULL_WEIGHT: u32 = 1000;
