use crate::{Micros, Term};

/// One start of a driver. Another start of the same name is another driver: it knows nothing of what the first one holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Driver {
    pub name: String,
    pub start: u64,
}

/// One attempt of a seeker; later ones of all seekers are higher, and no two are alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    pub count: u64,
    pub by: Driver,
}

/// A lease that a voter granted and that is not over by its clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    pub by: Driver,
    /// For how long still.
    pub left: Micros,
}

/// What seekers and voters say to each other of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Word {
    /// A seeker: grant nothing to lower ballots from now on, and say what you know.
    Prepare { ballot: Ballot },
    /// A voter: so be it. `term` is the highest that it granted anybody.
    Promise { ballot: Ballot, term: Term, held: Option<Held> },
    /// A seeker, who heard of no other holder from a majority: grant me this, for so long from when you hear it.
    Propose { ballot: Ballot, term: Term, lasts: Micros },
    /// A voter: granted.
    Accept { ballot: Ballot, term: Term },
    /// A voter: a higher ballot was promised, its count being this one.
    Refuse { ballot: Ballot, promised: u64 },
    /// Its holder needs it no longer.
    LayDown { term: Term },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Said {
    pub duty: String,
    pub word: Word,
}
