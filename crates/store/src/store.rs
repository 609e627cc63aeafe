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
    files: F,
    bounds: Bounds,
    index: Index,
    /// Bytes of keys and values in the index.
    live: u64,
    /// Segments and their lengths; the last one is written to.
    segments: BTreeMap<u64, u64>,
    sequence: u64,
    synced: u64,
    /// The latest time that was ever told or found.
    now: Micros,
    failed: bool,
    /// Read in a recovery, and not proven to be on the disk: the system may hold it in memory only.
    unproven: Vec<(u64, Vec<Change>)>,
    /// An unsound end of a segment, until something behind it tells whether it was confirmed.
    doubtful: Option<Damage>,
    /// When expired entries were last looked for.
    swept: Micros,
}

/// How often entries that are over are let go of.
const SWEEP: Micros = 1_000_000;

/// Segments that a folder may have, however short.
const SEGMENTS: usize = 64;

fn name(number: u64) -> String {
    format!("{number:010}.log")
}

fn number(name: &str) -> Option<u64> {
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
        let unproven = std::mem::take(&mut store.unproven);
        let mut bytes = Vec::new();
        for (_, changes) in unproven {
            store.sequence += 1;
            bytes.extend_from_slice(&record(store.sequence, store.synced, &Body { changes, at: store.now }));
        }
        if !bytes.is_empty() {
            store.write(&bytes)?;
        }
        store.synced = store.sequence;
        Ok((store, recovered))
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
            failed: false,
            unproven: Vec::new(),
            doubtful: None,
            swept: now,
        }
    }

    fn recover(&mut self) -> Result<Recovered, Problem> {
        let mut names: Vec<(u64, String)> =
            self.files.list()?.into_iter().filter_map(|name| Some((number(&name)?, name))).collect();
        names.sort();
        let mut recovered = Recovered::default();
        let mut segments = Vec::new();
        let last = names.last().map(|(number, _)| *number);
        for (number, name) in names {
            let bytes = self.files.read(&name)?;
            match read_head(&bytes) {
                Ok((kind, inside)) if inside == number => segments.push((number, kind, bytes)),
                Err(BadHead::Newer(version)) => return Err(Problem::Newer(version)),
                // Begun and not yet on the disk when the power went: nothing in it was confirmed.
                _ if Some(number) == last && bytes.len() <= HEAD => recovered.torn += bytes.len() as u64,
                _ => recovered.damage.push(Damage { segment: number, from: 0, to: bytes.len() as u64 }),
            }
        }
        // What stands before the newest base is left over from a compaction that did not get to remove it.
        let base = segments.iter().rposition(|(_, kind, _)| *kind == Kind::Base).unwrap_or(0);
        for (number, _, bytes) in segments.into_iter().skip(base) {
            // A tail may be torn in any of them: each start of the program leaves one, and begins another.
            self.read_segment(number, &bytes, &mut recovered);
            self.segments.insert(number, bytes.len() as u64);
            recovered.segments += 1;
        }
        recovered.torn += self.doubtful.take().map_or(0, |end| end.to - end.from);
        Ok(recovered)
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
        self.now = self.now.max(now);
        let mut added = 0;
        let mut bytes = Vec::new();
        let mut bodies = Vec::with_capacity(batches.len());
        for Batch { changes } in batches {
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
        }
        if self.segments.last_key_value().is_some_and(|(_, &length)| length >= self.bounds.segment) {
            self.begin_segment().inspect_err(|_| self.failed = true)?;
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

    fn begin_segment(&mut self) -> Result<(), Problem> {
        // Above every file there is, also one that could not be read.
        let highest = self.files.list()?.iter().filter_map(|name| number(name)).max().unwrap_or(0);
        let number = highest + 1;
        self.new_segment(&name(number), Kind::Log, number)?;
        self.segments.insert(number, HEAD as u64);
        Ok(())
    }

    fn new_segment(&mut self, file: &str, kind: Kind, number: u64) -> Result<(), Problem> {
        self.files.create(file)?;
        self.files.append(file, &head(kind, number))?;
        self.files.sync(file)?;
        Ok(self.files.sync_names()?)
    }

    /// Whether much of the log says nothing any more.
    pub fn wants_compaction(&self) -> bool {
        let length: u64 = self.segments.values().sum();
        let wasted = length > self.bounds.segment && length > self.bounds.slack * self.live;
        // Each start begins a segment.
        self.segments.len() > 1 && (wasted || self.segments.len() > SEGMENTS)
    }

    /// Writes all that is live into one segment, and removes those before it. A crash at any step leaves either what
    /// was there before or what is there after.
    pub fn compact(&mut self) -> Result<(), Problem> {
        if self.failed {
            return Err(Problem::Failed);
        }
        let done = self.compact_all();
        if done.is_err() {
            self.failed = true;
        }
        done
    }

    /// After a write failed, which leaves nothing certain of the file that it went to: all that was confirmed is written
    /// anew, to another file. A sync that failed is never asked for again, since it might then succeed with nothing
    /// written.
    pub fn heal(&mut self) -> Result<(), Problem> {
        let healed = self.compact_all();
        self.failed = healed.is_err();
        healed
    }

    fn compact_all(&mut self) -> Result<(), Problem> {
        self.sweep();
        // Under another name, until it is whole and on the disk.
        let highest = self.files.list()?.iter().filter_map(|name| number(name)).max().unwrap_or(0);
        let (draft, number) = ("compaction.tmp", highest + 1);
        self.new_segment(draft, Kind::Base, number)?;
        let mut length = HEAD as u64;
        let mut changes = Vec::new();
        let mut size = 0;
        let snapshot = self.index.clone();
        let mut entries = snapshot.iter().peekable();
        while let Some(((space, key), entry)) = entries.next() {
            size += key.len() + entry.value.len() + 32;
            let value = Some(entry.value.to_vec());
            changes.push(Change { space: *space, key: key.clone(), value, until: entry.until });
            if size > self.bounds.batch / 2 || entries.peek().is_none() {
                self.sequence += 1;
                let body = Body { changes: std::mem::take(&mut changes), at: self.now };
                let bytes = record(self.sequence, self.synced, &body);
                self.files.append(draft, &bytes)?;
                (size, length) = (0, length + bytes.len() as u64);
            }
        }
        self.files.sync(draft)?;
        self.files.rename(draft, &name(number))?;
        self.files.sync_names()?;
        self.synced = self.sequence;
        for old in std::mem::take(&mut self.segments).into_keys() {
            self.files.remove(&name(old))?;
        }
        self.segments.insert(number, length);
        self.files.sync_names()?;
        self.begin_segment()
    }

    /// Lets go of what is over.
    fn sweep(&mut self) {
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
