//! The member that a write goes to: the believed primary, or the next member of the primary search.

use super::HOLD;
use crate::state::{PendingRequest, Router};
use crate::{MemberId, Micros};

impl Router {
    /// The believed primary; without one, the next member of the search order, one write at a time.
    pub(super) fn write_target(&self, now: Micros, pending: &PendingRequest) -> Option<MemberId> {
        let group = &self.groups[pending.group];
        if let Some(id) = group.primary {
            let takes = self.usable(now, id) && self.room(now, id) > 0.0;
            return takes.then_some(id);
        }
        if pending.misses == 0 && now < group.walk_after {
            return None;
        }
        let order = self.search_order(group);
        let start = pending.last.and_then(|last| order.iter().position(|&id| id == last));
        let start = start.map_or(0, |at| at + 1);
        let round = (0..order.len()).map(|step| order[(start + step) % order.len()]);
        let mut open = round.filter(|&id| self.may_be_primary(now, group, id));
        let first = open.clone().next();
        open.find(|&id| now >= self.members[id].blacklisted_until)
            .or(first)
            .filter(|&id| self.room(now, id) > 0.0)
    }

    /// How long writes wait between rounds of misses, in microseconds.
    ///
    /// Guards members, those that warm up most, against searches of many routers at once; costs a router
    /// among many time to find a new primary when health checks do not tell it.
    pub(super) fn hold(&self) -> Micros {
        HOLD.max(HOLD * self.terms.drivers as Micros * 2 / 50)
    }
}
