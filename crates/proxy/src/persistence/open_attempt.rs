//! A single attempt to open the data directory. It runs on a separate thread, because file calls can block
//! for an unlimited time.

use std::path::PathBuf;

use aldermill_store::{Committer, Disk, Limits, RecoveryReport, Snapshot, Store, StoreError};
use aldermill_warm_start::{RestoredState, restore};
use tokio::sync::oneshot;

use super::data_directory::StoredRecord;
use super::errors::OpenError;
use crate::lifecycle::clock::Clock;

/// Maximum number of batches, of all writers together, that wait for the store's thread.
const MAX_QUEUED_BATCHES: usize = 1024;

/// The parameters of an attempt.
#[derive(Clone)]
pub(super) struct OpenAttempt {
    /// The path of the data directory.
    pub path: PathBuf,
    /// The name of this proxy. Records that name another proxy as their owner are rejected.
    pub name: String,
    /// The limits of the store.
    pub limits: Limits,
    /// The clock that dates the store's operations.
    pub clock: Clock,
}

/// A data directory that this process has locked and read.
pub(super) struct OpenedDirectory {
    /// The lock that keeps other processes out until the directory is open for writing. The committer shares
    /// the lock.
    pub lock: Disk,
    /// The contents of the directory.
    pub contents: DirectoryContents,
    /// The committer, which runs the store's thread, or the reason why the directory cannot be written.
    pub committer: Result<Committer, StoreError>,
}

/// The contents of a data directory when it was opened.
pub(super) struct DirectoryContents {
    /// All records, including those that a warm start does not use.
    pub records: Vec<StoredRecord>,
    /// The state that a warm start restores from the records.
    pub restored: RestoredState,
}

impl OpenAttempt {
    /// Makes the attempt on a new thread. `lock` is the lock from an earlier attempt that could read the
    /// directory; `None` if there was no such attempt.
    pub async fn run_on_thread(self, lock: Option<Disk>) -> Result<OpenedDirectory, OpenError> {
        let (sender, outcome) = oneshot::channel();
        let thread_body = move || {
            let _ = sender.send(self.run(lock));
        };
        std::thread::Builder::new().spawn(thread_body).map_err(OpenError::SpawnThread)?;
        outcome.await.map_err(|_| OpenError::ThreadPanicked)?
    }

    /// Locks, reads and opens the directory on the current thread. A directory that is rejected is left
    /// unchanged.
    fn run(&self, lock: Option<Disk>) -> Result<OpenedDirectory, OpenError> {
        let now = self.clock.now();
        let lock = match lock {
            Some(lock) => lock,
            None => self.lock_directory(now)?,
        };
        // Reading under the lock ensures that the last write of the previous owner is seen.
        match Store::open(lock.share_lock(), self.limits, now) {
            Ok((store, recovery_report)) => {
                let contents = self.validate(now, store.snapshot(), recovery_report)?;
                // The store uses this process's clock, which is unaffected by steps of the wall clock.
                let clock = self.clock;
                let committer = Committer::start(store, MAX_QUEUED_BATCHES, move || clock.now());
                Ok(OpenedDirectory { lock, contents, committer: Ok(committer) })
            }
            // A disk that is full, or that rejects writes for another reason, may still be readable.
            Err(error) => {
                let (snapshot, recovery_report) = Store::read(lock.share_lock(), self.limits, now)?;
                let contents = self.validate(now, snapshot, recovery_report)?;
                Ok(OpenedDirectory { lock, contents, committer: Err(error) })
            }
        }
    }

    /// Locks the directory, and creates it if it does not exist. An existing directory is first read without
    /// a lock, so that the directory of another proxy is not modified.
    fn lock_directory(&self, now: i64) -> Result<Disk, OpenError> {
        if self.path.exists() {
            let (snapshot, recovery_report) =
                Store::read(Disk::open_read_only(&self.path), self.limits, now)?;
            self.validate(now, snapshot, recovery_report)?;
        }
        Disk::open(&self.path).map_err(OpenError::Lock)
    }

    /// Returns the contents of the store, if they belong to this proxy and are undamaged.
    fn validate(
        &self,
        now: i64,
        snapshot: Snapshot,
        recovery_report: RecoveryReport,
    ) -> Result<DirectoryContents, OpenError> {
        let restored = restore(&self.name, now, snapshot.entries())?;
        if !recovery_report.damage.is_empty() {
            return Err(OpenError::Damaged(recovery_report.damage.len()));
        }
        let records = snapshot
            .entries()
            .map(|(namespace, key, value)| StoredRecord {
                namespace,
                key: key.to_vec(),
                value: value.to_vec(),
            })
            .collect();
        Ok(DirectoryContents { records, restored })
    }
}
