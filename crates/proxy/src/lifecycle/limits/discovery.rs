//! Timeouts and sizes of the watch on discovery.

use std::time::Duration;

use aldermill_settings::Settings;

use super::RetryBackoff;
use crate::lifecycle::clock::duration;

/// Far more than discovery sends: it bounds the memory that a head without an end takes.
const MAX_RESPONSE_HEAD: usize = 16 * 1024;
/// Far more than discovery sends: it bounds the memory that a line without an end takes.
const MAX_LIST_LINE: usize = 4 * 1024 * 1024;
/// More than two of the gaps that discovery usually leaves between two lines.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4600);
/// Together with [`SILENCE_TIMEOUT`] less than the six seconds after which what discovery has counts as told.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A drain that is announced while discovery is away for a moment is still learnt of in time.
const RETRY_INITIAL: Duration = Duration::from_millis(100);
/// However long the grace after drains is, an outage's end is noticed within this time.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Timeouts and sizes of the watch on discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// The head of discovery's response, in bytes. A constant.
    pub max_response_head: usize,
    /// One line of the endpoint list, in bytes. A constant.
    pub max_list_line: usize,
    /// Silence of discovery that is taken for a lost connection. A constant.
    pub silence_timeout: Duration,
    /// From the attempt to connect to discovery to the first bytes from there. A constant.
    pub first_byte_timeout: Duration,
    /// Waits between attempts to reach discovery. The longest is set by the settings' `rules.drainGraceMs`.
    pub retry: RetryBackoff,
}

impl DiscoveryLimits {
    /// The limits under these settings.
    pub(super) fn new(settings: &Settings) -> DiscoveryLimits {
        // What discovery has counts as told as soon as it can be reached, and the grace after a drain runs from then:
        // half of it is left to learn of the drain.
        let max = (duration(settings.drain_grace) / 2).clamp(RETRY_INITIAL, RETRY_MAX);
        DiscoveryLimits {
            max_response_head: MAX_RESPONSE_HEAD,
            max_list_line: MAX_LIST_LINE,
            silence_timeout: SILENCE_TIMEOUT,
            first_byte_timeout: FIRST_BYTE_TIMEOUT,
            retry: RetryBackoff { initial: RETRY_INITIAL, max },
        }
    }
}
