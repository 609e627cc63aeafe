//! The actor that saves snapshots: passes changes to the store's thread as long as the disk keeps up.

use std::mem::discriminant;
use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_store::{Batch, DiskCircuitBreaker, DiskState};
use aldermill_warm_start::{Change, SavedState, StateSnapshot};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::DataDirectory;
use crate::lifecycle::clock::Clock;

/// Maximum time until a write is confirmed, in microseconds (2 s). A write that takes longer counts as
/// failed.
const CONFIRMATION_TIMEOUT: Micros = 2_000_000;
/// Maximum number of writes that wait for their confirmation.
const MAX_UNCONFIRMED_WRITES: usize = 8;

/// The actor that saves snapshots in a data directory that is open for writing.
pub(super) struct SnapshotWriter {
    directory: Rc<DataDirectory>,
    /// The state that the directory holds, as far as is known.
    saved: SavedState,
    /// Receives the snapshots that are to be saved, of which only the newest is kept; `None` before the
    /// first.
    snapshots: watch::Receiver<Option<StateSnapshot>>,
    /// Decides, by how well the disk keeps up, whether a write is started.
    circuit_breaker: DiskCircuitBreaker,
    /// The disk state that was logged last.
    logged_disk_state: DiskState,
    clock: Clock,
    log: Logger,
}

impl SnapshotWriter {
    /// Creates a writer for a directory that holds the state `saved`.
    pub fn new(
        directory: Rc<DataDirectory>,
        saved: SavedState,
        snapshots: watch::Receiver<Option<StateSnapshot>>,
        clock: Clock,
        log: Logger,
    ) -> SnapshotWriter {
        let circuit_breaker = DiskCircuitBreaker::new(CONFIRMATION_TIMEOUT, MAX_UNCONFIRMED_WRITES);
        SnapshotWriter {
            directory,
            saved,
            snapshots,
            circuit_breaker,
            logged_disk_state: DiskState::Healthy,
            clock,
            log,
        }
    }

    /// Saves snapshots until their sender is dropped.
    pub async fn run(mut self) {
        // Twice the limit, because confirmations of writes that timed out may still arrive.
        let (confirmations, mut confirmation_receiver) = mpsc::channel(MAX_UNCONFIRMED_WRITES * 2);
        loop {
            let timeout_at = self.circuit_breaker.timeout_at().map(|at| self.clock.instant(at));
            tokio::select! {
                changed = self.snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.save_newest(&confirmations);
                }
                Some(is_written) = confirmation_receiver.recv() => self.record_write_result(is_written),
                () = sleep_until(timeout_at.unwrap_or_else(Instant::now)), if timeout_at.is_some() => {
                    if self.circuit_breaker.check_timeout(self.clock.now()) {
                        self.saved.write_failed();
                    }
                }
            }
            self.log_state_change();
        }
    }

    /// Writes the changes of the newest snapshot. If the disk lags, this snapshot is skipped: the next one
    /// contains its changes as well.
    fn save_newest(&mut self, confirmations: &mpsc::Sender<bool>) {
        let Some(snapshot) = self.snapshots.borrow_and_update().clone() else { return };
        let now = self.clock.now();
        let is_lagging = !matches!(self.circuit_breaker.state(), DiskState::Healthy)
            && self.circuit_breaker.timeout_at().is_some();
        if is_lagging || !self.circuit_breaker.admit_write(now, true) {
            return;
        }
        let batch = build_batch(self.saved.changes(now, snapshot));
        if batch.is_empty() {
            self.circuit_breaker.write_confirmed(now);
        } else if !self.directory.write(batch, confirmations) {
            self.record_write_failure();
        }
    }

    fn record_write_result(&mut self, is_written: bool) {
        if !is_written {
            return self.record_write_failure();
        }
        self.circuit_breaker.write_confirmed(self.clock.now());
        if self.circuit_breaker.timeout_at().is_none() {
            self.saved.writes_confirmed();
        }
    }

    fn record_write_failure(&mut self) {
        self.circuit_breaker.write_failed(self.clock.now());
        self.saved.write_failed();
    }

    fn log_state_change(&mut self) {
        let state = self.circuit_breaker.state();
        if discriminant(&state) == discriminant(&self.logged_disk_state) {
            return;
        }
        match state {
            DiskState::Healthy => info!(self.log, "state is saved again"),
            DiskState::Slow => warn!(self.log, "disk is slow, saving state lags"),
            DiskState::Unavailable { .. } => {
                warn!(self.log, "state is not saved, disk writes fail or time out")
            }
        }
        self.logged_disk_state = state;
    }
}

fn build_batch(changes: Vec<Change>) -> Batch {
    let mut batch = Batch::default();
    for Change { namespace, key, value } in changes {
        match value {
            Some(value) => batch.put(namespace, &key, &value, None),
            None => batch.remove(namespace, &key),
        }
    }
    batch
}
