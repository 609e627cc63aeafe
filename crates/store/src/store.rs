use std::collections::BTreeMap;

use crate::contents::{Entry, Index, over};
use crate::files::Files;
use crate::log::{BadHead, Body, Change, FRONT, HEAD, Kind, head, read_head, read_record, record};
use crate::{Batch, Damage, Micros, Problem, Recovered, Snapshot};

/// The limits of a store, all stated at its start. Sizes in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A segment is ended once it is so long.
    pub segment: u64,
    /// One batch.
    pub batch: usize,
    /// All that is live, keys and values: it is held in memory.
    pub live: u64,
    /// The log is compacted once it is so many times as long as what is live in it, and longer than a segment.
    pub slack: u64,
}

impl Bounds {
    pub fn usual(memory: u64) -> Bounds {
        Bounds { segment: 4 << 20, batch: 1 << 20, live: memory / 8, slack: 4 }
    }
}

/// The store over one folder.
pub struct Store<F: Files> {
    pub(crate) files: F,
    pub(crate) bounds: Bounds,
    pub(crate) index: Index,
    /// Bytes of keys and values in the index.
    pub(crate) live: u64,
    /// Segments and their lengths; the last one is written to.
    pub(crate) segments: BTreeMap<u64, u64>,
    pub(crate) sequence: u64,
    pub(crate) synced: u64,
    /// The latest time that was ever told or found, as the records have it.
    pub(crate) now: Micros,
    /// By how much the records' time is ahead of the caller's: an earlier start's clock was ahead of this one's.
    ahead: Micros,
    pub(crate) failed: bool,
    /// Files that say nothing any more may lie in the folder: removing them failed.
    pub(crate) litter: bool,
    /// Read in a recovery, and not proven to be on the disk: the system may hold it in memory only.
    unproven: Vec<(u64, Vec<Change>)>,
    /// An unsound end of a segment, until something behind it tells whether it was confirmed.
    doubtful: Option<Damage>,
    /// When expired entries were last looked for.
    swept: Micros,
}

/// How often entries that are over are let go of.
const SWEEP: Micros = 1_000_000;

pub(crate) fn name(number: u64) -> String {
    format!("{number:010}.log")
}

pub(crate) fn number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".log")?;
    (digits.len() == 10).then(|| digits.parse().ok()).flatten()
}

impl<F: Files> Store<F> {
    /// Opens what is there, whatever state a crash left it in: all that was confirmed, and nothing half.
    pub fn open(files: F, bounds: Bounds, now: Micros) -> Result<(Store<F>, Recovered), Problem> {
        let mut store = Store::empty(files, bounds, now);
        let recovered = store.recover()?;
        // Never appended to what a crash may have left: a new segment begins. What was read and may yet be lost is
        // written again, and confirmed by that.
        store.begin_segment()?;
        if let Err(why) = store.write_unproven() {
            // All that is in it stands in the segments before it, too.
            store.remove_last();
            return Err(why);
        }
        store.synced = store.sequence;
        // Where something is damaged, all that lies there may help whoever looks into it.
        if recovered.damage.is_empty() {
            store.tidy();
        }
        Ok((store, recovered))
    }

    /// One record of all that is not proven: however often a start fails behind this, the log grows by no more than that.
    fn write_unproven(&mut self) -> Result<(), Problem> {
        let changes = std::mem::take(&mut self.unproven).into_iter().flat_map(|(_, changes)| changes);
        let latest: BTreeMap<(u32, Vec<u8>), Change> =
            changes.map(|change| ((change.space, change.key.clone()), change)).collect();
        if latest.is_empty() {
            return Ok(());
        }
        self.sequence += 1;
        let body = Body { changes: latest.into_values().collect(), at: self.now };
        self.write(&record(self.sequence, self.synced, &body))
    }

    /// The newest segment is gone again, if that can be done.
    fn remove_last(&mut self) {
        if let Some((number, _)) = self.segments.pop_last() {
            // What is left is found to say nothing new by the next start.
            let _ = self.files.remove(&name(number));
        }
    }

    /// Reads what is there without changing anything.
    pub fn look(files: F, bounds: Bounds, now: Micros) -> Result<(Snapshot, Recovered), Problem> {
        let mut store = Store::empty(files, bounds, now);
        let recovered = store.recover()?;
        Ok((store.snapshot(), recovered))
    }

    fn empty(files: F, bounds: Bounds, now: Micros) -> Store<F> {
        Store {
            files,
            bounds,
            index: Index::new(),
            live: 0,
            segments: BTreeMap::new(),
            sequence: 0,
            synced: 0,
            now,
            ahead: 0,
            failed: false,
            litter: false,
            unproven: Vec::new(),
            doubtful: None,
            swept: now,
        }
    }

    fn recover(&mut self) -> Result<Recovered, Problem> {
        let mut names: Vec<(u64, String)> =
            self.files.list()?.into_iter().filter_map(|name| Some((number(&name)?, name))).collect();
        names.sort();
        let given = self.now;
        let mut recovered = Recovered::default();
        let mut segments = Vec::new();
        for (number, name) in names {
            let bytes = self.files.read(&name)?;
            let kind = match read_head(&bytes) {
                Ok((kind, inside)) if inside == number => Some(kind),
                Err(BadHead::Newer(version)) => return Err(Problem::Newer(version)),
                _ => None,
            };
            segments.push((number, kind, bytes));
        }
        // What stands before the newest base is left over from a compaction that did not get to remove it.
        let base = segments.iter().rposition(|(_, kind, _)| *kind == Some(Kind::Base)).unwrap_or(0);
        for (number, kind, bytes) in segments.into_iter().skip(base) {
            if kind.is_none() {
                self.read_headless(number, &bytes, &mut recovered);
                continue;
            }
            // A tail may be torn in any of them: each start of the program leaves one, and begins another.
            self.read_segment(number, &bytes, &mut recovered);
            self.segments.insert(number, bytes.len() as u64);
            recovered.segments += 1;
        }
        self.ahead = self.now - given;
        recovered.torn += self.doubtful.take().map_or(0, |end| end.to - end.from);
        Ok(recovered)
    }

    /// A segment without a sound head: one that was begun when the process was killed or the disk failed, unless what
    /// stands behind it tells that something in it had been confirmed.
    fn read_headless(&mut self, number: u64, bytes: &[u8], recovered: &mut Recovered) {
        let whole = Damage { segment: number, from: 0, to: bytes.len() as u64 };
        match bytes.len() <= HEAD {
            true if self.doubtful.is_none() => self.doubtful = Some(whole),
            true => recovered.torn += whole.to,
            // Its head was on the disk before anything was put behind it.
            false => recovered.damage.push(whole),
        }
    }

    fn read_segment(&mut self, number: u64, bytes: &[u8], recovered: &mut Recovered) {
        let mut at = HEAD;
        while at < bytes.len() {
            if let Some(found) = read_record(&bytes[at..]) {
                at += found.length;
                recovered.records += 1;
                // An unsound end before it was confirmed if more had been synced than was read.
                if let Some(end) = self.doubtful.take() {
                    match found.synced > self.sequence {
                        true => recovered.damage.push(end),
                        false => recovered.torn += end.to - end.from,
                    }
                }
                self.sequence = self.sequence.max(found.sequence);
                self.synced = self.synced.max(found.synced);
                self.now = self.now.max(found.body.at);
                let synced = self.synced;
                self.unproven.retain(|(sequence, _)| *sequence > synced);
                if found.sequence > synced {
                    self.unproven.push((found.sequence, found.body.changes.clone()));
                }
                self.apply(found.body.changes);
                continue;
            }
            // Something unsound. If a sound record stands behind it that was written when more than what was read so
            // far had been synced, this was confirmed once, and is damage; else it was never confirmed, and neither
            // was anything behind it.
            let read = self.sequence;
            let behind = (at + 1..bytes.len().saturating_sub(FRONT - 1))
                .find_map(|next| Some((next, read_record(&bytes[next..])?)));
            match behind {
                Some((next, found)) if found.synced > read => {
                    recovered.damage.push(Damage { segment: number, from: at as u64, to: next as u64 });
                    at = next;
                }
                _ => {
                    let earlier = self.doubtful.replace(Damage {
                        segment: number,
                        from: at as u64,
                        to: bytes.len() as u64,
                    });
                    recovered.torn += earlier.map_or(0, |end| end.to - end.from);
                    return;
                }
            }
        }
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for Change { space, key, value, until } in changes {
            let size = key.len() as u64;
            let before = match value {
                Some(value) => {
                    self.live += size + value.len() as u64;
                    self.index.insert((space, key), Entry { value: value.into(), until })
                }
                None => self.index.remove(&(space, key)),
            };
            if let Some(before) = before {
                self.live -= size + before.value.len() as u64;
            }
        }
    }

    /// Writes these batches with one sync between them all; they are confirmed when it returns well. After an error
    /// nothing is known of them, and the store takes nothing more until it is opened anew.
    pub fn commit(&mut self, now: Micros, batches: Vec<Batch>) -> Result<(), Problem> {
        if self.failed {
            return Err(Problem::Failed);
        }
        self.now = self.now.max(now + self.ahead);
        let mut added = 0;
        let mut bytes = Vec::new();
        let mut bodies = Vec::with_capacity(batches.len());
        for Batch { mut changes } in batches {
            changes
                .iter_mut()
                .filter(|change| change.until != 0)
                .for_each(|change| change.until += self.ahead);
            let size =
                |change: &Change| (change.key.len() + change.value.as_ref().map_or(0, Vec::len)) as u64;
            added += changes.iter().map(size).sum::<u64>();
            let body = Body { changes, at: self.now };
            let record = record(self.sequence + 1 + bodies.len() as u64, self.synced, &body);
            if record.len() > self.bounds.batch {
                return Err(Problem::TooLarge);
            }
            bytes.extend_from_slice(&record);
            bodies.push(body);
        }
        if self.live + added > self.bounds.live {
            self.sweep();
            if self.live + added > self.bounds.live {
                return Err(Problem::TooLarge);
            }
        }
        let written = self.write(&bytes);
        if written.is_err() {
            self.failed = true;
        }
        written?;
        self.sequence += bodies.len() as u64;
        self.synced = self.sequence;
        bodies.into_iter().for_each(|body| self.apply(body.changes));
        if self.now - self.swept >= SWEEP {
            self.sweep();
            if self.litter {
                self.tidy();
            }
        }
        if self.segments.last_key_value().is_some_and(|(_, &length)| length >= self.bounds.segment) {
            // These batches are confirmed all the same; the next ones find that it failed.
            self.failed = self.begin_segment().is_err();
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), Problem> {
        let Some((&number, _)) = self.segments.last_key_value() else { return Err(Problem::Failed) };
        let name = name(number);
        self.files.append(&name, bytes)?;
        self.files.sync(&name)?;
        *self.segments.entry(number).or_default() += bytes.len() as u64;
        Ok(())
    }

    pub(crate) fn begin_segment(&mut self) -> Result<(), Problem> {
        // Above every file there is, also one that could not be read.
        let highest = self.files.list()?.iter().filter_map(|name| number(name)).max().unwrap_or(0);
        let number = highest + 1;
        self.new_segment(&name(number), Kind::Log, number)?;
        self.segments.insert(number, HEAD as u64);
        Ok(())
    }

    pub(crate) fn new_segment(&mut self, file: &str, kind: Kind, number: u64) -> Result<(), Problem> {
        let begun = self.try_new_segment(file, kind, number);
        if begun.is_err() {
            // Each trial in a folder that stays full would leave another. Where this fails too, the next start does it.
            let _ = self.files.remove(file);
            self.litter = true;
        }
        begun
    }

    fn try_new_segment(&mut self, file: &str, kind: Kind, number: u64) -> Result<(), Problem> {
        self.files.create(file)?;
        self.files.append(file, &head(kind, number))?;
        self.files.sync(file)?;
        Ok(self.files.sync_names()?)
    }

    /// Lets go of what is over.
    pub(crate) fn sweep(&mut self) {
        self.swept = self.now;
        let now = self.now;
        let gone: Vec<(u32, Vec<u8>)> =
            self.index.iter().filter(|(_, entry)| over(entry, now)).map(|(key, _)| key.clone()).collect();
        for key in gone {
            if let Some(entry) = self.index.remove(&key) {
                self.live -= (key.1.len() + entry.value.len()) as u64;
            }
        }
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot { index: self.index.clone(), at: self.now }
    }

    /// Bytes of keys and values that are live, and bytes of the log.
    pub fn size(&self) -> (u64, u64) {
        (self.live, self.segments.values().sum())
    }

    pub fn has_failed(&self) -> bool {
        self.failed
    }

    pub fn files(&self) -> &F {
        &self.files
    }

    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    pub fn into_files(self) -> F {
        self.files
    }
}
