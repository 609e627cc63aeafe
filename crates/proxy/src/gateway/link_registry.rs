//! Rules for which peer gateways may be linked, and the allocation of link IDs.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use aldermill_operator_config::{GatewayConfig, IpNet};
use aldermill_site_link::{Identity, LinkConfig};

use super::errors::PeerRejection;
use crate::messages::LinkId;

/// Configuration that the actors of all links share, and the source of link IDs.
pub struct LinkRegistry {
    /// Identity that this gateway sends in its greeting.
    pub(super) local_identity: Identity,
    peers: Vec<AllowedPeer>,
    /// Limits and intervals of each link.
    pub(super) config: LinkConfig,
    next_link_id: Cell<LinkId>,
}

/// A peer site, and the networks from which its gateways may connect.
struct AllowedPeer {
    site: String,
    networks: Vec<IpNet>,
}

impl AllowedPeer {
    fn is_in_networks(&self, address: IpAddr) -> bool {
        self.networks.iter().any(|network| network.contains(&address))
    }
}

impl LinkRegistry {
    /// Creates a registry for the gateway with the identity `local_identity` and for the peers in its
    /// configuration.
    pub fn new(local_identity: Identity, gateway: &GatewayConfig, config: LinkConfig) -> Rc<LinkRegistry> {
        let peers = gateway
            .peers
            .iter()
            .map(|peer| AllowedPeer { site: peer.site.clone(), networks: peer.networks.clone() });
        Rc::new(LinkRegistry { local_identity, peers: peers.collect(), config, next_link_id: Cell::new(0) })
    }

    /// Returns the ID for a new link. IDs start at 0 and are not reused.
    pub(super) fn allocate_link_id(&self) -> LinkId {
        self.next_link_id.replace(self.next_link_id.get() + 1)
    }

    /// Returns whether the address `from` is in a network of any peer.
    pub(super) fn is_peer_address(&self, from: IpAddr) -> bool {
        self.peers.iter().any(|peer| peer.is_in_networks(from))
    }

    /// Checks whether a gateway that greets as `identity` is allowed. On an outbound link it must belong to
    /// `expected_site`. On an inbound link, where `expected_site` is `None`, the address `from` must be in a
    /// network of its site.
    pub(super) fn check_peer(
        &self,
        identity: &Identity,
        from: IpAddr,
        expected_site: Option<&str>,
    ) -> Result<(), PeerRejection> {
        let site = || identity.site.clone();
        let Some(peer) = self.peers.iter().find(|peer| peer.site == identity.site) else {
            return Err(PeerRejection::UnknownSite(site()));
        };
        match expected_site {
            Some(name) if name == peer.site => Ok(()),
            Some(name) => Err(PeerRejection::SiteMismatch { actual: site(), expected: name.to_owned() }),
            None if peer.is_in_networks(from) => Ok(()),
            None => Err(PeerRejection::NetworkMismatch { from, site: site() }),
        }
    }
}
