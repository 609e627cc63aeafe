//! What candidates, lease holders and voters say to each other, and the names in it.

use crate::{Micros, Term};

/// One start of a proxy. Another start of the same name is another incarnation: it knows nothing of the leases that the
/// first one holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The proxy's name, unique in its fleet.
    pub name: String,
    /// Tells the starts of one proxy apart; later ones are higher.
    pub start: u64,
}

/// The number of one round of a candidate, unique among all candidates; the voters serve the highest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// Compared first.
    pub number: u64,
    /// Whose round it is; breaks ties.
    pub candidate: Incarnation,
}

/// A lease that a voter granted and that has not expired by the voter's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutstandingLease {
    /// The lease holder.
    pub holder: Incarnation,
    /// Time until it expires, from when the voter said so.
    pub remaining: Micros,
}

/// What is said of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A candidate asks voters to grant nothing to lower ballots from now on, and to say what they know.
    Prepare {
        /// The candidate's round.
        ballot: Ballot,
    },
    /// A voter agrees to a [`Payload::Prepare`].
    Promise {
        /// The round that it answers.
        ballot: Ballot,
        /// The highest term that the voter granted anybody.
        term: Term,
        /// The lease that the voter granted, if one has not expired.
        outstanding: Option<OutstandingLease>,
    },
    /// A candidate that heard of no other lease holder from a majority asks for the lease; a lease holder renews it.
    Propose {
        /// The round that the voters promised.
        ballot: Ballot,
        /// The term to grant.
        term: Term,
        /// For how long, from when the voter receives this.
        duration: Micros,
    },
    /// A voter grants what was proposed.
    Accept {
        /// The round that it answers.
        ballot: Ballot,
        /// The term granted.
        term: Term,
    },
    /// A voter has promised a higher ballot.
    Reject {
        /// The round that it answers.
        ballot: Ballot,
        /// The number of the ballot promised.
        promised: u64,
    },
    /// The lease holder gives the lease up before it expires.
    Release {
        /// The term that it held.
        term: Term,
    },
}

impl Payload {
    /// Whether voters act on it; the rest are answers, which candidates act on.
    #[must_use]
    pub fn is_for_voters(&self) -> bool {
        matches!(self, Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. })
    }
}

/// One message between two proxies about one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The lease's name.
    pub lease: String,
    /// What is said of it.
    pub payload: Payload,
}
