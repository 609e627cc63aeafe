//! What the clients of each address have together, where addresses tell clients apart.

use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// At most this many addresses without a connection are remembered, at some 60 bytes each: memory stays flat under a flood
/// from ever new addresses.
const MAX_IDLE_ADDRESSES: usize = 1024;

/// Up to this many addresses nothing is pruned, as a pass over all of them is not worth while.
const PRUNE_THRESHOLD: usize = MAX_IDLE_ADDRESSES / 8;

#[derive(Clone, Copy, Debug, Default)]
struct AddressUsage {
    connections: usize,
    /// Bytes reserved by all its connections.
    reserved: u64,
    /// Until when it counts as one whose client was just disconnected.
    recent_disconnect_until: Option<Micros>,
}

impl AddressUsage {
    fn is_idle(&self) -> bool {
        self.connections == 0 && self.reserved == 0
    }

    fn has_recent_disconnect(&self, now: Micros) -> bool {
        self.recent_disconnect_until.is_some_and(|until| now < until)
    }
}

/// Connections, reservations and disconnects by address. Empty unless
/// [`FlowLimits::per_address`](crate::FlowLimits::per_address) is set.
#[derive(Debug, Default)]
pub(crate) struct AddressTable {
    usage: HashMap<IpAddr, AddressUsage>,
}

impl AddressTable {
    pub(crate) fn connections(&self, address: IpAddr) -> usize {
        self.usage.get(&address).map_or(0, |usage| usage.connections)
    }

    /// Bytes reserved by all connections of the address.
    pub(crate) fn reserved(&self, address: IpAddr) -> u64 {
        self.usage.get(&address).map_or(0, |usage| usage.reserved)
    }

    pub(crate) fn register(&mut self, address: IpAddr) {
        self.usage.entry(address).or_default().connections += 1;
    }

    pub(crate) fn unregister(&mut self, now: Micros, address: IpAddr) {
        if let Some(usage) = self.usage.get_mut(&address) {
            usage.connections = usage.connections.saturating_sub(1);
        }
        self.prune(now);
    }

    pub(crate) fn reserve(&mut self, address: IpAddr, bytes: u64) {
        self.usage.entry(address).or_default().reserved += bytes;
    }

    pub(crate) fn release(&mut self, now: Micros, address: IpAddr, bytes: u64) {
        if let Some(usage) = self.usage.get_mut(&address) {
            usage.reserved = usage.reserved.saturating_sub(bytes);
        }
        self.prune(now);
    }

    /// One of its clients was disconnected; that counts until then.
    pub(crate) fn record_disconnect(&mut self, address: IpAddr, until: Micros) {
        self.usage.entry(address).or_default().recent_disconnect_until = Some(until);
    }

    pub(crate) fn has_recent_disconnect(&self, now: Micros, address: IpAddr) -> bool {
        self.usage.get(&address).is_some_and(|usage| usage.has_recent_disconnect(now))
    }

    /// Forgets idle addresses of which no disconnect counts, and of the others the oldest beyond
    /// [`MAX_IDLE_ADDRESSES`].
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

    /// The idle address whose disconnect ceases to count first.
    fn oldest_idle(&self) -> Option<IpAddr> {
        let idle = self.usage.iter().filter(|(_, usage)| usage.is_idle());
        idle.min_by_key(|(address, usage)| (usage.recent_disconnect_until, **address))
            .map(|(&address, _)| address)
    }
}
