//! What the holder of a duty says to all drivers, and what they report to it.
//!
//! A [`Decree`] has a duty and a subject, the term of its holder, a number that rises within the term, a life, and a body that
//! this package does not look into. Each driver keeps the highest of each subject in its [`Book`], passes on what is news to
//! it, and makes good what it missed by comparing digests with others. What is not renewed runs out. A [`Reporter`] sends what
//! a driver has to report, one datagram at a time; the holder keeps the newest of each driver in its [`Ledger`].
//!
//! `now` is the time of a clock that counts standstills. What is read just after one may be as old as the standstill was long:
//! the caller brings that as `age`. Nothing here does I/O or has a clock.

mod book;
pub mod frame;
mod ledger;

pub use book::{Book, Entry, Heard, Place};
pub use ledger::{Ledger, Report, Reporter};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Rises with every grant of a duty to another holder.
pub type Term = u64;

/// What a decree is about: a duty, and one of its subjects. The empty subject only says who holds the duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct About {
    pub duty: String,
    pub subject: String,
}

impl About {
    pub fn new(duty: &str, subject: &str) -> About {
        About { duty: duty.to_owned(), subject: subject.to_owned() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decree {
    pub about: About,
    pub term: Term,
    pub number: u64,
    /// Who holds the duty under this term.
    pub by: String,
    /// For how long it is in force still.
    pub left: Micros,
    pub body: Vec<u8>,
}

/// How often the holder of a duty says its decrees anew, and how long each is in force.
pub const EVERY: Micros = 2_000_000;
pub const LASTS: Micros = 3 * EVERY;
/// How often a driver compares what it knows with one other.
pub const COMPARED: Micros = 1_000_000;
/// To how many others news is passed on.
pub const FANOUT: usize = 3;
