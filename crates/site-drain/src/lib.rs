//! Takes a site out of service without losing requests: its sessions move to other sites in steps, and it is said to be
//! drained only when nothing of it is left anywhere.
//!
//! An operator's [`OperatorCommand`] starts it. Every proxy reports once a second what its site serves and what it still has
//! of draining sites ([`DrainReport`]). The lease holder runs the [`DrainCoordinator`]: it lowers the weight of a draining
//! site in steps that the other sites were measured to bear ([`SiteDrain`]), and says that the site is drained once every
//! proxy that is alive has reported under the present plan that it has nothing left there, and those that are silent are
//! past all that they could still do ([`CompletionCheck`]). Its directives carry a [`Plan`] for each draining site, which
//! every proxy follows ([`FollowedPlans`]).
//!
//! Sessions belong to sites by weighted rendezvous hashing ([`SiteWeights`], [`SessionPlacement`]): while the weight of one
//! site falls, each of its sessions moves at most once, and none moves between the others.
//!
//! The proxy's coordination actor is the caller. Nothing here does I/O or has a clock: each call brings `now` in
//! microseconds of one clock of the caller, and the lease holder is assumed to evaluate once a second.
//!
//! # Example
//!
//! ```
//! use aldermill_site_drain::SiteWeights;
//!
//! let weights = [("north", 1000), ("south", 1000)].map(|(site, weight)| (site.to_owned(), weight));
//! let weights = SiteWeights::new(weights).unwrap();
//! let site = weights.site_for("session 1", |_| false).unwrap();
//! // Without that site the session belongs to the other one.
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

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// The weight of a whole site. Weights and shares are in thousandths of it.
pub const FULL_WEIGHT: u32 = 1000;
