//! Selection of the configured seed addresses to which this proxy announces itself, and the schedule for it.

use std::net::SocketAddr;

use foca::Member;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::{Micros, Peer, SeedAddress};

/// Base time between announcements to seeds that are not known to be alive. The announcements reunite a divided fleet, and
/// let a proxy that started alone discover the others.
const ANNOUNCE_INTERVAL: Micros = 2_000_000;
/// Divisor of the announcement interval for a new proxy that knows no other live proxy.
const NEW_AND_ALONE_DIVISOR: Micros = 8;
/// Divisor of the interval that gives the upper bound of the random delay added to it. The delay keeps proxies from
/// announcing themselves in lockstep.
const JITTER_DIVISOR: Micros = 4;
/// Number of seeds per announcement.
const SEEDS_PER_ANNOUNCEMENT: usize = 2;
/// Number of seeds per announcement of a proxy that knows no other live proxy.
const SEEDS_PER_ANNOUNCEMENT_ALONE: usize = 8;

/// Configured seed addresses, with the time of the next announcement to some of them.
pub(crate) struct Seeds {
    addresses: Vec<SeedAddress>,
    announce_at: Micros,
}

impl Seeds {
    /// Creates the schedule; the first announcement is due at once.
    pub(crate) fn start(now: Micros, addresses: Vec<SeedAddress>) -> Seeds {
        Seeds { addresses, announce_at: now }
    }

    /// Makes the next announcement due now.
    pub(crate) fn make_due(&mut self, now: Micros) {
        self.announce_at = now;
    }

    /// Time at which the next announcement is due.
    pub(crate) fn announce_at(&self) -> Micros {
        self.announce_at
    }

    /// Returns whether an announcement is due at `now`.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.announce_at
    }

    /// Picks random seeds for an announcement among those that are not known to be alive, and schedules the next one.
    /// `is_new` tells whether this proxy started or came back recently. `live_peers` are the other live proxies.
    pub(crate) fn pick(
        &mut self,
        now: Micros,
        is_new: bool,
        local: SocketAddr,
        live_peers: &[&Member<Peer>],
        rng: &mut Pcg64Mcg,
    ) -> Vec<SocketAddr> {
        let is_alone = live_peers.is_empty();
        let interval =
            if is_alone && is_new { ANNOUNCE_INTERVAL / NEW_AND_ALONE_DIVISOR } else { ANNOUNCE_INTERVAL };
        self.announce_at = now + interval + rng.random_range(0..interval / JITTER_DIVISOR);
        let is_unknown = |seed: &&SeedAddress| seed.address != local && !is_alive(seed, live_peers);
        let unknown: Vec<SocketAddr> =
            self.addresses.iter().filter(is_unknown).map(|seed| seed.address).collect();
        let wanted = if is_alone { SEEDS_PER_ANNOUNCEMENT_ALONE } else { SEEDS_PER_ANNOUNCEMENT };
        let picked = rand::seq::index::sample(rng, unknown.len(), wanted.min(unknown.len()));
        picked.into_iter().map(|index| unknown[index]).collect()
    }
}

/// Returns whether one of the live proxies has the seed's name, or the seed's address if it is configured without a name.
fn is_alive(seed: &SeedAddress, live_peers: &[&Member<Peer>]) -> bool {
    match &seed.name {
        Some(name) => live_peers.iter().any(|peer| *peer.id().name == **name),
        None => live_peers.iter().any(|peer| peer.id().address == seed.address),
    }
}
