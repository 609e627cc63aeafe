//! The budget for health checks: requests pay for them, so that their number follows the traffic.

/// Health checks that one admitted request pays for.
const CREDIT_PER_REQUEST: f64 = 0.7;
/// Health checks that a router may send before it has admitted any request.
const INITIAL_CREDIT: f64 = 4.0;
/// Health checks that a newly listed member brings with it: one for itself and one in reserve.
const CREDIT_PER_NEW_MEMBER: f64 = 2.0;
/// The part of one health check for each member beyond which the credit is more than requests need.
const SPARE_CREDIT_PER_MEMBER: f64 = 0.5;

/// How many health checks are paid for.
#[derive(Clone)]
pub(crate) struct HealthCheckBudget {
    credit: f64,
}

impl HealthCheckBudget {
    /// The budget of a router that starts.
    pub(super) fn new() -> HealthCheckBudget {
        HealthCheckBudget { credit: INITIAL_CREDIT }
    }

    /// A request was admitted; saved up is at most one health check for each of `members`.
    pub(super) fn earn_for_request(&mut self, members: usize) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(members as f64);
    }

    /// A member was listed for the first time.
    pub(super) fn earn_for_new_member(&mut self) {
        self.credit += CREDIT_PER_NEW_MEMBER;
    }

    /// Whether more is saved up than requests need, where there are so many members.
    pub(super) fn has_spare(&self, members: usize) -> bool {
        self.credit > members as f64 * SPARE_CREDIT_PER_MEMBER
    }

    /// Whether one health check is paid for.
    pub(super) fn affords_one(&self) -> bool {
        self.credit >= 1.0
    }

    /// A health check is sent.
    pub(super) fn spend_one(&mut self) {
        self.credit -= 1.0;
    }
}
