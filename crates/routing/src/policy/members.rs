//! What is believed of members: the list, bars, silence, windows, cold parts, probes.

use super::*;

impl Router {
    pub fn list(&mut self, now: Micros, full: bool, lines: Vec<Listed>) -> Todo {
        // The list held at the start is no answer to a call.
        self.ask_at = if self.members.is_empty() { self.ask_at } else { Micros::MAX };
        let listed: HashSet<&str> = lines.iter().map(|line| line.name.as_str()).collect();
        for id in 0..self.members.len() {
            if full && !listed.contains(self.members[id].name.as_str()) {
                self.stand(now, id, Standing::Gone);
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
        self.pump_all(now);
        self.take_todo()
    }

    pub(super) fn list_line(&mut self, now: Micros, line: Listed) {
        let group = self.group(line.group);
        let credit = self.first_credit() + f64::from(line.since.is_none());
        let (id, drivers) = (line.member, self.terms.drivers as f64);
        let known = self.members[id].group == group && self.members[id].name == line.name;
        if !known {
            let size = line.size / self.mean_size;
            let window = if self.sparse() { MOST / drivers * size } else { (START / drivers).max(1.0) };
            let fresh = Member { position: Micros::MIN, heard: now, answered: now, ..Member::default() };
            let fresh = Member { not_primary: Micros::MIN, ..fresh };
            self.members[id] = Member { name: line.name, group, zone: line.zone, size, window, ..fresh };
            self.enter(group, id);
        }
        let member = &mut self.members[id];
        if !known || member.since != line.since && line.standing == Standing::Ready {
            (member.barred_until, member.seen_primary) = (member.barred_until.min(now), false);
            (member.since, member.credit, member.credited) = (line.since, credit, now);
        }
        self.stand(now, id, line.standing);
        if !known && !self.sparse() && !self.keeps_to_some() {
            // A probe for each member and one in reserve.
            self.allowance += 2.0;
            self.probe(now, id, PROBE_NEEDED);
        }
        let group = &mut self.groups[group];
        if line.primary && line.standing == Standing::Ready && group.listed != Some(id) {
            let first = group.listed.replace(id).is_none();
            let trusted = match self.terms.listed_roles {
                ListedRoles::Late => first || now - group.word > 1_000 * MS,
                ListedRoles::AtStart => first && group.primary.is_none(),
                ListedRoles::Never => false,
            };
            group.primary = if trusted { Some(id) } else { group.primary };
        }
    }

    pub(super) fn stand(&mut self, now: Micros, id: MemberId, standing: Standing) {
        self.members[id].standing = standing;
        self.members[id].seen_primary &= standing == Standing::Ready;
        let hold = self.hold();
        let group = &mut self.groups[self.members[id].group];
        if standing != Standing::Ready && group.primary == Some(id) {
            // The list tells all drivers, but they are not to walk all at once.
            (group.primary, group.walk_after) = (None, now + self.rng.random_range(0..hold));
            group.search.since = now;
        }
    }

    /// The members' clock is so much ahead of this one, and these are their starts on this one. Protects bounded reads
    /// and slow start from a process whose wall clock is wrong. Harms them where the caller is.
    pub fn members_clock(&mut self, offset: Micros, starts: &[(MemberId, Option<Micros>)]) {
        self.clock_offset = offset;
        for &(id, since) in starts {
            if let Some(member) = self.members.get_mut(id) {
                member.since = since;
            }
        }
    }

    /// Lets go of a member that is gone, once nothing of it is out and it was not heard for long: its index
    /// may be given out anew, and one that comes back is another member.
    pub fn forget(&mut self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let quiet = member.out.is_empty() && !member.probe_out && now - member.heard > FAILURE_WINDOW;
        let forgotten = member.standing == Standing::Gone && quiet;
        if forgotten {
            let group = &mut self.groups[member.group];
            group.members.retain(|&member| member != id);
            group.preferred.retain(|&member| member != id);
            group.listed = group.listed.filter(|&listed| listed != id);
            self.members[id] = Member::default();
        }
        forgotten
    }

    pub fn list_unavailable(&mut self, now: Micros) -> Todo {
        self.ask_wait = (self.ask_wait * 2).min(8_000 * MS);
        self.ask_at = now + self.rng.random_range(self.ask_wait / 2..self.ask_wait);
        self.take_todo()
    }

    /// Whether anything may be sent there: never against the drain rule, nor into silence.
    pub(super) fn usable(&self, now: Micros, id: MemberId) -> bool {
        let standing = self.members[id].standing;
        let unbound = standing == Standing::Gone && self.terms.only_draining_binds;
        (standing == Standing::Ready || unbound) && !self.silent(now, id)
    }

    /// Protects against members that take work and answer nothing: a hang, a cut link, a long pause, a
    /// death without a reset. One launch a second tries whether it answers again. Harms a member whose few
    /// launches out are all long ones: it is passed over until it answers one or a second has passed.
    pub(super) fn silent(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let tried = member.sent.back().is_some_and(|&last| now - last < 2 * HOLD);
        now < member.lost_until || tried && self.mute(now, id)
    }

    /// Has launches out that no later one overtook, and answered none for far longer than launches take.
    pub(super) fn mute(&self, now: Micros, id: MemberId) -> bool {
        let member = &self.members[id];
        let mut waiting = self.sent_out(id).filter(|&(at, _)| at >= member.overtaken);
        waiting.any(|(at, offering)| now - at.max(member.answered) > self.patience(offering))
    }

    /// How long the connection to the member has rested, as a power of two, where it would be used again.
    pub(super) fn rested(&self, now: Micros, id: MemberId) -> Option<usize> {
        let Member { out, overtaken, answered, .. } = &self.members[id];
        let rest = ((now - answered) / (250 * MS)).max(0);
        let known = out.is_empty() && *overtaken > 0 && rest < 32;
        known.then_some((64 - rest.leading_zeros()) as usize)
    }

    /// Protects launches from connections that something on the way has dropped unseen: rested ones mostly
    /// meet silence, and those less rested do not. Should also cover idle limits shorter than the settings
    /// say. Harms by handshakes where members fall silent at random.
    pub(super) fn reaped(&self, rest: usize) -> bool {
        let least = self.rests.iter().position(|&silent| silent > 0.5).unwrap_or(0);
        least > 0 && rest >= least && self.rests[..least].iter().all(|&silent| silent < 0.25)
    }

    /// When each launch out at the member was sent, and of which offering it is.
    pub(super) fn sent_out(&self, id: MemberId) -> impl Iterator<Item = (Micros, usize)> {
        let out = self.members[id].out.iter().map(|out| &self.errands[out]);
        out.filter_map(|errand| errand.out.map(|_| (errand.waits_from, errand.task.offering)))
    }

    /// Beyond what nearly all launches of an offering take.
    pub(super) fn patience(&self, offering: usize) -> Micros {
        let quoted = self.terms.offerings[offering].quoted;
        self.took[offering].quantile(0.9).unwrap_or(200 * MS).min(quoted).max(100 * MS) * 2
    }

    /// How many more launches this driver may have out at the member: its window, and for a cold one its
    /// part of what the member can bear. Where less than one launch is due, launches are saved up for.
    pub(super) fn room(&self, now: Micros, id: MemberId) -> f64 {
        if !self.connectable(now, id) {
            return 0.0;
        }
        let member = &self.members[id];
        // Launches that were overtaken and stay out for long are taken for lost: they hold no place.
        let overdue = |(at, offering)| at < member.overtaken && now - at > self.patience(offering);
        let lost = self.sent_out(id).filter(|&out| overdue(out)).count();
        let out = (member.out.len() - lost) as f64;
        let mut room = member.window.floor() - out;
        let bearable = self.bearable(now, id);
        let sent = member.sent.iter().filter(|&&at| at > now - self.terms.overload_window).count() as f64;
        if self.sparse() {
            // Of a cold member's part none is lost to whole numbers: many drivers' launches add up to it.
            let free = out < 1.0 && self.credit(now, id) >= 1.0 && sent <= bearable;
            return if free { member.window } else { 0.0 };
        } else if self.mute(now, id) {
            room = room.max(1.0);
        }
        if bearable < 1.0 && self.credit(now, id) < 1.0 {
            return 0.0;
        }
        room.min(bearable.max(1.0).floor() - sent)
    }

    /// How much a cold member may be sent in one window of the overload rule.
    pub(super) fn bearable(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let age = member.since.map_or(Micros::MAX, |since| now - since);
        if age >= self.terms.warm_within {
            return f64::INFINITY;
        }
        // The part at the middle of the window that ends now: capacity grows about evenly.
        let age = (age - self.terms.overload_window / 2).max(0) as f64 / self.terms.warm_within as f64;
        let part = self.terms.cold_from + (1.0 - self.terms.cold_from) * age;
        let load = self.warm_load.max(STAY / self.terms.drivers_at_cold as f64);
        self.terms.overload_factor * part * load * member.size
    }

    /// Launches saved up: at most two at a warm member and one at a cold one.
    pub(super) fn credit(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let bearable = self.bearable(now, id);
        let bearable_pace = bearable / self.terms.overload_window as f64;
        let usual = self.any_took.quantile(0.9).unwrap_or(0).max(100 * MS) / 2;
        let pace = bearable_pace.min(member.window / usual as f64);
        let most = (bearable / 2.0).clamp(1.0, 2.0);
        (member.credit + (now - member.credited) as f64 * pace).min(most)
    }

    /// A cold member's part is saved up for from a random start, so that not all drivers come at once.
    pub(super) fn first_credit(&mut self) -> f64 {
        self.rng.random::<f64>() + STAY / self.terms.drivers_at_cold as f64
    }

    /// How a probe ended. A member too full to report has answered all the same.
    pub fn probed(&mut self, now: Micros, id: MemberId, verdict: Verdict, took: Micros, told: Told) -> Todo {
        let credit = self.first_credit();
        let Some(member) = self.members.get_mut(id) else { return self.take_todo() };
        // The way to its zone: an answer halves the difference, silence tells less, as one member alone
        // may be dead.
        let (way, at) = self.ways.entry(member.zone).or_insert((0, now));
        match verdict {
            Verdict::Honoured => {
                (*way, *at) = ((*way + took) / 2, now);
                member.way = ((member.way.0 + took) / 2, now);
            }
            Verdict::TimedOut => (*way, *at) = (*way + (took - *way) / 4, now),
            _ => {}
        }
        let (group, was_barred) = (member.group, member.probe_misses >= PROBE_MISSES);
        member.probe_out = false;
        if matches!(verdict, Verdict::Moot | Verdict::Unseen | Verdict::LocalFailure) {
            // Nobody asked it, or nobody saw its answer.
        } else if matches!(verdict, Verdict::Honoured | Verdict::Full | Verdict::Spoilt | Verdict::Dropped) {
            // An answered probe lifts the detect bar.
            member.barred_until = if was_barred { now } else { member.barred_until };
            member.probe_misses = 0;
            member.hear(now, credit);
            let at = told.position.map(|position| position.saturating_sub(self.clock_offset));
            let at = at.unwrap_or(now - HOLD - told.age);
            self.note(now, id, told, at, at);
        } else {
            member.probe_misses += 1;
            member.fell = member.fell.or((verdict == Verdict::Unconnected).then_some(now));
            member.lost_until = now + 2 * HOLD;
            let barred = member.probe_misses >= PROBE_MISSES;
            member.barred_until = if barred { now + BAR } else { member.barred_until };
        }
        self.pump(now, group);
        self.part_with(id);
        self.take_todo()
    }

    pub(super) fn probe(&mut self, now: Micros, id: MemberId, gap: Micros) {
        let member = &mut self.members[id];
        let early = member.probe_out || now - member.probed < gap;
        if self.terms.may_probe && member.standing == Standing::Ready && !early && self.allowance >= 1.0 {
            self.allowance -= 1.0;
            (member.probe_out, member.probed) = (true, now);
            self.todo.probes.push(id);
        }
    }
}
