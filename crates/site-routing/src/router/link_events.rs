//! Events from links to other gateways, and about the groups at the local site.

use super::SiteRouter;
use crate::{
    Actions, CapacityOffer, Effect, ForwardNumber, LOCAL_SITE, Micros, Need, Outcome, PeerAnswer,
    PeerGatewayId, SiteId,
};

impl SiteRouter {
    /// Sets a group's home to the configured site, until an answer or an announcement contradicts it.
    pub fn assume_home(&mut self, group: u64, site: SiteId) {
        self.homes.assume(group, site);
    }

    /// Takes over a changed local endpoint list: `groups` holds each group with its number of ready members.
    /// Groups left out have none.
    pub fn groups_listed(&mut self, now: Micros, groups: &[(u64, usize)]) -> Actions {
        self.homes.set_local_members(groups);
        self.actions.announce_capacity = true;
        self.place_queued(now);
        self.take_actions()
    }

    /// Handles an answer in which a member of the local site acted as the primary of its group.
    pub fn local_primary_found(&mut self, now: Micros, group: u64) -> Actions {
        if self.confirm_home(now, group, LOCAL_SITE) {
            self.actions.announce_capacity = true;
            self.place_queued(now);
        }
        self.take_actions()
    }

    /// Handles the greeting of a gateway, or a change in the number of links to it. `links` is the number
    /// that are up now; `same_incarnation` is false if the gateway's process has been replaced since.
    pub fn links_changed(
        &mut self,
        now: Micros,
        gateway: PeerGatewayId,
        site: SiteId,
        links: usize,
        same_incarnation: bool,
    ) -> Actions {
        self.gateways.get_or_add(gateway, site, &self.config.classes).set_link_count(now, links);
        if !same_incarnation {
            self.gateway_restarted(now, gateway);
        }
        if links > 0 {
            self.query_unresolved_at(now, gateway);
        } else if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.clear_credits();
        }
        self.place_queued(now);
        self.take_actions()
    }

    /// Handles a restart of a gateway's process. The new process may have restored what the old one accepted,
    /// so it is queried about the non-idempotent requests that were sent to the old one; it may not know
    /// their outcome. All other requests may be sent again at once.
    fn gateway_restarted(&mut self, now: Micros, gateway: PeerGatewayId) {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.process_restarted();
        }
        self.link_credit.reset(gateway);
        for number in self.forwarded.open_at(gateway) {
            self.answer_lost(now, number, true);
        }
    }

    /// Handles an event by which the answer to a forwarded request may be lost. `attempts_ended` says whether the receiver
    /// has no attempt under way any more.
    ///
    /// While it may have one, the outcome is asked for even if a second execution is harmless, as a copy that is sent
    /// elsewhere would make two attempts at once, unless the configuration allows them. The cost: the request waits for
    /// a link to the same gateway.
    fn answer_lost(&mut self, now: Micros, number: ForwardNumber, attempts_ended: bool) {
        let Some(request) = self.forwarded.get_mut(number) else { return };
        let harmless_to_repeat = self.config.classes[request.class].effect != Effect::NonIdempotent;
        let may_overlap = attempts_ended || self.config.duplicate_attempts_allowed;
        let conclusion = request.state.answer_lost(harmless_to_repeat && may_overlap);
        self.conclude(now, number, conclusion);
    }

    /// Handles the loss of a link to the gateway, over which the requests with these numbers had been sent.
    pub fn link_lost(&mut self, now: Micros, gateway: PeerGatewayId, numbers: &[ForwardNumber]) -> Actions {
        for &number in numbers {
            if self.forwarded.get(number).is_some_and(|request| request.gateway == gateway) {
                self.answer_lost(now, number, false);
            }
        }
        self.query_unresolved_at(now, gateway);
        self.place_queued(now);
        self.take_actions()
    }

    /// Handles a gateway's announcement of its capacity: its credits by class, the groups that have members
    /// at its site, each with whether the site has the primary, and whether the gateway drains.
    pub fn capacity_announced(
        &mut self,
        now: Micros,
        gateway: PeerGatewayId,
        credits: Vec<u32>,
        groups: &[(u64, bool)],
        draining: bool,
    ) -> Actions {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.apply_announcement(credits, draining);
            for group in self.homes.apply_announcement(now, gateway.site, groups) {
                self.search.end_backoff(now, group);
            }
        }
        self.place_queued(now);
        self.take_actions()
    }

    /// Records whether a gateway announced that it takes the age of a request's first attempt into account. One that
    /// does not is sent no request that may have run and whose repeats are deduplicated for a limited time.
    pub fn attempt_ages_announced(&mut self, gateway: PeerGatewayId, are_read: bool) {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.set_reads_attempt_ages(are_read);
        }
    }

    /// Records a measured round trip to a gateway, in microseconds.
    pub fn round_trip_measured(&mut self, gateway: PeerGatewayId, round_trip: Micros) {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.record_round_trip(round_trip);
        }
    }

    /// Handles a gateway's answer to the request that was forwarded under `number`.
    pub fn answered(&mut self, now: Micros, number: ForwardNumber, answer: PeerAnswer) -> Actions {
        if let Some(request) = self.forwarded.get_mut(number) {
            let handle = request.handle;
            let conclusion = request.state.answered(answer);
            self.learn_from_answer(now, number, answer);
            match answer {
                // The retry-after of the other site is passed on to the requester, up to `max_retry_after`.
                PeerAnswer::Rejected { retry_after } => {
                    self.close_forward(number);
                    self.reject(handle, retry_after);
                }
                _ => self.conclude(now, number, conclusion),
            }
        }
        self.place_queued(now);
        self.take_actions()
    }

    /// Updates what is known about the answering gateway and about the home of the request's group.
    fn learn_from_answer(&mut self, now: Micros, number: ForwardNumber, answer: PeerAnswer) {
        let Some(&request) = self.forwarded.get(number) else { return };
        let group = self.pending.get(request.handle).map(|pending| pending.request.group);
        let Some(gateway) = self.gateways.get_mut(request.gateway) else { return };
        let site = gateway.site;
        match answer {
            PeerAnswer::Served => {
                let measured = request.sent_at >= self.last_stall_ended_at;
                gateway.record_served(request.class, measured.then_some(now - request.sent_at));
                if let (Some(group), Need::Primary) = (group, self.config.classes[request.class].need) {
                    self.confirm_home(now, group, site);
                }
            }
            PeerAnswer::NotPrimary { hint } => {
                if let Some(group) = group {
                    self.homes.rule_out(now, group, site, hint);
                }
                if let Some(pending) = self.pending.get_mut(request.handle) {
                    pending.ruled_out.push(site);
                }
            }
            PeerAnswer::Rejected { .. } | PeerAnswer::Failed | PeerAnswer::NeverAccepted => {}
        }
    }

    /// Handles a gateway's reply to a query about the request that was forwarded under `number`.
    pub fn outcome_received<V>(
        &mut self,
        now: Micros,
        number: ForwardNumber,
        outcome: &Outcome<V>,
    ) -> Actions {
        if let Some(request) = self.forwarded.get_mut(number) {
            let handle = request.handle;
            let conclusion = request.state.outcome_received(outcome);
            match outcome {
                Outcome::Rejected { retry_after } => {
                    self.close_forward(number);
                    self.reject(handle, *retry_after);
                }
                _ => self.conclude(now, number, conclusion),
            }
        }
        self.place_queued(now);
        self.take_actions()
    }

    /// Returns the capacity that is currently offered to a gateway.
    pub fn offered_capacity(&mut self, gateway: PeerGatewayId) -> CapacityOffer {
        let homes = &self.homes;
        let local_groups = homes.groups().filter(|&group| homes.local_members(group) > 0);
        let groups = local_groups.map(|group| (group, homes.home(group) == Some(LOCAL_SITE))).collect();
        CapacityOffer { credits: self.link_credit.offered_to(gateway), groups }
    }

    /// Counts a remote request that was accepted here against the credit of the gateway that sent it.
    pub fn remote_request_started(&mut self, gateway: PeerGatewayId, class: usize) {
        self.link_credit.request_started(gateway, class);
    }

    /// Releases the credit of a remote request that has ended here. Returns whether the credits offered to
    /// the gateway that sent it have changed.
    pub fn remote_request_ended(
        &mut self,
        now: Micros,
        gateway: PeerGatewayId,
        class: usize,
        rejected: bool,
    ) -> bool {
        self.link_credit.request_ended(now, gateway, class, rejected)
    }
}
