//! The actor that hands what is believed to the disk.

use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_store::{Batch, Keeping, State};
use aldermill_warm_start::{Change, SavedState, StateSnapshot};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use super::DataDirectory;
use crate::lifecycle::clock::Clock;

/// How long a write may wait for its confirmation before the disk counts as gone.
const PATIENCE: Micros = 2_000_000;
const WAITING: usize = 8;

/// Hands over what is believed, once the folder is open.
pub(super) struct WriterThread {
    pub clock: Clock,
    pub log: Logger,
    pub folder: Rc<DataDirectory>,
    pub kept: SavedState,
    /// What is believed; the newest counts.
    pub beliefs: watch::Receiver<Option<StateSnapshot>>,
}

impl WriterThread {
    /// Hands what has changed to the disk's thread, as long as the disk does well; says so when it does not.
    pub async fn run(mut self) {
        let (done, mut confirmed) = mpsc::channel(WAITING * 2);
        let mut keeping = Keeping::start(PATIENCE, WAITING);
        let mut told = State::Well;
        loop {
            let due = keeping.due().map(|at| self.clock.instant(at));
            tokio::select! {
                changed = self.beliefs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.hand_over(&mut keeping, &done);
                }
                Some(well) = confirmed.recv() => match well {
                    true => {
                        keeping.confirmed(self.clock.now());
                        if keeping.due().is_none() {
                            self.kept.writes_confirmed();
                        }
                    }
                    false => self.failed(&mut keeping),
                },
                () = sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                    if keeping.gives_up(self.clock.now()) {
                        self.kept.write_failed();
                    }
                }
            }
            let state = keeping.state();
            if std::mem::discriminant(&state) != std::mem::discriminant(&told) {
                match state {
                    State::Well => info!(self.log, "warm state is kept again"),
                    State::Slow => warn!(self.log, "the disk of the warm state is slow"),
                    State::Without { .. } => {
                        warn!(self.log, "warm state is not kept, the disk does not take it or is slow")
                    }
                }
                told = state;
            }
        }
    }

    fn failed(&mut self, keeping: &mut Keeping) {
        keeping.failed(self.clock.now());
        self.kept.write_failed();
    }

    fn hand_over(&mut self, keeping: &mut Keeping, done: &mpsc::Sender<bool>) {
        let Some(beliefs) = self.beliefs.borrow_and_update().clone() else { return };
        let now = self.clock.now();
        // What a slow disk is not given now, it is given with the next.
        if !matches!(keeping.state(), State::Well) && keeping.due().is_some()
            || !keeping.hands_over(now, true)
        {
            return;
        }
        let changes = self.kept.changes(now, beliefs);
        let mut batch = Batch::default();
        for Change { namespace, key, value } in changes {
            match value {
                Some(value) => batch.put(namespace, &key, &value, None),
                None => batch.remove(namespace, &key),
            }
        }
        if batch.is_empty() {
            return keeping.confirmed(now);
        }
        if !self.folder.write(batch, done) {
            self.failed(keeping);
        }
    }
}
