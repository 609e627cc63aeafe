//! The actor that saves snapshots: it hands what has changed to the store's thread, as long as the disk keeps up.

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

/// A write that is not confirmed within this time counts as failed.
const CONFIRMATION_TIMEOUT: Micros = 2_000_000;
/// Writes that may wait for their confirmation.
const MAX_UNCONFIRMED_WRITES: usize = 8;

/// Saves snapshots in a directory that is open for writing.
pub(super) struct SnapshotWriter {
    directory: Rc<DataDirectory>,
    /// What the directory holds, as far as that is known.
    saved: SavedState,
    /// What is to be saved; the newest counts.
    snapshots: watch::Receiver<Option<StateSnapshot>>,
    /// Whether the disk keeps up, and so what it may be handed.
    circuit_breaker: DiskCircuitBreaker,
    /// The state of the disk that was logged last.
    logged_disk_state: DiskState,
    clock: Clock,
    log: Logger,
}

impl SnapshotWriter {
    /// For a directory that holds what `saved` says.
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

    /// Runs until nobody publishes snapshots any more.
    pub async fn run(mut self) {
        // Those of writes that timed out may still come.
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

    /// Hands the newest snapshot to the disk. A disk that lags is not given this one; the next one holds it, too.
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
