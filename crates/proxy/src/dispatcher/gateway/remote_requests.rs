//! Remote requests, from their arrival until they are handed to the site router.

use aldermill_flow_control::{Priority, ReservationOwner};
use aldermill_routing::{Effect, Micros};
use aldermill_site_link::{Outbound, Request as RequestFrame, Response as ResponseFrame, ResponseKind};
use aldermill_site_routing::{AnnouncementEcho, NotAccepted, Outcome, PeerGatewayId, StatedTimes};
use aldermill_wire::statement::Comment;
use slog::warn;
use tokio::sync::mpsc;

use super::pending_requests::RequestToRoute;
use super::{
    GatewayPart, IncomingRequest, MAX_RECEIVED_DURATION, OutgoingResponse, QUERY_GRACE, RemoteRequest,
    Requester, capped_micros,
};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::outcome_log::{AcceptanceDecision, OutcomeLog, RecordId};
use crate::flow_control::BufferReservation;
use crate::messages::{Cancellation, ClientRequest, LinkId};

/// What validation determines about a remote request.
struct ValidatedRequest {
    class: usize,
    comment: Comment,
    /// How much longer the sender waits, less the delay of the response on its way back, in microseconds.
    timeout: Micros,
    /// How long ago the first attempt that may have run began, in microseconds; `None` if none may have run.
    earlier_attempt_age: Option<Micros>,
}

impl Dispatcher {
    /// Handles a request from another gateway. It is accepted in the outcome table and, if it is non-idempotent,
    /// recorded on disk before it is admitted.
    pub(super) fn remote_request_received(
        &mut self,
        link: LinkId,
        gateway: PeerGatewayId,
        frame: RequestFrame,
        statement: Vec<u8>,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        // The request was sent to an earlier incarnation of this gateway. What that incarnation did with it is not
        // known, so there is no response.
        if frame.receiver_incarnation != gateway_part.identity.incarnation {
            return;
        }
        let origin = gateway_part.peer_gateways[gateway].origin.clone();
        let number = frame.number;
        match gateway_part.outcomes.accept(now, &origin, number, capped_micros(frame.timeout_us)) {
            Ok(()) => {}
            Err(NotAccepted::Full) => {
                gateway_part.send_rejection(gateway, link, number, ResponseKind::Rejected);
                return;
            }
            // Another copy, or a request that was queried before it arrived. The sender must not be told that it
            // was rejected, as an earlier copy may have run.
            Err(_) => return,
        }
        self.record_acceptance(IncomingRequest {
            link,
            gateway,
            origin,
            number,
            received_at: now,
            frame,
            statement,
        });
    }

    /// Records the acceptance of a non-idempotent request, which waits until the record is written. Any other
    /// request is admitted at once.
    fn record_acceptance(&mut self, incoming: IncomingRequest) {
        let class = self.settings.class_index(&incoming.frame.class).ok();
        let effect = class.map(|class| self.settings.router_config.classes[class].effect);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let outcome_log = gateway_part.outcome_log.as_mut();
        let Some(outcome_log) = outcome_log.filter(|_| effect == Some(Effect::NonIdempotent)) else {
            return self.admit_remote_request(incoming);
        };
        let now = incoming.received_at;
        let until = now + capped_micros(incoming.frame.timeout_us) + QUERY_GRACE;
        match outcome_log.record_acceptance(now, &incoming.origin, incoming.number, until) {
            AcceptanceDecision::AwaitRecord(id) => drop(gateway_part.waiting_requests.insert(id, incoming)),
            AcceptanceDecision::ProceedUnrecorded => self.admit_remote_request(incoming),
            AcceptanceDecision::Reject => self.reject_remote_request(&incoming, ResponseKind::Rejected),
        }
    }

    /// Rejects a remote request that has not run: stores that outcome, and tells the sender.
    fn reject_remote_request(&mut self, incoming: &IncomingRequest, kind: ResponseKind) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.outcomes.record(&incoming.origin, incoming.number, Outcome::Rejected { retry_after: 0 });
        gateway_part.send_rejection(incoming.gateway, incoming.link, incoming.number, kind);
    }

    /// Handles the end of the outcome log's oldest write, and resumes what waited for its record.
    pub(in crate::dispatcher) fn record_written(&mut self, is_written: bool) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        if let Some(record) = outcome_log.write_finished(now, is_written) {
            self.resume_after_record(record.id, record.is_written);
        }
    }

    /// Stops waiting for the disk if it is too slow: requests that wait for their record are rejected, and
    /// responses are sent without theirs.
    pub(in crate::dispatcher) fn stop_waiting_for_records(&mut self) {
        let now = self.context.clock.now();
        let Some(outcome_log) = self.outcome_log() else { return };
        let ids = outcome_log.abandon_slow_writes(now);
        if !ids.is_empty() {
            warn!(self.context.log, "outcome log does not wait for the disk any longer"; "records" => ids.len());
        }
        for id in ids {
            self.resume_after_record(id, false);
        }
    }

    fn outcome_log(&mut self) -> Option<&mut OutcomeLog> {
        self.gateway_part.as_mut()?.outcome_log.as_mut()
    }

    /// Resumes what waited for a record: a response is sent in any case, and a request is admitted if the record
    /// was written, and else rejected.
    fn resume_after_record(&mut self, id: RecordId, is_written: bool) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if let Some(outgoing) = gateway_part.waiting_responses.remove(&id) {
            return gateway_part.send_outcome(outgoing);
        }
        match gateway_part.waiting_requests.remove(&id) {
            Some(incoming) if is_written => self.admit_remote_request(incoming),
            // The request has not run, so it may be rejected whether or not the record reaches the disk.
            Some(incoming) => self.reject_remote_request(&incoming, ResponseKind::Rejected),
            None => {}
        }
    }

    /// Hands a remote request to the site router, or rejects it if validation fails. This is called once the
    /// request's record is written, or at once if the request needs none.
    fn admit_remote_request(&mut self, incoming: IncomingRequest) {
        let validated = match self.validate_remote_request(&incoming) {
            Ok(validated) => validated,
            Err(kind) => return self.reject_remote_request(&incoming, kind),
        };
        let Some(statement_reservation) = self.reserve_for_remote_statement(&incoming) else {
            return self.reject_remote_request(&incoming, ResponseKind::Rejected);
        };
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let IncomingRequest { link, gateway, origin, number, frame, statement, .. } = incoming;
        let Some(peer) = gateway_part.links.get(&link).map(|active| active.peer) else { return };
        gateway_part.site_router.remote_request_started(gateway, validated.class);
        gateway_part.last_remote_request_id += 1;
        // The answer goes over the link, so this mailbox has no receiver.
        let (mailbox, _) = mpsc::channel(1);
        let request = ClientRequest {
            request_id: gateway_part.last_remote_request_id,
            peer,
            mailbox,
            received_at: self.context.clock.now(),
            statement,
            comment: validated.comment,
            last_write_age: (frame.written_ago_us > 0).then(|| capped_micros(frame.written_ago_us)),
            client_backlog: 0,
            client_gone: Cancellation::default(),
            _pipeline_charge: None,
            _statement_reservation: statement_reservation,
        };
        self.route_request(RequestToRoute {
            request,
            class: validated.class,
            timeout: validated.timeout.min(MAX_RECEIVED_DURATION),
            requester: Requester::Gateway(RemoteRequest { gateway, number, link, origin }),
            visited: frame.visited,
            earlier_attempt_age: validated.earlier_attempt_age,
        });
    }

    /// Reserves buffer space for the statement of a remote request, on behalf of its link, if the statement is large.
    /// Returns `None` if there is no space.
    fn reserve_for_remote_statement(&self, incoming: &IncomingRequest) -> Option<Option<BufferReservation>> {
        let length = incoming.statement.len();
        let link = self.gateway_part.as_ref().and_then(|gateway_part| gateway_part.links.get(&incoming.link));
        let Some(link) = link.filter(|_| length > self.context.limits.buffers.small_message) else {
            return Some(None);
        };
        let owner = ReservationOwner { peer: link.peer, priority: Priority::Normal };
        self.context.flow_control.try_reserve(owner, length).map(Some)
    }

    /// Returns the class, comment and timeout of a remote request, or the kind of response that rejects it.
    fn validate_remote_request(&self, incoming: &IncomingRequest) -> Result<ValidatedRequest, ResponseKind> {
        let frame = &incoming.frame;
        let gateway_part = self.gateway_part.as_ref().ok_or(ResponseKind::Rejected)?;
        let class = gateway_part.class_names.iter().position(|name| *name == frame.class);
        let class = class.ok_or(ResponseKind::Invalid)?;
        let comment = Comment::parse(&incoming.statement).map_err(|_| ResponseKind::Invalid)?;
        if comment.group != frame.group {
            return Err(ResponseKind::Invalid);
        }
        if frame.visited.contains(&gateway_part.identity.site) {
            return Err(ResponseKind::NotPrimary);
        }
        let waited = self.context.clock.now() - incoming.received_at;
        let arrived = gateway_part.times_on_arrival(incoming);
        let timeout = arrived.timeout - waited - gateway_part.site_router.one_way_delay(incoming.gateway);
        let full = gateway_part.pending_requests.len() >= self.context.limits.open_requests;
        let under_way = self.open_comment_ids.contains(&comment.id);
        if gateway_part.draining || full || under_way || timeout <= 0 {
            return Err(ResponseKind::Rejected);
        }
        let earlier_attempt_age = arrived.earlier_attempt_age.map(|age| age + waited);
        Ok(ValidatedRequest { class, comment, timeout, earlier_attempt_age })
    }

    /// Handles the cancellation of a request by the gateway that sent it.
    pub(super) fn remote_request_cancelled(&mut self, gateway: PeerGatewayId, number: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(&handle) = gateway_part.remote_requests.get(&(gateway, number)) else {
            return gateway_part.cancel_waiting_request(gateway, number);
        };
        // An attempt that the router has already started may still run, so the request counts as failed.
        let origin = &gateway_part.peer_gateways[gateway].origin;
        gateway_part.outcomes.record(origin, number, Outcome::Failed);
        let class = gateway_part.pending_requests.get(&handle).map_or(0, |pending| pending.class);
        gateway_part.site_router.remote_request_ended(now, gateway, class, false);
        self.abandon_pending_request(handle);
    }
}

impl GatewayPart {
    /// Returns the times that a remote request states, as of its arrival.
    fn times_on_arrival(&self, incoming: &IncomingRequest) -> StatedTimes {
        let frame = &incoming.frame;
        let stated = StatedTimes {
            timeout: capped_micros(frame.timeout_us),
            one_way_delay: capped_micros(frame.one_way_delay_us),
            earlier_attempt_age: (frame.earlier_attempt_ago_us > 0)
                .then(|| capped_micros(frame.earlier_attempt_ago_us)),
        };
        let echo = (frame.announcement > 0).then(|| AnnouncementEcho {
            number: frame.announcement,
            age: capped_micros(frame.announcement_ago_us),
        });
        let max_transit = self.announcement_times.max_transit(incoming.received_at, echo);
        stated.on_arrival(max_transit, self.site_router.one_way_delay(incoming.gateway))
    }

    /// Cancels a remote request that still waits for its record. It never runs, and counts as rejected.
    fn cancel_waiting_request(&mut self, gateway: PeerGatewayId, number: u64) {
        let before = self.waiting_requests.len();
        self.waiting_requests.retain(|_, incoming| (incoming.gateway, incoming.number) != (gateway, number));
        if self.waiting_requests.len() < before {
            let origin = &self.peer_gateways[gateway].origin;
            self.outcomes.record(origin, number, Outcome::Rejected { retry_after: 0 });
        }
    }

    fn send_rejection(&self, gateway: PeerGatewayId, link: LinkId, number: u64, kind: ResponseKind) {
        let frame = ResponseFrame { number, kind: kind.into(), ..ResponseFrame::default() };
        self.send(gateway, Some(link), Outbound::Response(frame, Vec::new()));
    }

    /// Sends a response over its link. If that link was lost, the other gateway will query the outcome.
    fn send_outcome(&self, outgoing: OutgoingResponse) {
        let OutgoingResponse { gateway, link, frame, data } = outgoing;
        if self.peer_gateways[gateway].links.contains(&link) {
            self.send(gateway, Some(link), Outbound::Response(frame, data));
        }
    }
}
