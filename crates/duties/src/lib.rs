//! Duties that one driver holds at a time.
//!
//! A duty has a name, a holder, a rising term and an end. Some named drivers, the voters, grant it to one of themselves for
//! a while by a majority, without a log and without a leader: PaxosLease as published (Trencseni, Gazso, Reinhardt, 2012),
//! with a term that a majority has seen. [`Voter`] is what one voter promised and granted, [`Seeker`] how one gets a duty,
//! keeps it and gives it up, [`Agreement`] both of them for all duties of a driver. [`Tenure`] says whether its holder may
//! act now, [`Fence`] whether a receiver takes an act.
//!
//! Clocks: each call brings `now` of a clock that counts standstills and suspension and never steps. Clocks of different
//! machines are never compared for leases; they may run apart by [`DRIFT`]. Terms start no lower than the Unix time in
//! milliseconds (`wall`), so that they rise although all voters lost what they knew at once. Where clocks went back between,
//! whoever took acts of a higher term says so ([`Agreement::saw`]).

mod agreement;
mod fence;
pub mod frame;
mod seeker;
mod tenure;
mod voter;
mod words;

pub use agreement::{Agreement, Change, Terms, Todo, Unusable};
pub use fence::{Fence, Taken};
pub use seeker::{Move, Seeker};
pub use tenure::Tenure;
pub use voter::{Answer, Voter};
pub use words::{Ballot, Driver, Held, Said, Word};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Rises with every grant of a duty to another holder, and never falls.
pub type Term = u64;

/// One clock against another: a fiftieth. Real ones are a thousand times better; a virtual machine that was moved is not.
pub const DRIFT: Micros = 50;
