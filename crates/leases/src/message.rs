//! Messages between candidates, holders and voters, and the types that they contain.

use crate::{Micros, Term};

/// One start of a proxy.
///
/// Another start of the same name is another incarnation, which knows nothing of the leases that the first
/// one holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The name of the proxy, unique in its fleet.
    pub name: String,
    /// Distinguishes the starts of one proxy; a later start has a higher number.
    pub start: u64,
}

/// Identifies one round of a candidate, unique among all candidates. Voters serve the highest ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// The number of the round, compared before the candidate.
    pub number: u64,
    /// The candidate whose round it is; breaks ties between equal numbers.
    pub candidate: Incarnation,
}

/// A lease that a voter has granted and that has not expired by the voter's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutstandingLease {
    /// The process to which the lease was granted.
    pub holder: Incarnation,
    /// The time until the lease expires, in microseconds, counted from when the voter sent the message.
    pub remaining: Micros,
}

/// The content of a message about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A candidate asks the voters to grant nothing to lower ballots from now on, and to report what they
    /// have granted.
    Prepare {
        /// The candidate's round.
        ballot: Ballot,
    },
    /// A voter agrees to a [`Payload::Prepare`].
    Promise {
        /// The round that the voter replies to.
        ballot: Ballot,
        /// The highest term that the voter knows to have been granted to any process, 0 if it knows of none.
        term: Term,
        /// The lease that the voter has granted, `None` if there is none or it has expired.
        outstanding: Option<OutstandingLease>,
    },
    /// A candidate requests the lease after a majority has reported no other holder, or a holder renews its
    /// lease.
    Propose {
        /// The round that the voters have promised.
        ballot: Ballot,
        /// The term to grant.
        term: Term,
        /// The duration of the lease in microseconds, counted from when the voter receives the message.
        duration: Micros,
    },
    /// A voter grants a [`Payload::Propose`].
    Accept {
        /// The round that the voter replies to.
        ballot: Ballot,
        /// The term that was granted.
        term: Term,
    },
    /// A voter refuses a ballot because it has promised a higher one.
    Reject {
        /// The round that the voter replies to.
        ballot: Ballot,
        /// The number of the ballot that the voter has promised.
        promised: u64,
    },
    /// The holder gives the lease up before it expires.
    Release {
        /// The term under which the sender held the lease.
        term: Term,
    },
}

impl Payload {
    /// Returns whether voters handle this message; candidates handle all others, which are replies of voters.
    #[must_use]
    pub fn is_for_voters(&self) -> bool {
        matches!(self, Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. })
    }
}

/// A message between two proxies about one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The name of the lease.
    pub lease: String,
    /// The content of the message.
    pub payload: Payload,
}
