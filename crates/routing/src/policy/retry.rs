//! What follows from an attempt's end.

use super::blacklist::FAILURES;
use super::concurrency_limit::{MOST, STAY};
use super::health_checks::HEALTH_CHECK_NEEDED;
use super::{HOLD, KEEP};
use crate::state::{Handle, Router};
use crate::{Micros, Outcome, Verdict};

impl Router {
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
}
