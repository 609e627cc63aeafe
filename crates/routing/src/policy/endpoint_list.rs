//! The endpoint list: members that come, change, drain and go.

use std::collections::HashSet;

use rand::Rng;

use super::MS;
use super::blacklist::FAILURE_WINDOW;
use super::concurrency_limit::{INITIAL_FLEET_LIMIT, MAX_FLEET_LIMIT};
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use crate::state::{Member, Router};
use crate::{Actions, ListedMember, ListedRoles, MemberId, Micros, Standing};

/// A primary reported longer ago than that is overruled by a list whose roles follow changes late.
const LISTED_ROLES_LAG: Micros = 1_000 * MS;

impl Router {
    /// Takes in an endpoint list, or with `full` unset an update of one: members that it does not name are
    /// gone only where it is full.
    pub fn list(&mut self, now: Micros, full: bool, lines: Vec<ListedMember>) -> Actions {
        // The list held at the start is no answer to a request.
        if !self.members.is_empty() {
            self.list_subscription.received();
        }
        let listed: HashSet<&str> = lines.iter().map(|line| line.name.as_str()).collect();
        for id in 0..self.members.len() {
            if full && !listed.contains(self.members[id].name.as_str()) {
                self.set_standing(now, id, Standing::Gone);
            }
        }
        if self.members.is_empty() {
            self.mean_size = lines.iter().map(|line| line.size).sum::<f64>() / lines.len().max(1) as f64;
        }
        let slots = lines.iter().map(|line| line.member + 1).max().unwrap_or(0);
        self.members.resize_with(slots.max(self.members.len()), Member::default);
        for line in lines {
            self.list_line(now, line);
        }
        self.route_all_queued(now);
        self.take_actions()
    }

    /// Takes in one line: a new member, or what changed of a known one.
    fn list_line(&mut self, now: Micros, line: ListedMember) {
        let group = self.group(line.group);
        let slow_start_credit = self.initial_saved_attempts() + f64::from(line.since.is_none());
        let id = line.member;
        let known = self.members[id].group == group && self.members[id].name == line.name;
        if !known {
            self.add_member(now, group, &line);
        }
        let member = &mut self.members[id];
        if !known || member.started_at != line.since && line.standing == Standing::Ready {
            member.blacklist.lift(now);
            member.confirmed_primary = false;
            member.started_at = line.since;
            member.saved_attempts = slow_start_credit;
            member.saved_at = now;
        }
        self.set_standing(now, id, line.standing);
        if !known && !self.is_one_of_many() && !self.uses_subset() {
            self.health_check_budget.earn_for_new_member();
            self.try_health_check(now, id, URGENT_HEALTH_CHECK_INTERVAL);
        }
        if line.primary && line.standing == Standing::Ready {
            self.learn_listed_primary(now, group, id);
        }
    }

    fn add_member(&mut self, now: Micros, group: usize, line: &ListedMember) {
        let drivers = self.terms.drivers as f64;
        let size = line.size / self.mean_size;
        let concurrency_limit = if self.is_one_of_many() {
            MAX_FLEET_LIMIT / drivers * size
        } else {
            (INITIAL_FLEET_LIMIT / drivers).max(1.0)
        };
        self.members[line.member] = Member {
            name: line.name.clone(),
            group,
            zone: line.zone,
            size,
            concurrency_limit,
            position: Micros::MIN,
            not_primary_at: Micros::MIN,
            last_heard_at: now,
            last_answered_at: now,
            ..Member::default()
        };
        self.add_to_group(group, line.member);
    }

    /// The list says that the member is its group's primary, which is believed as far as the list is.
    fn learn_listed_primary(&mut self, now: Micros, group: usize, id: MemberId) {
        let group = &mut self.groups[group];
        if group.listed_primary == Some(id) {
            return;
        }
        let first = group.listed_primary.replace(id).is_none();
        let trusted = match self.terms.listed_roles {
            ListedRoles::Late => first || now - group.primary_reported_at > LISTED_ROLES_LAG,
            ListedRoles::AtStart => first && group.primary.is_none(),
            ListedRoles::Never => false,
        };
        if trusted {
            group.primary = Some(id);
        }
    }

    /// Sets whether a member is ready, draining or gone; a primary that is not ready is no longer believed.
    pub(super) fn set_standing(&mut self, now: Micros, id: MemberId, standing: Standing) {
        self.members[id].standing = standing;
        self.members[id].confirmed_primary &= standing == Standing::Ready;
        let hold = self.search_hold();
        let group = &mut self.groups[self.members[id].group];
        if standing != Standing::Ready && group.primary == Some(id) {
            // All routers are notified at once, but their searches are not to begin at once.
            group.primary = None;
            group.search_after = now + self.rng.random_range(0..hold);
            group.search.round_started_at = now;
        }
    }

    /// Forgets a member that is gone, once nothing of it is in flight and it was not heard for long, and says
    /// whether it did: its index may then be given out anew, and one that comes back is another member.
    pub fn forget(&mut self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let quiet = member.in_flight.is_empty()
            && !member.health_check_in_flight
            && now - member.last_heard_at > FAILURE_WINDOW;
        let forgotten = member.standing == Standing::Gone && quiet;
        if forgotten {
            let group = &mut self.groups[member.group];
            group.members.retain(|&member| member != id);
            group.preferred.retain(|&member| member != id);
            group.listed_primary = group.listed_primary.filter(|&listed| listed != id);
            self.members[id] = Member::default();
        }
        forgotten
    }

    /// Discovery did not answer: the list is asked for again after a backoff.
    pub fn list_unavailable(&mut self, now: Micros) -> Actions {
        self.list_subscription.failed(now, &mut self.rng);
        self.take_actions()
    }
}
