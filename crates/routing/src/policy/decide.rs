//! A request's way: taking it, placing it, what follows from an attempt's end, and giving it up.

use super::*;

impl Router {
    pub fn take(&mut self, now: Micros, request: Request) -> (Handle, Actions) {
        let handle = Handle(self.next_handle);
        self.next_handle += 1;
        let group = self.group(request.group);
        self.allowance = (self.allowance + PROBES_A_TASK).min(self.members.len() as f64);
        // Where repeats are not marked, first tries are told by the wait that most requests bring.
        let RequestClass { timeout, objective, .. } = self.terms.classes[request.class];
        let (usual, votes) = &mut self.usual_wait[request.class];
        let wait = request.ttl + request.waited;
        let common = (wait - *usual).abs() <= *usual / 64;
        *votes = if common { (*votes + 1).min(64) } else { *votes - 1 };
        (*usual, *votes) = if *votes < 0 { (wait, 1) } else { (*usual, *votes) };
        let repeat = request.repeat || !self.terms.repeats_marked && !common;
        // What is missing to the deadline of a repeat has gone by already. Where repeats are not
        // marked, a wait cut short tells them once the usual one is sure. Harms clients in a hurry: they
        // are taken for late.
        let cut = request.repeat || !self.terms.repeats_marked && !common && *votes >= 2 && wait < *usual;
        let objective_at = now - request.waited + objective - if cut { (timeout - wait).max(0) } else { 0 };
        let pending = PendingRequest {
            request,
            group,
            arrived: now,
            objective_at,
            repeat,
            ..PendingRequest::default()
        };
        self.pending_requests.insert(handle, pending);
        self.place(now, handle);
        (handle, self.take_actions())
    }

    /// Sends the request on its way, holds it, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: Handle) {
        let pending = &self.pending_requests[&handle];
        let class = &self.terms.classes[pending.request.class];
        let (hopeless, useful) = self.useful_until(now, pending);
        // Never again what may have run: an effectful request at all, a receipted one past its window.
        let stuck = match (class.effect, pending.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Effectful, Some(_)) => true,
            (Effect::Receipted { window, .. }, Some((at, _))) => now >= at + window - HELD_UP,
        };
        if stuck
            || self.at_fault(pending)
            || now >= hopeless
            || pending.attempts - pending.unsent >= self.attempts_allowed(class)
        {
            return self.give_up(handle);
        }
        // Protects members from all that drivers which stood still owe at once. Harms what would be in time.
        let writes = class.need == Need::Write;
        let waits = now < self.rush_until && self.rush < 1.0;
        let target = match class.need {
            _ if waits => None,
            Need::Write => self.write_target(now, pending),
            need => self.read_target(now, handle, need),
        };
        let Some(id) = target else {
            return self.groups[self.pending_requests[&handle].group].held.push(handle);
        };
        self.account(now, id, writes);
        let rested = self.rested(now, id);
        let validity = self.validity(&self.pending_requests[&handle], id);
        let tries_connection = self.takes_connection(now, id);
        let kept = self.members[id].idle.is_some();
        let afresh = !kept && rested.is_some_and(|rest| self.reaped(rest));
        let pending = self.pending_requests.get_mut(&handle).expect("held by its handle");
        let member = &mut self.members[id];
        member.out.push(handle);
        member.sent.push_back(now);
        (pending.attempts, pending.rested) = (pending.attempts + 1, rested.filter(|_| !afresh));
        pending.tries_connection = tries_connection;
        (pending.out, pending.waits_from) = (Some((id, now)), now);
        (self.attempted, self.rush) = (self.attempted + 1.0, self.rush - 1.0);
        self.session(handle).into_iter().for_each(|session| session.out += 1);
        self.actions
            .requests
            .push((handle, Action::Attempt { member: id, timeout: useful - now, afresh, validity }));
    }

    /// An attempt uses up what was saved for its member; the primary is owed its part of its group's
    /// attempts.
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

    /// Until when an attempt of the request would most likely pay, and until when an answer pays at all.
    /// Protects a client from a long wait for nothing: what was never attempted and pays little when late is
    /// not held beyond half of its time, and a driver among many, who cannot see the crowd, attempts nothing
    /// that would pay only that little. Should also cover groups without members. Harms what finds room
    /// later.
    pub(super) fn useful_until(&self, now: Micros, pending: &PendingRequest) -> (Micros, Micros) {
        let end = pending.arrived + pending.request.ttl;
        let late_priority_weight = self.terms.classes[pending.request.class].late_priority_weight;
        let useful = if late_priority_weight > 0.0 { end } else { end.min(pending.objective_at) };
        // What waited for a replica's word alone has not waited for room.
        let arrives = now == pending.arrived || pending.asked && now - pending.arrived <= 2 * BEAT;
        let share = if arrives { 0.5 } else { 0.85 };
        let pays = if self.sparse() && late_priority_weight < 0.5 {
            useful.min(pending.objective_at)
        } else {
            useful
        };
        let hopeless = pays - self.took[pending.request.class].quantile(share).unwrap_or(0) - BEAT;
        let waits_for_room = pending.attempts == 0 && !self.backs_off(now);
        let held = waits_for_room && (late_priority_weight < 0.5 || self.sparse());
        // Told before half of the client's time is over, with what a beat and the way take.
        let half = pending.arrived + (pending.request.ttl - pending.request.waited) / 2 - 2 * BEAT;
        (if held { hopeless.min(half.max(pending.arrived + 1)) } else { hopeless }, useful)
    }

    /// Rejected where that is true to say, else failed.
    pub(super) fn give_up(&mut self, handle: Handle) {
        let pending = &self.pending_requests[&handle];
        let rejectable = match self.terms.classes[pending.request.class].effect {
            Effect::Pure | Effect::Receipted { scope: Scope::All, .. } => true,
            _ => pending.may_have_run.is_none() && pending.out.is_none(),
        };
        // What is rejected for want of room has missed its latency objective: sooner again only adds to the
        // crowd.
        let cool_down = self.terms.classes[pending.request.class].objective.min(self.terms.max_cool_down);
        self.actions.requests.push((
            handle,
            if rejectable && !self.at_fault(pending) { Action::Reject { cool_down } } else { Action::Fail },
        ));
        self.close(handle);
    }

    pub(super) fn close(&mut self, handle: Handle) {
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        pending.closed = true;
        self.groups[pending.group].held.retain(|&held| held != handle);
        if pending.out.is_none() {
            self.pending_requests.remove(&handle);
        }
    }

    pub(super) fn attempt_ended(&mut self, now: Micros, handle: Handle, outcome: Outcome) {
        let Outcome { verdict, report, .. } = outcome;
        let pending = self.pending_requests.get(&handle);
        let out = pending.and_then(|pending| pending.out.map(|(id, _)| (id, pending.request.class)));
        let mute = out.is_some_and(|(id, _)| self.mute(now, id));
        let patience = out.map_or(0, |(_, class)| self.patience(class));
        let (sparse, drivers) = (self.sparse(), self.terms.drivers as f64);
        let credit = self.first_credit();
        let usual_took = out.and_then(|(_, class)| self.took[class].quantile(0.5)).unwrap_or(0);
        let rested = self.pending_requests.get(&handle).and_then(|pending| pending.rested);
        let reaped = verdict == Verdict::TimedOut && rested.is_some_and(|rest| self.reaped(rest));
        let way = out.map_or(0, |(id, _)| self.way(now, id));
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        let Some((id, sent)) = pending.out.take() else { return };
        let (group, class, waits_from) = (pending.group, pending.request.class, pending.waits_from);
        let (tried, over) = (pending.tries_connection, outcome.closed || pending.closed);
        match verdict {
            Verdict::LocalFailure => return self.not_sent(now, handle, id, sent, over),
            Verdict::NotSent => {}
            _ => self.connected(now, id, tried, verdict.heard()),
        }
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
        let member = &mut self.members[id];
        member.out.retain(|&out| out != handle);
        let ran = (!verdict.never_ran()).then_some((sent, member.zone));
        pending.may_have_run = pending.may_have_run.or(ran);
        let mut refusal = false;
        if let Some(rest) = pending.rested.filter(|_| verdict.heard() || verdict == Verdict::TimedOut) {
            let silent = &mut self.rests[rest];
            *silent += (f64::from(!verdict.heard()) - *silent) * 0.3;
        }
        if verdict.heard() {
            (member.answered, member.overtaken) = (now, member.overtaken.max(waits_from));
            member.hear(now, credit);
        } else if matches!(verdict, Verdict::Unconnected | Verdict::Unreachable | Verdict::Reset) {
            member.lost_until = now + 2 * HOLD;
            let refused = verdict == Verdict::Unconnected && outcome.took < HEALTH_CHECK_NEEDED;
            member.fell = member.fell.or((verdict == Verdict::Reset || refused).then_some(now));
            refusal = refused && sparse;
        }
        // A driver among many hears of few answers of a member: each then counts for more.
        let weight = if sparse { (drivers / 4.0).min(16.0) } else { 1.0 };
        let step = 0.92f64.powf(weight);
        let least = if sparse { STAY / drivers } else { (STAY / drivers).max(1.0) };
        let shrunk = (member.window * step.min(0.7)).max(least.min(1.0));
        let crowded = verdict == Verdict::TimedOut && outcome.took < patience;
        let unseen = verdict == Verdict::Unobserved;
        let seen = !verdict.never_ran() && !unseen && !reaped && verdict != Verdict::Error;
        if verdict == Verdict::Served || crowded || sparse && seen {
            member.took.add(outcome.took, KEEP / 4);
            let usual = member.took.quantile(0.6).unwrap_or(0);
            let came = matches!(verdict, Verdict::Served | Verdict::Malformed);
            let took = if came { outcome.took - way } else { Micros::MAX };
            let (typical, share) = if sparse { (took, 70) } else { (usual, 30) };
            if typical > self.terms.classes[class].objective * share / 100 {
                member.window = (member.window * step).max(least);
            } else if sparse {
                member.window = (member.window / step.powf(weight / 16.0)).min(MOST / drivers * member.size);
            } else if member.out.len() as f64 >= member.window - 2.0 {
                member.window += 1.0 / member.window;
            }
        }
        match verdict {
            Verdict::Served => {
                self.took[class].add(outcome.took, KEEP * 4);
                self.any_took.add(outcome.took, KEEP * 4);
                (member.served, member.malformed) = (member.served + 0.1, 0);
                std::mem::take(&mut pending.erred).into_iter().for_each(|id| self.failed(now, id));
            }
            // Nobody's fault as yet: whoever honours the request proves that the member failed it. A quick
            // one was no work, and gives its attempt back, but for a cold member: the rule counts what it is
            // sent.
            Verdict::Error => {
                pending.erred.push(id);
                let cold = member.since.is_some_and(|since| now - since < self.terms.warm_within);
                member.credit += f64::from(outcome.took < usual_took / 10 && !cold);
            }
            Verdict::Overloaded => (member.window, member.credit, member.credited) = (shrunk, 0.0, now),
            Verdict::NotPrimary | Verdict::NotSent | Verdict::Unobserved => {}
            // Protects a group whose members all spoil alike from the blacklist: only those in a row are
            // failures.
            // Should also cover links that break connections. Harms requests at a member that spoils most.
            Verdict::Malformed | Verdict::ConnectionLost if member.malformed < FAILURES => {
                member.malformed += 1
            }
            // An attempt that outlasted its limit at a member that answers others met a crowd, not a fault.
            Verdict::TimedOut | Verdict::Cancelled if !mute || reaped => {}
            _ => self.failed(now, id),
        }
        let told_commit =
            report.position.filter(|_| verdict == Verdict::Served).unwrap_or(self.members_now(now));
        let commit = if verdict.never_ran() { 0 } else { told_commit };
        self.session(handle).into_iter().for_each(|session| session.ended(commit));
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
        pending.last = Some(id);
        let idle = self.members[id].out.is_empty();
        if refusal {
            self.refused(now, id);
        } else if now < self.tight_until && idle {
            self.actions.shut.push(id);
        }
        self.note(now, id, report, sent, now - report.age);
        if verdict == Verdict::NotPrimary && self.groups[group].primary.is_none() {
            let round = self.groups[group].members.len().min(self.terms.max_attempts as usize / 2);
            let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
            pending.misses += 1;
            let over = pending.misses >= round;
            pending.misses = if over { 0 } else { pending.misses };
            let (over_hold, member) = (now + self.hold(), &mut self.members[id]);
            member.not_primary = member.not_primary.max(now - report.age);
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

    /// A failure that is the member's own: some in a row blacklist it, fewer where each driver sees few of
    /// its answers.
    fn failed(&mut self, now: Micros, id: MemberId) {
        let (member, drivers) = (&mut self.members[id], self.terms.drivers as f64);
        member.failures.push_back(now);
        member.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if member.failures.len() as f64 >= (FAILURES as f64 * 25.0 / drivers).min(FAILURES as f64) {
            member.failures.clear();
            member.blacklisted_until = now + BLACKLISTED_FOR;
        }
    }

    /// Protects members from blacklists, and the attempts of others from being used up, by requests that
    /// bring their errors with them: two members that fail it alike, or one three times, prove it. Should
    /// also cover statements that every member turns down. Harms a request that met two bad members.
    fn at_fault(&self, pending: &PendingRequest) -> bool {
        pending.erred.len() > 2 || pending.erred.iter().any(|id| *id != pending.erred[0])
    }

    /// Protects members that take few connections from those that drivers keep idle: a driver among many
    /// that was refused closes its own, for a while after each use. A health check tells whether the process
    /// is dead. Harms attempts by a handshake each.
    pub(super) fn refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.tight_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].out.is_empty());
            self.actions.shut.extend(idle);
        }
        self.tight_until = now + FAILURE_WINDOW;
        self.health_check(now, id, HEALTH_CHECK_NEEDED);
    }

    /// Further attempts go by priority weight: the best paid request class may use them all.
    pub(super) fn attempts_allowed(&self, class: &RequestClass) -> u32 {
        let best = self.terms.classes.iter().map(|o| o.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
        let most = f64::from(self.terms.max_attempts);
        (most * (class.priority_weight / best).max(0.5)).ceil().min(most) as u32
    }

    pub(super) fn pump_all(&mut self, now: Micros) {
        (0..self.groups.len()).for_each(|group| self.pump(now, group));
    }

    /// Places the held requests of a group again: best paid first, then those that came last.
    pub(super) fn pump(&mut self, now: Micros, group: usize) {
        if self.groups[group].held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.groups[group].held);
        let worth = |handle: &Handle| {
            let pending = &self.pending_requests[handle];
            let class = &self.terms.classes[pending.request.class];
            let late = now > pending.objective_at || pending.repeat;
            class.priority_weight * if late { class.late_priority_weight } else { 1.0 }
        };
        held.sort_by(|a, b| worth(b).total_cmp(&worth(a)).then(b.cmp(a)));
        held.into_iter().for_each(|handle| self.place(now, handle));
    }
}
