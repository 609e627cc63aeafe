//! A gateway's outcome log on a failing disk, its process killed and started again, and what truly became of its requests.

use std::collections::{BTreeMap, VecDeque};

use crate::power::{Dice, FailingDisk};
use aldermill_site_routing::records::{
    StoredPair, decode_key, decode_outcome, decode_promise, encode_key, encode_outcome, encode_promise,
};
use aldermill_site_routing::{
    BootId, BootInstant, Micros, Origin, Outcome, PreviousIncarnations, PromiseEnd, PromiseRecord,
    PromiseScope, RecordingPromise, StoredPromises,
};
use aldermill_store::{Batch, DiskCircuitBreaker, DiskState, Limits, Store};

type KnownOutcome = Outcome<Vec<u8>>;

const OUTCOME_LOG: u32 = 6;
const PROMISES: u32 = 7;
const BOOT: BootId = BootId([7; 16]);
const LIMITS: Limits =
    Limits { max_segment_bytes: 2_000, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 };
const MAX_WRITE_WAIT: Micros = 250_000;
const MAX_WAITING_WRITES: usize = 8;
/// How long a record is kept beyond its request's deadline, as the gateway does.
const QUERY_GRACE: Micros = 5_000_000;
/// How the wall clock may step forward between two starts.
const FORWARD: [Micros; 4] = [2_000_000, 4_900_000, 5_100_000, 3_600_000_000];

/// What the gateway does wrong, to show that the checker finds it.
#[derive(Clone, Copy, PartialEq)]
pub enum Flaw {
    None,
    /// A request that the disk refuses goes on although a promise holds.
    BreaksPromises,
    /// Requests and outcomes go on before they are confirmed.
    WaitsForNothing,
    /// Whether a promise was over is judged by the wall clock alone.
    TrustsWallClock,
}

/// What a write is for.
#[derive(Clone, Copy)]
enum Write {
    Taking(u64),
    Outcome(u64),
    RecordingPromise,
    /// Nobody waits for it any more.
    GivenUp,
}

/// The checker's: what truly became of a request, and what a later incarnation owes its sender.
struct Request {
    start: u64,
    /// Until when its sender may ask, in real time.
    deadline: Micros,
    ran: bool,
    outcome: Option<KnownOutcome>,
    /// What was confirmed last; a start under another clock may have found it expired.
    owed: Option<KnownOutcome>,
}

/// One incarnation of the gateway.
pub struct Incarnation {
    start: u64,
    store: Option<Store<FailingDisk>>,
    previous: Option<PreviousIncarnations<Vec<u8>>>,
    breaker: DiskCircuitBreaker,
    promise: RecordingPromise,
    waiting: VecDeque<(Batch, Write)>,
}

pub struct History {
    pub disk: FailingDisk,
    dice: Dice,
    flaw: Flaw,
    /// Real time, and by how much the wall clock is ahead of it.
    now: Micros,
    ahead: Micros,
    pub clock_steps: [Micros; 4],
    /// Whether promises end by a clock that does not step, beside the wall clock.
    pub has_boot_clock: bool,
    requests: BTreeMap<u64, Request>,
    /// Answers of later starts: never taken, known, unknown.
    pub answers: [u32; 3],
}

fn origin() -> Origin {
    Origin { site: "north".to_owned(), instance: "n1".to_owned(), incarnation: 9 }
}

impl History {
    pub fn new(seed: u64, flaw: Flaw) -> History {
        let (disk, dice, now) = (FailingDisk::new(seed), Dice(!seed), 1_000_000_000_000_000);
        let (ahead, clock_steps, requests) = (0, FORWARD, BTreeMap::new());
        let has_boot_clock = false;
        History { disk, dice, flaw, now, ahead, clock_steps, has_boot_clock, requests, answers: [0; 3] }
    }

    fn clock(&self) -> Micros {
        self.now + self.ahead
    }

    /// The time by which promises end.
    fn promise_time(&self) -> Micros {
        if self.has_boot_clock { self.now } else { self.clock() }
    }

    pub fn start(&mut self, start: u64) -> Incarnation {
        let scope = if self.has_boot_clock { PromiseScope::Timed } else { PromiseScope::Incarnation };
        let (breaker, promise) =
            (DiskCircuitBreaker::new(MAX_WRITE_WAIT, MAX_WAITING_WRITES), RecordingPromise::new(scope));
        let (store, previous, waiting) = (None, None, VecDeque::new());
        let mut process = Incarnation { start, store, previous, breaker, promise, waiting };
        self.open(&mut process);
        process
    }

    /// Reading may do where writing does not.
    fn open(&mut self, process: &mut Incarnation) {
        let opened = Store::open(self.disk.clone(), LIMITS, self.clock());
        let snapshot = match opened {
            Ok((store, recovered)) => {
                assert!(recovered.damage.is_empty(), "{recovered:?}");
                let snapshot = store.snapshot();
                process.store = Some(store);
                Some(snapshot)
            }
            Err(_) => Store::read(self.disk.clone(), LIMITS, self.clock()).ok().map(|(snapshot, _)| snapshot),
        };
        let (None, Some(snapshot)) = (&process.previous, snapshot) else { return };
        let mut previous = PreviousIncarnations::default();
        for (name, outcome) in snapshot.namespace_entries(OUTCOME_LOG) {
            let key = decode_key(name).expect("a key");
            previous.add_record(key.incarnation, key.origin, key.number, decode_outcome(outcome));
        }
        let mut promises = StoredPromises::default();
        for (key, value) in snapshot.namespace_entries(PROMISES) {
            let (start, record) = decode_promise(key, value).expect("a promise");
            promises.add(start, record);
            if let PromiseRecord::Until(until) = record
                && self.flaw == Flaw::TrustsWallClock
            {
                previous.add_promise(self.clock(), start, until);
            }
        }
        let boot_time = self.has_boot_clock.then_some(BootInstant { boot: BOOT, at: self.now });
        for (start, until) in promises.kept(boot_time) {
            previous.add_promise(self.clock(), start, until);
        }
        process.previous = Some(previous);
        process.breaker = DiskCircuitBreaker::new(MAX_WRITE_WAIT, MAX_WAITING_WRITES);
    }

    fn hand_over(&self, process: &mut Incarnation, batch: Batch, write: Write) -> bool {
        if !process.breaker.admit_write(self.clock(), true) {
            return false;
        }
        if process.store.is_none() || process.waiting.len() >= MAX_WAITING_WRITES {
            process.breaker.write_failed(self.clock());
            return false;
        }
        process.waiting.push_back((batch, write));
        true
    }

    fn renew(&self, process: &mut Incarnation) {
        let rests =
            matches!(process.breaker.state(), DiskState::Unavailable { until } if self.clock() < until);
        if !rests && let Some(end) = process.promise.renew(self.promise_time()) {
            let until = end - self.promise_time() + self.clock();
            let (mut batch, over) = (Batch::default(), until + 3_600_000_000);
            let end = match self.has_boot_clock {
                true => PromiseEnd::After(BootInstant { boot: BOOT, at: end }),
                false => PromiseEnd::WithIncarnation,
            };
            for record in [PromiseRecord::Until(until), PromiseRecord::End(end)] {
                let StoredPair { key, value } = encode_promise(process.start, record);
                batch.put(PROMISES, &key, &value, Some(over));
            }
            if !self.hand_over(process, batch, Write::RecordingPromise) {
                process.promise.resolve_pending();
            }
        }
    }

    fn record(&self, process: &mut Incarnation, number: u64, outcome: &KnownOutcome, write: Write) -> bool {
        let until = self.requests[&number].deadline + self.ahead + QUERY_GRACE;
        let mut batch = Batch::default();
        let outcome = encode_outcome(&outcome.as_ref().map(|bytes| &bytes[..]));
        batch.put(OUTCOME_LOG, &encode_key(process.start, &origin(), number), &outcome, Some(until));
        self.hand_over(process, batch, write)
    }

    fn request_comes(&mut self, process: &mut Incarnation) {
        let number = self.requests.len() as u64;
        let deadline = self.now + 100_000 + self.dice.below(6_000_000) as Micros;
        let request = Request { start: process.start, deadline, ran: false, outcome: None, owed: None };
        self.requests.insert(number, request);
        if self.record(process, number, &Outcome::InFlight, Write::Taking(number)) {
            self.now_runs(number, self.flaw == Flaw::WaitsForNothing);
        } else if process.promise.permits_unrecorded(self.promise_time()) {
            let until = deadline - self.now + self.promise_time() + QUERY_GRACE;
            process.promise.accepted_unrecorded(until);
            self.now_runs(number, true);
        } else {
            self.now_runs(number, self.flaw == Flaw::BreaksPromises);
        }
    }

    fn now_runs(&mut self, number: u64, runs: bool) {
        self.requests.entry(number).and_modify(|request| request.ran |= runs);
    }

    /// One of those that run comes to its outcome.
    fn request_ends(&mut self, process: &mut Incarnation) {
        let runs =
            |request: &Request| request.start == process.start && request.ran && request.outcome.is_none();
        let Some(number) = self.requests.iter().find(|(_, request)| runs(request)).map(|(&number, _)| number)
        else {
            return;
        };
        let outcome = match self.dice.below(3) {
            0 => Outcome::Rejected { retry_after: self.dice.below(9) as Micros },
            1 => Outcome::Failed,
            _ => Outcome::Served(number.to_be_bytes().to_vec()),
        };
        self.requests.entry(number).and_modify(|request| request.outcome = Some(outcome.clone()));
        let handed_over = self.record(process, number, &outcome, Write::Outcome(number));
        if handed_over && self.flaw == Flaw::WaitsForNothing {
            self.is_owed(number, Some(outcome));
        }
    }

    fn is_owed(&mut self, number: u64, owed: Option<KnownOutcome>) {
        self.requests.entry(number).and_modify(|request| request.owed = owed);
    }

    /// The disk's thread writes what waits longest; after a failure all is written anew first.
    fn disk_works(&mut self, process: &mut Incarnation) {
        let Some((batch, write)) = process.waiting.pop_front() else { return };
        let Some(store) = &mut process.store else { return };
        let healed = !store.has_failed() || store.heal().is_ok();
        let well = healed && store.commit(self.now + self.ahead, vec![batch]).is_ok();
        if well && store.wants_compaction() {
            // It failing is known by the next write.
            let _ = store.compact();
        }
        // A process that is killed does nothing more, whatever it had learnt.
        if self.is_killed() {
            return;
        }
        match well {
            true => process.breaker.write_confirmed(self.now + self.ahead),
            false => process.breaker.write_failed(self.now + self.ahead),
        }
        match write {
            Write::RecordingPromise => process.promise.resolve_pending(),
            // One that was not kept is rejected: it never runs.
            Write::Taking(number) if well => {
                self.now_runs(number, true);
                self.is_owed(number, Some(Outcome::InFlight));
            }
            Write::Outcome(number) if well => {
                let outcome = self.requests[&number].outcome.clone();
                self.is_owed(number, outcome);
            }
            _ => {}
        }
    }

    fn abandon_slow_writes(&mut self, process: &mut Incarnation) {
        if process.breaker.check_timeout(self.clock()) {
            for (_, write) in &mut process.waiting {
                if matches!(std::mem::replace(write, Write::GivenUp), Write::RecordingPromise) {
                    process.promise.resolve_pending();
                }
            }
        }
    }

    fn is_killed(&self) -> bool {
        self.disk.state().left == Some(0)
    }

    /// Senders ask this start what became of their requests to earlier ones.
    fn senders_ask(&mut self, process: &Incarnation) -> Result<(), String> {
        for (&number, request) in &self.requests {
            if request.start == process.start || request.deadline <= self.now {
                continue;
            }
            let answer = match &process.previous {
                Some(previous) => previous.query(&origin(), number, request.start),
                None => Outcome::Unknown,
            };
            let true_to_it = match &answer {
                Outcome::NeverAccepted => !request.ran,
                Outcome::InFlight => false,
                Outcome::Failed => {
                    !matches!(request.owed, Some(Outcome::Served(_) | Outcome::Rejected { .. }))
                }
                Outcome::Unknown => process.previous.is_none() || request.owed.is_none(),
                said => request.outcome.as_ref() == Some(said),
            };
            if !true_to_it {
                let Request { start, ran, outcome, owed, .. } = request;
                let truth = format!("ran {ran}, outcome {outcome:?}, owed {owed:?}");
                return Err(format!(
                    "start {} says {answer:?} of {number} at {start}: {truth}",
                    process.start
                ));
            }
            self.answers[match answer {
                Outcome::NeverAccepted => 0,
                Outcome::Unknown => 2,
                _ => 1,
            }] += 1;
        }
        Ok(())
    }

    pub fn step(&mut self, process: &mut Incarnation) -> Result<(), String> {
        self.now += self.dice.below(200_000) as Micros;
        self.abandon_slow_writes(process);
        self.renew(process);
        match self.dice.below(24) {
            0 => {
                let one_in = 1 + self.dice.below(6);
                self.disk.toggle_failing(one_in);
            }
            1 => {
                let room = self.dice.below(300) as usize;
                self.disk.toggle_room(room);
            }
            2 => self.disk.state().left = Some(self.dice.below(600) as usize),
            3..9 => self.request_comes(process),
            9..14 => self.request_ends(process),
            14 => {}
            _ => self.disk_works(process),
        }
        if self.is_killed() || self.dice.one_in(30) {
            self.disk.restart(self.dice.one_in(2));
            self.now += self.dice.below(1_500_000) as Micros;
            if self.dice.one_in(4) {
                self.ahead += self.clock_steps[self.dice.below(4) as usize];
                // By that clock they may be over: what a start then may say is that it does not know.
                self.requests.values_mut().for_each(|request| request.owed = None);
            }
            *process = self.start(process.start + 1);
        } else if process.store.is_none() {
            self.open(process);
        }
        self.senders_ask(process)
    }
}
