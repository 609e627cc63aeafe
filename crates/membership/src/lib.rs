//! Gossip-based membership: each proxy of a fleet learns from the others which proxies are alive.
//!
//! The protocol is SWIM with the local health extension of Lifeguard, on top of the `foca` crate. This crate adds the
//! identity of a proxy ([`Peer`]), the datagram format ([`frame`]), the way a new or isolated proxy discovers the
//! others, and the conclusions that a proxy may draw from what it knows ([`Snapshot`]).
//!
//! An *instance* is one run of the proxy process under a name. Instances of one name are ordered by their *start
//! number* ([`Peer::start`]).
//!
//! - Input: datagrams ([`Membership::receive`]), the passing of time ([`Membership::wake`]), and the end of a stall
//!   ([`Membership::resume_after_stall`]).
//! - Output: [`Actions`], which hold datagrams to send, membership changes, payloads of other crates, and the time of
//!   the next call.
//! - Caller: the membership actor of the proxy, which owns the socket and the clock. This crate does no I/O and reads no
//!   clock.
//! - Assumptions: `now` never steps back and excludes time in which the process was stalled or suspended, so that a
//!   proxy which did not run suspects nobody because of that time. Datagrams may be lost, duplicated, reordered or
//!   forged. There is no authentication, so a forged datagram with the right fleet tag and source network can mislead a
//!   proxy.
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
mod swim_config;
mod timer_queue;

pub use actions::{Actions, Change, DroppedDatagrams, OutgoingDatagram, ReceivedPayload};
pub use codec::{CodecError, GossipCodec};
pub use config::{Config, LocalPeer, ProtocolPeriods, SeedAddress};
pub use membership::Membership;
pub use peer::Peer;
pub use snapshot::Snapshot;

/// A point in time on the caller's clock, or a duration, in whole microseconds.
pub type Micros = i64;
