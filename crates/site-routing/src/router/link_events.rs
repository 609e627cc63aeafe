//! What is heard over links and of the local endpoint list.

use super::SiteRouter;
use crate::{
    Actions, CapacityOffer, Effect, ForwardNumber, LOCAL_SITE, Micros, Need, Outcome, PeerAnswer,
    PeerGatewayId, SiteId,
};

impl SiteRouter {
    /// Assumes a group's home, as configured, until an answer or an announcement says otherwise.
    pub fn assume_home(&mut self, group: u64, site: SiteId) {
        self.homes.assume(group, site);
    }

    /// The local endpoint list has changed: each group with its number of ready members.
    pub fn groups_listed(&mut self, now: Micros, groups: &[(u64, usize)]) -> Actions {
        self.homes.set_local_members(groups);
        self.actions.announce_capacity = true;
        self.place_queued(now);
        self.take_actions()
    }

    /// A member of this site answered as the primary of its group.
    pub fn primary_found_here(&mut self, now: Micros, group: u64) -> Actions {
        if self.confirm_home(now, group, LOCAL_SITE) {
            self.actions.announce_capacity = true;
            self.place_queued(now);
        }
        self.take_actions()
    }

    /// A gateway has greeted, or one of its links came or went; `links` stand now. `same_incarnation` is false where its
    /// process is another than before.
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

    /// The new process may have read back what the old one accepted: it is asked, and knows or does not.
    fn gateway_restarted(&mut self, now: Micros, gateway: PeerGatewayId) {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.process_restarted();
        }
        self.link_credit.reset(gateway);
        for number in self.forwarded.open_at(gateway) {
            self.forward_lost(now, number);
        }
    }

    /// A link to the gateway was lost, over which these numbers had been sent.
    pub fn link_lost(&mut self, now: Micros, gateway: PeerGatewayId, numbers: &[ForwardNumber]) -> Actions {
        for &number in numbers {
            if self.forwarded.get(number).is_some_and(|request| request.gateway == gateway) {
                self.forward_lost(now, number);
            }
        }
        self.query_unresolved_at(now, gateway);
        self.place_queued(now);
        self.take_actions()
    }

    /// The answer of a forwarded request may be lost.
    fn forward_lost(&mut self, now: Micros, number: ForwardNumber) {
        let Some(request) = self.forwarded.get_mut(number) else { return };
        let harmless_to_repeat = self.config.classes[request.class].effect != Effect::NonIdempotent;
        let conclusion = request.state.link_lost(harmless_to_repeat);
        self.conclude(now, number, conclusion);
    }

    /// A gateway announced what it offers: credits by class, the groups with members at its site, each with whether it has
    /// the primary, and whether it drains.
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

    /// A round trip to a gateway was measured, in microseconds.
    pub fn round_trip_measured(&mut self, gateway: PeerGatewayId, round_trip: Micros) {
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.record_round_trip(round_trip);
        }
    }

    /// A gateway answered the request that was forwarded under this number.
    pub fn answered(&mut self, now: Micros, number: ForwardNumber, answer: PeerAnswer) -> Actions {
        if let Some(request) = self.forwarded.get_mut(number) {
            let handle = request.handle;
            let conclusion = request.state.answered(answer);
            self.learn_from_answer(now, number, answer);
            match answer {
                // The other site's retry-after goes to the client as it is.
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

    /// What an answer says about its gateway and about the home of the request's group.
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

    /// A gateway replied to a query about the request that was forwarded under this number.
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

    /// What is offered to a gateway now.
    pub fn offered_capacity(&mut self, gateway: PeerGatewayId) -> CapacityOffer {
        let homes = &self.homes;
        let local = homes.groups().filter(|&group| homes.local_members(group) > 0);
        let groups = local.map(|group| (group, homes.home(group) == Some(LOCAL_SITE))).collect();
        CapacityOffer { credits: self.link_credit.offered_to(gateway), groups }
    }

    /// A request of another gateway was accepted here.
    pub fn remote_request_started(&mut self, gateway: PeerGatewayId, class: usize) {
        self.link_credit.request_started(gateway, class);
    }

    /// A request of another gateway has ended here. Returns whether the offer to that gateway has changed.
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
