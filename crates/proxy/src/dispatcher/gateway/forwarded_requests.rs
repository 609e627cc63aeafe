//! Requests on their way: with the module here, over a link, or waiting for either.

use aldermill_site_drain::Plan;
use aldermill_wire::statement;

use super::*;

impl Dispatcher {
    /// A client's request where there is a gateway: to the module here, or to another site.
    pub(crate) fn dispatch(&mut self, order: Order, class: usize) {
        let now = self.context.clock.now();
        let ttl = Micros::from(order.comment.wait) * 1000 - (now - order.arrived);
        let client = Some((order.client, order.mailbox.clone()));
        self.set_out(order, class, ttl, client, None, Vec::new());
    }

    pub(super) fn set_out(
        &mut self,
        order: Order,
        class: usize,
        ttl: Micros,
        client: Option<(ClientId, mpsc::Sender<ClientMessage>)>,
        guest: Option<Guest>,
        visited: Vec<String>,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let named = gateway_part.session.as_ref().and_then(|name| statement::field(&order.statement, name));
        // One that is of no session known has none to keep with.
        let session = Some(named.unwrap_or(&order.comment.id).to_owned());
        let by: Vec<SiteId> = visited.iter().filter_map(|name| gateway_part.site(name)).collect();
        let (handle, actions) = gateway_part
            .sites
            .take(now, Request { class, group: order.comment.group, ttl, visited: by, session });
        if let Some(guest) = &guest {
            gateway_part.guests.insert((guest.gate, guest.number), handle);
        }
        self.by_client.insert(order.client, Holder::Via(handle));
        self.open_ids.insert(order.comment.id.clone());
        let trip = Trip { order: Rc::new(order), class, here: None, client, guest, visited };
        gateway_part.trips.insert(handle, trip);
        self.carry_out_sites(actions, None);
    }

    /// Nobody waits for a request any more.
    pub(crate) fn trip_left(&mut self, handle: Handle) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some(here) = trip.here {
            self.leave_here(here);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = handle.left(&mut gateway_part.sites, now);
        self.carry_out_sites(actions, None);
    }

    /// The module here has answered a request for the gateway.
    pub(crate) fn here_answered(&mut self, handle: Handle, answer: Answer) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let ended = match &answer {
            Answer::Served(_) => HereEnded::Served,
            Answer::Rejected { cool_down } => HereEnded::Rejected { cool_down: *cool_down },
            Answer::Failed | Answer::Wrong(_) => HereEnded::Failed,
        };
        if let Some(trip) = gateway_part.trips.get_mut(&handle) {
            trip.here = None;
            let objective = self.decoded.terms.classes[trip.class].objective;
            let in_time = ended == HereEnded::Served && now - trip.order.arrived <= objective;
            let need = self.decoded.terms.classes[trip.class].need;
            let reads = matches!(need, Need::Loose | Need::Recent(_));
            gateway_part.ended.all += 1;
            gateway_part.ended.in_time += u32::from(in_time);
            gateway_part.ended.bound += u32::from(reads && trip.guest.is_none());
        }
        let actions = handle.here_ended(&mut gateway_part.sites, now, ended);
        self.carry_out_sites(actions, Some((handle, answer)));
    }

    /// An attempt here that lasted so long may have run.
    pub(crate) fn may_have_run(&mut self, handle: Handle, took: Micros) {
        let began = self.context.clock.now() - took;
        if let Some(gateway_part) = &mut self.gateway_part {
            handle.here_may_have_run(&mut gateway_part.sites, began);
        }
    }

    /// An attempt here was answered 'miss'. What follows is carried out once the module has heard it, too;
    /// whether the request was taken back from it.
    pub(crate) fn here_missed(&mut self, handle: Handle) -> (Option<Actions>, bool) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return (None, false) };
        let actions = handle.here_missed(&mut gateway_part.sites, now);
        let taken_back = actions.requests.contains(&(handle, Action::TakeBack));
        (Some(actions), taken_back)
    }

    pub(crate) fn primary_here(&mut self, group: u64) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.primary_here(now, group);
            self.carry_out_sites(actions, None);
        }
    }

    pub(crate) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.listed(now, groups);
            self.carry_out_sites(actions, None);
        }
    }

    pub(crate) fn wake_sites(&mut self) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.fates.expire(now);
        if now >= gateway_part.tell_at {
            gateway_part.tell_at = now + TELL;
            gateway_part.tell_room(None);
            if let Some(book) = &mut gateway_part.book {
                book.renew(now);
            }
            let sites = &gateway_part.sites;
            gateway_part.crossed.retain(|&number, _| sites.crossed(number).is_some());
        }
        let actions = gateway_part.sites.wake(now);
        self.carry_out_sites(actions, None);
    }

    /// What the fleet decided of sites that retire.
    pub(crate) fn bind(&mut self, plans: Vec<Plan>) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.bind(now, &gateway_part.names, plans);
            self.carry_out_sites(actions, None);
        }
    }

    pub(crate) fn sites_stood_still(&mut self) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.sites.stood_still(now);
        }
    }

    pub(crate) fn drain_sites(&mut self) {
        if let Some(gateway_part) = &mut self.gateway_part
            && !std::mem::replace(&mut gateway_part.draining, true)
        {
            gateway_part.tell_room(None);
        }
    }

    pub(crate) fn describe(&self) -> String {
        let now = self.context.clock.now();
        self.gateway_part
            .as_ref()
            .map_or_else(|| "{}\n".to_owned(), |gateway_part| gateway_part.describe(now))
    }

    /// Carries out what the books return. `brought` is what a request has just been answered with.
    pub(crate) fn carry_out_sites(&mut self, actions: Actions, brought: Option<(Handle, Answer)>) {
        let mut brought = brought;
        for (handle, step) in actions.requests {
            match step {
                Action::Here { ttl } => self.start_here(handle, ttl),
                Action::TakeBack => {
                    let trip = self
                        .gateway_part
                        .as_mut()
                        .and_then(|gateway_part| gateway_part.trips.get_mut(&handle));
                    if let Some(here) = trip.and_then(|trip| trip.here.take()) {
                        self.leave_here(here);
                    }
                }
                Action::Cross { gate, number, left } => self.cross(handle, gate, number, left),
                Action::Ask { gate, number } => {
                    let Some(gateway_part) = &mut self.gateway_part else { return };
                    let Some(start) = gateway_part.crossed.get(&number).map(|crossed| crossed.start) else {
                        continue;
                    };
                    gateway_part.say(gate, None, Said::Ask(Ask { number, receiver_start: start }));
                }
                Action::Cancel { gate, number } => {
                    let Some(gateway_part) = &mut self.gateway_part else { return };
                    let link = gateway_part.crossed.remove(&number).map(|crossed| crossed.link);
                    gateway_part.say(gate, link, Said::Cancel(number));
                }
                Action::Serve => {
                    let answer = brought.take_if(|(of, _)| *of == handle).map(|(_, answer)| answer);
                    self.finish(handle, answer.unwrap_or(Answer::Failed), None);
                }
                Action::Reject { cool_down } => self.finish(handle, Answer::Rejected { cool_down }, None),
                Action::Fail => self.finish(handle, Answer::Failed, None),
                Action::NotHere { hint } => {
                    self.finish(handle, Answer::Rejected { cool_down: 0 }, Some(hint));
                }
            }
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        for (gate, upto) in actions.confirms {
            gateway_part.say(gate, None, Said::Confirm(Confirm { upto }));
        }
        if actions.offers {
            gateway_part.tell_room(None);
        }
        if let Some(at) = actions.wake_at {
            gateway_part.wake_at = at;
        }
    }

    pub(super) fn start_here(&mut self, handle: Handle, ttl: Micros) {
        let trip = self.gateway_part.as_ref().and_then(|gateway_part| gateway_part.trips.get(&handle));
        let Some((order, class)) = trip.map(|trip| (trip.order.clone(), trip.class)) else { return };
        let client = Some((order.client, order.mailbox.clone()));
        let deadline = self.context.clock.now() + ttl;
        let (here, actions) = self.hand_over(order, class, deadline, client, Some(handle));
        if let Some(trip) =
            self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.trips.get_mut(&handle))
        {
            trip.here = Some(here);
        }
        self.carry_out(actions);
    }

    pub(super) fn cross(&mut self, handle: Handle, gate: GateId, number: u64, left: Micros) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let (Some(trip), Some(state)) = (gateway_part.trips.get(&handle), gateway_part.gates.get(gate))
        else {
            return;
        };
        let order = &trip.order;
        // Zero on the wire is no word of it.
        let written_ago = order.last_write(now).map(|ago| ago.max(1));
        let visited = trip.visited.iter().cloned().chain([gateway_part.own.site.clone()]).collect();
        let start = state.origin.start;
        let request = RequestFrame {
            number,
            receiver_start: start,
            class: order.comment.class.clone(),
            group: order.comment.group,
            left_us: left.max(0) as u64,
            written_ago_us: written_ago.unwrap_or(0) as u64,
            repeat: order.comment.repeat,
            visited,
            length: 0,
        };
        let said = Said::Request(request, order.statement.clone());
        match gateway_part.say(gate, None, said) {
            Some(link) => {
                gateway_part.crossed.insert(number, Crossed { gate, start, link });
            }
            None => {
                // It never left this process.
                let actions = gateway_part.sites.answered(now, number, FarAnswer::NeverTaken);
                self.carry_out_sites(actions, None);
            }
        }
    }

    pub(super) fn forget_trip(&mut self, handle: Handle) -> Option<Trip> {
        let gateway_part = self.gateway_part.as_mut()?;
        let trip = gateway_part.trips.remove(&handle)?;
        if let Some(guest) = &trip.guest {
            gateway_part.guests.remove(&(guest.gate, guest.number));
        }
        self.open_ids.remove(&trip.order.comment.id);
        self.by_client.remove(&trip.order.client);
        Some(trip)
    }

    /// Gives a request its one answer. `elsewhere` says that its primary is not here, and perhaps where.
    pub(super) fn finish(&mut self, handle: Handle, answer: Answer, elsewhere: Option<Option<SiteId>>) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some((client, mailbox)) = trip.client {
            // Its mailbox always has room for the answers it waits for; it may be gone.
            let _ = mailbox.try_send(ClientMessage::Answer(client, answer));
            return;
        }
        let (Some(gateway_part), Some(guest)) = (&mut self.gateway_part, trip.guest) else { return };
        let effectful = matches!(self.decoded.terms.classes[trip.class].effect, Effect::Effectful);
        let mut frame = OutcomeFrame { number: guest.number, ..OutcomeFrame::default() };
        let (kind, fate, value) = match answer {
            Answer::Served(rows) => {
                let bytes = Rc::new(rows.pieces.concat());
                let kept = Kept { bytes: bytes.clone(), _room: rows.room.map(Rc::new) };
                (OutcomeKind::Served, Fate::Served(kept), bytes)
            }
            Answer::Rejected { cool_down } => {
                frame.cool_down_us = cool_down.max(0) as u64;
                let kind = if elsewhere.is_some() { OutcomeKind::NotHere } else { OutcomeKind::Rejected };
                (kind, Fate::Rejected { cool_down }, Rc::default())
            }
            Answer::Failed => (OutcomeKind::Failed, Fate::Failed, Rc::default()),
            Answer::Wrong(_) => (OutcomeKind::Wrong, Fate::Rejected { cool_down: 0 }, Rc::default()),
        };
        let rejected = kind == OutcomeKind::Rejected;
        frame.kind = kind.into();
        frame.hint = elsewhere.flatten().map_or(String::new(), |site| gateway_part.names[site].clone());
        frame.took_us = (self.context.clock.now() - trip.order.arrived).max(0) as u64;
        // Nobody asks about what may simply be sent again.
        let fate = if effectful { fate } else { Fate::Failed };
        let kept = fate.as_ref().map(|kept| &kept.bytes[..]);
        let until = now + Micros::from(trip.order.comment.wait) * 1000 + SLACK;
        let book = gateway_part.book.as_mut().filter(|_| effectful);
        let token = book.and_then(|book| book.settle(now, &guest.origin, guest.number, until, &kept));
        gateway_part.fates.settle(&guest.origin, guest.number, fate);
        // Over the link that it came by, or was last asked about on; where that broke, it will be asked about.
        if gateway_part.gates[guest.gate].links.contains(&guest.link) {
            let value = Rc::try_unwrap(value).unwrap_or_else(|shared| shared.to_vec());
            match token {
                Some(token) => {
                    let (gate, link) = (guest.gate, guest.link);
                    gateway_part.leaving.insert(token, Leaving { gate, link, frame, value });
                }
                None => drop(gateway_part.say(guest.gate, Some(guest.link), Said::Outcome(frame, value))),
            }
        }
        if gateway_part.sites.guest_over(now, guest.gate, trip.class, rejected) {
            gateway_part.tell_room(Some(guest.gate));
        }
    }
}
