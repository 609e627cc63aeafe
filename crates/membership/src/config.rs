//! What a proxy's part in the fleet starts with.

use std::net::SocketAddr;

use ipnet::IpNet;

use crate::Micros;

/// What a proxy's part in the fleet starts with.
#[derive(Clone, Debug)]
pub struct Config {
    /// This proxy.
    pub local: LocalPeer,
    /// Where others may be found at first.
    pub seeds: Vec<SeedAddress>,
    /// The networks that others may send from.
    pub networks: Vec<IpNet>,
    /// How often the protocol acts, and how long it waits.
    pub periods: ProtocolPeriods,
    /// How many proxies the fleet is meant to have.
    pub fleet_size: usize,
}

/// Periods and timeouts of the protocol, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolPeriods {
    /// How often one other proxy is probed.
    pub probe_interval: Micros,
    /// How long an answer to a probe may take before others are asked to probe in its place.
    pub probe_timeout: Micros,
    /// How long a suspected proxy may take to object before it is declared dead.
    pub suspicion_timeout: Micros,
    /// How often changes are gossiped, while there are any.
    pub gossip_interval: Micros,
}

impl ProtocolPeriods {
    const PROBE_INTERVAL: Micros = 1_000_000;
    /// Far above a round trip within a site.
    const PROBE_TIMEOUT: Micros = 300_000;
    const GOSSIP_INTERVAL: Micros = 200_000;
    /// Probe intervals for each decade of the fleet's size that a suspected proxy has to object.
    const SUSPICION_FACTOR: f64 = 3.0;

    /// Periods for a fleet of that size on one site: a suspicion needs about the logarithm of the size, in rounds, to reach
    /// everybody.
    #[must_use]
    pub fn for_fleet_size(size: usize) -> ProtocolPeriods {
        let rounds = (size.max(2) as f64).log10().max(1.0);
        let suspicion_timeout = Self::SUSPICION_FACTOR * rounds * Self::PROBE_INTERVAL as f64;
        ProtocolPeriods {
            probe_interval: Self::PROBE_INTERVAL,
            probe_timeout: Self::PROBE_TIMEOUT,
            suspicion_timeout: suspicion_timeout as Micros,
            gossip_interval: Self::GOSSIP_INTERVAL,
        }
    }
}

/// This proxy, as it introduces itself to the others.
#[derive(Clone, Debug)]
pub struct LocalPeer {
    /// The fleet's name. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// This proxy's name, unique in the fleet; 64 bytes at most.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// When it started, in microseconds of Unix time: later than any earlier start under this name.
    pub start: u64,
}

/// Another proxy that the operator names, or only an address where one may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Its name. A proxy that is named is always sent to at this address, whatever it says of itself.
    pub name: Option<String>,
    /// Where it listens.
    pub address: SocketAddr,
}
