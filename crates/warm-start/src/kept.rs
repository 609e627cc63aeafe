use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{Beliefs, FORMAT, Identity, Micros, ONE, Paces, space};

/// Paces move with every attempt; they are written no more often than that.
const PACES_EVERY: Micros = 10_000_000;

/// A record to be written, or removed where it has no value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub space: u32,
    pub key: Vec<u8>,
    pub value: Option<Vec<u8>>,
}

/// What was handed to the disk last.
pub struct Kept {
    name: String,
    last: Option<Beliefs>,
    /// Keys that the disk may hold, as far as nothing is known of it.
    held: BTreeSet<(u32, Vec<u8>)>,
    /// Keys whose removal is not known to be on the disk.
    gone: BTreeSet<(u32, Vec<u8>)>,
    paces_at: Option<Micros>,
}

impl Kept {
    /// The disk holds these keys: all is written at first, and what is there beside it goes.
    pub fn start(name: &str, held: impl IntoIterator<Item = (u32, Vec<u8>)>) -> Kept {
        // The gateway's book is none of the beliefs.
        let own = |key: &(u32, Vec<u8>)| (space::IDENTITY..=space::PACES).contains(&key.0);
        let held = held.into_iter().filter(own).collect();
        Kept { name: name.to_owned(), last: None, held, gone: BTreeSet::new(), paces_at: None }
    }

    /// After a write that was not confirmed, nothing is known again: the disk may hold all that it was ever given.
    pub fn lost(&mut self) {
        let last = self.last.take().unwrap_or_default();
        let members = last.members.into_keys().map(|id| (space::LIST, id.into_bytes()));
        let primaries = last.primaries.keys().map(|of| (space::PRIMARIES, group(of)));
        let homes = last.homes.keys().map(|of| (space::HOMES, group(of)));
        self.held.extend(members.chain(primaries).chain(homes));
        self.held.append(&mut self.gone);
        self.paces_at = None;
    }

    /// All that was handed over is on the disk.
    pub fn settled(&mut self) {
        self.gone.clear();
    }

    /// What is to be written, together, so that the disk holds these beliefs.
    pub fn changes(&mut self, now: Micros, beliefs: Beliefs) -> Vec<Change> {
        let mut changes = Vec::new();
        let paces_due = self.paces_at.is_none_or(|at| now - at >= PACES_EVERY);
        let last = self.last.take();
        let first = last.is_none();
        let before = last.unwrap_or_default();
        if first {
            let identity = Identity { name: self.name.clone(), format: FORMAT };
            put(&mut changes, space::IDENTITY, ONE, &identity);
        }
        if beliefs.revision != before.revision
            && let Some(revision) = beliefs.revision
        {
            put(&mut changes, space::LIST, ONE, &revision);
        }
        let entry = |entry: &String| entry.clone().into_bytes();
        compare(&mut changes, space::LIST, &before.members, &beliefs.members, |id| id.clone().into(), entry);
        compare(&mut changes, space::PRIMARIES, &before.primaries, &beliefs.primaries, group, json);
        compare(&mut changes, space::HOMES, &before.homes, &beliefs.homes, group, json);
        let moved = beliefs.paces != before.paces || beliefs.windows != before.windows;
        if paces_due && moved {
            let paces = Paces { at: now, paces: beliefs.paces.clone(), windows: beliefs.windows.clone() };
            put(&mut changes, space::PACES, ONE, &paces);
            self.paces_at = Some(now);
        }
        for (space, key) in std::mem::take(&mut self.held) {
            if !changes.iter().any(|change| change.space == space && change.key == key) {
                changes.push(Change { space, key, value: None });
            }
        }
        let removed = changes.iter().filter(|change| change.value.is_none());
        self.gone.extend(removed.map(|change| (change.space, change.key.clone())));
        let paces_kept = if paces_due { None } else { Some((before.paces, before.windows)) };
        let mut last = beliefs;
        if let Some((paces, windows)) = paces_kept {
            (last.paces, last.windows) = (paces, windows);
        }
        self.last = Some(last);
        changes
    }
}

fn group(group: &u64) -> Vec<u8> {
    group.to_string().into_bytes()
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn put<T: Serialize>(changes: &mut Vec<Change>, space: u32, key: &[u8], value: &T) {
    changes.push(Change { space, key: key.to_vec(), value: Some(json(value)) });
}

fn compare<K: Ord, V: PartialEq>(
    changes: &mut Vec<Change>,
    space: u32,
    before: &BTreeMap<K, V>,
    now: &BTreeMap<K, V>,
    key: impl Fn(&K) -> Vec<u8>,
    value: impl Fn(&V) -> Vec<u8>,
) {
    for (at, new) in now.iter().filter(|(at, new)| before.get(at) != Some(new)) {
        changes.push(Change { space, key: key(at), value: Some(value(new)) });
    }
    for at in before.keys().filter(|at| !now.contains_key(at)) {
        changes.push(Change { space, key: key(at), value: None });
    }
}
