//! Requests that other gateways sent.

use super::*;

impl Dispatcher {
    pub(super) fn remote_request_arrived(
        &mut self,
        link: LinkId,
        gate: GateId,
        request: RequestFrame,
        statement: Vec<u8>,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let number = request.number;
        // Meant for an earlier start of this gateway: what that one did with it is not known, so nothing is said.
        if request.receiver_start != gateway_part.own.start {
            return;
        }
        let origin = gateway_part.peer_gateways[gate].origin.clone();
        let left = micros(request.left_us);
        let mut frame = OutcomeFrame { number, ..OutcomeFrame::default() };
        match gateway_part.fates.take(now, &origin, number, left) {
            Ok(()) => {}
            Err(TurnedAway::Full) => {
                frame.kind = OutcomeKind::Rejected.into();
                gateway_part.send(gate, Some(link), Said::Outcome(frame, Vec::new()));
                return;
            }
            // Another copy, or one that was asked about before it received_at: no news to the sender.
            Err(_) => return,
        }
        let arriving = ArrivingRequest { link, gate, origin, number, received_at: now, request, statement };
        let class = self.decoded.class(&arriving.request.class).ok();
        let effect = class.map(|class| self.decoded.terms.classes[class].effect);
        let until = now + left + ASKED_AFTER_DEADLINE;
        match gateway_part.outcome_log.as_mut().filter(|_| effect == Some(Effect::Effectful)) {
            None => self.take_remote_request(arriving),
            Some(outcome_log) => match outcome_log.take(now, &arriving.origin, number, until) {
                Taking::Waits(token) => drop(gateway_part.arriving.insert(token, arriving)),
                Taking::Without => self.take_remote_request(arriving),
                Taking::Refused => self.reject_remote_request(&arriving, OutcomeKind::Rejected),
            },
        }
    }

    pub(super) fn reject_remote_request(&mut self, arriving: &ArrivingRequest, kind: OutcomeKind) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let frame = OutcomeFrame { number: arriving.number, kind: kind.into(), ..OutcomeFrame::default() };
        gateway_part.fates.settle(&arriving.origin, arriving.number, Fate::Rejected { cool_down: 0 });
        gateway_part.send(arriving.gate, Some(arriving.link), Said::Outcome(frame, Vec::new()));
    }

    /// A record was kept, or was not: what waited for it goes on.
    pub(in crate::dispatcher) fn record_written(&mut self, well: bool) {
        let now = self.context.clock.now();
        let Some(outcome_log) =
            self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.outcome_log.as_mut())
        else {
            return;
        };
        if let Some((token, well)) = outcome_log.told(now, well) {
            self.resume_after_record(token, well);
        }
    }

    /// The disk is too slow: what waits for it goes on without.
    pub(in crate::dispatcher) fn stop_waiting_for_records(&mut self) {
        let now = self.context.clock.now();
        let Some(outcome_log) =
            self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.outcome_log.as_mut())
        else {
            return;
        };
        let tokens = outcome_log.given_up(now);
        if !tokens.is_empty() {
            warn!(self.context.log, "the gateway's book waits for the disk no longer"; "records" => tokens.len());
        }
        tokens.into_iter().for_each(|token| self.resume_after_record(token, false));
    }

    pub(super) fn resume_after_record(&mut self, token: Token, well: bool) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if let Some(DepartingOutcome { gate, link, frame, value }) = gateway_part.departing.remove(&token) {
            if gateway_part.peer_gateways[gate].links.contains(&link) {
                gateway_part.send(gate, Some(link), Said::Outcome(frame, value));
            }
            return;
        }
        match gateway_part.arriving.remove(&token) {
            Some(arriving) if well => self.take_remote_request(arriving),
            // Nothing of it has begun: that may be said whatever the disk holds.
            Some(arriving) => self.reject_remote_request(&arriving, OutcomeKind::Rejected),
            None => {}
        }
    }

    /// A request of another gateway that is in the outcome log goes to the module, or is turned away.
    pub(super) fn take_remote_request(&mut self, arriving: ArrivingRequest) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let ArrivingRequest { link, gate, number, ref request, ref statement, .. } = arriving;
        let left = micros(request.left_us) - (self.context.clock.now() - arriving.received_at);
        let class = gateway_part.classes.iter().position(|name| *name == request.class);
        let comment = Comment::parse(statement).ok().filter(|comment| comment.group == request.group);
        let circle = request.visited.contains(&gateway_part.own.site);
        let busy = gateway_part.draining || gateway_part.forwarded.len() >= self.context.limits.requests;
        let ttl = left - gateway_part.sites.one_way(gate);
        let open = comment.as_ref().is_some_and(|comment| self.open_ids.contains(&comment.id));
        let refused = match (&comment, class) {
            (Some(_), Some(_)) if circle => Some(OutcomeKind::NotHere),
            (Some(_), Some(_)) if busy || open || ttl <= 0 => Some(OutcomeKind::Rejected),
            (Some(_), Some(_)) => None,
            _ => Some(OutcomeKind::Wrong),
        };
        if let Some(kind) = refused {
            return self.reject_remote_request(&arriving, kind);
        }
        let ArrivingRequest { origin, request, statement, .. } = arriving;
        let (Some(comment), Some(class)) = (comment, class) else { return };
        let Some(holder) = gateway_part.links.get(&link).map(|state| state.holder) else { return };
        gateway_part.sites.guest_came(gate, class);
        gateway_part.next_remote_id += 1;
        let written_ago = (request.written_ago_us > 0).then(|| micros(request.written_ago_us));
        let client = gateway_part.next_remote_id;
        // Its answer goes over the link; this mailbox is nobody's.
        let (mailbox, _) = mpsc::channel(1);
        let arrived = self.context.clock.now();
        let order = Order { client, holder, mailbox, arrived, statement, comment, written_ago };
        let guest = RemoteRequest { gate, number, link, origin };
        self.forward(order, class, ttl.min(LONGEST_SPAN), None, Some(guest), request.visited);
    }
}
