//! Taking a request, and giving up one that cannot be served in time.

use super::BEAT;
use super::health_checks::CREDIT_PER_REQUEST;
use crate::state::{Handle, PendingRequest, Router};
use crate::{Action, Actions, Effect, Micros, Request, RequestClass, Scope};

impl Router {
    pub fn take(&mut self, now: Micros, request: Request) -> (Handle, Actions) {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let group = self.group(request.group);
        self.allowance = (self.allowance + CREDIT_PER_REQUEST).min(self.members.len() as f64);
        // Where repeats are not marked, first tries are told by the wait that most requests bring.
        let RequestClass { timeout, objective, .. } = self.terms.classes[request.class];
        let (usual, votes) = &mut self.usual_wait[request.class];
        let wait = request.ttl + request.waited;
        let common = (wait - *usual).abs() <= *usual / 64;
        *votes = if common { (*votes + 1).min(64) } else { *votes - 1 };
        (*usual, *votes) = if *votes < 0 { (wait, 1) } else { (*usual, *votes) };
        let repeat = request.repeat || !self.terms.repeats_marked && !common;
        // What is missing to the deadline of a repeat has gone by already. Where repeats are not
        // marked, a wait cut short tells them once the usual one is sure. Harms clients in a hurry: they
        // are taken for late.
        let cut = request.repeat || !self.terms.repeats_marked && !common && *votes >= 2 && wait < *usual;
        let objective_at = now - request.waited + objective - if cut { (timeout - wait).max(0) } else { 0 };
        let pending = PendingRequest {
            request,
            group,
            arrived: now,
            objective_at,
            repeat,
            ..PendingRequest::default()
        };
        self.pending_requests.insert(handle, pending);
        self.place(now, handle);
        (handle, self.take_actions())
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
