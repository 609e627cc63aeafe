//! A thread that writes and syncs, so that the caller never waits for the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::files::Files;
use crate::store::Store;
use crate::{Batch, Micros, Snapshot, StoreError};

/// Called on the committer's thread with whether the batch is confirmed.
pub type CommitCallback = Box<dyn FnOnce(bool) + Send>;

/// Called on the committer's thread with what is stored.
type SnapshotCallback = Box<dyn FnOnce(Snapshot) + Send>;

/// What the committer's thread is asked to do.
enum Command {
    Write(Batch, CommitCallback),
    ReadSnapshot(SnapshotCallback),
}

/// Hands batches to the thread that writes them. Those that wait at the same time share one sync.
pub struct Committer {
    commands: Option<SyncSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Committer {
    /// Starts the thread. `max_queued` is how many commands may wait for it; `clock` tells the time.
    pub fn start<F: Files + Send + 'static>(
        store: Store<F>,
        max_queued: usize,
        clock: impl Fn() -> Micros + Send + 'static,
    ) -> Committer {
        let max_queued = max_queued.max(1);
        let (commands, queue) = sync_channel(max_queued);
        let thread = thread::spawn(move || run(store, &queue, max_queued, &clock));
        Committer { commands: Some(commands), thread: Some(thread) }
    }

    /// Queues a batch. It is given back, and `callback` dropped, if the queue is full or the thread has ended.
    pub fn write(&self, batch: Batch, callback: CommitCallback) -> Result<(), Batch> {
        let Some(commands) = &self.commands else { return Err(batch) };
        commands.try_send(Command::Write(batch, callback)).map_err(|rejected| match rejected {
            TrySendError::Full(Command::Write(batch, _))
            | TrySendError::Disconnected(Command::Write(batch, _)) => batch,
            _ => Batch::default(),
        })
    }

    /// Queues a read of what is confirmed at some moment after everything that was queued before. Returns whether the
    /// read is queued; `callback` is dropped if not.
    pub fn read_snapshot(&self, callback: impl FnOnce(Snapshot) + Send + 'static) -> bool {
        let Some(commands) = &self.commands else { return false };
        commands.try_send(Command::ReadSnapshot(Box::new(callback))).is_ok()
    }

    /// Lets the thread write what is queued and end by itself, without waiting for it.
    pub fn detach(mut self) {
        drop(self.thread.take());
    }
}

impl Drop for Committer {
    /// Waits until what is queued is written.
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Commands that were waiting at the same time.
#[derive(Default)]
struct CommandGroup {
    batches: Vec<Batch>,
    /// One for each batch, in the same order.
    commit_callbacks: Vec<CommitCallback>,
    snapshot_callbacks: Vec<SnapshotCallback>,
}

impl CommandGroup {
    fn push(&mut self, command: Command) {
        match command {
            Command::Write(batch, callback) => {
                self.batches.push(batch);
                self.commit_callbacks.push(callback);
            }
            Command::ReadSnapshot(callback) => self.snapshot_callbacks.push(callback),
        }
    }
}

/// The thread: ends once the committer is gone and the queue is empty.
fn run<F: Files>(
    mut store: Store<F>,
    queue: &Receiver<Command>,
    max_group: usize,
    clock: &dyn Fn() -> Micros,
) {
    while let Ok(first) = queue.recv() {
        let mut group = CommandGroup::default();
        // All that waits by now shares one sync.
        for command in std::iter::once(first).chain(queue.try_iter()).take(max_group) {
            group.push(command);
        }
        if !group.batches.is_empty() {
            commit(&mut store, clock(), group.batches, group.commit_callbacks);
        }
        for callback in group.snapshot_callbacks {
            callback(store.snapshot());
        }
        if store.wants_compaction() {
            // The next write meets its failure, and heals the store or fails.
            let _ = store.compact();
        }
    }
}

/// Commits batches with one sync, and tells each callback how its batch fared.
fn commit<F: Files>(store: &mut Store<F>, now: Micros, batches: Vec<Batch>, callbacks: Vec<CommitCallback>) {
    // After a failure everything that was confirmed is written anew first, if that can be done by now.
    if store.has_failed() && store.heal().is_err() {
        return call_all(callbacks, false);
    }
    match store.commit(now, batches.clone()) {
        Ok(()) => call_all(callbacks, true),
        // One of them is too large: the others need not fail with it.
        Err(StoreError::TooLarge) if batches.len() > 1 => {
            for (batch, callback) in batches.into_iter().zip(callbacks) {
                callback(store.commit(now, vec![batch]).is_ok());
            }
        }
        Err(_) => call_all(callbacks, false),
    }
}

fn call_all(callbacks: Vec<CommitCallback>, is_confirmed: bool) {
    for callback in callbacks {
        callback(is_confirmed);
    }
}
