//! Logs the symptoms of one member, each once or at a limited rate.

use std::net::SocketAddr;
use std::time::Duration;

use aldermill_routing::Verdict;
use slog::{Logger, error, info, warn};
use tokio::task::JoinError;
use tokio::time::Instant;

use super::outcome::{QueryError, Symptom, symptom};

/// Minimum time between two log lines about connections to one member that cannot be opened on this machine.
const LOCAL_FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the symptoms of one member, and remembers which it has logged.
pub(super) struct SymptomLog {
    log: Logger,
    member: String,
    /// Number of consecutive unusable responses that is logged, once.
    unusable_log_threshold: usize,
    /// Unusable responses since the last complete one.
    consecutive_unusable_responses: usize,
    /// Whether the member is lost and the loss has been logged.
    loss_logged: bool,
    local_failure_logged_at: Option<Instant>,
}

impl SymptomLog {
    /// Creates a log for the member of this name. `unusable_log_threshold` is the number of consecutive
    /// unusable responses that is logged.
    pub(super) fn new(log: Logger, member: String, unusable_log_threshold: usize) -> SymptomLog {
        SymptomLog {
            log,
            member,
            unusable_log_threshold,
            consecutive_unusable_responses: 0,
            loss_logged: false,
            local_failure_logged_at: None,
        }
    }

    /// Logs that a query task panicked, which is a bug in the proxy.
    pub(super) fn log_task_failure(&self, error: &JoinError) {
        error!(self.log, "query task failed"; "member" => &self.member, "why" => %error);
    }

    /// Records that a query ended with this verdict. `is_ready` says whether its response was complete, and
    /// `error` is what ended the query otherwise.
    pub(super) fn record(
        &mut self,
        address: SocketAddr,
        verdict: Verdict,
        is_ready: bool,
        error: Option<&QueryError>,
    ) {
        match symptom(verdict) {
            Symptom::UnusableResponse => self.record_unusable_response(address),
            Symptom::Unreachable | Symptom::ProcessGone => self.record_loss(address, verdict),
            Symptom::LocalFailure => self.record_local_failure(error),
            Symptom::None if is_ready => self.record_complete_response(address),
            Symptom::None | Symptom::Silent => {}
        }
    }

    fn record_complete_response(&mut self, address: SocketAddr) {
        self.consecutive_unusable_responses = 0;
        if std::mem::take(&mut self.loss_logged) {
            info!(self.log, "member recovered"; "member" => &self.member, "peer" => %address);
        }
    }

    fn record_unusable_response(&mut self, address: SocketAddr) {
        self.consecutive_unusable_responses += 1;
        if self.consecutive_unusable_responses == self.unusable_log_threshold {
            warn!(self.log, "member's responses are unusable"; "member" => &self.member,
                "peer" => %address, "attempts" => self.consecutive_unusable_responses);
        }
    }

    fn record_loss(&mut self, address: SocketAddr, verdict: Verdict) {
        if !std::mem::replace(&mut self.loss_logged, true) {
            warn!(self.log, "member lost"; "member" => &self.member, "peer" => %address,
                "symptom" => ?verdict);
        }
    }

    fn record_local_failure(&mut self, error: Option<&QueryError>) {
        let now = Instant::now();
        if self.local_failure_logged_at.is_some_and(|at| now - at < LOCAL_FAILURE_LOG_INTERVAL) {
            return;
        }
        self.local_failure_logged_at = Some(now);
        let why = error.map(QueryError::to_string);
        warn!(self.log, "cannot open a connection to a member on this machine, retrying";
            "member" => &self.member, "why" => why);
    }
}
