//! Dispatch of requests: to a member, to the queue, or to their end.

use super::queue_scan::{QueuedRequest, TargetOptions, TargetlessRequests};
use crate::state::{InFlight, PendingRequest, RequestHandle, Router};
use crate::{Action, MemberId, Micros, Need};

impl Router {
    /// Sends an attempt of the request, queues the request, or gives it up.
    pub(super) fn route(&mut self, now: Micros, handle: RequestHandle) {
        self.route_to(now, handle, |router| router.target(now, handle));
    }

    /// Returns the member that an attempt of the request may be sent to now; `None` if it has to wait.
    fn target(&mut self, now: Micros, handle: RequestHandle) -> Option<MemberId> {
        let pending = &self.pending_requests[&handle];
        let need = self.config.classes[pending.request.class].need;
        match need {
            _ if pending.is_suspended || self.stall_pacing.blocks_attempts(now) => None,
            Need::Write => self.write_target(now, pending),
            _ => self.read_target(now, handle, need),
        }
    }

    /// Sends an attempt of the request to the member that `find_target` returns, queues the request if there
    /// is none, or gives the request up without looking for one.
    fn route_to(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        find_target: impl FnOnce(&mut Router) -> Option<MemberId>,
    ) {
        let pending = &self.pending_requests[&handle];
        let class = &self.config.classes[pending.request.class];
        let deadlines = self.deadlines(now, pending);
        if !self.can_be_attempted(now, pending)
            || self.request_causes_errors(pending)
            || now >= deadlines.give_up_at
            || pending.attempts - pending.local_failures >= self.attempts_allowed(class)
        {
            return self.give_up(now, handle);
        }
        let is_write = class.need == Need::Write;
        match find_target(self) {
            Some(id) => {
                self.charge_attempt(now, id, is_write);
                self.send_attempt(now, handle, id, deadlines.useful_until);
            }
            None => self.groups[self.pending_requests[&handle].group].queued.push(handle),
        }
    }

    /// Sends an attempt to the member. The attempt ends at `useful_until` at the latest.
    fn send_attempt(&mut self, now: Micros, handle: RequestHandle, id: MemberId, useful_until: Micros) {
        let idle_class = self.idle_class_of(now, id);
        let validity = self.validity(&self.pending_requests[&handle], id);
        let tries_connection = self.claim_connection(now, id);
        let idle_connections_known = self.members[id].known_idle_connections.is_some();
        let on_new_connection = !idle_connections_known
            && idle_class.is_some_and(|class| self.idle_drop_detector.likely_dropped(class));
        let member = &mut self.members[id];
        member.in_flight.push(handle);
        member.sent_recently.push_back(now);
        let pending =
            self.pending_requests.get_mut(&handle).expect("a request is pending while it is routed");
        pending.attempts += 1;
        pending.idle_class = idle_class.filter(|_| !on_new_connection);
        pending.tries_connection = tries_connection;
        pending.in_flight = Some(InFlight { member: id, sent_at: now });
        pending.waiting_since = now;
        self.stall_pacing.record_attempt();
        if let Some(session) = self.tracked_session(handle) {
            session.write_started();
        }
        let timeout = useful_until - now;
        let action = Action::Attempt { member: id, timeout, on_new_connection, validity };
        self.actions.requests.push((handle, action));
    }

    /// Ends the request, and forgets it once no attempt of it is in flight.
    pub(super) fn close(&mut self, handle: RequestHandle) {
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        pending.is_closed = true;
        self.groups[pending.group].queued.retain(|&queued| queued != handle);
        if pending.in_flight.is_none() {
            self.pending_requests.remove(&handle);
        }
    }

    /// Routes the queued requests of all groups again.
    pub(super) fn route_all_queued(&mut self, now: Micros) {
        (0..self.groups.len()).for_each(|group| self.route_queued(now, group));
    }

    /// Routes the queued requests of a group again, in the order of [`QueuedRequest::routing_order`].
    pub(super) fn route_queued(&mut self, now: Micros, group: usize) {
        if self.groups[group].queued.is_empty() {
            return;
        }
        let queued = std::mem::take(&mut self.groups[group].queued);
        let mut in_order: Vec<QueuedRequest> =
            queued.into_iter().map(|handle| self.queued_request(now, handle)).collect();
        in_order.sort_by(QueuedRequest::routing_order);
        let mut without_target = TargetlessRequests::default();
        for queued in in_order {
            self.route_in_queue(now, queued.handle, &mut without_target);
        }
    }

    /// Returns a queued request with what its place in the order depends on.
    fn queued_request(&self, now: Micros, handle: RequestHandle) -> QueuedRequest {
        let pending = &self.pending_requests[&handle];
        QueuedRequest {
            handle,
            weight: self.queue_weight(now, pending),
            client_backlog: pending.request.client_backlog,
        }
    }

    /// Returns the weight by which a queued request is routed before others.
    fn queue_weight(&self, now: Micros, pending: &PendingRequest) -> f64 {
        let class = &self.config.classes[pending.request.class];
        let is_late = now > pending.objective_at || pending.is_retry;
        class.priority_weight * if is_late { class.late_priority_weight } else { 1.0 }
    }

    /// Routes a queued request like [`Router::route`], but looks for no target if a request with the same
    /// options found none since the last attempt was sent: there is none for this one either.
    fn route_in_queue(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        without_target: &mut TargetlessRequests,
    ) {
        let options = self.target_options(now, handle);
        if options.is_some_and(|options| without_target.contains(options)) {
            return self.route_to(now, handle, |_| None);
        }
        let group = self.pending_requests[&handle].group;
        self.route(now, handle);
        let is_sent =
            matches!(self.actions.requests.last(), Some((sent, Action::Attempt { .. })) if *sent == handle);
        if is_sent {
            without_target.clear();
        } else if let Some(options) = options.filter(|_| self.groups[group].queued.last() == Some(&handle)) {
            without_target.add(options);
        }
    }

    /// Returns what the target of a request depends on beside the state of the members, or `None` if the
    /// search for one may have effects: it may check the freshness of replicas.
    fn target_options(&self, now: Micros, handle: RequestHandle) -> Option<TargetOptions> {
        let pending = &self.pending_requests[&handle];
        let PendingRequest { last_member, awaited_report, is_suspended, .. } = *pending;
        let class = pending.request.class;
        let need = self.config.classes[class].need;
        let has_no_effects = need == Need::Write || self.position_floor(now, pending, need) == Micros::MIN;
        let options = TargetOptions {
            class,
            last_member,
            first_run_zone: pending.may_have_run.map(|first_run| first_run.zone),
            awaited_report,
            is_suspended,
            was_refused: pending.not_primary_answers > 0,
        };
        has_no_effects.then_some(options)
    }
}
