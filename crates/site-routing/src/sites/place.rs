//! The ordinary path: where a task goes.

use super::*;

impl Sites {
    /// Sends the task to the site that it belongs to, holds it, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get(&handle) else { return };
        let class = *self.class(&errand.task);
        if self.stuck(now, errand, &class) {
            return self.give_up(handle);
        }
        let Some(site) = self.site_for(now, errand, &class) else {
            // Every site has said 'not here', or none can be reached: as the router after a round of misses.
            return self.hold(now, handle);
        };
        if site == OWN {
            let ttl = errand.limit - now;
            let errand = self.errands.get_mut(&handle).expect("held by its handle");
            (errand.here, errand.misses) = (true, 0);
            return self.todo.steps.push((handle, Step::Here { ttl }));
        }
        if errand.task.visited.len() >= self.terms.max_hops {
            return self.not_here(handle, site);
        }
        // Where it has no room, what is held goes when it has.
        let Some(id) = self.gate_to(now, site, errand.task.class) else { return self.hold(now, handle) };
        let gate = &self.gates[&id];
        let (way, errand) = (gate.trip.one_way(), &self.errands[&handle]);
        let usual = gate.took[errand.task.class].quantile(0.5).unwrap_or(0).max(gate.trip.mean());
        let useful = if class.late_share > 0.0 { errand.limit } else { errand.limit.min(errand.quoted_by) };
        // What cannot be back in time is denied before it is sent.
        if now + usual.max(2 * way) >= useful {
            return self.give_up(handle);
        }
        let left = errand.limit - now - way;
        let number = self.crossings.send(now, handle, id, errand.task.class);
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        (errand.out, errand.crossed) = (Some(number), errand.crossed + 1);
        self.todo.steps.push((handle, Step::Cross { gate: id, number, left }));
    }

    /// Whether it can be sent nowhere any more: its time is up, or it may have run and must not again.
    pub(super) fn stuck(&self, now: Micros, errand: &Errand, class: &RequestClass) -> bool {
        let never_again = match (class.effect, errand.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Receipted { window, .. }, Some((at, _))) => now >= at + window,
            (Effect::Effectful, Some(_)) => true,
        };
        // Protects other sites from tasks that are lost again and again; each crossing costs both sides work.
        never_again || now + BEAT >= errand.limit || errand.crossed > 2 + self.terms.sites as u32
    }

    /// Where it goes next; `None` is nowhere for now.
    pub(super) fn site_for(&self, now: Micros, errand: &Errand, class: &RequestClass) -> Option<SiteId> {
        let group = errand.task.group;
        // A receipt may reach no further than the site that had the task first.
        if let (Effect::Receipted { within_site: true, .. }, Some((_, site))) =
            (class.effect, errand.may_have_run)
        {
            return Some(site);
        }
        let known = |&site: &SiteId| {
            self.homes.is_at(group, site)
                && !errand.task.visited.contains(&site)
                && !self.bound.is_retired(site)
        };
        match class.need {
            Need::Primary => {
                let tried = |site: &SiteId| errand.tried.contains(site);
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
            Need::Any => self.read_site(now, errand, |_| true),
            // It is measured from when it was sent: what is left of the bound beyond must be more than the way.
            Need::Recent(bound) => self.read_site(now, errand, |gate| gate.trip.one_way() < bound),
        }
    }

    /// What can be answered at home stays at home, but for a session that a retiring site handed on: that belongs to the one
    /// site that it was bound to, as long as that is reached.
    ///
    /// Protects sessions from moving to and fro, and survivors from sessions that they were not measured to bear. Harms a task
    /// by the way; and a session whose new site is lost, by another move.
    fn read_site(&self, now: Micros, errand: &Errand, fits: impl Fn(&Gate) -> bool) -> Option<SiteId> {
        let group = errand.task.group;
        let here = self.homes.here(group) > 0;
        // A guest was sent here, by who knew why.
        let own = self.bound.plan(OWN).filter(|_| errand.task.visited.is_empty());
        let session = errand.task.session.as_deref().unwrap_or_default();
        if let Some(own) = own.filter(|own| !own.stays(session)) {
            let open = |gate: &&Gate| self.may_read(now, errand, gate) && fits(gate);
            let reached = |site| self.gates.values().filter(open).any(|gate| gate.site == site);
            if let Some(home) = self.bound.home(own, session, reached) {
                return Some(home);
            }
            // Where nobody else is reached it is answered here as long as anybody is bound here.
            return (here && own.plan.weight > 0).then_some(OWN);
        }
        if here && !self.bound.is_retired(OWN) {
            return Some(OWN);
        }
        let emptied = |gate: &Gate| self.bound.is_emptied(gate.site);
        self.nearest(now, errand, |gate| fits(gate) && !emptied(gate))
    }

    fn may_read(&self, now: Micros, errand: &Errand, gate: &Gate) -> bool {
        self.homes.is_at(errand.task.group, gate.site)
            && !errand.task.visited.contains(&gate.site)
            && !errand.tried.contains(&gate.site)
            && self.usable(now, gate)
    }

    /// The site with the shortest round trip of those that have members of the group.
    pub(super) fn nearest(
        &self,
        now: Micros,
        errand: &Errand,
        fits: impl Fn(&Gate) -> bool,
    ) -> Option<SiteId> {
        let may = |gate: &&Gate| self.may_read(now, errand, gate) && fits(gate);
        self.gates.values().filter(may).min_by_key(|gate| gate.trip.mean()).map(|gate| gate.site)
    }

    /// A gateway of that site with credit left for the request class, by chance in proportion to it. One that
    /// is barred is still tried where all are.
    pub(super) fn gate_to(&mut self, now: Micros, site: SiteId, class: usize) -> Option<GateId> {
        let credit = |id: GateId, gate: &Gate| {
            let most = gate.may_be_out(class, self.terms.max_credit);
            most.saturating_sub(self.crossings.count_at(id, class))
        };
        let open = |(&id, gate): (&GateId, &Gate)| (id, credit(id, gate));
        let may = |gate: &Gate| gate.site == site && gate.links > 0 && !gate.draining;
        let mut gates: Vec<(GateId, usize)> =
            self.gates.iter().filter(|(_, gate)| may(gate) && now >= gate.barred_until).map(open).collect();
        if gates.is_empty() {
            gates = self.gates.iter().filter(|(_, gate)| may(gate)).map(open).collect();
        }
        let all: usize = gates.iter().map(|(_, credit)| credit).sum();
        if all == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..all);
        gates
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
        let up = |gate: &Gate| gate.site == site && gate.links > 0 && !gate.draining;
        site == OWN || self.gates.values().any(up)
    }

    /// Protects other sites, and the members here, from walks at every short break of a link: the home's tasks wait
    /// as long as after a round of 'not here'. Should also cover a gateway that starts anew. Harms writes whose home
    /// moved with the break.
    pub(super) fn lost_lately(&self, now: Micros, site: SiteId) -> bool {
        self.gates.values().any(|gate| gate.site == site && !gate.draining && now - gate.lost < HOLD)
    }

    /// The three bars: its own word that it drains, no link that stands, failures in a row.
    pub(super) fn usable(&self, now: Micros, gate: &Gate) -> bool {
        gate.links > 0 && !gate.draining && now >= gate.barred_until
    }

    pub(super) fn hold(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        if !errand.task.visited.is_empty() {
            // Who sent it holds it; here it only takes up time.
            return self.not_here(handle, OWN);
        }
        // Protects a client from a long wait for nothing, as the module does: a read that no site has room for by half of its
        // time is denied then. Harms what finds room later.
        let reads = self.terms.classes[errand.task.class].need != Need::Primary;
        if reads && now + errand.task.ttl / 2 >= errand.limit {
            return self.give_up(handle);
        }
        let round = !errand.tried.is_empty();
        errand.tried.clear();
        let group = errand.task.group;
        if round && self.homes.walk_after(group) <= now {
            self.homes.hold_walks(group, now + HOLD);
        }
        self.held.push(handle);
    }

    /// To the gateway that sent it: it never ran, and the primary is elsewhere.
    pub(super) fn not_here(&mut self, handle: Handle, believed: SiteId) {
        let hint = (believed != OWN).then_some(believed);
        self.todo.steps.push((handle, Step::NotHere { hint }));
        self.close(handle);
    }

    pub(super) fn here_missed(&mut self, now: Micros, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle).filter(|errand| errand.here) else { return };
        // Protects what the module knows: taken back it would be denied, or sent elsewhere, as one that never ran. Harms a
        // receipted task whose group's primary moved to another site: it is broken off where it might have been honoured.
        if matches!(errand.may_have_run, Some((_, OWN))) {
            return;
        }
        errand.misses += 1;
        let (group, misses) = (errand.task.group, errand.misses);
        // Once every member here has said that it is not the primary, the walk goes on at other sites. Where there
        // are none that could be asked, the own module holds the task as ever.
        if misses < self.homes.here(group) || self.homes.home(group) == Some(OWN) && misses < 2 {
            return;
        }
        self.homes.missed(now, group, OWN, None);
        let errand = &self.errands[&handle];
        let guest = !errand.task.visited.is_empty();
        let elsewhere = self.gates.values().any(|gate| {
            self.usable(now, gate)
                && self.homes.is_at(group, gate.site)
                && !errand.tried.contains(&gate.site)
                && !errand.task.visited.contains(&gate.site)
        });
        if !guest && !elsewhere {
            // With the own module again, which holds it after its round of misses; then all may be asked anew.
            return self.errands.get_mut(&handle).expect("held by its handle").tried.clear();
        }
        self.todo.steps.push((handle, Step::TakeBack));
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        errand.here = false;
        errand.tried.push(OWN);
        self.place(now, handle);
    }

    pub(super) fn here_ended(&mut self, now: Micros, handle: Handle, ended: HereEnded) {
        let Some(errand) = self.errands.get(&handle).filter(|errand| errand.here) else { return };
        let (group, need) = (errand.task.group, self.class(&errand.task).need);
        match ended {
            HereEnded::Honoured => {
                if need == Need::Primary && self.homes.answered(now, group, OWN) {
                    self.todo.offers = true;
                }
                self.todo.steps.push((handle, Step::Honour));
            }
            // The module knows nothing of what it did at another site.
            HereEnded::Denied { cool_down } if errand.may_have_run.is_some_and(|(_, site)| site != OWN) => {
                return self.deny(handle, cool_down);
            }
            HereEnded::Denied { cool_down } => self.todo.steps.push((handle, Step::Deny { cool_down })),
            HereEnded::BrokenOff => self.todo.steps.push((handle, Step::BreakOff)),
        }
        self.close(handle);
    }
}
