//! Drawn histories of a folder whose calls fail for a while and of kills at every byte: what was confirmed is there, what
//! was not is there whole or not at all, no torn end is taken for damage, and nothing is left lying in the folder.

mod power;

use std::collections::BTreeMap;

use aldermill_store::{Batch, Limits, Store};
use power::{Dice, FailingDisk};

type Contents = BTreeMap<Vec<u8>, Vec<u8>>;
type CheckResult = Result<(), String>;

/// Histories in one run; `ALDERMILL_HISTORIES` draws more.
const HISTORIES: u64 = 500;

fn limits() -> Limits {
    Limits { max_segment_bytes: 300, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 }
}

fn contents(store: &Store<FailingDisk>) -> Contents {
    store.snapshot().namespace_entries(1).map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// The checker: what may be found, worked out from what was confirmed alone.
struct Expected {
    confirmed: Contents,
    /// What a commit that failed would have made of it, which may be found too.
    begun: Option<Contents>,
}

impl Expected {
    fn finds(&mut self, found: Contents) -> CheckResult {
        if found != self.confirmed && Some(&found) != self.begun.as_ref() {
            return Err(format!("found {found:?}, confirmed {:?}, begun {:?}", self.confirmed, self.begun));
        }
        *self = Expected { confirmed: found, begun: None };
        Ok(())
    }
}

struct History {
    disk: FailingDisk,
    dice: Dice,
    expected: Expected,
    turn: u8,
}

impl History {
    fn new(seed: u64) -> History {
        let expected = Expected { confirmed: Contents::new(), begun: None };
        History { disk: FailingDisk::new(seed), dice: Dice(!seed), expected, turn: 0 }
    }

    /// Opens the folder, which may fail; what it then holds is checked.
    fn open(&mut self) -> Result<Option<Store<FailingDisk>>, String> {
        let Ok((store, recovered)) = Store::open(self.disk.clone(), limits(), 0) else { return Ok(None) };
        if !recovered.damage.is_empty() {
            return Err(format!("a torn end taken for damage: {:?}", recovered.damage));
        }
        self.expected.finds(contents(&store))?;
        Ok(Some(store))
    }

    /// One batch of two keys and perhaps a removal: a half of it would show.
    fn commit(&mut self, store: &mut Store<FailingDisk>) -> CheckResult {
        self.turn = self.turn.wrapping_add(1);
        let (turn, length) = (self.turn, 1 + self.dice.below(60) as usize);
        let mut after = self.expected.confirmed.clone();
        let mut batch = Batch::default();
        for (key, value) in [(vec![255], vec![turn; length]), (vec![turn % 9], vec![turn, 1])] {
            batch.put(1, &key, &value, None);
            after.insert(key, value);
        }
        batch.remove(1, &[(turn + 4) % 9]);
        after.remove(&vec![(turn + 4) % 9]);
        let failed_before = store.has_failed();
        match store.commit(i64::from(turn), vec![batch]) {
            Ok(()) => self.expected = Expected { confirmed: after, begun: None },
            Err(_) if !failed_before => self.expected.begun = Some(after),
            Err(_) => {}
        }
        self.holds(store)
    }

    fn heal(&mut self, store: &mut Store<FailingDisk>) -> CheckResult {
        if store.heal().is_ok() {
            self.expected.begun = None;
        }
        self.holds(store)
    }

    /// What is told while it is open is what was confirmed, whatever failed meanwhile.
    fn holds(&self, store: &Store<FailingDisk>) -> CheckResult {
        let found = contents(store);
        let same = found == self.expected.confirmed;
        same.then_some(()).ok_or_else(|| format!("tells {found:?} of {:?}", self.expected.confirmed))
    }

    /// What the committer does, and now and then a switch, a kill or a restart.
    fn step(&mut self, opened: &mut Option<Store<FailingDisk>>) -> CheckResult {
        let chance = self.dice.below(20);
        if chance == 0 {
            let one_in = 2 + self.dice.below(12);
            self.disk.toggle_failing(one_in);
        }
        if chance == 1 {
            let room = self.dice.below(300) as usize;
            self.disk.toggle_room(room);
        }
        if chance == 2 {
            // Killed within the next steps, or now if it goes on.
            self.disk.state().left = Some(self.dice.below(400) as usize);
        }
        if chance == 3 {
            *opened = None;
            self.disk.restart(self.dice.one_in(2));
        }
        let Some(store) = opened else {
            *opened = self.open()?;
            return Ok(());
        };
        if store.has_failed() {
            self.heal(store)?;
        }
        self.commit(store)?;
        if store.wants_compaction() || self.dice.one_in(9) {
            // It failing is known by the next write.
            let _ = store.compact();
        }
        self.holds(store)
    }

    /// The folder is well again: all is there after one more start, and nothing beside what is needed.
    fn end(&mut self) -> CheckResult {
        self.disk.restart(self.dice.one_in(2));
        {
            let state = &mut *self.disk.state();
            (state.fails_one_in, state.room) = (None, None);
        }
        for _ in 0..3 {
            self.open()?.ok_or("a sound folder does not open")?;
            if self.disk.names().iter().any(|name| name.ends_with(".tmp")) {
                return Err("a draft is left after a start".to_owned());
            }
        }
        let mut store = self.open()?.ok_or("a sound folder does not open")?;
        store.compact().map_err(|why| why.to_string())?;
        let names = self.disk.names();
        if names.len() != 2 {
            return Err(format!("left in the folder: {names:?}"));
        }
        self.holds(&store)
    }
}

fn check_history(seed: u64, lies: bool) -> CheckResult {
    let mut history = History::new(seed);
    history.disk.state().lies = lies;
    let mut opened = None;
    for _ in 0..60 {
        history.step(&mut opened)?;
    }
    drop(opened);
    history.end()
}

fn histories() -> u64 {
    let told = std::env::var("ALDERMILL_HISTORIES").ok().and_then(|told| told.parse().ok());
    told.unwrap_or(HISTORIES)
}

#[test]
fn a_disk_that_fails_for_a_while_loses_nothing_confirmed_and_leaves_no_obsolete_files() {
    for seed in 0..histories() {
        check_history(seed, false).unwrap_or_else(|why| panic!("history {seed}: {why}"));
    }
}

#[test]
fn a_disk_that_only_claims_to_sync_is_found_by_the_checker() {
    assert!((0..20).any(|seed| check_history(seed, true).is_err()));
}

/// A sound history with four compactions, killed after so many bytes and calls; then two more starts.
fn killed_at(units: usize, power: bool) -> Result<bool, String> {
    let mut history = History::new(units as u64);
    history.disk.state().left = Some(units);
    if let Some(mut store) = history.open()? {
        for turn in 0..20 {
            history.commit(&mut store)?;
            if turn % 5 == 4 {
                let _ = store.compact();
            }
        }
    }
    let survived = history.disk.state().left.is_some_and(|left| left > 0);
    history.disk.restart(power);
    history.end()?;
    Ok(survived)
}

#[test]
fn a_kill_at_any_byte_loses_nothing_confirmed_in_three_starts_after_it() {
    for power in [false, true] {
        let mut units = 0;
        while !killed_at(units, power).unwrap_or_else(|why| panic!("unit {units}, power {power}: {why}")) {
            units += 1;
        }
        assert!(units > 1_500, "{units}");
    }
}

#[test]
fn repeated_starts_on_a_full_disk_leave_no_segments_behind() {
    let mut history = History::new(1);
    let mut store = history.open().unwrap().unwrap();
    history.commit(&mut store).unwrap();
    drop(store);
    // Not even a head fits, or no more than a part of what is to be written again.
    for room in (0..50).map(|start| start % 5 * 15) {
        history.disk.state().room = Some(room);
        assert!(history.open().unwrap().is_none());
    }
    assert_eq!(history.disk.names().len(), 1, "{:?}", history.disk.names());
    history.end().unwrap();
}
