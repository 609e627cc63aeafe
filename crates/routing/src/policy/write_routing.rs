//! The member that a write goes to: the believed primary, or the next member of the primary search.

use super::WRITE_HOLD;
use crate::state::{PendingRequest, Router};
use crate::{MemberId, Micros};

impl Router {
    /// The believed primary; without one, the next member of the search order, one write at a time.
    pub(super) fn write_target(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let group = &self.groups[pending.group];
        let target = match group.primary {
            Some(primary) => Some(primary).filter(|&id| self.is_usable(now, id)),
            None if pending.not_primary_answers == 0 && now < group.search_after => None,
            None => self.next_candidate(now, pending),
        };
        target.filter(|&id| self.available_capacity(now, id) > 0.0)
    }

    /// The next member of the search order, behind the one that the request asked last, that may be the
    /// primary; one that is blacklisted only where no other is left.
    fn next_candidate(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let group = &self.groups[pending.group];
        let order = self.search_order(group);
        let asked = pending.last_member.and_then(|last| order.iter().position(|&id| id == last));
        let start = asked.map_or(0, |position| position + 1);
        let round = (0..order.len()).map(|step| order[(start + step) % order.len()]);
        let mut candidates = round.filter(|&id| self.may_be_primary(now, group, id));
        let first = candidates.clone().next();
        candidates.find(|&id| self.members[id].blacklist.allows(now)).or(first)
    }

    /// How long writes wait between rounds of misses, in microseconds.
    ///
    /// Guards members, those that warm up most, against searches of many routers at once; costs a router
    /// among many time to find a new primary when health checks do not tell it.
    pub(super) fn search_hold(&self) -> Micros {
        WRITE_HOLD.max(WRITE_HOLD * self.config.routers as Micros * 2 / 50)
    }
}
