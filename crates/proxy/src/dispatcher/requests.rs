//! Requests from their arrival to their end: admission, submission to the router, completion and abandonment.

use std::rc::Rc;

use aldermill_routing::{Micros, Need, Outcome, Request, RequestHandle, Role, Verdict};
use aldermill_site_routing::{Actions as SiteActions, RequestHandle as SiteRequestHandle};
use aldermill_wire::statement::first_quoted_key;

use super::Dispatcher;
use super::gateway::GatewayPart;
use super::open_request::{OpenRequest, RequestOwner, WaitingClient};
use crate::messages::{
    Answer, AttemptFinished, AttemptResponse, Cancellation, ClientRequest, ClientRequestId,
    HealthCheckFinished,
};

/// A request to submit to the router, and its deadline.
pub(super) struct RouterSubmission {
    /// The client's request.
    pub(super) request: Rc<ClientRequest>,
    /// The index of the request class in the settings.
    pub(super) class: usize,
    /// The request's deadline on the router's clock, in microseconds. It is a point in time rather than a
    /// duration, so that a delay in this process does not extend it.
    pub(super) deadline: Micros,
    /// The site router's handle if the gateway part submits the request; `None` otherwise.
    pub(super) site_handle: Option<SiteRequestHandle>,
    /// How long ago the first attempt began that another router made and that may have run, in microseconds;
    /// `None` if there is none.
    pub(super) earlier_attempt_age: Option<Micros>,
    /// Whether the request is suspended, as the link to its sender is lost.
    pub(super) is_suspended: bool,
}

/// The gateway part's reaction to a member's answer that it is not the primary.
#[derive(Default)]
pub(super) struct NotPrimaryFollowUp {
    /// The site router's actions, to be carried out once the router has handled the answer as well.
    pub(super) actions: Option<SiteActions>,
    /// Whether the gateway part withdraws the request from the router.
    pub(super) withdrawn: bool,
}

impl Dispatcher {
    /// Handles a client's request: answers it immediately if it is invalid or rejected, and otherwise routes
    /// it. Drops it if its client has left while it waited here.
    pub(super) fn handle_client_request(&mut self, request: ClientRequest) {
        if request.client_gone.is_cancelled() {
            return;
        }
        match self.validate(&request) {
            Err(answer) => WaitingClient::from_request(&request).answer(answer),
            Ok(class) if self.gateway_part.is_some() => self.route_between_sites(request, class),
            Ok(class) => self.admit(request, class),
        }
    }

    /// Returns the index of the request's class, or the answer with which the request is turned down.
    fn validate(&self, request: &ClientRequest) -> Result<usize, Answer> {
        let comment = &request.comment;
        let Ok(class) = self.settings.class_index(&comment.class) else {
            return Err(Answer::InvalidStatement("unknown offering"));
        };
        // The group may be newer than the endpoint list. The request was not sent to any member, so a retry
        // is safe.
        if !self.knows_group(comment.group) {
            return Err(Answer::Rejected { retry_after: 0 });
        }
        if self.is_id_in_use(request) {
            return Err(Answer::InvalidStatement("a task with this id is under way"));
        }
        if self.has_max_open_requests() {
            return Err(Answer::Rejected { retry_after: 0 });
        }
        Ok(class)
    }

    /// Returns whether a request with the same id is open, or came on another connection and may have had an
    /// effect a short time ago.
    fn is_id_in_use(&self, request: &ClientRequest) -> bool {
        let id = &request.comment.id;
        let now = self.context.clock.now();
        self.open_comment_ids.contains(id) || self.ended_ids.contains(now, id, request.peer)
    }

    /// Returns whether the group was ever listed, here or at another site.
    fn knows_group(&self, group: u64) -> bool {
        let elsewhere = |gateway_part: &GatewayPart| gateway_part.knows_group(group);
        self.groups.contains(&group) || self.gateway_part.as_ref().is_some_and(elsewhere)
    }

    /// Returns whether the operator's limit on open requests has been reached.
    fn has_max_open_requests(&self) -> bool {
        let forwarded = self.gateway_part.as_ref().map_or(0, GatewayPart::open_requests);
        self.open_requests.len().max(forwarded) >= self.context.limits.open_requests
    }

    /// Submits a validated request to the router and carries out the router's first decision.
    fn admit(&mut self, request: ClientRequest, class: usize) {
        // The timeout counts from the arrival of the statement.
        let deadline = request.received_at + Micros::from(request.comment.timeout_ms) * 1000;
        let (request_id, comment_id) = (request.request_id, request.comment.id.clone());
        let submission = RouterSubmission {
            request: Rc::new(request),
            class,
            deadline,
            site_handle: None,
            earlier_attempt_age: None,
            is_suspended: false,
        };
        let (handle, actions) = self.submit_to_router(submission);
        self.request_owners.insert(request_id, RequestOwner::Router(handle));
        self.open_comment_ids.insert(comment_id);
        self.carry_out(actions);
    }

    /// Submits a request to the router. The caller must carry out the returned actions.
    pub(super) fn submit_to_router(
        &mut self,
        submission: RouterSubmission,
    ) -> (RequestHandle, aldermill_routing::Actions) {
        let now = self.context.clock.now();
        let routed = self.routed_request(&submission, now);
        let RouterSubmission { request, deadline, site_handle, .. } = submission;
        let (handle, actions) = self.decide(|router| router.accept_request(now, routed.clone()));
        let open = OpenRequest {
            site_handle,
            priority: self.context.priority(&request.comment.class),
            deadline,
            client: Some(WaitingClient::from_request(&request)),
            cancellation: Cancellation::default(),
            was_attempted: false,
            was_rejected: false,
            request,
        };
        self.open_requests.insert(handle, open);
        (handle, actions)
    }

    /// Converts the request to the router's form.
    fn routed_request(&self, submission: &RouterSubmission, now: Micros) -> Request {
        let &RouterSubmission { ref request, class, deadline, earlier_attempt_age, is_suspended, .. } =
            submission;
        let comment = &request.comment;
        Request {
            class,
            group: comment.group,
            ttl: deadline - now,
            waited: now - request.received_at,
            session: self.session(request, class),
            min_position: request.min_position(),
            last_write_age: request.last_write_age_at(now),
            earlier_attempt_age,
            is_suspended,
            marked_retry: comment.client_retry,
            client_backlog: request.client_backlog,
        }
    }

    /// Returns the session of a write, or of a read that must see its session's writes; `None` for other
    /// requests, and if the statement names no session.
    pub(super) fn session(&self, request: &ClientRequest, class: usize) -> Option<String> {
        let need = self.settings.router_config.classes[class].need;
        let uses_session = matches!(need, Need::Write | Need::OwnWrites);
        if uses_session { first_quoted_key(&request.statement[request.comment.end..]) } else { None }
    }

    /// Handles the end of an attempt: records it in the observations, answers the request if there is a
    /// response, and lets the router decide what follows.
    pub(super) fn handle_attempt_finished(&mut self, finished: AttemptFinished) {
        let AttemptFinished { request: handle, verdict, elapsed, mut report, .. } = finished;
        if let Some(replica_reports) = finished.replica_reports {
            let written = self.is_non_idempotent_write(handle) && verdict == Verdict::Served;
            let written_at = written.then_some(finished.decided_at);
            self.observe_clock(replica_reports.member, &mut report, written_at);
            self.record_replica_reports(replica_reports);
        }
        self.observe_attempt_end(handle, verdict, elapsed);
        match finished.response {
            AttemptResponse::Rows(rows) => self.answer(handle, Answer::Served(rows)),
            AttemptResponse::NoBufferSpace => self.answer_without_buffer_space(handle),
            AttemptResponse::None => {}
        }
        let open = self.open_requests.get(&handle);
        let (site_handle, group) =
            open.map_or((None, 0), |open| (open.site_handle, open.request.comment.group));
        // The gateway part is told first if the member is not the primary, since it may withdraw the request
        // before the router retries it.
        let follow_up = self.notify_gateway_part(site_handle, verdict, elapsed);
        let no_longer_awaited = self.open_requests.get(&handle).is_none_or(OpenRequest::is_no_longer_awaited);
        let closed = follow_up.withdrawn || no_longer_awaited;
        let outcome = Outcome { verdict, duration: elapsed, report, request_closed: closed };
        let now = self.context.clock.now();
        let ((), actions) = self.decide(|router| ((), handle.attempt_ended(router, now, outcome)));
        self.carry_out(actions);
        self.release_if_finished(handle);
        if let Some(actions) = follow_up.actions {
            self.carry_out_site_actions(actions, None);
        }
        if site_handle.is_some() && report.role == Some(Role::Primary) {
            self.local_primary_found(group);
        }
    }

    /// Handles the end of a health check: uses its report and lets the router decide what follows.
    pub(super) fn handle_health_check_finished(&mut self, finished: HealthCheckFinished) {
        let HealthCheckFinished { verdict, elapsed, mut report, replica_reports } = finished;
        let member = replica_reports.member;
        self.observe_clock(member, &mut report, None);
        self.record_replica_reports(replica_reports);
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

    /// Tells the gateway part, if the request came through it, that an attempt reached a member that is not
    /// the primary, or that it was not served and may have run.
    fn notify_gateway_part(
        &mut self,
        site_handle: Option<SiteRequestHandle>,
        verdict: Verdict,
        elapsed: Micros,
    ) -> NotPrimaryFollowUp {
        match site_handle {
            Some(site_handle) if verdict == Verdict::NotPrimary => {
                return self.local_not_primary(site_handle);
            }
            Some(site_handle) if verdict != Verdict::Served && !verdict.never_ran() => {
                self.may_have_run(site_handle, elapsed)
            }
            _ => {}
        }
        NotPrimaryFollowUp::default()
    }

    /// Handles a client that no longer waits for its requests, whether the router alone or the gateway part
    /// decides on them.
    pub(super) fn handle_client_left(&mut self, request_ids: &[ClientRequestId]) {
        let mut at_router = Vec::new();
        for request_id in request_ids {
            match self.request_owners.remove(request_id) {
                Some(RequestOwner::Router(handle)) => at_router.push(handle),
                Some(RequestOwner::Gateway(handle)) => self.abandon_pending_request(handle),
                None => {}
            }
        }
        if !at_router.is_empty() {
            self.abandon(&at_router);
        }
    }

    /// Abandons requests at the router because nobody waits for their answers here any more. Attempts that
    /// were already sent continue.
    pub(super) fn abandon(&mut self, handles: &[RequestHandle]) {
        for handle in handles {
            if let Some(open) = self.open_requests.get_mut(handle) {
                open.cancel();
            }
        }
        let now = self.context.clock.now();
        let ((), actions) = self.decide(|router| ((), router.clients_left(now, handles)));
        self.carry_out(actions);
        for &handle in handles {
            self.release_if_finished(handle);
        }
    }

    /// Drops the record of a request if the router has finished with it.
    pub(super) fn release_if_finished(&mut self, handle: RequestHandle) {
        if self.router.is_pending(handle) {
            return;
        }
        let Some(open) = self.open_requests.remove(&handle) else { return };
        // For requests that came through it, the gateway part removes these entries itself.
        if open.site_handle.is_none() {
            if open.may_have_had_effect(&self.settings) {
                self.ended_ids.remember(
                    self.context.clock.now(),
                    &open.request.comment.id,
                    open.request.peer,
                );
            }
            self.open_comment_ids.remove(&open.request.comment.id);
            if let Some(client) = open.client {
                self.request_owners.remove(&client.request_id);
            }
        }
    }
}
