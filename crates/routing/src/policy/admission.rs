//! Admission: accepts requests, and sheds those that cannot be served in time.

use super::TICK;
use super::retry_detection::ClientAttempt;
use crate::state::{PendingRequest, RequestHandle, Router};
use crate::{Action, Actions, Micros, Request, RequestClass};

/// Times that bound the handling of a request.
pub(super) struct RequestDeadlines {
    /// Time from which an attempt would most likely end too late.
    pub(super) give_up_at: Micros,
    /// Time from which an answer is worth nothing.
    pub(super) useful_until: Micros,
}

/// Returns the time at which the request is shed early: when half of the client's time has passed, less two
/// ticks, which cover one tick of delay and the way to the client.
fn shed_at(pending: &PendingRequest) -> Micros {
    let half = (pending.request.ttl - pending.request.waited) / 2;
    (pending.arrived_at + half - 2 * TICK).max(pending.arrived_at + 1)
}

impl Router {
    /// Accepts a request and decides on its first attempt.
    ///
    /// The caller carries out the returned actions in order. A request that cannot be served in time is
    /// rejected or failed among them at once.
    pub fn accept_request(&mut self, now: Micros, request: Request) -> (RequestHandle, Actions) {
        let handle = RequestHandle(self.next_handle);
        self.next_handle += 1;
        let group = self.group_index(request.group);
        self.health_check_budget.earn_for_request(self.members.len());
        let client_attempt = self.client_attempt(&request);
        let objective_at = self.objective_at(now, &request, client_attempt);
        let pending = PendingRequest {
            is_suspended: request.is_suspended,
            request,
            group,
            arrived_at: now,
            objective_at,
            is_retry: client_attempt != ClientAttempt::First,
            ..PendingRequest::default()
        };
        self.pending_requests.insert(handle, pending);
        self.route(now, handle);
        (handle, self.take_actions())
    }

    /// Classifies the request as a first attempt or a retry of its client. Where clients do not mark retries,
    /// the time that the client waits decides.
    fn client_attempt(&mut self, request: &Request) -> ClientAttempt {
        let inferred = self.retry_detectors[request.class].classify(request.ttl + request.waited);
        match request.marked_retry {
            true => ClientAttempt::Retry,
            false if self.config.client_retries_marked => ClientAttempt::First,
            false => inferred,
        }
    }

    /// Returns the time at which the answer is due. A retry brings less time than the timeout of its class;
    /// the difference has already passed and is subtracted.
    fn objective_at(&self, now: Micros, request: &Request, client_attempt: ClientAttempt) -> Micros {
        let RequestClass { timeout, objective, .. } = self.config.classes[request.class];
        let missing = (timeout - request.ttl - request.waited).max(0);
        let elapsed = if client_attempt == ClientAttempt::Retry { missing } else { 0 };
        now - request.waited + objective - elapsed
    }

    /// Returns the times from which the request is given up, and from which an answer is worth nothing.
    pub(super) fn deadlines(&self, now: Micros, pending: &PendingRequest) -> RequestDeadlines {
        let client_deadline = pending.arrived_at + pending.request.ttl;
        let late_weight = self.config.classes[pending.request.class].late_priority_weight;
        let useful_until =
            if late_weight > 0.0 { client_deadline } else { client_deadline.min(pending.objective_at) };
        // In a large fleet, a router cannot see the load that the others cause, so it makes no attempt whose
        // answer would be late and then worth little.
        let worthwhile_until = if self.in_large_fleet() && late_weight < 0.5 {
            useful_until.min(pending.objective_at)
        } else {
            useful_until
        };
        let duration = self.expected_duration(now, pending);
        let last_start = worthwhile_until - duration - TICK;
        let give_up_at =
            if self.shed_early(now, pending) { last_start.min(shed_at(pending)) } else { last_start };
        RequestDeadlines { give_up_at, useful_until }
    }

    /// Returns the expected duration of an attempt of the request, in microseconds: a typical one when it has
    /// just arrived, a cautious one once it has waited; zero if unknown.
    fn expected_duration(&self, now: Micros, pending: &PendingRequest) -> Micros {
        // A request that has only waited for a replica's report has not waited for capacity.
        let just_arrived =
            now == pending.arrived_at || pending.awaited_report && now - pending.arrived_at <= 2 * TICK;
        let quantile = if just_arrived { 0.5 } else { 0.85 };
        self.durations[pending.request.class].quantile(quantile).unwrap_or(0)
    }

    /// Returns whether the request is given up before half of its client's time has passed.
    ///
    /// This concerns requests that were never attempted and are worth little when late, also in groups
    /// without members; in a large fleet, it concerns all requests that were never attempted. It protects
    /// clients from a long wait in vain. The cost: some of these requests would have found capacity later.
    fn shed_early(&self, now: Micros, pending: &PendingRequest) -> bool {
        let late_weight = self.config.classes[pending.request.class].late_priority_weight;
        let waits_for_capacity = pending.attempts == 0 && !self.is_backing_off(now);
        waits_for_capacity && (late_weight < 0.5 || self.in_large_fleet())
    }

    /// Rejects the request if it had no effect or if a repeat has none. Fails it otherwise, and if the
    /// request itself causes the errors that answer it.
    pub(super) fn give_up(&mut self, now: Micros, handle: RequestHandle) {
        let pending = &self.pending_requests[&handle];
        // A request that is rejected for lack of capacity has missed its latency objective. A client that
        // retries sooner only adds to the load.
        let retry_after =
            self.config.classes[pending.request.class].objective.min(self.config.max_retry_after);
        let rejected = self.may_be_rejected(now, pending) && !self.request_causes_errors(pending);
        let action = if rejected { Action::Reject { retry_after } } else { Action::Fail };
        self.actions.requests.push((handle, action));
        self.close(handle);
    }

    /// Returns the number of attempts that a request of the class may use: all of them for the class with the
    /// highest priority weight, at least half of them for the others.
    pub(super) fn attempts_allowed(&self, class: &RequestClass) -> u32 {
        let highest_weight =
            self.config.classes.iter().map(|other| other.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let max_attempts = f64::from(self.config.max_attempts);
        (max_attempts * (class.priority_weight / highest_weight).max(0.5)).ceil().min(max_attempts) as u32
    }

    /// Returns whether the request itself causes the errors that answer it: two members answered it with an
    /// error, or one did three times.
    ///
    /// This protects members from being blacklisted, and attempts from being used up, for statements that
    /// every member rejects. The cost: a request that met two faulty members loses its remaining attempts.
    pub(super) fn request_causes_errors(&self, pending: &PendingRequest) -> bool {
        pending.errored_members.len() > 2
            || pending.errored_members.iter().any(|id| *id != pending.errored_members[0])
    }
}
