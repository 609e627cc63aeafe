//! Reports of this gateway's state: available capacity for other gateways, observations for the lease holders,
//! and status output for operators.

use std::collections::HashMap;

use aldermill_routing::Micros;
use aldermill_site_link::{CapacityAnnouncement, Credit, HomeAnnouncement, Outbound};
use aldermill_site_routing::PeerGatewayId;
use serde_json::{Value, json};

use super::{EndedRequestCounts, GatewayPart, PeerGateway};
use crate::dispatcher::Dispatcher;
use crate::messages::SiteObservations;

/// Interval at which the available capacity is announced even if it has not changed, in microseconds.
const ANNOUNCEMENT_INTERVAL: Micros = 500_000;

impl GatewayPart {
    /// Announces the available capacity of this gateway to all linked gateways.
    pub(super) fn announce_capacity(&mut self, now: Micros) {
        for gateway in 0..self.peer_gateways.len() {
            self.announce_capacity_to(now, gateway);
        }
    }

    /// Announces the available capacity of this gateway to another one, if a link to that one is up.
    pub(super) fn announce_capacity_to(&mut self, now: Micros, gateway: PeerGatewayId) {
        if self.peer_gateways.get(gateway).is_some_and(|peer| !peer.links.is_empty()) {
            let announcement = self.capacity_announcement(now, gateway);
            self.send(gateway, None, Outbound::CapacityAnnouncement(announcement));
        }
    }

    fn capacity_announcement(&mut self, now: Micros, gateway: PeerGatewayId) -> CapacityAnnouncement {
        let offer = self.site_router.offered_capacity(gateway);
        let credits = self.class_names.iter().zip(offer.credits);
        CapacityAnnouncement {
            credits: credits.map(|(name, requests)| Credit { class: name.clone(), requests }).collect(),
            homes: offer
                .groups
                .into_iter()
                .map(|(group, has_primary)| HomeAnnouncement { group, has_primary })
                .collect(),
            draining: self.draining,
            reads_attempt_ages: true,
            number: self.announcement_times.announce(now),
        }
    }

    /// Drops expired outcomes. Every [`ANNOUNCEMENT_INTERVAL`] it also announces the capacity, renews the
    /// recording promise, and drops entries of sent requests whose number is closed.
    pub(super) fn do_periodic_work(&mut self, now: Micros) {
        self.outcomes.expire(now);
        if now < self.next_announcement_at {
            return;
        }
        self.next_announcement_at = now + ANNOUNCEMENT_INTERVAL;
        self.announce_capacity(now);
        if let Some(outcome_log) = &mut self.outcome_log {
            outcome_log.renew_promise(now);
        }
        let site_router = &self.site_router;
        self.sent_requests.retain(|&number, _| site_router.handle_by_forward_number(number).is_some());
    }

    /// Returns what this gateway observed of its site since the last call, and the work that it still has in
    /// progress at draining sites.
    pub(in crate::dispatcher) fn take_observations(&mut self, now: Micros) -> SiteObservations {
        let fresh = EndedRequestCounts { since: now, ..EndedRequestCounts::default() };
        let ended = std::mem::replace(&mut self.ended_counts, fresh);
        let outcomes =
            (self.outcomes.len() + self.waiting_requests.len() + self.waiting_responses.len()) as u64;
        SiteObservations {
            site: self.identity.site.clone(),
            span: now - ended.since,
            ended: ended.total,
            within_objective: ended.within_objective,
            session_reads: ended.session_reads,
            round_trips: self.round_trips(now),
            open: self.site_router.open_work(outcomes),
        }
    }

    /// Returns the round trip to each linked gateway, in microseconds, with the name of the gateway's site.
    fn round_trips(&self, now: Micros) -> Vec<(String, Micros)> {
        let gateways = self.peer_gateways.iter().enumerate();
        let linked = gateways.filter(|(_, peer)| !peer.links.is_empty());
        linked
            .map(|(id, peer)| {
                (self.site_names[peer.site].clone(), self.site_router.gateway_view(now, id).round_trip)
            })
            .collect()
    }

    /// Returns the gateway's view of gateways, groups and requests as JSON, for status output.
    fn describe(&self, now: Micros) -> String {
        let gateways = self.peer_gateways.iter().enumerate();
        let gateways: Vec<Value> = gateways.map(|(id, peer)| self.describe_gateway(now, id, peer)).collect();
        let text = json!({
            "site": self.identity.site, "instance": self.identity.instance,
            "start": self.identity.incarnation, "draining": self.draining,
            "gateways": gateways, "groups": self.describe_groups(), "tasks": self.pending_requests.len(),
            "guests": self.remote_requests.len(), "fates_kept": self.outcomes.len(), "book": self.describe_outcome_log(),
        });
        format!("{text:#}\n")
    }

    fn describe_gateway(&self, now: Micros, id: PeerGatewayId, peer: &PeerGateway) -> Value {
        let view = self.site_router.gateway_view(now, id);
        let credits: HashMap<_, _> = self.class_names.iter().cloned().zip(view.credits).collect();
        json!({
            "site": self.site_names[peer.site], "instance": peer.origin.instance, "links": peer.links.len(),
            "round_trip_us": view.round_trip, "draining": view.draining, "barred": view.blacklisted,
            "credits": credits, "under_way": view.in_flight,
        })
    }

    fn describe_groups(&self) -> Vec<Value> {
        let mut groups = Vec::new();
        for view in self.site_router.home_sites() {
            let home = view.home.map(|site| &self.site_names[site]);
            groups.push(json!({"group": view.group, "home": home, "members_here": view.local_members}));
        }
        groups
    }

    fn describe_outcome_log(&self) -> Option<Value> {
        let outcome_log = self.outcome_log.as_ref()?;
        let restored = outcome_log.restored_counts();
        Some(json!({
            "disk": outcome_log.is_disk_available(),
            "earlier_records": restored.records,
            "earlier_starts": restored.incarnations,
        }))
    }
}

impl Dispatcher {
    /// Announces to the other gateways that this one drains, because the process is stopping. Only the first
    /// call has an effect.
    pub(in crate::dispatcher) fn announce_draining(&mut self) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let drained_before = std::mem::replace(&mut gateway_part.draining, true);
        if !drained_before {
            gateway_part.announce_capacity(now);
        }
    }

    /// Returns the state of sites and links as JSON; an empty object if this process is not a gateway.
    pub(in crate::dispatcher) fn describe(&self) -> String {
        let now = self.context.clock.now();
        let gateway_part = self.gateway_part.as_ref();
        gateway_part.map_or_else(|| "{}\n".to_owned(), |gateway_part| gateway_part.describe(now))
    }
}
