//! Decides which site serves a request, and keeps account of requests that were forwarded between sites.
//!
//! A site is a set of members behind its own gateways. Every gateway runs one [`SiteRouter`], one level above the router
//! that chooses members within the site: it has a believed home site for each group, corrected by answers, searches the
//! other sites for a primary that has moved, and avoids gateways that fail for a while.
//!
//! # What goes in and what comes out
//!
//! The caller hands in requests ([`SiteRouter::accept`]), what happened to them at the local router and at other
//! gateways, and what other gateways announce. Each call brings `now` in microseconds and returns [`Actions`]: what to do
//! with which request, in that order, and when to call [`SiteRouter::wake`].
//!
//! Three accounts are kept of a forwarded request, so that no non-idempotent one runs twice:
//!
//! - the sender's, within [`SiteRouter`]: every request that it forwarded and whose outcome it does not know yet;
//! - the receiver's, in memory: [`OutcomeTable`], every request that this process accepted from other gateways;
//! - the receiver's, on disk: the caller writes [`records`] under a [`RecordingPromise`] and, after a restart, reads them
//!   into [`PreviousIncarnations`], which answers for processes that ran before this one.
//!
//! # Caller and assumptions
//!
//! The gateway part of the proxy's dispatcher is the only caller. It owns links, sockets, clock and disk; nothing here does
//! I/O, has a clock or keeps global state. The caller is assumed to carry out the actions in their order, to give each
//! gateway an index ([`PeerGatewayId`]) that never changes its meaning, and to bring a `now` that does not run backwards.
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
//! };
//! let mut router = SiteRouter::new(config, 1, 0);
//! // Group 7 has three members at this site, so a read of it stays here.
//! router.groups_listed(0, &[(7, 3)]);
//! let request = Request { class: 0, group: 7, timeout: 1_000_000, ..Request::default() };
//! let (handle, actions) = router.accept(0, request);
//! assert_eq!(actions.requests, [(handle, Action::ServeLocally { timeout: 1_000_000 })]);
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

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// A site, as an index that the caller gives out; [`LOCAL_SITE`] is this gateway's own.
pub type SiteId = usize;

/// The site of this gateway.
pub const LOCAL_SITE: SiteId = 0;

/// A gateway process at another site, as an index that the caller gives out. It stays when the process restarts.
pub type PeerGatewayId = usize;

/// Numbers the requests that this gateway forwards, rising from 1 over all other gateways. With the sender's [`Origin`] it
/// is the key by which a receiver tells a request from another copy of it.
pub type ForwardNumber = u64;

/// An instant before all others, for what has never happened. Half of the range, so that a difference does not overflow.
pub(crate) const NEVER: Micros = Micros::MIN / 2;
