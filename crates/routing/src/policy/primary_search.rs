//! The search for a group's primary: by misses, by the answers of reads and by health checks, until a member says
//! that it is the primary.

use super::*;

/// Health checks that one member gets from the searches of all routers together, in a second at the most.
const SEARCH_CHECKS: f64 = 60.0;
/// A round of health checks takes this long at the least.
const SEARCH_ROUND: Micros = 600 * MS;

impl Router {
    /// One round of misses reaches only a part of the group.
    pub(super) fn is_wide(&self, group: &Group) -> bool {
        group.members.len() > self.terms.max_launches as usize
    }

    /// No primary is believed, or it cannot be reached.
    pub(super) fn lacks_primary(&self, now: Micros, group: &Group) -> bool {
        group.primary.is_none_or(|id| self.silent(now, id))
    }

    /// The order in which the members of a group are asked: by name, in a wide group by this router's preference.
    /// Protects its first members from the misses and health checks of all routers at once, and finds first those
    /// to which this router has connections.
    pub(super) fn search_order<'a>(&self, group: &'a Group) -> &'a [MemberId] {
        if self.is_wide(group) { &group.preferred } else { &group.members }
    }

    /// Usable, and not known to be a replica since the primary was lost. Protects a wide group's writes from
    /// walks that meet the same replicas again. Harms those whose primary was promoted after it said that it
    /// is a replica, until the round is over.
    pub(super) fn may_be_primary(&self, now: Micros, group: &Group, id: MemberId) -> bool {
        let heard = group.primary.map_or(Micros::MIN, |primary| self.members[primary].heard);
        self.members[id].not_primary <= group.search.since.max(heard) && self.usable(now, id)
    }

    /// Looks on for the primary of a group in which requests are held: the members that may be it are asked one
    /// after another, in an order that differs from router to router; once none is left all may be it
    /// again. Protects writes of wide groups, whose primary a walk by misses does not reach in their time. Harms
    /// members by one health check for each router and round, which the pace bounds.
    pub(super) fn search_primary(&mut self, now: Micros, group: usize) {
        let searched = &self.groups[group];
        if searched.members.is_empty() || !self.lacks_primary(now, searched) {
            return;
        }
        let may_be = |&id: &MemberId| self.may_be_primary(now, searched, id);
        if !searched.members.iter().any(may_be) {
            let search = &mut self.groups[group].search;
            (search.since, search.next) = (now, 0);
        }
        if self.terms.may_probe && self.is_wide(&self.groups[group]) {
            self.check_candidates(now, group);
        }
    }

    /// The health checks that are due in this beat.
    fn check_candidates(&mut self, now: Micros, group: usize) {
        let count = self.groups[group].members.len();
        let bearable = SEARCH_CHECKS * SEARCH_ROUND as f64 / (1_000 * MS) as f64 / self.terms.drivers as f64;
        let due = count as f64 * bearable.min(1.0) * BEAT as f64 / SEARCH_ROUND as f64;
        let search = &mut self.groups[group].search;
        search.saved = (search.saved + due).min(due.max(1.0));
        for _ in 0..count {
            let searched = &self.groups[group];
            if searched.search.saved < 1.0 {
                return;
            }
            let at = searched.search.next % count;
            self.groups[group].search.next = at + 1;
            self.check_candidate(now, group, at);
        }
    }

    fn check_candidate(&mut self, now: Micros, group: usize, at: usize) {
        let searched = &self.groups[group];
        let id = self.search_order(searched)[at];
        let Member { standing, probe_out, probed, .. } = self.members[id];
        let early = probe_out || now - probed < SEARCH_ROUND;
        if standing != Standing::Ready || early || !self.may_be_primary(now, searched, id) {
            return;
        }
        let searched = &mut self.groups[group];
        searched.search.saved -= 1.0;
        // Writes keep their attempts for the member that the health checks find.
        searched.walk_after = searched.walk_after.max(now + SEARCH_ROUND);
        let member = &mut self.members[id];
        (member.probe_out, member.probed) = (true, now);
        self.todo.probes.push(id);
    }
}
