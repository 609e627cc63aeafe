//! Connections, reservations and recent disconnects of each client address.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// Above this number of addresses, idle ones are forgotten even while their last disconnect counts as recent. An
/// entry takes about 60 bytes, so memory stays bounded under a flood of connections from ever new addresses.
const MAX_IDLE_ADDRESSES: usize = 1024;

/// Nothing is pruned up to this many addresses, because scanning all of them would not be worth the time.
const PRUNE_THRESHOLD: usize = MAX_IDLE_ADDRESSES / 8;

/// What the clients of one address use together.
#[derive(Clone, Copy, Debug, Default)]
struct AddressUsage {
    /// Number of open connections.
    connections: usize,
    /// Bytes granted to all connections of the address.
    reserved: u64,
    /// End of the time in which the last disconnect of one of the address's clients counts as recent; `None` if there
    /// was none.
    recent_disconnect_until: Option<Micros>,
}

impl AddressUsage {
    /// Whether the address has neither connections nor reservations.
    fn is_idle(&self) -> bool {
        self.connections == 0 && self.reserved == 0
    }

    /// Whether a disconnect of one of the address's clients counts as recent.
    fn has_recent_disconnect(&self, now: Micros) -> bool {
        self.recent_disconnect_until.is_some_and(|until| now < until)
    }
}

/// Usage by client address. Empty unless [`FlowLimits::per_address`](crate::FlowLimits::per_address) is set.
#[derive(Debug, Default)]
pub(crate) struct AddressTable {
    usage: HashMap<IpAddr, AddressUsage>,
}

impl AddressTable {
    /// Number of open connections of the address.
    pub(crate) fn connections(&self, address: IpAddr) -> usize {
        self.usage.get(&address).map_or(0, |usage| usage.connections)
    }

    /// Bytes granted to all connections of the address.
    pub(crate) fn reserved(&self, address: IpAddr) -> u64 {
        self.usage.get(&address).map_or(0, |usage| usage.reserved)
    }

    /// Counts a new connection of the address.
    pub(crate) fn register(&mut self, address: IpAddr) {
        self.usage.entry(address).or_default().connections += 1;
    }

    /// Counts a closed connection of the address.
    pub(crate) fn unregister(&mut self, now: Micros, address: IpAddr) {
        if let Some(usage) = self.usage.get_mut(&address) {
            usage.connections = usage.connections.saturating_sub(1);
        }
        self.prune(now);
    }

    /// Counts bytes that were granted to a connection of the address.
    pub(crate) fn reserve(&mut self, address: IpAddr, bytes: u64) {
        self.usage.entry(address).or_default().reserved += bytes;
    }

    /// Counts bytes of a connection of the address that are no longer reserved.
    pub(crate) fn release(&mut self, now: Micros, address: IpAddr, bytes: u64) {
        if let Some(usage) = self.usage.get_mut(&address) {
            usage.reserved = usage.reserved.saturating_sub(bytes);
        }
        self.prune(now);
    }

    /// Records that a client of the address was disconnected, which counts as recent before `until`.
    pub(crate) fn record_disconnect(&mut self, address: IpAddr, until: Micros) {
        self.usage.entry(address).or_default().recent_disconnect_until = Some(until);
    }

    /// Whether a disconnect of one of the address's clients counts as recent.
    pub(crate) fn has_recent_disconnect(&self, now: Micros, address: IpAddr) -> bool {
        self.usage.get(&address).is_some_and(|usage| usage.has_recent_disconnect(now))
    }

    /// Removes idle addresses without a recent disconnect, then, while there are more than [`MAX_IDLE_ADDRESSES`],
    /// the idle addresses whose disconnects expire first.
    fn prune(&mut self, now: Micros) {
        if self.usage.len() <= PRUNE_THRESHOLD {
            return;
        }
        self.usage.retain(|_, usage| !usage.is_idle() || usage.has_recent_disconnect(now));
        while self.usage.len() > MAX_IDLE_ADDRESSES {
            let Some(oldest) = self.oldest_idle() else { return };
            self.usage.remove(&oldest);
        }
    }

    /// The idle address whose disconnect stops counting as recent first.
    fn oldest_idle(&self) -> Option<IpAddr> {
        let idle = self.usage.iter().filter(|(_, usage)| usage.is_idle());
        idle.min_by_key(|(address, usage)| (usage.recent_disconnect_until, **address))
            .map(|(&address, _)| address)
    }
}
