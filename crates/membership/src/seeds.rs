//! To which of the operator's seed addresses this proxy announces itself, and when.

use std::net::SocketAddr;

use foca::Member;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::{Micros, Peer, SeedAddress};

/// How often seeds that are not known to be alive are tried, so that a divided fleet heals and a proxy that started alone
/// finds the others.
const ANNOUNCE_INTERVAL: Micros = 2_000_000;
/// One that is new and alone announces itself that many times as often.
const NEW_AND_ALONE_DIVISOR: Micros = 8;
/// The interval is longer by a random part of up to one in this many, so that proxies don't announce themselves in step.
const JITTER_DIVISOR: Micros = 4;
/// Seeds tried each time.
const SEEDS_PER_ANNOUNCEMENT: usize = 2;
/// Seeds tried each time by a proxy that knows nobody alive.
const SEEDS_PER_ANNOUNCEMENT_ALONE: usize = 8;

/// The operator's seed addresses, and when this proxy next announces itself to some of them.
pub(crate) struct Seeds {
    addresses: Vec<SeedAddress>,
    announce_at: Micros,
}

impl Seeds {
    pub(crate) fn start(now: Micros, addresses: Vec<SeedAddress>) -> Seeds {
        Seeds { addresses, announce_at: now }
    }

    /// The next announcement is due now.
    pub(crate) fn make_due(&mut self, now: Micros) {
        self.announce_at = now;
    }

    pub(crate) fn announce_at(&self) -> Micros {
        self.announce_at
    }

    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.announce_at
    }

    /// Picks seeds to announce to, some of those that are not among the live members, and sets the next time. `is_new` is
    /// whether this proxy has started, or come back, lately.
    pub(crate) fn pick(
        &mut self,
        now: Micros,
        is_new: bool,
        local: SocketAddr,
        members: &[&Member<Peer>],
        rng: &mut Pcg64Mcg,
    ) -> Vec<SocketAddr> {
        let is_alone = members.is_empty();
        let interval =
            if is_alone && is_new { ANNOUNCE_INTERVAL / NEW_AND_ALONE_DIVISOR } else { ANNOUNCE_INTERVAL };
        self.announce_at = now + interval + rng.random_range(0..interval / JITTER_DIVISOR);
        let is_unknown = |seed: &&SeedAddress| seed.address != local && !is_alive(seed, members);
        let unknown: Vec<SocketAddr> =
            self.addresses.iter().filter(is_unknown).map(|seed| seed.address).collect();
        let wanted = if is_alone { SEEDS_PER_ANNOUNCEMENT_ALONE } else { SEEDS_PER_ANNOUNCEMENT };
        let picked = rand::seq::index::sample(rng, unknown.len(), wanted.min(unknown.len()));
        picked.into_iter().map(|index| unknown[index]).collect()
    }
}

/// Whether a live member has the seed's name, or its address where the operator gave no name.
fn is_alive(seed: &SeedAddress, members: &[&Member<Peer>]) -> bool {
    match &seed.name {
        Some(name) => members.iter().any(|member| *member.id().name == **name),
        None => members.iter().any(|member| member.id().address == seed.address),
    }
}
