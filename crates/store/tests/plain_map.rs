//! Drawn histories of a store beside a plain map: commits, compactions, restarts, failed syncs, expiry.

mod recording_disk;

use std::collections::BTreeMap;

use aldermill_store::{Batch, Damage, Store};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use recording_disk::{Contents, RecordingDisk, contents, limits};

const SECOND: i64 = 1_000_000;

/// A key is set to a value, or removed; the last number is after how many seconds it expires, 0 for never.
type DrawnChange = (u8, Option<u8>, u8);

#[derive(Clone, Debug)]
enum Step {
    Commit(Vec<DrawnChange>),
    Compact,
    Reopen,
    FailSync,
    /// So many microseconds pass.
    Pass(u32),
}

/// A value of the plain map, and when it expires; 0 is never.
type PlainEntry = (Vec<u8>, i64);

struct Comparison {
    now: i64,
    store: Store<RecordingDisk>,
    plain: BTreeMap<Vec<u8>, PlainEntry>,
}

impl Comparison {
    fn new() -> Comparison {
        let now = 1;
        let (store, _) = Store::open(RecordingDisk::default(), limits(), now).unwrap();
        Comparison { now, store, plain: BTreeMap::new() }
    }

    fn step(mut self, step: Step) -> Result<Comparison, TestCaseError> {
        match step {
            Step::Commit(changes) => self.commit(changes),
            Step::Compact => self.store.compact().unwrap(),
            Step::Reopen => {
                let (opened, recovered) = Store::open(self.store.into_files(), limits(), self.now).unwrap();
                prop_assert_eq!(recovered.damage, Vec::<Damage>::new());
                self.store = opened;
            }
            Step::FailSync => self.fail_sync()?,
            Step::Pass(time) => {
                self.now += i64::from(time);
                self.store.commit(self.now, vec![]).unwrap();
            }
        }
        self.compare()?;
        Ok(self)
    }

    fn commit(&mut self, changes: Vec<DrawnChange>) {
        let mut batch = Batch::default();
        for (key, value, seconds) in changes {
            let until = if seconds == 0 { 0 } else { self.now + i64::from(seconds) * SECOND };
            match value {
                Some(value) => {
                    batch.put(1, &[key], &[value; 20], (until > 0).then_some(until));
                    self.plain.insert(vec![key], (vec![value; 20], until));
                }
                None => {
                    batch.remove(1, &[key]);
                    self.plain.remove(&vec![key]);
                }
            }
        }
        self.store.commit(self.now, vec![batch]).unwrap();
    }

    fn fail_sync(&mut self) -> Result<(), TestCaseError> {
        self.store.files_mut().sync_fails = true;
        let mut batch = Batch::default();
        batch.put(1, &[99], b"never", None);
        prop_assert!(self.store.commit(self.now, vec![batch]).is_err());
        self.store.files_mut().sync_fails = false;
        self.store.heal().unwrap();
        Ok(())
    }

    fn compare(&mut self) -> Result<(), TestCaseError> {
        let now = self.now;
        self.plain.retain(|_, (_, until)| *until == 0 || *until > now);
        let held: Contents =
            self.plain.iter().map(|(key, (value, _))| (key.clone(), value.clone())).collect();
        self.store.commit(now, vec![]).unwrap();
        prop_assert_eq!(contents(&self.store), held);
        if self.store.wants_compaction() {
            self.store.compact().unwrap();
        }
        Ok(())
    }
}

#[test]
fn drawn_histories_with_failed_syncs_and_restarts_hold_what_a_plain_map_holds() {
    let change = (0u8..20, proptest::option::of(any::<u8>()), 0u8..4);
    let step = prop_oneof![
        6 => vec(change, 1..5).prop_map(Step::Commit),
        1 => Just(Step::Compact),
        1 => Just(Step::Reopen),
        1 => Just(Step::FailSync),
        2 => (0u32..3_000_000).prop_map(Step::Pass),
    ];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
        .run(&vec(step, 1..60), |steps| {
            steps.into_iter().try_fold(Comparison::new(), Comparison::step)?;
            Ok(())
        })
        .unwrap();
}
