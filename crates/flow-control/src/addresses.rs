use std::collections::HashMap;
use std::net::IpAddr;

use crate::Micros;

/// Addresses that were cut off lately and have no connection now are remembered up to so many.
const REMEMBERED: usize = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    connections: usize,
    held: u64,
    /// Until when it counts as one of which a peer was cut off.
    cut_until: Option<Micros>,
}

/// What each address has. Kept only where addresses tell clients apart.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    known: HashMap<IpAddr, Standing>,
}

impl Addresses {
    pub(crate) fn connections(&self, address: IpAddr) -> usize {
        self.known.get(&address).map_or(0, |standing| standing.connections)
    }

    pub(crate) fn held(&self, address: IpAddr) -> u64 {
        self.known.get(&address).map_or(0, |standing| standing.held)
    }

    pub(crate) fn met(&mut self, address: IpAddr) {
        self.known.entry(address).or_default().connections += 1;
    }

    pub(crate) fn left(&mut self, now: Micros, address: IpAddr) {
        if let Some(standing) = self.known.get_mut(&address) {
            standing.connections = standing.connections.saturating_sub(1);
        }
        self.tidy(now);
    }

    pub(crate) fn holds(&mut self, address: IpAddr, bytes: u64) {
        self.known.entry(address).or_default().held += bytes;
    }

    pub(crate) fn gave_back(&mut self, now: Micros, address: IpAddr, bytes: u64) {
        if let Some(standing) = self.known.get_mut(&address) {
            standing.held = standing.held.saturating_sub(bytes);
        }
        self.tidy(now);
    }

    pub(crate) fn was_cut(&mut self, address: IpAddr, until: Micros) {
        self.known.entry(address).or_default().cut_until = Some(until);
    }

    pub(crate) fn cut_lately(&self, now: Micros, address: IpAddr) -> bool {
        self.known.get(&address).and_then(|standing| standing.cut_until).is_some_and(|until| now < until)
    }

    /// Lets go of addresses that have nothing and are not remembered for anything. Memory stays flat while
    /// addresses are always new: of those remembered without a connection, only so many.
    fn tidy(&mut self, now: Micros) {
        if self.known.len() <= REMEMBERED / 8 {
            return;
        }
        let idle = |standing: &Standing| standing.connections == 0 && standing.held == 0;
        self.known
            .retain(|_, standing| !idle(standing) || standing.cut_until.is_some_and(|until| now < until));
        while self.known.len() > REMEMBERED {
            let oldest = self.known.iter().filter(|(_, standing)| idle(standing));
            let Some((&address, _)) =
                oldest.min_by_key(|(address, standing)| (standing.cut_until, **address))
            else {
                return;
            };
            self.known.remove(&address);
        }
    }
}
