//! A disk that loses power between any two bytes, and a store over it: after each recovery the old state or the new.

mod recording_disk;

use std::collections::BTreeMap;

use aldermill_store::{Batch, Store};
use recording_disk::{Contents, DiskCall, RecordingDisk, contents, limits};

/// A disk as power finds it: files by number, each with what is surely there and what may be, and two sets of names.
#[derive(Clone, Default)]
struct CrashModel {
    files: Vec<(Vec<u8>, usize)>,
    names: BTreeMap<String, usize>,
    sure: BTreeMap<String, usize>,
}

impl CrashModel {
    fn perform(&mut self, call: &DiskCall, bytes: usize) {
        match call {
            DiskCall::Create(name) => {
                self.files.push((Vec::new(), 0));
                self.names.insert(name.clone(), self.files.len() - 1);
            }
            DiskCall::Append(name, more) => self.files[self.names[name]].0.extend_from_slice(&more[..bytes]),
            DiskCall::Sync(name) => {
                let file = &mut self.files[self.names[name]];
                file.1 = file.0.len();
            }
            DiskCall::Rename(from, to) => {
                let file = self.names.remove(from).unwrap();
                self.names.insert(to.clone(), file);
            }
            DiskCall::Remove(name) => drop(self.names.remove(name)),
            DiskCall::SyncDirectory => self.sure = self.names.clone(),
        }
    }

    /// What is found after the power went: all that was asked for, only what was surely there, or something between.
    fn after_power_loss(&self, names: bool, bytes: u8) -> RecordingDisk {
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
        RecordingDisk { files: files.collect(), ..RecordingDisk::default() }
    }
}

/// The calls that a store made to its disk, and which states there were before each of them.
struct RecordedHistory {
    calls: Vec<DiskCall>,
    /// The states after each commit, the empty one first.
    states: Vec<Contents>,
    /// How many commits were begun, and confirmed, before each call.
    begun: Vec<usize>,
    confirmed: Vec<usize>,
}

fn record_history(skips_syncs: bool) -> RecordedHistory {
    let (mut store, _) =
        Store::open(RecordingDisk { skips_syncs, ..RecordingDisk::default() }, limits(), 0).unwrap();
    let mut states = vec![Contents::new()];
    let mut begun = Vec::new();
    let mut confirmed = Vec::new();
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
            let calls = call_count(&store);
            begun.resize(calls, states.len() - 1);
            confirmed.resize(calls, states.len() - 1);
        }
        store.commit(i64::from(turn), vec![batch]).unwrap();
        states.push(contents(&store));
        let calls = call_count(&store);
        assert!(calls > before);
        begun.resize(calls, states.len() - 1);
        confirmed.resize(calls, states.len() - 2);
    }
    RecordedHistory { calls: store.into_files().calls, states, begun, confirmed }
}

fn call_count(store: &Store<RecordingDisk>) -> usize {
    store.files().calls.len()
}

/// Cuts the power at every byte; how many recoveries were right, or the first that was not.
fn cut_everywhere(history: &RecordedHistory) -> std::result::Result<usize, String> {
    let mut disk = CrashModel::default();
    let mut checked = 0;
    for (at, call) in history.calls.iter().enumerate() {
        let bytes = if let DiskCall::Append(_, bytes) = call { bytes.len() } else { 0 };
        for cut in 0..=bytes {
            let mut torn = disk.clone();
            torn.perform(call, cut);
            for (names, kept) in [(true, 0), (true, 1), (true, 2), (false, 0), (false, 2)] {
                let opened = Store::open(torn.after_power_loss(names, kept), limits(), 0);
                let (store, recovered) = opened.map_err(|why| format!("at {at}, {cut}: {why}"))?;
                let found = contents(&store);
                // Commits known as confirmed before this call must be there; none that was never begun.
                let (least, most) = (history.confirmed[at], history.begun[at]);
                if !history.states[least..=most].contains(&found) {
                    return Err(format!("at {at} {call:?}, byte {cut}, {names} {kept}: {found:?}"));
                }
                if !recovered.damage.is_empty() {
                    return Err(format!("at {at}, byte {cut}: a torn end taken for damage"));
                }
                checked += 1;
            }
        }
        disk.perform(call, bytes);
    }
    Ok(checked)
}

#[test]
fn power_lost_at_any_byte_of_the_log_or_of_a_compaction_leaves_the_old_state_or_the_new() {
    let checked = cut_everywhere(&record_history(false)).unwrap();
    println!("{checked} recoveries");
    assert!(checked > 5_000);
}

#[test]
fn a_disk_that_skips_syncs_is_found_to_lose_a_confirmed_record() {
    assert!(cut_everywhere(&record_history(true)).is_err());
}
