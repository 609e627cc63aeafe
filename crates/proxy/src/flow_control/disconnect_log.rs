//! Log of disconnected slow clients. All disconnects of an interval share one line, so that a flood of them
//! does not fill the disk.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use aldermill_flow_control::DisconnectReason;
use slog::{Logger, warn};
use tokio::time::Instant;

/// Minimum time between two lines. Disconnects within this time share a line.
const DISCONNECT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Contents of the next log line.
#[derive(Default)]
pub(super) struct DisconnectLog {
    /// Disconnects since the last line, by reason.
    counts: BTreeMap<DisconnectReason, usize>,
    /// Address of the client that was disconnected last, also before the last line; `None` if there was none.
    last_address: Option<IpAddr>,
    /// Time of the last line; `None` until the first line is written.
    last_written_at: Option<Instant>,
}

impl DisconnectLog {
    /// Counts a disconnect.
    pub(super) fn record(&mut self, reason: DisconnectReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Sets the address of the client that was disconnected last.
    pub(super) fn record_address(&mut self, address: IpAddr) {
        self.last_address = Some(address);
    }

    /// Returns whether a disconnect was recorded since the last line.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.counts.is_empty()
    }

    /// Returns the time to write the next line, or `None` if there is nothing to write. The first line is due
    /// at once.
    pub(super) fn due_at(&self) -> Option<Instant> {
        let due_at = self.last_written_at.map_or_else(Instant::now, |at| at + DISCONNECT_LOG_INTERVAL);
        self.has_unwritten().then_some(due_at)
    }

    /// Writes the line, and clears the counts for the next one.
    pub(super) fn write(&mut self, now: Instant, log: &Logger) {
        self.last_written_at = Some(now);
        let counts = std::mem::take(&mut self.counts);
        let count = |reason| counts.get(&reason).copied().unwrap_or(0);
        let last_address = self.last_address.map(|address| address.to_string());
        warn!(log, "slow clients disconnected";
            "clients" => counts.values().sum::<usize>(),
            "buffer_space" => count(DisconnectReason::BufferSpace),
            "connection_slot" => count(DisconnectReason::ConnectionSlot),
            "too_slow" => count(DisconnectReason::TooSlow),
            "shutdown" => count(DisconnectReason::Shutdown),
            "last_address" => last_address);
    }
}
