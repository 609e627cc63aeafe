//! What the books are told, and what they say.

use std::net::SocketAddr;

use crate::{Micros, Peer};

/// Times of the protocol, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolPeriods {
    /// One other driver is probed so often.
    pub period: Micros,
    /// A probe that is not answered by then goes by way of others.
    pub trip: Micros,
    /// Who is suspected and does not object is dead after so long.
    pub suspicion: Micros,
    /// News are passed on so often, where there are any.
    pub gossip: Micros,
}

impl ProtocolPeriods {
    /// As fits so many drivers on one site: news need about the logarithm of their number in rounds.
    pub fn for_fleet_of(drivers: usize) -> ProtocolPeriods {
        let rounds = (drivers.max(2) as f64).log10().max(1.0);
        let period = 1_000_000;
        let suspicion = (3.0 * rounds * period as f64) as Micros;
        ProtocolPeriods { period, trip: 300_000, suspicion, gossip: 200_000 }
    }
}

/// This driver, as it is told to the others.
#[derive(Clone, Debug)]
pub struct LocalPeer {
    /// Drivers of other fleets are not heard.
    pub fleet: String,
    pub name: String,
    pub address: SocketAddr,
    /// When it started, in microseconds of Unix time: later than any start before.
    pub start: u64,
}

/// Another driver, or only a place where one may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    pub name: Option<String>,
    pub address: SocketAddr,
}

/// Why datagrams were not taken, and how many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedDatagrams {
    /// From an address that the operator does not name.
    pub stranger: u64,
    pub not_ours: u64,
    pub version: u64,
    pub fleet: u64,
    /// Of our fleet, and not to be read, or meant for another start.
    pub unusable: u64,
}

/// What has become of others, or of this driver among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Up(Peer),
    Down(Peer),
    /// The name has a new start; the one before is gone.
    Restarted(Peer),
    /// The others took this one for dead; it is back under a new turn.
    Rejoined,
    /// A later start has this name, so that this one is silent from now on.
    Superseded(Peer),
}

/// What the caller is to do now, and when to wake the books again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    pub changes: Vec<Change>,
    /// What others said with [`crate::Membership::say`], and who.
    pub words: Vec<(Peer, Vec<u8>)>,
    pub wake_at: Option<Micros>,
}
