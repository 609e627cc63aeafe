//! Tests that saved state is restored unchanged and with its age, or not at all.

use std::collections::BTreeMap;

use aldermill_warm_start::{
    KnownPrimary, RestoreError, RestoredState, SavedState, ServiceTime, StateSnapshot, namespace, restore,
};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: i64 = 1_000_000;
const NOW: i64 = 1_800_000_000 * SECOND;

/// The records on the disk, keyed by namespace and key.
type StoredRecords = BTreeMap<(u32, Vec<u8>), Vec<u8>>;

fn write_changes(
    stored: &mut StoredRecords,
    saved: &mut SavedState,
    now: i64,
    snapshot: &StateSnapshot,
) -> usize {
    let changes = saved.changes(now, snapshot.clone());
    let count = changes.len();
    for change in changes {
        match change.value {
            Some(value) => stored.insert((change.namespace, change.key), value),
            None => stored.remove(&(change.namespace, change.key)),
        };
    }
    count
}

fn restore_from(stored: &StoredRecords, name: &str, now: i64) -> Result<RestoredState, RestoreError> {
    restore(name, now, stored.iter().map(|((namespace, key), value)| (*namespace, &key[..], &value[..])))
}

fn snapshot() -> StateSnapshot {
    let entry = |id: &str| (id.to_owned(), format!(r#"{{"id":"{id}"}}"#));
    StateSnapshot {
        revision: Some(41),
        members: [entry("s-1"), entry("s-2")].into(),
        primaries: [(7, KnownPrimary { member: "s-2".to_owned(), confirmed_at: NOW - 5 * SECOND })].into(),
        home_sites: [(8, "east".to_owned())].into(),
        service_times: [("look".to_owned(), ServiceTime { median: 9_000, p90: 30_000 })].into(),
        concurrency_limits: [("s-1".to_owned(), -2)].into(),
    }
}

#[test]
fn a_snapshot_is_restored_whole_and_is_not_written_twice() {
    let (mut stored, mut saved) = (StoredRecords::new(), SavedState::new("n1", []));
    assert!(write_changes(&mut stored, &mut saved, NOW, &snapshot()) > 0);
    assert_eq!(write_changes(&mut stored, &mut saved, NOW + 60 * SECOND, &snapshot()), 0);
    let restored = restore_from(&stored, "n1", NOW + SECOND).unwrap();
    assert_eq!(
        (restored.snapshot, restored.newest_confirmation_age, restored.unusable_records),
        (snapshot(), Some(6 * SECOND), 0)
    );
    assert_eq!(
        restore_from(&StoredRecords::new(), "n1", NOW),
        Ok(RestoredState::default()),
        "an empty data directory"
    );
}

#[test]
fn a_directory_of_another_proxy_or_of_a_later_format_is_refused() {
    let (mut stored, mut saved) = (StoredRecords::new(), SavedState::new("n1", []));
    write_changes(&mut stored, &mut saved, NOW, &snapshot());
    assert_eq!(restore_from(&stored, "n2", NOW), Err(RestoreError::OtherOwner("n1".to_owned())));
    stored.insert((namespace::IDENTITY, vec![]), br#"{"name":"n1","format":2}"#.to_vec());
    assert_eq!(restore_from(&stored, "n1", NOW), Err(RestoreError::NewerFormat(2)));
    stored.remove(&(namespace::IDENTITY, vec![]));
    assert_eq!(restore_from(&stored, "n1", NOW), Err(RestoreError::NoIdentity));
}

#[test]
fn records_too_old_or_from_the_future_are_not_used() {
    let (mut stored, mut saved) = (StoredRecords::new(), SavedState::new("n1", []));
    write_changes(&mut stored, &mut saved, NOW, &snapshot());
    let later = restore_from(&stored, "n1", NOW + 3_600 * SECOND).unwrap();
    assert!(
        later.snapshot.service_times.is_empty()
            && later.snapshot.concurrency_limits.is_empty()
            && later.unusable_records == 1
    );
    assert_eq!(later.snapshot.primaries.len(), 1);
    assert!(restore_from(&stored, "n1", NOW + 90_000 * SECOND).unwrap().snapshot.primaries.is_empty());
    let from_future = restore_from(&stored, "n1", NOW - 60 * SECOND).unwrap();
    assert!(from_future.snapshot.primaries.is_empty(), "saved under a clock that was ahead");
    stored.remove(&(namespace::ENDPOINT_LIST, vec![]));
    assert!(
        restore_from(&stored, "n1", NOW).unwrap().snapshot.members.is_empty(),
        "endpoints without a revision are not restored"
    );
}

#[test]
fn after_a_failed_write_everything_is_written_and_stale_records_are_removed() {
    let (mut stored, mut saved) = (StoredRecords::new(), SavedState::new("n1", []));
    write_changes(&mut stored, &mut saved, NOW, &snapshot());
    let mut reduced = snapshot();
    reduced.members.remove("s-1");
    saved.write_failed();
    write_changes(&mut stored, &mut saved, NOW + SECOND, &reduced);
    assert_eq!(restore_from(&stored, "n1", NOW + SECOND).unwrap().snapshot, reduced);
    // A removal that never reached the disk is repeated, and a new start removes records that it
    // does not need.
    reduced.members.clear();
    saved.changes(NOW + SECOND, reduced.clone());
    saved.write_failed();
    write_changes(&mut stored, &mut saved, NOW + SECOND, &reduced);
    assert!(restore_from(&stored, "n1", NOW + SECOND).unwrap().snapshot.members.is_empty());
    stored.insert((namespace::ENDPOINT_LIST, b"s-9".to_vec()), b"{}".to_vec());
    let mut restarted = SavedState::new("n1", stored.keys().cloned());
    write_changes(&mut stored, &mut restarted, NOW + SECOND, &snapshot());
    assert_eq!(restore_from(&stored, "n1", NOW + SECOND).unwrap().snapshot, snapshot());
}

fn arbitrary_snapshot() -> impl Strategy<Value = StateSnapshot> {
    let name = || "[a-c]";
    (
        proptest::option::of(1u64..5),
        btree_map(name(), name(), 0..3),
        btree_map(0u64..3, (name(), NOW - 100 * SECOND..NOW), 0..3),
        btree_map(0u64..3, name(), 0..3),
        btree_map(name(), (1i64..9, 9i64..99), 0..3),
        btree_map(name(), -5i32..5, 0..3),
    )
        .prop_map(|(revision, members, primaries, home_sites, service_times, concurrency_limits)| {
            StateSnapshot {
                members: if revision.is_some() { members } else { BTreeMap::new() },
                revision,
                primaries: primaries
                    .into_iter()
                    .map(|(group, (member, confirmed_at))| (group, KnownPrimary { member, confirmed_at }))
                    .collect(),
                home_sites,
                service_times: service_times
                    .into_iter()
                    .map(|(name, (median, p90))| (name, ServiceTime { median, p90 }))
                    .collect(),
                concurrency_limits,
            }
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Checks, for random sequences of snapshots and failed writes, that the disk holds the last
    /// snapshot that was written.
    #[test]
    fn the_disk_holds_the_last_snapshot_whichever_writes_fail(steps in vec((arbitrary_snapshot(), 0i64..30, any::<bool>()), 1..12)) {
        let (mut stored, mut saved, mut now) = (StoredRecords::new(), SavedState::new("n1", []), NOW);
        let mut revision = None;
        for (mut snapshot, wait, fails) in steps {
            now += wait * SECOND;
            // A proxy that has an endpoint list never loses it.
            snapshot.revision = snapshot.revision.or(revision);
            revision = snapshot.revision;
            if fails {
                saved.changes(now, snapshot);
                saved.write_failed();
                continue;
            }
            write_changes(&mut stored, &mut saved, now, &snapshot);
            let mut restored = restore_from(&stored, "n1", now).unwrap().snapshot;
            // Service times are not written with every snapshot.
            (restored.service_times, restored.concurrency_limits) = (snapshot.service_times.clone(), snapshot.concurrency_limits.clone());
            if snapshot.members.is_empty() {
                snapshot.revision = None;
            }
            prop_assert_eq!(restored, snapshot);
        }
    }

    /// Checks that records of arbitrary bytes are used, ignored or rejected, and never cause a
    /// panic.
    #[test]
    fn restoring_arbitrary_bytes_never_panics(records in vec((0u32..7, vec(any::<u8>(), 0..9), vec(any::<u8>(), 0..40)), 0..20)) {
        let identity = (namespace::IDENTITY, vec![], br#"{"name":"n1","format":1}"#.to_vec());
        let all: Vec<_> = records.iter().chain([&identity]).collect();
        let result = restore("n1", NOW, all.iter().map(|(namespace, key, value)| (*namespace, &key[..], &value[..])));
        prop_assert!(result.is_ok_and(|restored| restored.snapshot.members.is_empty() || restored.snapshot.revision.is_some()) || records.iter().any(|(namespace, key, _)| *namespace == namespace::IDENTITY && key.is_empty()));
    }
}
