//! The member that a read goes to: replicas proven fresh enough, near and far.

use std::collections::HashMap;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::TICK;
use super::concurrency_limit::MAX_FLEET_LIMIT;
use super::health_checks::HEALTH_CHECK_NEEDED;
use crate::state::{Member, PendingRequest, RequestHandle, Router};
use crate::{DeduplicationScope, Effect, MemberId, Micros, Need, ReadShift, RequestClass};

/// A member that a read may go to, and the attempts that it has room for.
#[derive(Clone, Copy)]
struct Candidate {
    member: MemberId,
    room: f64,
}

/// What a read may be sent to.
struct ReadChoice {
    /// The position that a member must have reached.
    floor: Micros,
    primary: Option<MemberId>,
    /// The primary, where the read may go there and it has said itself that it is the primary.
    confirmed_primary: Option<MemberId>,
    /// The same, where it is due attempts beyond those that it had.
    owed_primary: Option<MemberId>,
    replicas: Vec<MemberId>,
    /// Those with room, and only those on a short way where there are any.
    candidates: Vec<Candidate>,
}

/// One of the candidates by chance, weighed by their room.
fn choose(rng: &mut Pcg64Mcg, candidates: &[Candidate]) -> Option<MemberId> {
    candidates.choose_weighted(rng, |candidate| candidate.room).ok().map(|candidate| candidate.member)
}

impl Router {
    /// Sets what part of the own zone's reads goes to other zones, by group; groups that are not named keep
    /// to their own choice.
    ///
    /// It weighs what the draw leaves open, and opens nothing. Guards against crowding the members of a full
    /// or returning zone; costs reads a crossing each when the directive is out of date.
    pub fn shift_reads(&mut self, shifts: &HashMap<u64, ReadShift>) {
        for (name, &group) in &self.group_ids {
            self.groups[group].read_shift = shifts.get(name).cloned().unwrap_or_default();
        }
    }

    /// A random replica proven fresh enough, else the primary. A router among many draws first, then checks
    /// what it drew. None where the read has to wait.
    pub(super) fn read_target(&mut self, now: Micros, handle: RequestHandle, need: Need) -> Option<MemberId> {
        let pending = &self.pending_requests[&handle];
        let asked = pending.awaited_report;
        let floor = self.position_floor(now, pending, need);
        let long = need == Need::Any && self.is_long_read(pending.request.class);
        let choice = self.read_choice(now, pending, floor, long);
        if long {
            // All routers alike: the last replica by name that has room.
            let replica = |candidate: &&Candidate| Some(candidate.member) != choice.primary;
            return choice.candidates.iter().rev().find(replica).map(|candidate| candidate.member);
        }
        let mut proven = choice.candidates.clone();
        proven.retain(|candidate| self.is_fresh(&choice, candidate.member));
        let drawn = if self.in_large_fleet() && !asked { self.draw(&choice.candidates) } else { None };
        let fresh_drawn = drawn.filter(|&id| self.is_fresh(&choice, id));
        let target = fresh_drawn.or_else(|| self.draw(&proven));
        let resort = self.last_resort(now, &choice);
        let mut stale = choice.replicas.clone();
        stale.retain(|&id| !self.is_fresh(&choice, id));
        let crowded =
            |id| self.available_capacity(now, id) < self.members[id].concurrency_limit.floor() * 0.7;
        let unsure = drawn.is_some_and(|id| stale.contains(&id));
        if stale.is_empty() || !unsure && !target.is_none_or(crowded) {
            return target.or(resort);
        }
        self.check_stale(now, &stale, drawn, floor);
        let waits = (target.is_none() || unsure) && self.awaits_report(now, &stale);
        self.pending_requests.get_mut(&handle).expect("being placed").awaited_report |= waits;
        if waits { None } else { target.or(resort) }
    }

    /// The members that the read may go to, without those that failed it or are blacklisted where others are
    /// left.
    fn read_choice(&self, now: Micros, pending: &PendingRequest, floor: Micros, long: bool) -> ReadChoice {
        let mut open = self.read_subset(now, pending, floor, long);
        let preferred =
            |id: MemberId| self.members[id].blacklist.allows(now) && Some(id) != pending.last_member;
        if open.iter().any(|&id| preferred(id)) {
            open.retain(|&id| preferred(id));
        }
        let group = &self.groups[pending.group];
        let primary = group.primary;
        let confirmed_primary = primary.filter(|id| open.contains(id) && self.members[*id].confirmed_primary);
        let owed_primary = confirmed_primary.filter(|_| self.in_large_fleet() && group.primary_deficit > 0.0);
        let replicas: Vec<MemberId> = open.into_iter().filter(|&id| Some(id) != primary).collect();
        let drawable = replicas.iter().copied().chain(owed_primary);
        let candidates =
            drawable.map(|member| Candidate { member, room: self.available_capacity(now, member) });
        let mut candidates: Vec<Candidate> = candidates.filter(|candidate| candidate.room > 0.0).collect();
        let at_hand = |candidate: &Candidate| !self.is_too_far(now, candidate.member, pending.request.class);
        if candidates.iter().any(at_hand) {
            candidates.retain(at_hand);
        }
        ReadChoice { floor, primary, confirmed_primary, owed_primary, replicas, candidates }
    }

    fn is_fresh(&self, choice: &ReadChoice, id: MemberId) -> bool {
        Some(id) == choice.owed_primary || self.members[id].position >= choice.floor
    }

    /// Where a read goes when no replica is proven fresh: to the primary where it has room to spare, else,
    /// where members check freshness themselves, to the newest replica that may have caught up.
    fn last_resort(&self, now: Micros, choice: &ReadChoice) -> Option<MemberId> {
        let uncrowded = |id: MemberId| {
            let window = self.members[id].concurrency_limit;
            let most = MAX_FLEET_LIMIT / self.config.routers as f64;
            self.available_capacity(now, id) > window.floor() * 0.3
                && (!self.in_large_fleet() || window * 3.0 > most)
        };
        let primary = choice.confirmed_primary.filter(|&id| uncrowded(id));
        if !self.config.members_check_freshness || primary.is_some() {
            return primary;
        }
        // Not one that has just said how far behind it is: it would reject the read, or hold it for nothing.
        let may_be_fresh = |id: MemberId| {
            now - self.members[id].last_heard_at >= self.catch_up_check_interval(id, choice.floor)
        };
        let usable = |&id: &MemberId| may_be_fresh(id) && self.available_capacity(now, id) > 0.0;
        choice.replicas.iter().copied().filter(usable).max_by_key(|&id| self.members[id].position)
    }

    /// Checks one stale replica at a time: the one that was drawn, else one by chance.
    fn check_stale(&mut self, now: Micros, stale: &[MemberId], drawn: Option<MemberId>, floor: Micros) {
        if self.awaits_report(now, stale) {
            return;
        }
        let due = |id: &MemberId| {
            now - self.members[*id].last_health_check_at >= self.catch_up_check_interval(*id, floor)
        };
        let due: Vec<MemberId> = stale.iter().copied().filter(due).collect();
        let checked = drawn.filter(|id| due.contains(id)).or_else(|| due.choose(&mut self.rng).copied());
        if let Some(id) = checked {
            self.health_check(now, id, HEALTH_CHECK_NEEDED);
        }
    }

    /// A report of one of them is due at any moment: a read waits for it before it burdens the primary.
    fn awaits_report(&self, now: Micros, stale: &[MemberId]) -> bool {
        let awaited =
            |member: &Member| member.health_check_in_flight && now - member.last_health_check_at < TICK;
        stale.iter().any(|&id| awaited(&self.members[id]))
    }

    /// Whether reads of the class last so long that they share one replica.
    ///
    /// Guards the freshness of replicas against reads of which a few in a row hold up their log for longer
    /// than bounded reads bear; costs long reads time when that replica is slow, or when they hold up
    /// nothing. A router among many cannot see a crowd there, and goes by the whole bound.
    pub(super) fn is_long_read(&self, class: usize) -> bool {
        let usual = |class: usize| self.durations[class].quantile(0.5).unwrap_or(0);
        let bound = |o: &RequestClass| if let Need::Recent(bound) = o.need { Some(bound) } else { None };
        let bound = self.config.classes.iter().filter_map(bound).min();
        let least = (0..self.durations.len()).map(usual).min().unwrap_or(0);
        let row = if self.in_large_fleet() { 1 } else { 3 };
        bound.is_some_and(|bound| usual(class) > (bound / row).max(3 * least))
    }

    /// Whether the way to the member has grown so long that answers would come too late, as health checks of
    /// late say.
    ///
    /// Guards reads against a slow link; costs the members beyond it their reads when they are checked just
    /// as a neighbour dies.
    pub(super) fn is_too_far(&self, now: Micros, id: MemberId, class: usize) -> bool {
        let zone = self.members[id].zone;
        let usual = self.durations[class].quantile(0.5).unwrap_or(0);
        let mut way = self.round_trip_to(now, id);
        if zone != self.config.zone {
            let to_zone = self.zone_round_trips.get(&zone).copied().unwrap_or_default();
            way = way.max(to_zone.of_late(now));
        }
        way + usual > self.config.classes[class].objective / 2
    }

    /// A member drawn by its room.
    ///
    /// Where crossing has a price the own zone is preferred; a router among many prefers it for what that
    /// zone's members carry if all zones send alike.
    fn draw(&mut self, candidates: &[Candidate]) -> Option<MemberId> {
        let (near, far): (Vec<Candidate>, Vec<Candidate>) =
            candidates.iter().partition(|candidate| self.members[candidate.member].zone == self.config.zone);
        if let Some(id) = self.draw_shifted(candidates, &far) {
            return Some(id);
        }
        let room = |of: &[Candidate]| of.iter().map(|candidate| candidate.room).sum::<f64>();
        let stays = if self.in_large_fleet() {
            room(&near) / room(candidates) * self.config.zones as f64
        } else {
            1.0
        };
        let priced = self.config.cross_zone_cost > 0.0 && !near.is_empty() && !far.is_empty();
        let drawn_from = if priced && self.rng.random::<f64>() < stays { &near } else { candidates };
        choose(&mut self.rng, drawn_from)
    }

    /// A member of another zone, where the group's read shift sends this read away.
    fn draw_shifted(&mut self, candidates: &[Candidate], far: &[Candidate]) -> Option<MemberId> {
        let group = self.members[candidates.first()?.member].group;
        let shift = &self.groups[group].read_shift;
        if shift.remote_share <= 0.0 || self.rng.random::<f64>() >= shift.remote_share {
            return None;
        }
        let weighed = |candidate: &Candidate| {
            let weight = shift.zone_weights.get(&self.members[candidate.member].zone).copied().unwrap_or(0.0);
            Candidate { room: candidate.room * weight, ..*candidate }
        };
        let weighed: Vec<Candidate> = far.iter().map(weighed).collect();
        choose(&mut self.rng, &weighed)
    }

    /// Whether a read may go to this member at all; one that may have run stays where its repeats are
    /// deduplicated.
    pub(super) fn may_read_from(&self, now: Micros, pending: &PendingRequest, id: MemberId) -> bool {
        let scope = self.config.classes[pending.request.class].effect;
        let zoned = matches!(scope, Effect::Deduplicated { scope: DeduplicationScope::Zone, .. });
        let kept = pending.may_have_run.is_none_or(|first| !zoned || first.zone == self.members[id].zone);
        kept && self.is_usable(now, id)
    }
}
