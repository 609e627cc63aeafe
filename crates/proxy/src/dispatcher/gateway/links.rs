//! Links that come and go, and what is heard over them.

use super::*;

impl Dispatcher {
    pub(crate) fn link(&mut self, link: LinkId, call: LinkCall) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        match call {
            LinkCall::Up { said, holder } => {
                gateway_part.links.insert(link, LinkState { gate: None, said, holder });
            }
            LinkCall::Broke => self.link_broke(link),
            LinkCall::Heard(Event::Met(identity)) => self.met(link, identity),
            LinkCall::Heard(event) => {
                let Some(gate) = gateway_part.links.get(&link).and_then(|state| state.gate) else { return };
                self.heard(link, gate, event);
            }
        }
    }

    pub(super) fn met(&mut self, link: LinkId, identity: Identity) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(site) = gateway_part.site(&identity.site).filter(|&site| site != OWN) else {
            gateway_part.links.remove(&link);
            return;
        };
        let Identity { site: name, instance, start } = identity;
        let origin = Origin { site: name, instance, start };
        let known =
            |gate: &GateState| gate.origin.site == origin.site && gate.origin.instance == origin.instance;
        let id = gateway_part.gates.iter().position(known).unwrap_or_else(|| {
            gateway_part.gates.push(GateState { site, origin: origin.clone(), links: Vec::new() });
            gateway_part.gates.len() - 1
        });
        let current_up = !gateway_part.gates[id].links.is_empty();
        if !gateway_part.fates.greeted(&origin, current_up) {
            warn!(self.context.log, "link of an earlier start of that gateway, closed"; "link" => link,
                "site" => &origin.site, "instance" => &origin.instance);
            gateway_part.links.remove(&link);
            return;
        }
        let same = gateway_part.gates[id].origin.start == origin.start;
        if !same {
            info!(self.context.log, "gateway started anew, what it had taken it knows as far as it was kept";
                "site" => &origin.site, "instance" => &origin.instance);
            // Links of the start before lead nowhere.
            for old in std::mem::take(&mut gateway_part.gates[id].links) {
                gateway_part.links.remove(&old);
            }
            gateway_part.gates[id].origin = origin;
        }
        gateway_part.gates[id].links.push(link);
        if let Some(state) = gateway_part.links.get_mut(&link) {
            state.gate = Some(id);
        }
        let links = gateway_part.gates[id].links.len();
        let actions = gateway_part.sites.links(now, id, site, links, same);
        gateway_part.tell_room(Some(id));
        self.carry_out_sites(actions, None);
    }

    pub(super) fn link_broke(&mut self, link: LinkId) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(id) = gateway_part.links.remove(&link).and_then(|state| state.gate) else { return };
        gateway_part.gates[id].links.retain(|&other| other != link);
        let (site, links) = (gateway_part.gates[id].site, gateway_part.gates[id].links.len());
        let over =
            gateway_part.crossed.iter().filter(|(_, crossed)| crossed.link == link && crossed.gate == id);
        let mut numbers: Vec<u64> = over.map(|(&number, _)| number).collect();
        numbers.sort();
        if links == 0 {
            warn!(self.context.log, "no link to that gateway any more"; "site" => &gateway_part.names[site],
                "instance" => &gateway_part.gates[id].origin.instance, "unsettled" => numbers.len());
        }
        let first = gateway_part.sites.links(now, id, site, links, true);
        let second = gateway_part.sites.lost(now, id, &numbers);
        self.carry_out_sites(first, None);
        self.carry_out_sites(second, None);
    }

    pub(super) fn heard(&mut self, link: LinkId, gate: GateId, event: Event) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let origin = gateway_part.gates[gate].origin.clone();
        match event {
            Event::Met(_) => {}
            Event::Request(request, statement) => self.guest_came(link, gate, request, statement),
            Event::Outcome(outcome, value) => {
                let answer = match outcome.kind() {
                    OutcomeKind::Served => FarAnswer::Served,
                    OutcomeKind::Rejected => FarAnswer::Rejected { cool_down: micros(outcome.cool_down_us) },
                    OutcomeKind::NotHere => FarAnswer::NotHere { hint: gateway_part.site(&outcome.hint) },
                    OutcomeKind::Wrong => FarAnswer::NeverTaken,
                    OutcomeKind::Failed | OutcomeKind::Unset => FarAnswer::Failed,
                };
                let brought = self.brought(outcome.number, value);
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let actions = gateway_part.sites.answered(now, outcome.number, answer);
                gateway_part.crossed.remove(&outcome.number);
                self.carry_out_sites(actions, brought);
            }
            Event::Fate(told, value) => {
                let kind = told.kind();
                let fate = match kind {
                    FateKind::NeverTaken => Fate::NeverTaken,
                    FateKind::Rejected => Fate::Rejected { cool_down: micros(told.cool_down_us) },
                    FateKind::Served => Fate::Served(()),
                    FateKind::UnderWay => Fate::UnderWay,
                    FateKind::Failed => Fate::Failed,
                    FateKind::Unknown | FateKind::Unset => Fate::Unknown,
                };
                if kind == FateKind::UnderWay
                    && let Some(crossed) = gateway_part.crossed.get_mut(&told.number)
                {
                    crossed.link = link;
                }
                let brought = self.brought(told.number, value);
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let actions = gateway_part.sites.fate(now, told.number, &fate);
                self.carry_out_sites(actions, brought);
            }
            Event::Cancel(number) => {
                let Some(&handle) = gateway_part.guests.get(&(gate, number)) else {
                    // One that waits for its record never begins.
                    let before = gateway_part.coming.len();
                    gateway_part.coming.retain(|_, coming| (coming.gate, coming.number) != (gate, number));
                    if gateway_part.coming.len() < before {
                        gateway_part.fates.settle(&origin, number, Fate::Rejected { cool_down: 0 });
                    }
                    return;
                };
                // What the module has begun may run yet.
                gateway_part.fates.settle(&origin, number, Fate::Failed);
                let class = gateway_part.trips.get(&handle).map_or(0, |trip| trip.class);
                gateway_part.sites.guest_over(now, gate, class, false);
                self.trip_left(handle);
            }
            Event::Ask(ask) => {
                let own = gateway_part.own.start;
                let fate = match &mut gateway_part.book {
                    // What an earlier start took is in what was kept of it.
                    Some(book) if ask.receiver_start != own => {
                        let fate = book.ask(now, &origin, ask.number, ask.receiver_start);
                        fate.map(|bytes| Kept { bytes, _room: None })
                    }
                    _ => gateway_part.fates.ask(now, &origin, ask.number, ask.receiver_start, own),
                };
                let (kind, cool_down, value) = match fate {
                    Fate::NeverTaken => (FateKind::NeverTaken, 0, Vec::new()),
                    Fate::UnderWay => (FateKind::UnderWay, 0, Vec::new()),
                    Fate::Rejected { cool_down } => (FateKind::Rejected, cool_down, Vec::new()),
                    Fate::Served(kept) => (FateKind::Served, 0, kept.bytes.to_vec()),
                    Fate::Failed => (FateKind::Failed, 0, Vec::new()),
                    Fate::Unknown => (FateKind::Unknown, 0, Vec::new()),
                };
                for coming in gateway_part
                    .coming
                    .values_mut()
                    .filter(|coming| (coming.gate, coming.number) == (gate, ask.number))
                {
                    coming.link = link;
                }
                if let Some(trip) =
                    gateway_part.guests.get(&(gate, ask.number)).and_then(|at| gateway_part.trips.get_mut(at))
                    && let Some(guest) = &mut trip.guest
                {
                    guest.link = link;
                }
                let cool_down_us = cool_down.max(0) as u64;
                let told = FateFrame { number: ask.number, kind: kind.into(), cool_down_us, length: 0 };
                gateway_part.say(gate, Some(link), Said::Fate(told, value));
            }
            Event::Confirm(confirm) => gateway_part.fates.confirm(&origin, confirm.upto),
            Event::Room(room) => {
                let credit = |name: &String| room.credits.iter().find(|credit| credit.class == *name);
                let credits =
                    gateway_part.classes.iter().map(|name| credit(name).map_or(0, |credit| credit.requests));
                let homes: Vec<(u64, bool)> =
                    room.homes.iter().map(|home| (home.group, home.primary)).collect();
                let actions = gateway_part.sites.room(now, gate, credits.collect(), &homes, room.draining);
                self.carry_out_sites(actions, None);
            }
            Event::Trip(took) => gateway_part.sites.trip(gate, took),
        }
    }

    /// What another gateway sent for a request, with room for it where it is large.
    pub(super) fn brought(&self, number: u64, value: Vec<u8>) -> Option<(Handle, Answer)> {
        let gateway_part = self.gateway_part.as_ref()?;
        let handle = gateway_part.sites.crossed(number)?;
        let trip = gateway_part.trips.get(&handle)?;
        let best = self.context.best_paid.contains(&trip.order.comment.class);
        let mut room = None;
        if value.len() > self.context.limits.small {
            room = self.context.gate.room_now(trip.order.holder, value.len(), best);
            if room.is_none() {
                return Some((handle, self.without_room(trip.class)));
            }
        }
        Some((handle, Answer::Served(Rows { pieces: vec![value], room })))
    }
}
