//! Availability of a member for requests: its status in the endpoint list, and whether it is reachable and
//! answers.

use super::{MS, WRITE_HOLD};
use crate::state::Router;
use crate::{MemberId, MemberStatus, Micros};

/// An attempt in flight at a member.
pub(super) struct SentAttempt {
    /// Time at which the attempt was sent, moved later by the length of every stall of the process since.
    pub(super) waiting_since: Micros,
    /// Index of the request's class.
    pub(super) class: usize,
}

impl Router {
    /// Returns whether anything may be sent to the member: it is in service, and it responds.
    pub(super) fn is_usable(&self, now: Micros, id: MemberId) -> bool {
        self.is_in_service(id) && !self.is_unresponsive(now, id)
    }

    /// Returns whether the endpoint lists allow to send anything to the member: it is not draining, and it is listed or
    /// need not be.
    pub fn is_in_service(&self, id: MemberId) -> bool {
        let status = self.members[id].status;
        let usable_unlisted = status == MemberStatus::Unlisted && self.config.unlisted_members_usable;
        status == MemberStatus::Ready || usable_unlisted
    }

    /// Returns whether the endpoint lists name the member as ready, and no earlier drain of it still binds.
    pub fn is_ready(&self, id: MemberId) -> bool {
        self.members[id].status == MemberStatus::Ready
    }

    /// Returns the status of the member now that the endpoint list states `listed_status`.
    ///
    /// Where unlisted members are usable, the list does not prove which processes run. A member that was listed as
    /// draining therefore counts as draining until it starts again. The cost: one whose drain is called off gets
    /// nothing until then.
    pub(super) fn status_after_drains(&self, id: MemberId, listed_status: MemberStatus) -> MemberStatus {
        let drain_binds = self.config.unlisted_members_usable && self.members[id].drain_record.has_drained();
        if drain_binds { MemberStatus::Draining } else { listed_status }
    }

    /// Returns whether the member was unreachable a short time ago, or takes attempts and answers none. One
    /// attempt a second tries it again.
    ///
    /// This protects attempts from a hang, a cut link, a long pause and a crash without a reset. The cost: a
    /// member whose few attempts in flight are all long ones is passed over for a second, or until it answers
    /// one.
    pub(super) fn is_unresponsive(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let recently_tried =
            member.sent_recently.back().is_some_and(|&sent_at| now - sent_at < 2 * WRITE_HOLD);
        now < member.unreachable_until || recently_tried && self.leaves_attempts_unanswered(now, id)
    }

    /// Returns whether attempts sent after the newest answered one have waited far longer than attempts take,
    /// with nothing answered meanwhile.
    pub(super) fn leaves_attempts_unanswered(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self
            .attempts_in_flight(id)
            .filter(|attempt| attempt.waiting_since >= member.newest_answered_sent_at);
        waiting.any(|attempt| {
            now - attempt.waiting_since.max(member.last_answered_at)
                > self.longest_expected_duration(attempt.class)
        })
    }

    /// Returns the attempts in flight at the member.
    pub(super) fn attempts_in_flight(&self, id: MemberId) -> impl Iterator<Item = SentAttempt> {
        let requests = self.members[id].in_flight.iter().map(|handle| &self.pending_requests[handle]);
        let in_flight = requests.filter(|pending| pending.in_flight.is_some());
        in_flight
            .map(|pending| SentAttempt { waiting_since: pending.waiting_since, class: pending.request.class })
    }

    /// Returns the duration that nearly all attempts of the request class stay below, in microseconds.
    pub(super) fn longest_expected_duration(&self, class: usize) -> Micros {
        let objective = self.config.classes[class].objective;
        self.durations[class].quantile(0.9).unwrap_or(200 * MS).min(objective).max(100 * MS) * 2
    }
}
