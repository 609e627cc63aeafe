//! The search for a group's primary: by misses, by the answers of reads and by health checks, until a member
//! says that it is the primary.

use super::{MS, TICK};
use crate::state::{Group, Member, Router};
use crate::{MemberId, MemberStatus, Micros};

/// Health checks that one member gets from the searches of all routers together, in a second at the most.
const SEARCH_CHECKS_PER_SECOND: f64 = 60.0;
/// A round of health checks takes this long at the least, in microseconds.
const SEARCH_ROUND: Micros = 600 * MS;
/// Health checks that the searches of one router wait for at a time, in all groups together: of the
/// connections to members that the fewest usual descriptors (256) allow, some 87, less than half.
const MAX_SEARCH_CHECKS_IN_FLIGHT: usize = 32;
/// A health check that was not answered in this time, in microseconds, is not waited for. It is far longer than a
/// crowded member takes, as what is sent before that only adds to the crowd. The cost: in a search of many groups each
/// member that has vanished may hold up its group for so long.
const SEARCH_CHECK_TIMEOUT: Micros = 1_000 * MS;

impl Router {
    /// One round of misses reaches only a part of the group.
    pub(super) fn is_wide(&self, group: &Group) -> bool {
        group.members.len() > self.config.max_attempts as usize
    }

    /// No primary is believed, or it cannot be reached.
    pub(super) fn lacks_primary(&self, now: Micros, group: &Group) -> bool {
        group.primary.is_none_or(|id| self.is_unresponsive(now, id))
    }

    /// The order in which the members of a group are asked: by name, in a wide group by this router's
    /// preference. By name alone, all routers would ask a wide group's first members at once, and not begin with those
    /// to which they have connections.
    pub(super) fn search_order<'a>(&self, group: &'a Group) -> &'a [MemberId] {
        if self.is_wide(group) { &group.preferred } else { &group.members }
    }

    /// Usable, and not known to be a replica since the primary was lost. Otherwise the writes of a wide group would use
    /// up their attempts on the same replicas. The cost: a primary that was promoted after it said that it is a replica
    /// is found only in the next round.
    pub(super) fn may_be_primary(&self, now: Micros, group: &Group, id: MemberId) -> bool {
        let heard = group.primary.map_or(Micros::MIN, |primary| self.members[primary].last_heard_at);
        self.members[id].not_primary_at <= group.search.round_started_at.max(heard) && self.is_usable(now, id)
    }

    /// Looks on for the primary of a group in which requests are held: the members that may be it are asked
    /// one after another, in an order that differs from router to router; once none is left all may be it
    /// again. In a wide group writes alone do not reach the primary within their time. The cost: members get one health
    /// check from each router in a round, which the pace bounds.
    pub(super) fn search_primary(&mut self, now: Micros, group: usize) {
        let searched = &self.groups[group];
        if searched.members.is_empty() || !self.lacks_primary(now, searched) {
            return;
        }
        let may_be = |&id: &MemberId| self.may_be_primary(now, searched, id);
        if !searched.members.iter().any(may_be) {
            let search = &mut self.groups[group].search;
            search.round_started_at = now;
            search.next_position = 0;
        }
        if self.config.health_checks_allowed && self.is_wide(&self.groups[group]) {
            self.check_candidates(now, group);
        }
    }

    /// How many more health checks the search of this group may wait for. A router that looks for the primaries of many
    /// groups at once would otherwise use up descriptors, and crowd members with checks, faster than they answer. The
    /// cost: such a search takes longer.
    fn search_slots(&self, now: Micros, group: usize) -> usize {
        let searched = |group: &&Group| {
            self.is_wide(group) && !group.queued.is_empty() && self.lacks_primary(now, group)
        };
        let searches = self.groups.iter().filter(searched).count();
        let awaited = |id: &&MemberId| {
            let Member { health_check_in_flight, last_health_check_at, .. } = self.members[**id];
            health_check_in_flight && now - last_health_check_at < SEARCH_CHECK_TIMEOUT
        };
        let in_flight = self.groups[group].members.iter().filter(awaited).count();
        (MAX_SEARCH_CHECKS_IN_FLIGHT / searches.max(1)).max(1).saturating_sub(in_flight)
    }

    /// The health checks that are due in this beat.
    fn check_candidates(&mut self, now: Micros, group: usize) {
        let slots = self.search_slots(now, group) as f64;
        let count = self.groups[group].members.len();
        let checks_per_member =
            SEARCH_CHECKS_PER_SECOND * SEARCH_ROUND as f64 / (1_000 * MS) as f64 / self.config.routers as f64;
        let due = count as f64 * checks_per_member.min(1.0) * TICK as f64 / SEARCH_ROUND as f64;
        let search = &mut self.groups[group].search;
        search.saved_health_checks = (search.saved_health_checks + due).min(due.max(1.0)).min(slots);
        for _ in 0..count {
            let searched = &self.groups[group];
            if searched.search.saved_health_checks < 1.0 {
                return;
            }
            let at = searched.search.next_position % count;
            self.groups[group].search.next_position = at + 1;
            self.check_candidate(now, group, at);
        }
    }

    fn check_candidate(&mut self, now: Micros, group: usize, at: usize) {
        let searched = &self.groups[group];
        let id = self.search_order(searched)[at];
        let Member { status: standing, health_check_in_flight, last_health_check_at, .. } = self.members[id];
        let early = health_check_in_flight || now - last_health_check_at < SEARCH_ROUND;
        if standing != MemberStatus::Ready || early || !self.may_be_primary(now, searched, id) {
            return;
        }
        let searched = &mut self.groups[group];
        searched.search.saved_health_checks -= 1.0;
        // Writes keep their attempts for the member that the health checks find.
        searched.search_after = searched.search_after.max(now + SEARCH_ROUND);
        let member = &mut self.members[id];
        member.health_check_in_flight = true;
        member.last_health_check_at = now;
        self.actions.health_checks.push(id);
    }
}
