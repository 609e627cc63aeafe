//! The store over one directory: opening, committing, and the segment that is written to.

use std::collections::BTreeMap;

use crate::files::Files;
use crate::format::{
    Change, NEVER_EXPIRES, RecordBody, SEGMENT_HEADER_BYTES, SegmentHeader, SegmentKind, encode_header,
    encode_record,
};
use crate::index::{EntryKey, Index};
use crate::recovery::{Recovery, RecoveryOutcome, UnprovenRecord};
use crate::{Batch, Micros, RecoveryReport, Snapshot, StoreError};

/// The limits of a store, all stated at its start.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A segment is ended once it has this length, in bytes.
    pub max_segment_bytes: u64,
    /// The length of one batch's record, in bytes.
    pub max_batch_bytes: usize,
    /// All keys and values that are live, in bytes: they are held in memory.
    pub max_live_bytes: u64,
    /// The log is compacted once it is longer than this many times the live data, and longer than a segment.
    pub max_log_ratio: u64,
}

impl Limits {
    /// For a process that may use `memory` bytes. Live data may take an eighth of it, since it is held beside all that
    /// the process does. With a log of up to four times the live data, compaction writes one byte for every three that
    /// were committed.
    pub fn for_memory(memory: u64) -> Limits {
        Limits {
            max_segment_bytes: 4 << 20,
            max_batch_bytes: 1 << 20,
            max_live_bytes: memory / 8,
            max_log_ratio: 4,
        }
    }
}

/// The store over one directory.
pub struct Store<F: Files> {
    pub(crate) files: F,
    pub(crate) limits: Limits,
    /// What is confirmed.
    pub(crate) index: Index,
    /// The lengths of the segments in bytes, by number; the last one is written to.
    pub(crate) segments: BTreeMap<u64, u64>,
    /// That of the last record.
    pub(crate) sequence: u64,
    /// All records up to this one are known to be on the disk.
    pub(crate) synced_sequence: u64,
    /// The records' time: the latest that a caller told or a record had. It never goes back.
    pub(crate) now: Micros,
    /// By how much the records' time is ahead of the caller's: an earlier start's clock was ahead of this one's.
    pub(crate) clock_lead: Micros,
    /// A write failed, and nothing was healed since.
    pub(crate) has_failed: bool,
    /// Removing obsolete files failed, or listing them.
    pub(crate) may_have_obsolete_files: bool,
    /// When expired entries were last dropped.
    last_expiry: Micros,
}

/// How often expired entries are dropped, in microseconds. Each time all entries are looked at; until then they take
/// memory, and no snapshot shows them.
const EXPIRY_INTERVAL: Micros = 1_000_000;

/// The digits in the name of a segment's file: names then sort as their numbers do.
const SEGMENT_NAME_DIGITS: usize = 10;

/// The name of a segment's file.
pub(crate) fn segment_name(number: u64) -> String {
    format!("{number:0SEGMENT_NAME_DIGITS$}.log")
}

/// The number of the segment in a file of this name; none for other files.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".log")?;
    (digits.len() == SEGMENT_NAME_DIGITS).then(|| digits.parse().ok()).flatten()
}

/// Batches that are written together.
struct EncodedBatches {
    /// Their records, one behind the other.
    bytes: Vec<u8>,
    /// What the records hold.
    bodies: Vec<RecordBody>,
    /// Bytes of the keys and values that they bring.
    added_bytes: u64,
}

impl<F: Files> Store<F> {
    /// Opens what is there, whatever state a crash left it in: all that was confirmed, and each other batch whole or
    /// not at all. `now` is the caller's time.
    ///
    /// Fails with [`StoreError::NewerFormat`] where a later program wrote it, and with [`StoreError::Io`] where it cannot
    /// be read or written; it may be tried again.
    pub fn open(files: F, limits: Limits, now: Micros) -> Result<(Store<F>, RecoveryReport), StoreError> {
        let mut store = Store::empty(files, limits, now);
        let RecoveryOutcome { report, unproven } = Recovery::new(&mut store).run()?;
        // Never appended to what a crash may have left: a new segment begins. What was read and may yet be lost is
        // written again, and confirmed by that.
        store.begin_segment()?;
        if let Err(error) = store.rewrite_unproven(unproven) {
            // All that is in it stands in the segments before it, too.
            store.remove_newest_segment();
            return Err(error);
        }
        store.synced_sequence = store.sequence;
        // Where something is damaged, all that lies there may help whoever looks into it.
        if report.damage.is_empty() {
            store.remove_obsolete_files();
        }
        Ok((store, report))
    }

    /// Reads what is there without changing anything. Fails as [`open`](Store::open) does.
    pub fn read(files: F, limits: Limits, now: Micros) -> Result<(Snapshot, RecoveryReport), StoreError> {
        let mut store = Store::empty(files, limits, now);
        let report = Recovery::new(&mut store).run()?.report;
        Ok((store.snapshot(), report))
    }

    fn empty(files: F, limits: Limits, now: Micros) -> Store<F> {
        Store {
            files,
            limits,
            index: Index::default(),
            segments: BTreeMap::new(),
            sequence: 0,
            synced_sequence: 0,
            now,
            clock_lead: 0,
            has_failed: false,
            may_have_obsolete_files: false,
            last_expiry: now,
        }
    }

    /// Writes one record of all that is not proven to be on the disk. However often a start fails behind this, the log
    /// grows by no more than that record.
    fn rewrite_unproven(&mut self, unproven: Vec<UnprovenRecord>) -> Result<(), StoreError> {
        let changes = unproven.into_iter().flat_map(|record| record.changes);
        let latest: BTreeMap<EntryKey, Change> =
            changes.map(|change| ((change.namespace, change.key.clone()), change)).collect();
        if latest.is_empty() {
            return Ok(());
        }
        self.sequence += 1;
        let body = RecordBody { changes: latest.into_values().collect(), written_at: self.now };
        self.write(&encode_record(self.sequence, self.synced_sequence, &body))
    }

    /// Removes the newest segment, if that can be done.
    fn remove_newest_segment(&mut self) {
        if let Some((number, _)) = self.segments.pop_last() {
            // If it stays, the next start finds nothing new in it.
            let _ = self.files.remove(&segment_name(number));
        }
    }

    /// Writes these batches with one sync for them all; they are confirmed when it returns without an error. `now` is the
    /// caller's time.
    ///
    /// After [`StoreError::TooLarge`] nothing was written. After any other error the batches may be found after a crash
    /// or not, and the store takes nothing more until it is [healed](Store::heal) or opened anew.
    pub fn commit(&mut self, now: Micros, batches: Vec<Batch>) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::Failed);
        }
        self.now = self.now.max(now + self.clock_lead);
        let encoded = self.encode(batches)?;
        self.ensure_memory_for(encoded.added_bytes)?;
        let written = self.write(&encoded.bytes);
        self.has_failed = written.is_err();
        written?;
        self.sequence += encoded.bodies.len() as u64;
        self.synced_sequence = self.sequence;
        for body in encoded.bodies {
            self.index.apply(body.changes);
        }
        self.tidy_up();
        Ok(())
    }

    /// One record for each batch, with expiry times by the records' time.
    fn encode(&self, batches: Vec<Batch>) -> Result<EncodedBatches, StoreError> {
        let mut encoded =
            EncodedBatches { bytes: Vec::new(), bodies: Vec::with_capacity(batches.len()), added_bytes: 0 };
        for Batch { mut changes } in batches {
            for change in &mut changes {
                if change.expires_at != NEVER_EXPIRES {
                    change.expires_at += self.clock_lead;
                }
            }
            encoded.added_bytes += changes.iter().map(Change::size).sum::<u64>();
            let body = RecordBody { changes, written_at: self.now };
            let sequence = self.sequence + 1 + encoded.bodies.len() as u64;
            let record = encode_record(sequence, self.synced_sequence, &body);
            if record.len() > self.limits.max_batch_bytes {
                return Err(StoreError::TooLarge);
            }
            encoded.bytes.extend_from_slice(&record);
            encoded.bodies.push(body);
        }
        Ok(encoded)
    }

    /// Fails if this many more live bytes would exceed the limit even after expired entries are dropped.
    fn ensure_memory_for(&mut self, added_bytes: u64) -> Result<(), StoreError> {
        if self.index.live_bytes() + added_bytes <= self.limits.max_live_bytes {
            return Ok(());
        }
        self.remove_expired();
        if self.index.live_bytes() + added_bytes > self.limits.max_live_bytes {
            return Err(StoreError::TooLarge);
        }
        Ok(())
    }

    /// What is due now and then after a commit.
    fn tidy_up(&mut self) {
        if self.now - self.last_expiry >= EXPIRY_INTERVAL {
            self.remove_expired();
            if self.may_have_obsolete_files {
                self.remove_obsolete_files();
            }
        }
        let newest_length = self.segments.last_key_value().map(|(_, &length)| length);
        if newest_length.is_some_and(|length| length >= self.limits.max_segment_bytes) {
            // What was just committed is confirmed all the same; the next commit finds that this failed.
            self.has_failed = self.begin_segment().is_err();
        }
    }

    /// Appends to the newest segment, and syncs it.
    fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let Some((&number, _)) = self.segments.last_key_value() else { return Err(StoreError::Failed) };
        let name = segment_name(number);
        self.files.append(&name, bytes)?;
        self.files.sync(&name)?;
        *self.segments.entry(number).or_default() += bytes.len() as u64;
        Ok(())
    }

    /// Begins the segment that is written to from now on.
    pub(crate) fn begin_segment(&mut self) -> Result<(), StoreError> {
        let number = self.next_segment_number()?;
        let header = SegmentHeader { kind: SegmentKind::Log, number };
        self.create_segment(&segment_name(number), header)?;
        self.segments.insert(number, SEGMENT_HEADER_BYTES as u64);
        Ok(())
    }

    /// Above that of every file there is, also of one that could not be read.
    pub(crate) fn next_segment_number(&self) -> Result<u64, StoreError> {
        let highest = self.files.list()?.iter().filter_map(|name| segment_number(name)).max();
        Ok(highest.unwrap_or(0) + 1)
    }

    /// Makes a file with a segment's header, on the disk once this returns without an error.
    pub(crate) fn create_segment(&mut self, file: &str, header: SegmentHeader) -> Result<(), StoreError> {
        let created = self.try_create_segment(file, header);
        if created.is_err() {
            // Each attempt in a directory that stays full would leave another. If this fails, too, a later commit or
            // start removes it.
            let _ = self.files.remove(file);
            self.may_have_obsolete_files = true;
        }
        created
    }

    fn try_create_segment(&mut self, file: &str, header: SegmentHeader) -> Result<(), StoreError> {
        self.files.create(file)?;
        self.files.append(file, &encode_header(header))?;
        self.files.sync(file)?;
        Ok(self.files.sync_directory()?)
    }

    /// Drops the entries that have expired.
    pub(crate) fn remove_expired(&mut self) {
        self.last_expiry = self.now;
        self.index.remove_expired(self.now);
    }

    /// What is confirmed now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { index: self.index.clone(), taken_at: self.now }
    }

    /// Bytes of all segments.
    pub fn log_bytes(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Whether a write failed and nothing was [healed](Store::heal) since.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// The directory.
    pub fn files(&self) -> &F {
        &self.files
    }

    /// The directory, to be changed beside the store: tests make its calls fail.
    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    /// Gives the directory back.
    pub fn into_files(self) -> F {
        self.files
    }
}
