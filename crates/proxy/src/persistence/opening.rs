//! Opens the data directory in the background, and retries until it is open for writing.

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

/// Delay after the first failed attempt. It doubles after every further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay between attempts, and so the longest time until the proxy notices that the directory can be
/// opened again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The actor that opens the data directory and then saves snapshots in it.
pub(super) struct Opener {
    /// The data directory that is being opened.
    pub directory: Rc<DataDirectory>,
    attempt: OpenAttempt,
    /// Receives the snapshots that are to be saved, of which only the newest is kept; `None` before the
    /// first.
    snapshots: watch::Receiver<Option<StateSnapshot>>,
    log: Logger,
    /// The failure that was logged last. It is not logged again while it persists; `None` if no attempt has
    /// failed.
    logged_failure: Option<String>,
}

impl Opener {
    /// Creates an opener for the directory at `path` of the proxy called `name`. `memory_bytes` is the amount
    /// of memory that the process may use.
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

    /// Opens the directory, then saves snapshots until the sender of snapshots is dropped. The restored state
    /// is sent to `restored_sender` if the first attempt can read the directory; if not, `restored_sender` is
    /// dropped.
    pub async fn run(mut self, restored_sender: oneshot::Sender<RestoredState>) {
        self.open(restored_sender).await;
        if self.logged_failure.is_some() {
            info!(self.log, "data directory available, state is saved from now on";
                "folder" => self.display_path());
        }
        self.into_snapshot_writer().run().await;
    }

    /// Repeats attempts until the directory is open for writing.
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
            // If the first attempt cannot read the directory, startup continues without restored state. Later
            // attempts do not deliver it, because this process then has newer information.
            restored_sender = None;
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Publishes the contents of the directory when it is read for the first time; later calls have no
    /// effect.
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
