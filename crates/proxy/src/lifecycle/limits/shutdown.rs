//! Durations of the steps of a shutdown.

use std::time::Duration;

use aldermill_settings::Settings;

use crate::lifecycle::clock::duration;

/// The process may be killed this long after the longest timeout of a request class, counted from the request to
/// stop, has passed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Upper bound on the longest timeout in the calculation of when the process may be killed.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// The process may be delayed by this much between reading its clock and writing a response.
const SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// Requests that were in transit when the stop was requested arrive within this time.
const ACCEPT_WINDOW: Duration = Duration::from_millis(600);
/// Requests that arrive within this time after the request to stop must be answered.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(700);
/// Requests from peer gateways that take longer are abandoned so that the process exits.
const REMOTE_REQUEST_WAIT: Duration = Duration::from_secs(30);

/// Durations of the steps of a shutdown, counted from the request to stop unless stated otherwise.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// How long new connections are still accepted and the proxy waits for the rest of incomplete messages. Constant.
    pub accept_window: Duration,
    /// How long requests that arrive on open connections must still be answered. Later requests are answered as well,
    /// but the connection is closed after the last of them. Constant.
    pub arrival_window: Duration,
    /// Time by which every response must be written, because the process may be killed soon afterwards and a later
    /// response might never be written. The trade-off is that requests that arrive during a shutdown have less time
    /// than their timeout allows. Set by the longest timeout in the settings.
    pub deadline: Duration,
    /// How long the proxy waits for requests from peer gateways after the last client connection has ended. Constant.
    pub remote_request_wait: Duration,
}

impl ShutdownLimits {
    /// Computes the limits from the settings.
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
