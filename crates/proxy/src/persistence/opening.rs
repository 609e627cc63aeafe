//! Opening the data directory, again and again while that fails.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use aldermill_store::{Disk, Limits};
use aldermill_warm_start::{RestoredState, SavedState, StateSnapshot};
use slog::{Logger, info, warn};
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use super::data_directory::DataDirectory;
use super::errors::OpenFailure;
use super::open_attempt::{DirectoryContents, OpenAttempt};
use super::writer::SnapshotWriter;
use crate::lifecycle::clock::Clock;

/// The wait after the first attempt that failed; doubled after each that follows.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The longest wait, and so the longest time in which a directory that can be opened again is not noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Opens the data directory, then saves snapshots in it.
pub(super) struct Opener {
    pub directory: Rc<DataDirectory>,
    attempt: OpenAttempt,
    /// What is to be saved; the newest counts.
    snapshots: watch::Receiver<Option<StateSnapshot>>,
    log: Logger,
    /// The failure that was logged last, which is not logged again while it goes on.
    logged_failure: Option<String>,
}

impl Opener {
    /// For the directory at `path` of the proxy called `name`; `memory_bytes` is what the process may use, in bytes.
    pub fn new(
        path: &Path,
        name: &str,
        memory_bytes: u64,
        clock: Clock,
        log: &Logger,
        snapshots: watch::Receiver<Option<StateSnapshot>>,
    ) -> Opener {
        let attempt = OpenAttempt {
            path: path.to_owned(),
            name: name.to_owned(),
            limits: Limits::for_memory(memory_bytes),
            clock,
        };
        Opener { directory: Rc::default(), attempt, snapshots, log: log.clone(), logged_failure: None }
    }

    /// Runs until nobody publishes snapshots any more. `restored_sender` is sent what was restored if the first attempt
    /// could read the directory, and dropped if not.
    pub async fn run(mut self, restored_sender: oneshot::Sender<RestoredState>) {
        self.open(restored_sender).await;
        if self.logged_failure.is_some() {
            info!(self.log, "data directory available, state is saved from now on";
                "folder" => self.display_path());
        }
        self.into_snapshot_writer().run().await;
    }

    /// Makes attempts until the directory is open for writing.
    async fn open(&mut self, restored_sender: oneshot::Sender<RestoredState>) {
        let mut restored_sender = Some(restored_sender);
        let mut lock: Option<Disk> = None;
        let mut delay = MIN_RETRY_DELAY;
        loop {
            match self.attempt.clone().run_on_thread(lock.take()).await {
                Ok(opened) => {
                    self.publish_contents(opened.contents, restored_sender.take());
                    match opened.committer {
                        Ok(committer) => return self.directory.set_committer(committer),
                        Err(error) => self.log_failure(&OpenFailure::NotWritable(error.into())),
                    }
                    lock = Some(opened.lock);
                }
                Err(error) => self.log_failure(&OpenFailure::Unavailable(error)),
            }
            // The start goes on without restored state, which is of no use later: this process then knows better.
            restored_sender = None;
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Makes what the directory held known, the first time that it is read.
    fn publish_contents(
        &self,
        contents: DirectoryContents,
        restored_sender: Option<oneshot::Sender<RestoredState>>,
    ) {
        if self.directory.records().is_some() {
            return;
        }
        let DirectoryContents { records, restored } = contents;
        info!(self.log, "state restored from data directory"; "revision" => restored.snapshot.revision,
            "primaries" => restored.snapshot.primaries.len(), "unusable_records" => restored.unusable_records,
            "newest_confirmation_age_ms" => restored.newest_confirmation_age.map(|age| age / 1000));
        self.directory.set_records(records);
        if let Some(restored_sender) = restored_sender {
            let _ = restored_sender.send(restored);
        }
    }

    fn log_failure(&mut self, failure: &OpenFailure) {
        let text = failure.to_string();
        if self.logged_failure.as_ref() == Some(&text) {
            return;
        }
        self.logged_failure = Some(text);
        match failure {
            OpenFailure::Unavailable(error) => {
                warn!(self.log, "data directory unavailable, state is neither restored nor saved";
                    "folder" => self.display_path(), "error" => %error);
            }
            OpenFailure::NotWritable(error) => {
                warn!(self.log, "data directory not writable, state is restored but not saved";
                    "folder" => self.display_path(), "error" => %error);
            }
        }
    }

    fn display_path(&self) -> String {
        self.attempt.path.display().to_string()
    }

    fn into_snapshot_writer(self) -> SnapshotWriter {
        let records = self.directory.records().into_iter().flatten();
        let stored = records.map(|record| (record.namespace, record.key.clone()));
        let saved = SavedState::new(&self.attempt.name, stored);
        SnapshotWriter::new(self.directory, saved, self.snapshots, self.attempt.clock, self.log)
    }
}
