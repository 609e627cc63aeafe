//! Whether a member may be sent anything: by the endpoint list, and by whether it is reached and answers.

use super::{MS, WRITE_HOLD};
use crate::state::Router;
use crate::{MemberId, MemberStatus, Micros};

/// An attempt in flight at a member.
pub(super) struct SentAttempt {
    /// When it was sent, without the time in which the process stalled.
    pub(super) sent_at: Micros,
    /// The index of its request's class.
    pub(super) class: usize,
}

impl Router {
    /// Whether anything may be sent there: never against the drain rule, nor into silence.
    pub(super) fn is_usable(&self, now: Micros, id: MemberId) -> bool {
        let status = self.members[id].status;
        let usable_unlisted = status == MemberStatus::Unlisted && self.config.unlisted_members_usable;
        (status == MemberStatus::Ready || usable_unlisted) && !self.is_unresponsive(now, id)
    }

    /// Whether the member could not be reached a short time ago, or takes attempts and answers none; one
    /// attempt a second tries it again.
    ///
    /// Guards attempts against a hang, a cut link, a long pause and a death without a reset; costs a member
    /// whose few attempts in flight are all long ones: it is passed over for a second or until it answers
    /// one.
    pub(super) fn is_unresponsive(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let recently_tried =
            member.sent_recently.back().is_some_and(|&sent_at| now - sent_at < 2 * WRITE_HOLD);
        now < member.unreachable_until || recently_tried && self.leaves_attempts_unanswered(now, id)
    }

    /// Whether attempts sent after the newest answered one have waited far longer than attempts take, and
    /// nothing was answered meanwhile.
    pub(super) fn leaves_attempts_unanswered(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting =
            self.attempts_in_flight(id).filter(|sent| sent.sent_at >= member.newest_answered_sent);
        waiting.any(|sent| {
            now - sent.sent_at.max(member.last_answered_at) > self.longest_expected_duration(sent.class)
        })
    }

    /// The attempts in flight at the member.
    pub(super) fn attempts_in_flight(&self, id: MemberId) -> impl Iterator<Item = SentAttempt> {
        let requests = self.members[id].in_flight.iter().map(|handle| &self.pending_requests[handle]);
        let in_flight = requests.filter(|pending| pending.in_flight.is_some());
        in_flight.map(|pending| SentAttempt { sent_at: pending.waiting_since, class: pending.request.class })
    }

    /// In microseconds, more than nearly all attempts of the request class take.
    pub(super) fn longest_expected_duration(&self, class: usize) -> Micros {
        let objective = self.config.classes[class].objective;
        self.durations[class].quantile(0.9).unwrap_or(200 * MS).min(objective).max(100 * MS) * 2
    }
}
