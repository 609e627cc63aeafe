//! One attempt to open the data directory, on a thread of its own: file calls block, for as long as the disk likes.

use std::path::PathBuf;

use aldermill_store::{Committer, Disk, Limits, RecoveryReport, Snapshot, Store, StoreError};
use aldermill_warm_start::{RestoredState, restore};
use tokio::sync::oneshot;

use super::data_directory::StoredRecord;
use super::errors::OpenError;
use crate::lifecycle::clock::Clock;

/// Batches of all writers that may wait for the store's thread.
const MAX_QUEUED_BATCHES: usize = 1024;

/// What an attempt needs to know.
#[derive(Clone)]
pub(super) struct OpenAttempt {
    pub path: PathBuf,
    /// The name of this proxy, which the records must bear.
    pub name: String,
    pub limits: Limits,
    pub clock: Clock,
}

/// A directory that this process has to itself, and has read.
pub(super) struct OpenedDirectory {
    /// Keeps other processes out until the directory is open for writing, which locks it, too.
    pub lock: Disk,
    pub contents: DirectoryContents,
    /// The store's thread, or why the directory cannot be written to.
    pub committer: Result<Committer, StoreError>,
}

/// What the directory held.
pub(super) struct DirectoryContents {
    /// All records, those of other modules included.
    pub records: Vec<StoredRecord>,
    /// What of them a warm start uses.
    pub restored: RestoredState,
}

impl OpenAttempt {
    /// Makes the attempt; `lock` is that of an earlier one that could read the directory.
    pub async fn run_on_thread(self, lock: Option<Disk>) -> Result<OpenedDirectory, OpenError> {
        let (sender, outcome) = oneshot::channel();
        let thread_body = move || {
            let _ = sender.send(self.run(lock));
        };
        std::thread::Builder::new().spawn(thread_body).map_err(OpenError::SpawnThread)?;
        outcome.await.map_err(|_| OpenError::ThreadPanicked)?
    }

    /// A directory that is refused is left as it is.
    fn run(&self, lock: Option<Disk>) -> Result<OpenedDirectory, OpenError> {
        let now = self.clock.now();
        let lock = match lock {
            Some(lock) => lock,
            None => self.lock_directory(now)?,
        };
        // Read under the lock, and so after the last write of the process that had it before.
        match Store::open(lock.share_lock(), self.limits, now) {
            Ok((store, recovery_report)) => {
                let contents = self.validate(now, store.snapshot(), recovery_report)?;
                // Of this process's clock, which no step of the wall clock moves.
                let clock = self.clock;
                let committer = Committer::start(store, MAX_QUEUED_BATCHES, move || clock.now());
                Ok(OpenedDirectory { lock, contents, committer: Ok(committer) })
            }
            // The disk may be full, or fail otherwise when written to, and still be readable.
            Err(error) => {
                let (snapshot, recovery_report) = Store::read(lock.share_lock(), self.limits, now)?;
                let contents = self.validate(now, snapshot, recovery_report)?;
                Ok(OpenedDirectory { lock, contents, committer: Err(error) })
            }
        }
    }

    /// Locks the directory, and makes it where there is none. It is read first, so that one that belongs to another
    /// proxy is not even touched.
    fn lock_directory(&self, now: i64) -> Result<Disk, OpenError> {
        if self.path.exists() {
            let (snapshot, recovery_report) =
                Store::read(Disk::open_read_only(&self.path), self.limits, now)?;
            self.validate(now, snapshot, recovery_report)?;
        }
        Disk::open(&self.path).map_err(OpenError::Lock)
    }

    /// What the store holds, if that is this proxy's and undamaged.
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
