//! Selection of the site that a request goes to next. Reads the router's state without changing it.

use crate::home_sites::HomeSites;
use crate::peer_gateway::PeerGateway;
use crate::peer_gateways::PeerGateways;
use crate::pending_requests::PendingRequest;
use crate::primary_search::PrimarySearch;
use crate::session_assignment::SessionAssignments;
use crate::{Effect, LOCAL_SITE, Micros, Need, RequestClass, SiteId};

/// Inputs of the site selection.
pub(crate) struct SiteSelection<'a> {
    pub(crate) now: Micros,
    /// Number of sites, including this one.
    pub(crate) sites: usize,
    pub(crate) homes: &'a HomeSites,
    pub(crate) search: &'a PrimarySearch,
    pub(crate) sessions: &'a SessionAssignments,
    pub(crate) gateways: &'a PeerGateways,
}

impl SiteSelection<'_> {
    /// Returns the site that the request goes to next, or `None` if it has to wait.
    pub(crate) fn choose(&self, pending: &PendingRequest, class: &RequestClass) -> Option<SiteId> {
        // Members at other sites do not remember the idempotency key and could execute the request again.
        if let Effect::Deduplicated { within_site: true, .. } = class.effect
            && let Some(execution) = pending.may_have_run
        {
            return Some(execution.site);
        }
        match class.need {
            Need::Primary => self.site_of_primary(pending),
            Need::Any => self.site_for_read(pending, |_| true),
            // The age of the data counts from when the request is sent, so it includes the one-way delay.
            Need::Recent(max_age) => self.site_for_read(pending, |gateway| gateway.one_way_delay() < max_age),
        }
    }

    /// Returns whether the primary search can still try another site for the request.
    pub(crate) fn has_other_candidate(&self, pending: &PendingRequest) -> bool {
        self.gateways.iter().any(|gateway| self.can_forward_to(pending, gateway))
    }

    /// Returns the believed home site of the request's group, if it can be reached. A home that is expected to
    /// reconnect is waited for. Otherwise the primary search tries all sites in index order, which starts with the
    /// local site.
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

    /// Returns the site for a request that any site with members of the group can serve. `is_fresh_enough` says whether
    /// data read through a gateway is recent enough for the request.
    ///
    /// The local site is chosen if it has members, unless it is draining and no longer has the request's session: then
    /// the session's successor site is chosen, as long as it can be reached. Without such assignments sessions would
    /// move back and forth, and the remaining sites would get sessions beyond the load they were measured to sustain.
    /// The drawbacks are the extra latency to the other site, and that a session whose successor site fails moves a
    /// second time.
    fn site_for_read(
        &self,
        pending: &PendingRequest,
        is_fresh_enough: impl Fn(&PeerGateway) -> bool,
    ) -> Option<SiteId> {
        let has_local_members = self.homes.local_members(pending.request.group) > 0;
        // The gateway that forwarded a remote request already knew of the drain, so the request is not forwarded again.
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
            // No other site can be reached: this one serves the request as long as it still has any sessions.
            return (has_local_members && placement.plan.weight > 0).then_some(LOCAL_SITE);
        }
        if has_local_members && !self.sessions.is_drained(LOCAL_SITE) {
            return Some(LOCAL_SITE);
        }
        self.nearest(pending, |gateway| is_fresh_enough(gateway) && !self.sessions.is_emptied(gateway.site))
    }

    /// Returns the site with the shortest round trip among those that the request can be forwarded to and whose gateway
    /// is eligible.
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

    /// Returns whether the request can be forwarded to the gateway: the gateway is usable, and its site has members of
    /// the group and has not been tried yet.
    fn can_forward_to(&self, pending: &PendingRequest, gateway: &PeerGateway) -> bool {
        self.homes.has_members(pending.request.group, gateway.site)
            && !pending.has_been_at(gateway.site)
            && gateway.is_usable(self.now)
    }
}
