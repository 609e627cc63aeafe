//! Whether a member may be sent anything: by the endpoint list, and by whether it is reached and answers.

use super::{HOLD, MS};
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
        (standing == Standing::Ready || unbound) && !self.silent(now, id)
    }

    /// Whether the member could not be reached a short time ago, or takes attempts and answers none; one
    /// attempt a second tries it again.
    ///
    /// Guards attempts against a hang, a cut link, a long pause and a death without a reset; costs a member
    /// whose few attempts in flight are all long ones: it is passed over for a second or until it answers
    /// one.
    pub(super) fn silent(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let tried = member.sent.back().is_some_and(|&last| now - last < 2 * HOLD);
        now < member.lost_until || tried && self.mute(now, id)
    }

    /// Whether attempts sent after the newest answered one have waited far longer than attempts take, and
    /// nothing was answered meanwhile.
    pub(super) fn mute(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self.sent_out(id).filter(|sent| sent.at >= member.newest_answered_sent);
        waiting.any(|sent| now - sent.at.max(member.answered) > self.patience(sent.class))
    }

    /// The attempts in flight at the member.
    pub(super) fn sent_out(&self, id: MemberId) -> impl Iterator<Item = SentAttempt> {
        let out = self.members[id].out.iter().map(|out| &self.pending_requests[out]);
        let in_flight = out.filter(|pending| pending.out.is_some());
        in_flight.map(|pending| SentAttempt { at: pending.waits_from, class: pending.request.class })
    }

    /// In microseconds, more than nearly all attempts of the request class take.
    pub(super) fn patience(&self, class: usize) -> Micros {
        let objective = self.terms.classes[class].objective;
        self.took[class].quantile(0.9).unwrap_or(200 * MS).min(objective).max(100 * MS) * 2
    }
}
