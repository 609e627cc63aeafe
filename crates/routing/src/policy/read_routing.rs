//! The member that a read goes to: replicas proven fresh enough, near and far.

use std::collections::{BTreeMap, HashMap};

use rand::Rng;
use rand::seq::IndexedRandom;

use super::blacklist::BLACKLISTED_FOR;
use super::concurrency_limit::MOST;
use super::health_checks::HEALTH_CHECK_NEEDED;
use super::{BEAT, HELD_UP};
use crate::state::{Handle, Member, PendingRequest, Router};
use crate::{Effect, MemberId, Micros, Need, RequestClass, Scope};

impl Router {
    /// What the fleet decreed for the own zone, by group: the part of its reads that goes to other zones,
    /// and how much of that to each. It weighs what the draw leaves open, and opens nothing. Protects a
    /// crowded or returning zone's members; harms reads by a crossing each where the decree is out of date.
    pub fn lean(&mut self, leans: HashMap<u64, (f64, BTreeMap<usize, f64>)>) {
        for (name, &group) in &self.group_ids {
            self.groups[group].lean = leans.get(name).cloned().unwrap_or_default();
        }
    }

    /// A random replica proven fresh enough, else the primary. A sparse driver draws first, then asks it.
    pub(super) fn read_target(&mut self, now: Micros, handle: Handle, need: Need) -> Option<MemberId> {
        let pending = &self.pending_requests[&handle];
        let floor = match need {
            Need::Latest => self.members_now(pending.arrived),
            Need::OwnWrites => {
                let told = pending.request.last_write.map(|ago| pending.arrived - ago);
                let members_now = self.members_now(now);
                let floor =
                    |name| self.sessions.get(name).map(|known| known.floor(members_now)).or(self.forgotten);
                let remembered = pending.request.session.as_ref().and_then(floor);
                told.max(remembered).unwrap_or(Micros::MIN)
            }
            Need::Recent(bound) => self.members_now(now) - bound + HELD_UP,
            Need::Loose | Need::Write => Micros::MIN,
        };
        let (group, asked, sparse) = (pending.group, pending.asked, self.sparse());
        let class = pending.request.class;
        let long = need == Need::Loose && self.long(class);
        let mut open = self.readable(now, pending, floor, long);
        if open.iter().any(|&id| now >= self.members[id].blacklisted_until && Some(id) != pending.last) {
            open.retain(|&id| now >= self.members[id].blacklisted_until && Some(id) != pending.last);
        }
        let primary = self.groups[group].primary;
        let seen = primary.filter(|id| open.contains(id) && self.members[*id].seen_primary);
        let replicas: Vec<MemberId> = open.iter().copied().filter(|&id| Some(id) != primary).collect();
        let idle = seen.filter(|_| sparse && self.groups[group].owed > 0.0);
        let drawable = replicas.iter().copied().chain(idle).map(|id| (id, self.room(now, id)));
        let mut rooms: Vec<(MemberId, f64)> = drawable.filter(|&(_, room)| room > 0.0).collect();
        let at_hand = rooms.iter().copied().filter(|&(id, _)| !self.remote(now, id, class));
        let at_hand: Vec<(MemberId, f64)> = at_hand.collect();
        rooms = if at_hand.is_empty() { rooms } else { at_hand };
        if long {
            // All drivers alike: the last replica by sorted id that has room.
            let last = rooms.iter().rev().find(|&&(id, _)| Some(id) != primary);
            return last.map(|&(id, _)| id);
        }
        let fresh = |router: &Router, id| Some(id) == idle || router.members[id].position >= floor;
        let proven: Vec<(MemberId, f64)> = rooms.iter().copied().filter(|&(id, _)| fresh(self, id)).collect();
        let drawn = if sparse && !asked { self.draw(&rooms) } else { None };
        let target = drawn.filter(|&id| fresh(self, id)).or_else(|| self.draw(&proven));
        let uncrowded =
            |id: &MemberId| !sparse || self.members[*id].window * 3.0 > MOST / self.terms.drivers as f64;
        let mut resort =
            seen.filter(|&id| self.room(now, id) > self.members[id].window.floor() * 0.3).filter(uncrowded);
        if self.terms.members_check && resort.is_none() {
            // Not one that has just said how far behind it is: it would turn the read away, or hold it for
            // nothing.
            let may_be = |&id: &MemberId| now - self.members[id].heard >= self.catches_up_in(id, floor);
            let behind = replicas.iter().copied().filter(may_be).filter(|&id| self.room(now, id) > 0.0);
            resort = behind.max_by_key(|&id| self.members[id].position);
        }
        let stale: Vec<MemberId> = replicas.iter().copied().filter(|&id| !fresh(self, id)).collect();
        let crowded = |id| self.room(now, id) < self.members[id].window.floor() * 0.7;
        let unsure = drawn.is_some_and(|id| stale.contains(&id));
        if stale.is_empty() || !unsure && !target.is_none_or(crowded) {
            return target.or(resort);
        }
        // One stale replica at a time is asked; a read waits for its word before it burdens the primary.
        let awaited = |member: &Member| member.health_check_out && now - member.health_checked < BEAT;
        if !stale.iter().any(|&id| awaited(&self.members[id])) {
            let due = |&id: &MemberId| now - self.members[id].health_checked >= self.catches_up_in(id, floor);
            let due: Vec<MemberId> = stale.iter().copied().filter(due).collect();
            let ask = drawn.filter(|id| due.contains(id)).or_else(|| due.choose(&mut self.rng).copied());
            ask.into_iter().for_each(|id| self.health_check(now, id, HEALTH_CHECK_NEEDED));
        }
        let waits = (target.is_none() || unsure) && stale.iter().any(|&id| awaited(&self.members[id]));
        self.pending_requests.get_mut(&handle).expect("being placed").asked |= waits;
        if waits { None } else { target.or(resort) }
    }

    /// Protects the freshness of replicas from reads of which a few in a row hold up their log for longer
    /// than bounded reads bear: these share one replica. Harms them where that one is slow, and where other
    /// long reads hold up nothing; a driver among many cannot see a crowd there, and goes by the whole bound.
    pub(super) fn long(&self, class: usize) -> bool {
        let usual = |class: usize| self.took[class].quantile(0.5).unwrap_or(0);
        let bound = |o: &RequestClass| if let Need::Recent(bound) = o.need { Some(bound) } else { None };
        let bound = self.terms.classes.iter().filter_map(bound).min();
        let least = (0..self.took.len()).map(usual).min().unwrap_or(0);
        let row = if self.sparse() { 1 } else { 3 };
        bound.is_some_and(|bound| usual(class) > (bound / row).max(3 * least))
    }

    /// Protects reads from a way that has grown so long that answers come too late, as its health checks
    /// tell.
    /// Tried again after a while. Harms members beyond it that are health checked just when a neighbour dies.
    pub(super) fn remote(&self, now: Micros, id: MemberId, class: usize) -> bool {
        let zone = self.members[id].zone;
        let (way, at) = self.ways.get(&zone).copied().unwrap_or_default();
        let usual = self.took[class].quantile(0.5).unwrap_or(0);
        let far = zone != self.terms.zone && now - at < BLACKLISTED_FOR;
        let way = if far { way.max(self.way(now, id)) } else { self.way(now, id) };
        way + usual > self.terms.classes[class].objective / 2
    }

    /// There and back to the member, as far as its health checks of late tell.
    pub(super) fn way(&self, now: Micros, id: MemberId) -> Micros {
        let (way, at) = self.members[id].way;
        if now - at < BLACKLISTED_FOR { way } else { 0 }
    }

    /// A member drawn by its room. Where crossing has a price the own zone is preferred, by a sparse driver
    /// for what that zone's members carry if all zones send alike.
    pub(super) fn draw(&mut self, rooms: &[(MemberId, f64)]) -> Option<MemberId> {
        let (near, far): (Vec<_>, Vec<_>) =
            rooms.iter().partition(|&&(id, _)| self.members[id].zone == self.terms.zone);
        let sum = |rooms: &[(MemberId, f64)]| rooms.iter().map(|&(_, room)| room).sum::<f64>();
        let stays = if self.sparse() { sum(&near) / sum(rooms) * self.terms.zones as f64 } else { 1.0 };
        let group = rooms.first().map(|&(id, _)| self.members[id].group);
        let (away, to) = group.map(|group| self.groups[group].lean.clone()).unwrap_or_default();
        if away > 0.0 && self.rng.random::<f64>() < away {
            let weighed = |&(id, room): &(MemberId, f64)| {
                (id, room * to.get(&self.members[id].zone).copied().unwrap_or(0.0))
            };
            let weighed: Vec<(MemberId, f64)> = far.iter().map(weighed).collect();
            if let Ok(&(id, _)) = weighed.choose_weighted(&mut self.rng, |&(_, room)| room) {
                return Some(id);
            }
        }
        let priced = self.terms.crossing_price > 0.0 && !near.is_empty() && !far.is_empty();
        let rooms = if priced && self.rng.random::<f64>() < stays { &near } else { rooms };
        rooms.choose_weighted(&mut self.rng, |&(_, room)| room).ok().map(|&(id, _)| id)
    }

    /// Whether a read may go to this member at all; a receipted one stays where its repeats are dropped.
    pub(super) fn may_follow(&self, now: Micros, pending: &PendingRequest, id: MemberId) -> bool {
        let scope = self.terms.classes[pending.request.class].effect;
        let zoned = matches!(scope, Effect::Receipted { scope: Scope::Zone, .. });
        let kept = pending.may_have_run.is_none_or(|(_, zone)| !zoned || zone == self.members[id].zone);
        kept && self.usable(now, id)
    }
}
