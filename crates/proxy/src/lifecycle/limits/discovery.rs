//! Timeouts and sizes for the discovery watch.

use std::time::Duration;

use aldermill_settings::Settings;

use super::RetryBackoff;
use crate::lifecycle::clock::duration;

/// Far more than discovery sends. Bounds the memory used for a response head that never ends.
const MAX_RESPONSE_HEAD: usize = 16 * 1024;
/// Far more than discovery sends. Bounds the memory used for a line that never ends.
const MAX_LIST_LINE: usize = 4 * 1024 * 1024;
/// More than twice the usual interval between two lines from discovery.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4600);
/// The sum of this and [`SILENCE_TIMEOUT`] is less than six seconds, after which the proxy is taken to have been
/// told what discovery knows.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Short enough for the proxy to learn in time of a drain that is announced during a brief outage of discovery.
const RETRY_INITIAL: Duration = Duration::from_millis(100);
/// The end of an outage is noticed within this time, however long the drain grace is.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Timeouts and sizes for the discovery watch.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Maximum size of the head of discovery's response, in bytes. Constant.
    pub max_response_head: usize,
    /// Maximum size of one line of the endpoint list, in bytes. Constant.
    pub max_list_line: usize,
    /// Silence from discovery after which the connection counts as lost. Constant.
    pub silence_timeout: Duration,
    /// Time from the start of connecting to discovery to the first bytes of its response. Constant.
    pub first_byte_timeout: Duration,
    /// Waits between attempts to reach discovery. The longest is set by the settings' `rules.drainGraceMs`.
    pub retry: RetryBackoff,
}

impl DiscoveryLimits {
    /// Computes the limits from the settings.
    pub(super) fn new(settings: &Settings) -> DiscoveryLimits {
        // The proxy is taken to have been told what discovery knows as soon as discovery is reachable, and the
        // grace of a drain starts then. A wait of at most half the grace leaves the other half to learn of the
        // drain.
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
