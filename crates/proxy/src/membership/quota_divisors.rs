//! Numbers of proxies by which the dispatcher divides the capacity of members.

use aldermill_membership::Snapshot;

use crate::messages::FleetSize;

/// Numbers of proxies by which the dispatcher divides the capacity of members.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct QuotaDivisors {
    /// Divisor for members in normal operation. The status socket shows it.
    pub(super) quota_divisor: usize,
    /// Divisor for members that are warming up.
    pub(super) warm_up_quota_divisor: usize,
}

impl QuotaDivisors {
    /// Returns the divisors with which the dispatcher starts: the fleet size in the settings.
    pub(super) fn configured(fleet_size: usize) -> QuotaDivisors {
        QuotaDivisors { quota_divisor: fleet_size, warm_up_quota_divisor: fleet_size }
    }

    /// Returns the divisors for a snapshot of the membership; `configured` is the fleet size in the settings.
    pub(super) fn from_snapshot(snapshot: &Snapshot, configured: usize) -> QuotaDivisors {
        QuotaDivisors {
            quota_divisor: snapshot.quota_divisor(configured),
            warm_up_quota_divisor: snapshot.warm_up_quota_divisor(configured),
        }
    }

    /// Returns the message that tells the dispatcher these divisors.
    pub(super) fn message(self) -> FleetSize {
        FleetSize { sharing_warm: self.quota_divisor, sharing_warming_up: self.warm_up_quota_divisor }
    }
}
