//! The member that a write goes to: the believed primary, or the next member in the search for the primary.

use super::WRITE_HOLD;
use crate::state::{PendingRequest, Router};
use crate::{MemberId, Micros};

impl Router {
    /// Returns the believed primary or, if there is none, the next member of the search order for one write
    /// at a time. `None` if the write has to wait.
    pub(super) fn write_target(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let group = &self.groups[pending.group];
        let target = match group.primary {
            Some(primary) => {
                Some(primary).filter(|&id| self.is_usable(now, id) && self.drops_repeats(pending, id))
            }
            None if pending.not_primary_answers == 0 && now < group.search_after => None,
            None => self.next_candidate(now, pending),
        };
        target.filter(|&id| self.available_capacity(now, id) > 0.0)
    }

    /// Returns the next member of the search order, after the one that the request asked last, that may be
    /// the primary. A blacklisted member is returned only if no other is left. A write that only one zone may
    /// repeat asks the members of that zone again.
    fn next_candidate(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let group = &self.groups[pending.group];
        let order = self.search_order(group);
        let asked = pending.last_member.and_then(|last| order.iter().position(|&id| id == last));
        let start = asked.map_or(0, |index| index + 1);
        let rotation = (0..order.len()).map(|step| order[(start + step) % order.len()]);
        let mut candidates = rotation
            .filter(|&id| self.drops_repeats(pending, id))
            .filter(|&id| self.may_be_primary(now, group, id));
        let first = candidates.clone().next();
        let candidate = candidates.find(|&id| self.members[id].blacklist.allows(now)).or(first);
        candidate.or_else(|| self.replica_to_ask_again(now, pending))
    }

    /// Returns the member that was found to be a replica longest ago, if a write that only one zone may repeat has asked
    /// all members of that zone; one of them may have become the primary. `None` until a round's hold is over.
    ///
    /// The next round would begin only once the members of the other zones were asked, too, which this write never does.
    fn replica_to_ask_again(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let hold = self.search_hold();
        let group = &self.groups[pending.group];
        let members = group.members.iter().copied().filter(|_| self.is_zone_bound(pending));
        members
            .filter(|&id| self.drops_repeats(pending, id) && self.is_usable(now, id))
            .filter(|&id| self.members[id].not_primary_at <= now - hold)
            .min_by_key(|&id| self.members[id].not_primary_at)
    }

    /// Returns how long writes wait between rounds of attempts that reached only replicas, in microseconds.
    ///
    /// This protects members, above all those that are warming up, from the searches of many routers at once.
    /// The cost: in a large fleet, a router takes longer to find a new primary if health checks do not reveal
    /// it.
    pub(super) fn search_hold(&self) -> Micros {
        WRITE_HOLD.max(WRITE_HOLD * self.config.routers as Micros * 2 / 50)
    }
}
