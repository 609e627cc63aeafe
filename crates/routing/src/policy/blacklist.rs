//! The blacklist: members that are avoided while others are left, because they failed or left health checks unanswered.
//!
//! With the endpoint list's draining members this makes the three redundant filters of the design. Both entries expire
//! by themselves, so a wrong one costs no more than its duration.

use std::collections::VecDeque;

use super::MS;
use crate::Micros;

/// How long a member stays blacklisted, in microseconds. The design's default is 20 s; see docs/design.md.
pub(super) const BLACKLIST_DURATION: Micros = 5_000 * MS;
/// How long a failure counts, in microseconds, as the design says.
pub(super) const FAILURE_WINDOW: Micros = 10_000 * MS;
/// Failures within [`FAILURE_WINDOW`] that blacklist a member, as the design says.
const FAILURE_THRESHOLD: usize = 5;
/// Up to this number of routers the threshold is the design's; of more, each sees too few of a member's answers.
const ROUTERS_AT_FULL_THRESHOLD: f64 = 25.0;
/// Malformed responses in a row that are not yet counted as failures.
const TOLERATED_MALFORMED: usize = 5;
/// Health checks in a row without an answer that blacklist a member, as the design says.
const MISSED_HEALTH_CHECKS: u32 = 3;

/// How many failures within [`FAILURE_WINDOW`] blacklist a member where `routers` share its answers.
pub(super) fn failure_threshold(routers: usize) -> f64 {
    let full_threshold = FAILURE_THRESHOLD as f64;
    (full_threshold * ROUTERS_AT_FULL_THRESHOLD / routers as f64).min(full_threshold)
}

/// What one member has failed at of late, and until when it is avoided for that.
#[derive(Clone, Default)]
pub(crate) struct Blacklist {
    blacklisted_until: Micros,
    /// When it failed, the oldest first.
    failures: VecDeque<Micros>,
    /// Malformed responses and connections lost before the attempt was sent, since the last served attempt.
    malformed_in_row: usize,
    missed_health_checks: u32,
}

impl Blacklist {
    /// Whether the member may be chosen like any other.
    pub(super) fn allows(&self, now: Micros) -> bool {
        now >= self.blacklisted_until
    }

    /// A failure that is the member's own.
    pub(super) fn record_failure(&mut self, now: Micros, threshold: f64) {
        self.failures.push_back(now);
        self.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if self.failures.len() as f64 >= threshold {
            self.failures.clear();
            self.blacklisted_until = now + BLACKLIST_DURATION;
        }
    }

    /// A malformed response, or a connection lost before the attempt was sent: a failure only after several in a row.
    ///
    /// Without this tolerance a link that breaks connections gets a whole group blacklisted, as all its members seem to
    /// answer so. The cost: some requests fail at a member that really does so.
    pub(super) fn record_malformed(&mut self, now: Micros, threshold: f64) {
        if self.malformed_in_row < TOLERATED_MALFORMED {
            self.malformed_in_row += 1;
        } else {
            self.record_failure(now, threshold);
        }
    }

    /// An attempt was served.
    pub(super) fn record_served(&mut self) {
        self.malformed_in_row = 0;
    }

    /// A health check was not answered.
    pub(super) fn record_missed_health_check(&mut self, now: Micros) {
        self.missed_health_checks += 1;
        if self.missed_health_checks >= MISSED_HEALTH_CHECKS {
            self.blacklisted_until = now + BLACKLIST_DURATION;
        }
    }

    /// A health check was answered: what missing ones brought about is lifted.
    pub(super) fn record_answered_health_check(&mut self, now: Micros) {
        if self.missed_health_checks >= MISSED_HEALTH_CHECKS {
            self.blacklisted_until = now;
        }
        self.missed_health_checks = 0;
    }

    /// The member's process is another one: what the old one failed at does not count against it.
    pub(super) fn lift(&mut self, now: Micros) {
        self.blacklisted_until = self.blacklisted_until.min(now);
    }
}
