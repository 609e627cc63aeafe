//! Configuration of a proxy's membership in its fleet.

use std::net::SocketAddr;

use ipnet::IpNet;

use crate::Micros;

/// Configuration of a proxy's membership in its fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this proxy.
    pub local: LocalPeer,
    /// Addresses at which this proxy first looks for others.
    pub seeds: Vec<SeedAddress>,
    /// Networks from which datagrams are accepted.
    pub networks: Vec<IpNet>,
    /// Intervals and timeouts of the protocol.
    pub periods: ProtocolPeriods,
    /// Intended number of proxies in the fleet, this one included.
    pub fleet_size: usize,
}

/// Intervals and timeouts of the protocol, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolPeriods {
    /// Time between two probes, each of one other proxy.
    pub probe_interval: Micros,
    /// Time to wait for the answer to a direct probe before other proxies are asked to probe indirectly.
    pub probe_timeout: Micros,
    /// Time that a suspected proxy has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Micros,
    /// Time between two rounds of gossip while there are changes to pass on.
    pub gossip_interval: Micros,
}

impl ProtocolPeriods {
    const PROBE_INTERVAL: Micros = 1_000_000;
    /// Well above the round-trip time within a site.
    const PROBE_TIMEOUT: Micros = 300_000;
    const GOSSIP_INTERVAL: Micros = 200_000;
    /// Suspicion timeout in probe intervals, for each factor of ten in the fleet size.
    const SUSPICION_FACTOR: f64 = 3.0;

    /// Intervals and timeouts for a fleet of `size` proxies at one site.
    ///
    /// The suspicion timeout grows with the logarithm of the size, as a suspicion needs about that many rounds to
    /// reach every proxy.
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

/// Identity under which this proxy joins the fleet.
#[derive(Clone, Debug)]
pub struct LocalPeer {
    /// Name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// Name of this proxy, unique in the fleet; at most 64 bytes.
    pub name: String,
    /// Address at which the other proxies reach this one.
    pub address: SocketAddr,
    /// Start number of this instance: its start time in microseconds since the Unix epoch, meant to be above that of any
    /// earlier instance of the name. [`crate::Change::Renumbered`] covers a wall clock that was set back.
    pub start: u64,
}

/// A configured address at which another proxy may be found, with or without the name of that proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Name of the proxy, or `None` if only the address is known. Datagrams to a named proxy always go to the configured
    /// address, whatever address it announces.
    pub name: Option<String>,
    /// Address at which the proxy listens.
    pub address: SocketAddr,
}
