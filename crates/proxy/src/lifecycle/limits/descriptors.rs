//! How many file descriptors the process may have, and which are kept from clients and members.

use uapi::c;

/// Below this many descriptors the number of rejected connections shrinks in proportion, without a floor.
const FEW_DESCRIPTORS: usize = 64;

/// How many descriptors this process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// As its configuration says (`limits.sockets`).
    pub configured: usize,
    /// As the system says (RLIMIT_NOFILE); `usize::MAX` where that is not known.
    pub allowed: usize,
}

impl DescriptorLimits {
    /// With fewer the program's own, one client and one member's connection do not fit.
    pub const MINIMUM: usize = 24;

    /// Asks the system for this process's limit on open files.
    pub fn for_current_process(configured: usize) -> DescriptorLimits {
        let limit = uapi::getrlimit(c::RLIMIT_NOFILE as c::c_int);
        let allowed = limit.map_or(usize::MAX, |limit| usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX));
        DescriptorLimits { configured, allowed }
    }

    /// The number that is divided between clients and members. If it were more than the system allows, `accept` would
    /// fail for clients that the configuration promised a connection. It costs nothing, as the system's limit holds
    /// whatever is promised.
    pub fn usable(self) -> usize {
        self.configured.min(self.allowed)
    }
}

/// Descriptors that are not divided between clients and members. All shrink where there are few, down to what the
/// program has open without a connection.
pub(super) struct DescriptorReserve {
    /// Standard streams, signals, event queues, listener, discovery and the operator's sockets: 12 to 20.
    pub(super) internal: usize,
    /// Client connections that are being closed for new ones: 2 to 12.
    pub(super) evicting: usize,
    /// Client connections that are being told that there is no room for them: 64 at most.
    pub(super) rejecting: usize,
}

impl DescriptorReserve {
    /// Five sixteenths of few descriptors are the program's own, and three sixteenths are for connections that are
    /// being closed; with more descriptors both stay at what they need at the most. Rejections have one in 32, and
    /// with few descriptors one in 16.
    pub(super) fn new(descriptors: usize) -> DescriptorReserve {
        let rejecting = match descriptors {
            count if count < FEW_DESCRIPTORS => count / 16,
            count => (count / 32).clamp(4, 64),
        };
        DescriptorReserve {
            internal: (descriptors * 5 / 16).clamp(12, 20),
            evicting: (descriptors * 3 / 16).clamp(2, 12),
            rejecting,
        }
    }

    /// All of the reserve.
    pub(super) fn total(&self) -> usize {
        self.internal + self.evicting + self.rejecting
    }
}
