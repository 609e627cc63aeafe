//! The number of file descriptors that the process may open, and the reserve that clients and members cannot use.

use uapi::c;

/// Below this many descriptors, the number of connections being rejected is proportional to them, without a minimum.
const FEW_DESCRIPTORS: usize = 64;

/// The number of file descriptors that the process may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Number that the configuration allows (`limits.sockets`).
    pub configured: usize,
    /// Number that the operating system allows (`RLIMIT_NOFILE`); `usize::MAX` if it is not known.
    pub allowed: usize,
}

impl DescriptorLimits {
    /// Minimum number with which the proxy can serve: with fewer, there is no room for the process's own
    /// descriptors, one client connection and one connection to a member.
    pub const MINIMUM: usize = 24;

    /// Reads the limit on open files of the current process from the operating system.
    pub fn for_current_process(configured: usize) -> DescriptorLimits {
        let limit = uapi::getrlimit(c::RLIMIT_NOFILE as c::c_int);
        let allowed = limit.map_or(usize::MAX, |limit| usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX));
        DescriptorLimits { configured, allowed }
    }

    /// Returns the number that is divided between the reserve, clients and members. If it exceeded what the
    /// operating system allows, `accept` would fail for clients that are within their share. The lower number costs
    /// nothing, because the operating system enforces its limit in any case.
    pub fn usable(self) -> usize {
        self.configured.min(self.allowed)
    }
}

/// Descriptors that are not divided between clients and members. If there are few descriptors, each part of the
/// reserve shrinks, down to what the process has open without any connection.
pub(super) struct DescriptorReserve {
    /// Descriptors for standard streams, signals, event queues, the listener, discovery and the operator's sockets:
    /// 12 to 20.
    pub(super) internal: usize,
    /// Descriptors for client connections that are being closed for new ones: 2 to 12.
    pub(super) evicting: usize,
    /// Descriptors for client connections that are being sent an error because the limit is reached: at most 64.
    pub(super) rejecting: usize,
}

impl DescriptorReserve {
    /// Computes the reserve for a process with this many descriptors. The process itself has 5/16 of them and
    /// connections that are being closed 3/16, each up to the most that they need. Rejected connections have 1/32,
    /// or 1/16 below [`FEW_DESCRIPTORS`].
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

    /// Returns the number of descriptors in the whole reserve.
    pub(super) fn total(&self) -> usize {
        self.internal + self.evicting + self.rejecting
    }
}
