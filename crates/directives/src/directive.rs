//! The [`Directive`] type, with its topic, its version and the digest entry that summarizes it.

use crate::{Micros, Term};

/// The subject of a directive or a report, under the lease that covers it.
///
/// A directive with an empty subject carries no decision; it only names the lease holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Topic {
    /// Name of the lease.
    pub lease: String,
    /// One of the subjects that the lease holder decides on; empty to only name the holder.
    pub subject: String,
}

impl Topic {
    /// Returns the topic `subject` under `lease`.
    #[must_use]
    pub fn new(lease: &str, subject: &str) -> Topic {
        Topic { lease: lease.to_owned(), subject: subject.to_owned() }
    }
}

/// Orders the directives on one topic: by term first, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Term under which the issuer held the lease.
    pub term: Term,
    /// Number within the term, rising with each directive on the topic. Issued directives start at 1; 0 is below
    /// all of them.
    pub number: u64,
}

/// A decision that a lease holder announces to all proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// Topic that the directive decides on.
    pub topic: Topic,
    /// Position in the order of the directives on its topic.
    pub version: Version,
    /// Name of the lease holder that issued the directive.
    pub issuer: String,
    /// Remaining lifetime, in microseconds.
    pub remaining: Micros,
    /// Content of the directive; opaque to this crate, at most
    /// [`MAX_BODY_BYTES`](crate::frame::MAX_BODY_BYTES) bytes.
    pub body: Vec<u8>,
}

/// One topic in a digest, with the version that the sender of the digest knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// Topic that the version belongs to.
    pub topic: Topic,
    /// Highest version that the sender has in force, or one with number 0 that only states the highest known term.
    pub version: Version,
}
