//! The data directory as other modules use it: provides the records that the directory held at startup, once
//! they are read, and accepts writes, once it is open for writing.

use std::cell::OnceCell;

use aldermill_store::{Batch, Committer};
use tokio::sync::mpsc;

/// A record of the store, identified by its namespace and key.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// The record's namespace, one of the numbers in [`aldermill_warm_start::namespace`].
    pub namespace: u32,
    /// The record's key within its namespace.
    pub key: Vec<u8>,
    /// The record's value, in a format specific to the namespace.
    pub value: Vec<u8>,
}

/// A data directory that is opened in the background. Until it is read, nothing may be assumed about its
/// contents. Until it is open for writing, nothing is saved.
#[derive(Default)]
pub struct DataDirectory {
    /// The records that the directory held at startup; set once the directory is read.
    records: OnceCell<Vec<StoredRecord>>,
    /// The committer, set once the directory is open for writing. Its thread is never joined, not even at the
    /// end of the process, because a disk may hang.
    committer: OnceCell<Committer>,
}

impl DataDirectory {
    /// Returns the records that the directory held at the start of this process; `None` until they have been
    /// read.
    pub fn records(&self) -> Option<&[StoredRecord]> {
        self.records.get().map(Vec::as_slice)
    }

    /// Sets the records that the directory held at startup. Call this only when no other process can change
    /// them any more. Calls after the first have no effect.
    pub(super) fn set_records(&self, records: Vec<StoredRecord>) {
        let _ = self.records.set(records);
    }

    /// Sets the committer, which opens the directory for writing. Calls after the first have no effect and
    /// detach their committer.
    pub(super) fn set_committer(&self, committer: Committer) {
        if let Err(duplicate) = self.committer.set(committer) {
            duplicate.detach();
        }
    }

    /// Queues a batch for the store's thread. Returns `false` if the queue is full or the directory is not
    /// open for writing. Otherwise, the thread later sends to `confirmations` whether the batch was written.
    /// This channel must have capacity for as many messages as there are batches in flight: a message that
    /// does not fit is lost.
    pub fn write(&self, batch: Batch, confirmations: &mpsc::Sender<bool>) -> bool {
        let Some(committer) = self.committer.get() else { return false };
        let confirmations = confirmations.clone();
        let on_complete = move |is_written| {
            // A receiver that was dropped needs no confirmation.
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
