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
const MAX_IN_FLIGHT: usize = 8;

/// Saves snapshots in a directory that is open for writing.
pub(super) struct SnapshotWriter {
    directory: Rc<DataDirectory>,
    /// What the directory holds, as far as that is known.
    saved: SavedState,
    /// What is to be saved; the newest counts.
    snapshots: watch::Receiver<Option<StateSnapshot>>,
    /// Whether the disk keeps up, and so what it may be handed.
    disk: DiskCircuitBreaker,
    /// The state of the disk that was logged last.
    logged_state: DiskState,
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
        let disk = DiskCircuitBreaker::new(CONFIRMATION_TIMEOUT, MAX_IN_FLIGHT);
        SnapshotWriter { directory, saved, snapshots, disk, logged_state: DiskState::Healthy, clock, log }
    }

    /// Runs until nobody publishes snapshots any more.
    pub async fn run(mut self) {
        // Those of writes that timed out may still come.
        let (confirmations, mut confirmed) = mpsc::channel(MAX_IN_FLIGHT * 2);
        loop {
            let timeout_at = self.disk.timeout_at().map(|at| self.clock.instant(at));
            tokio::select! {
                changed = self.snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.save_newest(&confirmations);
                }
                Some(is_written) = confirmed.recv() => self.write_finished(is_written),
                () = sleep_until(timeout_at.unwrap_or_else(Instant::now)), if timeout_at.is_some() => {
                    if self.disk.check_timeout(self.clock.now()) {
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
        let is_lagging = !matches!(self.disk.state(), DiskState::Healthy) && self.disk.timeout_at().is_some();
        if is_lagging || !self.disk.admit_write(now, true) {
            return;
        }
        let batch = batch(self.saved.changes(now, snapshot));
        if batch.is_empty() {
            self.disk.write_confirmed(now);
        } else if !self.directory.write(batch, confirmations) {
            self.write_failed();
        }
    }

    fn write_finished(&mut self, is_written: bool) {
        if !is_written {
            return self.write_failed();
        }
        self.disk.write_confirmed(self.clock.now());
        if self.disk.timeout_at().is_none() {
            self.saved.writes_confirmed();
        }
    }

    fn write_failed(&mut self) {
        self.disk.write_failed(self.clock.now());
        self.saved.write_failed();
    }

    fn log_state_change(&mut self) {
        let state = self.disk.state();
        if discriminant(&state) == discriminant(&self.logged_state) {
            return;
        }
        match state {
            DiskState::Healthy => info!(self.log, "state is saved again"),
            DiskState::Slow => warn!(self.log, "disk is slow, saving state lags"),
            DiskState::Unavailable { .. } => {
                warn!(self.log, "state is not saved, disk writes fail or time out")
            }
        }
        self.logged_state = state;
    }
}

fn batch(changes: Vec<Change>) -> Batch {
    let mut batch = Batch::default();
    for Change { namespace, key, value } in changes {
        match value {
            Some(value) => batch.put(namespace, &key, &value, None),
            None => batch.remove(namespace, &key),
        }
    }
    batch
}
