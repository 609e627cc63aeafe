//! Compaction: all that is live goes into one segment, and what it makes void is removed.

use crate::Problem;
use crate::files::Files;
use crate::log::{Body, Change, HEAD, Kind, record};
use crate::store::{Store, name, number};

/// Segments that a folder may have, however short.
const SEGMENTS: usize = 64;
/// A base segment that is not whole yet.
const DRAFT: &str = "compaction.tmp";

impl<F: Files> Store<F> {
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
        self.heal()
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
        let number = highest + 1;
        self.new_segment(DRAFT, Kind::Base, number)?;
        let length = self.write_live(DRAFT)?;
        self.files.sync(DRAFT)?;
        self.files.rename(DRAFT, &name(number))?;
        self.files.sync_names()?;
        // From here on the segments before it say nothing, whether or not they can be removed.
        self.synced = self.sequence;
        self.segments.clear();
        self.segments.insert(number, length);
        self.tidy();
        self.begin_segment()
    }

    /// Appends all that is live to a segment that was begun; its length then.
    fn write_live(&mut self, file: &str) -> Result<u64, Problem> {
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
                self.files.append(file, &bytes)?;
                (size, length) = (0, length + bytes.len() as u64);
            }
        }
        Ok(length)
    }

    /// Removes every segment that says nothing any more, and a draft that was left. What cannot be removed now is
    /// tried again with a later sweep, compaction or start.
    pub(crate) fn tidy(&mut self) {
        let Ok(names) = self.files.list() else {
            self.litter = true;
            return;
        };
        let says_nothing = |name: &&String| {
            *name == DRAFT || number(name).is_some_and(|number| !self.segments.contains_key(&number))
        };
        let litter: Vec<&String> = names.iter().filter(says_nothing).collect();
        self.litter = litter.into_iter().filter(|name| self.files.remove(name).is_err()).count() > 0;
    }
}
