//! Carries out what the router decided: answers, attempts, health checks, connections to close.

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::{
    Action, Actions, Effect, MemberId, MemberReport, Micros, RequestHandle, Validity, Verdict,
};
use slog::warn;
use tokio::time::Instant;

use super::Dispatcher;
use super::endpoints::MemberEntry;
use super::open_request::OpenRequest;
use crate::lifecycle::clock::duration;
use crate::messages::{
    Answer, Attempt, AttemptFinished, AttemptResponse, DispatcherMessage, HealthCheckFinished, MemberCommand,
    PoolUse, ReplicaReports,
};

/// Idle connections that are closed where one descriptor is wanted.
const CONNECTIONS_CLOSED_PER_DESCRIPTOR: usize = 3;

/// An attempt as the router decided it.
struct DecidedAttempt {
    handle: RequestHandle,
    member: MemberId,
    /// How long it may take, in microseconds.
    timeout: Micros,
    /// Whether it must use a new connection.
    on_new_connection: bool,
    /// What must still hold when it is sent.
    validity: Validity,
}

impl Dispatcher {
    /// Carries out the router's actions, in their order.
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

    /// Gives a request its one answer.
    pub(super) fn answer(&mut self, handle: RequestHandle, answer: Answer) {
        let Some(open) = self.open_requests.get_mut(&handle) else { return };
        let Some(client) = open.client.take() else { return };
        if let Some(site_handle) = open.site_handle {
            return self.answered_here(site_handle, answer);
        }
        self.request_owners.remove(&client.request_id);
        client.answer(answer);
    }

    /// Answers a request whose member responded while there was no buffer space for the response.
    pub(super) fn answer_without_buffer_space(&mut self, handle: RequestHandle) {
        let Some(open) = self.open_requests.get(&handle) else { return };
        let Ok(class) = self.settings.class_index(&open.request.comment.class) else { return };
        let answer = self.no_buffer_space_answer(class);
        self.answer(handle, answer);
    }

    /// The answer where there is no buffer space for a response: an idempotent request is rejected, as it may be repeated;
    /// any other has run, and has failed for its client.
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

    /// The attempt as its member's actor takes it. Its deadline is never later than the request's.
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

    /// Asks for the endpoint list, when the first request is there.
    fn request_endpoint_list(&self) {
        if let Some(list_requests) = &self.list_requests {
            let _ = list_requests.try_send(());
        }
    }

    /// A member needs a descriptor for a connection and none is free: connections of other members that have been idle
    /// longest are closed, as they are the least likely to be used again. Several are, because one may be taken into use
    /// before its member closes it.
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

    /// Members with idle connections except `excluded`, the longest idle first.
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

/// The end of an attempt that was never sent.
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
