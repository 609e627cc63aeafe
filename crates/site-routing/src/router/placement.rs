//! The ordinary path: where a request goes.

use super::SiteRouter;
use crate::peer_gateway::PeerGateway;
use crate::pending_requests::{PendingRequest, RequestLocation};
use crate::site_selection::SiteSelection;
use crate::{
    Action, ForwardNumber, LOCAL_SITE, Micros, Need, PeerGatewayId, RequestClass, RequestHandle, SiteId,
};

use super::periodic::TICK_INTERVAL;

/// A request may be forwarded this many times more than there are sites.
const EXTRA_FORWARDS: u32 = 2;

impl SiteRouter {
    /// Hands a request to the site that is to serve it, lets it wait, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        let class = *self.class_of(&pending.request);
        if self.is_unplaceable(now, pending, &class) {
            return self.give_up(handle);
        }
        match self.site_selection(now).choose(pending, &class) {
            None => self.queue(now, handle),
            Some(LOCAL_SITE) => self.serve_locally(now, handle),
            Some(site) => self.forward(now, handle, site),
        }
    }

    /// Places all requests that wait, the most important first.
    pub(super) fn place_queued(&mut self, now: Micros) {
        for handle in self.queue.take_in_order(&self.pending, &self.config.classes) {
            self.place(now, handle);
        }
    }

    pub(super) fn site_selection(&self, now: Micros) -> SiteSelection<'_> {
        SiteSelection {
            now,
            sites: self.config.sites,
            homes: &self.homes,
            search: &self.search,
            sessions: &self.sessions,
            gateways: &self.gateways,
        }
    }

    /// Whether no site may be given the request any more.
    fn is_unplaceable(&self, now: Micros, pending: &PendingRequest, class: &RequestClass) -> bool {
        let expires_before_next_tick = now + TICK_INTERVAL >= pending.deadline;
        // Without a limit a request that is lost again and again would cost both sites work each time.
        let max_forwards = EXTRA_FORWARDS + self.config.sites as u32;
        pending.must_not_run_again(now, class.effect)
            || expires_before_next_tick
            || pending.times_forwarded > max_forwards
    }

    fn serve_locally(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get_mut(handle) else { return };
        pending.location = RequestLocation::Local { not_primary_answers: 0 };
        let timeout = pending.deadline - now;
        self.act(handle, Action::ServeLocally { timeout });
    }

    /// Sends a request to a gateway of the site, if it can be back in time.
    fn forward(&mut self, now: Micros, handle: RequestHandle, site: SiteId) {
        let Some(pending) = self.pending.get(handle) else { return };
        if pending.request.visited.len() >= self.config.max_hops {
            return self.report_not_primary(handle, Some(site));
        }
        let class = pending.request.class;
        let Some(gateway) = self.choose_gateway(now, site, class) else {
            // It goes as soon as the site has capacity.
            return self.queue(now, handle);
        };
        let Some(timeout) = self.timeout_on_arrival(now, handle, gateway) else {
            return self.give_up(handle);
        };
        let number = self.forwarded.open(now, handle, gateway, class);
        self.mark_forwarded(handle, gateway, number);
        self.act(handle, Action::Forward { gateway, number, timeout });
    }

    fn mark_forwarded(&mut self, handle: RequestHandle, to: PeerGatewayId, number: ForwardNumber) {
        if let Some(pending) = self.pending.get_mut(handle) {
            pending.location = RequestLocation::Forwarded { number, to };
            pending.times_forwarded += 1;
        }
    }

    fn choose_gateway(&mut self, now: Micros, site: SiteId, class: usize) -> Option<PeerGatewayId> {
        let max_credit = self.config.max_credit;
        let limit = |gateway: &PeerGateway| gateway.concurrency_limit(class, max_credit);
        let in_flight = |gateway| self.forwarded.count_at(gateway, class);
        self.gateways.choose(now, site, limit, in_flight, &mut self.rng)
    }

    /// How much time is left for a request when it arrives at the gateway; `None` if it cannot be back while an answer is
    /// worth anything.
    fn timeout_on_arrival(
        &self,
        now: Micros,
        handle: RequestHandle,
        gateway: PeerGatewayId,
    ) -> Option<Micros> {
        let pending = self.pending.get(handle)?;
        let gateway = self.gateways.get(gateway)?;
        let one_way = gateway.one_way_delay();
        let expected = gateway.expected_duration(pending.request.class).max(2 * one_way);
        let useful_until = pending.useful_until(self.class_of(&pending.request));
        (now + expected < useful_until).then_some(pending.deadline - now - one_way)
    }

    /// Lets a request wait until a site can take it. One that another gateway sent goes back there and waits there.
    fn queue(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        if pending.request.is_remote() {
            return self.report_not_primary(handle, None);
        }
        // A read that no site could take for half of its time is rejected, as the local router does, so that its client is
        // told in time to try elsewhere. The cost: capacity that comes later does not help it any more.
        let is_read = self.class_of(&pending.request).need != Need::Primary;
        if is_read && now + pending.request.timeout / 2 >= pending.deadline {
            return self.give_up(handle);
        }
        self.end_search(now, handle);
        self.queue.push(handle);
    }

    /// All sites that could be asked said that they do not have the primary: the next search, after a rest, asks all anew.
    fn end_search(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get_mut(handle) else { return };
        if !pending.ruled_out.is_empty() {
            pending.ruled_out.clear();
            self.search.start_backoff(now, pending.request.group);
        }
    }
}
