//! A thread of its own for writing and syncing: whoever waits for the disk, it is not the caller.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::Micros;
use crate::files::Files;
use crate::store::Store;
use crate::{Batch, Problem, Snapshot};

/// Called on the committer's thread once a batch is confirmed, or is known not to be.
pub type Done = Box<dyn FnOnce(bool) + Send>;

enum Order {
    Write(Batch, Done),
    Look(Box<dyn FnOnce(Snapshot) + Send>),
}

/// Hands batches to the thread that writes them. Many that wait share one sync.
pub struct Committer {
    orders: Option<SyncSender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl Committer {
    /// `most` is how many batches may wait; `clock` tells the time.
    pub fn start<F: Files + Send + 'static>(
        store: Store<F>,
        most: usize,
        clock: impl Fn() -> Micros + Send + 'static,
    ) -> Committer {
        let (orders, waiting) = sync_channel(most.max(1));
        let thread = thread::spawn(move || write(store, &waiting, most.max(1), &clock));
        Committer { orders: Some(orders), thread: Some(thread) }
    }

    /// Hands a batch over; given back where as many wait as may, or the thread is gone.
    pub fn write(&self, batch: Batch, done: Done) -> Result<(), Batch> {
        let Some(orders) = &self.orders else { return Err(batch) };
        orders.try_send(Order::Write(batch, done)).map_err(|refused| match refused {
            TrySendError::Full(Order::Write(batch, _))
            | TrySendError::Disconnected(Order::Write(batch, _)) => batch,
            _ => Batch::default(),
        })
    }

    /// What is confirmed, at some moment after everything that was handed over before.
    pub fn look(&self, then: impl FnOnce(Snapshot) + Send + 'static) -> bool {
        self.orders.as_ref().is_some_and(|orders| orders.try_send(Order::Look(Box::new(then))).is_ok())
    }
}

impl Committer {
    /// What was handed over is still written, and nobody waits for it.
    pub fn leave(mut self) {
        drop(self.thread.take());
    }
}

impl Drop for Committer {
    /// What was handed over is written before it ends.
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write<F: Files>(mut store: Store<F>, waiting: &Receiver<Order>, most: usize, clock: &dyn Fn() -> Micros) {
    while let Ok(first) = waiting.recv() {
        // All that waits by now goes with it.
        let (mut batches, mut dones, mut looks) = (Vec::new(), Vec::new(), Vec::new());
        for order in std::iter::once(first).chain(waiting.try_iter()).take(most) {
            match order {
                Order::Write(batch, done) => {
                    batches.push(batch);
                    dones.push(done);
                }
                Order::Look(then) => looks.push(then),
            }
        }
        if !dones.is_empty() {
            commit(&mut store, clock(), batches, dones);
        }
        for look in looks {
            look(store.snapshot());
        }
        if store.wants_compaction() {
            // It failing is known by the next write.
            let _ = store.compact();
        }
    }
}

fn commit<F: Files>(store: &mut Store<F>, now: Micros, batches: Vec<Batch>, dones: Vec<Done>) {
    // After a failure everything that was confirmed is written anew first, if that can be done by now.
    if store.has_failed() && store.heal().is_err() {
        return dones.into_iter().for_each(|done| done(false));
    }
    match store.commit(now, batches.clone()) {
        Ok(()) => dones.into_iter().for_each(|done| done(true)),
        // One of them is too large: the others need not fail with it.
        Err(Problem::TooLarge) if batches.len() > 1 => {
            for (batch, done) in batches.into_iter().zip(dones) {
                done(store.commit(now, vec![batch]).is_ok());
            }
        }
        Err(_) => dones.into_iter().for_each(|done| done(false)),
    }
}
