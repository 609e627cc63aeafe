//! Links to and from peer gateways.

use std::time::Duration;

use super::RetryBackoff;
use super::buffers::SMALL_MESSAGE;

/// Links from peer gateways take this part of the descriptors (one in 32).
const INBOUND_DIVISOR: usize = 32;
/// A link that was closed by chance is open again before requests pile up.
const RETRY_INITIAL: Duration = Duration::from_millis(50);
/// A peer that comes back is reached within this time.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Outcomes that are kept for all senders may take this part of the memory (one in 16).
const OUTCOME_MEMORY_DIVISOR: usize = 16;

/// Links to and from peer gateways.
#[derive(Clone, Debug)]
pub struct LinkLimits {
    /// Links from peer gateways that are open at once, 4 to 64. Set by descriptors.
    pub inbound: usize,
    /// Waits before a link to a peer gateway is opened again. A constant.
    pub retry: RetryBackoff,
    /// Outcomes of remote requests that are kept for one sender, 256 to 65,536. Set by the memory.
    pub outcomes_per_sender: usize,
}

impl LinkLimits {
    /// The limits with this many descriptors and bytes of memory.
    pub(super) fn new(descriptors: usize, memory: usize) -> LinkLimits {
        LinkLimits {
            inbound: (descriptors / INBOUND_DIVISOR).clamp(4, 64),
            retry: RetryBackoff { initial: RETRY_INITIAL, max: RETRY_MAX },
            outcomes_per_sender: (memory / OUTCOME_MEMORY_DIVISOR / SMALL_MESSAGE).clamp(256, 65_536),
        }
    }
}
