//! Members that attempts keep away from: blacklisted, draining, gone, or silent.

use super::{HOLD, MS};
use crate::state::Router;
use crate::{MemberId, Micros, Standing};

/// How long a member stays blacklisted.
pub(super) const BLACKLISTED_FOR: Micros = 5_000 * MS;
/// So many failures within [`FAILURE_WINDOW`] blacklist a member, and so many malformed responses in a row are
/// followed by failures.
pub(super) const FAILURES: usize = 5;
/// For so long failures count.
pub(super) const FAILURE_WINDOW: Micros = 10_000 * MS;

impl Router {
    /// A failure that is the member's own: some in a row blacklist it, fewer where each driver sees few of
    /// its answers.
    pub(super) fn failed(&mut self, now: Micros, id: MemberId) {
        let (member, drivers) = (&mut self.members[id], self.terms.drivers as f64);
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

    /// Protects against members that take work and answer nothing: a hang, a cut link, a long pause, a
    /// death without a reset. One attempt a second tries whether it answers again. Harms a member whose few
    /// attempts out are all long ones: it is passed over until it answers one or a second has passed.
    pub(super) fn silent(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let tried = member.sent.back().is_some_and(|&last| now - last < 2 * HOLD);
        now < member.lost_until || tried && self.mute(now, id)
    }

    /// Has attempts out that no later one overtook, and answered none for far longer than attempts take.
    pub(super) fn mute(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self.sent_out(id).filter(|&(at, _)| at >= member.newest_answered_sent);
        waiting.any(|(at, class)| now - at.max(member.answered) > self.patience(class))
    }

    /// When each attempt out at the member was sent, and of which request class it is.
    pub(super) fn sent_out(&self, id: MemberId) -> impl Iterator<Item = (Micros, usize)> {
        let out = self.members[id].out.iter().map(|out| &self.pending_requests[out]);
        out.filter_map(|pending| pending.out.map(|_| (pending.waits_from, pending.request.class)))
    }

    /// Beyond what nearly all attempts of a request class take.
    pub(super) fn patience(&self, class: usize) -> Micros {
        let objective = self.terms.classes[class].objective;
        self.took[class].quantile(0.9).unwrap_or(200 * MS).min(objective).max(100 * MS) * 2
    }

    /// A malformed response, or a connection lost before the attempt was sent.
    ///
    /// Guards against blacklisting a whole group whose members all answer so alike, as links that break
    /// connections make them: only those in a row are failures. Costs requests at the member that does so most.
    pub(super) fn malformed(&mut self, now: Micros, id: MemberId) {
        let member = &mut self.members[id];
        if member.malformed < FAILURES {
            member.malformed += 1;
        } else {
            self.failed(now, id);
        }
    }
}
