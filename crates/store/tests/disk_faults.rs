//! Flipped bytes, failed syncs, a full disk, a later program's format, a clock that is set back.

mod recording_disk;

use aldermill_store::{Batch, RecoveryReport, Store, StoreError};
use recording_disk::{RecordingDisk, contents, disk_with_three_records, limits};

#[test]
fn a_flipped_byte_is_reported_never_served_and_hides_nothing_behind_it() {
    let whole = disk_with_three_records();
    let name = whole.files.keys().next().unwrap().clone();
    let length = whole.files[&name].len();
    for at in 28..length {
        let mut flipped = whole.clone();
        flipped.files.get_mut(&name).unwrap()[at] ^= 0x10;
        // A later start shows that all before it had been confirmed.
        let (mut store, first) = Store::open(flipped, limits(), 0).unwrap();
        let found = contents(&store);
        assert!(found.iter().all(|(key, value)| value == &vec![key[0]; 50]), "served a flipped byte");
        let lost = (0..3u8).filter(|key| !found.contains_key(&vec![*key])).count();
        assert_eq!(lost, 1, "byte {at} took more than its record with it");
        let last = !found.contains_key(&vec![2]);
        assert!(last || first.damage.len() == 1, "byte {at} not reported: {first:?}");
        let mut batch = Batch::default();
        batch.put(1, b"x", b"y", None);
        store.commit(0, vec![batch]).unwrap();
    }
    // The last record of a segment, flipped after a later start: that wrote it again, as nothing proved it synced.
    let (mut store, _) = Store::open(whole, limits(), 0).unwrap();
    let mut batch = Batch::default();
    batch.put(1, b"x", b"y", None);
    store.commit(0, vec![batch]).unwrap();
    let mut disk = store.into_files();
    *disk.files.get_mut(&name).unwrap().last_mut().unwrap() ^= 1;
    let (store, recovered) = Store::open(disk, limits(), 0).unwrap();
    assert_eq!((contents(&store).len(), recovered.damage), (4, vec![]));
    // Any other one: a later segment tells that it had been confirmed.
    let mut disk = store.into_files();
    let middle = disk.files.get_mut(&name).unwrap();
    let at = middle.len() / 2;
    middle.truncate(at);
    let (store, recovered) = Store::open(disk, limits(), 0).unwrap();
    assert_eq!((contents(&store).len(), recovered.damage.len()), (3, 1), "{recovered:?}");
}

#[test]
fn a_sync_that_failed_is_never_taken_for_one_that_worked() {
    let (mut store, _) = Store::open(disk_with_three_records(), limits(), 0).unwrap();
    let put = |key: &[u8]| {
        let mut batch = Batch::default();
        batch.put(1, key, b"value", None);
        vec![batch]
    };
    store.files_mut().sync_fails = true;
    assert!(matches!(store.commit(0, put(b"lost")), Err(StoreError::Io(_))));
    store.files_mut().sync_fails = false;
    // Not as if nothing had been: until it is healed nothing is taken, and what failed is not there.
    assert!(matches!(store.commit(0, put(b"next")), Err(StoreError::Failed)));
    store.heal().unwrap();
    assert_eq!(store.snapshot().get(1, b"lost"), None);
    store.commit(0, put(b"next")).unwrap();
    let (store, recovered) = Store::open(store.into_files(), limits(), 0).unwrap();
    assert_eq!((contents(&store).len(), recovered.damage.len()), (4, 0));
}

#[test]
fn a_disk_full_in_the_middle_of_a_batch_loses_nothing_confirmed_once_it_has_room() {
    for room in 0..180 {
        let (mut store, _) = Store::open(disk_with_three_records(), limits(), 0).unwrap();
        store.files_mut().room = Some(room);
        let batch = |key: &[u8]| {
            let mut batch = Batch::default();
            batch.put(1, key, &[9; 150], None);
            vec![batch]
        };
        assert!(store.commit(0, batch(b"a")).is_err());
        assert!(store.heal().is_err());
        store.files_mut().room = None;
        store.heal().unwrap();
        store.commit(0, batch(b"b")).unwrap();
        let (store, _) = Store::open(store.into_files(), limits(), 0).unwrap();
        assert_eq!(contents(&store).len(), 4, "with room for {room} bytes");
    }
}

#[test]
fn a_newer_format_is_left_alone_and_a_clock_set_back_revives_nothing() {
    let mut disk = disk_with_three_records();
    let name = "0000000009.log".to_owned();
    let mut head = disk.files.values().next().unwrap()[..28].to_vec();
    // Version 2, with a sum of its own.
    head[8] = 2;
    let sum = crc32c::crc32c(&head[..24]);
    head[24..].copy_from_slice(&sum.to_le_bytes());
    disk.files.insert(name, head);
    let files = disk.files.clone();
    assert!(matches!(Store::open(disk, limits(), 0), Err(StoreError::NewerFormat(2))));
    assert!(!files.is_empty());
    let (mut store, _) = Store::open(RecordingDisk::default(), limits(), 5_000_000).unwrap();
    let mut batch = Batch::default();
    batch.put(1, b"short", b"", Some(6_000_000));
    batch.put(1, b"long", b"", Some(90_000_000));
    store.commit(7_000_000, vec![batch]).unwrap();
    // A clock set back by hours brings nothing back to history.
    let (store, _) = Store::open(store.into_files(), limits(), 1).unwrap();
    assert_eq!(contents(&store).into_keys().collect::<Vec<_>>(), [b"long".to_vec()]);
}

#[test]
fn later_commits_and_compactions_leave_a_snapshot_as_it_was() {
    let (mut store, recovered) = Store::open(disk_with_three_records(), limits(), 0).unwrap();
    assert_eq!(recovered, RecoveryReport { segments: 1, records: 3, damage: vec![], torn_bytes: 0 });
    let snapshot = store.snapshot();
    let mut batch = Batch::default();
    batch.remove(1, &[1]);
    batch.put(2, b"other", b"space", None);
    store.commit(0, vec![batch]).unwrap();
    store.compact().unwrap();
    assert_eq!(
        (snapshot.namespace_entries(1).count(), store.snapshot().namespace_entries(1).count()),
        (3, 2)
    );
    assert_eq!(store.snapshot().get(2, b"other").as_deref(), Some(&b"space"[..]));
}
