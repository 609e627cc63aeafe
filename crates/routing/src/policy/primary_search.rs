//! The search for a group's primary: through writes that reach replicas, the answers to reads, and health
//! checks, until a member reports that it is the primary.

use super::{MS, TICK};
use crate::state::{Group, Member, Router};
use crate::{MemberId, MemberStatus, Micros};

/// Maximum number of health checks that one member gets in a second from the searches of all routers
/// together.
const MEMBER_SEARCH_CHECKS_PER_SECOND: f64 = 60.0;
/// Minimum duration of a round of health checks, in microseconds.
const MIN_SEARCH_ROUND: Micros = 600 * MS;
/// Maximum number of health checks that the searches of one router wait for at a time, in all groups
/// together. It is less than half of the about 87 connections to members that the lowest usual descriptor
/// limit (256) allows.
const MAX_SEARCH_CHECKS_IN_FLIGHT: usize = 32;
/// Time for which a search waits for the answer to a health check, in microseconds. It is far longer than an
/// overloaded member takes, as checks that are sent before then only add to its load. The cost: in a search
/// of many groups, each member that has vanished may delay its group for this long.
const SEARCH_CHECK_TIMEOUT: Micros = 1_000 * MS;

impl Router {
    /// Returns whether the group is large: it has more members than a request has attempts, so one round of
    /// attempts that reach replicas covers only a part of it.
    pub(super) fn is_large_group(&self, group: &Group) -> bool {
        group.members.len() > self.config.max_attempts as usize
    }

    /// Returns whether the group has no believed primary, or has one that cannot be reached or does not
    /// answer.
    pub(super) fn lacks_primary(&self, now: Micros, group: &Group) -> bool {
        group.primary.is_none_or(|id| self.is_unresponsive(now, id))
    }

    /// Returns the order in which the members of a group are asked whether they are the primary: by name, or
    /// by this router's preference in a large group.
    ///
    /// By name alone, all routers would ask the first members of a large group at once, and would not start
    /// with the members that they have connections to.
    pub(super) fn search_order<'a>(&self, group: &'a Group) -> &'a [MemberId] {
        if self.is_large_group(group) { &group.by_preference } else { &group.members }
    }

    /// Returns whether the member is usable and is not known to be a replica since the primary was lost.
    ///
    /// Otherwise the writes of a large group would use up their attempts on the same replicas. The cost: a
    /// primary that was promoted after it reported itself a replica is found only in the next round.
    pub(super) fn may_be_primary(&self, now: Micros, group: &Group, id: MemberId) -> bool {
        let primary_heard_at =
            group.primary.map_or(Micros::MIN, |primary| self.members[primary].last_heard_at);
        self.members[id].not_primary_at <= group.search.round_started_at.max(primary_heard_at)
            && self.is_usable(now, id)
    }

    /// Continues the search for the primary of a group with queued requests. Members that may be the primary
    /// are asked one after another, in an order that differs between routers. Once none is left, the next
    /// round starts, in which all of them may be the primary again.
    ///
    /// Health checks are sent in a large group, because writes alone do not reach its primary before their
    /// deadlines. The cost: members get one health check from each router in a round, at a limited rate.
    pub(super) fn advance_primary_search(&mut self, now: Micros, group: usize) {
        let searched = &self.groups[group];
        if searched.members.is_empty() || !self.lacks_primary(now, searched) {
            return;
        }
        let is_candidate = |&id: &MemberId| self.may_be_primary(now, searched, id);
        if !searched.members.iter().any(is_candidate) {
            let search = &mut self.groups[group].search;
            search.round_started_at = now;
            search.next_index = 0;
        }
        if self.config.health_checks_allowed && self.is_large_group(&self.groups[group]) {
            self.check_candidates(now, group);
        }
    }

    /// Returns how many more health checks the search of this group may wait for.
    ///
    /// Without this limit, a router that searches for the primaries of many groups at once would use up
    /// descriptors, and would overload members with checks faster than they answer. The cost: such a search
    /// takes longer.
    fn search_slots(&self, now: Micros, group: usize) -> usize {
        let searched = |group: &&Group| {
            self.is_large_group(group) && !group.queued.is_empty() && self.lacks_primary(now, group)
        };
        let search_count = self.groups.iter().filter(searched).count();
        let is_awaited = |id: &&MemberId| {
            let Member { health_check_in_flight, last_health_check_at, .. } = self.members[**id];
            health_check_in_flight && now - last_health_check_at < SEARCH_CHECK_TIMEOUT
        };
        let in_flight = self.groups[group].members.iter().filter(is_awaited).count();
        (MAX_SEARCH_CHECKS_IN_FLIGHT / search_count.max(1)).max(1).saturating_sub(in_flight)
    }

    /// Sends the health checks that are due in this tick.
    fn check_candidates(&mut self, now: Micros, group: usize) {
        let slots = self.search_slots(now, group) as f64;
        let count = self.groups[group].members.len();
        let checks_per_member = MEMBER_SEARCH_CHECKS_PER_SECOND * MIN_SEARCH_ROUND as f64
            / (1_000 * MS) as f64
            / self.config.routers as f64;
        let due = count as f64 * checks_per_member.min(1.0) * TICK as f64 / MIN_SEARCH_ROUND as f64;
        let search = &mut self.groups[group].search;
        search.saved_health_checks = (search.saved_health_checks + due).min(due.max(1.0)).min(slots);
        for _ in 0..count {
            let searched = &self.groups[group];
            if searched.search.saved_health_checks < 1.0 {
                return;
            }
            let index = searched.search.next_index % count;
            self.groups[group].search.next_index = index + 1;
            self.check_candidate(now, group, index);
        }
    }

    /// Sends a health check to the member at `index` of the search order, if it may be the primary and was
    /// not checked within [`MIN_SEARCH_ROUND`].
    fn check_candidate(&mut self, now: Micros, group: usize, index: usize) {
        let searched = &self.groups[group];
        let id = self.search_order(searched)[index];
        let Member { status, health_check_in_flight, last_health_check_at, .. } = self.members[id];
        let too_early = health_check_in_flight || now - last_health_check_at < MIN_SEARCH_ROUND;
        if status != MemberStatus::Ready || too_early || !self.may_be_primary(now, searched, id) {
            return;
        }
        let searched = &mut self.groups[group];
        searched.search.saved_health_checks -= 1.0;
        // Writes save their attempts for the member that the health checks find.
        searched.search_after = searched.search_after.max(now + MIN_SEARCH_ROUND);
        let member = &mut self.members[id];
        member.health_check_in_flight = true;
        member.last_health_check_at = now;
        self.actions.health_checks.push(id);
    }
}
