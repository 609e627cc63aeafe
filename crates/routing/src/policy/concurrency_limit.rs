//! Concurrency limits: how many attempts this router may have in flight at a member.

use super::availability::SentAttempt;
use super::{HISTOGRAM_MEMORY, MS};
use crate::state::{Member, Router};
use crate::{MemberId, MemberStatus, Micros, Outcome, Verdict};

/// Attempts that all routers together may have in flight at a newly listed member, if their fleet is not
/// large.
pub(super) const INITIAL_FLEET_LIMIT: f64 = 10.0;
/// Attempts that all routers together may always have in flight at a member.
pub(super) const GUARANTEED_FLEET_LIMIT: f64 = 4.0;
/// Maximum number of attempts that all routers together may have in flight at a member of size one.
pub(super) const MAX_FLEET_LIMIT: f64 = 100.0;

/// An ended attempt, as a sample of its member's load.
pub(super) struct LoadSample {
    pub(super) member: MemberId,
    pub(super) class: usize,
    /// Whether the connection had most likely been dropped on the network path while it was idle.
    pub(super) connection_dropped: bool,
    pub(super) outcome: Outcome,
}

impl Router {
    /// Sets the number of live routers. The capacity of dead ones is taken over, or given back, at once.
    /// Members that are warming up are shared by `routers_sharing_warm_up` routers, a number that includes
    /// dead ones that may come back.
    ///
    /// The cost: members are overloaded if live routers are taken for dead.
    pub fn set_fleet_size(&mut self, live_routers: usize, routers_sharing_warm_up: usize) {
        let ratio = self.config.routers as f64 / live_routers as f64;
        self.config.routers = live_routers;
        self.config.routers_sharing_warm_up = routers_sharing_warm_up;
        let min_limit = if self.in_large_fleet() { 0.0 } else { 1.0 };
        self.members
            .iter_mut()
            .for_each(|member| member.concurrency_limit = (member.concurrency_limit * ratio).max(min_limit));
    }

    /// Returns the number of further attempts that this router may have in flight at the member, by its
    /// concurrency limit and, while the member warms up, its slow-start allowance. Where less than one
    /// attempt is due, attempts are saved up.
    pub(super) fn available_capacity(&self, now: Micros, id: MemberId) -> f64 {
        if !self.may_connect(now, id) {
            return 0.0;
        }
        let member = &self.members[id];
        // Attempts that stay in flight for long while later ones are answered are taken for lost and use no
        // capacity.
        let overdue = |attempt: &SentAttempt| {
            attempt.waiting_since < member.newest_answered_sent_at
                && now - attempt.waiting_since > self.longest_expected_duration(attempt.class)
        };
        let lost = self.attempts_in_flight(id).filter(overdue).count();
        let in_flight = (member.in_flight.len() - lost) as f64;
        let mut capacity = member.concurrency_limit.floor() - in_flight;
        let allowance = self.slow_start_allowance(now, id);
        let recently_sent =
            member.sent_recently.iter().filter(|&&at| at > now - self.config.overload_window).count() as f64;
        if self.in_large_fleet() {
            // The slow-start allowance is not rounded down here, as the attempts of many routers add up to
            // it.
            let is_available =
                in_flight < 1.0 && self.saved_attempts(now, id) >= 1.0 && recently_sent <= allowance;
            return if is_available { member.concurrency_limit } else { 0.0 };
        } else if self.leaves_attempts_unanswered(now, id) {
            capacity = capacity.max(1.0);
        }
        if allowance < 1.0 && self.saved_attempts(now, id) < 1.0 {
            return 0.0;
        }
        capacity.min(allowance.max(1.0).floor() - recently_sent)
    }

    /// Returns the attempts saved up for the member: at most two if it is warm, and half of its slow-start
    /// allowance, but from one to two, while it warms up.
    pub(super) fn saved_attempts(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let allowance = self.slow_start_allowance(now, id);
        let allowance_rate = allowance / self.config.overload_window as f64;
        let typical_duration = self.all_durations.quantile(0.9).unwrap_or(0).max(100 * MS) / 2;
        let rate = allowance_rate.min(member.concurrency_limit / typical_duration as f64);
        let max_saved = (allowance / 2.0).clamp(1.0, 2.0);
        (member.saved_attempts + (now - member.saved_at) as f64 * rate).min(max_saved)
    }

    /// Charges an attempt to what was saved for its member, and to the primary deficit or the search of its
    /// group.
    pub(super) fn charge_attempt(&mut self, now: Micros, id: MemberId, is_write: bool) {
        let saved_attempts = self.saved_attempts(now, id) - 1.0;
        let member = &mut self.members[id];
        member.saved_attempts = saved_attempts;
        member.saved_at = now;
        let group = member.group;
        match self.groups[group].primary {
            Some(primary) if self.in_large_fleet() => self.record_primary_deficit(now, id, primary),
            None if is_write => self.groups[group].search_after = now + self.search_hold(),
            _ => {}
        }
    }

    /// Adds to the primary's deficit its share, by size and concurrency limit, of an attempt that a member of
    /// its group gets.
    fn record_primary_deficit(&mut self, now: Micros, id: MemberId, primary: MemberId) {
        let weight = |&id: &MemberId| {
            let Member { status, size, concurrency_limit, unreachable_until, .. } = self.members[id];
            if status == MemberStatus::Ready && now >= unreachable_until {
                size * concurrency_limit
            } else {
                0.0
            }
        };
        let group = &mut self.groups[self.members[id].group];
        let total_weight: f64 = group.members.iter().map(weight).sum();
        let deficit_change = weight(&primary) / total_weight.max(f64::EPSILON) - f64::from(id == primary);
        group.primary_deficit = (group.primary_deficit + deficit_change).clamp(-3.0, 3.0);
    }

    /// Raises or lowers the concurrency limit by the duration of an attempt, where that indicates the
    /// member's load.
    pub(super) fn adapt_concurrency_limit(&mut self, now: Micros, sample: &LoadSample) {
        let in_large_fleet = self.in_large_fleet();
        let routers = self.config.routers as f64;
        let verdict = sample.outcome.verdict;
        let timed_out_early = verdict == Verdict::TimedOut
            && sample.outcome.duration < self.longest_expected_duration(sample.class);
        let is_observed = !verdict.never_ran()
            && !sample.connection_dropped
            && verdict != Verdict::Unobserved
            && verdict != Verdict::Error;
        if verdict != Verdict::Served && !timed_out_early && !(in_large_fleet && is_observed) {
            return;
        }
        let round_trip = self.round_trip_to(now, sample.member);
        let decrease_factor = self.decrease_factor();
        let min_limit = self.min_concurrency_limit();
        let answer_weight = self.answer_weight();
        let objective = self.config.classes[sample.class].objective;
        let member = &mut self.members[sample.member];
        member.durations.add(sample.outcome.duration, HISTOGRAM_MEMORY / 4);
        let typical_duration = member.durations.quantile(0.6).unwrap_or(0);
        let is_answered = matches!(verdict, Verdict::Served | Verdict::Malformed);
        let slow = if in_large_fleet {
            let service_time = if is_answered { sample.outcome.duration - round_trip } else { Micros::MAX };
            service_time > objective * 70 / 100
        } else {
            typical_duration > objective * 30 / 100
        };
        if slow {
            member.concurrency_limit = (member.concurrency_limit * decrease_factor).max(min_limit);
        } else if in_large_fleet {
            let max_limit = MAX_FLEET_LIMIT / routers * member.size;
            member.concurrency_limit =
                (member.concurrency_limit / decrease_factor.powf(answer_weight / 16.0)).min(max_limit);
        } else if member.in_flight.len() as f64 >= member.concurrency_limit - 2.0 {
            member.concurrency_limit += 1.0 / member.concurrency_limit;
        }
    }

    /// Lowers the concurrency limit after the member rejected an attempt as overloaded, and discards what was
    /// saved for it.
    pub(super) fn shrink_concurrency_limit(&mut self, now: Micros, id: MemberId) {
        let decrease_factor = self.decrease_factor();
        let min_limit = self.min_concurrency_limit();
        let member = &mut self.members[id];
        member.concurrency_limit =
            (member.concurrency_limit * decrease_factor.min(0.7)).max(min_limit.min(1.0));
        member.saved_attempts = 0.0;
        member.saved_at = now;
    }

    /// Gives back the attempt of a quick error, which caused no work. A member that is warming up gets none
    /// back, as the overload rule counts what it is sent.
    pub(super) fn refund_quick_error(&mut self, now: Micros, id: MemberId, class: usize, duration: Micros) {
        let typical_duration = self.durations[class].quantile(0.5).unwrap_or(0);
        let slow_start_duration = self.config.slow_start_duration;
        let member = &mut self.members[id];
        if duration < typical_duration / 10 && !member.is_warming_up(now, slow_start_duration) {
            member.saved_attempts += 1.0;
        }
    }

    /// Returns the weight of one answer. In a large fleet, a router gets few of a member's answers, so each
    /// counts for more.
    fn answer_weight(&self) -> f64 {
        if self.in_large_fleet() { (self.config.routers as f64 / 4.0).min(16.0) } else { 1.0 }
    }

    /// Returns the factor by which one slow answer lowers a concurrency limit.
    fn decrease_factor(&self) -> f64 {
        0.92f64.powf(self.answer_weight())
    }

    /// Returns the limit below which slow answers do not lower a concurrency limit.
    fn min_concurrency_limit(&self) -> f64 {
        let guaranteed_limit = GUARANTEED_FLEET_LIMIT / self.config.routers as f64;
        if self.in_large_fleet() { guaranteed_limit } else { guaranteed_limit.max(1.0) }
    }
}
