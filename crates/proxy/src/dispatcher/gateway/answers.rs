//! The one answer to each pending request: to a local client, or over a link to the gateway that sent the
//! request.

use std::rc::Rc;

use aldermill_routing::{Effect, Micros};
use aldermill_site_link::{Outbound, Response as ResponseFrame, ResponseKind};
use aldermill_site_routing::{Outcome, RequestHandle, SiteId};

use super::{
    GatewayPart, OutgoingResponse, PendingRequest, QUERY_GRACE, RemoteRequest, Requester, RetainedResponse,
};
use crate::dispatcher::Dispatcher;
use crate::messages::{Answer, Rows};

/// The final answer to a pending request.
pub(super) enum FinalAnswer {
    /// The request ended with this answer.
    Ended(Answer),
    /// The request never ran, as this site does not have the primary of its group. `hint` is the site that is
    /// believed to have it; `None` if unknown.
    NotPrimary { hint: Option<SiteId> },
}

impl FinalAnswer {
    /// Returns the answer for a client. A client is not told where the primary is: it gets a rejection that
    /// names no time for the retry.
    fn for_client(self) -> Answer {
        match self {
            FinalAnswer::Ended(answer) => answer,
            FinalAnswer::NotPrimary { .. } => Answer::Rejected { retry_after: 0 },
        }
    }
}

/// The outcome of a remote request, with the fields of its response.
struct RemoteOutcome {
    kind: ResponseKind,
    /// Outcome that later queries are answered with.
    outcome: Outcome<RetainedResponse>,
    data: Rc<Vec<u8>>,
    retry_after: Micros,
    hint: Option<SiteId>,
}

impl RemoteOutcome {
    fn new(answer: FinalAnswer) -> RemoteOutcome {
        match answer {
            FinalAnswer::Ended(Answer::Served(rows)) => RemoteOutcome::served(rows),
            FinalAnswer::Ended(Answer::Rejected { retry_after }) => {
                let outcome = Outcome::Rejected { retry_after };
                RemoteOutcome { retry_after, ..RemoteOutcome::empty(ResponseKind::Rejected, outcome) }
            }
            FinalAnswer::Ended(Answer::Failed) => RemoteOutcome::empty(ResponseKind::Failed, Outcome::Failed),
            FinalAnswer::Ended(Answer::InvalidStatement(_)) => {
                RemoteOutcome::empty(ResponseKind::Invalid, Outcome::Rejected { retry_after: 0 })
            }
            FinalAnswer::NotPrimary { hint } => {
                let outcome = Outcome::Rejected { retry_after: 0 };
                RemoteOutcome { hint, ..RemoteOutcome::empty(ResponseKind::NotPrimary, outcome) }
            }
        }
    }

    fn served(rows: Rows) -> RemoteOutcome {
        let data = Rc::new(rows.pieces.concat());
        let response = RetainedResponse { bytes: data.clone(), _reservation: rows.reservation.map(Rc::new) };
        RemoteOutcome { data, ..RemoteOutcome::empty(ResponseKind::Served, Outcome::Served(response)) }
    }

    fn empty(kind: ResponseKind, outcome: Outcome<RetainedResponse>) -> RemoteOutcome {
        RemoteOutcome { kind, outcome, data: Rc::default(), retry_after: 0, hint: None }
    }
}

impl Dispatcher {
    /// Gives a pending request its one answer, and removes it.
    pub(super) fn answer_pending_request(&mut self, handle: RequestHandle, answer: FinalAnswer) {
        let Some(pending) = self.remove_pending_request(handle) else { return };
        match &pending.requester {
            Requester::Client(client) => client.answer(answer.for_client()),
            Requester::Gateway(remote) => self.answer_remote(&pending, remote, answer),
        }
    }

    /// Stores the outcome of a remote request and sends the response over its link. The response to a
    /// non-idempotent request is sent once the record of the outcome is written.
    fn answer_remote(&mut self, pending: &PendingRequest, remote: &RemoteRequest, answer: FinalAnswer) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let effect = self.settings.router_config.classes[pending.class].effect;
        let RemoteOutcome { kind, outcome, data, retry_after, hint } = RemoteOutcome::new(answer);
        let frame = ResponseFrame {
            number: remote.number,
            kind: kind.into(),
            retry_after_us: retry_after.max(0) as u64,
            hint: hint.map_or(String::new(), |site| gateway_part.site_names[site].clone()),
            duration_us: (now - pending.request.received_at).max(0) as u64,
            ..ResponseFrame::default()
        };
        let timeout = Micros::from(pending.request.comment.timeout_ms) * 1000;
        // An idempotent request may simply be run again if its response is lost, so its response is not kept.
        let outcome = if effect == Effect::Idempotent { Outcome::Failed } else { outcome };
        let kept_until = (effect == Effect::NonIdempotent).then_some(now + timeout + QUERY_GRACE);
        gateway_part.record_and_send(now, remote, outcome, kept_until, frame, data);
        let rejected = kind == ResponseKind::Rejected;
        if gateway_part.site_router.remote_request_ended(now, remote.gateway, pending.class, rejected) {
            gateway_part.announce_capacity_to(now, remote.gateway);
        }
    }
}

impl GatewayPart {
    /// Stores the outcome in memory and, if `kept_until` is set, also on disk, so that it can be queried up to
    /// that time even after a restart; then sends the response.
    fn record_and_send(
        &mut self,
        now: Micros,
        remote: &RemoteRequest,
        outcome: Outcome<RetainedResponse>,
        kept_until: Option<Micros>,
        frame: ResponseFrame,
        data: Rc<Vec<u8>>,
    ) {
        let mut record_id = None;
        if let (Some(outcome_log), Some(until)) = (&mut self.outcome_log, kept_until) {
            let bytes = outcome.as_ref().map(|response| &response.bytes[..]);
            record_id = outcome_log.record_outcome(now, &remote.origin, remote.number, until, &bytes);
        }
        self.outcomes.record(&remote.origin, remote.number, outcome);
        // The response goes over the link on which the request arrived or was last queried. If that link was
        // lost, the other gateway will query the outcome.
        let RemoteRequest { gateway, link, .. } = *remote;
        if !self.peer_gateways[gateway].links.contains(&link) {
            return;
        }
        let data = Rc::try_unwrap(data).unwrap_or_else(|shared| shared.to_vec());
        match record_id {
            Some(id) => {
                drop(self.waiting_responses.insert(id, OutgoingResponse { gateway, link, frame, data }))
            }
            None => drop(self.send(gateway, Some(link), Outbound::Response(frame, data))),
        }
    }
}
