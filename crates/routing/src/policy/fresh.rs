//! Where a launch may go: believed primaries, replicas proven fresh enough, near and far.

use super::*;

impl Router {
    /// The believed primary; without one, the next member by sorted id, one write walking at a time.
    pub(super) fn write_target(&self, now: Micros, errand: &Errand) -> Option<MemberId> {
        let group = &self.groups[errand.group];
        if let Some(id) = group.primary {
            let takes = self.usable(now, id) && self.room(now, id) > 0.0;
            return takes.then_some(id);
        }
        if errand.misses == 0 && now < group.walk_after {
            return None;
        }
        let order = self.search_order(group);
        let start = errand.last.and_then(|last| order.iter().position(|&id| id == last));
        let start = start.map_or(0, |at| at + 1);
        let round = (0..order.len()).map(|step| order[(start + step) % order.len()]);
        let mut open = round.filter(|&id| self.may_be_primary(now, group, id));
        let first = open.clone().next();
        open.find(|&id| now >= self.members[id].barred_until).or(first).filter(|&id| self.room(now, id) > 0.0)
    }

    /// A random replica proven fresh enough, else the primary. A sparse driver draws first, then asks it.
    pub(super) fn read_target(&mut self, now: Micros, handle: Handle, need: Need) -> Option<MemberId> {
        let errand = &self.errands[&handle];
        let floor = match need {
            Need::Latest => self.members_now(errand.arrived),
            Need::OwnWrites => {
                let told = errand.task.last_write.map(|ago| errand.arrived - ago);
                let members_now = self.members_now(now);
                let floor =
                    |name| self.sessions.get(name).map(|known| known.floor(members_now)).or(self.forgotten);
                let remembered = errand.task.session.as_ref().and_then(floor);
                told.max(remembered).unwrap_or(Micros::MIN)
            }
            Need::Recent(bound) => self.members_now(now) - bound + HELD_UP,
            Need::Loose | Need::Write => Micros::MIN,
        };
        let (group, asked, sparse) = (errand.group, errand.asked, self.sparse());
        let offering = errand.task.offering;
        let long = need == Need::Loose && self.long(offering);
        let mut open = self.readable(now, errand, floor, long);
        if open.iter().any(|&id| now >= self.members[id].barred_until && Some(id) != errand.last) {
            open.retain(|&id| now >= self.members[id].barred_until && Some(id) != errand.last);
        }
        let primary = self.groups[group].primary;
        let seen = primary.filter(|id| open.contains(id) && self.members[*id].seen_primary);
        let replicas: Vec<MemberId> = open.iter().copied().filter(|&id| Some(id) != primary).collect();
        let idle = seen.filter(|_| sparse && self.groups[group].owed > 0.0);
        let drawable = replicas.iter().copied().chain(idle).map(|id| (id, self.room(now, id)));
        let mut rooms: Vec<(MemberId, f64)> = drawable.filter(|&(_, room)| room > 0.0).collect();
        let at_hand = rooms.iter().copied().filter(|&(id, _)| !self.remote(now, id, offering));
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
        let awaited = |member: &Member| member.probe_out && now - member.probed < BEAT;
        if !stale.iter().any(|&id| awaited(&self.members[id])) {
            let due = |&id: &MemberId| now - self.members[id].probed >= self.catches_up_in(id, floor);
            let due: Vec<MemberId> = stale.iter().copied().filter(due).collect();
            let ask = drawn.filter(|id| due.contains(id)).or_else(|| due.choose(&mut self.rng).copied());
            ask.into_iter().for_each(|id| self.probe(now, id, PROBE_NEEDED));
        }
        let waits = (target.is_none() || unsure) && stale.iter().any(|&id| awaited(&self.members[id]));
        self.errands.get_mut(&handle).expect("being placed").asked |= waits;
        if waits { None } else { target.or(resort) }
    }

    /// Protects the price of probes and the time of writes: a member far behind is not asked again before it
    /// can have caught up, at twice the pace of time. Harms one that catches up faster, for a second at most.
    pub(super) fn catches_up_in(&self, id: MemberId, floor: Micros) -> Micros {
        let position = self.members[id].position;
        let lacks = if position == Micros::MIN { 0 } else { floor.saturating_sub(position) };
        (lacks / 2).clamp(PROBE_NEEDED, PROBE_EVERY)
    }

    /// Until when the attempt may leave. Protects reads and repeats from what comes between the decision and the
    /// last byte: a connection that comes up late, a primary that steps down, a window of repeats that ends, a process
    /// that is held up behind the last look. Harms reads by that time's worth of proof.
    pub(super) fn validity(&self, errand: &Errand, id: MemberId) -> Validity {
        let Offering { effect, need, .. } = self.terms.offerings[errand.task.offering];
        let repeats_until = match (effect, errand.may_have_run) {
            (Effect::Receipted { window, .. }, Some((first, _))) => first + window - HELD_UP,
            _ => Micros::MAX,
        };
        let member = &self.members[id];
        let primary = self.groups[errand.group].primary == Some(id) && member.seen_primary;
        let (fresh_until, while_primary) = match need {
            Need::Write | Need::Loose => (Micros::MAX, false),
            _ if self.terms.members_check => (Micros::MAX, false),
            Need::Recent(bound) if !primary => {
                (member.position.saturating_add(bound - HELD_UP - self.clock_offset), false)
            }
            _ => (Micros::MAX, primary),
        };
        Validity { until: repeats_until.min(fresh_until), while_primary }
    }

    /// Protects the freshness of replicas from reads of which a few in a row hold up their log for longer
    /// than bounded reads bear: these share one replica. Harms them where that one is slow, and where other
    /// long reads hold up nothing; a driver among many cannot see a crowd there, and goes by the whole bound.
    pub(super) fn long(&self, offering: usize) -> bool {
        let usual = |offering: usize| self.took[offering].quantile(0.5).unwrap_or(0);
        let bound = |o: &Offering| if let Need::Recent(bound) = o.need { Some(bound) } else { None };
        let bound = self.terms.offerings.iter().filter_map(bound).min();
        let least = (0..self.took.len()).map(usual).min().unwrap_or(0);
        let row = if self.sparse() { 1 } else { 3 };
        bound.is_some_and(|bound| usual(offering) > (bound / row).max(3 * least))
    }

    /// Protects reads from a way that has grown so long that answers come too late, as its probes tell.
    /// Tried again after a while. Harms members beyond it that are probed just when a neighbour dies.
    pub(super) fn remote(&self, now: Micros, id: MemberId, offering: usize) -> bool {
        let zone = self.members[id].zone;
        let (way, at) = self.ways.get(&zone).copied().unwrap_or_default();
        let usual = self.took[offering].quantile(0.5).unwrap_or(0);
        let far = zone != self.terms.zone && now - at < BAR;
        let way = if far { way.max(self.way(now, id)) } else { self.way(now, id) };
        way + usual > self.terms.offerings[offering].quoted / 2
    }

    /// There and back to the member, as far as its probes of late tell.
    pub(super) fn way(&self, now: Micros, id: MemberId) -> Micros {
        let (way, at) = self.members[id].way;
        if now - at < BAR { way } else { 0 }
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
    pub(super) fn may_follow(&self, now: Micros, errand: &Errand, id: MemberId) -> bool {
        let scope = self.terms.offerings[errand.task.offering].effect;
        let zoned = matches!(scope, Effect::Receipted { scope: Scope::Zone, .. });
        let kept = errand.may_have_run.is_none_or(|(_, zone)| !zoned || zone == self.members[id].zone);
        kept && self.usable(now, id)
    }

    /// The session that a request writes to, where it is to be remembered. Protects its reads from a write
    /// whose answer was lost or is on its way. Harms them by the primary's load while such a write is out.
    pub(super) fn session(&mut self, handle: Handle) -> Option<&mut Session> {
        let task = &self.errands[&handle].task;
        let writes = self.terms.remember_sessions && self.terms.offerings[task.offering].need == Need::Write;
        task.session.as_ref().filter(|_| writes).cloned().map(|name| self.sessions.entry(name).or_default())
    }

    /// Takes in what a member says of itself: true at `at`, and asked for no earlier than `asked`. Protects from
    /// words that come late or out of order: an older one never beats a newer one, and reads take a member for
    /// primary only by a word asked for after it was last heard to be a replica, which holds unless provably
    /// older, as positions never go back. Harms reads without a fresh replica just after a hand-over.
    pub(super) fn note(&mut self, now: Micros, id: MemberId, told: Told, asked: Micros, at: Micros) {
        let member = &mut self.members[id];
        let position = told.position.unwrap_or(Micros::MIN);
        member.position = member.position.max(position);
        let group = &mut self.groups[member.group];
        match told.role {
            Some(Role::Primary) if at >= member.demoted => {
                member.seen_primary |= asked >= member.replica_heard;
                member.primary_position = member.primary_position.max(position);
                if member.standing == Standing::Ready && (at >= group.word || group.primary.is_none()) {
                    (group.primary, group.word) = (Some(id), at);
                }
            }
            Some(Role::Replica) => {
                member.not_primary = member.not_primary.max(now - told.age);
                let newer = at >= group.word || position >= member.primary_position;
                if newer && group.primary == Some(id) {
                    (group.primary, group.word) = (None, at);
                    group.search.since = now;
                }
                if newer || group.primary != Some(id) {
                    (member.seen_primary, member.replica_heard) = (false, now);
                    member.demoted = member.demoted.max(at);
                }
            }
            _ => {}
        }
    }
}
