//! Duties that one driver holds at a time.
//!
//! A duty has a name, a holder, a rising term and an end. Some named drivers, the voters, agree on who holds it; how they
//! agree (a log of orders that a majority has) is not in here. What is: what an agreed order makes of the duties
//! ([`Grants`]), how long a lease that was granted may be out ([`Warden`]), whether its holder may act now ([`Tenure`]),
//! whether a receiver takes an act ([`Fence`]), who may vote ([`Voters`]), and whom a duty goes to ([`Candidates`]).
//!
//! Clocks: each call brings `now` of a clock that counts standstills and suspension and never steps. Clocks of different
//! machines are never compared; they may run apart by [`DRIFT`].

mod candidates;
mod fence;
mod grants;
mod tenure;
mod voters;
mod warden;

pub use candidates::Candidates;
pub use fence::{Fence, Taken};
pub use grants::{Grant, Grants, Order, Outcome};
pub use tenure::Tenure;
pub use voters::{Standing, Voters};
pub use warden::{Free, Warden};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Rises with every grant of a duty to another holder, and never falls.
pub type Term = u64;

/// One clock against another: a fiftieth. Real ones are a thousand times better; a virtual machine that was moved is not.
pub const DRIFT: Micros = 50;
