//! The health check budget: accepted requests earn the credit that health checks spend, so the rate of health
//! checks follows the traffic.

/// Credit that each accepted request earns, in health checks.
const CREDIT_PER_REQUEST: f64 = 0.7;
/// Credit of a router that has not accepted any request yet, in health checks.
const INITIAL_CREDIT: f64 = 4.0;
/// Credit that a newly listed member adds, in health checks: one to check it and one in reserve.
const CREDIT_PER_NEW_MEMBER: f64 = 2.0;
/// Credit per member, in health checks, above which the budget holds more than requests need.
const SPARE_CREDIT_PER_MEMBER: f64 = 0.5;

/// Credit for health checks, earned by requests and by new members. One unit pays for one health check.
#[derive(Clone)]
pub(crate) struct HealthCheckBudget {
    credit: f64,
}

impl HealthCheckBudget {
    /// Creates the budget of a router that has not accepted any request yet.
    pub(super) fn new() -> HealthCheckBudget {
        HealthCheckBudget { credit: INITIAL_CREDIT }
    }

    /// Adds the credit for an accepted request. The total is capped at one health check for each of
    /// `members`.
    pub(super) fn earn_for_request(&mut self, members: usize) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(members as f64);
    }

    /// Adds the credit for a member that is listed for the first time.
    pub(super) fn earn_for_new_member(&mut self) {
        self.credit += CREDIT_PER_NEW_MEMBER;
    }

    /// Returns whether the credit exceeds what requests need, given the number of members.
    pub(super) fn has_spare(&self, members: usize) -> bool {
        self.credit > members as f64 * SPARE_CREDIT_PER_MEMBER
    }

    /// Returns whether the credit pays for one health check.
    pub(super) fn affords_one(&self) -> bool {
        self.credit >= 1.0
    }

    /// Deducts the cost of one health check.
    pub(super) fn spend_one(&mut self) {
        self.credit -= 1.0;
    }
}
