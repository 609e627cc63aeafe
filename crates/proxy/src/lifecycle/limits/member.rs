//! Timeouts for connections to members.

use std::time::Duration;

use aldermill_routing::Micros;
use aldermill_settings::Settings;

use crate::lifecycle::clock::duration;

/// Longer than a handshake with a healthy member takes. A handshake that is abandoned earlier does not show that the
/// member has failed.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(100);
/// One malformed response may be due to a network fault. This many in a row are the member's fault.
const MALFORMED_LOG_THRESHOLD: usize = 3;
/// Members send the end of a response immediately after its value, so a longer delay is a fault.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(5);
/// Duplicate and late bytes of a response arrive within this time.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// One second. The clocks of all machines are assumed to agree; a position that is further ahead is an error in the
/// report.
const MAX_CLOCK_LEAD: Micros = 1_000_000;
/// Interval at which the pool looks for connections to close.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Timeouts for connections to members.
#[derive(Clone, Debug)]
pub struct MemberLimits {
    /// Time from the start of connecting until the member is ready for a statement. Set by the settings'
    /// `limits.connectTimeoutMs`.
    pub connect_timeout: Duration,
    /// A handshake that fails after less time than this does not show that the member has failed, and is not counted
    /// against it. Constant, but at most `connect_timeout`.
    pub min_connect_time: Duration,
    /// Time from the decision to check a member's health to the end of the check. Set by the settings'
    /// `limits.connectTimeoutMs`.
    pub health_check_timeout: Duration,
    /// Number of consecutive malformed responses after which one message is logged. Constant.
    pub malformed_log_threshold: usize,
    /// Time from the last byte of a value to the end of its response. Constant.
    pub completion_timeout: Duration,
    /// Idle time after which no more bytes of the previous response can arrive on a connection. A connection that is
    /// reused sooner is first checked with an empty query. Constant.
    pub settle_time: Duration,
    /// How far a member's position may be ahead of the clock of this machine, in microseconds. A position further
    /// ahead is ignored. Constant.
    pub max_clock_lead: Micros,
    /// How long an unused connection stays in the pool. Set to 4/5 of the settings' `limits.connIdleMs`, so that the
    /// proxy closes the connection before the member does.
    pub idle_timeout: Duration,
    /// Interval at which the pool looks for connections to close. Constant.
    pub sweep_interval: Duration,
}

impl MemberLimits {
    /// Computes the limits from the settings.
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
