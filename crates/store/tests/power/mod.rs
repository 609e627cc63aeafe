//! A disk in memory whose calls fail by a seed while a switch is on, and that may be killed at any byte. It keeps apart
//! what is surely on the disk from what the system holds in memory only.

// Each test that takes this in uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard};

use aldermill_store::Files;

/// Chance by seed (splitmix64).
pub struct Dice(pub u64);

impl Dice {
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ mixed >> 31) % most
    }

    pub fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// How many of them are surely on the disk.
    synced: usize,
    /// A sync failed: a later one succeeds with nothing written.
    sync_failed: bool,
}

pub struct State {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    dice: Dice,
    /// While this is set one call in so many fails.
    pub fails_one_in: Option<u64>,
    /// Bytes until the disk is full, where it is about to be.
    pub room: Option<usize>,
    /// Bytes and calls until the process is killed; from then on every call fails.
    pub left: Option<usize>,
    /// How many bytes and calls there were.
    pub spent: usize,
    /// Syncs that do nothing: to show that a checker finds them.
    pub lies: bool,
}

/// One process's view of the disk; clones share it.
#[derive(Clone)]
pub struct FailingDisk(Arc<Mutex<State>>);

/// When a call fails.
#[derive(PartialEq)]
enum Fails {
    Never,
    Before,
    /// It took effect all the same.
    After,
}

impl FailingDisk {
    pub fn new(seed: u64) -> FailingDisk {
        FailingDisk(Arc::new(Mutex::new(State {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            dice: Dice(seed),
            fails_one_in: None,
            room: None,
            left: None,
            spent: 0,
            lies: false,
        })))
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// From now on one call in so many fails, or none any more where some did.
    pub fn toggle_failing(&self, one_in: u64) {
        let state = &mut *self.state();
        state.fails_one_in = state.fails_one_in.is_none().then_some(one_in);
    }

    /// From now on there is room for so many bytes, or for any number where there was a limit.
    pub fn toggle_room(&self, room: usize) {
        let state = &mut *self.state();
        state.room = state.room.is_none().then_some(room);
    }

    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// The process is gone, and with `power` also what the system held in memory, as chance has it.
    pub fn restart(&self, power: bool) {
        let state = &mut *self.state();
        state.left = None;
        if !power {
            return;
        }
        if state.dice.one_in(2) {
            state.names = state.synced_names.clone();
        }
        state.synced_names = state.names.clone();
        for file in &mut state.files {
            let unsure = (file.bytes.len() - file.synced) as u64;
            file.bytes.truncate(file.synced + state.dice.below(unsure + 1) as usize);
            (file.synced, file.sync_failed) = (file.bytes.len(), false);
        }
    }
}

fn broken() -> Error {
    Error::other("input/output error")
}

impl State {
    /// Spends one call; an error where the process is dead by then.
    fn call(&mut self) -> Result<Fails> {
        self.spend(1)?;
        let failing = self.fails_one_in.is_some_and(|times| self.dice.one_in(times));
        Ok(match failing {
            false => Fails::Never,
            true if self.dice.one_in(2) => Fails::After,
            true => Fails::Before,
        })
    }

    fn spend(&mut self, units: usize) -> Result<()> {
        self.spent += units;
        if let Some(left) = &mut self.left {
            // Once it is dead it stays so.
            let dies = *left < units;
            *left = left.saturating_sub(units);
            if dies {
                return Err(ErrorKind::BrokenPipe.into());
            }
        }
        Ok(())
    }

    /// One change of the folder, which may fail before or after it.
    fn change(&mut self, change: impl FnOnce(&mut State) -> Result<()>) -> Result<()> {
        match self.call()? {
            Fails::Never => change(self),
            Fails::Before => Err(broken()),
            Fails::After => change(self).and(Err(broken())),
        }
    }

    fn file(&mut self, name: &str) -> Result<&mut Content> {
        let number = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[number])
    }
}

impl Files for FailingDisk {
    fn list(&self) -> Result<Vec<String>> {
        let state = &mut *self.state();
        if state.call()? != Fails::Never {
            return Err(broken());
        }
        Ok(state.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let state = &mut *self.state();
        if state.call()? != Fails::Never {
            return Err(broken());
        }
        Ok(state.file(name)?.bytes.clone())
    }

    fn create(&mut self, name: &str) -> Result<()> {
        self.state().change(|state| {
            state.files.push(Content::default());
            state.names.insert(name.to_owned(), state.files.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let state = &mut *self.state();
        let fails = state.call()?;
        let begun = match fails {
            Fails::Never => bytes.len(),
            _ => state.dice.below(bytes.len() as u64 + 1) as usize,
        };
        let length = begun.min(state.room.unwrap_or(begun));
        state.room = state.room.map(|room| room - length);
        let written = length.min(state.left.unwrap_or(length));
        state.file(name)?.bytes.extend_from_slice(&bytes[..written]);
        state.spend(length)?;
        if fails != Fails::Never {
            return Err(broken());
        }
        if length < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let state = &mut *self.state();
        let fails = state.call()?;
        let lies = state.lies;
        let file = state.file(name)?;
        if fails != Fails::Never {
            file.sync_failed = true;
            return Err(broken());
        }
        if !file.sync_failed && !lies {
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.state().change(|state| {
            let file = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
            state.names.insert(to.to_owned(), file);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.state().change(|state| {
            state.names.remove(name).ok_or(ErrorKind::NotFound)?;
            Ok(())
        })
    }

    fn sync_directory(&mut self) -> Result<()> {
        let state = &mut *self.state();
        if state.call()? != Fails::Never {
            return Err(broken());
        }
        state.synced_names = state.names.clone();
        Ok(())
    }
}
