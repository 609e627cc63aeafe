//! Members that attempts keep away from: blacklisted, draining, gone, or silent.

use super::{HOLD, MS};
use crate::state::Router;
use crate::{MemberId, Micros, Standing};

/// How long a member stays blacklisted.
pub(super) const BLACKLISTED_FOR: Micros = 5_000 * MS;
/// So many failures within [`FAILURE_WINDOW`] blacklist a member, and so many malformed responses in a row
/// are followed by failures.
pub(super) const FAILURES: usize = 5;
/// For so long failures count.
pub(super) const FAILURE_WINDOW: Micros = 10_000 * MS;

/// An attempt in flight at a member.
pub(super) struct SentAttempt {
    /// When it was sent, without the time in which the process stalled.
    pub(super) at: Micros,
    pub(super) class: usize,
}

impl Router {
    /// A failure that is the member's own: some in a row blacklist it, fewer where each router sees few of
    /// its answers.
    pub(super) fn failed(&mut self, now: Micros, id: MemberId) {
        let drivers = self.terms.drivers as f64;
        let member = &mut self.members[id];
        member.failures.push_back(now);
        member.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if member.failures.len() as f64 >= (FAILURES as f64 * 25.0 / drivers).min(FAILURES as f64) {
            member.failures.clear();
            member.blacklisted_until = now + BLACKLISTED_FOR;
        }
    }

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

    /// A malformed response, or a connection lost before the attempt was sent.
    ///
    /// Guards against blacklisting a whole group whose members all answer so alike, as links that break
    /// connections make them: only those in a row are failures. Costs requests at the member that does so
    /// most.
    pub(super) fn malformed(&mut self, now: Micros, id: MemberId) {
        let member = &mut self.members[id];
        if member.malformed < FAILURES {
            member.malformed += 1;
        } else {
            self.failed(now, id);
        }
    }
}
