//! Compaction: all that is live is written to one base segment, and the segments that it makes obsolete are removed.

use crate::StoreError;
use crate::files::Files;
use crate::format::{Change, RecordBody, SEGMENT_HEADER_BYTES, SegmentHeader, SegmentKind, encode_record};
use crate::store::{Store, segment_name, segment_number};

/// Segments that a directory may have, however short. Each start begins one, so a proxy that is restarted again and
/// again would otherwise leave thousands of files to be read by the next start.
const MAX_SEGMENTS: usize = 64;
/// The name of a base segment until it is whole and on the disk.
const DRAFT: &str = "compaction.tmp";
/// Bytes that a change takes in a record beside its key and value, rounded up: tags, lengths, namespace, expiry time.
const CHANGE_OVERHEAD_BYTES: usize = 32;

impl<F: Files> Store<F> {
    /// Whether enough of the log is obsolete for a compaction to pay.
    pub fn wants_compaction(&self) -> bool {
        let length = self.log_bytes();
        let is_wasteful = length > self.limits.max_segment_bytes
            && length > self.limits.max_log_ratio * self.index.live_bytes();
        // Each start begins a segment, so one alone has nothing that could be removed.
        self.segments.len() > 1 && (is_wasteful || self.segments.len() > MAX_SEGMENTS)
    }

    /// Writes all that is live to one segment, and removes those before it. A crash at any step leaves either what was
    /// there before or what is there after. On an error the store has failed, see [`heal`](Store::heal).
    pub fn compact(&mut self) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::Failed);
        }
        self.heal()
    }

    /// Makes a store usable again after a write failed, which leaves nothing certain of the file that it went to: all
    /// that was confirmed is written anew, to another file. On an error it may be tried again.
    ///
    /// A failed sync is never repeated: the system may have dropped the bytes, and would then report success with
    /// nothing written.
    pub fn heal(&mut self) -> Result<(), StoreError> {
        let healed = self.write_base_segment();
        self.has_failed = healed.is_err();
        healed
    }

    fn write_base_segment(&mut self) -> Result<(), StoreError> {
        self.remove_expired();
        // Under another name until it is whole and on the disk, so that no start reads a part of it.
        let number = self.next_segment_number()?;
        self.create_segment(DRAFT, SegmentHeader { kind: SegmentKind::Base, number })?;
        let length = self.write_live_entries(DRAFT)?;
        self.files.sync(DRAFT)?;
        self.files.rename(DRAFT, &segment_name(number))?;
        self.files.sync_directory()?;
        // From here on the segments before it are obsolete, whether or not they can be removed.
        self.synced_sequence = self.sequence;
        self.segments.clear();
        self.segments.insert(number, length);
        self.remove_obsolete_files();
        self.begin_segment()
    }

    /// Appends all that is live to a segment that was begun; its length then, in bytes.
    fn write_live_entries(&mut self, file: &str) -> Result<u64, StoreError> {
        // Records of about the size of a batch: compaction then holds not much more at once than a commit does.
        let max_changes_bytes = self.limits.max_batch_bytes / 2;
        let mut length = SEGMENT_HEADER_BYTES as u64;
        let mut changes = Vec::new();
        let mut changes_bytes = 0;
        let index = self.index.clone();
        let mut entries = index.iter().peekable();
        while let Some(((namespace, key), entry)) = entries.next() {
            changes_bytes += key.len() + entry.value.len() + CHANGE_OVERHEAD_BYTES;
            changes.push(Change {
                namespace: *namespace,
                key: key.clone(),
                value: Some(entry.value.to_vec()),
                expires_at: entry.expires_at,
            });
            if changes_bytes > max_changes_bytes || entries.peek().is_none() {
                length += self.append_record(file, std::mem::take(&mut changes))?;
                changes_bytes = 0;
            }
        }
        Ok(length)
    }

    /// Appends a record, which is not synced yet; its length in bytes.
    fn append_record(&mut self, file: &str, changes: Vec<Change>) -> Result<u64, StoreError> {
        self.sequence += 1;
        let body = RecordBody { changes, written_at: self.now };
        let bytes = encode_record(self.sequence, self.synced_sequence, &body);
        self.files.append(file, &bytes)?;
        Ok(bytes.len() as u64)
    }

    /// Removes every obsolete segment, and a draft that was left. What cannot be removed now is tried again by a later
    /// commit, compaction or start.
    pub(crate) fn remove_obsolete_files(&mut self) {
        let Ok(names) = self.files.list() else {
            self.may_have_obsolete_files = true;
            return;
        };
        let is_obsolete = |name: &&String| {
            *name == DRAFT || segment_number(name).is_some_and(|number| !self.segments.contains_key(&number))
        };
        let obsolete: Vec<&String> = names.iter().filter(is_obsolete).collect();
        let failures = obsolete.into_iter().filter(|name| self.files.remove(name).is_err()).count();
        self.may_have_obsolete_files = failures > 0;
    }
}
