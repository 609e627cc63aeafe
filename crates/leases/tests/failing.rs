//! Drawn histories of a voter over a folder whose calls fail for a while and whose process is killed at any byte: what it
//! said of a term it never goes back behind, whatever it could not read or write.

#[path = "../../store/tests/power/mod.rs"]
mod power;

use aldermill_leases::{Ballot, Incarnation, Message, Micros, Payload, Term, Voter};
use aldermill_store::{Batch, Limits, Store};
use power::{Dice, FailingDisk};

const LASTS: Micros = 3_000_000;
const GRANTED: u32 = 8;
const HISTORIES: u64 = 500;
const LIMITS: Limits =
    Limits { max_segment_bytes: 300, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 };

/// What the voter does with a folder that it cannot read.
#[derive(Clone, Copy, PartialEq)]
enum Unread {
    HoldsBack,
    /// As one without a folder: to show that the judge bites.
    VotesAllTheSame,
}

struct History {
    disk: FailingDisk,
    dice: Dice,
    unread: Unread,
    now: Micros,
    ballots: u64,
    /// The judge's: the highest term that this voter ever said it granted.
    said: Term,
    /// How many grants were said, and how many drawn terms it did not say.
    figures: (u32, u32),
}

/// One life of the voter's process.
struct Life {
    voter: Voter,
    store: Option<Store<FailingDisk>>,
}

impl History {
    fn new(seed: u64, unread: Unread) -> History {
        let (disk, dice) = (FailingDisk::new(seed), Dice(!seed));
        History { disk, dice, unread, now: 0, ballots: 0, said: 0, figures: (0, 0) }
    }

    fn start(&mut self) -> Life {
        let mut voter = Voter::start(self.now, LASTS, None::<Vec<(String, Term)>>);
        if self.unread == Unread::HoldsBack {
            voter.withhold_votes();
        }
        let mut life = Life { voter, store: None };
        self.open(&mut life);
        life
    }

    /// Reading may do where writing does not.
    fn open(&mut self, life: &mut Life) {
        let opened = Store::open(self.disk.clone(), LIMITS, self.now);
        let snapshot = match opened {
            Ok((store, recovered)) => {
                assert!(recovered.damage.is_empty(), "{recovered:?}");
                let snapshot = store.snapshot();
                life.store = Some(store);
                Some(snapshot)
            }
            Err(_) => Store::read(self.disk.clone(), LIMITS, self.now).ok().map(|(snapshot, _)| snapshot),
        };
        if let Some(snapshot) = snapshot {
            let terms = snapshot
                .namespace_entries(GRANTED)
                .map(|(_, value)| Term::from_be_bytes(value.try_into().unwrap()));
            life.voter.restore(terms.map(|term| ("d".to_owned(), term)));
        }
    }

    /// As the committer does: after a failure all is written anew first.
    fn keep(&self, life: &mut Life, term: Term) -> bool {
        let Some(store) = &mut life.store else { return false };
        if store.has_failed() && store.heal().is_err() {
            return false;
        }
        let mut batch = Batch::default();
        batch.put(GRANTED, b"d", &term.to_be_bytes(), None);
        let kept = store.commit(self.now, vec![batch]).is_ok();
        if kept && store.wants_compaction() {
            // It failing is known by the next write.
            let _ = store.compact();
        }
        kept
    }

    fn hear(&mut self, life: &mut Life, payload: impl FnOnce(Ballot) -> Payload) -> Result<(), String> {
        let from = Incarnation { name: format!("n{}", self.dice.below(3)), start: 1 };
        self.ballots += 1;
        let payload = payload(Ballot { number: self.ballots, candidate: from.clone() });
        let answer = life.voter.receive(self.now, &from, &Message { lease: "d".to_owned(), payload });
        let Some(answer) = answer else { return Ok(()) };
        if let Some(term) = answer.once_persisted {
            let kept = self.keep(life, term);
            // A process that is killed says nothing more, whatever it had learnt.
            if !kept || self.disk.state().left == Some(0) {
                self.figures.1 += 1;
                return Ok(());
            }
            life.voter.persisted("d", term);
        }
        let (Payload::Promise { term, .. } | Payload::Accept { term, .. }) = answer.payload else {
            return Ok(());
        };
        if term < self.said {
            return Err(format!("said {:?} after a grant of term {}", answer.payload, self.said));
        }
        if matches!(answer.payload, Payload::Accept { .. }) {
            self.said = term;
            self.figures.0 += 1;
        }
        Ok(())
    }

    fn step(&mut self, life: &mut Life) -> Result<(), String> {
        self.now += self.dice.below(2_000_000) as Micros;
        match self.dice.below(16) {
            0 => {
                let one_in = 1 + self.dice.below(6);
                self.disk.toggle_failing(one_in);
            }
            1 => {
                let room = self.dice.below(100) as usize;
                self.disk.toggle_room(room);
            }
            2 => self.disk.state().left = Some(self.dice.below(300) as usize),
            3 | 4 => {}
            5..10 => self.hear(life, |ballot| Payload::Prepare { ballot })?,
            // A holder that lost its memory seeks with a low term, others above all that was granted.
            _ => {
                let term = (self.said + 2).saturating_sub(self.dice.below(4)).max(1);
                self.hear(life, |ballot| Payload::Propose { ballot, term, duration: LASTS })?;
            }
        }
        let killed = self.disk.state().left == Some(0);
        if killed || self.dice.one_in(20) {
            self.disk.restart(self.dice.one_in(2));
            self.now += 1_000_000;
            *life = self.start();
        } else if life.store.is_none() {
            self.open(life);
        }
        Ok(())
    }
}

fn lives(seed: u64, unread: Unread) -> Result<(u32, u32), String> {
    let mut history = History::new(seed, unread);
    let mut life = history.start();
    for _ in 0..150 {
        history.step(&mut life)?;
    }
    Ok(history.figures)
}

#[test]
fn a_voter_never_goes_back_behind_a_term_that_it_said_whatever_its_folder_does() {
    let (mut said, mut unsaid) = (0, 0);
    for seed in 0..HISTORIES {
        let figures = lives(seed, Unread::HoldsBack).unwrap_or_else(|why| panic!("history {seed}: {why}"));
        (said, unsaid) = (said + figures.0, unsaid + figures.1);
    }
    println!("{said} grants said, {unsaid} not kept and not said");
    assert!(said > 3_000 && unsaid > 300, "{said} {unsaid}");
}

#[test]
fn the_judge_finds_a_voter_that_votes_without_having_read_its_folder() {
    assert!((0..50).any(|seed| lives(seed, Unread::VotesAllTheSame).is_err()));
}

#[test]
fn an_unread_voter_hears_and_says_nothing_and_votes_at_once_when_it_has_read() {
    let mut voter = Voter::start(0, LASTS, None::<Vec<(String, Term)>>);
    voter.withhold_votes();
    let from = Incarnation { name: "a".to_owned(), start: 1 };
    let now = voter.silent_until();
    let prepare = |number| {
        let ballot = Ballot { number, candidate: from.clone() };
        Message { lease: "d".to_owned(), payload: Payload::Prepare { ballot } }
    };
    assert_eq!(voter.receive(now, &from, &prepare(1)), None);
    voter.restore([("d".to_owned(), 7)]);
    let answer = voter.receive(now, &from, &prepare(2)).expect("it votes");
    assert!(matches!(answer.payload, Payload::Promise { term: 7, .. }));
}
