//! What was saved is restored as it was, with its age, or not at all.

use std::collections::BTreeMap;

use aldermill_warm_start::{
    KnownPrimary, RestoreError, RestoredState, SavedState, ServiceTime, StateSnapshot, namespace, restore,
};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: i64 = 1_000_000;
const NOW: i64 = 1_800_000_000 * S;

/// What the disk holds, by namespace and key.
type Disk = BTreeMap<(u32, Vec<u8>), Vec<u8>>;

fn write(disk: &mut Disk, saved: &mut SavedState, now: i64, snapshot: &StateSnapshot) -> usize {
    let changes = saved.changes(now, snapshot.clone());
    let count = changes.len();
    for change in changes {
        match change.value {
            Some(value) => disk.insert((change.namespace, change.key), value),
            None => disk.remove(&(change.namespace, change.key)),
        };
    }
    count
}

fn read_back(disk: &Disk, name: &str, now: i64) -> Result<RestoredState, RestoreError> {
    restore(name, now, disk.iter().map(|((namespace, key), value)| (*namespace, &key[..], &value[..])))
}

fn snapshot() -> StateSnapshot {
    let entry = |id: &str| (id.to_owned(), format!(r#"{{"id":"{id}"}}"#));
    StateSnapshot {
        revision: Some(41),
        members: [entry("s-1"), entry("s-2")].into(),
        primaries: [(7, KnownPrimary { member: "s-2".to_owned(), confirmed_at: NOW - 5 * S })].into(),
        home_sites: [(8, "east".to_owned())].into(),
        service_times: [("look".to_owned(), ServiceTime { median: 9_000, p90: 30_000 })].into(),
        concurrency_limits: [("s-1".to_owned(), -2)].into(),
    }
}

#[test]
fn a_snapshot_is_restored_whole_and_is_not_written_twice() {
    let (mut disk, mut saved) = (Disk::new(), SavedState::new("n1", []));
    assert!(write(&mut disk, &mut saved, NOW, &snapshot()) > 0);
    assert_eq!(write(&mut disk, &mut saved, NOW + 60 * S, &snapshot()), 0);
    let restored = read_back(&disk, "n1", NOW + S).unwrap();
    assert_eq!(
        (restored.snapshot, restored.newest_confirmation_age, restored.unusable_records),
        (snapshot(), Some(6 * S), 0)
    );
    assert_eq!(read_back(&Disk::new(), "n1", NOW), Ok(RestoredState::default()), "a new folder");
}

#[test]
fn a_directory_of_another_proxy_or_of_a_later_format_is_refused() {
    let (mut disk, mut saved) = (Disk::new(), SavedState::new("n1", []));
    write(&mut disk, &mut saved, NOW, &snapshot());
    assert_eq!(read_back(&disk, "n2", NOW), Err(RestoreError::OtherOwner("n1".to_owned())));
    disk.insert((namespace::IDENTITY, vec![]), br#"{"name":"n1","format":2}"#.to_vec());
    assert_eq!(read_back(&disk, "n1", NOW), Err(RestoreError::NewerFormat(2)));
    disk.remove(&(namespace::IDENTITY, vec![]));
    assert_eq!(read_back(&disk, "n1", NOW), Err(RestoreError::NoIdentity));
}

#[test]
fn records_too_old_or_from_the_future_are_not_used() {
    let (mut disk, mut saved) = (Disk::new(), SavedState::new("n1", []));
    write(&mut disk, &mut saved, NOW, &snapshot());
    let later = read_back(&disk, "n1", NOW + 3_600 * S).unwrap();
    assert!(
        later.snapshot.service_times.is_empty()
            && later.snapshot.concurrency_limits.is_empty()
            && later.unusable_records == 1
    );
    assert_eq!(later.snapshot.primaries.len(), 1);
    assert!(read_back(&disk, "n1", NOW + 90_000 * S).unwrap().snapshot.primaries.is_empty());
    let before = read_back(&disk, "n1", NOW - 60 * S).unwrap();
    assert!(before.snapshot.primaries.is_empty(), "saved by a clock that was ahead");
    disk.remove(&(namespace::ENDPOINT_LIST, vec![]));
    assert!(read_back(&disk, "n1", NOW).unwrap().snapshot.members.is_empty(), "no list without its revision");
}

#[test]
fn after_a_failed_write_everything_is_written_and_stale_records_are_removed() {
    let (mut disk, mut saved) = (Disk::new(), SavedState::new("n1", []));
    write(&mut disk, &mut saved, NOW, &snapshot());
    let mut less = snapshot();
    less.members.remove("s-1");
    saved.write_failed();
    write(&mut disk, &mut saved, NOW + S, &less);
    assert_eq!(read_back(&disk, "n1", NOW + S).unwrap().snapshot, less);
    // A removal that never reached the disk is repeated, and a start removes records that it has no use for.
    less.members.clear();
    saved.changes(NOW + S, less.clone());
    saved.write_failed();
    write(&mut disk, &mut saved, NOW + S, &less);
    assert!(read_back(&disk, "n1", NOW + S).unwrap().snapshot.members.is_empty());
    disk.insert((namespace::ENDPOINT_LIST, b"s-9".to_vec()), b"{}".to_vec());
    let mut again = SavedState::new("n1", disk.keys().cloned());
    write(&mut disk, &mut again, NOW + S, &snapshot());
    assert_eq!(read_back(&disk, "n1", NOW + S).unwrap().snapshot, snapshot());
}

fn any_snapshot() -> impl Strategy<Value = StateSnapshot> {
    let names = || "[a-c]";
    (
        proptest::option::of(1u64..5),
        btree_map(names(), names(), 0..3),
        btree_map(0u64..3, (names(), NOW - 100 * S..NOW), 0..3),
        btree_map(0u64..3, names(), 0..3),
        btree_map(names(), (1i64..9, 9i64..99), 0..3),
        btree_map(names(), -5i32..5, 0..3),
    )
        .prop_map(|(revision, members, primaries, home_sites, service_times, concurrency_limits)| {
            StateSnapshot {
                members: if revision.is_some() { members } else { BTreeMap::new() },
                revision,
                primaries: primaries
                    .into_iter()
                    .map(|(g, (member, confirmed_at))| (g, KnownPrimary { member, confirmed_at }))
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

    /// Whatever snapshots follow each other, with failed writes in between: the disk holds the last one.
    #[test]
    fn the_disk_holds_the_last_snapshot_whichever_writes_fail(steps in vec((any_snapshot(), 0i64..30, any::<bool>()), 1..12)) {
        let (mut disk, mut saved, mut now) = (Disk::new(), SavedState::new("n1", []), NOW);
        let mut revision = None;
        for (mut step, wait, fails) in steps {
            now += wait * S;
            // A proxy that has an endpoint list never loses it.
            step.revision = step.revision.or(revision);
            revision = step.revision;
            if fails {
                saved.changes(now, step);
                saved.write_failed();
                continue;
            }
            write(&mut disk, &mut saved, now, &step);
            let mut restored = read_back(&disk, "n1", now).unwrap().snapshot;
            // Service times are not written with every snapshot.
            (restored.service_times, restored.concurrency_limits) = (step.service_times.clone(), step.concurrency_limits.clone());
            if step.members.is_empty() {
                step.revision = None;
            }
            prop_assert_eq!(restored, step);
        }
    }

    /// Arbitrary bytes are used, left out or refused, and never end the program.
    #[test]
    fn restoring_arbitrary_bytes_never_panics(records in vec((0u32..7, vec(any::<u8>(), 0..9), vec(any::<u8>(), 0..40)), 0..20)) {
        let signed = (namespace::IDENTITY, vec![], br#"{"name":"n1","format":1}"#.to_vec());
        let all: Vec<_> = records.iter().chain([&signed]).collect();
        let read = restore("n1", NOW, all.iter().map(|(namespace, key, value)| (*namespace, &key[..], &value[..])));
        prop_assert!(read.is_ok_and(|restored| restored.snapshot.members.is_empty() || restored.snapshot.revision.is_some()) || records.iter().any(|(namespace, key, _)| *namespace == namespace::IDENTITY && key.is_empty()));
    }
}
