//! What follows from an attempt's end: what it says of the member, and whether the request is tried again.

use super::blacklist::failure_threshold;
use super::concurrency_limit::LoadSample;
use super::health_checks::HEALTH_CHECK_NEEDED;
use super::{HISTOGRAM_MEMORY, WRITE_HOLD};
use crate::state::{FirstRun, RequestHandle, Router};
use crate::{MemberId, Micros, Outcome, Verdict};

/// An attempt that has ended, with what was known just before its end was entered.
struct EndedAttempt {
    outcome: Outcome,
    member: MemberId,
    group: usize,
    class: usize,
    sent: Micros,
    /// As `sent`, without the time in which the process stalled.
    waiting_since: Micros,
    /// How long its connection had rested, as a power of two.
    rested: Option<usize>,
    tried_connection: bool,
    /// The member had left its attempts without an answer for too long.
    mute: bool,
    /// Its connection had most likely been dropped on the way while it rested.
    reaped: bool,
    request_closed: bool,
}

impl Router {
    /// Enters the end of an attempt; its request is closed, or placed again.
    pub(super) fn attempt_ended(&mut self, now: Micros, handle: RequestHandle, outcome: Outcome) {
        let slow_start_credit = self.initial_saved_attempts();
        let Some(ended) = self.take_ended(now, handle, outcome) else { return };
        let id = ended.member;
        match outcome.verdict {
            Verdict::LocalFailure => {
                return self.not_sent(now, handle, id, ended.sent, ended.request_closed);
            }
            Verdict::NotSent => {}
            verdict => {
                self.connection_worked(now, id, ended.tried_connection, verdict.proves_process_alive())
            }
        }
        self.release_attempt(handle, &ended);
        self.learn_of_rested_connection(&ended);
        let refused = self.learn_of_reachability(now, &ended, slow_start_credit);
        let load = LoadSample { member: id, class: ended.class, connection_dropped: ended.reaped, outcome };
        self.adapt_concurrency_limit(now, &load);
        self.record_verdict(now, handle, &ended);
        self.end_session_write(now, handle, &outcome);
        self.pending_requests.get_mut(&handle).expect("not yet closed").last_member = Some(id);
        self.release_connections(now, id, refused);
        self.record_report(now, id, outcome.report, ended.sent, now - outcome.report.age);
        if outcome.verdict == Verdict::NotPrimary && self.groups[ended.group].primary.is_none() {
            self.count_miss(now, handle, &ended);
        }
        if ended.request_closed {
            self.close(handle);
        } else {
            self.route(now, handle);
        }
        self.route_queued(now, ended.group);
    }

    /// Takes the attempt out of its request; none where the request has no attempt in flight.
    fn take_ended(&mut self, now: Micros, handle: RequestHandle, outcome: Outcome) -> Option<EndedAttempt> {
        let pending = self.pending_requests.get(&handle)?;
        let attempt = pending.in_flight?;
        let timed_out = outcome.verdict == Verdict::TimedOut;
        let ended = EndedAttempt {
            outcome,
            member: attempt.member,
            group: pending.group,
            class: pending.request.class,
            sent: attempt.sent_at,
            waiting_since: pending.waiting_since,
            rested: pending.rest_class,
            tried_connection: pending.tries_connection,
            mute: self.leaves_attempts_unanswered(now, attempt.member),
            reaped: timed_out
                && pending.rest_class.is_some_and(|rest| self.rested_connections.are_dropped_after(rest)),
            request_closed: outcome.request_closed || pending.is_closed,
        };
        self.pending_requests.get_mut(&handle)?.in_flight = None;
        Some(ended)
    }

    /// The attempt is no longer in flight at its member, and may have run there.
    fn release_attempt(&mut self, handle: RequestHandle, ended: &EndedAttempt) {
        let member = &mut self.members[ended.member];
        member.in_flight.retain(|&out| out != handle);
        if !ended.outcome.verdict.never_ran() {
            let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
            pending.may_have_run.get_or_insert(FirstRun { sent_at: ended.sent, zone: member.zone });
        }
    }

    fn learn_of_rested_connection(&mut self, ended: &EndedAttempt) {
        let verdict = ended.outcome.verdict;
        let Some(rest) = ended.rested else { return };
        if verdict.proves_process_alive() || verdict == Verdict::TimedOut {
            self.rested_connections.record(rest, verdict.proves_process_alive());
        }
    }

    /// Says whether the member refused a connection at once, as seen by a router among many.
    fn learn_of_reachability(&mut self, now: Micros, ended: &EndedAttempt, slow_start_credit: f64) -> bool {
        let many_routers = self.in_large_fleet();
        let verdict = ended.outcome.verdict;
        let member = &mut self.members[ended.member];
        if verdict.proves_process_alive() {
            member.last_answered_at = now;
            member.newest_answered_sent = member.newest_answered_sent.max(ended.waiting_since);
            member.record_heard(now, slow_start_credit);
            return false;
        }
        if !matches!(verdict, Verdict::Unconnected | Verdict::Unreachable | Verdict::Reset) {
            return false;
        }
        let refused = verdict == Verdict::Unconnected && ended.outcome.duration < HEALTH_CHECK_NEEDED;
        member.unreachable_until = now + 2 * WRITE_HOLD;
        if verdict == Verdict::Reset || refused {
            member.down_since.get_or_insert(now);
        }
        refused && many_routers
    }

    /// Enters what the verdict says for or against the member.
    fn record_verdict(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        let id = ended.member;
        let took = ended.outcome.duration;
        match ended.outcome.verdict {
            Verdict::Served => self.attempt_served(now, handle, ended),
            // Nobody's fault as yet: whoever serves the request proves that the member failed it.
            Verdict::Error => {
                self.pending_requests.get_mut(&handle).expect("not yet closed").errored_members.push(id);
                self.refund_quick_error(now, id, ended.class, took);
            }
            Verdict::Overloaded => self.shrink_concurrency_limit(now, id),
            Verdict::NotPrimary | Verdict::NotSent | Verdict::Unobserved => {}
            Verdict::Malformed | Verdict::ConnectionLost => {
                let threshold = failure_threshold(self.config.routers);
                self.members[id].blacklist.record_malformed(now, threshold);
            }
            // An attempt that outlasted its limit at a member that answers others met a crowd, not a fault.
            Verdict::TimedOut | Verdict::Cancelled if !ended.mute || ended.reaped => {}
            _ => self.record_failure(now, id),
        }
    }

    /// A failure that is the member's own.
    fn record_failure(&mut self, now: Micros, id: MemberId) {
        let threshold = failure_threshold(self.config.routers);
        self.members[id].blacklist.record_failure(now, threshold);
    }

    fn attempt_served(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        self.durations[ended.class].add(ended.outcome.duration, HISTOGRAM_MEMORY * 4);
        self.all_durations.add(ended.outcome.duration, HISTOGRAM_MEMORY * 4);
        let member = &mut self.members[ended.member];
        member.served_load += 0.1;
        member.blacklist.record_served();
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
        for erred in std::mem::take(&mut pending.errored_members) {
            self.record_failure(now, erred);
        }
    }

    /// A write that met a replica: after a round of misses the group's writes wait for a while.
    fn count_miss(&mut self, now: Micros, handle: RequestHandle, ended: &EndedAttempt) {
        let round = self.groups[ended.group].members.len().min(self.config.max_attempts as usize / 2);
        let hold = self.search_hold();
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
        pending.not_primary_answers += 1;
        if pending.not_primary_answers >= round {
            pending.not_primary_answers = 0;
            self.groups[ended.group].search_after = now + hold;
        }
        let member = &mut self.members[ended.member];
        member.not_primary_at = member.not_primary_at.max(now - ended.outcome.report.age);
        self.close_unless_kept(ended.member);
    }
}
