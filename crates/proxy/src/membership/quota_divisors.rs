//! By how many proxies the dispatcher divides the capacity of members.

use aldermill_membership::Snapshot;

use crate::messages::FleetSize;

/// By how many proxies the dispatcher divides the capacity of members.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct QuotaDivisors {
    /// At members in normal operation. The status socket shows it.
    pub(super) quota_divisor: usize,
    /// At members that warm up.
    pub(super) warm_up_quota_divisor: usize,
}

impl QuotaDivisors {
    /// The size in the settings, by which the dispatcher starts.
    pub(super) fn configured(fleet_size: usize) -> QuotaDivisors {
        QuotaDivisors { quota_divisor: fleet_size, warm_up_quota_divisor: fleet_size }
    }

    /// What the membership shows; `configured` is the size in the settings.
    pub(super) fn from_snapshot(snapshot: &Snapshot, configured: usize) -> QuotaDivisors {
        QuotaDivisors {
            quota_divisor: snapshot.quota_divisor(configured),
            warm_up_quota_divisor: snapshot.warm_up_quota_divisor(configured),
        }
    }

    pub(super) fn message(self) -> FleetSize {
        FleetSize { sharing_warm: self.quota_divisor, sharing_warming_up: self.warm_up_quota_divisor }
    }
}
