//! What one proxy may conclude on the fleet.

/// What one proxy may conclude on the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Proxies known to be alive, this one among them.
    pub alive: usize,
    /// The most that were ever known to be alive at one time.
    pub most_alive: usize,
    /// Another proxy was heard lately, and this process was not stalled just before.
    pub is_certain: bool,
    /// As many proxies are gone as are left, or more: this may be the smaller part of a divided fleet.
    pub may_be_minority: bool,
}

impl Snapshot {
    /// By how many proxies a member's capacity is divided; `configured` is the fleet size in the settings.
    ///
    /// While in doubt a proxy takes over no quota of others, as those may be alive. In a divided fleet both parts take over
    /// the other's quota; members then answer more slowly, which lowers the concurrency limits, and members that warm up
    /// are spared by [`Snapshot::warm_up_quota_divisor`].
    #[must_use]
    pub fn quota_divisor(&self, configured: usize) -> usize {
        if self.is_certain { self.alive } else { configured.max(self.alive) }
    }

    /// The same at a member that warms up: every proxy counts that may be there.
    #[must_use]
    pub fn warm_up_quota_divisor(&self, configured: usize) -> usize {
        configured.max(self.most_alive)
    }
}
