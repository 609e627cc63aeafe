//! Remote requests: what other gateways sent here, from their arrival until the site router has them.

use aldermill_routing::{Effect, Micros};
use aldermill_site_link::{Outbound, Request as RequestFrame, Response as ResponseFrame, ResponseKind};
use aldermill_site_routing::{NotAccepted, Outcome, PeerGatewayId};
use aldermill_wire::statement::Comment;
use slog::warn;
use tokio::sync::mpsc;

use super::forwarded_requests::RequestToForward;
use super::{
    ArrivingRequest, DepartingOutcome, GatewayPart, MAX_RECEIVED_SPAN, QUERY_GRACE, RemoteRequest, Requester,
    received_span,
};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::outcome_log::{OutcomeLog, RecordTicket, RecordedAcceptance};
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
        gateway: PeerGatewayId,
        frame: RequestFrame,
        statement: Vec<u8>,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        // Meant for an earlier start of this gateway: what that one did with it is not known, so nothing is said.
        if frame.receiver_incarnation != gateway_part.own.incarnation {
            return;
        }
        let origin = gateway_part.peer_gateways[gateway].origin.clone();
        let number = frame.number;
        match gateway_part.outcomes.accept(now, &origin, number, received_span(frame.timeout_us)) {
            Ok(()) => {}
            Err(NotAccepted::Full) => {
                gateway_part.send_rejection(gateway, link, number, ResponseKind::Rejected);
                return;
            }
            // Another copy, or one that was asked about before it came: no news to the sender.
            Err(_) => return,
        }
        self.record(ArrivingRequest { link, gateway, origin, number, received_at: now, frame, statement });
    }

    /// Writes the record of a non-idempotent request, which waits for that; any other goes on.
    fn record(&mut self, arriving: ArrivingRequest) {
        let class = self.settings.class_index(&arriving.frame.class).ok();
        let effect = class.map(|class| self.settings.router_config.classes[class].effect);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let outcome_log = gateway_part.outcome_log.as_mut();
        let Some(outcome_log) = outcome_log.filter(|_| effect == Some(Effect::NonIdempotent)) else {
            return self.take_remote_request(arriving);
        };
        let now = arriving.received_at;
        let until = now + received_span(arriving.frame.timeout_us) + QUERY_GRACE;
        match outcome_log.record_acceptance(now, &arriving.origin, arriving.number, until) {
            RecordedAcceptance::Waits(ticket) => drop(gateway_part.arriving.insert(ticket, arriving)),
            RecordedAcceptance::Unrecorded => self.take_remote_request(arriving),
            RecordedAcceptance::Rejected => self.reject_remote_request(&arriving, ResponseKind::Rejected),
        }
    }

    /// Settles a remote request that never began, and tells its sender.
    fn reject_remote_request(&mut self, arriving: &ArrivingRequest, kind: ResponseKind) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.outcomes.record(&arriving.origin, arriving.number, Outcome::Rejected { retry_after: 0 });
        gateway_part.send_rejection(arriving.gateway, arriving.link, arriving.number, kind);
    }

    /// A record was written, or was not: what waited for it goes on.
    pub(in crate::dispatcher) fn record_written(&mut self, is_written: bool) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        if let Some(record) = outcome_log.write_finished(now, is_written) {
            self.resume_after_record(record.ticket, record.is_written);
        }
    }

    /// The disk is too slow: what waits for it goes on without.
    pub(in crate::dispatcher) fn stop_waiting_for_records(&mut self) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        let tickets = outcome_log.abandon_slow_writes(now);
        if !tickets.is_empty() {
            warn!(self.context.log, "outcome log does not wait for the disk any longer"; "records" => tickets.len());
        }
        for ticket in tickets {
            self.resume_after_record(ticket, false);
        }
    }

    fn outcome_log(&mut self) -> Option<&mut OutcomeLog> {
        self.gateway_part.as_mut()?.outcome_log.as_mut()
    }

    fn resume_after_record(&mut self, ticket: RecordTicket, is_written: bool) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if let Some(departing) = gateway_part.departing.remove(&ticket) {
            return gateway_part.send_outcome(departing);
        }
        match gateway_part.arriving.remove(&ticket) {
            Some(arriving) if is_written => self.take_remote_request(arriving),
            // Nothing of it has begun: that may be said whatever the disk holds.
            Some(arriving) => self.reject_remote_request(&arriving, ResponseKind::Rejected),
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
        let ArrivingRequest { link, gateway, origin, number, frame, statement, .. } = arriving;
        let Some(peer) = gateway_part.links.get(&link).map(|state| state.peer) else { return };
        gateway_part.site_router.remote_request_started(gateway, checked.class);
        gateway_part.next_remote_id += 1;
        // Its answer goes over the link; this mailbox is nobody's.
        let (mailbox, _) = mpsc::channel(1);
        let request = ClientRequest {
            request_id: gateway_part.next_remote_id,
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
            ttl: checked.ttl.min(MAX_RECEIVED_SPAN),
            requester: Requester::Gateway(RemoteRequest { gateway, number, link, origin }),
            visited: frame.visited,
        });
    }

    /// The request's class, comment and time, or the kind of rejection that its sender is told.
    fn check_remote_request(&self, arriving: &ArrivingRequest) -> Result<Checked, ResponseKind> {
        let frame = &arriving.frame;
        let gateway_part = self.gateway_part.as_ref().ok_or(ResponseKind::Rejected)?;
        let class = gateway_part.classes.iter().position(|name| *name == frame.class);
        let class = class.ok_or(ResponseKind::Invalid)?;
        let comment = Comment::parse(&arriving.statement).map_err(|_| ResponseKind::Invalid)?;
        if comment.group != frame.group {
            return Err(ResponseKind::Invalid);
        }
        if frame.visited.contains(&gateway_part.own.site) {
            return Err(ResponseKind::NotPrimary);
        }
        let waited = self.context.clock.now() - arriving.received_at;
        let ttl = received_span(frame.timeout_us)
            - waited
            - gateway_part.site_router.one_way_delay(arriving.gateway);
        let full = gateway_part.forwarded.len() >= self.context.limits.open_requests;
        let under_way = self.open_comment_ids.contains(&comment.id);
        if gateway_part.draining || full || under_way || ttl <= 0 {
            return Err(ResponseKind::Rejected);
        }
        Ok(Checked { class, comment, ttl })
    }

    /// The gateway that sent a request no longer waits for it.
    pub(super) fn remote_request_cancelled(&mut self, gateway: PeerGatewayId, number: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(&handle) = gateway_part.remote_requests.get(&(gateway, number)) else {
            return gateway_part.cancel_arriving(gateway, number);
        };
        // What the router has begun may run yet.
        let origin = &gateway_part.peer_gateways[gateway].origin;
        gateway_part.outcomes.record(origin, number, Outcome::Failed);
        let class = gateway_part.forwarded.get(&handle).map_or(0, |forwarded| forwarded.class);
        gateway_part.site_router.remote_request_ended(now, gateway, class, false);
        self.forwarded_request_left(handle);
    }
}

impl GatewayPart {
    /// A request that waits for its record never begins.
    fn cancel_arriving(&mut self, gateway: PeerGatewayId, number: u64) {
        let before = self.arriving.len();
        self.arriving.retain(|_, arriving| (arriving.gateway, arriving.number) != (gateway, number));
        if self.arriving.len() < before {
            let origin = &self.peer_gateways[gateway].origin;
            self.outcomes.record(origin, number, Outcome::Rejected { retry_after: 0 });
        }
    }

    fn send_rejection(&self, gateway: PeerGatewayId, link: LinkId, number: u64, kind: ResponseKind) {
        let frame = ResponseFrame { number, kind: kind.into(), ..ResponseFrame::default() };
        self.send(gateway, Some(link), Outbound::Response(frame, Vec::new()));
    }

    /// Sends an outcome over its link; where that was lost, the other gateway asks about it.
    fn send_outcome(&self, departing: DepartingOutcome) {
        let DepartingOutcome { gateway, link, frame, value } = departing;
        if self.peer_gateways[gateway].links.contains(&link) {
            self.send(gateway, Some(link), Outbound::Response(frame, value));
        }
    }
}
