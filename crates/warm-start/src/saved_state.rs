//! What the disk holds of the snapshots handed to it, and what has to be written for the next one.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::records::{FORMAT_VERSION, Identity, SINGLE_RECORD_KEY, ServiceTimes, encode, encode_group_key};
use crate::{Micros, StateSnapshot, namespace};

/// Service times change with every attempt; they are written at most this often.
const SERVICE_TIMES_INTERVAL: Micros = 10_000_000;

/// A record to be written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// One of the numbers in [`namespace`].
    pub namespace: u32,
    /// The record's key in its namespace.
    pub key: Vec<u8>,
    /// The value to be written; `None` removes the record.
    pub value: Option<Vec<u8>>,
}

/// Names a record: its namespace, and its key there.
type RecordKey = (u32, Vec<u8>);

/// What the disk holds, as far as it is known.
pub struct SavedState {
    /// The name of this proxy.
    name: String,
    /// What was handed to the disk last; `None` while it is not known what the disk holds.
    last_snapshot: Option<StateSnapshot>,
    /// Records that the disk may hold although the next snapshot may not have them.
    possibly_stored: BTreeSet<RecordKey>,
    /// Records whose removal is not yet confirmed.
    unconfirmed_removals: BTreeSet<RecordKey>,
    /// When service times were handed to the disk last.
    service_times_submitted_at: Option<Micros>,
}

impl SavedState {
    /// For a data directory with records of these keys. The first changes write the whole snapshot, and remove what the
    /// snapshot does not have.
    pub fn new(name: &str, stored: impl IntoIterator<Item = (u32, Vec<u8>)>) -> SavedState {
        // Others, such as the outcome log, look after their own records.
        let is_own =
            |(namespace, _): &RecordKey| (namespace::IDENTITY..=namespace::SERVICE_TIMES).contains(namespace);
        SavedState {
            name: name.to_owned(),
            last_snapshot: None,
            possibly_stored: stored.into_iter().filter(is_own).collect(),
            unconfirmed_removals: BTreeSet::new(),
            service_times_submitted_at: None,
        }
    }

    /// A write was not confirmed. The disk may hold any record that it was ever given, so the next changes write the
    /// whole snapshot.
    pub fn write_failed(&mut self) {
        let last_snapshot = self.last_snapshot.take().unwrap_or_default();
        let members =
            last_snapshot.members.into_keys().map(|name| (namespace::ENDPOINT_LIST, name.into_bytes()));
        let primaries =
            last_snapshot.primaries.keys().map(|group| (namespace::PRIMARIES, encode_group_key(group)));
        let home_sites =
            last_snapshot.home_sites.keys().map(|group| (namespace::HOME_SITES, encode_group_key(group)));
        self.possibly_stored.extend(members.chain(primaries).chain(home_sites));
        self.possibly_stored.append(&mut self.unconfirmed_removals);
        self.service_times_submitted_at = None;
    }

    /// All changes that were returned are on the disk.
    pub fn writes_confirmed(&mut self) {
        self.unconfirmed_removals.clear();
    }

    /// What is to be written, together, so that the disk holds this snapshot; nothing if it does already.
    pub fn changes(&mut self, now: Micros, snapshot: StateSnapshot) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.last_snapshot.is_none() {
            let identity = Identity { name: self.name.clone(), format: FORMAT_VERSION };
            changes.push(put_single_record(namespace::IDENTITY, &identity));
        }
        let previous = self.last_snapshot.take().unwrap_or_default();
        add_collection_changes(&mut changes, &previous, &snapshot);
        let service_times_due =
            self.service_times_submitted_at.is_none_or(|at| now - at >= SERVICE_TIMES_INTERVAL);
        if service_times_due && service_times_changed(&previous, &snapshot) {
            changes.push(put_service_times(now, &snapshot));
            self.service_times_submitted_at = Some(now);
        }
        self.add_removals(&mut changes);
        self.last_snapshot = Some(if service_times_due {
            snapshot
        } else {
            // The disk still holds the former ones, and the next snapshot is compared with those.
            StateSnapshot {
                service_times: previous.service_times,
                concurrency_limits: previous.concurrency_limits,
                ..snapshot
            }
        });
        changes
    }

    /// Removes records that the disk may hold and that are not written anew.
    fn add_removals(&mut self, changes: &mut Vec<Change>) {
        for (namespace, key) in std::mem::take(&mut self.possibly_stored) {
            if !changes.iter().any(|change| change.namespace == namespace && change.key == key) {
                changes.push(Change { namespace, key, value: None });
            }
        }
        let removed = changes.iter().filter(|change| change.value.is_none());
        self.unconfirmed_removals.extend(removed.map(|change| (change.namespace, change.key.clone())));
    }
}

/// The changes to the endpoint list, the primaries and the home sites.
fn add_collection_changes(changes: &mut Vec<Change>, previous: &StateSnapshot, snapshot: &StateSnapshot) {
    if snapshot.revision != previous.revision
        && let Some(revision) = snapshot.revision
    {
        changes.push(put_single_record(namespace::ENDPOINT_LIST, &revision));
    }
    let encode_name = |name: &String| name.clone().into_bytes();
    let encode_entry = |entry: &String| entry.clone().into_bytes();
    add_differences(
        changes,
        namespace::ENDPOINT_LIST,
        &previous.members,
        &snapshot.members,
        encode_name,
        encode_entry,
    );
    add_differences(
        changes,
        namespace::PRIMARIES,
        &previous.primaries,
        &snapshot.primaries,
        encode_group_key,
        encode,
    );
    add_differences(
        changes,
        namespace::HOME_SITES,
        &previous.home_sites,
        &snapshot.home_sites,
        encode_group_key,
        encode,
    );
}

fn service_times_changed(previous: &StateSnapshot, snapshot: &StateSnapshot) -> bool {
    snapshot.service_times != previous.service_times
        || snapshot.concurrency_limits != previous.concurrency_limits
}

fn put_service_times(now: Micros, snapshot: &StateSnapshot) -> Change {
    let service_times = ServiceTimes {
        written_at: now,
        service_times: snapshot.service_times.clone(),
        concurrency_limits: snapshot.concurrency_limits.clone(),
    };
    put_single_record(namespace::SERVICE_TIMES, &service_times)
}

/// Writes the record that its namespace has only once.
fn put_single_record<T: Serialize>(namespace: u32, value: &T) -> Change {
    Change { namespace, key: SINGLE_RECORD_KEY.to_vec(), value: Some(encode(value)) }
}

/// Writes what is new or other in `current`, then removes what only `previous` has.
fn add_differences<K: Ord, V: PartialEq>(
    changes: &mut Vec<Change>,
    namespace: u32,
    previous: &BTreeMap<K, V>,
    current: &BTreeMap<K, V>,
    encode_key: impl Fn(&K) -> Vec<u8>,
    encode_value: impl Fn(&V) -> Vec<u8>,
) {
    for (key, value) in current.iter().filter(|(key, value)| previous.get(key) != Some(value)) {
        changes.push(Change { namespace, key: encode_key(key), value: Some(encode_value(value)) });
    }
    for key in previous.keys().filter(|key| !current.contains_key(key)) {
        changes.push(Change { namespace, key: encode_key(key), value: None });
    }
}
