//! Tasks on their way: with the module here, over a link, or waiting for either.

use aldermill_retire::Plan;
use aldermill_wire::statement;

use super::*;

impl Desk {
    /// A client's task where there is a gateway: to the module here, or to another site.
    pub(crate) fn dispatch(&mut self, order: Order, offering: usize) {
        let now = self.context.clock.now();
        let ttl = Micros::from(order.comment.wait) * 1000 - (now - order.arrived);
        let client = Some((order.client, order.mailbox.clone()));
        self.set_out(order, offering, ttl, client, None, Vec::new());
    }

    pub(super) fn set_out(
        &mut self,
        order: Order,
        offering: usize,
        ttl: Micros,
        client: Option<(ClientId, mpsc::Sender<Mail>)>,
        guest: Option<Guest>,
        visited: Vec<String>,
    ) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let named = hub.session.as_ref().and_then(|name| statement::field(&order.statement, name));
        // One that is of no session known has none to keep with.
        let session = Some(named.unwrap_or(&order.comment.id).to_owned());
        let by: Vec<SiteId> = visited.iter().filter_map(|name| hub.site(name)).collect();
        let (handle, todo) =
            hub.sites.take(now, Task { offering, group: order.comment.group, ttl, visited: by, session });
        if let Some(guest) = &guest {
            hub.guests.insert((guest.gate, guest.number), handle);
        }
        self.by_client.insert(order.client, Holder::Via(handle));
        self.open_ids.insert(order.comment.id.clone());
        let trip = Trip { order: Rc::new(order), offering, here: None, client, guest, visited };
        hub.trips.insert(handle, trip);
        self.carry_out_sites(todo, None);
    }

    /// Nobody waits for a task any more.
    pub(crate) fn trip_left(&mut self, handle: Handle) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some(here) = trip.here {
            self.leave_here(here);
        }
        let Some(hub) = &mut self.hub else { return };
        let todo = handle.left(&mut hub.sites, now);
        self.carry_out_sites(todo, None);
    }

    /// The module here has answered a task for the gateway.
    pub(crate) fn here_answered(&mut self, handle: Handle, answer: Answer) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let ended = match &answer {
            Answer::Honoured(_) => HereEnded::Honoured,
            Answer::Denied { cool_down } => HereEnded::Denied { cool_down: *cool_down },
            Answer::BrokenOff | Answer::Wrong(_) => HereEnded::BrokenOff,
        };
        if let Some(trip) = hub.trips.get_mut(&handle) {
            trip.here = None;
            let quoted = self.decoded.terms.offerings[trip.offering].quoted;
            let in_time = ended == HereEnded::Honoured && now - trip.order.arrived <= quoted;
            let need = self.decoded.terms.offerings[trip.offering].need;
            let reads = matches!(need, Need::Loose | Need::Recent(_));
            hub.ended.all += 1;
            hub.ended.in_time += u32::from(in_time);
            hub.ended.bound += u32::from(reads && trip.guest.is_none());
        }
        let todo = handle.here_ended(&mut hub.sites, now, ended);
        self.carry_out_sites(todo, Some((handle, answer)));
    }

    /// A launch here that lasted so long may have run.
    pub(crate) fn may_have_run(&mut self, handle: Handle, took: Micros) {
        let began = self.context.clock.now() - took;
        if let Some(hub) = &mut self.hub {
            handle.here_may_have_run(&mut hub.sites, began);
        }
    }

    /// A launch here was answered 'miss'. What follows is carried out once the module has heard it, too; whether the
    /// task was taken back from it.
    pub(crate) fn here_missed(&mut self, handle: Handle) -> (Option<Todo>, bool) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return (None, false) };
        let todo = handle.here_missed(&mut hub.sites, now);
        let taken_back = todo.steps.contains(&(handle, Step::TakeBack));
        (Some(todo), taken_back)
    }

    pub(crate) fn primary_here(&mut self, group: u64) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            let todo = hub.sites.primary_here(now, group);
            self.carry_out_sites(todo, None);
        }
    }

    pub(crate) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            let todo = hub.sites.listed(now, groups);
            self.carry_out_sites(todo, None);
        }
    }

    pub(crate) fn wake_sites(&mut self) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        hub.fates.expire(now);
        if now >= hub.tell_at {
            hub.tell_at = now + TELL;
            hub.tell_room(None);
            if let Some(book) = &mut hub.book {
                book.renew(now);
            }
            let sites = &hub.sites;
            hub.crossed.retain(|&number, _| sites.crossed(number).is_some());
        }
        let todo = hub.sites.wake(now);
        self.carry_out_sites(todo, None);
    }

    /// What the fleet decided of sites that retire.
    pub(crate) fn bind(&mut self, plans: Vec<Plan>) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            let todo = hub.sites.bind(now, &hub.names, plans);
            self.carry_out_sites(todo, None);
        }
    }

    pub(crate) fn sites_stood_still(&mut self) {
        let now = self.context.clock.now();
        if let Some(hub) = &mut self.hub {
            hub.sites.stood_still(now);
        }
    }

    pub(crate) fn drain_sites(&mut self) {
        if let Some(hub) = &mut self.hub
            && !std::mem::replace(&mut hub.draining, true)
        {
            hub.tell_room(None);
        }
    }

    pub(crate) fn describe(&self) -> String {
        let now = self.context.clock.now();
        self.hub.as_ref().map_or_else(|| "{}\n".to_owned(), |hub| hub.describe(now))
    }

    /// Carries out what the books return. `brought` is what a task has just been answered with.
    pub(crate) fn carry_out_sites(&mut self, todo: Todo, brought: Option<(Handle, Answer)>) {
        let mut brought = brought;
        for (handle, step) in todo.steps {
            match step {
                Step::Here { ttl } => self.start_here(handle, ttl),
                Step::TakeBack => {
                    let trip = self.hub.as_mut().and_then(|hub| hub.trips.get_mut(&handle));
                    if let Some(here) = trip.and_then(|trip| trip.here.take()) {
                        self.leave_here(here);
                    }
                }
                Step::Cross { gate, number, left } => self.cross(handle, gate, number, left),
                Step::Ask { gate, number } => {
                    let Some(hub) = &mut self.hub else { return };
                    let Some(start) = hub.crossed.get(&number).map(|crossed| crossed.start) else { continue };
                    hub.say(gate, None, Said::Ask(Ask { number, receiver_start: start }));
                }
                Step::Cancel { gate, number } => {
                    let Some(hub) = &mut self.hub else { return };
                    let link = hub.crossed.remove(&number).map(|crossed| crossed.link);
                    hub.say(gate, link, Said::Cancel(number));
                }
                Step::Honour => {
                    let answer = brought.take_if(|(of, _)| *of == handle).map(|(_, answer)| answer);
                    self.finish(handle, answer.unwrap_or(Answer::BrokenOff), None);
                }
                Step::Deny { cool_down } => self.finish(handle, Answer::Denied { cool_down }, None),
                Step::BreakOff => self.finish(handle, Answer::BrokenOff, None),
                Step::NotHere { hint } => {
                    self.finish(handle, Answer::Denied { cool_down: 0 }, Some(hint));
                }
            }
        }
        let Some(hub) = &mut self.hub else { return };
        for (gate, upto) in todo.confirms {
            hub.say(gate, None, Said::Confirm(Confirm { upto }));
        }
        if todo.offers {
            hub.tell_room(None);
        }
        if let Some(at) = todo.wake_at {
            hub.wake_at = at;
        }
    }

    pub(super) fn start_here(&mut self, handle: Handle, ttl: Micros) {
        let trip = self.hub.as_ref().and_then(|hub| hub.trips.get(&handle));
        let Some((order, offering)) = trip.map(|trip| (trip.order.clone(), trip.offering)) else { return };
        let client = Some((order.client, order.mailbox.clone()));
        let deadline = self.context.clock.now() + ttl;
        let (here, todo) = self.hand_over(order, offering, deadline, client, Some(handle));
        if let Some(trip) = self.hub.as_mut().and_then(|hub| hub.trips.get_mut(&handle)) {
            trip.here = Some(here);
        }
        self.carry_out(todo);
    }

    pub(super) fn cross(&mut self, handle: Handle, gate: GateId, number: u64, left: Micros) {
        let now = self.context.clock.now();
        let Some(hub) = &mut self.hub else { return };
        let (Some(trip), Some(state)) = (hub.trips.get(&handle), hub.gates.get(gate)) else { return };
        let order = &trip.order;
        // Zero on the wire is no word of it.
        let written_ago = order.last_write(now).map(|ago| ago.max(1));
        let visited = trip.visited.iter().cloned().chain([hub.own.site.clone()]).collect();
        let start = state.origin.start;
        let task = TaskFrame {
            number,
            receiver_start: start,
            offering: order.comment.offering.clone(),
            group: order.comment.group,
            left_us: left.max(0) as u64,
            written_ago_us: written_ago.unwrap_or(0) as u64,
            repeat: order.comment.repeat,
            visited,
            length: 0,
        };
        let said = Said::Task(task, order.statement.clone());
        match hub.say(gate, None, said) {
            Some(link) => {
                hub.crossed.insert(number, Crossed { gate, start, link });
            }
            None => {
                // It never left this process.
                let todo = hub.sites.answered(now, number, FarAnswer::NeverTaken);
                self.carry_out_sites(todo, None);
            }
        }
    }

    pub(super) fn forget_trip(&mut self, handle: Handle) -> Option<Trip> {
        let hub = self.hub.as_mut()?;
        let trip = hub.trips.remove(&handle)?;
        if let Some(guest) = &trip.guest {
            hub.guests.remove(&(guest.gate, guest.number));
        }
        self.open_ids.remove(&trip.order.comment.id);
        self.by_client.remove(&trip.order.client);
        Some(trip)
    }

    /// Gives a task its one answer. `elsewhere` says that its primary is not here, and perhaps where.
    pub(super) fn finish(&mut self, handle: Handle, answer: Answer, elsewhere: Option<Option<SiteId>>) {
        let now = self.context.clock.now();
        let Some(trip) = self.forget_trip(handle) else { return };
        if let Some((client, mailbox)) = trip.client {
            // Its mailbox always has room for the answers it waits for; it may be gone.
            let _ = mailbox.try_send(Mail::Answer(client, answer));
            return;
        }
        let (Some(hub), Some(guest)) = (&mut self.hub, trip.guest) else { return };
        let effectful = matches!(self.decoded.terms.offerings[trip.offering].effect, Effect::Effectful);
        let mut frame = OutcomeFrame { number: guest.number, ..OutcomeFrame::default() };
        let (kind, fate, value) = match answer {
            Answer::Honoured(rows) => {
                let bytes = Rc::new(rows.pieces.concat());
                let kept = Kept { bytes: bytes.clone(), _room: rows.room.map(Rc::new) };
                (OutcomeKind::Honoured, Fate::Honoured(kept), bytes)
            }
            Answer::Denied { cool_down } => {
                frame.cool_down_us = cool_down.max(0) as u64;
                let kind = if elsewhere.is_some() { OutcomeKind::NotHere } else { OutcomeKind::Denied };
                (kind, Fate::Denied { cool_down }, Rc::default())
            }
            Answer::BrokenOff => (OutcomeKind::BrokenOff, Fate::BrokenOff, Rc::default()),
            Answer::Wrong(_) => (OutcomeKind::Wrong, Fate::Denied { cool_down: 0 }, Rc::default()),
        };
        let denied = kind == OutcomeKind::Denied;
        frame.kind = kind.into();
        frame.hint = elsewhere.flatten().map_or(String::new(), |site| hub.names[site].clone());
        frame.took_us = (self.context.clock.now() - trip.order.arrived).max(0) as u64;
        // Nobody asks about what may simply be sent again.
        let fate = if effectful { fate } else { Fate::BrokenOff };
        let kept = fate.as_ref().map(|kept| &kept.bytes[..]);
        let until = now + Micros::from(trip.order.comment.wait) * 1000 + SLACK;
        let book = hub.book.as_mut().filter(|_| effectful);
        let token = book.and_then(|book| book.settle(now, &guest.origin, guest.number, until, &kept));
        hub.fates.settle(&guest.origin, guest.number, fate);
        // Over the link that it came by, or was last asked about on; where that broke, it will be asked about.
        if hub.gates[guest.gate].links.contains(&guest.link) {
            let value = Rc::try_unwrap(value).unwrap_or_else(|shared| shared.to_vec());
            match token {
                Some(token) => {
                    let (gate, link) = (guest.gate, guest.link);
                    hub.leaving.insert(token, Leaving { gate, link, frame, value });
                }
                None => drop(hub.say(guest.gate, Some(guest.link), Said::Outcome(frame, value))),
            }
        }
        if hub.sites.guest_over(now, guest.gate, trip.offering, denied) {
            hub.tell_room(Some(guest.gate));
        }
    }
}
