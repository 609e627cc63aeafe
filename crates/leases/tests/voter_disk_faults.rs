//! Random histories of a voter whose store is on a disk that fails for a while, and whose process is killed
//! at any byte.
//!
//! The tests guard against a voter that announces a lower term than one it has granted, because it could not
//! read or write its store.

#[path = "../../store/tests/power/mod.rs"]
mod power;

use aldermill_leases::{Ballot, Incarnation, Message, Micros, Payload, Term, Voter};
use aldermill_store::{Batch, Limits, Store};
use power::{Dice, FailingDisk};

const LEASE_DURATION: Micros = 3_000_000;
/// Namespace of the store that holds the granted terms.
const TERM_NAMESPACE: u32 = 8;
/// Number of histories, each drawn from another seed.
const HISTORIES: u64 = 500;
const LIMITS: Limits =
    Limits { max_segment_bytes: 300, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 };

/// What the voter does while it cannot read its store.
#[derive(Clone, Copy, PartialEq)]
enum UnreadStorePolicy {
    /// It casts no vote.
    WithholdVotes,
    /// It votes like a voter without a store. Shows that the checker detects lower terms.
    VoteAnyway,
}

/// A history of a voter's processes and their disk, with the state of the checker.
struct History {
    disk: FailingDisk,
    rng: Dice,
    unread_store_policy: UnreadStorePolicy,
    now: Micros,
    /// Number of the latest ballot; each message has a new one.
    ballot_number: u64,
    /// Checker state: the term of the latest grant that was announced, and so the highest one; 0 before the
    /// first grant.
    highest_announced_term: Term,
    /// Number of grants that were announced, and number of replies that were not sent because their term was
    /// not persisted or the process was killed.
    vote_counts: (u32, u32),
}

/// One run of the voter's process.
struct Process {
    voter: Voter,
    /// `None` until the store could be opened.
    store: Option<Store<FailingDisk>>,
}

impl History {
    fn new(seed: u64, unread_store_policy: UnreadStorePolicy) -> History {
        let (disk, rng) = (FailingDisk::new(seed), Dice(!seed));
        History {
            disk,
            rng,
            unread_store_policy,
            now: 0,
            ballot_number: 0,
            highest_announced_term: 0,
            vote_counts: (0, 0),
        }
    }

    /// Starts a process, which tries to open its store.
    fn start(&mut self) -> Process {
        let mut voter = Voter::start(self.now, LEASE_DURATION, None::<Vec<(String, Term)>>);
        if self.unread_store_policy == UnreadStorePolicy::WithholdVotes {
            voter.withhold_votes();
        }
        let mut process = Process { voter, store: None };
        self.open(&mut process);
        process
    }

    /// Opens the store and restores the voter's terms. A disk that cannot be written may still be readable,
    /// so if the store cannot be opened, it is only read.
    fn open(&mut self, process: &mut Process) {
        let opened = Store::open(self.disk.clone(), LIMITS, self.now);
        let snapshot = match opened {
            Ok((store, recovered)) => {
                assert!(recovered.damage.is_empty(), "{recovered:?}");
                let snapshot = store.snapshot();
                process.store = Some(store);
                Some(snapshot)
            }
            Err(_) => Store::read(self.disk.clone(), LIMITS, self.now).ok().map(|(snapshot, _)| snapshot),
        };
        if let Some(snapshot) = snapshot {
            let terms = snapshot
                .namespace_entries(TERM_NAMESPACE)
                .map(|(_, value)| Term::from_be_bytes(value.try_into().unwrap()));
            process.voter.restore(terms.map(|term| ("d".to_owned(), term)));
        }
    }

    /// Persists a term, and returns whether that succeeded. As in the committer of the store, everything is
    /// written anew first after a failure.
    fn persist(&self, process: &mut Process, term: Term) -> bool {
        let Some(store) = &mut process.store else { return false };
        if store.has_failed() && store.heal().is_err() {
            return false;
        }
        let mut batch = Batch::default();
        batch.put(TERM_NAMESPACE, b"d", &term.to_be_bytes(), None);
        let is_persisted = store.commit(self.now, vec![batch]).is_ok();
        if is_persisted && store.wants_compaction() {
            // If the compaction fails, the next write reports it.
            let _ = store.compact();
        }
        is_persisted
    }

    /// Delivers a message with a new ballot to the voter, and checks its reply. Fails if the reply announces
    /// a lower term than one that was granted.
    fn deliver(
        &mut self,
        process: &mut Process,
        payload: impl FnOnce(Ballot) -> Payload,
    ) -> Result<(), String> {
        let from = Incarnation { name: format!("n{}", self.rng.below(3)), start: 1 };
        self.ballot_number += 1;
        let payload = payload(Ballot { number: self.ballot_number, candidate: from.clone() });
        let reply = process.voter.receive(self.now, &from, &Message { lease: "d".to_owned(), payload });
        let Some(reply) = reply else { return Ok(()) };
        if let Some(term) = reply.once_persisted {
            let is_persisted = self.persist(process, term);
            // A killed process sends nothing, even if the term was persisted.
            if !is_persisted || self.disk.state().left == Some(0) {
                self.vote_counts.1 += 1;
                return Ok(());
            }
            process.voter.persisted("d", term);
        }
        let (Payload::Promise { term, .. } | Payload::Accept { term, .. }) = reply.payload else {
            return Ok(());
        };
        if term < self.highest_announced_term {
            return Err(format!(
                "replied with {:?} after a grant of term {}",
                reply.payload, self.highest_announced_term
            ));
        }
        if matches!(reply.payload, Payload::Accept { .. }) {
            self.highest_announced_term = term;
            self.vote_counts.0 += 1;
        }
        Ok(())
    }

    /// Advances the time, and draws a disk fault, a kill or a message to the voter. A killed process is
    /// started again; other processes are restarted now and then.
    fn step(&mut self, process: &mut Process) -> Result<(), String> {
        self.now += self.rng.below(2_000_000) as Micros;
        match self.rng.below(16) {
            0 => {
                let one_in = 1 + self.rng.below(6);
                self.disk.toggle_failing(one_in);
            }
            1 => {
                let room = self.rng.below(100) as usize;
                self.disk.toggle_room(room);
            }
            2 => self.disk.state().left = Some(self.rng.below(300) as usize),
            3 | 4 => {}
            5..10 => self.deliver(process, |ballot| Payload::Prepare { ballot })?,
            // A candidate that has lost its state proposes a low term, others propose one above all granted
            // terms.
            _ => {
                let term = (self.highest_announced_term + 2).saturating_sub(self.rng.below(4)).max(1);
                self.deliver(process, |ballot| Payload::Propose { ballot, term, duration: LEASE_DURATION })?;
            }
        }
        let is_killed = self.disk.state().left == Some(0);
        if is_killed || self.rng.one_in(20) {
            self.disk.restart(self.rng.one_in(2));
            self.now += 1_000_000;
            *process = self.start();
        } else if process.store.is_none() {
            self.open(process);
        }
        Ok(())
    }
}

/// Runs one history and returns its vote counts; fails if the checker finds a lower term.
fn run_history(seed: u64, unread_store_policy: UnreadStorePolicy) -> Result<(u32, u32), String> {
    let mut history = History::new(seed, unread_store_policy);
    let mut process = history.start();
    for _ in 0..150 {
        history.step(&mut process)?;
    }
    Ok(history.vote_counts)
}

#[test]
fn a_voter_never_announces_a_lower_term_than_it_granted_whatever_disk_faults_occur() {
    let (mut announced, mut unpersisted) = (0, 0);
    for seed in 0..HISTORIES {
        let vote_counts = run_history(seed, UnreadStorePolicy::WithholdVotes)
            .unwrap_or_else(|error| panic!("history {seed}: {error}"));
        (announced, unpersisted) = (announced + vote_counts.0, unpersisted + vote_counts.1);
    }
    println!("{announced} grants announced, {unpersisted} replies not persisted and not sent");
    assert!(announced > 3_000 && unpersisted > 300, "{announced} {unpersisted}");
}

#[test]
fn the_checker_detects_a_voter_that_votes_before_its_store_has_been_read() {
    assert!((0..50).any(|seed| run_history(seed, UnreadStorePolicy::VoteAnyway).is_err()));
}

#[test]
fn a_voter_ignores_messages_until_its_store_has_been_read_and_votes_at_once_afterwards() {
    let mut voter = Voter::start(0, LEASE_DURATION, None::<Vec<(String, Term)>>);
    voter.withhold_votes();
    let from = Incarnation { name: "a".to_owned(), start: 1 };
    let now = voter.silent_until();
    let prepare = |number| {
        let ballot = Ballot { number, candidate: from.clone() };
        Message { lease: "d".to_owned(), payload: Payload::Prepare { ballot } }
    };
    assert_eq!(voter.receive(now, &from, &prepare(1)), None);
    voter.restore([("d".to_owned(), 7)]);
    let reply = voter.receive(now, &from, &prepare(2)).expect("the voter replies once its store was read");
    assert!(matches!(reply.payload, Payload::Promise { term: 7, .. }));
}
