//! What is kept comes back as it was, as old as it is, or not at all.

use std::collections::BTreeMap;

use aldermill_warm_start::{Beliefs, Kept, Pace, Primary, Recalled, Refused, recall, space};
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: i64 = 1_000_000;
const NOW: i64 = 1_800_000_000 * S;

/// What the disk holds, by space and key.
type Disk = BTreeMap<(u32, Vec<u8>), Vec<u8>>;

fn write(disk: &mut Disk, kept: &mut Kept, now: i64, beliefs: &Beliefs) -> usize {
    let changes = kept.changes(now, beliefs.clone());
    let count = changes.len();
    for change in changes {
        match change.value {
            Some(value) => disk.insert((change.space, change.key), value),
            None => disk.remove(&(change.space, change.key)),
        };
    }
    count
}

fn back(disk: &Disk, name: &str, now: i64) -> Result<Recalled, Refused> {
    recall(name, now, disk.iter().map(|((space, key), value)| (*space, &key[..], &value[..])))
}

fn beliefs() -> Beliefs {
    let entry = |id: &str| (id.to_owned(), format!(r#"{{"id":"{id}"}}"#));
    Beliefs {
        revision: Some(41),
        members: [entry("s-1"), entry("s-2")].into(),
        primaries: [(7, Primary { member: "s-2".to_owned(), word: NOW - 5 * S })].into(),
        homes: [(8, "east".to_owned())].into(),
        paces: [("look".to_owned(), Pace { usual: 9_000, slow: 30_000 })].into(),
        windows: [("s-1".to_owned(), -2)].into(),
    }
}

#[test]
fn all_comes_back_and_nothing_is_written_twice() {
    let (mut disk, mut kept) = (Disk::new(), Kept::start("n1", []));
    assert!(write(&mut disk, &mut kept, NOW, &beliefs()) > 0);
    assert_eq!(write(&mut disk, &mut kept, NOW + 60 * S, &beliefs()), 0);
    let recalled = back(&disk, "n1", NOW + S).unwrap();
    assert_eq!((recalled.beliefs, recalled.age, recalled.left_out), (beliefs(), Some(6 * S), 0));
    assert_eq!(back(&Disk::new(), "n1", NOW), Ok(Recalled::default()), "a new folder");
}

#[test]
fn a_folder_of_another_driver_or_of_a_later_version_is_refused() {
    let (mut disk, mut kept) = (Disk::new(), Kept::start("n1", []));
    write(&mut disk, &mut kept, NOW, &beliefs());
    assert_eq!(back(&disk, "n2", NOW), Err(Refused::Foreign("n1".to_owned())));
    disk.insert((space::IDENTITY, vec![]), br#"{"name":"n1","format":2}"#.to_vec());
    assert_eq!(back(&disk, "n1", NOW), Err(Refused::Newer(2)));
    disk.remove(&(space::IDENTITY, vec![]));
    assert_eq!(back(&disk, "n1", NOW), Err(Refused::Unsigned));
}

#[test]
fn what_is_too_old_or_from_the_future_is_left_out() {
    let (mut disk, mut kept) = (Disk::new(), Kept::start("n1", []));
    write(&mut disk, &mut kept, NOW, &beliefs());
    let later = back(&disk, "n1", NOW + 3_600 * S).unwrap();
    assert!(later.beliefs.paces.is_empty() && later.beliefs.windows.is_empty() && later.left_out == 1);
    assert_eq!(later.beliefs.primaries.len(), 1);
    assert!(back(&disk, "n1", NOW + 90_000 * S).unwrap().beliefs.primaries.is_empty());
    let before = back(&disk, "n1", NOW - 60 * S).unwrap();
    assert!(before.beliefs.primaries.is_empty(), "kept by a clock that was ahead");
    disk.remove(&(space::LIST, vec![]));
    assert!(back(&disk, "n1", NOW).unwrap().beliefs.members.is_empty(), "no list without its revision");
}

#[test]
fn after_a_failed_write_all_is_written_and_what_stood_beside_it_goes() {
    let (mut disk, mut kept) = (Disk::new(), Kept::start("n1", []));
    write(&mut disk, &mut kept, NOW, &beliefs());
    let mut less = beliefs();
    less.members.remove("s-1");
    kept.lost();
    write(&mut disk, &mut kept, NOW + S, &less);
    assert_eq!(back(&disk, "n1", NOW + S).unwrap().beliefs, less);
    // A removal that never came to the disk is asked for again, and a start takes away what it finds.
    less.members.clear();
    kept.changes(NOW + S, less.clone());
    kept.lost();
    write(&mut disk, &mut kept, NOW + S, &less);
    assert!(back(&disk, "n1", NOW + S).unwrap().beliefs.members.is_empty());
    disk.insert((space::LIST, b"s-9".to_vec()), b"{}".to_vec());
    let mut again = Kept::start("n1", disk.keys().cloned());
    write(&mut disk, &mut again, NOW + S, &beliefs());
    assert_eq!(back(&disk, "n1", NOW + S).unwrap().beliefs, beliefs());
}

fn drawn() -> impl Strategy<Value = Beliefs> {
    let names = || "[a-c]";
    (
        proptest::option::of(1u64..5),
        btree_map(names(), names(), 0..3),
        btree_map(0u64..3, (names(), NOW - 100 * S..NOW), 0..3),
        btree_map(0u64..3, names(), 0..3),
        btree_map(names(), (1i64..9, 9i64..99), 0..3),
        btree_map(names(), -5i32..5, 0..3),
    )
        .prop_map(|(revision, members, primaries, homes, paces, windows)| Beliefs {
            members: if revision.is_some() { members } else { BTreeMap::new() },
            revision,
            primaries: primaries
                .into_iter()
                .map(|(g, (member, word))| (g, Primary { member, word }))
                .collect(),
            homes,
            paces: paces.into_iter().map(|(name, (usual, slow))| (name, Pace { usual, slow })).collect(),
            windows,
        })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Whatever is believed one after the other, with writes that fail in between: the disk holds the last of it.
    #[test]
    fn the_disk_holds_what_was_believed_last(steps in vec((drawn(), 0i64..30, any::<bool>()), 1..12)) {
        let (mut disk, mut kept, mut now) = (Disk::new(), Kept::start("n1", []), NOW);
        let mut revision = None;
        for (mut step, wait, fails) in steps {
            now += wait * S;
            // A list once held is never given up.
            step.revision = step.revision.or(revision);
            revision = step.revision;
            if fails {
                kept.changes(now, step);
                kept.lost();
                continue;
            }
            write(&mut disk, &mut kept, now, &step);
            let mut recalled = back(&disk, "n1", now).unwrap().beliefs;
            // Paces are written now and then only.
            (recalled.paces, recalled.windows) = (step.paces.clone(), step.windows.clone());
            if step.members.is_empty() {
                step.revision = None;
            }
            prop_assert_eq!(recalled, step);
        }
    }

    /// Bytes of any kind are believed, left out or refused, and never end the program.
    #[test]
    fn any_bytes_are_read(records in vec((0u32..7, vec(any::<u8>(), 0..9), vec(any::<u8>(), 0..40)), 0..20)) {
        let signed = (space::IDENTITY, vec![], br#"{"name":"n1","format":1}"#.to_vec());
        let all: Vec<_> = records.iter().chain([&signed]).collect();
        let read = recall("n1", NOW, all.iter().map(|(space, key, value)| (*space, &key[..], &value[..])));
        prop_assert!(read.is_ok_and(|recalled| recalled.beliefs.members.is_empty() || recalled.beliefs.revision.is_some()) || records.iter().any(|(space, key, _)| *space == space::IDENTITY && key.is_empty()));
    }
}
