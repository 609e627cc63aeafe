//! Directives: what a lease holder announces to all processes, and the reports that they send to it.
//!
//! A [`Directive`] has a topic (a lease, and a subject under it), a version (the term of the lease, and a number that
//! rises within the term), a lifetime, and a body that this package does not look into. Each process keeps the highest
//! version of each topic in its [`DirectiveStore`], forwards what is new to it, and fetches what it missed by comparing
//! digests with others. What is not renewed expires. A [`Reporter`] paces what a process has to report; the lease holder
//! keeps the newest report of each process in its [`Reports`].
//!
//! Nothing here does I/O or has a clock. `now` is the time of a clock that counts stalls. What is received just after a
//! stall may be as old as the stall was long: the caller passes that as `age`.

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

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;

/// Rises with every grant of a lease to another holder.
pub type Term = u64;

/// How often a lease holder renews its directives.
pub const RENEWAL_INTERVAL: Micros = 2_000_000;
/// For how long each of them is in force: two renewals may be lost.
pub const DIRECTIVE_LIFETIME: Micros = 3 * RENEWAL_INTERVAL;
/// How often a process compares what it knows with one other.
pub const DIGEST_INTERVAL: Micros = 1_000_000;
/// To how many others a new directive is forwarded.
pub const FORWARD_FANOUT: usize = 3;
