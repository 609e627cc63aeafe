//! A disk that loses power between any two bytes, and a store over it: after each recovery the old state or the new.

use std::collections::BTreeMap;
use std::io::{Error, Result};

use aldermill_store::{Batch, Damage, Files, Limits, RecoveryReport, Store, StoreError};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn limits() -> Limits {
    Limits { max_segment_bytes: 300, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 }
}

/// What was asked of the disk.
#[derive(Clone, Debug)]
enum Asked {
    Create(String),
    Append(String, Vec<u8>),
    Sync(String),
    Rename(String, String),
    Remove(String),
    SyncNames,
}

/// Files in memory, with a record of all that was asked of them.
#[derive(Clone, Default)]
struct Tape {
    files: BTreeMap<String, Vec<u8>>,
    asked: Vec<Asked>,
    /// Syncs that fail, and bytes until the disk is full.
    sync_fails: bool,
    room: Option<usize>,
    /// A disk that lies: to show that the test bites.
    lies: bool,
}

impl Files for Tape {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.files.get(name).cloned().ok_or_else(|| Error::other("no such file"))
    }

    fn create(&mut self, name: &str) -> Result<()> {
        self.asked.push(Asked::Create(name.into()));
        self.files.insert(name.into(), Vec::new());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let fits = self.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        self.asked.push(Asked::Append(name.into(), bytes[..fits].to_vec()));
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
        if !self.lies {
            self.asked.push(Asked::Sync(name.into()));
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.asked.push(Asked::Rename(from.into(), to.into()));
        let file = self.files.remove(from).ok_or_else(|| Error::other("no such file"))?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.asked.push(Asked::Remove(name.into()));
        self.files.remove(name).map(|_| ()).ok_or_else(|| Error::other("no such file"))
    }

    fn sync_directory(&mut self) -> Result<()> {
        self.asked.push(Asked::SyncNames);
        Ok(())
    }
}

/// A disk as power finds it: files by number, each with what is surely there and what may be, and two sets of names.
#[derive(Clone, Default)]
struct Power {
    files: Vec<(Vec<u8>, usize)>,
    names: BTreeMap<String, usize>,
    sure: BTreeMap<String, usize>,
}

impl Power {
    fn does(&mut self, asked: &Asked, bytes: usize) {
        match asked {
            Asked::Create(name) => {
                self.files.push((Vec::new(), 0));
                self.names.insert(name.clone(), self.files.len() - 1);
            }
            Asked::Append(name, more) => self.files[self.names[name]].0.extend_from_slice(&more[..bytes]),
            Asked::Sync(name) => {
                let file = &mut self.files[self.names[name]];
                file.1 = file.0.len();
            }
            Asked::Rename(from, to) => {
                let file = self.names.remove(from).unwrap();
                self.names.insert(to.clone(), file);
            }
            Asked::Remove(name) => drop(self.names.remove(name)),
            Asked::SyncNames => self.sure = self.names.clone(),
        }
    }

    /// What is found after the power went: all that was asked for, only what was surely there, or something between.
    fn found(&self, names: bool, bytes: u8) -> Tape {
        let names = if names { &self.names } else { &self.sure };
        let files = names.iter().map(|(name, &file)| {
            let (whole, sure) = &self.files[file];
            let length = match bytes {
                0 => *sure,
                1 => sure + (whole.len() - sure) / 2,
                _ => whole.len(),
            };
            (name.clone(), whole[..length].to_vec())
        });
        Tape { files: files.collect(), ..Tape::default() }
    }
}

type State = BTreeMap<Vec<u8>, Vec<u8>>;

fn state<F: Files>(store: &Store<F>) -> State {
    store.snapshot().namespace_entries(1).map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// A life of a store: what was asked of the disk, and after how much of it which states were there.
struct Life {
    asked: Vec<Asked>,
    /// The states after each commit, the empty one first.
    states: Vec<State>,
    /// How many commits were begun, and confirmed, before each thing that was asked.
    begun: Vec<usize>,
    confirmed: Vec<usize>,
}

fn live(lies: bool) -> Life {
    let (mut store, _) = Store::open(Tape { lies, ..Tape::default() }, limits(), 0).unwrap();
    let (mut states, mut begun, mut confirmed) = (vec![State::new()], Vec::new(), Vec::new());
    let files = |store: Store<Tape>| store.into_files();
    for turn in 0..14u8 {
        let mut batch = Batch::default();
        // Two keys at once, one of them ever again, and a removal: a mix would show.
        batch.put(1, b"always", &[turn; 30], None);
        batch.put(1, &[turn], &[turn, 1], None);
        if turn > 2 {
            batch.remove(1, &[turn - 2]);
        }
        let before = begun.len();
        if turn % 5 == 4 {
            store.compact().unwrap();
            let asked = files_len(&store);
            begun.resize(asked, states.len() - 1);
            confirmed.resize(asked, states.len() - 1);
        }
        store.commit(i64::from(turn), vec![batch]).unwrap();
        states.push(state(&store));
        let asked = files_len(&store);
        assert!(asked > before);
        begun.resize(asked, states.len() - 1);
        confirmed.resize(asked, states.len() - 2);
    }
    let tape = files(store);
    Life { asked: tape.asked, states, begun, confirmed }
}

fn files_len(store: &Store<Tape>) -> usize {
    store.files().asked.len()
}

/// Cuts the power at every byte; how many recoveries were right, or the first that was not.
fn cut_everywhere(life: &Life) -> std::result::Result<usize, String> {
    let (mut power, mut checked) = (Power::default(), 0);
    for (at, asked) in life.asked.iter().enumerate() {
        let bytes = if let Asked::Append(_, bytes) = asked { bytes.len() } else { 0 };
        for cut in 0..=bytes {
            let mut torn = power.clone();
            torn.does(asked, cut);
            for (names, kept) in [(true, 0), (true, 1), (true, 2), (false, 0), (false, 2)] {
                let opened = Store::open(torn.found(names, kept), limits(), 0);
                let (store, recovered) = opened.map_err(|why| format!("at {at}, {cut}: {why}"))?;
                let found = state(&store);
                // Commits known as confirmed before this was asked must be there; none that was never begun.
                let (least, most) = (life.confirmed[at], life.begun[at]);
                if !life.states[least..=most].contains(&found) {
                    return Err(format!("at {at} {asked:?}, byte {cut}, {names} {kept}: {found:?}"));
                }
                if !recovered.damage.is_empty() {
                    return Err(format!("at {at}, byte {cut}: a torn end taken for damage"));
                }
                checked += 1;
            }
        }
        power.does(asked, bytes);
    }
    Ok(checked)
}

#[test]
fn power_may_go_at_every_byte_of_the_log_and_of_a_compaction() {
    let checked = cut_everywhere(&live(false)).unwrap();
    println!("{checked} recoveries");
    assert!(checked > 5_000);
}

#[test]
fn with_the_sync_left_out_a_confirmed_record_is_lost() {
    assert!(cut_everywhere(&live(true)).is_err());
}

fn three() -> Tape {
    let (mut store, _) =
        Store::open(Tape::default(), Limits { max_segment_bytes: 1 << 20, ..limits() }, 0).unwrap();
    for turn in 0..3u8 {
        let mut batch = Batch::default();
        batch.put(1, &[turn], &[turn; 50], None);
        store.commit(0, vec![batch]).unwrap();
    }
    store.into_files()
}

#[test]
fn a_flipped_byte_is_reported_never_served_and_hides_nothing_behind_it() {
    let whole = three();
    let name = whole.files.keys().next().unwrap().clone();
    let length = whole.files[&name].len();
    for at in 28..length {
        let mut flipped = whole.clone();
        flipped.files.get_mut(&name).unwrap()[at] ^= 0x10;
        // A later start shows that all before it had been confirmed.
        let (mut store, first) = Store::open(flipped, limits(), 0).unwrap();
        let found = state(&store);
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
    let mut tape = store.into_files();
    *tape.files.get_mut(&name).unwrap().last_mut().unwrap() ^= 1;
    let (store, recovered) = Store::open(tape, limits(), 0).unwrap();
    assert_eq!((state(&store).len(), recovered.damage), (4, vec![]));
    // Any other one: a later segment tells that it had been confirmed.
    let mut tape = store.into_files();
    let middle = tape.files.get_mut(&name).unwrap();
    let at = middle.len() / 2;
    middle.truncate(at);
    let (store, recovered) = Store::open(tape, limits(), 0).unwrap();
    assert_eq!((state(&store).len(), recovered.damage.len()), (3, 1), "{recovered:?}");
}

#[test]
fn a_sync_that_failed_is_never_taken_for_one_that_worked() {
    let (mut store, _) = Store::open(three(), limits(), 0).unwrap();
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
    assert_eq!((state(&store).len(), recovered.damage.len()), (4, 0));
}

#[test]
fn a_disk_that_is_full_in_the_middle_of_a_batch_and_then_has_room_again() {
    for room in 0..180 {
        let (mut store, _) = Store::open(three(), limits(), 0).unwrap();
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
        assert_eq!(state(&store).len(), 4, "with room for {room} bytes");
    }
}

#[test]
fn a_later_version_is_left_alone_and_time_never_goes_back() {
    let mut tape = three();
    let name = "0000000009.log".to_owned();
    let mut head = tape.files.values().next().unwrap()[..28].to_vec();
    // Version 2, with a sum of its own.
    head[8] = 2;
    let sum = crc32c::crc32c(&head[..24]);
    head[24..].copy_from_slice(&sum.to_le_bytes());
    tape.files.insert(name, head);
    let files = tape.files.clone();
    assert!(matches!(Store::open(tape, limits(), 0), Err(StoreError::NewerFormat(2))));
    assert!(!files.is_empty());
    let (mut store, _) = Store::open(Tape::default(), limits(), 5_000_000).unwrap();
    let mut batch = Batch::default();
    batch.put(1, b"short", b"", Some(6_000_000));
    batch.put(1, b"long", b"", Some(90_000_000));
    store.commit(7_000_000, vec![batch]).unwrap();
    // A clock set back by hours brings nothing back to life.
    let (store, _) = Store::open(store.into_files(), limits(), 1).unwrap();
    assert_eq!(state(&store).into_keys().collect::<Vec<_>>(), [b"long".to_vec()]);
}

#[derive(Clone, Debug)]
enum Act {
    Commit(Vec<(u8, Option<u8>, u8)>),
    Compact,
    Reopen,
    Fail,
    Pass(u32),
}

#[test]
#[allow(clippy::too_many_lines, reason = "one history, cut at every byte")]
fn it_holds_what_a_plain_map_holds() {
    let change = (0u8..20, proptest::option::of(any::<u8>()), 0u8..4);
    let act = prop_oneof![
        6 => vec(change, 1..5).prop_map(Act::Commit),
        1 => Just(Act::Compact),
        1 => Just(Act::Reopen),
        1 => Just(Act::Fail),
        2 => (0u32..3_000_000).prop_map(Act::Pass),
    ];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(act, 1..60), |acts| {
            let mut now = 1;
            let (mut store, _) = Store::open(Tape::default(), limits(), now).unwrap();
            let mut plain: BTreeMap<Vec<u8>, (Vec<u8>, i64)> = BTreeMap::new();
            for act in acts {
                match act {
                    Act::Commit(changes) => {
                        let mut batch = Batch::default();
                        for (key, value, long) in changes {
                            let until = if long == 0 { 0 } else { now + i64::from(long) * 1_000_000 };
                            match value {
                                Some(value) => {
                                    batch.put(1, &[key], &[value; 20], (until > 0).then_some(until));
                                    plain.insert(vec![key], (vec![value; 20], until));
                                }
                                None => {
                                    batch.remove(1, &[key]);
                                    plain.remove(&vec![key]);
                                }
                            }
                        }
                        store.commit(now, vec![batch]).unwrap();
                    }
                    Act::Compact => store.compact().unwrap(),
                    Act::Reopen => {
                        let (opened, recovered) = Store::open(store.into_files(), limits(), now).unwrap();
                        prop_assert_eq!(recovered.damage, Vec::<Damage>::new());
                        store = opened;
                    }
                    Act::Fail => {
                        store.files_mut().sync_fails = true;
                        let mut batch = Batch::default();
                        batch.put(1, &[99], b"never", None);
                        prop_assert!(store.commit(now, vec![batch]).is_err());
                        store.files_mut().sync_fails = false;
                        store.heal().unwrap();
                    }
                    Act::Pass(time) => {
                        now += i64::from(time);
                        store.commit(now, vec![]).unwrap();
                    }
                }
                plain.retain(|_, (_, until)| *until == 0 || *until > now);
                let held: State =
                    plain.iter().map(|(key, (value, _))| (key.clone(), value.clone())).collect();
                store.commit(now, vec![]).unwrap();
                prop_assert_eq!(state(&store), held);
                if store.wants_compaction() {
                    store.compact().unwrap();
                }
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_snapshot_stays_as_it_was() {
    let (mut store, recovered) = Store::open(three(), limits(), 0).unwrap();
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
