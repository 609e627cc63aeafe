//! Execution of the router's decisions: answers, attempts, health checks and connections to close.

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::{
    Action, Actions, Effect, MemberId, MemberReport, Micros, RequestHandle, Validity, Verdict,
};
use slog::warn;
use tokio::time::Instant;

use super::Dispatcher;
use super::member_entry::MemberEntry;
use super::open_request::OpenRequest;
use crate::lifecycle::clock::duration;
use crate::messages::{
    Answer, Attempt, AttemptFinished, AttemptResponse, DispatcherMessage, HealthCheckFinished, MemberCommand,
    PoolUse, ReplicaReports,
};

/// Number of idle connections that are closed when one file descriptor is needed. More than one is closed
/// because a connection may be taken into use before its member's actor closes it.
const CONNECTIONS_CLOSED_PER_DESCRIPTOR: usize = 3;

/// An attempt that the router has decided on.
struct DecidedAttempt {
    handle: RequestHandle,
    member: MemberId,
    /// The time that the attempt may take, in microseconds.
    timeout: Micros,
    /// Whether the attempt must use a new connection.
    on_new_connection: bool,
    /// The conditions that must still hold when the attempt is sent.
    validity: Validity,
}

impl Dispatcher {
    /// Carries out the router's actions in order.
    pub(super) fn carry_out(&mut self, actions: Actions) {
        for (handle, action) in actions.requests {
            self.carry_out_for_request(handle, action);
            self.release_if_finished(handle);
        }
        for member in actions.health_checks {
            self.send_health_check(member);
        }
        for member in actions.close_idle {
            self.close_idle_connections(member);
        }
        if actions.subscribe {
            self.request_endpoint_list();
        }
        if let Some(at) = actions.wake_at {
            self.wake_at = at;
        }
    }

    fn carry_out_for_request(&mut self, handle: RequestHandle, action: Action) {
        match action {
            Action::Attempt { member, timeout, on_new_connection, validity } => {
                self.send_attempt(DecidedAttempt { handle, member, timeout, on_new_connection, validity })
            }
            Action::Reject { retry_after } => self.answer(handle, Answer::Rejected { retry_after }),
            Action::Fail => self.answer(handle, Answer::Failed),
        }
    }

    /// Gives a request its only answer. A request that came through the gateway part is answered there. Does
    /// nothing if the request was answered before or nobody waits for it.
    pub(super) fn answer(&mut self, handle: RequestHandle, answer: Answer) {
        let Some(open) = self.open_requests.get_mut(&handle) else { return };
        let Some(client) = open.client.take() else { return };
        open.was_rejected = matches!(answer, Answer::Rejected { .. });
        if let Some(site_handle) = open.site_handle {
            return self.local_request_answered(site_handle, answer);
        }
        self.request_owners.remove(&client.request_id);
        client.answer(answer);
    }

    /// Answers a request whose member responded when no buffer space was available for the response.
    pub(super) fn answer_without_buffer_space(&mut self, handle: RequestHandle) {
        let Some(open) = self.open_requests.get(&handle) else { return };
        let Ok(class) = self.settings.class_index(&open.request.comment.class) else { return };
        let answer = self.no_buffer_space_answer(class);
        self.answer(handle, answer);
    }

    /// Returns the answer for a response that no buffer space was available for. An idempotent request is
    /// rejected, since the client may repeat it; any other request has run and counts as failed for its
    /// client.
    pub(super) fn no_buffer_space_answer(&self, class: usize) -> Answer {
        let config = &self.settings.router_config;
        match config.classes[class].effect {
            Effect::Idempotent => Answer::Rejected {
                retry_after: self.context.flow_control.retry_after().min(config.max_retry_after),
            },
            _ => Answer::Failed,
        }
    }

    fn send_attempt(&mut self, decided: DecidedAttempt) {
        let Some(open) = self.open_requests.get_mut(&decided.handle) else { return };
        open.was_attempted = true;
        let Some(open) = self.open_requests.get(&decided.handle) else { return };
        let handle = decided.handle;
        let member = decided.member;
        let entry = self.members[member].as_ref();
        if let Some(observations) = &mut self.observations {
            observations.record_attempt(handle, entry, &self.settings, &open.request);
        }
        let attempt = self.build_attempt(decided, open, entry);
        let decided_at = attempt.decided_at;
        if entry.is_none_or(|entry| entry.commands.try_send(MemberCommand::Send(attempt)).is_err()) {
            warn!(self.context.log, "member's mailbox full, attempt not sent"; "member" => member);
            self.deferred.push_back(DispatcherMessage::AttemptFinished(attempt_not_sent(handle, decided_at)));
        }
    }

    /// Builds the attempt for the member's actor. Its deadline is never later than that of the request.
    fn build_attempt(
        &self,
        decided: DecidedAttempt,
        open: &OpenRequest,
        entry: Option<&MemberEntry>,
    ) -> Attempt {
        let decided_at = Instant::now();
        let deadline = self.context.clock.instant(open.deadline);
        Attempt {
            handle: decided.handle,
            request: open.request.clone(),
            cancellation: open.cancellation.clone(),
            reservation_owner: ReservationOwner { peer: open.request.peer, priority: open.priority },
            decided_at,
            deadline: (decided_at + duration(decided.timeout)).min(deadline),
            pool_use: if decided.on_new_connection { PoolUse::NewConnection } else { PoolUse::Reuse },
            validity: decided.validity,
            replica_reports: entry.map_or(0, |entry| entry.replica_reports),
        }
    }

    fn send_health_check(&mut self, member: MemberId) {
        let decided_at = Instant::now();
        let deadline = decided_at + self.context.limits.member.health_check_timeout;
        let command = MemberCommand::HealthCheck { decided_at, deadline };
        let entry = self.members[member].as_ref();
        if entry.is_none_or(|entry| entry.commands.try_send(command).is_err()) {
            let count = entry.map_or(0, |entry| entry.replica_reports);
            self.deferred.push_back(DispatcherMessage::HealthCheckFinished(HealthCheckFinished {
                verdict: Verdict::NotSent,
                elapsed: 0,
                report: MemberReport::default(),
                replica_reports: ReplicaReports { member, count },
            }));
        }
    }

    fn close_idle_connections(&self, member: MemberId) {
        if let Some(entry) = &self.members[member] {
            // A full mailbox means that the member is busy and needs its connections.
            let _ = entry.commands.try_send(MemberCommand::CloseIdle);
        }
    }

    /// Asks the discovery watcher for the endpoint list, if the watcher fetches it only on request.
    fn request_endpoint_list(&self) {
        if let Some(list_requests) = &self.list_requests {
            let _ = list_requests.try_send(());
        }
    }

    /// Frees file descriptors for a member that needs one for a connection when none is free. Closes the
    /// connections of other members that have been idle longest, since they are the least likely to be used
    /// again.
    pub(super) fn free_descriptors(&mut self, member: MemberId) {
        for id in self.members_by_idle_time(member).into_iter().take(CONNECTIONS_CLOSED_PER_DESCRIPTOR) {
            let Some(entry) = &self.members[id] else { continue };
            entry.oldest_idle_since.set(None);
            if entry.commands.try_send(MemberCommand::CloseOldestIdle).is_err() {
                warn!(self.context.log, "member's mailbox full, it keeps its idle connections";
                    "member" => id);
            }
        }
    }

    /// Returns the members with idle connections except `excluded`, the one with the longest idle connection
    /// first.
    fn members_by_idle_time(&self, excluded: MemberId) -> Vec<MemberId> {
        let mut idle: Vec<(Instant, MemberId)> = Vec::new();
        for (id, entry) in self.members.iter().enumerate().filter(|(id, _)| *id != excluded) {
            if let Some(since) = entry.as_ref().and_then(|entry| entry.oldest_idle_since.get()) {
                idle.push((since, id));
            }
        }
        idle.sort_unstable();
        idle.into_iter().map(|(_, id)| id).collect()
    }
}

/// Builds the report of the end of an attempt that was never sent.
fn attempt_not_sent(handle: RequestHandle, decided_at: Instant) -> AttemptFinished {
    AttemptFinished {
        request: handle,
        verdict: Verdict::NotSent,
        decided_at,
        elapsed: 0,
        report: MemberReport::default(),
        response: AttemptResponse::None,
        replica_reports: None,
    }
}
