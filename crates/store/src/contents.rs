use std::sync::Arc;

use imbl::OrdMap;

use crate::Micros;
use crate::log::Change;

/// Changes that take effect together.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) changes: Vec<Change>,
}

impl Batch {
    pub fn put(&mut self, space: u32, key: &[u8], value: &[u8], until: Option<Micros>) {
        let (key, value, until) = (key.to_vec(), Some(value.to_vec()), until.unwrap_or(0));
        self.changes.push(Change { space, key, value, until });
    }

    pub fn remove(&mut self, space: u32, key: &[u8]) {
        self.changes.push(Change { space, key: key.to_vec(), value: None, until: 0 });
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) value: Arc<[u8]>,
    pub(crate) until: Micros,
}

pub(crate) type Index = OrdMap<(u32, Vec<u8>), Entry>;

/// What the store held at one moment; stays as it was whatever is written or compacted later.
#[derive(Clone)]
pub struct Snapshot {
    pub(crate) index: Index,
    pub(crate) at: Micros,
}

impl Snapshot {
    pub fn get(&self, space: u32, key: &[u8]) -> Option<Arc<[u8]>> {
        let entry = self.index.get(&(space, key.to_vec()))?;
        (!over(entry, self.at)).then(|| entry.value.clone())
    }

    /// All that is there: namespace, key and value.
    pub fn everything(&self) -> impl Iterator<Item = (u32, &[u8], &[u8])> {
        let live = self.index.iter().filter(|(_, entry)| !over(entry, self.at));
        live.map(|((space, key), entry)| (*space, key.as_slice(), &entry.value[..]))
    }

    /// All keys of a namespace with their values, in the order of the keys.
    pub fn all(&self, space: u32) -> impl Iterator<Item = (&[u8], &[u8])> {
        let range =
            self.index.range((space, Vec::new())..).take_while(move |((other, _), _)| *other == space);
        let live = range.filter(|(_, entry)| !over(entry, self.at));
        live.map(|((_, key), entry)| (key.as_slice(), &entry.value[..]))
    }
}

pub(crate) fn over(entry: &Entry, at: Micros) -> bool {
    entry.until != 0 && entry.until <= at
}
