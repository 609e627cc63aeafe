//! Disconnects of slow clients in the log: one line for all of an interval, so that a flood does not fill the disk.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use aldermill_flow_control::DisconnectReason;
use slog::{Logger, warn};
use tokio::time::Instant;

/// Disconnects within this time share a line.
const DISCONNECT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the next line will say.
#[derive(Default)]
pub(super) struct DisconnectLog {
    /// Disconnects since the last line.
    counts: BTreeMap<DisconnectReason, usize>,
    /// Of the client that was disconnected last, ever.
    last_address: Option<IpAddr>,
    last_written_at: Option<Instant>,
}

impl DisconnectLog {
    pub(super) fn record(&mut self, reason: DisconnectReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// The address of the client that was recorded last.
    pub(super) fn record_address(&mut self, address: IpAddr) {
        self.last_address = Some(address);
    }

    /// Whether there is anything to write.
    pub(super) fn has_unwritten(&self) -> bool {
        !self.counts.is_empty()
    }

    /// When the next line is due; the first one at once. `None` where there is nothing to write.
    pub(super) fn due_at(&self) -> Option<Instant> {
        let due_at = self.last_written_at.map_or_else(Instant::now, |at| at + DISCONNECT_LOG_INTERVAL);
        self.has_unwritten().then_some(due_at)
    }

    /// Writes the line and starts the next one.
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
