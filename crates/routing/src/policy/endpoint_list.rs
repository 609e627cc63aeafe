//! Updates from the endpoint list: members that are added, change, drain and leave.

use std::collections::HashSet;

use rand::Rng;

use super::DrainRecord;
use super::MS;
use super::blacklist::FAILURE_WINDOW;
use super::concurrency_limit::{INITIAL_FLEET_LIMIT, MAX_FLEET_LIMIT};
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use crate::state::{Member, Router};
use crate::{Actions, ListedMember, ListedRoles, MemberId, MemberStatus, Micros};

/// Age from which a report of a primary is overruled by a list whose roles follow changes with a delay, in
/// microseconds.
const LISTED_ROLES_LAG: Micros = 1_000 * MS;

impl Router {
    /// Applies an endpoint list, or an update of one if `is_full` is false. Members that it does not name
    /// have left only if it is full.
    pub fn update_endpoint_list(
        &mut self,
        now: Micros,
        is_full: bool,
        entries: Vec<ListedMember>,
    ) -> Actions {
        // The list held at the start is not the answer to a subscription.
        if !self.members.is_empty() {
            self.list_subscription.received();
        }
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        for id in 0..self.members.len() {
            if is_full && !listed.contains(self.members[id].name.as_str()) {
                self.set_status(now, id, MemberStatus::Unlisted);
            }
        }
        if self.members.is_empty() {
            self.mean_size =
                entries.iter().map(|entry| entry.size).sum::<f64>() / entries.len().max(1) as f64;
        }
        let member_count = entries.iter().map(|entry| entry.member + 1).max().unwrap_or(0);
        self.members.resize_with(member_count.max(self.members.len()), Member::default);
        for entry in entries {
            self.apply_list_entry(now, entry);
        }
        self.route_all_queued(now);
        self.take_actions()
    }

    /// Applies one entry: adds a new member, or updates a known one.
    fn apply_list_entry(&mut self, now: Micros, entry: ListedMember) {
        let group = self.group_index(entry.group);
        let initial_saved_attempts = self.initial_saved_attempts() + f64::from(entry.started_at.is_none());
        let id = entry.member;
        let is_known = self.members[id].group == group && self.members[id].name == entry.name;
        if !is_known {
            self.add_member(now, group, &entry);
        }
        let member = &mut self.members[id];
        member.drain_record.record(entry.status, entry.listed_start);
        if !is_known || member.started_at != entry.started_at && entry.status == MemberStatus::Ready {
            member.blacklist.lift(now);
            member.confirmed_primary = false;
            member.started_at = entry.started_at;
            member.saved_attempts = initial_saved_attempts;
            member.saved_at = now;
        }
        self.set_status(now, id, entry.status);
        if !is_known && !self.in_large_fleet() && !self.uses_subset() {
            self.health_check_budget.earn_for_new_member();
            self.try_health_check(now, id, URGENT_HEALTH_CHECK_INTERVAL);
        }
        if entry.is_primary && self.is_ready(id) {
            self.learn_listed_primary(now, group, id);
        }
    }

    /// Adds a member to the group, and replaces any state that was kept under the member's index. A member that has
    /// moved from another group keeps the record of its drains.
    fn add_member(&mut self, now: Micros, group: usize, entry: &ListedMember) {
        let routers = self.config.routers as f64;
        let size = entry.size / self.mean_size;
        let concurrency_limit = if self.in_large_fleet() {
            MAX_FLEET_LIMIT / routers * size
        } else {
            (INITIAL_FLEET_LIMIT / routers).max(1.0)
        };
        let replaced = &self.members[entry.member];
        let has_moved = replaced.name == entry.name;
        let drain_record = if has_moved { replaced.drain_record } else { DrainRecord::default() };
        self.members[entry.member] = Member {
            name: entry.name.clone(),
            group,
            zone: entry.zone,
            size,
            concurrency_limit,
            drain_record,
            position: Micros::MIN,
            not_primary_at: Micros::MIN,
            last_heard_at: now,
            last_answered_at: now,
            ..Member::default()
        };
        self.add_to_group(group, entry.member);
    }

    /// Takes a member that the list names as its group's primary for the primary, as far as listed roles are
    /// trusted.
    fn learn_listed_primary(&mut self, now: Micros, group: usize, id: MemberId) {
        let group = &mut self.groups[group];
        if group.listed_primary == Some(id) {
            return;
        }
        let is_first = group.listed_primary.replace(id).is_none();
        let is_trusted = match self.config.listed_roles {
            ListedRoles::Delayed => is_first || now - group.primary_reported_at > LISTED_ROLES_LAG,
            ListedRoles::Initial => is_first && group.primary.is_none(),
            ListedRoles::Absent => false,
        };
        if is_trusted {
            group.primary = Some(id);
        }
    }

    /// Sets the status of a member to the listed one, unless an earlier drain still binds. A primary that is not ready
    /// is no longer believed to be one.
    fn set_status(&mut self, now: Micros, id: MemberId, listed_status: MemberStatus) {
        let status = self.status_after_drains(id, listed_status);
        self.members[id].status = status;
        self.members[id].is_listed = listed_status != MemberStatus::Unlisted;
        self.members[id].confirmed_primary &= status == MemberStatus::Ready;
        let search_hold = self.search_hold();
        let group = &mut self.groups[self.members[id].group];
        if status != MemberStatus::Ready && group.primary == Some(id) {
            // All routers are notified at once, so a random delay keeps their searches from starting at the
            // same time.
            group.primary = None;
            group.search_after = now + self.rng.random_range(0..search_hold);
            group.search.round_started_at = now;
        }
    }

    /// Forgets a member that has left the list, once nothing is in flight at it and it was not heard from for
    /// long. Returns whether it did so: the member's index may then be assigned again, and a member that
    /// comes back counts as another one.
    pub fn forget_member(&mut self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let is_idle = member.in_flight.is_empty()
            && !member.health_check_in_flight
            && now - member.last_heard_at > FAILURE_WINDOW;
        let is_forgotten = !member.is_listed && is_idle;
        if is_forgotten {
            let group = &mut self.groups[member.group];
            group.members.retain(|&member| member != id);
            group.by_preference.retain(|&member| member != id);
            group.listed_primary = group.listed_primary.filter(|&listed| listed != id);
            self.members[id] = Member::default();
        }
        is_forgotten
    }

    /// Handles a failure of discovery: the next subscription to the list is due after a backoff.
    pub fn list_unavailable(&mut self, now: Micros) -> Actions {
        self.list_subscription.failed(now, &mut self.rng);
        self.take_actions()
    }
}
