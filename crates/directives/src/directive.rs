//! A directive, its topic and its version.

use crate::{Micros, Term};

/// What a directive or a report is about. The empty subject of a directive only says who holds the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Topic {
    /// The lease's name.
    pub lease: String,
    /// One of the subjects that are decided under the lease.
    pub subject: String,
}

impl Topic {
    /// The topic of this subject under this lease.
    #[must_use]
    pub fn new(lease: &str, subject: &str) -> Topic {
        Topic { lease: lease.to_owned(), subject: subject.to_owned() }
    }
}

/// A directive's place in the order of its topic: by term, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The term of the lease holder that issued it.
    pub term: Term,
    /// Rises with each directive on the topic within the term; 0 is below all that are issued.
    pub number: u64,
}

/// What a lease holder announces to all processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    /// What it is about.
    pub topic: Topic,
    /// Its place in the order of its topic.
    pub version: Version,
    /// The name of the lease holder.
    pub issuer: String,
    /// For how long it stays in force.
    pub remaining: Micros,
    /// What it says; opaque here, at most [`MAX_BODY_BYTES`](crate::frame::MAX_BODY_BYTES) bytes.
    pub body: Vec<u8>,
}

/// One topic of a digest: the version that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestEntry {
    /// The topic.
    pub topic: Topic,
    /// The highest version that the sender has in force.
    pub version: Version,
}
