//! A disk in memory that records the calls made to it, and the helpers of the tests over it.

// Each test file that takes this in uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Error, Result};

use aldermill_store::{Batch, Files, Limits, Store};

/// Small segments, so that a short history has several of them.
pub fn limits() -> Limits {
    Limits { max_segment_bytes: 300, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 }
}

/// A call of the store that changes the disk.
#[derive(Clone, Debug)]
pub enum DiskCall {
    Create(String),
    Append(String, Vec<u8>),
    Sync(String),
    Rename(String, String),
    Remove(String),
    SyncDirectory,
}

/// Files in memory, with a record of all calls that changed them.
#[derive(Clone, Default)]
pub struct RecordingDisk {
    pub files: BTreeMap<String, Vec<u8>>,
    pub calls: Vec<DiskCall>,
    /// Syncs fail.
    pub sync_fails: bool,
    /// Bytes until the disk is full, where it is about to be.
    pub room: Option<usize>,
    /// Syncs do nothing: to show that the checks find a disk that only claims to sync.
    pub skips_syncs: bool,
}

impl Files for RecordingDisk {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.files.get(name).cloned().ok_or_else(|| Error::other("no such file"))
    }

    fn create(&mut self, name: &str) -> Result<()> {
        self.calls.push(DiskCall::Create(name.into()));
        self.files.insert(name.into(), Vec::new());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let fits = self.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        self.calls.push(DiskCall::Append(name.into(), bytes[..fits].to_vec()));
        self.files
            .get_mut(name)
            .ok_or_else(|| Error::other("no such file"))?
            .extend_from_slice(&bytes[..fits]);
        if let Some(room) = &mut self.room {
            *room -= fits;
        }
        if fits < bytes.len() { Err(Error::other("disk full")) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        if self.sync_fails {
            return Err(Error::other("sync failed"));
        }
        if !self.skips_syncs {
            self.calls.push(DiskCall::Sync(name.into()));
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.calls.push(DiskCall::Rename(from.into(), to.into()));
        let file = self.files.remove(from).ok_or_else(|| Error::other("no such file"))?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.calls.push(DiskCall::Remove(name.into()));
        self.files.remove(name).map(|_| ()).ok_or_else(|| Error::other("no such file"))
    }

    fn sync_directory(&mut self) -> Result<()> {
        self.calls.push(DiskCall::SyncDirectory);
        Ok(())
    }
}

/// The entries of namespace 1.
pub type Contents = BTreeMap<Vec<u8>, Vec<u8>>;

pub fn contents<F: Files>(store: &Store<F>) -> Contents {
    store.snapshot().namespace_entries(1).map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// One segment of three records, each with one key.
pub fn disk_with_three_records() -> RecordingDisk {
    let (mut store, _) =
        Store::open(RecordingDisk::default(), Limits { max_segment_bytes: 1 << 20, ..limits() }, 0).unwrap();
    for turn in 0..3u8 {
        let mut batch = Batch::default();
        batch.put(1, &[turn], &[turn; 50], None);
        store.commit(0, vec![batch]).unwrap();
    }
    store.into_files()
}
