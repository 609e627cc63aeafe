//! Decides which site serves a request, and tracks the requests that are forwarded between sites.
//!
//! A site is a set of members behind its own gateways. Every gateway runs one [`SiteRouter`], one level above
//! the router that chooses members within the site. The site router keeps the believed home site of each
//! group and corrects it by the answers to requests, searches the other sites for a primary that has moved,
//! and blacklists failing gateways for a while.
//!
//! # Inputs and outputs
//!
//! The caller passes in new requests ([`SiteRouter::accept`]), what happened to them at the local router and
//! at other gateways, and the announcements of other gateways. Calls that depend on the time take `now` in
//! microseconds. Calls that can cause actions return [`Actions`]: what to do with which request, in order,
//! and when to call [`SiteRouter::wake`].
//!
//! The state of a forwarded request is kept in three places, so that no non-idempotent request runs twice:
//!
//! - at the sender, within [`SiteRouter`]: every forwarded request whose outcome is not known yet;
//! - at the receiver, in memory: [`OutcomeTable`], every request that this process accepted from other
//!   gateways;
//! - at the receiver, on disk: the caller writes [`records`] under a [`RecordingPromise`] and, after a
//!   restart, reads them into [`PreviousIncarnations`], which answers for earlier processes of this gateway.
//!
//! # Caller and assumptions
//!
//! The gateway part of the proxy's dispatcher is the only caller. It owns links, sockets, clock and disk;
//! this crate does no I/O, reads no clock and keeps no global state. The caller is assumed to carry out the
//! actions in order, to give each gateway an index ([`PeerGatewayId`]) that always refers to that gateway,
//! and to pass a `now` that never decreases.
//!
//! # Example
//!
//! ```
//! use aldermill_site_routing::{
//!     Action, Effect, LocalResult, Need, Request, RequestClass, SiteRouter, SiteRouterConfig,
//! };
//!
//! let reads = RequestClass {
//!     effect: Effect::Idempotent,
//!     need: Need::Any,
//!     objective: 400_000,
//!     priority_weight: 1.0,
//!     late_priority_weight: 0.5,
//! };
//! let config = SiteRouterConfig {
//!     classes: vec![reads],
//!     sites: 2,
//!     max_hops: 1,
//!     max_credit: 64,
//!     max_retry_after: 500_000,
//!     duplicate_attempts_allowed: false,
//! };
//! let mut router = SiteRouter::new(config, 1, 0);
//! // Group 7 has three members at this site, so its reads are served locally.
//! router.groups_listed(0, &[(7, 3)]);
//! let request = Request { class: 0, group: 7, timeout: 1_000_000, ..Request::default() };
//! let (handle, actions) = router.accept(0, request);
//! let serve = Action::ServeLocally { timeout: 1_000_000, earlier_attempt_age: None };
//! assert_eq!(actions.requests, [(handle, serve)]);
//!
//! let actions = router.local_finished(20_000, handle, LocalResult::Served);
//! assert_eq!(actions.requests, [(handle, Action::RelayResponse)]);
//! ```

#![warn(missing_docs)]

mod actions;
mod config;
mod forwarded_requests;
mod home_sites;
mod link_credit;
mod outcome_table;
mod peer_gateway;
mod peer_gateways;
mod pending_requests;
mod previous_incarnations;
mod primary_search;
mod recording_promise;
pub mod records;
mod request;
mod router;
mod session_assignment;
mod site_selection;
mod stored_promises;
mod transit;

pub use actions::{Action, Actions};
pub use config::{Effect, Need, RequestClass, SiteRouterConfig};
pub use forwarded_requests::{Conclusion, ForwardState};
pub use outcome_table::{NotAccepted, Origin, Outcome, OutcomeTable};
pub use peer_gateway::PeerGatewayView;
pub use pending_requests::RequestHandle;
pub use previous_incarnations::{PreviousIncarnations, RestoredCounts};
pub use recording_promise::{PromiseScope, RecordingPromise};
pub use request::{LocalResult, PeerAnswer, Request};
pub use router::{CapacityOffer, HomeView, SiteRouter};
pub use session_assignment::OpenWorkBySite;
pub use stored_promises::{BootId, BootInstant, PromiseEnd, PromiseRecord, StoredPromises};
pub use transit::{AnnouncementEcho, AnnouncementTimes, StatedTimes};

/// A time in whole microseconds: either an instant on the caller's clock or a duration.
pub type Micros = i64;

/// The index of a site, assigned by the caller; [`LOCAL_SITE`] is the site of this gateway.
pub type SiteId = usize;

/// The index of this gateway's own site.
pub const LOCAL_SITE: SiteId = 0;

/// The index of a gateway at another site, assigned by the caller; unchanged when the gateway restarts.
pub type PeerGatewayId = usize;

/// The number of a request that this gateway forwards: a single sequence from 1 for all receivers. Together
/// with the sender's [`Origin`] it is the key by which a receiver recognizes copies of the same request.
pub type ForwardNumber = u64;

/// Stands for the time of an event that has never happened: earlier than every real instant. Half of the
/// minimum, so that differences to real instants do not overflow.
pub(crate) const NEVER: Micros = Micros::MIN / 2;
