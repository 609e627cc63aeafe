//! Directives that a lease holder announces to all proxies, and the reports that proxies send to a lease holder.
//!
//! A [`Directive`] has a topic (a lease and a subject under it), a version (the term of the lease and a number that
//! rises within the term), a lifetime, and a body that is opaque to this crate. Each proxy keeps the highest version
//! of each topic in its [`DirectiveStore`], forwards directives that are new to it, and fetches those that it missed
//! by exchanging digests with other proxies. Directives that are not renewed expire. A [`Reporter`] limits the rate
//! at which a proxy sends reports; the lease holder keeps the newest report of each proxy on each topic in its
//! [`Reports`].
//!
//! This crate does no I/O and reads no clock. Callers pass `now` from a clock that also advances while the process
//! is stalled. A message that is read just after a stall may have waited for as long as the stall lasted; callers
//! pass that time as `age`.

#![warn(missing_docs)]

mod directive;
pub mod frame;
mod reporter;
mod reports;
mod store;

pub use directive::{DigestEntry, Directive, Topic, Version};
pub use reporter::{Report, Reporter};
pub use reports::{ReceivedReport, Reports};
pub use store::{DirectiveStore, KnownHolder, ReceiveOutcome};

/// An instant on the caller's clock or a duration, in whole microseconds.
pub type Micros = i64;

/// Term of a lease, which rises each time the lease is granted to another holder.
pub type Term = u64;

/// Interval at which a lease holder renews its directives.
pub const RENEWAL_INTERVAL: Micros = 2_000_000;
/// How long an issued directive stays in force unless it is renewed; it survives the loss of two renewals.
pub const DIRECTIVE_LIFETIME: Micros = 3 * RENEWAL_INTERVAL;
/// Interval at which a proxy sends a digest of its directives to one other proxy.
pub const DIGEST_INTERVAL: Micros = 1_000_000;
/// Number of other proxies that a new directive is forwarded to.
pub const FORWARD_FANOUT: usize = 3;
