//! The set of gateways at other sites, and the choice of the gateway that receives a request.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::peer_gateway::PeerGateway;
use crate::{LOCAL_SITE, Micros, PeerGatewayId, RequestClass, SiteId};

/// Gateways at other sites that have connected and identified themselves.
#[derive(Debug, Default)]
pub(crate) struct PeerGateways {
    gateways: BTreeMap<PeerGatewayId, PeerGateway>,
}

/// A gateway that a request may be forwarded to, and how many more requests of its class the gateway may be sent.
struct Candidate {
    id: PeerGatewayId,
    capacity: usize,
}

impl PeerGateways {
    pub(crate) fn get(&self, id: PeerGatewayId) -> Option<&PeerGateway> {
        self.gateways.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: PeerGatewayId) -> Option<&mut PeerGateway> {
        self.gateways.get_mut(&id)
    }

    /// Returns the gateway, after adding it if it is new.
    pub(crate) fn get_or_add(
        &mut self,
        id: PeerGatewayId,
        site: SiteId,
        classes: &[RequestClass],
    ) -> &mut PeerGateway {
        self.gateways.entry(id).or_insert_with(|| PeerGateway::new(site, classes))
    }

    /// Returns all gateways in the order of their index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerGateway> {
        self.gateways.values()
    }

    /// Returns the indices of a site's gateways.
    pub(crate) fn ids_at(&self, site: SiteId) -> impl Iterator<Item = PeerGatewayId> {
        self.gateways.iter().filter(move |(_, gateway)| gateway.site == site).map(|(&id, _)| id)
    }

    /// Returns whether requests can be sent to the site at all. The local site can always be reached.
    pub(crate) fn is_reachable(&self, site: SiteId) -> bool {
        let accepts = |gateway: &PeerGateway| gateway.site == site && gateway.accepts_requests();
        site == LOCAL_SITE || self.iter().any(accepts)
    }

    /// Returns whether a link to the site was lost so recently that the site's requests wait for the link to come back.
    ///
    /// Without the wait every short interruption of a link would start a primary search through other sites and through
    /// the members here. A restarting gateway is waited for as well. The drawback is that writes whose primary moved
    /// while the link was down wait as long as after a search that found no primary.
    pub(crate) fn is_expected_back(&self, now: Micros, site: SiteId) -> bool {
        self.iter().any(|gateway| gateway.site == site && gateway.is_expected_back(now))
    }

    /// Chooses a gateway of the site at random, with probability proportional to its remaining capacity. Blacklisted
    /// gateways are considered only if all gateways of the site that accept requests are blacklisted. `limit` returns
    /// how many requests of the class a gateway may have in flight, and `in_flight` how many it has. Returns `None` if
    /// no gateway has capacity left.
    pub(crate) fn choose(
        &self,
        now: Micros,
        site: SiteId,
        limit: impl Fn(&PeerGateway) -> usize,
        in_flight: impl Fn(PeerGatewayId) -> usize,
        rng: &mut Pcg64Mcg,
    ) -> Option<PeerGatewayId> {
        let candidates = |allows: &dyn Fn(&PeerGateway) -> bool| -> Vec<Candidate> {
            let at_site = self.gateways.iter().filter(|(_, gateway)| gateway.site == site && allows(gateway));
            let candidate = |(&id, gateway): (&PeerGatewayId, &PeerGateway)| Candidate {
                id,
                capacity: limit(gateway).saturating_sub(in_flight(id)),
            };
            at_site.map(candidate).collect()
        };
        let mut open = candidates(&|gateway| gateway.is_usable(now));
        if open.is_empty() {
            open = candidates(&PeerGateway::accepts_requests);
        }
        choose_by_capacity(open, rng)
    }
}

/// Chooses a candidate at random, with probability proportional to its capacity; `None` if there is no capacity.
fn choose_by_capacity(candidates: Vec<Candidate>, rng: &mut Pcg64Mcg) -> Option<PeerGatewayId> {
    let total: usize = candidates.iter().map(|candidate| candidate.capacity).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = rng.random_range(0..total);
    for candidate in candidates {
        if drawn < candidate.capacity {
            return Some(candidate.id);
        }
        drawn -= candidate.capacity;
    }
    None
}
