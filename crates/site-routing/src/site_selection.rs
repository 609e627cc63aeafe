//! Which site a request goes to next. Nothing is changed here.

use crate::home_sites::HomeSites;
use crate::peer_gateway::PeerGateway;
use crate::peer_gateways::PeerGateways;
use crate::pending_requests::PendingRequest;
use crate::primary_search::PrimarySearch;
use crate::session_assignment::SessionAssignments;
use crate::{Effect, LOCAL_SITE, Micros, Need, RequestClass, SiteId};

/// What the choice of a site depends on.
pub(crate) struct SiteSelection<'a> {
    pub(crate) now: Micros,
    /// How many sites there are, this one included.
    pub(crate) sites: usize,
    pub(crate) homes: &'a HomeSites,
    pub(crate) search: &'a PrimarySearch,
    pub(crate) sessions: &'a SessionAssignments,
    pub(crate) gateways: &'a PeerGateways,
}

impl SiteSelection<'_> {
    /// The site that the request goes to next; `None` if it has to wait.
    pub(crate) fn choose(&self, pending: &PendingRequest, class: &RequestClass) -> Option<SiteId> {
        // Other sites do not remember the idempotency key.
        if let Effect::Deduplicated { within_site: true, .. } = class.effect
            && let Some(execution) = pending.may_have_run
        {
            return Some(execution.site);
        }
        match class.need {
            Need::Primary => self.site_of_primary(pending),
            Need::Any => self.site_for_read(pending, |_| true),
            // The age is measured from when the request was sent, so the way there counts.
            Need::Recent(max_age) => self.site_for_read(pending, |gateway| gateway.one_way_delay() < max_age),
        }
    }

    /// Whether another site could still be asked whether it has the request's primary.
    pub(crate) fn has_other_candidate(&self, pending: &PendingRequest) -> bool {
        self.gateways.iter().any(|gateway| self.can_forward_to(pending, gateway))
    }

    /// The believed home; else the search: every other site in the order of its index, the local one first.
    fn site_of_primary(&self, pending: &PendingRequest) -> Option<SiteId> {
        let group = pending.request.group;
        let may_have_primary = |&site: &SiteId| {
            self.homes.has_members(group, site)
                && !pending.has_been_at(site)
                && !self.sessions.is_drained(site)
        };
        if let Some(home) = self.homes.home(group).filter(may_have_primary) {
            if self.gateways.is_reachable(home) {
                return Some(home);
            }
            if self.gateways.is_expected_back(self.now, home) {
                return None;
            }
        }
        if self.search.is_backing_off(self.now, group) {
            return None;
        }
        let mut candidates = (0..self.sites).filter(may_have_primary);
        candidates.find(|&site| self.gateways.is_reachable(site))
    }

    /// The site for a request that any site with members can serve. `is_close` says whether a gateway's data is new enough.
    ///
    /// It is this site where that has members, unless this site drains and has handed the session on: then it is the one
    /// site that took the session over, as long as that can be reached. Without such assignments sessions would move back and
    /// forth, and the remaining sites would get sessions that they were not measured to bear. The cost: such a request takes
    /// the way to the other site, and a session whose new site is lost moves once more.
    fn site_for_read(
        &self,
        pending: &PendingRequest,
        is_fresh_enough: impl Fn(&PeerGateway) -> bool,
    ) -> Option<SiteId> {
        let has_local_members = self.homes.local_members(pending.request.group) > 0;
        // A remote request was sent here by a gateway that knew of the drain; it is not sent on.
        let placement = self.sessions.placement(LOCAL_SITE).filter(|_| !pending.request.is_remote());
        let session = pending.request.session.as_deref().unwrap_or_default();
        if let Some(placement) = placement.filter(|placement| !placement.stays(session)) {
            let is_eligible =
                |gateway: &PeerGateway| self.can_forward_to(pending, gateway) && is_fresh_enough(gateway);
            let reachable =
                |site| self.gateways.iter().any(|gateway| gateway.site == site && is_eligible(gateway));
            if let Some(successor) = self.sessions.successor(placement, session, reachable) {
                return Some(successor);
            }
            // With no other site in reach, this one serves it as long as any session is left here.
            return (has_local_members && placement.plan.weight > 0).then_some(LOCAL_SITE);
        }
        if has_local_members && !self.sessions.is_drained(LOCAL_SITE) {
            return Some(LOCAL_SITE);
        }
        self.nearest(pending, |gateway| is_fresh_enough(gateway) && !self.sessions.is_emptied(gateway.site))
    }

    /// The site with the shortest round trip, of those that can be sent the request and suit.
    fn nearest(
        &self,
        pending: &PendingRequest,
        is_eligible: impl Fn(&PeerGateway) -> bool,
    ) -> Option<SiteId> {
        let gateways = self
            .gateways
            .iter()
            .filter(|gateway| self.can_forward_to(pending, gateway) && is_eligible(gateway));
        gateways.min_by_key(|gateway| gateway.round_trip()).map(|gateway| gateway.site)
    }

    /// Whether the request can be sent to that gateway, whose site has members and has not been asked yet.
    fn can_forward_to(&self, pending: &PendingRequest, gateway: &PeerGateway) -> bool {
        self.homes.has_members(pending.request.group, gateway.site)
            && !pending.has_been_at(gateway.site)
            && gateway.is_usable(self.now)
    }
}
