//! Conclusions that a proxy may draw about its fleet.

/// Conclusions of one proxy about its fleet at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Number of proxies known to be alive, this one included.
    pub alive: usize,
    /// Highest number of proxies known to be alive at one time since this proxy started.
    pub most_alive: usize,
    /// Whether the number of live proxies is certain: another proxy is alive, and a message from another proxy was
    /// received some time after the latest start, stall or change of identity of this proxy.
    pub is_certain: bool,
    /// Whether at least as many proxies have disappeared recently as are left, so that this proxy may be in the smaller
    /// part of a divided fleet.
    pub may_be_minority: bool,
}

impl Snapshot {
    /// Returns the number of proxies that share a member's capacity; `configured` is the fleet size in the settings.
    ///
    /// While the number of live proxies is uncertain, a proxy takes over no quota of others, as they may be alive. In a
    /// divided fleet, each part takes over the quota of the other. Members then answer more slowly, which lowers the
    /// concurrency limits; [`Snapshot::warm_up_quota_divisor`] protects members that are warming up.
    #[must_use]
    pub fn quota_divisor(&self, configured: usize) -> usize {
        if self.is_certain { self.alive } else { configured.max(self.alive) }
    }

    /// Returns the number of proxies that share the capacity of a member that is warming up: all that may exist, whether
    /// or not they are known to be alive. `configured` is the fleet size in the settings.
    #[must_use]
    pub fn warm_up_quota_divisor(&self, configured: usize) -> usize {
        configured.max(self.most_alive)
    }
}
