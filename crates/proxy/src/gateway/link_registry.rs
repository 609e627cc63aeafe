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
    pub(super) own: Identity,
    peers: Vec<AllowedPeer>,
    /// The limits and intervals of each link.
    pub(super) config: LinkConfig,
    next_link: Cell<LinkId>,
}

/// Another site, and the networks that its gateways may come from.
struct AllowedPeer {
    site: String,
    networks: Vec<IpNet>,
}

impl AllowedPeer {
    fn has_network_of(&self, address: IpAddr) -> bool {
        self.networks.iter().any(|network| network.contains(&address))
    }
}

impl LinkRegistry {
    /// For this gateway, called `own`, and the peers that its configuration names.
    pub fn new(own: Identity, gateway: &GatewayConfig, config: LinkConfig) -> Rc<LinkRegistry> {
        let peers = gateway
            .peers
            .iter()
            .map(|peer| AllowedPeer { site: peer.site.clone(), networks: peer.networks.clone() });
        Rc::new(LinkRegistry { own, peers: peers.collect(), config, next_link: Cell::new(0) })
    }

    /// A name for a new link.
    pub(super) fn next_id(&self) -> LinkId {
        self.next_link.replace(self.next_link.get() + 1)
    }

    /// Whether a gateway of any peer may come from that address.
    pub(super) fn is_peer_network(&self, from: IpAddr) -> bool {
        self.peers.iter().any(|peer| peer.has_network_of(from))
    }

    /// Whether a gateway that introduces itself as `identity` is allowed: as the one of `dialed_site` where this side
    /// opened the link, and else by the address that it comes from.
    pub(super) fn check_peer(
        &self,
        identity: &Identity,
        from: IpAddr,
        dialed_site: Option<&str>,
    ) -> Result<(), PeerRejection> {
        let site = || identity.site.clone();
        let Some(peer) = self.peers.iter().find(|peer| peer.site == identity.site) else {
            return Err(PeerRejection::UnknownSite(site()));
        };
        match dialed_site {
            Some(dialed) if dialed == peer.site => Ok(()),
            Some(dialed) => Err(PeerRejection::OtherSite { actual: site(), expected: dialed.to_owned() }),
            None if peer.has_network_of(from) => Ok(()),
            None => Err(PeerRejection::OtherNetwork { from, site: site() }),
        }
    }
}
