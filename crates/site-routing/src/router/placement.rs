//! Placement of requests: at the local router, at another site, or in the queue.

use super::SiteRouter;
use crate::peer_gateway::PeerGateway;
use crate::pending_requests::{PendingRequest, RequestLocation};
use crate::site_selection::SiteSelection;
use crate::{
    Action, ForwardNumber, LOCAL_SITE, Micros, Need, PeerGatewayId, RequestClass, RequestHandle, SiteId,
};

use super::periodic::TICK_INTERVAL;

/// A request that was forwarded more often than the number of sites plus this is not placed again.
const EXTRA_FORWARDS: u32 = 2;

impl SiteRouter {
    /// Hands a request to the site that is to serve it, queues it, or rejects it.
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

    /// Places all queued requests, in descending order of priority weight.
    pub(super) fn place_queued(&mut self, now: Micros) {
        for handle in self.queue.take_in_order(&self.pending, &self.config.classes) {
            self.place(now, handle);
        }
    }

    /// Returns the state that the choice of a site depends on, as of `now`.
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

    /// Whether the request must not be placed at any site any more.
    fn is_unplaceable(&self, now: Micros, pending: &PendingRequest, class: &RequestClass) -> bool {
        let expires_before_next_tick = now + TICK_INTERVAL >= pending.deadline;
        // Without a limit, a request that is lost repeatedly would cost both sites work each time.
        let max_forwards = EXTRA_FORWARDS + self.config.sites as u32;
        pending.must_not_run_again(now, class.effect)
            || expires_before_next_tick
            || pending.times_forwarded > max_forwards
    }

    fn serve_locally(&mut self, now: Micros, handle: RequestHandle) {
        let earlier_attempt_age = self.earlier_attempt_age(now, handle);
        let Some(pending) = self.pending.get_mut(handle) else { return };
        pending.location = RequestLocation::Local { not_primary_answers: 0 };
        let timeout = pending.deadline - now;
        self.push_action(handle, Action::ServeLocally { timeout, earlier_attempt_age });
    }

    /// Forwards a request to a gateway of the site, if its answer can be back in time. A remote request that
    /// has no hops left goes back to its sender with the site as a hint.
    fn forward(&mut self, now: Micros, handle: RequestHandle, site: SiteId) {
        let Some(pending) = self.pending.get(handle) else { return };
        if pending.request.visited.len() >= self.config.max_hops {
            return self.report_not_primary(handle, Some(site));
        }
        let class = pending.request.class;
        let earlier_attempt_age = self.earlier_attempt_age(now, handle);
        let Some(gateway) = self.choose_gateway(now, site, class, earlier_attempt_age.is_some()) else {
            // The request is forwarded as soon as the site has capacity.
            return self.queue(now, handle);
        };
        let Some(timeout) = self.timeout_on_arrival(now, handle, gateway) else {
            return self.give_up(handle);
        };
        let number = self.forwarded.open(now, handle, gateway, class);
        self.mark_forwarded(handle, gateway, number);
        self.push_action(handle, Action::Forward { gateway, number, timeout, earlier_attempt_age });
    }

    fn earlier_attempt_age(&self, now: Micros, handle: RequestHandle) -> Option<Micros> {
        let pending = self.pending.get(handle)?;
        pending.earlier_attempt_age(now, self.class_of(&pending.request).effect)
    }

    fn mark_forwarded(&mut self, handle: RequestHandle, to: PeerGatewayId, number: ForwardNumber) {
        if let Some(pending) = self.pending.get_mut(handle) {
            pending.location = RequestLocation::Forwarded { number, to };
            pending.times_forwarded += 1;
        }
    }

    /// Chooses a gateway of the site that has capacity for a request of the class. If `repeats`, an attempt of the
    /// request may have run, and the gateway must be able to take that into account.
    fn choose_gateway(
        &mut self,
        now: Micros,
        site: SiteId,
        class: usize,
        repeats: bool,
    ) -> Option<PeerGatewayId> {
        let max_credit = self.config.max_credit;
        let limit = |gateway: &PeerGateway| {
            let accepts = !repeats || gateway.reads_attempt_ages();
            if accepts { gateway.concurrency_limit(class, max_credit) } else { 0 }
        };
        let in_flight = |gateway| self.forwarded.count_at(gateway, class);
        self.gateways.choose(now, site, limit, in_flight, &mut self.rng)
    }

    /// Returns the time until the request's deadline when it arrives at the gateway, in microseconds; `None`
    /// if its answer is expected too late to be of value.
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

    /// Queues a request until a site can take it. A remote request goes back to the gateway that sent it and
    /// waits there, unless an attempt that this gateway made may have run, of which the sender does not know.
    fn queue(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        if pending.request.is_remote() && self.may_deny(handle) {
            return self.report_not_primary(handle, None);
        }
        // A read that no site could take during half of its timeout is rejected, as the local router does, so
        // that its client has time left to try elsewhere. The cost: the read cannot use capacity that becomes
        // available later.
        let is_read = self.class_of(&pending.request).need != Need::Primary;
        if is_read && now + pending.request.timeout / 2 >= pending.deadline {
            return self.give_up(handle);
        }
        self.end_search(now, handle);
        self.queue.push(handle);
    }

    /// Ends a search in which every site that could be asked said that it does not have the primary. The next
    /// search starts after a hold and may ask all sites again.
    fn end_search(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get_mut(handle) else { return };
        if !pending.ruled_out.is_empty() {
            pending.ruled_out.clear();
            self.search.start_backoff(now, pending.request.group);
        }
    }
}
