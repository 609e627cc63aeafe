//! Requests that other gateways sent.

use super::*;

impl Dispatcher {
    pub(super) fn guest_came(
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
        let origin = gateway_part.gates[gate].origin.clone();
        let left = micros(request.left_us);
        let mut frame = OutcomeFrame { number, ..OutcomeFrame::default() };
        match gateway_part.fates.take(now, &origin, number, left) {
            Ok(()) => {}
            Err(TurnedAway::Full) => {
                frame.kind = OutcomeKind::Rejected.into();
                gateway_part.say(gate, Some(link), Said::Outcome(frame, Vec::new()));
                return;
            }
            // Another copy, or one that was asked about before it came: no news to the sender.
            Err(_) => return,
        }
        let coming = Coming { link, gate, origin, number, came: now, request, statement };
        let class = self.decoded.class(&coming.request.class).ok();
        let effect = class.map(|class| self.decoded.terms.classes[class].effect);
        let until = now + left + SLACK;
        match gateway_part.book.as_mut().filter(|_| effect == Some(Effect::Effectful)) {
            None => self.guest_goes_on(coming),
            Some(book) => match book.take(now, &coming.origin, number, until) {
                Taking::Waits(token) => drop(gateway_part.coming.insert(token, coming)),
                Taking::Without => self.guest_goes_on(coming),
                Taking::Refused => self.refuse_guest(&coming, OutcomeKind::Rejected),
            },
        }
    }

    pub(super) fn refuse_guest(&mut self, coming: &Coming, kind: OutcomeKind) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let frame = OutcomeFrame { number: coming.number, kind: kind.into(), ..OutcomeFrame::default() };
        gateway_part.fates.settle(&coming.origin, coming.number, Fate::Rejected { cool_down: 0 });
        gateway_part.say(coming.gate, Some(coming.link), Said::Outcome(frame, Vec::new()));
    }

    /// A record was kept, or was not: what waited for it goes on.
    pub(crate) fn kept(&mut self, well: bool) {
        let now = self.context.clock.now();
        let Some(book) = self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.book.as_mut())
        else {
            return;
        };
        if let Some((token, well)) = book.told(now, well) {
            self.kept_or_not(token, well);
        }
    }

    /// The disk is too slow: what waits for it goes on without.
    pub(crate) fn book_gives_up(&mut self) {
        let now = self.context.clock.now();
        let Some(book) = self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.book.as_mut())
        else {
            return;
        };
        let tokens = book.given_up(now);
        if !tokens.is_empty() {
            warn!(self.context.log, "the gateway's book waits for the disk no longer"; "records" => tokens.len());
        }
        tokens.into_iter().for_each(|token| self.kept_or_not(token, false));
    }

    pub(super) fn kept_or_not(&mut self, token: Token, well: bool) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if let Some(Leaving { gate, link, frame, value }) = gateway_part.leaving.remove(&token) {
            if gateway_part.gates[gate].links.contains(&link) {
                gateway_part.say(gate, Some(link), Said::Outcome(frame, value));
            }
            return;
        }
        match gateway_part.coming.remove(&token) {
            Some(coming) if well => self.guest_goes_on(coming),
            // Nothing of it has begun: that may be said whatever the disk holds.
            Some(coming) => self.refuse_guest(&coming, OutcomeKind::Rejected),
            None => {}
        }
    }

    /// A request of another gateway that is in the book goes to the module, or is turned away.
    pub(super) fn guest_goes_on(&mut self, coming: Coming) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Coming { link, gate, number, ref request, ref statement, .. } = coming;
        let left = micros(request.left_us) - (self.context.clock.now() - coming.came);
        let class = gateway_part.classes.iter().position(|name| *name == request.class);
        let comment = Comment::parse(statement).ok().filter(|comment| comment.group == request.group);
        let circle = request.visited.contains(&gateway_part.own.site);
        let busy = gateway_part.draining || gateway_part.trips.len() >= self.context.limits.requests;
        let ttl = left - gateway_part.sites.one_way(gate);
        let open = comment.as_ref().is_some_and(|comment| self.open_ids.contains(&comment.id));
        let refused = match (&comment, class) {
            (Some(_), Some(_)) if circle => Some(OutcomeKind::NotHere),
            (Some(_), Some(_)) if busy || open || ttl <= 0 => Some(OutcomeKind::Rejected),
            (Some(_), Some(_)) => None,
            _ => Some(OutcomeKind::Wrong),
        };
        if let Some(kind) = refused {
            return self.refuse_guest(&coming, kind);
        }
        let Coming { origin, request, statement, .. } = coming;
        let (Some(comment), Some(class)) = (comment, class) else { return };
        let Some(holder) = gateway_part.links.get(&link).map(|state| state.holder) else { return };
        gateway_part.sites.guest_came(gate, class);
        gateway_part.next_guest += 1;
        let written_ago = (request.written_ago_us > 0).then(|| micros(request.written_ago_us));
        let client = gateway_part.next_guest;
        // Its answer goes over the link; this mailbox is nobody's.
        let (mailbox, _) = mpsc::channel(1);
        let arrived = self.context.clock.now();
        let order = Order { client, holder, mailbox, arrived, statement, comment, written_ago };
        let guest = Guest { gate, number, link, origin };
        self.set_out(order, class, ttl.min(MOST), None, Some(guest), request.visited);
    }
}
