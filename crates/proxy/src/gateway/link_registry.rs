//! Which gateways may open links, and the names of the links that are open.

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use aldermill_operator_config::{GatewayConfig, IpNet};
use aldermill_site_link::{Identity, LinkConfig};

use super::errors::PeerRejection;
use crate::messages::LinkId;

/// What the actors of all links share.
pub struct LinkRegistry {
    /// How this gateway introduces itself.
    pub(super) local_identity: Identity,
    peers: Vec<AllowedPeer>,
    /// The limits and intervals of each link.
    pub(super) config: LinkConfig,
    next_link_id: Cell<LinkId>,
}

/// Another site, and the networks that its gateways may come from.
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
    /// For this gateway, called `local_identity`, and the peers that its configuration names.
    pub fn new(local_identity: Identity, gateway: &GatewayConfig, config: LinkConfig) -> Rc<LinkRegistry> {
        let peers = gateway
            .peers
            .iter()
            .map(|peer| AllowedPeer { site: peer.site.clone(), networks: peer.networks.clone() });
        Rc::new(LinkRegistry { local_identity, peers: peers.collect(), config, next_link_id: Cell::new(0) })
    }

    /// A name for a new link.
    pub(super) fn allocate_link_id(&self) -> LinkId {
        self.next_link_id.replace(self.next_link_id.get() + 1)
    }

    /// Whether a gateway of any peer may come from that address.
    pub(super) fn is_peer_address(&self, from: IpAddr) -> bool {
        self.peers.iter().any(|peer| peer.is_in_networks(from))
    }

    /// Whether a gateway that introduces itself as `identity` is allowed: as the one of `expected_site` where this side
    /// opened the link, and else by the address that it comes from.
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
