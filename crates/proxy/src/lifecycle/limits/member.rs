//! Timeouts of connections to members.

use std::time::Duration;

use aldermill_routing::Micros;
use aldermill_settings::Settings;

use crate::lifecycle::clock::duration;

/// Longer than a handshake with a sound member takes. A shorter wait proves nothing of the member.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(100);
/// One malformed response may be a fault on the way; this many in a row are the member's own.
const MALFORMED_LOG_THRESHOLD: usize = 3;
/// Members send the end of a response right behind its value, so that more than this is a fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(5);
/// Duplicated and late bytes of a response come within this time.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Machines are said to have the same time; what is further ahead is a fault of the report.
const MAX_CLOCK_LEAD: Micros = 1_000_000;
/// How often the pool looks for connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts of connections to members.
#[derive(Clone, Debug)]
pub struct MemberLimits {
    /// From the attempt to connect until the member is ready for a statement. Set by the settings'
    /// `limits.connectTimeoutMs`.
    pub connect_timeout: Duration,
    /// A handshake that was given less time than this proves nothing about the member, so that it is not counted as a
    /// failure. A constant, at most `connect_timeout`.
    pub min_connect_time: Duration,
    /// From the decision on a health check to its end. Set by the settings' `limits.connectTimeoutMs`.
    pub health_check_timeout: Duration,
    /// This many malformed responses in a row are logged once. A constant.
    pub malformed_log_threshold: usize,
    /// From the last byte of a value to the end of its response. A constant.
    pub completion_timeout: Duration,
    /// A connection that was idle this long after a response has nothing more to come of that response; one that was
    /// used later is asked an empty query first. A constant.
    pub settle_time: Duration,
    /// How far a member's position may be ahead of this machine's clock, in microseconds; a position further ahead is
    /// not believed. A constant.
    pub max_clock_lead: Micros,
    /// How long a connection stays in the pool unused. Set by the settings' `limits.connIdleMs`, of which a fifth is
    /// left so that the proxy closes it before the member does.
    pub idle_timeout: Duration,
    /// How often the pool looks for connections to close. A constant.
    pub sweep_interval: Duration,
}

impl MemberLimits {
    /// The limits under these settings.
    pub(super) fn new(settings: &Settings) -> MemberLimits {
        let connect_timeout = duration(settings.connect_timeout);
        MemberLimits {
            connect_timeout,
            min_connect_time: connect_timeout.min(MIN_CONNECT_TIME),
            health_check_timeout: connect_timeout,
            malformed_log_threshold: MALFORMED_LOG_THRESHOLD,
            completion_timeout: COMPLETION_TIMEOUT,
            settle_time: SETTLE_TIME,
            max_clock_lead: MAX_CLOCK_LEAD,
            idle_timeout: duration(settings.member_idle_timeout * 4 / 5),
            sweep_interval: SWEEP_INTERVAL,
        }
    }
}
