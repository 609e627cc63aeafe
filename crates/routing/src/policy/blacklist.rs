//! The blacklist: members that are avoided as long as others are left, because they failed or left health
//! checks unanswered.
//!
//! Together with the draining members of the endpoint list, this makes up the three redundant filters of the
//! design. Blacklisting for failures and for missed health checks expires by itself, so a wrong entry costs
//! no more than its duration.

use std::collections::VecDeque;

use super::MS;
use crate::Micros;

/// Time for which a member stays blacklisted, in microseconds. The design's default is 20 s, see
/// docs/design.md.
pub(super) const BLACKLIST_DURATION: Micros = 5_000 * MS;
/// Time for which a failure counts, in microseconds; the design specifies it.
pub(super) const FAILURE_WINDOW: Micros = 10_000 * MS;
/// Failures within [`FAILURE_WINDOW`] that blacklist a member; the design specifies them.
const FAILURE_THRESHOLD: usize = 5;
/// Largest number of routers for which the design's threshold applies. With more of them, each sees too few
/// of a member's answers.
const ROUTERS_AT_FULL_THRESHOLD: f64 = 25.0;
/// Malformed responses in a row that do not yet count as failures.
const TOLERATED_MALFORMED: usize = 5;
/// Missed health checks in a row that blacklist a member; the design specifies them.
const MISSED_HEALTH_CHECKS: u32 = 3;

/// Returns the number of failures within [`FAILURE_WINDOW`] that blacklist a member if `routers` share its
/// answers.
pub(super) fn failure_threshold(routers: usize) -> f64 {
    let full_threshold = FAILURE_THRESHOLD as f64;
    (full_threshold * ROUTERS_AT_FULL_THRESHOLD / routers as f64).min(full_threshold)
}

/// Recent failures of a member, and the time until which it is avoided for them.
#[derive(Clone, Default)]
pub(crate) struct Blacklist {
    blacklisted_until: Micros,
    /// Times of the failures, oldest first.
    failures: VecDeque<Micros>,
    /// Malformed responses, and connections lost before the attempt was sent, since the last served attempt.
    malformed_in_row: usize,
    missed_health_checks: u32,
}

impl Blacklist {
    /// Returns whether the member is not blacklisted.
    pub(super) fn allows(&self, now: Micros) -> bool {
        now >= self.blacklisted_until
    }

    /// Records a failure for which the member itself is responsible.
    pub(super) fn record_failure(&mut self, now: Micros, threshold: f64) {
        self.failures.push_back(now);
        self.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if self.failures.len() as f64 >= threshold {
            self.failures.clear();
            self.blacklisted_until = now + BLACKLIST_DURATION;
        }
    }

    /// Records a malformed response, or a connection lost before the attempt was sent. It counts as a failure
    /// only after several in a row.
    ///
    /// Without this tolerance, a link that breaks connections would get a whole group blacklisted, as all its
    /// members seem to respond that way. The cost: some requests fail at a member that really does.
    pub(super) fn record_malformed(&mut self, now: Micros, threshold: f64) {
        if self.malformed_in_row < TOLERATED_MALFORMED {
            self.malformed_in_row += 1;
        } else {
            self.record_failure(now, threshold);
        }
    }

    /// Records a served attempt.
    pub(super) fn record_served(&mut self) {
        self.malformed_in_row = 0;
    }

    /// Records a health check that was not answered.
    pub(super) fn record_missed_health_check(&mut self, now: Micros) {
        self.missed_health_checks += 1;
        if self.missed_health_checks >= MISSED_HEALTH_CHECKS {
            self.blacklisted_until = now + BLACKLIST_DURATION;
        }
    }

    /// Records an answered health check, and lifts a blacklisting for missed ones.
    pub(super) fn record_answered_health_check(&mut self, now: Micros) {
        if self.missed_health_checks >= MISSED_HEALTH_CHECKS {
            self.blacklisted_until = now;
        }
        self.missed_health_checks = 0;
    }

    /// Lifts the blacklisting of a member whose process was replaced, as what the old process failed at does
    /// not count against the new one.
    pub(super) fn lift(&mut self, now: Micros) {
        self.blacklisted_until = self.blacklisted_until.min(now);
    }
}
