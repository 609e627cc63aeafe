//! A request from its arrival to its end: admitted, handed to the router, finished or abandoned.

use std::rc::Rc;

use aldermill_routing::{Micros, Need, Outcome, Request, RequestHandle, Role, Verdict};
use aldermill_site_routing::{Actions as SiteActions, RequestHandle as SiteRequestHandle};
use aldermill_wire::statement::first_quoted_text;

use super::Dispatcher;
use super::gateway::GatewayPart;
use super::open_request::{OpenRequest, RequestLocation, WaitingClient};
use crate::messages::{
    Answer, AttemptFinished, AttemptResponse, Cancellation, ClientId, ClientRequest, HealthCheckFinished,
};

/// A request for the router, and until when it must be answered.
pub(super) struct Handover {
    /// The client's request.
    pub(super) request: Rc<ClientRequest>,
    /// Its request class, by its place in the settings.
    pub(super) class: usize,
    /// On the router's clock: an instant, which a process that is held up on the way does not put off.
    pub(super) deadline: Micros,
    /// Present where the gateway part hands it over.
    pub(super) via: Option<SiteRequestHandle>,
}

/// What the gateway part makes of an answer that its member is not primary.
#[derive(Default)]
pub(super) struct SiteMiss {
    /// To be carried out once the router has heard the answer, too.
    pub(super) actions: Option<SiteActions>,
    /// Whether the gateway part takes the request back from the router.
    pub(super) taken_back: bool,
}

impl Dispatcher {
    /// A client's request: rejected at once, or on its way.
    pub(super) fn client_request(&mut self, request: ClientRequest) {
        match self.check(&request) {
            Err(answer) => WaitingClient::of(&request).answer(answer),
            Ok(class) if self.gateway_part.is_some() => self.route_between_sites(request, class),
            Ok(class) => self.admit(request, class),
        }
    }

    /// The request's class, or why it is not taken.
    fn check(&self, request: &ClientRequest) -> Result<usize, Answer> {
        let comment = &request.comment;
        let Ok(class) = self.decoded.class_index(&comment.class) else {
            return Err(Answer::InvalidStatement("unknown offering"));
        };
        // The list may be older than its group: the request was not sent on, and may be sent again.
        if !self.knows_group(comment.group) {
            return Err(Answer::Rejected { retry_after: 0 });
        }
        if self.open_ids.contains(&comment.id) {
            return Err(Answer::InvalidStatement("a task with this id is under way"));
        }
        if self.is_full() {
            return Err(Answer::Rejected { retry_after: 0 });
        }
        Ok(class)
    }

    /// Whether the group was ever listed, here or at another site.
    fn knows_group(&self, group: u64) -> bool {
        let elsewhere = |gateway_part: &GatewayPart| gateway_part.knows_group(group);
        self.groups.contains(&group) || self.gateway_part.as_ref().is_some_and(elsewhere)
    }

    /// Whether as many requests are under way as the operator allows.
    fn is_full(&self) -> bool {
        let crossing = self.gateway_part.as_ref().map_or(0, GatewayPart::open_requests);
        self.open_requests.len().max(crossing) >= self.context.limits.open_requests
    }

    /// Hands a checked request to the router and carries out its first decision.
    fn admit(&mut self, request: ClientRequest, class: usize) {
        // The timeout has run since the statement arrived.
        let deadline = request.received_at + Micros::from(request.comment.timeout_ms) * 1000;
        let (client, id) = (request.client, request.comment.id.clone());
        let handover = Handover { request: Rc::new(request), class, deadline, via: None };
        let (handle, actions) = self.hand_over(handover);
        self.locations.insert(client, RequestLocation::Router(handle));
        self.open_ids.insert(id);
        self.carry_out(actions);
    }

    /// Hands a request to the router. What the router returns is not carried out yet.
    pub(super) fn hand_over(&mut self, handover: Handover) -> (RequestHandle, aldermill_routing::Actions) {
        let Handover { request, class, deadline, via } = handover;
        let now = self.context.clock.now();
        let routed = self.routed_request(&request, class, deadline, now);
        let (handle, actions) = self.decide(|router| router.accept_request(now, routed.clone()));
        let open = OpenRequest {
            via,
            priority: self.context.priority(&request.comment.class),
            deadline,
            client: Some(WaitingClient::of(&request)),
            cancellation: Cancellation::default(),
            request,
        };
        self.open_requests.insert(handle, open);
        (handle, actions)
    }

    /// The request as the router sees it.
    fn routed_request(
        &self,
        request: &ClientRequest,
        class: usize,
        deadline: Micros,
        now: Micros,
    ) -> Request {
        let comment = &request.comment;
        let keyed = matches!(self.decoded.router_config.classes[class].need, Need::Write | Need::OwnWrites);
        let session = if keyed { first_quoted_text(&request.statement[comment.end..]) } else { None };
        Request {
            class,
            group: comment.group,
            ttl: deadline - now,
            waited: now - request.received_at,
            session,
            last_write_age: request.last_write(now),
            marked_retry: comment.client_retry,
        }
    }

    /// An attempt ended: observed, answered where there is an answer, and the router decides what follows.
    pub(super) fn attempt_finished(&mut self, finished: AttemptFinished) {
        let AttemptFinished { request: handle, verdict, elapsed, mut report, .. } = finished;
        if let Some(replica_reports) = finished.replica_reports {
            let written = self.is_non_idempotent_write(handle) && verdict == Verdict::Served;
            let written_at = written.then_some(finished.decided_at);
            self.observe_clock(replica_reports.member, &mut report, written_at);
            self.note_replica_reports(replica_reports);
        }
        self.observe_end(handle, verdict, elapsed);
        match finished.response {
            AttemptResponse::Rows(rows) => self.answer(handle, Answer::Served(rows)),
            AttemptResponse::TooLarge => self.answer_without_buffer_space(handle),
            AttemptResponse::None => {}
        }
        let open = self.open_requests.get(&handle);
        let (via, group) = open.map_or((None, 0), |open| (open.via, open.request.comment.group));
        // The gateway part hears of a miss first: it may take the request back before the router tries again.
        let miss = self.gateway_part_hears(via, verdict, elapsed);
        let no_longer_awaited = self.open_requests.get(&handle).is_none_or(|open| open.client.is_none());
        let closed = miss.taken_back || no_longer_awaited;
        let outcome = Outcome { verdict, duration: elapsed, report, request_closed: closed };
        let now = self.context.clock.now();
        let ((), actions) = self.decide(|router| ((), handle.attempt_ended(router, now, outcome)));
        self.carry_out(actions);
        self.release(handle);
        if let Some(actions) = miss.actions {
            self.carry_out_site_actions(actions, None);
        }
        if via.is_some() && report.role == Some(Role::Primary) {
            self.local_primary_found(group);
        }
    }

    /// A health check ended: observed, and the router decides what follows.
    pub(super) fn health_check_finished(&mut self, finished: HealthCheckFinished) {
        let HealthCheckFinished { verdict, elapsed, mut report, replica_reports } = finished;
        let member = replica_reports.member;
        self.observe_clock(member, &mut report, None);
        self.note_replica_reports(replica_reports);
        let now = self.context.clock.now();
        let ((), actions) =
            self.decide(|router| ((), router.health_checked(now, member, verdict, elapsed, report)));
        self.carry_out(actions);
        let entry = self.members.get(member).and_then(Option::as_ref);
        if report.role == Some(Role::Primary)
            && let Some(group) = entry.map(|entry| entry.group)
        {
            self.local_primary_found(group);
        }
    }

    /// Tells the gateway part, where the request came through it, that an attempt missed or may have run.
    fn gateway_part_hears(
        &mut self,
        via: Option<SiteRequestHandle>,
        verdict: Verdict,
        elapsed: Micros,
    ) -> SiteMiss {
        match via {
            Some(via) if verdict == Verdict::NotPrimary => return self.local_not_primary(via),
            Some(via) if verdict != Verdict::Served && !verdict.never_ran() => {
                self.may_have_run(via, elapsed)
            }
            _ => {}
        }
        SiteMiss::default()
    }

    /// A client no longer waits for its request, whoever decides on it.
    pub(super) fn client_left(&mut self, client: ClientId) {
        match self.locations.remove(&client) {
            Some(RequestLocation::Router(handle)) => self.abandon(handle),
            Some(RequestLocation::Gateway(handle)) => self.abandon_pending_request(handle),
            None => {}
        }
    }

    /// The router forgets a request that nobody waits for here any more; attempts that were sent go on.
    pub(super) fn abandon(&mut self, handle: RequestHandle) {
        if let Some(open) = self.open_requests.get_mut(&handle) {
            open.withdraw();
        }
        let now = self.context.clock.now();
        let ((), actions) = self.decide(|router| ((), handle.client_left(router, now)));
        self.carry_out(actions);
        self.release(handle);
    }

    /// Drops what is kept for a request that the router has finished with.
    pub(super) fn release(&mut self, handle: RequestHandle) {
        if self.router.is_pending(handle) {
            return;
        }
        let Some(open) = self.open_requests.remove(&handle) else { return };
        // The gateway part keeps these of its own requests.
        if open.via.is_none() {
            self.open_ids.remove(&open.request.comment.id);
            if let Some(client) = open.client {
                self.locations.remove(&client.id);
            }
        }
    }
}
