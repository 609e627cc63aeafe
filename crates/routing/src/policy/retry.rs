//! Handling of the end of an attempt: what it says about the member, and whether the request is tried again.

use super::blacklist::failure_threshold;
use super::concurrency_limit::LoadSample;
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use super::{HISTOGRAM_MEMORY, WRITE_HOLD};
use crate::state::{FirstRun, RequestHandle, Router};
use crate::{MemberId, Micros, Outcome, Verdict};

/// An attempt that has ended, with the state just before its end was recorded.
struct EndedAttempt {
    outcome: Outcome,
    member: MemberId,
    group: usize,
    class: usize,
    sent_at: Micros,
    /// Time at which the attempt was sent, moved later by the length of every stall of the process since.
    waiting_since: Micros,
    /// Idle class of the attempt's connection; `None` if the connection was new or its idle time was not
    /// known or not classified.
    idle_class: Option<usize>,
    tried_connection: bool,
    /// Whether the member had left attempts unanswered for too long.
    left_attempts_unanswered: bool,
    /// Whether the attempt's connection had most likely been dropped on the network path while it was idle.
    connection_dropped: bool,
    request_closed: bool,
}

impl Router {
    /// Records the end of an attempt, and closes its request or routes it again.
    pub(super) fn attempt_ended(&mut self, now: Micros, handle: RequestHandle, outcome: Outcome) {
        let initial_saved_attempts = self.initial_saved_attempts();
        let Some(ended) = self.take_ended_attempt(now, handle, outcome) else { return };
        let id = ended.member;
        match outcome.verdict {
            Verdict::LocalFailure => {
                return self.attempt_failed_locally(now, handle, id, ended.sent_at, ended.request_closed);
            }
            Verdict::NotSent => {}
            verdict => self.record_connection_success(
                now,
                id,
                ended.tried_connection,
                verdict.proves_process_alive(),
            ),
        }
        self.release_attempt(handle, &ended);
        self.record_idle_outcome(&ended);
        let refused = self.record_reachability(now, &ended, initial_saved_attempts);
        let sample = LoadSample {
            member: id,
            class: ended.class,
            connection_dropped: ended.connection_dropped,
            outcome,
        };
        self.adapt_concurrency_limit(now, &sample);
        self.record_verdict(now, handle, &ended);
        self.end_session_write(now, handle, &outcome);
        self.pending_requests
            .get_mut(&handle)
            .expect("a request is pending until it is closed")
            .last_member = Some(id);
        self.close_idle_if_scarce(now, id, refused);
        self.record_report(now, id, outcome.report, ended.sent_at, now - outcome.report.age);
        if outcome.verdict == Verdict::NotPrimary && self.groups[ended.group].primary.is_none() {
            self.count_not_primary_answer(now, handle, &ended);
        }
        if ended.request_closed {
            self.close(handle);
        } else {
            self.route(now, handle);
        }
        self.route_queued(now, ended.group);
    }

    /// Removes the attempt from its request. `None` if the request is not known or has no attempt in flight.
    fn take_ended_attempt(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let pending = self.pending_requests.get(&handle)?;
        let attempt = pending.in_flight?;
        let timed_out = outcome.verdict == Verdict::TimedOut;
        let ended = EndedAttempt {
            outcome,
            member: attempt.member,
            group: pending.group,
            class: pending.request.class,
            sent_at: attempt.sent_at,
            waiting_since: pending.waiting_since,
            idle_class: pending.idle_class,
            tried_connection: pending.tries_connection,
            left_attempts_unanswered: self.leaves_attempts_unanswered(now, attempt.member),
            connection_dropped: timed_out
                && pending
                    .idle_class
                    .is_some_and(|idle_class| self.idle_drop_detector.likely_dropped(idle_class)),
            request_closed: outcome.request_closed || pending.is_closed,
        };
        self.pending_requests.get_mut(&handle)?.in_flight = None;
        Some(ended)
    }

    /// Removes the attempt from those in flight at its member, and records that it may have run there unless
    /// it is known not to have.
    fn release_attempt(&mut self, handle: RequestHandle, ended: &EndedAttempt) {
        let member = &mut self.members[ended.member];
        member.in_flight.retain(|&other| other != handle);
        if !ended.outcome.verdict.never_ran() {
            let pending =
                self.pending_requests.get_mut(&handle).expect("a request is pending until it is closed");
            pending.may_have_run.get_or_insert(FirstRun { sent_at: ended.sent_at, zone: member.zone });
        }
    }

    /// Records whether an attempt on a connection that had been idle was answered.
    fn record_idle_outcome(&mut self, ended: &EndedAttempt) {
        let verdict = ended.outcome.verdict;
        let Some(idle_class) = ended.idle_class else { return };
        if verdict.proves_process_alive() || verdict == Verdict::TimedOut {
            self.idle_drop_detector.record(idle_class, verdict.proves_process_alive());
        }
    }

    /// Records what the attempt says about the member's reachability. Returns whether the member refused the
    /// connection at once; always `false` unless the fleet is large.
    fn record_reachability(
        &mut self,
        now: Micros,
        ended: &EndedAttempt,
        initial_saved_attempts: f64,
    ) -> bool {
        let in_large_fleet = self.in_large_fleet();
        let verdict = ended.outcome.verdict;
        let member = &mut self.members[ended.member];
        if verdict.proves_process_alive() {
            member.last_answered_at = now;
            member.newest_answered_sent_at = member.newest_answered_sent_at.max(ended.waiting_since);
            member.record_heard(now, initial_saved_attempts);
            return false;
        }
        if !matches!(verdict, Verdict::Unconnected | Verdict::Unreachable | Verdict::Reset) {
            return false;
        }
        let refused =
            verdict == Verdict::Unconnected && ended.outcome.duration < URGENT_HEALTH_CHECK_INTERVAL;
        member.unreachable_until = now + 2 * WRITE_HOLD;
        if verdict == Verdict::Reset || refused {
            member.down_since.get_or_insert(now);
        }
        refused && in_large_fleet
    }

    /// Records what the verdict says for or against the member.
    fn record_verdict(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        let id = ended.member;
        let duration = ended.outcome.duration;
        match ended.outcome.verdict {
            Verdict::Served => self.attempt_served(now, handle, ended),
            // Not a failure of the member yet: that is proven only when another attempt of the request is
            // served.
            Verdict::Error => {
                self.pending_requests
                    .get_mut(&handle)
                    .expect("a request is pending until it is closed")
                    .errored_members
                    .push(id);
                self.refund_quick_error(now, id, ended.class, duration);
            }
            Verdict::Overloaded => self.shrink_concurrency_limit(now, id),
            Verdict::NotPrimary | Verdict::NotSent | Verdict::Unobserved => {}
            Verdict::Malformed | Verdict::ConnectionLost => {
                let threshold = failure_threshold(self.config.routers);
                self.members[id].blacklist.record_malformed(now, threshold);
            }
            // A timeout at a member that answers other attempts is a sign of overload, not of a fault.
            Verdict::TimedOut | Verdict::Cancelled
                if !ended.left_attempts_unanswered || ended.connection_dropped => {}
            _ => self.record_failure(now, id),
        }
    }

    /// Records a failure for which the member itself is responsible.
    fn record_failure(&mut self, now: Micros, id: MemberId) {
        let threshold = failure_threshold(self.config.routers);
        self.members[id].blacklist.record_failure(now, threshold);
    }

    /// Records a served attempt, and a failure of each member that answered the same request with an error.
    fn attempt_served(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        self.durations[ended.class].add(ended.outcome.duration, HISTOGRAM_MEMORY * 4);
        self.all_durations.add(ended.outcome.duration, HISTOGRAM_MEMORY * 4);
        let member = &mut self.members[ended.member];
        member.served_load += 0.1;
        member.blacklist.record_served();
        let pending =
            self.pending_requests.get_mut(&handle).expect("a request is pending until it is closed");
        for errored_member in std::mem::take(&mut pending.errored_members) {
            self.record_failure(now, errored_member);
        }
    }

    /// Counts an attempt of a write that reached a replica. After a round of these, the group's writes wait
    /// for a while.
    fn count_not_primary_answer(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        let answers_per_round =
            self.groups[ended.group].members.len().min(self.config.max_attempts as usize / 2);
        let search_hold = self.search_hold();
        let pending =
            self.pending_requests.get_mut(&handle).expect("a request is pending until it is closed");
        pending.not_primary_answers += 1;
        if pending.not_primary_answers >= answers_per_round {
            pending.not_primary_answers = 0;
            self.groups[ended.group].search_after = now + search_hold;
        }
        let member = &mut self.members[ended.member];
        member.not_primary_at = member.not_primary_at.max(now - ended.outcome.report.age);
        self.close_if_outside_subset(ended.member);
    }
}
