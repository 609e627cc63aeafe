//! Taking a request, and giving up one that cannot be served in time.

use super::BEAT;
use super::health_checks::CREDIT_PER_REQUEST;
use super::retry_detection::ClientAttempt;
use crate::state::{Handle, PendingRequest, Router};
use crate::{Action, Actions, Effect, Micros, Request, RequestClass, Scope};

impl Router {
    pub fn take(&mut self, now: Micros, request: Request) -> (Handle, Actions) {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let group = self.group(request.group);
        self.allowance = (self.allowance + CREDIT_PER_REQUEST).min(self.members.len() as f64);
        let kind = self.client_attempt(&request);
        let objective_at = self.objective_at(now, &request, kind);
        let pending = PendingRequest {
            request,
            group,
            arrived: now,
            objective_at,
            is_retry: kind != ClientAttempt::First,
            ..PendingRequest::default()
        };
        self.pending_requests.insert(handle, pending);
        self.place(now, handle);
        (handle, self.take_actions())
    }

    /// What the request is to its client; where clients do not mark retries, by how long they wait.
    fn client_attempt(&mut self, request: &Request) -> ClientAttempt {
        let guess = self.retry_detectors[request.class].classify(request.ttl + request.waited);
        match request.repeat {
            true => ClientAttempt::Retry,
            false if self.terms.repeats_marked => ClientAttempt::First,
            false => guess,
        }
    }

    /// When the answer is due: of a retry's timeout, what is missing from its wait has gone by already.
    fn objective_at(&self, now: Micros, request: &Request, kind: ClientAttempt) -> Micros {
        let RequestClass { timeout, objective, .. } = self.terms.classes[request.class];
        let missing = (timeout - request.ttl - request.waited).max(0);
        let gone_by = if kind == ClientAttempt::Retry { missing } else { 0 };
        now - request.waited + objective - gone_by
    }

    /// Until when an attempt of the request would most likely pay, and until when an answer pays at all.
    /// Protects a client from a long wait for nothing: what was never attempted and pays little when late is
    /// not held beyond half of its time, and a driver among many, who cannot see the crowd, attempts nothing
    /// that would pay only that little. Should also cover groups without members. Harms what finds room
    /// later.
    pub(super) fn useful_until(&self, now: Micros, pending: &PendingRequest) -> (Micros, Micros) {
        let end = pending.arrived + pending.request.ttl;
        let late_priority_weight = self.terms.classes[pending.request.class].late_priority_weight;
        let useful = if late_priority_weight > 0.0 { end } else { end.min(pending.objective_at) };
        // What waited for a replica's word alone has not waited for room.
        let arrives = now == pending.arrived || pending.asked && now - pending.arrived <= 2 * BEAT;
        let share = if arrives { 0.5 } else { 0.85 };
        let pays = if self.sparse() && late_priority_weight < 0.5 {
            useful.min(pending.objective_at)
        } else {
            useful
        };
        let hopeless = pays - self.took[pending.request.class].quantile(share).unwrap_or(0) - BEAT;
        let waits_for_room = pending.attempts == 0 && !self.backs_off(now);
        let held = waits_for_room && (late_priority_weight < 0.5 || self.sparse());
        // Told before half of the client's time is over, with what a beat and the way take.
        let half = pending.arrived + (pending.request.ttl - pending.request.waited) / 2 - 2 * BEAT;
        (if held { hopeless.min(half.max(pending.arrived + 1)) } else { hopeless }, useful)
    }

    /// Rejected where that is true to say, else failed.
    pub(super) fn give_up(&mut self, handle: Handle) {
        let pending = &self.pending_requests[&handle];
        let rejectable = match self.terms.classes[pending.request.class].effect {
            Effect::Pure | Effect::Receipted { scope: Scope::All, .. } => true,
            _ => pending.may_have_run.is_none() && pending.out.is_none(),
        };
        // What is rejected for want of room has missed its latency objective: sooner again only adds to the
        // crowd.
        let cool_down = self.terms.classes[pending.request.class].objective.min(self.terms.max_cool_down);
        self.actions.requests.push((
            handle,
            if rejectable && !self.at_fault(pending) { Action::Reject { cool_down } } else { Action::Fail },
        ));
        self.close(handle);
    }

    /// Further attempts go by priority weight: the best paid request class may use them all.
    pub(super) fn attempts_allowed(&self, class: &RequestClass) -> u32 {
        let best = self.terms.classes.iter().map(|o| o.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let most = f64::from(self.terms.max_attempts);
        (most * (class.priority_weight / best).max(0.5)).ceil().min(most) as u32
    }

    /// Protects members from blacklists, and the attempts of others from being used up, by requests that
    /// bring their errors with them: two members that fail it alike, or one three times, prove it. Should
    /// also cover statements that every member turns down. Harms a request that met two bad members.
    pub(super) fn at_fault(&self, pending: &PendingRequest) -> bool {
        pending.erred.len() > 2 || pending.erred.iter().any(|id| *id != pending.erred[0])
    }
}
