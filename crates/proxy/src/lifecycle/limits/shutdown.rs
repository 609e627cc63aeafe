//! How long each step of a shutdown may take, counted from the request to stop.

use std::time::Duration;

use aldermill_settings::Settings;

use crate::lifecycle::clock::duration;

/// The process may be killed this long after the longest timeout of a request class has passed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Of the longest timeout no more than this counts towards that.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// The process may be held up for this long between reading its clock and writing a response.
const SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// Requests that were on their way when the stop was asked for arrive by then.
const ACCEPT_WINDOW: Duration = Duration::from_millis(600);
/// Requests that arrive within this time after the request to stop are owed an answer.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(700);
/// Requests of peer gateways that take longer are given up, so that the process ends.
const REMOTE_REQUEST_WAIT: Duration = Duration::from_secs(30);

/// How long each step of a shutdown may take, counted from the request to stop.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// How long new connections are still accepted, and the rest of a message is waited for. A constant.
    pub accept_window: Duration,
    /// Until when requests that arrive on open connections are owed an answer. Later ones are answered as well, but the last
    /// of them ends its connection. A constant.
    pub arrival_window: Duration,
    /// By when every response must be written: soon after, the process may be killed. A response that were due later
    /// might never be written. The cost: requests that come during a shutdown have less time than they ask for. Set by
    /// the longest timeout in the settings.
    pub deadline: Duration,
    /// How long after the last client the requests of peer gateways are waited for. A constant.
    pub remote_request_wait: Duration,
}

impl ShutdownLimits {
    /// The limits under these settings.
    pub(super) fn new(settings: &Settings) -> ShutdownLimits {
        let longest_timeout =
            settings.router_config.classes.iter().map(|class| duration(class.timeout)).max();
        let counted_timeout = longest_timeout.unwrap_or_default().min(MAX_COUNTED_TIMEOUT);
        ShutdownLimits {
            accept_window: ACCEPT_WINDOW,
            arrival_window: ARRIVAL_WINDOW,
            deadline: counted_timeout + KILL_MARGIN - SCHEDULING_DELAY,
            remote_request_wait: REMOTE_REQUEST_WAIT,
        }
    }
}
