//! The one answer of a forwarded request: to a client here, or over a link to the gateway that sent it.

use std::rc::Rc;

use aldermill_routing::{Effect, Micros};
use aldermill_site_link::{Outbound, Response as ResponseFrame, ResponseKind};
use aldermill_site_routing::{Outcome, RequestHandle, SiteId};

use super::{
    DepartingOutcome, ForwardedRequest, GatewayPart, KeptValue, QUERY_GRACE, RemoteRequest, Requester,
};
use crate::dispatcher::Dispatcher;
use crate::messages::{Answer, Rows};

/// How a forwarded request ends.
pub(super) enum FinalAnswer {
    Ended(Answer),
    /// Its group's primary is not here, and perhaps at the site named.
    NotPrimary {
        hint: Option<SiteId>,
    },
}

impl FinalAnswer {
    /// What a client hears.
    fn for_client(self) -> Answer {
        match self {
            FinalAnswer::Ended(answer) => answer,
            FinalAnswer::NotPrimary { .. } => Answer::Rejected { retry_after: 0 },
        }
    }
}

/// What a remote request came to.
struct RemoteOutcome {
    kind: ResponseKind,
    /// What a later query is answered with.
    outcome: Outcome<KeptValue>,
    value: Rc<Vec<u8>>,
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
        let value = Rc::new(rows.pieces.concat());
        let kept = KeptValue { bytes: value.clone(), _reservation: rows.reservation.map(Rc::new) };
        RemoteOutcome { value, ..RemoteOutcome::empty(ResponseKind::Served, Outcome::Served(kept)) }
    }

    fn empty(kind: ResponseKind, outcome: Outcome<KeptValue>) -> RemoteOutcome {
        RemoteOutcome { kind, outcome, value: Rc::default(), retry_after: 0, hint: None }
    }
}

impl Dispatcher {
    /// Gives a forwarded request its one answer.
    pub(super) fn answer_forwarded(&mut self, handle: RequestHandle, answer: FinalAnswer) {
        let Some(forwarded) = self.forget_forwarded(handle) else { return };
        match &forwarded.requester {
            Requester::Client(client) => client.answer(answer.for_client()),
            Requester::Gateway(remote) => self.answer_remote(&forwarded, remote, answer),
        }
    }

    /// Remembers what a remote request came to, and sends that over its link; a non-idempotent one's once its record
    /// is written.
    fn answer_remote(&mut self, forwarded: &ForwardedRequest, remote: &RemoteRequest, answer: FinalAnswer) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let effect = self.settings.router_config.classes[forwarded.class].effect;
        let RemoteOutcome { kind, outcome, value, retry_after, hint } = RemoteOutcome::new(answer);
        let frame = ResponseFrame {
            number: remote.number,
            kind: kind.into(),
            retry_after_us: retry_after.max(0) as u64,
            hint: hint.map_or(String::new(), |site| gateway_part.names[site].clone()),
            duration_us: (now - forwarded.request.received_at).max(0) as u64,
            ..ResponseFrame::default()
        };
        let timeout = Micros::from(forwarded.request.comment.timeout_ms) * 1000;
        let non_idempotent = matches!(effect, Effect::NonIdempotent);
        // Nobody asks about what may simply be sent again.
        let outcome = if non_idempotent { outcome } else { Outcome::Failed };
        let kept_until = non_idempotent.then_some(now + timeout + QUERY_GRACE);
        gateway_part.record_and_send(now, remote, outcome, kept_until, frame, value);
        let rejected = kind == ResponseKind::Rejected;
        if gateway_part.site_router.remote_request_ended(now, remote.gateway, forwarded.class, rejected) {
            gateway_part.announce_capacity_to(remote.gateway);
        }
    }
}

impl GatewayPart {
    /// `kept_until` is set where the outcome is to survive a restart.
    fn record_and_send(
        &mut self,
        now: Micros,
        remote: &RemoteRequest,
        outcome: Outcome<KeptValue>,
        kept_until: Option<Micros>,
        frame: ResponseFrame,
        value: Rc<Vec<u8>>,
    ) {
        let mut ticket = None;
        if let (Some(outcome_log), Some(until)) = (&mut self.outcome_log, kept_until) {
            let bytes = outcome.as_ref().map(|kept| &kept.bytes[..]);
            ticket = outcome_log.record_outcome(now, &remote.origin, remote.number, until, &bytes);
        }
        self.outcomes.record(&remote.origin, remote.number, outcome);
        // Over the link that it came by, or was last asked about on; where that broke, it will be asked about.
        let RemoteRequest { gateway, link, .. } = *remote;
        if !self.peer_gateways[gateway].links.contains(&link) {
            return;
        }
        let value = Rc::try_unwrap(value).unwrap_or_else(|shared| shared.to_vec());
        match ticket {
            Some(token) => {
                drop(self.departing.insert(token, DepartingOutcome { gateway, link, frame, value }))
            }
            None => drop(self.send(gateway, Some(link), Outbound::Response(frame, value))),
        }
    }
}
