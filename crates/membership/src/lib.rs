//! Which drivers live, as each of them knows by gossip with the others.
//!
//! Membership is SWIM's, by the `foca` crate; what is our own here is who a driver is ([`Peer`]), what its datagrams
//! look like ([`frame`]), how patient it is with others when it is itself in doubt, and what it may conclude from what it
//! knows ([`Snapshot`]). [`Membership`] is asked with `now` on each call and returns what to send and what has changed. Nothing
//! here does I/O or has a clock.
//!
//! `now` is the time that the process has lived: a driver that stood still accuses nobody for what fell into that.

pub mod frame;
mod health;
mod interface;
mod membership;
mod peer;
mod snapshot;

pub use health::Health;
pub use interface::{Actions, Change, DroppedDatagrams, LocalPeer, ProtocolPeriods, SeedAddress};
pub use membership::Membership;
pub use peer::Peer;
pub use snapshot::{LiveCount, Snapshot};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;
