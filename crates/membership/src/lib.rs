//! Which proxies of a fleet are alive, as each of them learns by gossip with the others.
//!
//! The protocol is SWIM with Lifeguard's local health, by the `foca` crate. This package adds who a proxy is ([`Peer`]),
//! the form of the datagrams ([`frame`]), how an isolated or new proxy finds the others, and what a proxy may conclude
//! from what it knows ([`Snapshot`]).
//!
//! - Input: datagrams ([`Membership::receive`]), the passing of time ([`Membership::wake`]), and the end of a stall
//!   ([`Membership::resume_after_stall`]).
//! - Output: [`Actions`], which are datagrams to send, changes of the membership, payloads of other packages, and when to
//!   call again.
//! - Caller: the proxy's membership actor, which owns the socket and the clock. Nothing here does I/O or reads a clock.
//! - Assumptions: `now` never steps back and does not count time in which the process was stalled or suspended, so that a
//!   proxy which did not run accuses nobody for that time. Datagrams may be lost, duplicated, reordered or forged; a
//!   forged one of the right fleet and network can mislead, as there is no authentication.
//!
//! ```
//! use aldermill_membership::{Config, LocalPeer, Membership, ProtocolPeriods, SeedAddress};
//!
//! let config = Config {
//!     local: LocalPeer {
//!         fleet: "shop".to_owned(),
//!         name: "proxy-1".to_owned(),
//!         address: "10.0.0.1:7946".parse()?,
//!         start: 1_700_000_000_000_000,
//!     },
//!     seeds: vec![SeedAddress { name: None, address: "10.0.0.2:7946".parse()? }],
//!     networks: vec!["10.0.0.0/8".parse()?],
//!     periods: ProtocolPeriods::for_fleet_size(2),
//!     fleet_size: 2,
//! };
//! let (membership, actions) = Membership::start(0, config, 7);
//! assert_eq!(actions.send[0].to, "10.0.0.2:7946".parse()?);
//! assert_eq!(membership.snapshot(0).alive, 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![warn(missing_docs)]

mod actions;
mod catch_up;
mod codec;
mod config;
pub mod frame;
mod live_count;
mod local_health;
mod membership;
mod peer;
mod seeds;
mod snapshot;
mod start_number;
mod timer_queue;

pub use actions::{Actions, Change, DroppedDatagrams, OutgoingDatagram, ReceivedPayload};
pub use codec::{CodecError, GossipCodec};
pub use config::{Config, LocalPeer, ProtocolPeriods, SeedAddress};
pub use membership::Membership;
pub use peer::Peer;
pub use snapshot::Snapshot;

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;
