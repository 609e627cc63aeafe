//! The live entries in memory, and snapshots of them.

use std::sync::Arc;

use imbl::OrdMap;

use crate::Micros;
use crate::format::{Change, NEVER_EXPIRES};

/// A namespace and a key in it.
pub(crate) type EntryKey = (u32, Vec<u8>);

/// The value of a key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Shared with the snapshots that hold it.
    pub(crate) value: Arc<[u8]>,
    /// By the records' time; [`NEVER_EXPIRES`] where it stays until it is removed.
    pub(crate) expires_at: Micros,
}

impl Entry {
    fn has_expired(&self, now: Micros) -> bool {
        self.expires_at != NEVER_EXPIRES && self.expires_at <= now
    }
}

/// All entries, in the order of their keys. A clone shares its nodes with the original, so it costs next to nothing.
#[derive(Clone, Default)]
pub(crate) struct Index {
    entries: OrdMap<EntryKey, Entry>,
    /// Bytes of all keys and values.
    live_bytes: u64,
}

impl Index {
    /// Makes changes in their order.
    pub(crate) fn apply(&mut self, changes: Vec<Change>) {
        for Change { namespace, key, value, expires_at } in changes {
            let key_bytes = key.len() as u64;
            let replaced = match value {
                Some(value) => {
                    self.live_bytes += key_bytes + value.len() as u64;
                    self.entries.insert((namespace, key), Entry { value: value.into(), expires_at })
                }
                None => self.entries.remove(&(namespace, key)),
            };
            if let Some(replaced) = replaced {
                self.live_bytes -= key_bytes + replaced.value.len() as u64;
            }
        }
    }

    /// Drops the entries that have expired, which frees their memory.
    pub(crate) fn remove_expired(&mut self, now: Micros) {
        let expired: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.has_expired(now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            if let Some(entry) = self.entries.remove(&key) {
                self.live_bytes -= (key.1.len() + entry.value.len()) as u64;
            }
        }
    }

    /// Bytes of all keys and values.
    pub(crate) fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// All entries in the order of their keys, expired ones included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EntryKey, &Entry)> {
        self.entries.iter()
    }
}

/// What the store held at one moment; stays as it was whatever is written or compacted later.
#[derive(Clone)]
pub struct Snapshot {
    /// May hold entries that have expired and were not dropped yet.
    pub(crate) index: Index,
    /// The moment, by the records' time.
    pub(crate) taken_at: Micros,
}

impl Snapshot {
    /// The value of a key of a namespace, unless it has expired.
    pub fn get(&self, namespace: u32, key: &[u8]) -> Option<Arc<[u8]>> {
        let entry = self.index.entries.get(&(namespace, key.to_vec()))?;
        self.is_live(entry).then(|| entry.value.clone())
    }

    /// All entries: namespace, key and value, in the order of namespaces and keys.
    pub fn entries(&self) -> impl Iterator<Item = (u32, &[u8], &[u8])> {
        let live = self.index.iter().filter(|(_, entry)| self.is_live(entry));
        live.map(|((namespace, key), entry)| (*namespace, key.as_slice(), &entry.value[..]))
    }

    /// All keys of a namespace with their values, in the order of the keys.
    pub fn namespace_entries(&self, namespace: u32) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from_first = self.index.entries.range((namespace, Vec::new())..);
        let range = from_first.take_while(move |((other, _), _)| *other == namespace);
        let live = range.filter(|(_, entry)| self.is_live(entry));
        live.map(|((_, key), entry)| (key.as_slice(), &entry.value[..]))
    }

    fn is_live(&self, entry: &Entry) -> bool {
        !entry.has_expired(self.taken_at)
    }
}
