//! Opening the folder, again and again while that fails: whoever needs it is told nothing of it before it is read.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use aldermill_store::{Bounds, Committer, Disk, Problem, Recovered, Snapshot, Store};
use aldermill_warm_start::{RestoreError, RestoredState, SavedState, StateSnapshot, restore};
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

use super::data_directory::{DataDirectory, Record};
use super::writer::WriterThread;
use crate::lifecycle::clock::Clock;

/// The wait behind the first trial that failed, doubled with each that follows.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// A folder that works again is taken in within this time.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Batches of all kinds that may wait for the disk's thread.
const QUEUE: usize = 1024;

/// Why the folder is not read, or not written to.
#[derive(Debug, Error)]
pub(super) enum Unopened {
    #[error("not open within {0} ms; see the disk")]
    Late(u128),
    #[error("{0}")]
    Store(#[from] Problem),
    #[error("{0}")]
    Refused(#[from] RestoreError),
    #[error("{0}; see that the folder may be written")]
    Disk(std::io::Error),
    #[error("{0} places are damaged, see aldermill store check")]
    Damaged(usize),
    #[error("{0}; see the limits on threads and memory")]
    Thread(std::io::Error),
    #[error("the thread that opens it ended; see the lines before this one")]
    Ended,
}

/// Whose folder it is, and where.
#[derive(Clone)]
struct Place {
    path: PathBuf,
    name: String,
    bounds: Bounds,
    clock: Clock,
}

/// A folder that this process has to itself, and what it held.
struct Found {
    /// Held until the folder is open for writing.
    lock: Disk,
    records: Vec<Record>,
    recalled: RestoredState,
    committer: Result<Committer, Problem>,
}

/// What the store held, if it is this driver's and sound.
fn sound(
    place: &Place,
    now: i64,
    seen: (Snapshot, Recovered),
) -> Result<(Vec<Record>, RestoredState), Unopened> {
    let (snapshot, recovered) = seen;
    let recalled = restore(&place.name, now, snapshot.everything())?;
    if !recovered.damage.is_empty() {
        return Err(Unopened::Damaged(recovered.damage.len()));
    }
    let copied = snapshot.everything().map(|(space, key, value)| (space, key.to_vec(), value.to_vec()));
    Ok((copied.collect(), recalled))
}

/// One trial, on a thread of its own; `lock` is that of an earlier one. A folder that is refused is left as it is.
fn open(place: &Place, lock: Option<Disk>) -> Result<Found, Unopened> {
    let (bounds, clock) = (place.bounds, place.clock);
    let now = clock.now();
    let lock = match lock {
        Some(lock) => lock,
        None => {
            // First without changing anything: whose it is decides whether it is opened at all.
            if place.path.exists() {
                sound(place, now, Store::look(Disk::look(&place.path), bounds, now)?)?;
            }
            Disk::open(&place.path).map_err(Unopened::Disk)?
        }
    };
    // Read under the lock: what another process wrote up to its end is in it.
    match Store::open(lock.again(), bounds, now) {
        Ok((store, recovered)) => {
            let (records, recalled) = sound(place, now, (store.snapshot(), recovered))?;
            // The store's time is a span that this process measures, whatever steps the wall clock makes.
            let committer = Committer::start(store, QUEUE, move || clock.now());
            Ok(Found { lock, records, recalled, committer: Ok(committer) })
        }
        // It may be full, or writing fails in another way: reading may do all the same.
        Err(why) => {
            let (records, recalled) = sound(place, now, Store::look(lock.again(), bounds, now)?)?;
            Ok(Found { lock, records, recalled, committer: Err(why) })
        }
    }
}

async fn open_on_a_thread(place: Place, lock: Option<Disk>) -> Result<Found, Unopened> {
    let (sender, ended) = oneshot::channel();
    let work = move || {
        let _ = sender.send(open(&place, lock));
    };
    std::thread::Builder::new().spawn(work).map_err(Unopened::Thread)?;
    ended.await.map_err(|_| Unopened::Ended)?
}

/// Tries until the folder is open, then keeps what is believed in it.
pub(super) struct Opener {
    pub folder: Rc<DataDirectory>,
    pub beliefs: watch::Receiver<Option<StateSnapshot>>,
    place: Place,
    log: Logger,
    shown: PathBuf,
    /// What was last said of why it is not open.
    told: String,
}

impl Opener {
    pub fn new(
        path: &Path,
        name: &str,
        memory: u64,
        clock: Clock,
        log: &Logger,
        beliefs: watch::Receiver<Option<StateSnapshot>>,
    ) -> Opener {
        let bounds = Bounds::usual(memory);
        let place = Place { path: path.to_owned(), name: name.to_owned(), bounds, clock };
        let (folder, told) = (Rc::default(), String::new());
        Opener { folder, beliefs, place, log: log.clone(), shown: path.to_owned(), told }
    }

    /// `first` hears what was recalled if the first trial could read the folder, and is dropped if not.
    pub async fn run(mut self, first: oneshot::Sender<RestoredState>) {
        let (mut first, mut lock, mut wait) = (Some(first), None, FIRST_WAIT);
        loop {
            match open_on_a_thread(self.place.clone(), lock.take()).await {
                Ok(found) => {
                    self.read(found.records, found.recalled, first.take());
                    match found.committer {
                        Ok(committer) => {
                            self.folder.was_opened(committer);
                            break;
                        }
                        Err(why) => self
                            .fails("warm state is not kept yet, what was kept before is read", &why.into()),
                    }
                    lock = Some(found.lock);
                }
                Err(why) => self.fails("warm state refused, started without", &why),
            }
            first = None;
            sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        if !self.told.is_empty() {
            info!(self.log, "warm state is kept from now on"; "folder" => %self.shown.display());
        }
        self.keep().await;
    }

    fn read(
        &self,
        records: Vec<Record>,
        recalled: RestoredState,
        first: Option<oneshot::Sender<RestoredState>>,
    ) {
        if self.folder.records().is_some() {
            return;
        }
        info!(self.log, "warm state"; "revision" => recalled.snapshot.revision,
            "primaries" => recalled.snapshot.primaries.len(), "left_out" => recalled.unusable_records,
            "newest_word_ms_ago" => recalled.newest_confirmation_age.map(|age| age / 1000));
        self.folder.was_read(records);
        // StateSnapshot that come late are of no use: this process knows better by then.
        if let Some(first) = first {
            let _ = first.send(recalled);
        }
    }

    /// Says why, once.
    fn fails(&mut self, what: &'static str, why: &Unopened) {
        let told = format!("{what}: {why}");
        if told != self.told {
            warn!(self.log, "{}", what; "folder" => %self.shown.display(), "why" => %why);
            self.told = told;
        }
    }

    async fn keep(self) {
        let keys = self.folder.records().into_iter().flatten().map(|(space, key, _)| (*space, key.clone()));
        let kept = SavedState::new(&self.place.name, keys);
        let Opener { folder, beliefs, place, log, .. } = self;
        WriterThread { clock: place.clock, log, folder, kept, beliefs }.run().await;
    }
}
