//! The member that a read goes to: a replica in the own or another zone that is proven fresh enough, or the
//! primary.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::TICK;
use super::concurrency_limit::MAX_FLEET_LIMIT;
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use crate::state::{Member, PendingRequest, RequestHandle, Router};
use crate::{MemberId, Micros, Need, ReadShift, RequestClass};

/// A member that a read may go to, and the number of attempts that it has capacity for.
#[derive(Clone, Copy)]
struct Candidate {
    member: MemberId,
    capacity: f64,
}

/// The members that a read may be sent to.
struct ReadOptions {
    /// The position on the members' clock that a member must have reached; `Micros::MIN` if any will do.
    floor: Micros,
    /// The believed primary.
    primary: Option<MemberId>,
    /// The primary, if the read may go to it and it has itself reported that it is the primary.
    confirmed_primary: Option<MemberId>,
    /// The confirmed primary, if it is owed attempts beyond those that it had. `None` unless the fleet is
    /// large.
    deficit_primary: Option<MemberId>,
    /// The other members that the read may go to.
    replicas: Vec<MemberId>,
    /// Replicas, and the primary if it is owed attempts, that have capacity. If the round trip to any of them
    /// is short enough, those with too long a round trip are left out.
    candidates: Vec<Candidate>,
}

/// Draws one of the candidates at random, weighted by capacity.
fn choose_by_capacity(rng: &mut Pcg64Mcg, candidates: &[Candidate]) -> Option<MemberId> {
    candidates.choose_weighted(rng, |candidate| candidate.capacity).ok().map(|candidate| candidate.member)
}

impl Router {
    /// Sets the share of this zone's reads that goes to other zones, by group. Groups that are not named are
    /// routed without a shift.
    ///
    /// A read shift only changes the weights of the random choice among the members that a read may go to
    /// anyway. It protects the members of a zone that is full or coming back from overload. The cost: while
    /// the directive is out of date, each shifted read crosses zones for nothing.
    pub fn set_read_shifts(&mut self, shifts: &HashMap<u64, ReadShift>) {
        for (name, &group) in &self.group_ids {
            self.groups[group].read_shift = shifts.get(name).cloned().unwrap_or_default();
        }
    }

    /// Returns a random replica that is proven fresh enough, otherwise a fallback such as the primary. `None`
    /// if the read has to wait. In a large fleet, the replica is drawn first, then its freshness is checked.
    pub(super) fn read_target(&mut self, now: Micros, handle: RequestHandle, need: Need) -> Option<MemberId> {
        let pending = &self.pending_requests[&handle];
        let awaited_report_before = pending.awaited_report;
        let floor = self.position_floor(now, pending, need);
        let is_long = need == Need::Any && self.is_long_read(pending.request.class);
        let options = self.read_options(now, pending, floor, is_long);
        if is_long {
            // All routers choose the same replica: the last one by name that has capacity.
            let is_replica = |candidate: &&Candidate| Some(candidate.member) != options.primary;
            return options.candidates.iter().rev().find(is_replica).map(|candidate| candidate.member);
        }
        let mut fresh = options.candidates.clone();
        fresh.retain(|candidate| self.is_fresh(&options, candidate.member));
        let drawn = if self.in_large_fleet() && !awaited_report_before {
            self.draw_member(&options.candidates)
        } else {
            None
        };
        let drawn_if_fresh = drawn.filter(|&id| self.is_fresh(&options, id));
        let target = drawn_if_fresh.or_else(|| self.draw_member(&fresh));
        let fallback = self.fallback_target(now, &options);
        let mut stale = options.replicas.clone();
        stale.retain(|&id| !self.is_fresh(&options, id));
        let is_nearly_full =
            |id| self.available_capacity(now, id) < self.members[id].concurrency_limit.floor() * 0.7;
        let drawn_is_stale = drawn.is_some_and(|id| stale.contains(&id));
        if stale.is_empty() || !drawn_is_stale && !target.is_none_or(is_nearly_full) {
            return target.or(fallback);
        }
        self.check_stale(now, &stale, drawn, floor);
        let must_wait = (target.is_none() || drawn_is_stale) && self.awaits_report(now, &stale);
        self.pending_requests
            .get_mut(&handle)
            .expect("a request is pending while it is routed")
            .awaited_report |= must_wait;
        if must_wait { None } else { target.or(fallback) }
    }

    /// Collects the members that the read may go to. Blacklisted members, and the member of its last attempt,
    /// are left out if others remain.
    fn read_options(
        &self,
        now: Micros,
        pending: &PendingRequest,
        floor: Micros,
        is_long: bool,
    ) -> ReadOptions {
        let mut allowed = self.read_subset(now, pending, floor, is_long);
        let is_not_avoided =
            |id: MemberId| self.members[id].blacklist.allows(now) && Some(id) != pending.last_member;
        if allowed.iter().any(|&id| is_not_avoided(id)) {
            allowed.retain(|&id| is_not_avoided(id));
        }
        let group = &self.groups[pending.group];
        let primary = group.primary;
        let confirmed_primary =
            primary.filter(|id| allowed.contains(id) && self.members[*id].confirmed_primary);
        let deficit_primary =
            confirmed_primary.filter(|_| self.in_large_fleet() && group.primary_deficit > 0.0);
        let replicas: Vec<MemberId> = allowed.into_iter().filter(|&id| Some(id) != primary).collect();
        let drawable = replicas.iter().copied().chain(deficit_primary);
        let candidates =
            drawable.map(|member| Candidate { member, capacity: self.available_capacity(now, member) });
        let mut candidates: Vec<Candidate> =
            candidates.filter(|candidate| candidate.capacity > 0.0).collect();
        let is_near = |candidate: &Candidate| {
            !self.is_round_trip_too_long(now, candidate.member, pending.request.class)
        };
        if candidates.iter().any(is_near) {
            candidates.retain(is_near);
        }
        ReadOptions { floor, primary, confirmed_primary, deficit_primary, replicas, candidates }
    }

    /// Returns whether the member is fresh enough for the read. A primary that is owed attempts always counts
    /// as fresh.
    fn is_fresh(&self, options: &ReadOptions, id: MemberId) -> bool {
        Some(id) == options.deficit_primary || self.members[id].position >= options.floor
    }

    /// Returns where a read goes when no replica is proven fresh: to the primary if it has spare capacity,
    /// otherwise, if members check freshness themselves, to the newest replica that may have caught up.
    fn fallback_target(&self, now: Micros, options: &ReadOptions) -> Option<MemberId> {
        let has_spare_capacity = |id: MemberId| {
            let limit = self.members[id].concurrency_limit;
            let max_limit = MAX_FLEET_LIMIT / self.config.routers as f64;
            self.available_capacity(now, id) > limit.floor() * 0.3
                && (!self.in_large_fleet() || limit * 3.0 > max_limit)
        };
        let primary = options.confirmed_primary.filter(|&id| has_spare_capacity(id));
        if !self.config.members_check_freshness || primary.is_some() {
            return primary;
        }
        // A replica that has just reported how far behind it is would reject the read, or hold it for
        // nothing.
        let may_be_fresh = |id: MemberId| {
            now - self.members[id].last_heard_at >= self.catch_up_check_interval(id, options.floor)
        };
        let can_take = |&id: &MemberId| may_be_fresh(id) && self.available_capacity(now, id) > 0.0;
        options.replicas.iter().copied().filter(can_take).max_by_key(|&id| self.members[id].position)
    }

    /// Sends a health check to one stale replica at a time: to the drawn one if it is due, otherwise to a
    /// random one that is.
    fn check_stale(&mut self, now: Micros, stale: &[MemberId], drawn: Option<MemberId>, floor: Micros) {
        if self.awaits_report(now, stale) {
            return;
        }
        let is_due = |id: &MemberId| {
            now - self.members[*id].last_health_check_at >= self.catch_up_check_interval(*id, floor)
        };
        let due_members: Vec<MemberId> = stale.iter().copied().filter(is_due).collect();
        let checked = drawn
            .filter(|id| due_members.contains(id))
            .or_else(|| due_members.choose(&mut self.rng).copied());
        if let Some(id) = checked {
            self.try_health_check(now, id, URGENT_HEALTH_CHECK_INTERVAL);
        }
    }

    /// Returns whether a report of one of the stale replicas is due at any moment. A read waits for it before
    /// it adds load to the primary.
    fn awaits_report(&self, now: Micros, stale: &[MemberId]) -> bool {
        let is_awaited =
            |member: &Member| member.health_check_in_flight && now - member.last_health_check_at < TICK;
        stale.iter().any(|&id| is_awaited(&self.members[id]))
    }

    /// Returns whether reads of the class take so long that all of them go to one replica.
    ///
    /// This protects the freshness of the other replicas: a few long reads in a row delay a replica's log for
    /// longer than reads with a staleness bound tolerate. The cost: long reads take longer if that replica is
    /// slow, and are confined to it even if they delay nothing. In a large fleet, a router cannot see how
    /// loaded that replica is, so it applies the whole bound to a single read.
    pub(super) fn is_long_read(&self, class: usize) -> bool {
        let typical_duration = |class: usize| self.durations[class].quantile(0.5).unwrap_or(0);
        let recent_bound =
            |class: &RequestClass| if let Need::Recent(bound) = class.need { Some(bound) } else { None };
        let bound = self.config.classes.iter().filter_map(recent_bound).min();
        let shortest_typical_duration = (0..self.durations.len()).map(typical_duration).min().unwrap_or(0);
        let consecutive_reads = if self.in_large_fleet() { 1 } else { 3 };
        bound.is_some_and(|bound| {
            typical_duration(class) > (bound / consecutive_reads).max(3 * shortest_typical_duration)
        })
    }

    /// Returns whether, by recent health checks, the round trip to the member is so long that answers would
    /// come too late.
    ///
    /// This protects reads from a slow link. The cost: members behind the link lose their reads if they are
    /// checked just as a neighbouring member dies.
    pub(super) fn is_round_trip_too_long(&self, now: Micros, id: MemberId, class: usize) -> bool {
        let zone = self.members[id].zone;
        let typical_duration = self.durations[class].quantile(0.5).unwrap_or(0);
        let mut round_trip = self.round_trip_to(now, id);
        if zone != self.config.zone {
            let to_zone = self.zone_round_trips.get(&zone).copied().unwrap_or_default();
            round_trip = round_trip.max(to_zone.recent_estimate(now));
        }
        round_trip + typical_duration > self.config.classes[class].objective / 2
    }

    /// Draws a member at random, weighted by capacity.
    ///
    /// If crossing zones has a cost, the own zone is preferred: in a large fleet, only to the extent that the
    /// zone's members can carry if all zones send alike.
    fn draw_member(&mut self, candidates: &[Candidate]) -> Option<MemberId> {
        let (own_zone, other_zones): (Vec<Candidate>, Vec<Candidate>) =
            candidates.iter().partition(|candidate| self.members[candidate.member].zone == self.config.zone);
        if let Some(id) = self.draw_by_read_shift(candidates, &other_zones) {
            return Some(id);
        }
        let total_capacity = |of: &[Candidate]| of.iter().map(|candidate| candidate.capacity).sum::<f64>();
        let own_zone_probability = if self.in_large_fleet() {
            total_capacity(&own_zone) / total_capacity(candidates) * self.config.zones as f64
        } else {
            1.0
        };
        let prefers_own_zone =
            self.config.cross_zone_cost > 0.0 && !own_zone.is_empty() && !other_zones.is_empty();
        let pool = if prefers_own_zone && self.rng.random::<f64>() < own_zone_probability {
            &own_zone
        } else {
            candidates
        };
        choose_by_capacity(&mut self.rng, pool)
    }

    /// Draws a member of another zone if the group's read shift sends this read away, otherwise returns
    /// `None`.
    fn draw_by_read_shift(
        &mut self,
        candidates: &[Candidate],
        other_zones: &[Candidate],
    ) -> Option<MemberId> {
        let group = self.members[candidates.first()?.member].group;
        let read_shift = &self.groups[group].read_shift;
        if read_shift.remote_share <= 0.0 || self.rng.random::<f64>() >= read_shift.remote_share {
            return None;
        }
        let weighted = |candidate: &Candidate| {
            let weight =
                read_shift.zone_weights.get(&self.members[candidate.member].zone).copied().unwrap_or(0.0);
            Candidate { capacity: candidate.capacity * weight, ..*candidate }
        };
        let weighted: Vec<Candidate> = other_zones.iter().map(weighted).collect();
        choose_by_capacity(&mut self.rng, &weighted)
    }

    /// Returns whether a read may go to the member at all.
    pub(super) fn may_read_from(&self, now: Micros, pending: &PendingRequest, id: MemberId) -> bool {
        self.drops_repeats(pending, id) && self.is_usable(now, id)
    }
}
