//! Whether a member may be sent anything: by the endpoint list, and by whether it is reached and answers.

use super::{MS, WRITE_HOLD};
use crate::state::Router;
use crate::{MemberId, Micros, Standing};

/// An attempt in flight at a member.
pub(super) struct SentAttempt {
    /// When it was sent, without the time in which the process stalled.
    pub(super) at: Micros,
    /// The index of its request's class.
    pub(super) class: usize,
}

impl Router {
    /// Whether anything may be sent there: never against the drain rule, nor into silence.
    pub(super) fn usable(&self, now: Micros, id: MemberId) -> bool {
        let standing = self.members[id].standing;
        let unbound = standing == Standing::Gone && self.terms.only_draining_binds;
        (standing == Standing::Ready || unbound) && !self.is_silent(now, id)
    }

    /// Whether the member could not be reached a short time ago, or takes attempts and answers none; one
    /// attempt a second tries it again.
    ///
    /// Guards attempts against a hang, a cut link, a long pause and a death without a reset; costs a member
    /// whose few attempts in flight are all long ones: it is passed over for a second or until it answers
    /// one.
    pub(super) fn is_silent(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let tried = member.sent_recently.back().is_some_and(|&last| now - last < 2 * WRITE_HOLD);
        now < member.unreachable_until || tried && self.leaves_unanswered(now, id)
    }

    /// Whether attempts sent after the newest answered one have waited far longer than attempts take, and
    /// nothing was answered meanwhile.
    pub(super) fn leaves_unanswered(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self.attempts_in_flight(id).filter(|sent| sent.at >= member.newest_answered_sent);
        waiting.any(|sent| {
            now - sent.at.max(member.last_answered_at) > self.longest_expected_duration(sent.class)
        })
    }

    /// The attempts in flight at the member.
    pub(super) fn attempts_in_flight(&self, id: MemberId) -> impl Iterator<Item = SentAttempt> {
        let out = self.members[id].in_flight.iter().map(|out| &self.pending_requests[out]);
        let in_flight = out.filter(|pending| pending.in_flight.is_some());
        in_flight.map(|pending| SentAttempt { at: pending.waiting_since, class: pending.request.class })
    }

    /// In microseconds, more than nearly all attempts of the request class take.
    pub(super) fn longest_expected_duration(&self, class: usize) -> Micros {
        let objective = self.terms.classes[class].objective;
        self.durations[class].quantile(0.9).unwrap_or(200 * MS).min(objective).max(100 * MS) * 2
    }
}
