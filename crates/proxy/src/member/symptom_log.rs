//! What the log says of one member's symptoms: each once, or once in a while.

use std::net::SocketAddr;
use std::time::Duration;

use aldermill_routing::Verdict;
use slog::{Logger, error, info, warn};
use tokio::task::JoinError;
use tokio::time::Instant;

use super::outcome::{QueryError, Symptom, symptom};

/// The least time between two log lines on connections to one member that cannot be opened on this machine.
const LOCAL_FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The symptoms of one member that are logged already.
pub(super) struct SymptomLog {
    log: Logger,
    member: String,
    /// This many unusable responses in a row are logged once.
    unusable_logged_at_count: usize,
    /// Unusable responses in a row.
    unusable_responses: usize,
    /// The member is lost, and that was logged.
    is_lost: bool,
    local_failure_logged_at: Option<Instant>,
}

impl SymptomLog {
    /// `unusable_logged_at_count` unusable responses in a row are worth a line.
    pub(super) fn new(log: Logger, member: String, unusable_logged_at_count: usize) -> SymptomLog {
        SymptomLog {
            log,
            member,
            unusable_logged_at_count,
            unusable_responses: 0,
            is_lost: false,
            local_failure_logged_at: None,
        }
    }

    /// A query task panicked, which is a fault of the program.
    pub(super) fn task_failed(&self, failure: &JoinError) {
        error!(self.log, "query task failed"; "member" => &self.member, "why" => %failure);
    }

    /// A query ended with this verdict. `is_ready` says that its response was whole, and `error` what ended it otherwise.
    pub(super) fn record(
        &mut self,
        address: SocketAddr,
        verdict: Verdict,
        is_ready: bool,
        error: Option<&QueryError>,
    ) {
        match symptom(verdict) {
            Symptom::UnusableResponse => self.unusable_response(address),
            Symptom::Unreachable | Symptom::ProcessGone => self.lost(address, verdict),
            Symptom::LocalFailure => self.local_failure(error),
            Symptom::None if is_ready => self.whole_response(address),
            Symptom::None | Symptom::Silent => {}
        }
    }

    fn whole_response(&mut self, address: SocketAddr) {
        self.unusable_responses = 0;
        if std::mem::take(&mut self.is_lost) {
            info!(self.log, "member recovered"; "member" => &self.member, "peer" => %address);
        }
    }

    fn unusable_response(&mut self, address: SocketAddr) {
        self.unusable_responses += 1;
        if self.unusable_responses == self.unusable_logged_at_count {
            warn!(self.log, "member's responses are unusable"; "member" => &self.member,
                "peer" => %address, "attempts" => self.unusable_responses);
        }
    }

    fn lost(&mut self, address: SocketAddr, verdict: Verdict) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(self.log, "member lost"; "member" => &self.member, "peer" => %address,
                "symptom" => ?verdict);
        }
    }

    fn local_failure(&mut self, error: Option<&QueryError>) {
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
