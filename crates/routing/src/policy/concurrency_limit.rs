//! How many attempts this router may have in flight at a member.

use super::availability::SentAttempt;
use super::{HISTOGRAM_MEMORY, MS};
use crate::state::{Member, Router};
use crate::{MemberId, Micros, Outcome, Standing, Verdict};

/// Attempts at a member that all routers together start with.
pub(super) const INITIAL_FLEET_LIMIT: f64 = 10.0;
/// Attempts at a member that all routers together may always have in flight.
pub(super) const GUARANTEED_FLEET_LIMIT: f64 = 4.0;
/// Attempts at a member of usual size that all routers together may have in flight at most.
pub(super) const MAX_FLEET_LIMIT: f64 = 100.0;

/// An attempt that has ended, as far as it tells of its member's load.
pub(super) struct EndedLoad {
    pub(super) member: MemberId,
    pub(super) class: usize,
    /// Its connection had most likely been dropped on the way while it rested.
    pub(super) reaped: bool,
    pub(super) outcome: Outcome,
}

impl Router {
    /// Sets how many routers live: the capacity of dead ones is taken over, or given back, at once. Members
    /// that warm up are shared by `warming`, whoever may come back.
    ///
    /// Costs members a crowd when routers that live are taken for dead.
    pub fn fleet(&mut self, living: usize, warming: usize) {
        let ratio = self.terms.drivers as f64 / living as f64;
        self.terms.drivers = living;
        self.terms.routers_sharing_warm_up = warming;
        let least = if self.is_one_of_many() { 0.0 } else { 1.0 };
        self.members
            .iter_mut()
            .for_each(|member| member.concurrency_limit = (member.concurrency_limit * ratio).max(least));
    }

    /// How many more attempts this router may have in flight at the member: its window and, while the member
    /// warms up, its slow-start allowance. Where less than one attempt is due, attempts are saved up for.
    pub(super) fn available_capacity(&self, now: Micros, id: MemberId) -> f64 {
        if !self.may_connect(now, id) {
            return 0.0;
        }
        let member = &self.members[id];
        // Attempts that stay in flight for long while later ones are answered are taken for lost: they hold
        // no place.
        let overdue = |sent: &SentAttempt| {
            sent.at < member.newest_answered_sent
                && now - sent.at > self.longest_expected_duration(sent.class)
        };
        let lost = self.attempts_in_flight(id).filter(overdue).count();
        let out = (member.in_flight.len() - lost) as f64;
        let mut room = member.concurrency_limit.floor() - out;
        let bearable = self.slow_start_allowance(now, id);
        let sent =
            member.sent_recently.iter().filter(|&&at| at > now - self.terms.overload_window).count() as f64;
        if self.is_one_of_many() {
            // None of a slow-start allowance is lost to whole numbers: many routers' attempts add up to it.
            let free = out < 1.0 && self.saved_attempts(now, id) >= 1.0 && sent <= bearable;
            return if free { member.concurrency_limit } else { 0.0 };
        } else if self.leaves_unanswered(now, id) {
            room = room.max(1.0);
        }
        if bearable < 1.0 && self.saved_attempts(now, id) < 1.0 {
            return 0.0;
        }
        room.min(bearable.max(1.0).floor() - sent)
    }

    /// Attempts saved up: at most two at a warm member and one at a member that is warming up.
    pub(super) fn saved_attempts(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let bearable = self.slow_start_allowance(now, id);
        let bearable_pace = bearable / self.terms.overload_window as f64;
        let usual = self.all_durations.quantile(0.9).unwrap_or(0).max(100 * MS) / 2;
        let pace = bearable_pace.min(member.concurrency_limit / usual as f64);
        let most = (bearable / 2.0).clamp(1.0, 2.0);
        (member.saved_attempts + (now - member.saved_at) as f64 * pace).min(most)
    }

    /// An attempt uses up what was saved for its member, and counts against its group's primary or search.
    pub(super) fn charge_attempt(&mut self, now: Micros, id: MemberId, writes: bool) {
        let credit = self.saved_attempts(now, id) - 1.0;
        let member = &mut self.members[id];
        member.saved_attempts = credit;
        member.saved_at = now;
        let group = member.group;
        match self.groups[group].primary {
            Some(primary) if self.is_one_of_many() => self.record_primary_deficit(now, id, primary),
            None if writes => self.groups[group].search_after = now + self.search_hold(),
            _ => {}
        }
    }

    /// The primary is owed its quota, by size and window, of each attempt that its group's members get.
    fn record_primary_deficit(&mut self, now: Micros, id: MemberId, primary: MemberId) {
        let weight = |&id: &MemberId| {
            let Member { standing, size, concurrency_limit, unreachable_until, .. } = self.members[id];
            if standing == Standing::Ready && now >= unreachable_until {
                size * concurrency_limit
            } else {
                0.0
            }
        };
        let group = &mut self.groups[self.members[id].group];
        let all: f64 = group.members.iter().map(weight).sum();
        let due = weight(&primary) / all.max(f64::EPSILON) - f64::from(id == primary);
        group.primary_deficit = (group.primary_deficit + due).clamp(-3.0, 3.0);
    }

    /// Widens or narrows the window by how long the attempt took, where that says something of the member's
    /// load.
    pub(super) fn adapt_concurrency_limit(&mut self, now: Micros, ended: &EndedLoad) {
        let many_routers = self.is_one_of_many();
        let drivers = self.terms.drivers as f64;
        let verdict = ended.outcome.verdict;
        let crowded =
            verdict == Verdict::TimedOut && ended.outcome.took < self.longest_expected_duration(ended.class);
        let seen = !verdict.never_ran()
            && !ended.reaped
            && verdict != Verdict::Unobserved
            && verdict != Verdict::Error;
        if verdict != Verdict::Served && !crowded && !(many_routers && seen) {
            return;
        }
        let round_trip = self.round_trip_to(now, ended.member);
        let step = self.window_step();
        let least = self.least_window();
        let weight = self.answer_weight();
        let objective = self.terms.classes[ended.class].objective;
        let member = &mut self.members[ended.member];
        member.durations.add(ended.outcome.took, HISTOGRAM_MEMORY / 4);
        let usual = member.durations.quantile(0.6).unwrap_or(0);
        let came = matches!(verdict, Verdict::Served | Verdict::Malformed);
        let slow = if many_routers {
            let took = if came { ended.outcome.took - round_trip } else { Micros::MAX };
            took > objective * 70 / 100
        } else {
            usual > objective * 30 / 100
        };
        if slow {
            member.concurrency_limit = (member.concurrency_limit * step).max(least);
        } else if many_routers {
            let most = MAX_FLEET_LIMIT / drivers * member.size;
            member.concurrency_limit = (member.concurrency_limit / step.powf(weight / 16.0)).min(most);
        } else if member.in_flight.len() as f64 >= member.concurrency_limit - 2.0 {
            member.concurrency_limit += 1.0 / member.concurrency_limit;
        }
    }

    /// The member rejected an attempt as overloaded: its window narrows, and nothing is saved up for it.
    pub(super) fn shrink_concurrency_limit(&mut self, now: Micros, id: MemberId) {
        let step = self.window_step();
        let least = self.least_window();
        let member = &mut self.members[id];
        member.concurrency_limit = (member.concurrency_limit * step.min(0.7)).max(least.min(1.0));
        member.saved_attempts = 0.0;
        member.saved_at = now;
    }

    /// A quick error was no work and gives its attempt back, but not at a member that is warming up: the
    /// overload rule counts what that one is sent.
    pub(super) fn give_back_quick_error(&mut self, now: Micros, id: MemberId, class: usize, took: Micros) {
        let usual = self.durations[class].quantile(0.5).unwrap_or(0);
        let warm_within = self.terms.warm_within;
        let member = &mut self.members[id];
        if took < usual / 10 && !member.is_warming_up(now, warm_within) {
            member.saved_attempts += 1.0;
        }
    }

    /// A router among many gets few of a member's answers: each then counts for more.
    fn answer_weight(&self) -> f64 {
        if self.is_one_of_many() { (self.terms.drivers as f64 / 4.0).min(16.0) } else { 1.0 }
    }

    /// The factor by which one slow answer narrows a window.
    fn window_step(&self) -> f64 {
        0.92f64.powf(self.answer_weight())
    }

    /// What slow answers narrow a window to at the most.
    fn least_window(&self) -> f64 {
        let least = GUARANTEED_FLEET_LIMIT / self.terms.drivers as f64;
        if self.is_one_of_many() { least } else { least.max(1.0) }
    }
}
