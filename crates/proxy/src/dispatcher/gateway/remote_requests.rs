//! Remote requests: what other gateways sent here, from their arrival until the site router has them.

use aldermill_routing::{Effect, Micros};
use aldermill_site_link::{Outcome as OutcomeFrame, OutcomeKind, Request as RequestFrame, Said};
use aldermill_site_routing::{Fate, GateId, TurnedAway};
use aldermill_wire::statement::Comment;
use slog::warn;
use tokio::sync::mpsc;

use super::forwarded_requests::RequestToForward;
use super::{
    ASKED_AFTER_DEADLINE, ArrivingRequest, DepartingOutcome, GatewayPart, LONGEST_SPAN, RemoteRequest,
    Requester, received_span,
};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::outcome_log::{OutcomeLog, Taking, Token};
use crate::messages::{ClientRequest, LinkId};

/// What an arriving request was found to be.
struct Checked {
    class: usize,
    comment: Comment,
    /// How long its sender still waits, less the way back, in microseconds.
    ttl: Micros,
}

impl Dispatcher {
    /// Another gateway sent a request: remembered, and, if non-idempotent, recorded before it goes on.
    pub(super) fn remote_request_arrived(
        &mut self,
        link: LinkId,
        gate: GateId,
        frame: RequestFrame,
        statement: Vec<u8>,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        // Meant for an earlier start of this gateway: what that one did with it is not known, so nothing is said.
        if frame.receiver_start != gateway_part.own.start {
            return;
        }
        let origin = gateway_part.peer_gateways[gate].origin.clone();
        let number = frame.number;
        match gateway_part.fates.take(now, &origin, number, received_span(frame.left_us)) {
            Ok(()) => {}
            Err(TurnedAway::Full) => {
                gateway_part.send_rejection(gate, link, number, OutcomeKind::Rejected);
                return;
            }
            // Another copy, or one that was asked about before it came: no news to the sender.
            Err(_) => return,
        }
        self.record(ArrivingRequest { link, gate, origin, number, received_at: now, frame, statement });
    }

    /// Writes the record of a non-idempotent request, which waits for that; any other goes on.
    fn record(&mut self, arriving: ArrivingRequest) {
        let class = self.decoded.class(&arriving.frame.class).ok();
        let effect = class.map(|class| self.decoded.terms.classes[class].effect);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let outcome_log = gateway_part.outcome_log.as_mut();
        let Some(outcome_log) = outcome_log.filter(|_| effect == Some(Effect::Effectful)) else {
            return self.take_remote_request(arriving);
        };
        let (now, left) = (arriving.received_at, received_span(arriving.frame.left_us));
        let until = now + left + ASKED_AFTER_DEADLINE;
        match outcome_log.take(now, &arriving.origin, arriving.number, until) {
            Taking::Waits(token) => drop(gateway_part.arriving.insert(token, arriving)),
            Taking::Without => self.take_remote_request(arriving),
            Taking::Refused => self.reject_remote_request(&arriving, OutcomeKind::Rejected),
        }
    }

    /// Settles a remote request that never began, and tells its sender.
    fn reject_remote_request(&mut self, arriving: &ArrivingRequest, kind: OutcomeKind) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.fates.settle(&arriving.origin, arriving.number, Fate::Rejected { cool_down: 0 });
        gateway_part.send_rejection(arriving.gate, arriving.link, arriving.number, kind);
    }

    /// A record was written, or was not: what waited for it goes on.
    pub(in crate::dispatcher) fn record_written(&mut self, well: bool) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        if let Some((token, well)) = outcome_log.told(now, well) {
            self.resume_after_record(token, well);
        }
    }

    /// The disk is too slow: what waits for it goes on without.
    pub(in crate::dispatcher) fn stop_waiting_for_records(&mut self) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        let tokens = outcome_log.given_up(now);
        if !tokens.is_empty() {
            warn!(self.context.log, "the gateway's book waits for the disk no longer"; "records" => tokens.len());
        }
        for token in tokens {
            self.resume_after_record(token, false);
        }
    }

    fn outcome_log(&mut self) -> Option<&mut OutcomeLog> {
        self.gateway_part.as_mut()?.outcome_log.as_mut()
    }

    fn resume_after_record(&mut self, token: Token, well: bool) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if let Some(departing) = gateway_part.departing.remove(&token) {
            return gateway_part.send_outcome(departing);
        }
        match gateway_part.arriving.remove(&token) {
            Some(arriving) if well => self.take_remote_request(arriving),
            // Nothing of it has begun: that may be said whatever the disk holds.
            Some(arriving) => self.reject_remote_request(&arriving, OutcomeKind::Rejected),
            None => {}
        }
    }

    /// A remote request whose record is written, or that needs none, goes to the site router or is rejected.
    fn take_remote_request(&mut self, arriving: ArrivingRequest) {
        let checked = match self.check_remote_request(&arriving) {
            Ok(checked) => checked,
            Err(kind) => return self.reject_remote_request(&arriving, kind),
        };
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let ArrivingRequest { link, gate, origin, number, frame, statement, .. } = arriving;
        let Some(peer) = gateway_part.links.get(&link).map(|state| state.peer) else { return };
        gateway_part.sites.guest_came(gate, checked.class);
        gateway_part.next_remote_id += 1;
        // Its answer goes over the link; this mailbox is nobody's.
        let (mailbox, _) = mpsc::channel(1);
        let request = ClientRequest {
            client: gateway_part.next_remote_id,
            peer,
            mailbox,
            received_at: self.context.clock.now(),
            statement,
            comment: checked.comment,
            last_write_age: (frame.written_ago_us > 0).then(|| received_span(frame.written_ago_us)),
        };
        self.forward(RequestToForward {
            request,
            class: checked.class,
            ttl: checked.ttl.min(LONGEST_SPAN),
            requester: Requester::Gateway(RemoteRequest { gate, number, link, origin }),
            visited: frame.visited,
        });
    }

    /// The request's class, comment and time, or the kind of rejection that its sender is told.
    fn check_remote_request(&self, arriving: &ArrivingRequest) -> Result<Checked, OutcomeKind> {
        let frame = &arriving.frame;
        let gateway_part = self.gateway_part.as_ref().ok_or(OutcomeKind::Rejected)?;
        let class = gateway_part.classes.iter().position(|name| *name == frame.class);
        let class = class.ok_or(OutcomeKind::Wrong)?;
        let comment = Comment::parse(&arriving.statement).map_err(|_| OutcomeKind::Wrong)?;
        if comment.group != frame.group {
            return Err(OutcomeKind::Wrong);
        }
        if frame.visited.contains(&gateway_part.own.site) {
            return Err(OutcomeKind::NotHere);
        }
        let waited = self.context.clock.now() - arriving.received_at;
        let ttl = received_span(frame.left_us) - waited - gateway_part.sites.one_way(arriving.gate);
        let full = gateway_part.forwarded.len() >= self.context.limits.open_requests;
        let under_way = self.open_ids.contains(&comment.id);
        if gateway_part.draining || full || under_way || ttl <= 0 {
            return Err(OutcomeKind::Rejected);
        }
        Ok(Checked { class, comment, ttl })
    }

    /// The gateway that sent a request no longer waits for it.
    pub(super) fn remote_request_cancelled(&mut self, gate: GateId, number: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(&handle) = gateway_part.remote_requests.get(&(gate, number)) else {
            return gateway_part.cancel_arriving(gate, number);
        };
        // What the router has begun may run yet.
        let origin = &gateway_part.peer_gateways[gate].origin;
        gateway_part.fates.settle(origin, number, Fate::Failed);
        let class = gateway_part.forwarded.get(&handle).map_or(0, |forwarded| forwarded.class);
        gateway_part.sites.guest_over(now, gate, class, false);
        self.forwarded_request_left(handle);
    }
}

impl GatewayPart {
    /// A request that waits for its record never begins.
    fn cancel_arriving(&mut self, gate: GateId, number: u64) {
        let before = self.arriving.len();
        self.arriving.retain(|_, arriving| (arriving.gate, arriving.number) != (gate, number));
        if self.arriving.len() < before {
            let origin = &self.peer_gateways[gate].origin;
            self.fates.settle(origin, number, Fate::Rejected { cool_down: 0 });
        }
    }

    fn send_rejection(&self, gate: GateId, link: LinkId, number: u64, kind: OutcomeKind) {
        let frame = OutcomeFrame { number, kind: kind.into(), ..OutcomeFrame::default() };
        self.send(gate, Some(link), Said::Outcome(frame, Vec::new()));
    }

    /// Sends an outcome over its link; where that was lost, the other gateway asks about it.
    fn send_outcome(&self, departing: DepartingOutcome) {
        let DepartingOutcome { gate, link, frame, value } = departing;
        if self.peer_gateways[gate].links.contains(&link) {
            self.send(gate, Some(link), Said::Outcome(frame, value));
        }
    }
}
