//! Requests on their way: with the module here, over a link, or waiting for either.

use aldermill_site_drain::Plan;
use aldermill_wire::statement;

use super::*;
use crate::dispatcher::requests::{Handover, SiteMiss};

impl Dispatcher {
    /// A client's request where there is a gateway: to the module here, or to another site.
    pub(in crate::dispatcher) fn route_between_sites(&mut self, order: Order, class: usize) {
        let now = self.context.clock.now();
        let ttl = Micros::from(order.comment.wait) * 1000 - (now - order.arrived);
        let client = Some(WaitingClient::of(&order));
        self.forward(order, class, ttl, client, None, Vec::new());
    }

    pub(super) fn forward(
        &mut self,
        order: Order,
        class: usize,
        ttl: Micros,
        client: Option<WaitingClient>,
        guest: Option<RemoteRequest>,
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
            gateway_part.remote_requests.insert((guest.gate, guest.number), handle);
        }
        self.locations.insert(order.client, RequestLocation::Gateway(handle));
        self.open_ids.insert(order.comment.id.clone());
        let forwarded = ForwardedRequest { order: Rc::new(order), class, here: None, client, guest, visited };
        gateway_part.forwarded.insert(handle, forwarded);
        self.carry_out_sites(actions, None);
    }

    /// Nobody waits for a request any more.
    pub(in crate::dispatcher) fn forwarded_request_left(&mut self, handle: Handle) {
        let now = self.context.clock.now();
        let Some(forwarded) = self.forget_forwarded(handle) else { return };
        if let Some(here) = forwarded.here {
            self.abandon(here);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = handle.left(&mut gateway_part.sites, now);
        self.carry_out_sites(actions, None);
    }

    /// The module here has answered a request for the gateway.
    pub(in crate::dispatcher) fn answered_here(&mut self, handle: Handle, answer: Answer) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let ended = match &answer {
            Answer::Served(_) => HereEnded::Served,
            Answer::Rejected { cool_down } => HereEnded::Rejected { cool_down: *cool_down },
            Answer::Failed | Answer::Wrong(_) => HereEnded::Failed,
        };
        if let Some(forwarded) = gateway_part.forwarded.get_mut(&handle) {
            forwarded.here = None;
            let objective = self.decoded.terms.classes[forwarded.class].objective;
            let in_time = ended == HereEnded::Served && now - forwarded.order.arrived <= objective;
            let need = self.decoded.terms.classes[forwarded.class].need;
            let reads = matches!(need, Need::Loose | Need::Recent(_));
            gateway_part.ended.all += 1;
            gateway_part.ended.in_time += u32::from(in_time);
            gateway_part.ended.bound += u32::from(reads && forwarded.guest.is_none());
        }
        let actions = handle.here_ended(&mut gateway_part.sites, now, ended);
        self.carry_out_sites(actions, Some((handle, answer)));
    }

    /// An attempt here that lasted so long may have run.
    pub(in crate::dispatcher) fn may_have_run(&mut self, handle: Handle, took: Micros) {
        let began = self.context.clock.now() - took;
        if let Some(gateway_part) = &mut self.gateway_part {
            handle.here_may_have_run(&mut gateway_part.sites, began);
        }
    }

    /// An attempt here was answered 'miss'. What follows is carried out once the module has heard it, too;
    /// whether the request was taken back from it.
    pub(in crate::dispatcher) fn not_primary_here(&mut self, handle: Handle) -> SiteMiss {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return SiteMiss::default() };
        let actions = handle.here_missed(&mut gateway_part.sites, now);
        let taken_back = actions.requests.contains(&(handle, Action::TakeBack));
        SiteMiss { actions: Some(actions), taken_back }
    }

    pub(in crate::dispatcher) fn primary_here(&mut self, group: u64) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.primary_here(now, group);
            self.carry_out_sites(actions, None);
        }
    }

    pub(in crate::dispatcher) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.listed(now, groups);
            self.carry_out_sites(actions, None);
        }
    }

    pub(in crate::dispatcher) fn wake_sites(&mut self) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.fates.expire(now);
        if now >= gateway_part.announce_at {
            gateway_part.announce_at = now + ANNOUNCE_EVERY;
            gateway_part.announce_room(None);
            if let Some(outcome_log) = &mut gateway_part.outcome_log {
                outcome_log.renew(now);
            }
            let sites = &gateway_part.sites;
            gateway_part.sent.retain(|&number, _| sites.crossed(number).is_some());
        }
        let actions = gateway_part.sites.wake(now);
        self.carry_out_sites(actions, None);
    }

    /// What the fleet decided of sites that retire.
    pub fn bind(&mut self, plans: Vec<Plan>) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            let actions = gateway_part.sites.bind(now, &gateway_part.names, plans);
            self.carry_out_sites(actions, None);
        }
    }

    pub(in crate::dispatcher) fn report_stall_to_sites(&mut self) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.sites.stood_still(now);
        }
    }

    pub(in crate::dispatcher) fn drain_sites(&mut self) {
        if let Some(gateway_part) = &mut self.gateway_part
            && !std::mem::replace(&mut gateway_part.draining, true)
        {
            gateway_part.announce_room(None);
        }
    }

    pub(in crate::dispatcher) fn describe(&self) -> String {
        let now = self.context.clock.now();
        self.gateway_part
            .as_ref()
            .map_or_else(|| "{}\n".to_owned(), |gateway_part| gateway_part.describe(now))
    }

    /// Carries out what the books return. `brought` is what a request has just been answered with.
    pub(in crate::dispatcher) fn carry_out_sites(
        &mut self,
        actions: Actions,
        brought: Option<(Handle, Answer)>,
    ) {
        let mut brought = brought;
        for (handle, step) in actions.requests {
            match step {
                Action::Here { ttl } => self.hand_to_router(handle, ttl),
                Action::TakeBack => {
                    let forwarded = self
                        .gateway_part
                        .as_mut()
                        .and_then(|gateway_part| gateway_part.forwarded.get_mut(&handle));
                    if let Some(here) = forwarded.and_then(|forwarded| forwarded.here.take()) {
                        self.abandon(here);
                    }
                }
                Action::Cross { gate, number, left } => self.send_to_site(handle, gate, number, left),
                Action::Ask { gate, number } => {
                    let Some(gateway_part) = &mut self.gateway_part else { return };
                    let Some(start) = gateway_part.sent.get(&number).map(|crossed| crossed.start) else {
                        continue;
                    };
                    gateway_part.send(gate, None, Said::Ask(Ask { number, receiver_start: start }));
                }
                Action::Cancel { gate, number } => {
                    let Some(gateway_part) = &mut self.gateway_part else { return };
                    let link = gateway_part.sent.remove(&number).map(|crossed| crossed.link);
                    gateway_part.send(gate, link, Said::Cancel(number));
                }
                Action::Serve => {
                    let answer = brought.take_if(|(of, _)| *of == handle).map(|(_, answer)| answer);
                    self.answer_forwarded(handle, answer.unwrap_or(Answer::Failed), None);
                }
                Action::Reject { cool_down } => {
                    self.answer_forwarded(handle, Answer::Rejected { cool_down }, None)
                }
                Action::Fail => self.answer_forwarded(handle, Answer::Failed, None),
                Action::NotHere { hint } => {
                    self.answer_forwarded(handle, Answer::Rejected { cool_down: 0 }, Some(hint));
                }
            }
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        for (gate, upto) in actions.confirms {
            gateway_part.send(gate, None, Said::Confirm(Confirm { upto }));
        }
        if actions.offers {
            gateway_part.announce_room(None);
        }
        if let Some(at) = actions.wake_at {
            gateway_part.wake_at = at;
        }
    }

    pub(super) fn hand_to_router(&mut self, handle: Handle, ttl: Micros) {
        let forwarded =
            self.gateway_part.as_ref().and_then(|gateway_part| gateway_part.forwarded.get(&handle));
        let Some((order, class)) = forwarded.map(|forwarded| (forwarded.order.clone(), forwarded.class))
        else {
            return;
        };
        let deadline = self.context.clock.now() + ttl;
        let handover = Handover { request: order, class, deadline, via: Some(handle) };
        let (here, actions) = self.hand_over(handover);
        if let Some(forwarded) =
            self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.forwarded.get_mut(&handle))
        {
            forwarded.here = Some(here);
        }
        self.carry_out(actions);
    }

    pub(super) fn send_to_site(&mut self, handle: Handle, gate: GateId, number: u64, left: Micros) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let (Some(forwarded), Some(state)) =
            (gateway_part.forwarded.get(&handle), gateway_part.peer_gateways.get(gate))
        else {
            return;
        };
        let order = &forwarded.order;
        // Zero on the wire is no word of it.
        let written_ago = order.last_write(now).map(|ago| ago.max(1));
        let visited = forwarded.visited.iter().cloned().chain([gateway_part.own.site.clone()]).collect();
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
        match gateway_part.send(gate, None, said) {
            Some(link) => {
                gateway_part.sent.insert(number, SentRequest { gate, start, link });
            }
            None => {
                // It never left this process.
                let actions = gateway_part.sites.answered(now, number, FarAnswer::NeverTaken);
                self.carry_out_sites(actions, None);
            }
        }
    }

    pub(super) fn forget_forwarded(&mut self, handle: Handle) -> Option<ForwardedRequest> {
        let gateway_part = self.gateway_part.as_mut()?;
        let forwarded = gateway_part.forwarded.remove(&handle)?;
        if let Some(guest) = &forwarded.guest {
            gateway_part.remote_requests.remove(&(guest.gate, guest.number));
        }
        self.open_ids.remove(&forwarded.order.comment.id);
        self.locations.remove(&forwarded.order.client);
        Some(forwarded)
    }

    /// Gives a request its one answer. `elsewhere` says that its primary is not here, and perhaps where.
    pub(super) fn answer_forwarded(
        &mut self,
        handle: Handle,
        answer: Answer,
        elsewhere: Option<Option<SiteId>>,
    ) {
        let now = self.context.clock.now();
        let Some(forwarded) = self.forget_forwarded(handle) else { return };
        if let Some(client) = &forwarded.client {
            return client.answer(answer);
        }
        let (Some(gateway_part), Some(guest)) = (&mut self.gateway_part, forwarded.guest) else { return };
        let effectful = matches!(self.decoded.terms.classes[forwarded.class].effect, Effect::Effectful);
        let mut frame = OutcomeFrame { number: guest.number, ..OutcomeFrame::default() };
        let (kind, fate, value) = match answer {
            Answer::Served(rows) => {
                let bytes = Rc::new(rows.pieces.concat());
                let kept = KeptValue { bytes: bytes.clone(), _room: rows.room.map(Rc::new) };
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
        frame.took_us = (self.context.clock.now() - forwarded.order.arrived).max(0) as u64;
        // Nobody asks about what may simply be sent again.
        let fate = if effectful { fate } else { Fate::Failed };
        let kept = fate.as_ref().map(|kept| &kept.bytes[..]);
        let until = now + Micros::from(forwarded.order.comment.wait) * 1000 + ASKED_AFTER_DEADLINE;
        let outcome_log = gateway_part.outcome_log.as_mut().filter(|_| effectful);
        let token = outcome_log
            .and_then(|outcome_log| outcome_log.settle(now, &guest.origin, guest.number, until, &kept));
        gateway_part.fates.settle(&guest.origin, guest.number, fate);
        // Over the link that it came by, or was last asked about on; where that broke, it will be asked about.
        if gateway_part.peer_gateways[guest.gate].links.contains(&guest.link) {
            let value = Rc::try_unwrap(value).unwrap_or_else(|shared| shared.to_vec());
            match token {
                Some(token) => {
                    let (gate, link) = (guest.gate, guest.link);
                    gateway_part.departing.insert(token, DepartingOutcome { gate, link, frame, value });
                }
                None => drop(gateway_part.send(guest.gate, Some(guest.link), Said::Outcome(frame, value))),
            }
        }
        if gateway_part.sites.guest_over(now, guest.gate, forwarded.class, rejected) {
            gateway_part.announce_room(Some(guest.gate));
        }
    }
}
