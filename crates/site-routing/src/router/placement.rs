//! The ordinary path: where a request goes.

use super::*;

impl SiteRouter {
    /// Sends the request to the site that it belongs to, holds it, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending_requests.get(&handle) else { return };
        let class = *self.class(&pending.request);
        if self.stuck(now, pending, &class) {
            return self.give_up(handle);
        }
        let Some(site) = self.site_for(now, pending, &class) else {
            // Every site has said 'not here', or none can be reached: as the router after a round of misses.
            return self.hold(now, handle);
        };
        if site == LOCAL_SITE {
            let timeout = pending.deadline - now;
            let pending = self.pending_requests.get_mut(&handle).expect("held by its handle");
            (pending.here, pending.misses) = (true, 0);
            return self.actions.requests.push((handle, Action::ServeLocally { timeout }));
        }
        if pending.request.visited.len() >= self.terms.max_hops {
            return self.not_here(handle, site);
        }
        // Where it has no room, what is held goes when it has.
        let Some(id) = self.gate_to(now, site, pending.request.class) else { return self.hold(now, handle) };
        let gateway = &self.gateways[&id];
        let (way, pending) = (gateway.trip.one_way(), &self.pending_requests[&handle]);
        let usual = gateway.took[pending.request.class].quantile(0.5).unwrap_or(0).max(gateway.trip.mean());
        let useful = if class.late_priority_weight > 0.0 {
            pending.deadline
        } else {
            pending.deadline.min(pending.objective_at)
        };
        // What cannot be back in time is rejected before it is sent.
        if now + usual.max(2 * way) >= useful {
            return self.give_up(handle);
        }
        let timeout = pending.deadline - now - way;
        let number = self.crossings.send(now, handle, id, pending.request.class);
        let pending = self.pending_requests.get_mut(&handle).expect("held by its handle");
        (pending.out, pending.crossed) = (Some(number), pending.crossed + 1);
        self.actions.requests.push((handle, Action::Forward { gateway: id, number, timeout }));
    }

    /// Whether it can be sent nowhere any more: its time is up, or it may have run and must not again.
    pub(super) fn stuck(&self, now: Micros, pending: &PendingRequest, class: &RequestClass) -> bool {
        let never_again = match (class.effect, pending.may_have_run) {
            (_, None) | (Effect::Idempotent, _) => false,
            (Effect::Deduplicated { window, .. }, Some((at, _))) => now >= at + window,
            (Effect::NonIdempotent, Some(_)) => true,
        };
        // Protects other sites from requests that are lost again and again; each crossing costs both sides
        // work.
        never_again || now + BEAT >= pending.deadline || pending.crossed > 2 + self.terms.sites as u32
    }

    /// Where it goes next; `None` is nowhere for now.
    pub(super) fn site_for(
        &self,
        now: Micros,
        pending: &PendingRequest,
        class: &RequestClass,
    ) -> Option<SiteId> {
        let group = pending.request.group;
        // A receipt may reach no further than the site that had the request first.
        if let (Effect::Deduplicated { within_site: true, .. }, Some((_, site))) =
            (class.effect, pending.may_have_run)
        {
            return Some(site);
        }
        let known = |&site: &SiteId| {
            self.homes.is_at(group, site)
                && !pending.request.visited.contains(&site)
                && !self.bound.is_retired(site)
        };
        match class.need {
            Need::Primary => {
                let tried = |site: &SiteId| pending.tried.contains(site);
                let home = self.homes.home(group).filter(|site| !tried(site) && known(site));
                if let Some(home) = home.filter(|&home| self.is_reached(home) || self.lost_lately(now, home))
                {
                    return self.is_reached(home).then_some(home);
                }
                // The walk: the believed home first, then all others in their order, the own site first.
                let mut others = (0..self.terms.sites).filter(known).filter(|site| !tried(site));
                if now < self.homes.walk_after(group) {
                    None
                } else {
                    others.find(|&site| self.is_reached(site))
                }
            }
            Need::Any => self.read_site(now, pending, |_| true),
            // It is measured from when it was sent: what is left of the bound beyond must be more than the way.
            Need::Recent(bound) => self.read_site(now, pending, |gateway| gateway.trip.one_way() < bound),
        }
    }

    /// What can be answered at home stays at home, but for a session that a retiring site handed on: that belongs to the one
    /// site that it was bound to, as long as that is reached.
    ///
    /// Protects sessions from moving to and fro, and survivors from sessions that they were not measured to
    /// bear. Harms a request by the way; and a session whose new site is lost, by another move.
    fn read_site(
        &self,
        now: Micros,
        pending: &PendingRequest,
        fits: impl Fn(&PeerGateway) -> bool,
    ) -> Option<SiteId> {
        let group = pending.request.group;
        let here = self.homes.here(group) > 0;
        // A guest was sent here, by who knew why.
        let own = self.bound.plan(LOCAL_SITE).filter(|_| pending.request.visited.is_empty());
        let session = pending.request.session.as_deref().unwrap_or_default();
        if let Some(own) = own.filter(|own| !own.stays(session)) {
            let open = |gateway: &&PeerGateway| self.may_read(now, pending, gateway) && fits(gateway);
            let reached = |site| self.gateways.values().filter(open).any(|gateway| gateway.site == site);
            if let Some(home) = self.bound.home(own, session, reached) {
                return Some(home);
            }
            // Where nobody else is reached it is answered here as long as anybody is bound here.
            return (here && own.plan.weight > 0).then_some(LOCAL_SITE);
        }
        if here && !self.bound.is_retired(LOCAL_SITE) {
            return Some(LOCAL_SITE);
        }
        let emptied = |gateway: &PeerGateway| self.bound.is_emptied(gateway.site);
        self.nearest(now, pending, |gateway| fits(gateway) && !emptied(gateway))
    }

    fn may_read(&self, now: Micros, pending: &PendingRequest, gateway: &PeerGateway) -> bool {
        self.homes.is_at(pending.request.group, gateway.site)
            && !pending.request.visited.contains(&gateway.site)
            && !pending.tried.contains(&gateway.site)
            && self.usable(now, gateway)
    }

    /// The site with the shortest round trip of those that have members of the group.
    pub(super) fn nearest(
        &self,
        now: Micros,
        pending: &PendingRequest,
        fits: impl Fn(&PeerGateway) -> bool,
    ) -> Option<SiteId> {
        let may = |gateway: &&PeerGateway| self.may_read(now, pending, gateway) && fits(gateway);
        self.gateways
            .values()
            .filter(may)
            .min_by_key(|gateway| gateway.trip.mean())
            .map(|gateway| gateway.site)
    }

    /// A gateway of that site with credit left for the request class, by chance in proportion to it. One that
    /// is blacklisted is still tried where all are.
    pub(super) fn gate_to(&mut self, now: Micros, site: SiteId, class: usize) -> Option<PeerGatewayId> {
        let credit = |id: PeerGatewayId, gateway: &PeerGateway| {
            let most = gateway.may_be_out(class, self.terms.max_credit);
            most.saturating_sub(self.crossings.count_at(id, class))
        };
        let open = |(&id, gateway): (&PeerGatewayId, &PeerGateway)| (id, credit(id, gateway));
        let may = |gateway: &PeerGateway| gateway.site == site && gateway.links > 0 && !gateway.draining;
        let mut gateways: Vec<(PeerGatewayId, usize)> = self
            .gateways
            .iter()
            .filter(|(_, gateway)| may(gateway) && now >= gateway.blacklisted_until)
            .map(open)
            .collect();
        if gateways.is_empty() {
            gateways = self.gateways.iter().filter(|(_, gateway)| may(gateway)).map(open).collect();
        }
        let all: usize = gateways.iter().map(|(_, credit)| credit).sum();
        if all == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..all);
        gateways
            .into_iter()
            .find(|&(_, credit)| {
                let found = drawn < credit;
                drawn = drawn.saturating_sub(credit);
                found
            })
            .map(|(id, _)| id)
    }

    /// Something may be sent there at all.
    pub(super) fn is_reached(&self, site: SiteId) -> bool {
        let up = |gateway: &PeerGateway| gateway.site == site && gateway.links > 0 && !gateway.draining;
        site == LOCAL_SITE || self.gateways.values().any(up)
    }

    /// Protects other sites, and the members here, from walks at every short break of a link: the home's
    /// requests wait as long as after a round of 'not here'. Should also cover a gateway that starts anew.
    /// Harms writes whose home moved with the break.
    pub(super) fn lost_lately(&self, now: Micros, site: SiteId) -> bool {
        self.gateways
            .values()
            .any(|gateway| gateway.site == site && !gateway.draining && now - gateway.lost < HOLD)
    }

    /// The three blacklists: its own word that it drains, no link that stands, failures in a row.
    pub(super) fn usable(&self, now: Micros, gateway: &PeerGateway) -> bool {
        gateway.links > 0 && !gateway.draining && now >= gateway.blacklisted_until
    }

    pub(super) fn hold(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        if !pending.request.visited.is_empty() {
            // Who sent it holds it; here it only takes up time.
            return self.not_here(handle, LOCAL_SITE);
        }
        // Protects a client from a long wait for nothing, as the module does: a read that no site has room for by half of its
        // time is rejected then. Harms what finds room later.
        let reads = self.terms.classes[pending.request.class].need != Need::Primary;
        if reads && now + pending.request.timeout / 2 >= pending.deadline {
            return self.give_up(handle);
        }
        let round = !pending.tried.is_empty();
        pending.tried.clear();
        let group = pending.request.group;
        if round && self.homes.walk_after(group) <= now {
            self.homes.hold_walks(group, now + HOLD);
        }
        self.held.push(handle);
    }

    /// To the gateway that sent it: it never ran, and the primary is elsewhere.
    pub(super) fn not_here(&mut self, handle: RequestHandle, believed: SiteId) {
        let hint = (believed != LOCAL_SITE).then_some(believed);
        self.actions.requests.push((handle, Action::ReportNotPrimary { hint }));
        self.close(handle);
    }

    pub(super) fn here_missed(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending_requests.get_mut(&handle).filter(|pending| pending.here) else {
            return;
        };
        // Protects what the module knows: taken back it would be rejected, or sent elsewhere, as one that
        // never ran. Harms a receipted request whose group's primary moved to another site: it is failed
        // where it might have been served.
        if matches!(pending.may_have_run, Some((_, LOCAL_SITE))) {
            return;
        }
        pending.misses += 1;
        let (group, misses) = (pending.request.group, pending.misses);
        // Once every member here has said that it is not the primary, the walk goes on at other sites. Where there
        // are none that could be asked, the own module holds the request as ever.
        if misses < self.homes.here(group) || self.homes.home(group) == Some(LOCAL_SITE) && misses < 2 {
            return;
        }
        self.homes.missed(now, group, LOCAL_SITE, None);
        let pending = &self.pending_requests[&handle];
        let guest = !pending.request.visited.is_empty();
        let elsewhere = self.gateways.values().any(|gateway| {
            self.usable(now, gateway)
                && self.homes.is_at(group, gateway.site)
                && !pending.tried.contains(&gateway.site)
                && !pending.request.visited.contains(&gateway.site)
        });
        if !guest && !elsewhere {
            // With the own module again, which holds it after its round of misses; then all may be asked anew.
            return self.pending_requests.get_mut(&handle).expect("held by its handle").tried.clear();
        }
        self.actions.requests.push((handle, Action::Withdraw));
        let pending = self.pending_requests.get_mut(&handle).expect("held by its handle");
        pending.here = false;
        pending.tried.push(LOCAL_SITE);
        self.place(now, handle);
    }

    pub(super) fn here_ended(&mut self, now: Micros, handle: RequestHandle, ended: LocalResult) {
        let Some(pending) = self.pending_requests.get(&handle).filter(|pending| pending.here) else { return };
        let (group, need) = (pending.request.group, self.class(&pending.request).need);
        match ended {
            LocalResult::Served => {
                if need == Need::Primary && self.homes.answered(now, group, LOCAL_SITE) {
                    self.actions.announce_capacity = true;
                }
                self.actions.requests.push((handle, Action::RelayResponse));
            }
            // The module knows nothing of what it did at another site.
            LocalResult::Rejected { retry_after }
                if pending.may_have_run.is_some_and(|(_, site)| site != LOCAL_SITE) =>
            {
                return self.reject(handle, retry_after);
            }
            LocalResult::Rejected { retry_after } => {
                self.actions.requests.push((handle, Action::Reject { retry_after }))
            }
            LocalResult::Failed => self.actions.requests.push((handle, Action::Fail)),
        }
        self.close(handle);
    }
}
