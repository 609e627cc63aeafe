//! What is heard: lists, links, other gateways' answers.

use super::*;

impl Sites {
    /// The operator's word on a group's home, until an answer tells.
    pub fn guess(&mut self, group: u64, site: SiteId) {
        self.homes.guess(group, site);
    }

    /// The groups that have members here, and how many.
    pub fn listed(&mut self, now: Micros, groups: &[(u64, usize)]) -> Actions {
        self.homes.listed(groups);
        self.actions.offers = true;
        self.pump_all(now);
        self.take_actions()
    }

    /// A member here said that it is its group's primary.
    pub fn primary_here(&mut self, now: Micros, group: u64) -> Actions {
        if self.homes.answered(now, group, OWN) {
            self.actions.offers = true;
            self.pump_all(now);
        }
        self.take_actions()
    }

    /// Another gateway was greeted, or one of its links came or went: so many stand now. `same` is false where its
    /// process is another one than before: what that one took it knows as far as it was kept.
    pub fn links(&mut self, now: Micros, id: GateId, site: SiteId, links: usize, same: bool) -> Actions {
        let classes = &self.terms.classes;
        let gate = self.gates.entry(id).or_insert_with(|| Gate {
            site,
            links: 0,
            lost: Micros::MIN / 2,
            round_trip: RoundTripEstimate::assumed(TRIP),
            credits: vec![0; classes.len()],
            draining: false,
            blacklisted_until: Micros::MIN / 2,
            failures: VecDeque::new(),
            served: 0,
            took: classes.iter().map(|class| Histogram::of(class.objective / 8, 4)).collect(),
        });
        if gate.links > 0 && links == 0 {
            gate.lost = now;
        }
        gate.links = links;
        if !same {
            gate.draining = false;
            self.offers.forget(id);
            // The book of its earlier start may have been kept: it is asked, and knows or does not.
            for number in self.crossings.open_at(id) {
                let Some(sent) = self.crossings.get_mut(number) else { continue };
                let harmless = self.terms.classes[sent.class].effect != Effect::Effectful;
                let settled = sent.crossing.lost(harmless);
                self.settle(now, number, settled);
            }
        }
        if links > 0 {
            self.ask_all(now, id);
        } else if let Some(gate) = self.gates.get_mut(&id) {
            // What it said of its room is no longer true.
            gate.credits.iter_mut().for_each(|credit| *credit = 0);
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// The link that these numbers went out on broke.
    pub fn lost(&mut self, now: Micros, id: GateId, numbers: &[u64]) -> Actions {
        for &number in numbers {
            let Some(sent) = self.crossings.get(number).filter(|sent| sent.gate == id) else { continue };
            let harmless = self.terms.classes[sent.class].effect != Effect::Effectful;
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
    pub fn room(
        &mut self,
        now: Micros,
        id: GateId,
        credits: Vec<u32>,
        homes: &[(u64, bool)],
        draining: bool,
    ) -> Actions {
        if let Some(gate) = self.gates.get_mut(&id) {
            (gate.credits, gate.draining) = (credits, draining);
            let site = gate.site;
            self.homes.told(now, site, homes);
        }
        self.pump_all(now);
        self.take_actions()
    }

    pub fn trip(&mut self, id: GateId, took: Micros) {
        if let Some(gate) = self.gates.get_mut(&id) {
            gate.round_trip.record(took);
        }
    }

    /// Another gateway answered a request.
    pub fn answered(&mut self, now: Micros, number: u64, answer: Answer) -> Actions {
        if let Some(sent) = self.crossings.get_mut(number) {
            let (id, handle, class, at) = (sent.gate, sent.handle, sent.class, sent.since);
            let settled = sent.crossing.answered(answer);
            let group = self.pending_requests.get(&handle).map(|pending| pending.request.group);
            if let Some(gate) = self.gates.get_mut(&id) {
                let site = gate.site;
                match answer {
                    Answer::Served => {
                        if at >= self.woke {
                            gate.took[class].add(now - at, KEEP);
                        }
                        gate.served = gate.served.saturating_add(1);
                        gate.failures.clear();
                        if let (Some(group), Need::Primary) = (group, self.terms.classes[class].need) {
                            self.homes.answered(now, group, site);
                        }
                    }
                    Answer::NotHere { hint } => {
                        group.into_iter().for_each(|group| self.homes.missed(now, group, site, hint));
                        if let Some(pending) = self.pending_requests.get_mut(&handle) {
                            pending.tried.push(site);
                        }
                    }
                    Answer::Rejected { .. } | Answer::Failed | Answer::NeverTaken => {}
                }
            }
            match answer {
                // The far site's word on when to come again goes to the client as it is.
                Answer::Rejected { cool_down } => {
                    self.uncross(number);
                    self.reject(handle, cool_down);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// Another gateway said what became of a request that was asked about.
    pub fn fate<V>(&mut self, now: Micros, number: u64, fate: &Fate<V>) -> Actions {
        if let Some(sent) = self.crossings.get_mut(number) {
            let handle = sent.handle;
            let settled = sent.crossing.told(fate);
            match fate {
                Fate::Rejected { cool_down } => {
                    self.uncross(number);
                    self.reject(handle, *cool_down);
                }
                _ => self.settle(now, number, settled),
            }
        }
        self.pump_all(now);
        self.take_actions()
    }

    /// What is offered to another gateway now: credits by request class, and the groups here with their
    /// primary or not.
    pub fn offered(&mut self, id: GateId) -> (Vec<u32>, Vec<(u64, bool)>) {
        let homes = &self.homes;
        let here = homes.known().filter(|&group| homes.here(group) > 0);
        let groups = here.map(|group| (group, homes.home(group) == Some(OWN))).collect();
        (self.offers.credits(id), groups)
    }

    /// A request of another gateway came, or is over here.
    pub fn guest_came(&mut self, id: GateId, class: usize) {
        self.offers.came(id, class);
    }

    pub fn guest_over(&mut self, now: Micros, id: GateId, class: usize, rejected: bool) -> bool {
        self.offers.over(now, id, class, rejected)
    }

    pub fn wake(&mut self, now: Micros) -> Actions {
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            self.beat(now);
        }
        self.take_actions()
    }
}
