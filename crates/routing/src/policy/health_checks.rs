//! Health checks: when they are sent, and what their results say about members.

use super::blacklist::BLACKLIST_DURATION;
use super::{MS, WRITE_HOLD};
use crate::state::{RoundTrip, Router};
use crate::{Actions, MemberId, MemberReport, MemberStatus, Micros, Verdict};

/// Interval, in microseconds, at which a member that is not heard from otherwise is checked while the budget
/// has spare credit.
pub(super) const HEALTH_CHECK_INTERVAL: Micros = 1_000 * MS;
/// Minimum interval, in microseconds, between health checks of a member whose proof of freshness has expired
/// or whose group lacks a primary.
pub(super) const URGENT_HEALTH_CHECK_INTERVAL: Micros = 100 * MS;

impl RoundTrip {
    /// Stores a new estimate, in microseconds, and the time at which it was measured.
    fn record(&mut self, estimate: Micros, now: Micros) {
        self.estimate = estimate;
        self.measured_at = now;
    }

    /// Returns the estimate in microseconds, or zero if the measurement is too old to be reliable.
    pub(super) fn recent_estimate(self, now: Micros) -> Micros {
        if now - self.measured_at < BLACKLIST_DURATION { self.estimate } else { 0 }
    }
}

impl Router {
    /// Checks the members of a group whose results may unblock its queued requests: unreachable members and,
    /// in a group that is not large and lacks a primary, all members.
    pub(super) fn health_check_for_queued(&mut self, now: Micros, group: usize) {
        let searches_primary =
            !self.is_large_group(&self.groups[group]) && self.lacks_primary(now, &self.groups[group]);
        let min_interval = if self.in_large_fleet() { WRITE_HOLD } else { URGENT_HEALTH_CHECK_INTERVAL };
        for index in 0..self.groups[group].members.len() {
            let id = self.groups[group].members[index];
            if searches_primary || now < self.members[id].unreachable_until {
                self.try_health_check(now, id, min_interval);
            }
        }
    }

    /// Checks a member that was not heard from for [`HEALTH_CHECK_INTERVAL`], if the budget has spare credit.
    pub(super) fn background_health_check(&mut self, now: Micros, id: MemberId) {
        let has_spare_credit = self.health_check_budget.has_spare(self.members.len());
        if has_spare_credit && now - self.members[id].last_heard_at > HEALTH_CHECK_INTERVAL {
            self.try_health_check(now, id, HEALTH_CHECK_INTERVAL);
        }
    }

    /// Records the result of a health check that took `duration` microseconds, and routes the queued requests
    /// of the member's group again.
    ///
    /// A member that is too overloaded to report has answered nevertheless. The result is ignored if the
    /// member is not known.
    pub fn health_checked(
        &mut self,
        now: Micros,
        id: MemberId,
        verdict: Verdict,
        duration: Micros,
        report: MemberReport,
    ) -> Actions {
        let initial_saved_attempts = self.initial_saved_attempts();
        let Some(member) = self.members.get_mut(id) else { return self.take_actions() };
        let group = member.group;
        member.health_check_in_flight = false;
        self.measure_round_trip(now, id, verdict, duration);
        match verdict {
            // The member was not asked, or its answer was not observed.
            Verdict::NotSent | Verdict::Unobserved | Verdict::LocalFailure => {}
            Verdict::Served | Verdict::Overloaded | Verdict::Malformed | Verdict::ConnectionLost => {
                self.health_check_answered(now, id, report, initial_saved_attempts);
            }
            _ => self.health_check_missed(now, id, verdict),
        }
        self.route_queued(now, group);
        self.close_if_outside_subset(id);
        self.take_actions()
    }

    /// Updates the round-trip estimates of the member and its zone. An answer moves both estimates half of
    /// the way to the measured time. A timeout moves only the zone's estimate, by a quarter, because the
    /// cause may be that this one member is dead.
    fn measure_round_trip(&mut self, now: Micros, id: MemberId, verdict: Verdict, duration: Micros) {
        let member = &mut self.members[id];
        let unmeasured = RoundTrip { estimate: 0, measured_at: now };
        let zone = self.zone_round_trips.entry(member.zone).or_insert(unmeasured);
        match verdict {
            Verdict::Served => {
                zone.record((zone.estimate + duration) / 2, now);
                member.round_trip.record((member.round_trip.estimate + duration) / 2, now);
            }
            Verdict::TimedOut => zone.record(zone.estimate + (duration - zone.estimate) / 4, now),
            _ => {}
        }
    }

    /// Records that a health check was answered, which ends a blacklisting caused by missed health checks.
    fn health_check_answered(
        &mut self,
        now: Micros,
        id: MemberId,
        report: MemberReport,
        initial_saved_attempts: f64,
    ) {
        let member = &mut self.members[id];
        member.blacklist.record_answered_health_check(now);
        member.record_heard(now, initial_saved_attempts);
        let position_at = report.position.map(|position| position.saturating_sub(self.clock_offset));
        let reported_at = position_at.unwrap_or(now - WRITE_HOLD - report.age);
        self.record_report(now, id, report, reported_at, reported_at);
    }

    /// Records that a health check was not answered. The member counts as unreachable for two write holds, or
    /// until it is heard from.
    fn health_check_missed(&mut self, now: Micros, id: MemberId, verdict: Verdict) {
        let member = &mut self.members[id];
        if verdict == Verdict::Unconnected {
            member.down_since.get_or_insert(now);
        }
        member.unreachable_until = now + 2 * WRITE_HOLD;
        member.blacklist.record_missed_health_check(now);
    }

    /// Sends a health check if health checks are allowed, the budget pays for it, the member is ready, no
    /// other check of it is in flight, and the last one was sent at least `min_interval` microseconds ago.
    pub(super) fn try_health_check(&mut self, now: Micros, id: MemberId, min_interval: Micros) {
        let member = &mut self.members[id];
        let too_early = member.health_check_in_flight || now - member.last_health_check_at < min_interval;
        let allowed = self.config.health_checks_allowed && self.health_check_budget.affords_one();
        if allowed && member.status == MemberStatus::Ready && !too_early {
            self.health_check_budget.spend_one();
            member.health_check_in_flight = true;
            member.last_health_check_at = now;
            self.actions.health_checks.push(id);
        }
    }

    /// Returns the round-trip time to the member in microseconds, as measured by its recent health checks;
    /// zero if there is no recent measurement.
    pub(super) fn round_trip_to(&self, now: Micros, id: MemberId) -> Micros {
        self.members[id].round_trip.recent_estimate(now)
    }
}
