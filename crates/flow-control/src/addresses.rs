use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// Addresses that were cut off lately and have no connection now are remembered up to so many.
const REMEMBERED: usize = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    connections: usize,
    reserved: u64,
    /// Until when it counts as one of which a peer was cut off.
    disconnected_until: Option<Micros>,
}

/// What each address has. Kept only where addresses tell clients apart.
#[derive(Debug, Default)]
pub(crate) struct AddressTable {
    known: HashMap<IpAddr, Standing>,
}

impl AddressTable {
    pub(crate) fn connections(&self, address: IpAddr) -> usize {
        self.known.get(&address).map_or(0, |standing| standing.connections)
    }

    pub(crate) fn reserved(&self, address: IpAddr) -> u64 {
        self.known.get(&address).map_or(0, |standing| standing.reserved)
    }

    pub(crate) fn register(&mut self, address: IpAddr) {
        self.known.entry(address).or_default().connections += 1;
    }

    pub(crate) fn unregister(&mut self, now: Micros, address: IpAddr) {
        if let Some(standing) = self.known.get_mut(&address) {
            standing.connections = standing.connections.saturating_sub(1);
        }
        self.tidy(now);
    }

    pub(crate) fn reserve(&mut self, address: IpAddr, bytes: u64) {
        self.known.entry(address).or_default().reserved += bytes;
    }

    pub(crate) fn release(&mut self, now: Micros, address: IpAddr, bytes: u64) {
        if let Some(standing) = self.known.get_mut(&address) {
            standing.reserved = standing.reserved.saturating_sub(bytes);
        }
        self.tidy(now);
    }

    pub(crate) fn record_disconnect(&mut self, address: IpAddr, until: Micros) {
        self.known.entry(address).or_default().disconnected_until = Some(until);
    }

    pub(crate) fn recently_disconnected(&self, now: Micros, address: IpAddr) -> bool {
        self.known
            .get(&address)
            .and_then(|standing| standing.disconnected_until)
            .is_some_and(|until| now < until)
    }

    /// Lets go of addresses that have nothing and are not remembered for anything. Memory stays flat while
    /// addresses are always new: of those remembered without a connection, only so many.
    fn tidy(&mut self, now: Micros) {
        if self.known.len() <= REMEMBERED / 8 {
            return;
        }
        let idle = |standing: &Standing| standing.connections == 0 && standing.reserved == 0;
        self.known.retain(|_, standing| {
            !idle(standing) || standing.disconnected_until.is_some_and(|until| now < until)
        });
        while self.known.len() > REMEMBERED {
            let oldest = self.known.iter().filter(|(_, standing)| idle(standing));
            let Some((&address, _)) =
                oldest.min_by_key(|(address, standing)| (standing.disconnected_until, **address))
            else {
                return;
            };
            self.known.remove(&address);
        }
    }
}
