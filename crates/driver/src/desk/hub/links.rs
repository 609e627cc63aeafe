//! Links that come and go, and what is heard over them.

use super::*;

impl Desk {
    pub(crate) fn link(&mut self, link: LinkId, call: LinkCall) {
        let Some(hub) = &mut self.hub else { return };
        match call {
            LinkCall::Up { said, holder } => {
                hub.links.insert(link, LinkState { gate: None, said, holder });
            }
            LinkCall::Broke => self.link_broke(link),
            LinkCall::Heard(Event::Met(identity)) => self.met(link, identity),
            LinkCall::Heard(event) => {
                let Some(gate) = hub.links.get(&link).and_then(|state| state.gate) else { return };
                self.heard(link, gate, event);
            }
        }
    }

    pub(super) fn met(&mut self, link: LinkId, identity: Identity) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let Some(site) = hub.site(&identity.site).filter(|&site| site != OWN) else {
            hub.links.remove(&link);
            return;
        };
        let Identity { site: name, instance, start } = identity;
        let origin = Origin { site: name, instance, start };
        let known =
            |gate: &GateState| gate.origin.site == origin.site && gate.origin.instance == origin.instance;
        let id = hub.gates.iter().position(known).unwrap_or_else(|| {
            hub.gates.push(GateState { site, origin: origin.clone(), links: Vec::new() });
            hub.gates.len() - 1
        });
        let current_up = !hub.gates[id].links.is_empty();
        if !hub.fates.greeted(&origin, current_up) {
            warn!(self.context.log, "link of an earlier start of that gateway, closed"; "link" => link,
                "site" => &origin.site, "instance" => &origin.instance);
            hub.links.remove(&link);
            return;
        }
        let same = hub.gates[id].origin.start == origin.start;
        if !same {
            info!(self.context.log, "gateway started anew, what it had taken it knows as far as it was kept";
                "site" => &origin.site, "instance" => &origin.instance);
            // Links of the start before lead nowhere.
            for old in std::mem::take(&mut hub.gates[id].links) {
                hub.links.remove(&old);
            }
            hub.gates[id].origin = origin;
        }
        hub.gates[id].links.push(link);
        if let Some(state) = hub.links.get_mut(&link) {
            state.gate = Some(id);
        }
        let links = hub.gates[id].links.len();
        let todo = hub.sites.links(now, id, site, links, same);
        hub.tell_room(Some(id));
        self.carry_out_sites(todo, None);
    }

    pub(super) fn link_broke(&mut self, link: LinkId) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let Some(id) = hub.links.remove(&link).and_then(|state| state.gate) else { return };
        hub.gates[id].links.retain(|&other| other != link);
        let (site, links) = (hub.gates[id].site, hub.gates[id].links.len());
        let over = hub.crossed.iter().filter(|(_, crossed)| crossed.link == link && crossed.gate == id);
        let mut numbers: Vec<u64> = over.map(|(&number, _)| number).collect();
        numbers.sort();
        if links == 0 {
            warn!(self.context.log, "no link to that gateway any more"; "site" => &hub.names[site],
                "instance" => &hub.gates[id].origin.instance, "unsettled" => numbers.len());
        }
        let first = hub.sites.links(now, id, site, links, true);
        let second = hub.sites.lost(now, id, &numbers);
        self.carry_out_sites(first, None);
        self.carry_out_sites(second, None);
    }

    pub(super) fn heard(&mut self, link: LinkId, gate: GateId, event: Event) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let origin = hub.gates[gate].origin.clone();
        match event {
            Event::Met(_) => {}
            Event::Task(task, statement) => self.guest_came(link, gate, task, statement),
            Event::Outcome(outcome, value) => {
                let answer = match outcome.kind() {
                    OutcomeKind::Honoured => FarAnswer::Honoured,
                    OutcomeKind::Denied => FarAnswer::Denied { cool_down: micros(outcome.cool_down_us) },
                    OutcomeKind::NotHere => FarAnswer::NotHere { hint: hub.site(&outcome.hint) },
                    OutcomeKind::Wrong => FarAnswer::NeverTaken,
                    OutcomeKind::BrokenOff | OutcomeKind::Unset => FarAnswer::BrokenOff,
                };
                let brought = self.brought(outcome.number, value);
                let Some(hub) = &mut self.hub else { return };
                let todo = hub.sites.answered(now, outcome.number, answer);
                hub.crossed.remove(&outcome.number);
                self.carry_out_sites(todo, brought);
            }
            Event::Fate(told, value) => {
                let kind = told.kind();
                let fate = match kind {
                    FateKind::NeverTaken => Fate::NeverTaken,
                    FateKind::Denied => Fate::Denied { cool_down: micros(told.cool_down_us) },
                    FateKind::Honoured => Fate::Honoured(()),
                    FateKind::UnderWay => Fate::UnderWay,
                    FateKind::BrokenOff => Fate::BrokenOff,
                    FateKind::Unknown | FateKind::Unset => Fate::Unknown,
                };
                if kind == FateKind::UnderWay
                    && let Some(crossed) = hub.crossed.get_mut(&told.number)
                {
                    crossed.link = link;
                }
                let brought = self.brought(told.number, value);
                let Some(hub) = &mut self.hub else { return };
                let todo = hub.sites.fate(now, told.number, &fate);
                self.carry_out_sites(todo, brought);
            }
            Event::Cancel(number) => {
                let Some(&handle) = hub.guests.get(&(gate, number)) else {
                    // One that waits for its record never begins.
                    let before = hub.coming.len();
                    hub.coming.retain(|_, coming| (coming.gate, coming.number) != (gate, number));
                    if hub.coming.len() < before {
                        hub.fates.settle(&origin, number, Fate::Denied { cool_down: 0 });
                    }
                    return;
                };
                // What the module has begun may run yet.
                hub.fates.settle(&origin, number, Fate::BrokenOff);
                let offering = hub.trips.get(&handle).map_or(0, |trip| trip.offering);
                hub.sites.guest_over(now, gate, offering, false);
                self.trip_left(handle);
            }
            Event::Ask(ask) => {
                let own = hub.own.start;
                let fate = match &mut hub.book {
                    // What an earlier start took is in what was kept of it.
                    Some(book) if ask.receiver_start != own => {
                        let fate = book.ask(now, &origin, ask.number, ask.receiver_start);
                        fate.map(|bytes| Kept { bytes, _room: None })
                    }
                    _ => hub.fates.ask(now, &origin, ask.number, ask.receiver_start, own),
                };
                let (kind, cool_down, value) = match fate {
                    Fate::NeverTaken => (FateKind::NeverTaken, 0, Vec::new()),
                    Fate::UnderWay => (FateKind::UnderWay, 0, Vec::new()),
                    Fate::Denied { cool_down } => (FateKind::Denied, cool_down, Vec::new()),
                    Fate::Honoured(kept) => (FateKind::Honoured, 0, kept.bytes.to_vec()),
                    Fate::BrokenOff => (FateKind::BrokenOff, 0, Vec::new()),
                    Fate::Unknown => (FateKind::Unknown, 0, Vec::new()),
                };
                for coming in hub
                    .coming
                    .values_mut()
                    .filter(|coming| (coming.gate, coming.number) == (gate, ask.number))
                {
                    coming.link = link;
                }
                if let Some(trip) = hub.guests.get(&(gate, ask.number)).and_then(|at| hub.trips.get_mut(at))
                    && let Some(guest) = &mut trip.guest
                {
                    guest.link = link;
                }
                let cool_down_us = cool_down.max(0) as u64;
                let told = FateFrame { number: ask.number, kind: kind.into(), cool_down_us, length: 0 };
                hub.say(gate, Some(link), Said::Fate(told, value));
            }
            Event::Confirm(confirm) => hub.fates.confirm(&origin, confirm.upto),
            Event::Room(room) => {
                let credit = |name: &String| room.credits.iter().find(|credit| credit.offering == *name);
                let credits = hub.offerings.iter().map(|name| credit(name).map_or(0, |credit| credit.tasks));
                let homes: Vec<(u64, bool)> =
                    room.homes.iter().map(|home| (home.group, home.primary)).collect();
                let todo = hub.sites.room(now, gate, credits.collect(), &homes, room.draining);
                self.carry_out_sites(todo, None);
            }
            Event::Trip(took) => hub.sites.trip(gate, took),
        }
    }

    /// What another gateway sent for a task, with room for it where it is large.
    pub(super) fn brought(&self, number: u64, value: Vec<u8>) -> Option<(Handle, Answer)> {
        let hub = self.hub.as_ref()?;
        let handle = hub.sites.crossed(number)?;
        let trip = hub.trips.get(&handle)?;
        let best = self.context.best_paid.contains(&trip.order.comment.offering);
        let mut room = None;
        if value.len() > self.context.limits.small {
            room = self.context.gate.room_now(trip.order.holder, value.len(), best);
            if room.is_none() {
                return Some((handle, self.without_room(trip.offering)));
            }
        }
        Some((handle, Answer::Honoured(Rows { pieces: vec![value], room })))
    }
}
