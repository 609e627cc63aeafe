//! Links to other gateways: how they come up, are identified by a greeting, and are lost.

use aldermill_site_link::{Identity, Inbound};
use aldermill_site_routing::{LOCAL_SITE, Origin, PeerGatewayId, SiteId};
use slog::{info, warn};

use super::{ActiveLink, GatewayPart, PeerGateway};
use crate::dispatcher::Dispatcher;
use crate::messages::{LinkEvent, LinkId};

impl Dispatcher {
    /// Handles an event that the actor of a link reports. Messages that arrive before the other side has
    /// greeted, or after the link was closed, are ignored.
    pub(in crate::dispatcher) fn handle_link_event(&mut self, link: LinkId, event: LinkEvent) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        match event {
            LinkEvent::Up { outbox, peer } => {
                gateway_part.links.insert(link, ActiveLink { gateway: None, outbox, peer });
            }
            LinkEvent::Lost => self.link_lost(link),
            LinkEvent::Received(Inbound::Greeted(identity)) => self.greeting_received(link, identity),
            LinkEvent::Received(event) => {
                let Some(gateway) = gateway_part.links.get(&link).and_then(|active| active.gateway) else {
                    return;
                };
                self.handle_inbound(link, gateway, event);
            }
        }
    }

    /// Handles the greeting of the gateway at the other end of a link. The link is closed, by dropping its state,
    /// if the greeting names the local site, an unknown site or an incarnation that another has replaced.
    fn greeting_received(&mut self, link: LinkId, identity: Identity) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(site) = gateway_part.site_id(&identity.site).filter(|&site| site != LOCAL_SITE) else {
            gateway_part.links.remove(&link);
            return;
        };
        let Identity { site: name, instance, incarnation } = identity;
        let origin = Origin { site: name, instance, incarnation };
        let id = gateway_part.get_or_add_gateway(site, &origin);
        let current_up = !gateway_part.peer_gateways[id].links.is_empty();
        if !gateway_part.outcomes.register_incarnation(&origin, current_up) {
            warn!(self.context.log, "link of a replaced incarnation closed"; "link" => link,
                "site" => &origin.site, "instance" => &origin.instance);
            gateway_part.links.remove(&link);
            return;
        }
        let same_incarnation = gateway_part.peer_gateways[id].origin.incarnation == origin.incarnation;
        if !same_incarnation {
            info!(self.context.log, "peer gateway restarted";
                "site" => &origin.site, "instance" => &origin.instance);
            gateway_part.replace_incarnation(id, origin);
        }
        let links = gateway_part.add_link(id, link);
        let actions = gateway_part.site_router.links_changed(now, id, site, links, same_incarnation);
        gateway_part.announce_capacity_to(now, id);
        self.carry_out_site_actions(actions, None);
    }

    fn link_lost(&mut self, link: LinkId) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(id) = gateway_part.links.remove(&link).and_then(|active| active.gateway) else { return };
        let numbers = gateway_part.numbers_sent_over(id, link);
        let peer = &mut gateway_part.peer_gateways[id];
        peer.links.retain(|&other| other != link);
        let site = peer.site;
        let links = peer.links.len();
        if links == 0 {
            warn!(self.context.log, "last link to peer gateway lost"; "site" => &gateway_part.site_names[site],
                "instance" => &peer.origin.instance, "unresolved" => numbers.len());
        }
        let after_count = gateway_part.site_router.links_changed(now, id, site, links, true);
        let after_loss = gateway_part.site_router.link_lost(now, id, &numbers);
        self.carry_out_site_actions(after_count, None);
        self.carry_out_site_actions(after_loss, None);
    }
}

impl GatewayPart {
    /// Returns the index of the gateway with the site and instance of `origin`, after adding it if it has never
    /// greeted.
    fn get_or_add_gateway(&mut self, site: SiteId, origin: &Origin) -> PeerGatewayId {
        let same =
            |peer: &PeerGateway| peer.origin.site == origin.site && peer.origin.instance == origin.instance;
        if let Some(id) = self.peer_gateways.iter().position(same) {
            return id;
        }
        let origin = origin.clone();
        self.peer_gateways.push(PeerGateway { site, origin, links: Vec::new(), last_announcement: None });
        self.peer_gateways.len() - 1
    }

    /// Replaces the incarnation of a restarted gateway, and closes the links to the previous incarnation.
    fn replace_incarnation(&mut self, id: PeerGatewayId, origin: Origin) {
        for old in std::mem::take(&mut self.peer_gateways[id].links) {
            self.links.remove(&old);
        }
        self.peer_gateways[id].origin = origin;
        self.peer_gateways[id].last_announcement = None;
    }

    /// Adds a link to a gateway. Returns how many links to it are up.
    fn add_link(&mut self, id: PeerGatewayId, link: LinkId) -> usize {
        self.peer_gateways[id].links.push(link);
        if let Some(active) = self.links.get_mut(&link) {
            active.gateway = Some(id);
        }
        self.peer_gateways[id].links.len()
    }

    /// Returns the numbers of the requests at a gateway whose response is expected over this link, in ascending
    /// order.
    fn numbers_sent_over(&self, id: PeerGatewayId, link: LinkId) -> Vec<u64> {
        let sent = self.sent_requests.iter().filter(|(_, sent)| sent.link == link && sent.gateway == id);
        let mut numbers: Vec<u64> = sent.map(|(&number, _)| number).collect();
        numbers.sort_unstable();
        numbers
    }
}
