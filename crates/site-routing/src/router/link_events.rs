//! What is heard: lists, links, other gateways' answers.

use super::*;

impl SiteRouter {
    /// The operator's word on a group's home, until an answer tells.
    pub fn assume_home(&mut self, group: u64, site: SiteId) {
        self.homes.guess(group, site);
    }

    /// The groups that have members here, and how many.
    pub fn groups_listed(&mut self, now: Micros, groups: &[(u64, usize)]) -> Actions {
        self.homes.listed(groups);
        self.actions.announce_capacity = true;
        self.pump_all(now);
        self.take_actions()
    }

    /// A member here said that it is its group's primary.
    pub fn primary_found_here(&mut self, now: Micros, group: u64) -> Actions {
        if self.homes.answered(now, group, LOCAL_SITE) {
            self.actions.announce_capacity = true;
            self.pump_all(now);
        }
        self.take_actions()
    }

    /// Another gateway was greeted, or one of its links came or went: so many stand now. `same` is false where its
    /// process is another one than before: what that one took it knows as far as it was kept.
    pub fn links_changed(
        &mut self,
        now: Micros,
        id: PeerGatewayId,
        site: SiteId,
        links: usize,
        same: bool,
    ) -> Actions {
        let classes = &self.terms.classes;
        let gateway = self.gateways.entry(id).or_insert_with(|| PeerGateway {
            site,
            links: 0,
            lost: Micros::MIN / 2,
            trip: Trip::guessed(TRIP),
            credits: vec![0; classes.len()],
            draining: false,
            blacklisted_until: Micros::MIN / 2,
            failures: VecDeque::new(),
            served: 0,
            took: classes.iter().map(|class| Histogram::of(class.objective / 8, 4)).collect(),
        });
        if gateway.links > 0 && links == 0 {
            gateway.lost = now;
        }
        gateway.links = links;
        if !same {
            gateway.draining = false;
            self.link_credit.forget(id);
            // The book of its earlier start may have been kept: it is asked, and knows or does not.
            for number in self.crossings.open_at(id) {
                let Some(sent) = self.crossings.get_mut(number) else { continue };
                let harmless = self.terms.classes[sent.class].effect != Effect::NonIdempotent;
                let settled = sent.crossing.lost(harmless);
                self.settle(now, number, settled);
            }
        }
        if links > 0 {
            self.ask_all(now, id);
        } else if let Some(gateway) = self.gateways.get_mut(&id) {
            // What it said of its room is no longer true.
            gateway.credits.iter_mut().for_each(|credit| *credit = 0);
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// The link that these numbers went out on broke.
    pub fn link_lost(&mut self, now: Micros, id: PeerGatewayId, numbers: &[u64]) -> Actions {
        for &number in numbers {
            let Some(sent) = self.crossings.get(number).filter(|sent| sent.gateway == id) else { continue };
            let harmless = self.terms.classes[sent.class].effect != Effect::NonIdempotent;
            if let Some(sent) = self.crossings.get_mut(number) {
                let settled = sent.crossing.lost(harmless);
                self.settle(now, number, settled);
            }
        }
        self.ask_all(now, id);
        self.pump_all(now);
        self.take_actions()
    }

    /// What another gateway says of itself: its credits by request class, its groups and which of them have
    /// their primary there, whether it drains.
    pub fn capacity_announced(
        &mut self,
        now: Micros,
        id: PeerGatewayId,
        credits: Vec<u32>,
        homes: &[(u64, bool)],
        draining: bool,
    ) -> Actions {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            (gateway.credits, gateway.draining) = (credits, draining);
            let site = gateway.site;
            self.homes.told(now, site, homes);
        }
        self.pump_all(now);
        self.take_actions()
    }

    pub fn round_trip_measured(&mut self, id: PeerGatewayId, took: Micros) {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            gateway.trip.measured(took);
        }
    }

    /// Another gateway answered a request.
    pub fn answered(&mut self, now: Micros, number: u64, answer: PeerAnswer) -> Actions {
        if let Some(sent) = self.crossings.get_mut(number) {
            let (id, handle, class, at) = (sent.gateway, sent.handle, sent.class, sent.since);
            let settled = sent.crossing.answered(answer);
            let group = self.pending_requests.get(&handle).map(|pending| pending.request.group);
            if let Some(gateway) = self.gateways.get_mut(&id) {
                let site = gateway.site;
                match answer {
                    PeerAnswer::Served => {
                        if at >= self.woke {
                            gateway.took[class].add(now - at, KEEP);
                        }
                        gateway.served = gateway.served.saturating_add(1);
                        gateway.failures.clear();
                        if let (Some(group), Need::Primary) = (group, self.terms.classes[class].need) {
                            self.homes.answered(now, group, site);
                        }
                    }
                    PeerAnswer::NotPrimary { hint } => {
                        group.into_iter().for_each(|group| self.homes.missed(now, group, site, hint));
                        if let Some(pending) = self.pending_requests.get_mut(&handle) {
                            pending.tried.push(site);
                        }
                    }
                    PeerAnswer::Rejected { .. } | PeerAnswer::Failed | PeerAnswer::NeverAccepted => {}
                }
            }
            match answer {
                // The far site's word on when to come again goes to the client as it is.
                PeerAnswer::Rejected { retry_after } => {
                    self.uncross(number);
                    self.reject(handle, retry_after);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// Another gateway said what became of a request that was asked about.
    pub fn outcome_received<V>(&mut self, now: Micros, number: u64, fate: &Outcome<V>) -> Actions {
        if let Some(sent) = self.crossings.get_mut(number) {
            let handle = sent.handle;
            let settled = sent.crossing.told(fate);
            match fate {
                Outcome::Rejected { retry_after } => {
                    self.uncross(number);
                    self.reject(handle, *retry_after);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// What is offered to another gateway now: credits by request class, and the groups here with their
    /// primary or not.
    pub fn offered_capacity(&mut self, id: PeerGatewayId) -> (Vec<u32>, Vec<(u64, bool)>) {
        let homes = &self.homes;
        let here = homes.known().filter(|&group| homes.here(group) > 0);
        let groups = here.map(|group| (group, homes.home(group) == Some(LOCAL_SITE))).collect();
        (self.link_credit.credits(id), groups)
    }

    /// A request of another gateway came, or is over here.
    pub fn remote_request_started(&mut self, id: PeerGatewayId, class: usize) {
        self.link_credit.came(id, class);
    }

    pub fn remote_request_ended(
        &mut self,
        now: Micros,
        id: PeerGatewayId,
        class: usize,
        rejected: bool,
    ) -> bool {
        self.link_credit.over(now, id, class, rejected)
    }

    pub fn wake(&mut self, now: Micros) -> Actions {
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.beat(now);
        }
        self.take_actions()
    }
}
