//! The folder as its users see it: what it held, once that is read, and a way to write, once it is open.

use std::cell::OnceCell;

use aldermill_store::{Batch, Committer};
use tokio::sync::mpsc;

/// Space, key and value.
pub type Record = (u32, Vec<u8>, Vec<u8>);

/// A folder that is opened in its own time: nothing may be claimed of what it held before that is read, and nothing is
/// kept before it is open for writing.
#[derive(Default)]
pub struct DataDirectory {
    records: OnceCell<Vec<Record>>,
    /// Never waited for, not even at the end: a disk may stand still.
    committer: OnceCell<Committer>,
}

impl DataDirectory {
    /// What it held at the start of this process; `None` as long as that could not be read.
    pub fn records(&self) -> Option<&[Record]> {
        self.records.get().map(Vec::as_slice)
    }

    /// What it held is known, and does not change behind this process any more. Only the first word counts.
    pub fn was_read(&self, records: Vec<Record>) {
        let _ = self.records.set(records);
    }

    /// It may be written to from now on. Only the first word counts.
    pub fn was_opened(&self, committer: Committer) {
        if let Err(second) = self.committer.set(committer) {
            second.leave();
        }
    }

    /// Hands a batch to the disk's thread, unless that takes nothing more, or the folder is not open. `told` then hears
    /// whether it was kept; it must have room for as many words as there are batches under way.
    pub fn write(&self, batch: Batch, told: &mpsc::Sender<bool>) -> bool {
        let Some(committer) = self.committer.get() else { return false };
        let told = told.clone();
        let done = move |well| {
            // One that is gone needs no word.
            let _ = told.try_send(well);
        };
        committer.write(batch, Box::new(done)).is_ok()
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        if let Some(committer) = self.committer.take() {
            committer.leave();
        }
    }
}
