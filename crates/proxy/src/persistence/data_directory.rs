//! The data directory as its users see it: what it held at the start, once that is read, and a way to write to it, once
//! it is open.

use std::cell::OnceCell;

use aldermill_store::{Batch, Committer};
use tokio::sync::mpsc;

/// A record of the store.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// One of the numbers in [`aldermill_warm_start::namespace`].
    pub namespace: u32,
    /// The record's key in its namespace.
    pub key: Vec<u8>,
    /// The record's value, in a form of its namespace's own.
    pub value: Vec<u8>,
}

/// A directory that is opened in the background. Before it is read nothing may be claimed of what it held, and before it
/// is open for writing nothing is saved.
#[derive(Default)]
pub struct DataDirectory {
    /// Set once the directory is read.
    records: OnceCell<Vec<StoredRecord>>,
    /// Set once the directory is open for writing. Its thread is never joined, not even at the end: a disk may hang.
    committer: OnceCell<Committer>,
}

impl DataDirectory {
    /// What it held at the start of this process; `None` as long as that could not be read.
    pub fn records(&self) -> Option<&[StoredRecord]> {
        self.records.get().map(Vec::as_slice)
    }

    /// Says what it held, which no other process changes any more. Only the first call counts.
    pub(super) fn set_records(&self, records: Vec<StoredRecord>) {
        let _ = self.records.set(records);
    }

    /// Opens it for writing. Only the first call counts.
    pub(super) fn set_committer(&self, committer: Committer) {
        if let Err(duplicate) = self.committer.set(committer) {
            duplicate.detach();
        }
    }

    /// Hands a batch to the store's thread; `false` if that thread's queue is full or the directory is not open for
    /// writing. Whether the batch was written is then sent to `confirmations`, which must have capacity for as many
    /// messages as there are batches in flight: one that does not fit is lost.
    pub fn write(&self, batch: Batch, confirmations: &mpsc::Sender<bool>) -> bool {
        let Some(committer) = self.committer.get() else { return false };
        let confirmations = confirmations.clone();
        let on_complete = move |is_written| {
            // A receiver that is gone needs no confirmation.
            let _ = confirmations.try_send(is_written);
        };
        committer.write(batch, Box::new(on_complete)).is_ok()
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        if let Some(committer) = self.committer.take() {
            committer.detach();
        }
    }
}
