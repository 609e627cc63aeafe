//! Tracks which state the disk holds, and derives the changes that have to be written for the next
//! snapshot.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::records::{FORMAT_VERSION, Identity, SINGLE_RECORD_KEY, ServiceTimes, encode, encode_group_key};
use crate::{Micros, StateSnapshot, namespace};

/// Minimum time between two writes of service times, in microseconds (10 s). Service times change
/// with every attempt.
const SERVICE_TIMES_INTERVAL: Micros = 10_000_000;

/// A record to write or to remove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The record's namespace, one of the numbers in [`namespace`].
    pub namespace: u32,
    /// The record's key within its namespace.
    pub key: Vec<u8>,
    /// The value to write; `None` removes the record.
    pub value: Option<Vec<u8>>,
}

/// A record's namespace, and its key within the namespace.
type RecordKey = (u32, Vec<u8>);

/// The state that the disk holds, as far as is known.
pub struct SavedState {
    /// Name of this proxy.
    name: String,
    /// The snapshot that the disk was last given, with the service times and concurrency limits
    /// that were last written; `None` while it is not known what the disk holds.
    last_snapshot: Option<StateSnapshot>,
    /// Records that the disk may hold and that the next snapshot may not contain.
    possibly_stored: BTreeSet<RecordKey>,
    /// Records whose removal is not yet confirmed.
    unconfirmed_removals: BTreeSet<RecordKey>,
    /// When the disk was last given service times, as Unix time in microseconds; `None` before the
    /// first time and after a failed write.
    service_times_submitted_at: Option<Micros>,
}

impl SavedState {
    /// Creates the saved state of the proxy called `name` for a data directory that holds records
    /// with the namespaces and keys `stored`. The first call of [`SavedState::changes`] writes the
    /// whole snapshot, and removes all records of this crate that the snapshot does not contain.
    pub fn new(name: &str, stored: impl IntoIterator<Item = (u32, Vec<u8>)>) -> SavedState {
        // Other modules, such as the outcome log, maintain their own records.
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

    /// Reports that a write was not confirmed. The disk may hold any record that it was ever given,
    /// so the next call of [`SavedState::changes`] writes the whole snapshot.
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

    /// Reports that all changes returned so far are on the disk.
    pub fn writes_confirmed(&mut self) {
        self.unconfirmed_removals.clear();
    }

    /// Returns the changes that must be written together so that the disk holds this snapshot;
    /// empty if it already does. `now` is the Unix time in microseconds. Service times and
    /// concurrency limits are left out if they were written less than 10 s ago.
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
            // The disk still holds the previous values, and the next snapshot is compared with
            // those.
            StateSnapshot {
                service_times: previous.service_times,
                concurrency_limits: previous.concurrency_limits,
                ..snapshot
            }
        });
        changes
    }

    /// Adds removals of the records that the disk may hold and that `changes` does not write again.
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

/// Adds the changes to the endpoint list, the primaries and the home sites.
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

/// Returns the change that writes the only record of its namespace with the empty key.
fn put_single_record<T: Serialize>(namespace: u32, value: &T) -> Change {
    Change { namespace, key: SINGLE_RECORD_KEY.to_vec(), value: Some(encode(value)) }
}

/// Adds writes of the entries that are new or different in `current`, then removals of those that
/// only `previous` contains.
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
