//! Limits on links to and from peer gateways.

use std::time::Duration;

use super::RetryBackoff;
use super::buffers::SMALL_MESSAGE;

/// Links from peer gateways may take 1/32 of the descriptors.
const INBOUND_DIVISOR: usize = 32;
/// Short enough for a link that was closed by a transient fault to be open again before requests pile up.
const RETRY_INITIAL: Duration = Duration::from_millis(50);
/// A peer gateway that becomes reachable again is contacted within this time.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// The outcomes that are retained for one sender may take 1/16 of the memory, at the size of a small message each.
const OUTCOME_MEMORY_DIVISOR: usize = 16;

/// Limits on links to and from peer gateways.
#[derive(Clone, Debug)]
pub struct LinkLimits {
    /// Maximum number of links from peer gateways that are open at once, 4 to 64. Set by descriptors.
    pub inbound: usize,
    /// Waits before a link to a peer gateway is reopened. Constant.
    pub retry: RetryBackoff,
    /// Maximum number of outcomes of remote requests that are retained for one sender, 256 to 65,536. Set by the
    /// memory.
    pub outcomes_per_sender: usize,
}

impl LinkLimits {
    /// Computes the limits for this many descriptors and bytes of memory.
    pub(super) fn new(descriptors: usize, memory: usize) -> LinkLimits {
        LinkLimits {
            inbound: (descriptors / INBOUND_DIVISOR).clamp(4, 64),
            retry: RetryBackoff { initial: RETRY_INITIAL, max: RETRY_MAX },
            outcomes_per_sender: (memory / OUTCOME_MEMORY_DIVISOR / SMALL_MESSAGE).clamp(256, 65_536),
        }
    }
}
