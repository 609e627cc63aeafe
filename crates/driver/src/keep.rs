//! What is kept over a restart: the folder's opening, and the actor that hands what is believed to the disk.

use std::mem::ManuallyDrop;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use aldermill_operator::Warm;
use aldermill_routing::Micros;
use aldermill_store::{Batch, Bounds, Committer, Disk, Keeping, Snapshot, State, Store};
use aldermill_warm::{Beliefs, Change, Kept, Recalled, recall};
use slog::{Logger, info, warn};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

use crate::clock::{Clock, unix_now};

/// A folder that is not open by then is gone on without: nobody waits for a disk.
const OPENING: Duration = Duration::from_millis(500);
/// How long a write may wait for its confirmation before the disk counts as gone.
const PATIENCE: Micros = 2_000_000;
const WAITING: usize = 8;
/// Batches of all kinds that may wait for the disk's thread.
const QUEUE: usize = 1024;

/// An open folder.
pub struct Folder {
    /// Never waited for, not even at the end: a disk may stand still.
    committer: ManuallyDrop<Committer>,
    /// What it held: space, key and value.
    pub read: Vec<(u32, Vec<u8>, Vec<u8>)>,
}

impl Folder {
    /// Hands a batch to the disk's thread, unless that takes nothing more. `told` then hears whether it was kept; it
    /// must have room for as many words as there are batches under way.
    pub fn write(&self, batch: Batch, told: &mpsc::Sender<bool>) -> bool {
        let told = told.clone();
        let done = move |well| {
            // One that is gone needs no word.
            let _ = told.try_send(well);
        };
        self.committer.write(batch, Box::new(done)).is_ok()
    }
}

/// Why the program starts without what was kept.
#[derive(Debug, Error)]
enum Unopened {
    #[error("not open within {0} ms; see the disk")]
    Late(u128),
    #[error("{0}")]
    Store(aldermill_store::Problem),
    #[error("{0}")]
    Refused(aldermill_warm::Refused),
    #[error("{0}; see that the folder may be written")]
    Disk(std::io::Error),
    #[error("{0} places are damaged, see aldermill store check")]
    Damaged(usize),
}

/// Opens the folder and reads it back, on a thread of its own. A folder that is refused is left as it is.
async fn open(path: &str, name: &str, memory: u64) -> Result<(Folder, Recalled), Unopened> {
    let (sender, opened) = oneshot::channel();
    let (path, name) = (PathBuf::from(path), name.to_owned());
    std::thread::spawn(move || {
        let _ = sender.send(read(&path, &name, memory));
    });
    let late = Unopened::Late(OPENING.as_millis());
    timeout(OPENING, opened).await.ok().and_then(Result::ok).unwrap_or(Err(late))
}

fn read(path: &Path, name: &str, memory: u64) -> Result<(Folder, Recalled), Unopened> {
    let bounds = Bounds::usual(memory);
    let now = unix_now();
    // First without changing anything: whose it is decides whether it is opened at all.
    let seen = match path.exists() {
        true => Some(Store::look(Disk::look(path), bounds, now).map_err(Unopened::Store)?.0),
        false => None,
    };
    let records = || seen.iter().flat_map(Snapshot::everything);
    let recalled = recall(name, now, records()).map_err(Unopened::Refused)?;
    let disk = Disk::open(path).map_err(Unopened::Disk)?;
    let (store, recovered) = Store::open(disk, bounds, now).map_err(Unopened::Store)?;
    if !recovered.damage.is_empty() {
        return Err(Unopened::Damaged(recovered.damage.len()));
    }
    let read = records().map(|(space, key, value)| (space, key.to_vec(), value.to_vec())).collect();
    let committer = ManuallyDrop::new(Committer::start(store, QUEUE, unix_now));
    Ok((Folder { committer, read }, recalled))
}

/// An open folder, what was recalled from it, and who keeps what is believed from now on.
pub struct Warmed {
    pub folder: Rc<Folder>,
    pub recalled: Recalled,
    pub keeping: watch::Sender<Option<Beliefs>>,
}

/// Opens the folder and starts its keeper; `None` where it is refused, which the log then says.
pub async fn start(warm: &Warm, name: &str, memory: u64, clock: Clock, log: &Logger) -> Option<Warmed> {
    let opened = open(&warm.folder, name, memory).await;
    let refused =
        |why| warn!(log, "warm state refused, started without"; "folder" => &warm.folder, "why" => %why);
    let (folder, recalled) = opened.map_err(refused).ok()?;
    info!(log, "warm state"; "revision" => recalled.beliefs.revision,
        "primaries" => recalled.beliefs.primaries.len(), "left_out" => recalled.left_out,
        "newest_word_ms_ago" => recalled.age.map(|age| age / 1000));
    let folder = Rc::new(folder);
    let (keeping, beliefs) = watch::channel(None);
    let kept = Kept::start(name, folder.read.iter().map(|(space, key, _)| (*space, key.clone())));
    let keeper = Keeper { clock, log: log.clone(), folder: folder.clone(), kept, beliefs };
    spawn_local(keeper.run());
    Some(Warmed { folder, recalled, keeping })
}

struct Keeper {
    clock: Clock,
    log: Logger,
    folder: Rc<Folder>,
    kept: Kept,
    /// What is believed; the newest counts.
    beliefs: watch::Receiver<Option<Beliefs>>,
}

impl Keeper {
    /// Hands what has changed to the disk's thread, as long as the disk does well; says so when it does not.
    async fn run(mut self) {
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
                            self.kept.settled();
                        }
                    }
                    false => self.failed(&mut keeping),
                },
                () = sleep_until(due.unwrap_or_else(tokio::time::Instant::now)), if due.is_some() => {
                    if keeping.gives_up(self.clock.now()) {
                        self.kept.lost();
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
        self.kept.lost();
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
        for Change { space, key, value } in changes {
            match value {
                Some(value) => batch.put(space, &key, &value, None),
                None => batch.remove(space, &key),
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

/// `aldermill store`: what can be done about a folder.
pub mod tools {
    use super::*;
    use crate::halt::Halt;

    const ALL: Bounds = Bounds { segment: 4 << 20, batch: 1 << 30, live: 1 << 40, slack: 4 };

    /// What a recovery would find; whether all of it is sound.
    pub fn check(folder: &str) -> Result<bool, Halt> {
        let (_, found) = look(folder)?;
        println!(
            "{} segments, {} records, {} bytes of a torn end",
            found.segments, found.records, found.torn
        );
        for damage in &found.damage {
            println!("damaged: segment {} from byte {} to {}", damage.segment, damage.from, damage.to);
        }
        Ok(found.damage.is_empty())
    }

    /// Every record as a line of JSON.
    pub fn dump(folder: &str) -> Result<(), Halt> {
        for (space, key, value) in look(folder)?.0.everything() {
            let value = serde_json::from_slice(value)
                .unwrap_or_else(|_| serde_json::Value::String(String::from_utf8_lossy(value).into_owned()));
            let key = String::from_utf8_lossy(key);
            println!("{}", serde_json::json!({"space": space, "key": key, "value": value}));
        }
        Ok(())
    }

    /// Writes what is live to one segment; no driver may have the folder open.
    pub fn compact(folder: &str) -> Result<(), Halt> {
        look(folder)?;
        let refused = |why| Halt::Store { folder: folder.to_owned(), why };
        let disk = Disk::open(Path::new(folder)).map_err(|why| refused(why.into()))?;
        let (mut store, _) = Store::open(disk, ALL, unix_now()).map_err(refused)?;
        let before = store.size().1;
        store.compact().map_err(refused)?;
        println!("{before} bytes before, {} now", store.size().1);
        Ok(())
    }

    fn look(folder: &str) -> Result<(Snapshot, aldermill_store::Recovered), Halt> {
        if !Path::new(folder).is_dir() {
            return Err(Halt::NoFolder(folder.to_owned()));
        }
        Store::look(Disk::look(Path::new(folder)), ALL, unix_now())
            .map_err(|why| Halt::Store { folder: folder.to_owned(), why })
    }
}
