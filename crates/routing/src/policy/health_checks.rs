//! Health checks: when they are sent, and what their results say.

use super::blacklist::BLACKLIST_DURATION;
use super::{MS, WRITE_HOLD};
use crate::state::{RoundTrip, Router};
use crate::{Actions, MemberId, MemberReport, MemberStatus, Micros, Verdict};

/// How often a member that is not heard otherwise is checked where credit is left over.
pub(super) const HEALTH_CHECK_EVERY: Micros = 1_000 * MS;
/// Health checks of members whose proof of freshness has run out, and of a group without a primary.
pub(super) const HEALTH_CHECK_NEEDED: Micros = 100 * MS;

impl RoundTrip {
    fn measure(&mut self, estimate: Micros, now: Micros) {
        self.estimate = estimate;
        self.measured_at = now;
    }

    /// The estimate, in microseconds; zero where it is too old to be believed.
    pub(super) fn of_late(self, now: Micros) -> Micros {
        if now - self.measured_at < BLACKLIST_DURATION { self.estimate } else { 0 }
    }
}

impl Router {
    /// Checks members of a group in which requests are held, where that may set them free.
    pub(super) fn health_check_for_held(&mut self, now: Micros, group: usize) {
        let sought = !self.is_wide(&self.groups[group]) && self.lacks_primary(now, &self.groups[group]);
        let gap = if self.in_large_fleet() { WRITE_HOLD } else { HEALTH_CHECK_NEEDED };
        for at in 0..self.groups[group].members.len() {
            let id = self.groups[group].members[at];
            if sought || now < self.members[id].unreachable_until {
                self.health_check(now, id, gap);
            }
        }
    }

    /// Checks a member that was not heard of late, where requests have paid for more than they need.
    pub(super) fn health_check_to_spare(&mut self, now: Micros, id: MemberId) {
        let spare = self.health_check_budget.has_spare(self.members.len());
        if spare && now - self.members[id].last_heard_at > HEALTH_CHECK_EVERY {
            self.health_check(now, id, HEALTH_CHECK_EVERY);
        }
    }

    /// Takes in how a health check ended, after `took` microseconds. A member too full to report has answered
    /// all the same. A member that is not known is passed over.
    pub fn health_checked(
        &mut self,
        now: Micros,
        id: MemberId,
        verdict: Verdict,
        took: Micros,
        report: MemberReport,
    ) -> Actions {
        let slow_start_credit = self.initial_saved_attempts();
        let Some(member) = self.members.get_mut(id) else { return self.take_actions() };
        let group = member.group;
        member.health_check_in_flight = false;
        self.measure_round_trip(now, id, verdict, took);
        match verdict {
            // Nobody asked it, or nobody saw its answer.
            Verdict::NotSent | Verdict::Unobserved | Verdict::LocalFailure => {}
            Verdict::Served | Verdict::Overloaded | Verdict::Malformed | Verdict::ConnectionLost => {
                self.health_check_answered(now, id, report, slow_start_credit);
            }
            _ => self.health_check_missed(now, id, verdict),
        }
        self.route_queued(now, group);
        self.close_unless_kept(id);
        self.take_actions()
    }

    /// The way to the member and its zone: an answer halves the difference; silence says less, as one member
    /// alone may be dead.
    fn measure_round_trip(&mut self, now: Micros, id: MemberId, verdict: Verdict, took: Micros) {
        let member = &mut self.members[id];
        let unmeasured = RoundTrip { estimate: 0, measured_at: now };
        let zone = self.zone_round_trips.entry(member.zone).or_insert(unmeasured);
        match verdict {
            Verdict::Served => {
                zone.measure((zone.estimate + took) / 2, now);
                member.round_trip.measure((member.round_trip.estimate + took) / 2, now);
            }
            Verdict::TimedOut => zone.measure(zone.estimate + (took - zone.estimate) / 4, now),
            _ => {}
        }
    }

    /// An answer lifts the blacklisting that missing ones brought about.
    fn health_check_answered(
        &mut self,
        now: Micros,
        id: MemberId,
        report: MemberReport,
        slow_start_credit: f64,
    ) {
        let member = &mut self.members[id];
        member.blacklist.record_answered_health_check(now);
        member.record_heard(now, slow_start_credit);
        let position_at = report.position.map(|position| position.saturating_sub(self.clock_offset));
        let reported_at = position_at.unwrap_or(now - WRITE_HOLD - report.age);
        self.record_report(now, id, report, reported_at, reported_at);
    }

    fn health_check_missed(&mut self, now: Micros, id: MemberId, verdict: Verdict) {
        let member = &mut self.members[id];
        if verdict == Verdict::Unconnected {
            member.down_since.get_or_insert(now);
        }
        member.unreachable_until = now + 2 * WRITE_HOLD;
        member.blacklist.record_missed_health_check(now);
    }

    /// Sends a health check, where one is allowed and paid for and the last one was sent at least `gap`
    /// microseconds ago.
    pub(super) fn health_check(&mut self, now: Micros, id: MemberId, gap: Micros) {
        let member = &mut self.members[id];
        let early = member.health_check_in_flight || now - member.last_health_check_at < gap;
        let allowed = self.config.health_checks_allowed && self.health_check_budget.affords_one();
        if allowed && member.status == MemberStatus::Ready && !early {
            self.health_check_budget.spend_one();
            member.health_check_in_flight = true;
            member.last_health_check_at = now;
            self.actions.health_checks.push(id);
        }
    }

    /// There and back to the member, in microseconds, as far as its health checks of late tell.
    pub(super) fn round_trip_to(&self, now: Micros, id: MemberId) -> Micros {
        self.members[id].round_trip.of_late(now)
    }
}
