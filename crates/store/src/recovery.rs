//! Recovery: reads the segments of a directory in whatever state a crash left them.
//!
//! A record tells up to which sequence number all was synced when it was written. That tells a torn tail, which was
//! never confirmed and may be dropped, from damage to what had been confirmed, which is reported.

use crate::StoreError;
use crate::files::Files;
use crate::format::{
    Change, DecodedRecord, HeaderError, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES, SegmentHeader,
    SegmentKind, decode_header, decode_record,
};
use crate::store::{Store, segment_number};

/// Bytes that are unreadable, and had been confirmed. They are reported, never served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The number of the segment, which its file's name bears.
    pub segment: u64,
    /// The offset of the first byte in the segment.
    pub from: u64,
    /// The offset behind the last byte in the segment.
    pub to: u64,
}

impl Damage {
    fn length(&self) -> u64 {
        self.to - self.from
    }
}

/// What a recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Segments with a sound header that were read.
    pub segments: usize,
    /// Sound records in them.
    pub records: u64,
    /// The unreadable places.
    pub damage: Vec<Damage>,
    /// Bytes of torn tails, which were never confirmed and are dropped.
    pub torn_bytes: u64,
}

/// The changes of a record that was read and is not known to be on the disk: the system may hold it in memory only.
pub(crate) struct UnprovenRecord {
    sequence: u64,
    /// What it changes.
    pub(crate) changes: Vec<Change>,
}

/// What a recovery hands to the store beside the entries.
pub(crate) struct RecoveryOutcome {
    /// What the caller is told.
    pub(crate) report: RecoveryReport,
    /// In the order in which they were written.
    pub(crate) unproven: Vec<UnprovenRecord>,
}

/// A segment as its file was read.
struct SegmentFile {
    number: u64,
    /// None without a sound header.
    kind: Option<SegmentKind>,
    bytes: Vec<u8>,
}

/// A recovery under way.
pub(crate) struct Recovery<'a, F: Files> {
    /// Empty at first; is given what is read.
    store: &'a mut Store<F>,
    report: RecoveryReport,
    unproven: Vec<UnprovenRecord>,
    /// An unsound end of a segment, until a record behind it tells whether it had been confirmed.
    doubtful_tail: Option<Damage>,
}

impl<'a, F: Files> Recovery<'a, F> {
    /// For a store that holds nothing yet.
    pub(crate) fn new(store: &'a mut Store<F>) -> Recovery<'a, F> {
        Recovery { store, report: RecoveryReport::default(), unproven: Vec::new(), doubtful_tail: None }
    }

    /// Reads all that is there, without changing any file.
    pub(crate) fn run(mut self) -> Result<RecoveryOutcome, StoreError> {
        let callers_now = self.store.now;
        let segments = self.read_files()?;
        // What stands before the newest base segment is left over from a compaction that did not get to remove it.
        let newest_base = segments.iter().rposition(|segment| segment.kind == Some(SegmentKind::Base));
        for segment in segments.into_iter().skip(newest_base.unwrap_or(0)) {
            if segment.kind.is_none() {
                self.read_headless(&segment);
            } else {
                // A tail may be torn in any of them: each start of the program leaves one, and begins another.
                self.read_records(&segment);
                self.store.segments.insert(segment.number, segment.bytes.len() as u64);
                self.report.segments += 1;
            }
        }
        self.store.clock_lead = self.store.now - callers_now;
        // Nothing behind it tells that it had been confirmed.
        self.report.torn_bytes += self.doubtful_tail.as_ref().map_or(0, Damage::length);
        Ok(RecoveryOutcome { report: self.report, unproven: self.unproven })
    }

    /// The files of all segments, in the order of their numbers.
    fn read_files(&self) -> Result<Vec<SegmentFile>, StoreError> {
        let files = &self.store.files;
        let mut names: Vec<(u64, String)> =
            files.list()?.into_iter().filter_map(|name| Some((segment_number(&name)?, name))).collect();
        names.sort();
        let mut segments = Vec::new();
        for (number, name) in names {
            let bytes = files.read(&name)?;
            let kind = match decode_header(&bytes) {
                Ok(SegmentHeader { kind, number: in_header }) if in_header == number => Some(kind),
                Err(HeaderError::NewerFormat(version)) => return Err(StoreError::NewerFormat(version)),
                _ => None,
            };
            segments.push(SegmentFile { number, kind, bytes });
        }
        Ok(segments)
    }

    /// A segment without a sound header: one that was begun when the process was killed or the disk failed, unless what
    /// stands behind it tells that something in it had been confirmed.
    fn read_headless(&mut self, segment: &SegmentFile) {
        let whole = Damage { segment: segment.number, from: 0, to: segment.bytes.len() as u64 };
        // A header is on the disk before anything is put behind it.
        let had_records = segment.bytes.len() > SEGMENT_HEADER_BYTES;
        if had_records {
            self.report.damage.push(whole);
        } else if self.doubtful_tail.is_none() {
            self.doubtful_tail = Some(whole);
        } else {
            self.report.torn_bytes += whole.length();
        }
    }

    /// Takes in the records of a segment, up to its end or a torn tail.
    fn read_records(&mut self, segment: &SegmentFile) {
        let bytes = &segment.bytes;
        let mut at = SEGMENT_HEADER_BYTES;
        while at < bytes.len() {
            if let Some(record) = decode_record(&bytes[at..]) {
                at += record.length;
                self.take_in(record);
            } else if let Some(next) = self.confirmed_record_behind(bytes, at) {
                let damage = Damage { segment: segment.number, from: at as u64, to: next as u64 };
                self.report.damage.push(damage);
                at = next;
            } else {
                let tail = Damage { segment: segment.number, from: at as u64, to: bytes.len() as u64 };
                let earlier = self.doubtful_tail.replace(tail);
                self.report.torn_bytes += earlier.map_or(0, |tail| tail.length());
                return;
            }
        }
    }

    /// Where reading goes on behind something unsound. If the next sound record was written when more had been synced
    /// than was read so far, the unsound bytes had been confirmed, and are damage. Else they never were, and neither was
    /// anything behind them.
    fn confirmed_record_behind(&self, bytes: &[u8], at: usize) -> Option<usize> {
        let last_start = bytes.len().saturating_sub(RECORD_HEADER_BYTES - 1);
        let (next, record) =
            (at + 1..last_start).find_map(|next| Some((next, decode_record(&bytes[next..])?)))?;
        (record.synced_sequence > self.store.sequence).then_some(next)
    }

    /// Makes the changes of a sound record.
    fn take_in(&mut self, record: DecodedRecord) {
        self.report.records += 1;
        self.settle_doubtful_tail(record.synced_sequence);
        let store = &mut *self.store;
        store.sequence = store.sequence.max(record.sequence);
        store.synced_sequence = store.synced_sequence.max(record.synced_sequence);
        store.now = store.now.max(record.body.written_at);
        let synced_sequence = store.synced_sequence;
        self.unproven.retain(|unproven| unproven.sequence > synced_sequence);
        if record.sequence > synced_sequence {
            let changes = record.body.changes.clone();
            self.unproven.push(UnprovenRecord { sequence: record.sequence, changes });
        }
        store.index.apply(record.body.changes);
    }

    /// An unsound end before this record had been confirmed if more had been synced than was read.
    fn settle_doubtful_tail(&mut self, synced_sequence: u64) {
        let Some(tail) = self.doubtful_tail.take() else { return };
        if synced_sequence > self.store.sequence {
            self.report.damage.push(tail);
        } else {
            self.report.torn_bytes += tail.length();
        }
    }
}
