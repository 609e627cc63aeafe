//! A task's way: taking it, placing it, what follows from a launch's end, and giving it up.

use super::*;

impl Router {
    pub fn take(&mut self, now: Micros, task: Task) -> (Handle, Todo) {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let group = self.group(task.group);
        self.allowance = (self.allowance + PROBES_A_TASK).min(self.members.len() as f64);
        // Where repeats are not marked, first tries are told by the wait that most tasks bring.
        let Offering { limit, quoted, .. } = self.terms.offerings[task.offering];
        let (usual, votes) = &mut self.usual_wait[task.offering];
        let wait = task.ttl + task.waited;
        let common = (wait - *usual).abs() <= *usual / 64;
        *votes = if common { (*votes + 1).min(64) } else { *votes - 1 };
        (*usual, *votes) = if *votes < 0 { (wait, 1) } else { (*usual, *votes) };
        let repeat = task.repeat || !self.terms.repeats_marked && !common;
        // What is missing to the time limit of a repeat has gone by already. Where repeats are not
        // marked, a wait cut short tells them once the usual one is sure. Harms clients in a hurry: they
        // are taken for late.
        let cut = task.repeat || !self.terms.repeats_marked && !common && *votes >= 2 && wait < *usual;
        let quoted_by = now - task.waited + quoted - if cut { (limit - wait).max(0) } else { 0 };
        let errand = Errand { task, group, arrived: now, quoted_by, repeat, ..Errand::default() };
        self.errands.insert(handle, errand);
        self.place(now, handle);
        (handle, self.take_todo())
    }

    /// Sends the task on its way, holds it, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: Handle) {
        let errand = &self.errands[&handle];
        let offering = &self.terms.offerings[errand.task.offering];
        let (hopeless, useful) = self.useful_until(now, errand);
        // Never again what may have run: an effectful task at all, a receipted one past its window.
        let stuck = match (offering.effect, errand.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Effectful, Some(_)) => true,
            (Effect::Receipted { window, .. }, Some((at, _))) => now >= at + window - HELD_UP,
        };
        if stuck
            || self.at_fault(errand)
            || now >= hopeless
            || errand.launches - errand.unsent >= self.launches_allowed(offering)
        {
            return self.give_up(handle);
        }
        // Protects members from all that drivers which stood still owe at once. Harms what would be in time.
        let writes = offering.need == Need::Write;
        let waits = now < self.rush_until && self.rush < 1.0;
        let target = match offering.need {
            _ if waits => None,
            Need::Write => self.write_target(now, errand),
            need => self.read_target(now, handle, need),
        };
        let Some(id) = target else {
            return self.groups[self.errands[&handle].group].held.push(handle);
        };
        self.account(now, id, writes);
        let rested = self.rested(now, id);
        let validity = self.validity(&self.errands[&handle], id);
        let tries_connection = self.takes_connection(now, id);
        let kept = self.members[id].idle.is_some();
        let afresh = !kept && rested.is_some_and(|rest| self.reaped(rest));
        let errand = self.errands.get_mut(&handle).expect("held by its handle");
        let member = &mut self.members[id];
        member.out.push(handle);
        member.sent.push_back(now);
        (errand.launches, errand.rested) = (errand.launches + 1, rested.filter(|_| !afresh));
        errand.tries_connection = tries_connection;
        (errand.out, errand.waits_from) = (Some((id, now)), now);
        (self.launched, self.rush) = (self.launched + 1.0, self.rush - 1.0);
        self.session(handle).into_iter().for_each(|session| session.out += 1);
        self.todo.steps.push((handle, Step::Launch { member: id, limit: useful - now, afresh, validity }));
    }

    /// A launch uses up what was saved for its member; the primary is owed its part of its group's launches.
    pub(super) fn account(&mut self, now: Micros, id: MemberId, writes: bool) {
        let (credit, hold) = (self.credit(now, id) - 1.0, self.hold());
        (self.members[id].credit, self.members[id].credited) = (credit, now);
        if !self.sparse() && self.groups[self.members[id].group].primary.is_some() {
            return;
        }
        let part = |&id: &MemberId| {
            let Member { standing, size, window, lost_until, .. } = self.members[id];
            if standing == Standing::Ready && now >= lost_until { size * window } else { 0.0 }
        };
        let group = &mut self.groups[self.members[id].group];
        let Some(primary) = group.primary else {
            group.walk_after = if writes { now + hold } else { group.walk_after };
            return;
        };
        let all: f64 = group.members.iter().map(part).sum();
        let due = part(&primary) / all.max(f64::EPSILON) - f64::from(id == primary);
        group.owed = (group.owed + due).clamp(-3.0, 3.0);
    }

    /// Until when a launch of the task would most likely pay, and until when an answer pays at all. Protects
    /// a client from a long wait for nothing: what was never launched and pays little when late is not held
    /// beyond half of its time, and a driver among many, who cannot see the crowd, launches nothing that
    /// would pay only that little. Should also cover groups without members. Harms what finds room later.
    pub(super) fn useful_until(&self, now: Micros, errand: &Errand) -> (Micros, Micros) {
        let end = errand.arrived + errand.task.ttl;
        let late_share = self.terms.offerings[errand.task.offering].late_share;
        let useful = if late_share > 0.0 { end } else { end.min(errand.quoted_by) };
        // What waited for a replica's word alone has not waited for room.
        let arrives = now == errand.arrived || errand.asked && now - errand.arrived <= 2 * BEAT;
        let share = if arrives { 0.5 } else { 0.85 };
        let pays = if self.sparse() && late_share < 0.5 { useful.min(errand.quoted_by) } else { useful };
        let hopeless = pays - self.took[errand.task.offering].quantile(share).unwrap_or(0) - BEAT;
        let waits_for_room = errand.launches == 0 && !self.backs_off(now);
        let held = waits_for_room && (late_share < 0.5 || self.sparse());
        // Told before half of the client's time is over, with what a beat and the way take.
        let half = errand.arrived + (errand.task.ttl - errand.task.waited) / 2 - 2 * BEAT;
        (if held { hopeless.min(half.max(errand.arrived + 1)) } else { hopeless }, useful)
    }

    /// Denied where that is true to say, else broken off.
    pub(super) fn give_up(&mut self, handle: Handle) {
        let errand = &self.errands[&handle];
        let deniable = match self.terms.offerings[errand.task.offering].effect {
            Effect::Pure | Effect::Receipted { scope: Scope::All, .. } => true,
            _ => errand.may_have_run.is_none() && errand.out.is_none(),
        };
        // What is denied for want of room has missed its quoted time: sooner again only adds to the crowd.
        let cool_down = self.terms.offerings[errand.task.offering].quoted.min(self.terms.max_cool_down);
        self.todo.steps.push((
            handle,
            if deniable && !self.at_fault(errand) { Step::Deny { cool_down } } else { Step::BreakOff },
        ));
        self.close(handle);
    }

    pub(super) fn close(&mut self, handle: Handle) {
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        errand.closed = true;
        self.groups[errand.group].held.retain(|&held| held != handle);
        if errand.out.is_none() {
            self.errands.remove(&handle);
        }
    }

    pub(super) fn launch_ended(&mut self, now: Micros, handle: Handle, outcome: Outcome) {
        let Outcome { verdict, told, .. } = outcome;
        let errand = self.errands.get(&handle);
        let out = errand.and_then(|errand| errand.out.map(|(id, _)| (id, errand.task.offering)));
        let mute = out.is_some_and(|(id, _)| self.mute(now, id));
        let patience = out.map_or(0, |(_, offering)| self.patience(offering));
        let (sparse, drivers) = (self.sparse(), self.terms.drivers as f64);
        let credit = self.first_credit();
        let usual_took = out.and_then(|(_, offering)| self.took[offering].quantile(0.5)).unwrap_or(0);
        let rested = self.errands.get(&handle).and_then(|errand| errand.rested);
        let reaped = verdict == Verdict::TimedOut && rested.is_some_and(|rest| self.reaped(rest));
        let way = out.map_or(0, |(id, _)| self.way(now, id));
        let Some(errand) = self.errands.get_mut(&handle) else { return };
        let Some((id, sent)) = errand.out.take() else { return };
        let (group, offering, waits_from) = (errand.group, errand.task.offering, errand.waits_from);
        let (tried, over) = (errand.tries_connection, outcome.closed || errand.closed);
        match verdict {
            Verdict::LocalFailure => return self.not_sent(now, handle, id, sent, over),
            Verdict::Moot => {}
            _ => self.connected(now, id, tried, verdict.heard()),
        }
        let errand = self.errands.get_mut(&handle).expect("not yet closed");
        let member = &mut self.members[id];
        member.out.retain(|&out| out != handle);
        let ran = (!verdict.never_ran()).then_some((sent, member.zone));
        errand.may_have_run = errand.may_have_run.or(ran);
        let mut refusal = false;
        if let Some(rest) = errand.rested.filter(|_| verdict.heard() || verdict == Verdict::TimedOut) {
            let silent = &mut self.rests[rest];
            *silent += (f64::from(!verdict.heard()) - *silent) * 0.3;
        }
        if verdict.heard() {
            (member.answered, member.overtaken) = (now, member.overtaken.max(waits_from));
            member.hear(now, credit);
        } else if matches!(verdict, Verdict::Unconnected | Verdict::Unreachable | Verdict::Reset) {
            member.lost_until = now + 2 * HOLD;
            let refused = verdict == Verdict::Unconnected && outcome.took < PROBE_NEEDED;
            member.fell = member.fell.or((verdict == Verdict::Reset || refused).then_some(now));
            refusal = refused && sparse;
        }
        // A driver among many hears of few answers of a member: each then counts for more.
        let weight = if sparse { (drivers / 4.0).min(16.0) } else { 1.0 };
        let step = 0.92f64.powf(weight);
        let least = if sparse { STAY / drivers } else { (STAY / drivers).max(1.0) };
        let shrunk = (member.window * step.min(0.7)).max(least.min(1.0));
        let crowded = verdict == Verdict::TimedOut && outcome.took < patience;
        let unseen = verdict == Verdict::Unseen;
        let seen = !verdict.never_ran() && !unseen && !reaped && verdict != Verdict::Error;
        if verdict == Verdict::Honoured || crowded || sparse && seen {
            member.took.add(outcome.took, KEEP / 4);
            let usual = member.took.quantile(0.6).unwrap_or(0);
            let came = matches!(verdict, Verdict::Honoured | Verdict::Spoilt);
            let took = if came { outcome.took - way } else { Micros::MAX };
            let (typical, share) = if sparse { (took, 70) } else { (usual, 30) };
            if typical > self.terms.offerings[offering].quoted * share / 100 {
                member.window = (member.window * step).max(least);
            } else if sparse {
                member.window = (member.window / step.powf(weight / 16.0)).min(MOST / drivers * member.size);
            } else if member.out.len() as f64 >= member.window - 2.0 {
                member.window += 1.0 / member.window;
            }
        }
        match verdict {
            Verdict::Honoured => {
                self.took[offering].add(outcome.took, KEEP * 4);
                self.any_took.add(outcome.took, KEEP * 4);
                (member.honoured, member.spoilt) = (member.honoured + 0.1, 0);
                std::mem::take(&mut errand.erred).into_iter().for_each(|id| self.failed(now, id));
            }
            // Nobody's fault as yet: whoever honours the task proves that the member failed it. A quick one
            // was no work, and gives its launch back, but for a cold member: the rule counts what it is
            // sent.
            Verdict::Error => {
                errand.erred.push(id);
                let cold = member.since.is_some_and(|since| now - since < self.terms.warm_within);
                member.credit += f64::from(outcome.took < usual_took / 10 && !cold);
            }
            Verdict::Full => (member.window, member.credit, member.credited) = (shrunk, 0.0, now),
            Verdict::Miss | Verdict::Moot | Verdict::Unseen => {}
            // Protects a group whose members all spoil alike from the bar: only those in a row are failures.
            // Should also cover links that break connections. Harms tasks at a member that spoils most.
            Verdict::Spoilt | Verdict::Dropped if member.spoilt < FAILURES => member.spoilt += 1,
            // A launch that outlasted its limit at a member that answers others met a crowd, not a fault.
            Verdict::TimedOut | Verdict::CalledOff if !mute || reaped => {}
            _ => self.failed(now, id),
        }
        let told_commit =
            told.position.filter(|_| verdict == Verdict::Honoured).unwrap_or(self.members_now(now));
        let commit = if verdict.never_ran() { 0 } else { told_commit };
        self.session(handle).into_iter().for_each(|session| session.ended(commit));
        let errand = self.errands.get_mut(&handle).expect("not yet closed");
        errand.last = Some(id);
        let idle = self.members[id].out.is_empty();
        if refusal {
            self.refused(now, id);
        } else if now < self.tight_until && idle {
            self.todo.shut.push(id);
        }
        self.note(now, id, told, sent, now - told.age);
        if verdict == Verdict::Miss && self.groups[group].primary.is_none() {
            let round = self.groups[group].members.len().min(self.terms.max_launches as usize / 2);
            let errand = self.errands.get_mut(&handle).expect("not yet closed");
            errand.misses += 1;
            let over = errand.misses >= round;
            errand.misses = if over { 0 } else { errand.misses };
            let (over_hold, member) = (now + self.hold(), &mut self.members[id]);
            member.not_primary = member.not_primary.max(now - told.age);
            if over {
                self.groups[group].walk_after = over_hold;
            }
            self.part_with(id);
        }
        if over {
            self.close(handle);
        } else {
            self.place(now, handle);
        }
        self.pump(now, group);
    }

    /// A failure that is the member's own: some in a row bar it, fewer where each driver sees few of its
    /// answers.
    fn failed(&mut self, now: Micros, id: MemberId) {
        let (member, drivers) = (&mut self.members[id], self.terms.drivers as f64);
        member.failures.push_back(now);
        member.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if member.failures.len() as f64 >= (FAILURES as f64 * 25.0 / drivers).min(FAILURES as f64) {
            member.failures.clear();
            member.barred_until = now + BAR;
        }
    }

    /// Protects members from bars, and the launches of others from being used up, by tasks that bring their
    /// errors with them: two members that fail it alike, or one three times, prove it. Should also cover
    /// statements that every member turns down. Harms a task that met two bad members.
    fn at_fault(&self, errand: &Errand) -> bool {
        errand.erred.len() > 2 || errand.erred.iter().any(|id| *id != errand.erred[0])
    }

    /// Protects members that take few connections from those that drivers keep idle: a driver among many
    /// that was refused closes its own, for a while after each use. A probe tells whether the process is
    /// dead. Harms launches by a handshake each.
    pub(super) fn refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.tight_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].out.is_empty());
            self.todo.shut.extend(idle);
        }
        self.tight_until = now + FAILURE_WINDOW;
        self.probe(now, id, PROBE_NEEDED);
    }

    /// Further launches go by payoff: the best paid offering may use them all.
    pub(super) fn launches_allowed(&self, offering: &Offering) -> u32 {
        let best = self.terms.offerings.iter().map(|o| o.payoff).fold(f64::MIN_POSITIVE, f64::max);
        let most = f64::from(self.terms.max_launches);
        (most * (offering.payoff / best).max(0.5)).ceil().min(most) as u32
    }

    pub(super) fn pump_all(&mut self, now: Micros) {
        (0..self.groups.len()).for_each(|group| self.pump(now, group));
    }

    /// Places the held tasks of a group again: best paid first, then those that came last.
    pub(super) fn pump(&mut self, now: Micros, group: usize) {
        if self.groups[group].held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.groups[group].held);
        let worth = |handle: &Handle| {
            let errand = &self.errands[handle];
            let offering = &self.terms.offerings[errand.task.offering];
            let late = now > errand.quoted_by || errand.repeat;
            offering.payoff * if late { offering.late_share } else { 1.0 }
        };
        held.sort_by(|a, b| worth(b).total_cmp(&worth(a)).then(b.cmp(a)));
        held.into_iter().for_each(|handle| self.place(now, handle));
    }
}
