//! Links that come and go, and what is heard over them.

use super::*;

impl Dispatcher {
    pub(in crate::dispatcher) fn link_message(&mut self, link: LinkId, call: LinkCall) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        match call {
            LinkCall::Up { said, holder } => {
                gateway_part.links.insert(link, LinkState { gate: None, said, holder });
            }
            LinkCall::Broke => self.link_lost(link),
            LinkCall::Heard(Event::Met(identity)) => self.greeted_on(link, identity),
            LinkCall::Heard(event) => {
                let Some(gate) = gateway_part.links.get(&link).and_then(|state| state.gate) else { return };
                self.link_event(link, gate, event);
            }
        }
    }

    pub(super) fn greeted_on(&mut self, link: LinkId, identity: Identity) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(site) = gateway_part.site(&identity.site).filter(|&site| site != OWN) else {
            gateway_part.links.remove(&link);
            return;
        };
        let Identity { site: name, instance, start } = identity;
        let origin = Origin { site: name, instance, start };
        let known =
            |gate: &PeerGateway| gate.origin.site == origin.site && gate.origin.instance == origin.instance;
        let id = gateway_part.peer_gateways.iter().position(known).unwrap_or_else(|| {
            gateway_part.peer_gateways.push(PeerGateway { site, origin: origin.clone(), links: Vec::new() });
            gateway_part.peer_gateways.len() - 1
        });
        let current_up = !gateway_part.peer_gateways[id].links.is_empty();
        if !gateway_part.fates.greeted(&origin, current_up) {
            warn!(self.context.log, "link of an earlier start of that gateway, closed"; "link" => link,
                "site" => &origin.site, "instance" => &origin.instance);
            gateway_part.links.remove(&link);
            return;
        }
        let same = gateway_part.peer_gateways[id].origin.start == origin.start;
        if !same {
            info!(self.context.log, "gateway started anew, what it had taken it knows as far as it was kept";
                "site" => &origin.site, "instance" => &origin.instance);
            // Links of the start before lead nowhere.
            for old in std::mem::take(&mut gateway_part.peer_gateways[id].links) {
                gateway_part.links.remove(&old);
            }
            gateway_part.peer_gateways[id].origin = origin;
        }
        gateway_part.peer_gateways[id].links.push(link);
        if let Some(state) = gateway_part.links.get_mut(&link) {
            state.gate = Some(id);
        }
        let links = gateway_part.peer_gateways[id].links.len();
        let actions = gateway_part.sites.links(now, id, site, links, same);
        gateway_part.announce_room(Some(id));
        self.carry_out_sites(actions, None);
    }

    pub(super) fn link_lost(&mut self, link: LinkId) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(id) = gateway_part.links.remove(&link).and_then(|state| state.gate) else { return };
        gateway_part.peer_gateways[id].links.retain(|&other| other != link);
        let (site, links) = (gateway_part.peer_gateways[id].site, gateway_part.peer_gateways[id].links.len());
        let over = gateway_part.sent.iter().filter(|(_, crossed)| crossed.link == link && crossed.gate == id);
        let mut numbers: Vec<u64> = over.map(|(&number, _)| number).collect();
        numbers.sort();
        if links == 0 {
            warn!(self.context.log, "no link to that gateway any more"; "site" => &gateway_part.names[site],
                "instance" => &gateway_part.peer_gateways[id].origin.instance, "unsettled" => numbers.len());
        }
        let first = gateway_part.sites.links(now, id, site, links, true);
        let second = gateway_part.sites.lost(now, id, &numbers);
        self.carry_out_sites(first, None);
        self.carry_out_sites(second, None);
    }

    pub(super) fn link_event(&mut self, link: LinkId, gate: GateId, event: Event) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let origin = gateway_part.peer_gateways[gate].origin.clone();
        match event {
            Event::Met(_) => {}
            Event::Request(request, statement) => self.remote_request_arrived(link, gate, request, statement),
            Event::Outcome(outcome, value) => {
                let answer = match outcome.kind() {
                    OutcomeKind::Served => FarAnswer::Served,
                    OutcomeKind::Rejected => FarAnswer::Rejected { cool_down: micros(outcome.cool_down_us) },
                    OutcomeKind::NotHere => FarAnswer::NotHere { hint: gateway_part.site(&outcome.hint) },
                    OutcomeKind::Wrong => FarAnswer::NeverTaken,
                    OutcomeKind::Failed | OutcomeKind::Unset => FarAnswer::Failed,
                };
                let brought = self.received_value(outcome.number, value);
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let actions = gateway_part.sites.answered(now, outcome.number, answer);
                gateway_part.sent.remove(&outcome.number);
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
                    && let Some(crossed) = gateway_part.sent.get_mut(&told.number)
                {
                    crossed.link = link;
                }
                let brought = self.received_value(told.number, value);
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let actions = gateway_part.sites.fate(now, told.number, &fate);
                self.carry_out_sites(actions, brought);
            }
            Event::Cancel(number) => {
                let Some(&handle) = gateway_part.remote_requests.get(&(gate, number)) else {
                    // One that waits for its record never begins.
                    let before = gateway_part.arriving.len();
                    gateway_part
                        .arriving
                        .retain(|_, arriving| (arriving.gate, arriving.number) != (gate, number));
                    if gateway_part.arriving.len() < before {
                        gateway_part.fates.settle(&origin, number, Fate::Rejected { cool_down: 0 });
                    }
                    return;
                };
                // What the module has begun may run yet.
                gateway_part.fates.settle(&origin, number, Fate::Failed);
                let class = gateway_part.forwarded.get(&handle).map_or(0, |forwarded| forwarded.class);
                gateway_part.sites.guest_over(now, gate, class, false);
                self.forwarded_request_left(handle);
            }
            Event::Ask(ask) => {
                let own = gateway_part.own.start;
                let fate = match &mut gateway_part.outcome_log {
                    // What an earlier start took is in what was kept of it.
                    Some(outcome_log) if ask.receiver_start != own => {
                        let fate = outcome_log.ask(now, &origin, ask.number, ask.receiver_start);
                        fate.map(|bytes| KeptValue { bytes, _room: None })
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
                for arriving in gateway_part
                    .arriving
                    .values_mut()
                    .filter(|arriving| (arriving.gate, arriving.number) == (gate, ask.number))
                {
                    arriving.link = link;
                }
                if let Some(forwarded) = gateway_part
                    .remote_requests
                    .get(&(gate, ask.number))
                    .and_then(|at| gateway_part.forwarded.get_mut(at))
                    && let Some(guest) = &mut forwarded.guest
                {
                    guest.link = link;
                }
                let cool_down_us = cool_down.max(0) as u64;
                let told = FateFrame { number: ask.number, kind: kind.into(), cool_down_us, length: 0 };
                gateway_part.send(gate, Some(link), Said::Fate(told, value));
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
    pub(super) fn received_value(&self, number: u64, value: Vec<u8>) -> Option<(Handle, Answer)> {
        let gateway_part = self.gateway_part.as_ref()?;
        let handle = gateway_part.sites.crossed(number)?;
        let forwarded = gateway_part.forwarded.get(&handle)?;
        let best = self.context.best_paid.contains(&forwarded.order.comment.class);
        let mut room = None;
        if value.len() > self.context.limits.small {
            room = self.context.gate.room_now(forwarded.order.holder, value.len(), best);
            if room.is_none() {
                return Some((handle, self.without_room(forwarded.class)));
            }
        }
        Some((handle, Answer::Served(Rows { pieces: vec![value], room })))
    }
}
