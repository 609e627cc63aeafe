//! Links to other gateways: how they come up, are identified by a greeting, and are lost.

use aldermill_routing::{Actions, RequestHandle as RouterHandle};
use aldermill_site_link::{Identity, Inbound};
use aldermill_site_routing::{LOCAL_SITE, Origin, PeerGatewayId, RequestHandle, SiteId};
use slog::{info, warn};

use super::{ActiveLink, GatewayPart, PeerGateway, PendingRequest, Requester};
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
            self.abandon_requests_of(id);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
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
        self.suspend_requests_of(link);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let after_count = gateway_part.site_router.links_changed(now, id, site, links, true);
        let after_loss = gateway_part.site_router.link_lost(now, id, &numbers);
        self.carry_out_site_actions(after_count, None);
        self.carry_out_site_actions(after_loss, None);
    }
}

impl Dispatcher {
    /// Suspends the remote requests whose sender expects the response over a link that is lost. The sender resumes
    /// each by a query over another link.
    fn suspend_requests_of(&mut self, link: LinkId) {
        let Some(gateway_part) = &self.gateway_part else { return };
        for local in gateway_part.local_requests_of(link) {
            let ((), actions) = self.decide(|router| (local.suspend(router), Actions::default()));
            self.carry_out(actions);
        }
    }

    /// Drops the remote requests of a gateway whose process was replaced, as nobody waits for them any more. Attempts that
    /// were already sent continue.
    fn abandon_requests_of(&mut self, gateway: PeerGatewayId) {
        let Some(gateway_part) = &self.gateway_part else { return };
        let requests = gateway_part.remote_requests.iter().filter(|((sender, _), _)| *sender == gateway);
        let mut handles: Vec<RequestHandle> = requests.map(|(_, &handle)| handle).collect();
        handles.sort_unstable();
        handles.into_iter().for_each(|handle| self.abandon_pending_request(handle));
    }

    /// Resumes a remote request that its sender still waits for.
    pub(super) fn resume_remote_request(&mut self, gateway: PeerGatewayId, number: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &self.gateway_part else { return };
        let handle = gateway_part.remote_requests.get(&(gateway, number));
        let pending = handle.and_then(|handle| gateway_part.pending_requests.get(handle));
        if let Some(local) = pending.and_then(|pending| pending.local_handle) {
            let ((), actions) = self.decide(|router| ((), local.resume(router, now)));
            self.carry_out(actions);
        }
    }

    /// Returns whether a request came from another gateway over a link that is lost.
    pub(super) fn is_requester_unlinked(&self, handle: RequestHandle) -> bool {
        let Some(gateway_part) = &self.gateway_part else { return false };
        let requester = gateway_part.pending_requests.get(&handle).map(|pending| &pending.requester);
        matches!(requester, Some(Requester::Gateway(remote)) if !gateway_part.links.contains_key(&remote.link))
    }
}

impl GatewayPart {
    /// Returns the local router's handles of the remote requests whose response is expected over this link.
    fn local_requests_of(&self, link: LinkId) -> Vec<RouterHandle> {
        let is_expected = |pending: &&PendingRequest| matches!(&pending.requester, Requester::Gateway(remote) if remote.link == link);
        self.pending_requests
            .values()
            .filter(is_expected)
            .filter_map(|pending| pending.local_handle)
            .collect()
    }

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
