//! Simulation of a gateway's outcome log on a failing disk, with a checker that compares the answers of each
//! incarnation with what really happened to the requests to earlier ones. The gateway's process is killed and
//! started again at random.

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

/// An outcome with the bytes of the response, if the request was served.
type OutcomeWithResponse = Outcome<Vec<u8>>;

/// Store namespace of the requests' records.
const OUTCOME_LOG: u32 = 6;
/// Store namespace of the promises' records.
const PROMISES: u32 = 7;
/// The boot that all incarnations run in.
const BOOT: BootId = BootId([7; 16]);
const LIMITS: Limits =
    Limits { max_segment_bytes: 2_000, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 };
/// Time without a confirmation after which the circuit breaker treats a write as failed, in microseconds.
const CONFIRMATION_TIMEOUT: Micros = 250_000;
/// Maximum number of writes that wait for the disk.
const MAX_PENDING_WRITES: usize = 8;
/// How long a record is kept after its request's deadline, in microseconds; the same as in the gateway.
const QUERY_GRACE: Micros = 5_000_000;
/// Amounts by which the wall clock may be set forward between two incarnations, in microseconds.
const FORWARD_CLOCK_STEPS: [Micros; 4] = [2_000_000, 4_900_000, 5_100_000, 3_600_000_000];

/// A bug injected into the gateway, to show that the checker detects it.
#[derive(Clone, Copy, PartialEq)]
pub enum Bug {
    /// The gateway works correctly.
    None,
    /// A request whose record the disk does not accept runs although a promise is in force.
    IgnoresPromise,
    /// Requests run, and outcomes are sent, before their records are confirmed.
    SkipsConfirmation,
    /// A later incarnation uses the wall clock alone to decide whether a promise had ended.
    TrustsWallClock,
}

/// What a write is for. Numbers are those of requests.
#[derive(Clone, Copy)]
enum WritePurpose {
    /// Records that a request was accepted.
    Acceptance(u64),
    /// Records the outcome of a request.
    Outcome(u64),
    /// Stores a recording promise.
    RecordingPromise,
    /// Nothing waits for the write any more.
    Abandoned,
}

/// The checker's knowledge of a request: what really happened to it, and what later incarnations must still
/// know.
struct TrackedRequest {
    /// The incarnation that the request was sent to.
    incarnation: u64,
    /// Until when the request's sender may ask about it, in microseconds of real time.
    deadline: Micros,
    /// Whether the request started to run.
    ran: bool,
    /// How the request ended; `None` while it has not ended.
    outcome: Option<OutcomeWithResponse>,
    /// The outcome in the last record that was confirmed. `None` if there is none, or if the wall clock has
    /// stepped since, so that a later incarnation may have found the record expired.
    confirmed: Option<OutcomeWithResponse>,
}

/// The gateway's process in one incarnation.
pub struct GatewayProcess {
    incarnation: u64,
    /// The store; `None` while it cannot be opened for writing.
    store: Option<Store<FailingDisk>>,
    /// What previous incarnations left on disk; `None` while it could not be read.
    previous: Option<PreviousIncarnations<Vec<u8>>>,
    breaker: DiskCircuitBreaker,
    promise: RecordingPromise,
    /// Writes that the disk has not executed yet, oldest first.
    pending_writes: VecDeque<(Batch, WritePurpose)>,
}

/// A gateway's disk and clocks, and the requests that were sent to all of its incarnations.
pub struct Simulation {
    /// The disk, which outlives the gateway's processes.
    pub disk: FailingDisk,
    rng: Dice,
    bug: Bug,
    /// The real time, in microseconds.
    now: Micros,
    /// By how much the wall clock is ahead of the real time, in microseconds; negative if it is behind.
    wall_clock_offset: Micros,
    /// The steps of the wall clock, in microseconds, one of which is chosen when the clock is changed.
    pub wall_clock_steps: [Micros; 4],
    /// Whether promises are timed on a clock that never steps, besides the wall clock.
    pub has_boot_clock: bool,
    /// All requests by their number.
    requests: BTreeMap<u64, TrackedRequest>,
    /// Number of answers of later incarnations by kind: never accepted, known, unknown.
    pub answers: [u32; 3],
}

/// Returns the sender of all requests.
fn origin() -> Origin {
    Origin { site: "north".to_owned(), instance: "n1".to_owned(), incarnation: 9 }
}

impl Simulation {
    /// Creates a simulation without a process. The seed determines all of its random choices.
    pub fn new(seed: u64, bug: Bug) -> Simulation {
        let (disk, rng, now) = (FailingDisk::new(seed), Dice(!seed), 1_000_000_000_000_000);
        let (wall_clock_offset, wall_clock_steps, requests) = (0, FORWARD_CLOCK_STEPS, BTreeMap::new());
        let has_boot_clock = false;
        Simulation {
            disk,
            rng,
            bug,
            now,
            wall_clock_offset,
            wall_clock_steps,
            has_boot_clock,
            requests,
            answers: [0; 3],
        }
    }

    /// Returns the reading of the wall clock.
    fn clock(&self) -> Micros {
        self.now + self.wall_clock_offset
    }

    /// Returns the reading of the clock that promises are timed on.
    fn promise_clock(&self) -> Micros {
        if self.has_boot_clock { self.now } else { self.clock() }
    }

    /// Starts a process of the gateway as the given incarnation.
    pub fn start_process(&mut self, incarnation: u64) -> GatewayProcess {
        let scope = if self.has_boot_clock { PromiseScope::Timed } else { PromiseScope::Incarnation };
        let (breaker, promise) =
            (DiskCircuitBreaker::new(CONFIRMATION_TIMEOUT, MAX_PENDING_WRITES), RecordingPromise::new(scope));
        let (store, previous, pending_writes) = (None, None, VecDeque::new());
        let mut process = GatewayProcess { incarnation, store, previous, breaker, promise, pending_writes };
        self.open_store(&mut process);
        process
    }

    /// Opens the store, and restores what previous incarnations left there unless that was done before. If
    /// the store cannot be opened for writing, it may still be readable.
    fn open_store(&mut self, process: &mut GatewayProcess) {
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
            let key = decode_key(name).expect("a valid key of a request record");
            previous.add_record(key.incarnation, key.origin, key.number, decode_outcome(outcome));
        }
        let mut promises = StoredPromises::default();
        for (key, value) in snapshot.namespace_entries(PROMISES) {
            let (incarnation, record) = decode_promise(key, value).expect("a valid promise record");
            promises.add(incarnation, record);
            if let PromiseRecord::Until(until) = record
                && self.bug == Bug::TrustsWallClock
            {
                previous.add_promise(self.clock(), incarnation, until);
            }
        }
        let boot_time = self.has_boot_clock.then_some(BootInstant { boot: BOOT, at: self.now });
        for (incarnation, until) in promises.kept(boot_time) {
            previous.add_promise(self.clock(), incarnation, until);
        }
        process.previous = Some(previous);
        process.breaker = DiskCircuitBreaker::new(CONFIRMATION_TIMEOUT, MAX_PENDING_WRITES);
    }

    /// Hands a write to the disk's thread. Returns false if the circuit breaker or the queue does not admit
    /// it.
    fn queue_write(&self, process: &mut GatewayProcess, batch: Batch, purpose: WritePurpose) -> bool {
        if !process.breaker.admit_write(self.clock(), true) {
            return false;
        }
        if process.store.is_none() || process.pending_writes.len() >= MAX_PENDING_WRITES {
            process.breaker.write_failed(self.clock());
            return false;
        }
        process.pending_writes.push_back((batch, purpose));
        true
    }

    /// Makes and stores the next promise if one is due, unless the circuit breaker is open.
    fn renew_promise(&self, process: &mut GatewayProcess) {
        let is_backing_off =
            matches!(process.breaker.state(), DiskState::Unavailable { until } if self.clock() < until);
        if !is_backing_off && let Some(end) = process.promise.renew(self.promise_clock()) {
            let until = end - self.promise_clock() + self.clock();
            let (mut batch, expires_at) = (Batch::default(), until + 3_600_000_000);
            let end = match self.has_boot_clock {
                true => PromiseEnd::After(BootInstant { boot: BOOT, at: end }),
                false => PromiseEnd::WithIncarnation,
            };
            for record in [PromiseRecord::Until(until), PromiseRecord::End(end)] {
                let StoredPair { key, value } = encode_promise(process.incarnation, record);
                batch.put(PROMISES, &key, &value, Some(expires_at));
            }
            if !self.queue_write(process, batch, WritePurpose::RecordingPromise) {
                process.promise.resolve_pending();
            }
        }
    }

    /// Queues the record of a request's outcome. Returns false if the write is not admitted.
    fn queue_record(
        &self,
        process: &mut GatewayProcess,
        number: u64,
        outcome: &OutcomeWithResponse,
        purpose: WritePurpose,
    ) -> bool {
        let expires_at = self.requests[&number].deadline + self.wall_clock_offset + QUERY_GRACE;
        let mut batch = Batch::default();
        let outcome = encode_outcome(&outcome.as_ref().map(|bytes| &bytes[..]));
        batch.put(
            OUTCOME_LOG,
            &encode_key(process.incarnation, &origin(), number),
            &outcome,
            Some(expires_at),
        );
        self.queue_write(process, batch, purpose)
    }

    /// A request arrives. It is accepted with a record if the disk admits one, and without a record only if
    /// no promise is in force; otherwise it is rejected.
    fn receive_request(&mut self, process: &mut GatewayProcess) {
        let number = self.requests.len() as u64;
        let deadline = self.now + 100_000 + self.rng.below(6_000_000) as Micros;
        let request = TrackedRequest {
            incarnation: process.incarnation,
            deadline,
            ran: false,
            outcome: None,
            confirmed: None,
        };
        self.requests.insert(number, request);
        if self.queue_record(process, number, &Outcome::InFlight, WritePurpose::Acceptance(number)) {
            self.record_execution(number, self.bug == Bug::SkipsConfirmation);
        } else if process.promise.permits_unrecorded(self.promise_clock()) {
            let until = deadline - self.now + self.promise_clock() + QUERY_GRACE;
            process.promise.accepted_unrecorded(until);
            self.record_execution(number, true);
        } else {
            self.record_execution(number, self.bug == Bug::IgnoresPromise);
        }
    }

    /// Notes that a request started to run, if `ran` is true.
    fn record_execution(&mut self, number: u64, ran: bool) {
        self.requests.entry(number).and_modify(|request| request.ran |= ran);
    }

    /// Ends a request that is running in this process, if there is one, with a random outcome.
    fn finish_request(&mut self, process: &mut GatewayProcess) {
        let is_running = |request: &TrackedRequest| {
            request.incarnation == process.incarnation && request.ran && request.outcome.is_none()
        };
        let Some(number) =
            self.requests.iter().find(|(_, request)| is_running(request)).map(|(&number, _)| number)
        else {
            return;
        };
        let outcome = match self.rng.below(3) {
            0 => Outcome::Rejected { retry_after: self.rng.below(9) as Micros },
            1 => Outcome::Failed,
            _ => Outcome::Served(number.to_be_bytes().to_vec()),
        };
        self.requests.entry(number).and_modify(|request| request.outcome = Some(outcome.clone()));
        let queued = self.queue_record(process, number, &outcome, WritePurpose::Outcome(number));
        if queued && self.bug == Bug::SkipsConfirmation {
            self.set_confirmed(number, Some(outcome));
        }
    }

    /// Sets the outcome that later incarnations must know.
    fn set_confirmed(&mut self, number: u64, confirmed: Option<OutcomeWithResponse>) {
        self.requests.entry(number).and_modify(|request| request.confirmed = confirmed);
    }

    /// The disk's thread executes the oldest pending write. After a failed write it first rewrites all
    /// confirmed data.
    fn execute_next_write(&mut self, process: &mut GatewayProcess) {
        let Some((batch, purpose)) = process.pending_writes.pop_front() else { return };
        let Some(store) = &mut process.store else { return };
        let healed = !store.has_failed() || store.heal().is_ok();
        let committed = healed && store.commit(self.now + self.wall_clock_offset, vec![batch]).is_ok();
        if committed && store.wants_compaction() {
            // If the compaction fails, the next write finds out.
            let _ = store.compact();
        }
        // A process that was killed during the write does not act on its result.
        if self.is_killed() {
            return;
        }
        match committed {
            true => process.breaker.write_confirmed(self.now + self.wall_clock_offset),
            false => process.breaker.write_failed(self.now + self.wall_clock_offset),
        }
        match purpose {
            WritePurpose::RecordingPromise => process.promise.resolve_pending(),
            // A request whose record was not written is rejected and never runs.
            WritePurpose::Acceptance(number) if committed => {
                self.record_execution(number, true);
                self.set_confirmed(number, Some(Outcome::InFlight));
            }
            WritePurpose::Outcome(number) if committed => {
                let outcome = self.requests[&number].outcome.clone();
                self.set_confirmed(number, outcome);
            }
            _ => {}
        }
    }

    /// Stops waiting for all pending writes if the oldest one has timed out.
    fn abandon_slow_writes(&mut self, process: &mut GatewayProcess) {
        if process.breaker.check_timeout(self.clock()) {
            for (_, purpose) in &mut process.pending_writes {
                if matches!(
                    std::mem::replace(purpose, WritePurpose::Abandoned),
                    WritePurpose::RecordingPromise
                ) {
                    process.promise.resolve_pending();
                }
            }
        }
    }

    /// Returns whether the process was killed by the disk's limit on bytes and calls.
    fn is_killed(&self) -> bool {
        self.disk.state().left == Some(0)
    }

    /// Asks the process about all requests that were sent to earlier incarnations and are before their
    /// deadline. Returns a description of the first untrue answer as an error.
    fn check_answers(&mut self, process: &GatewayProcess) -> Result<(), String> {
        for (&number, request) in &self.requests {
            if request.incarnation == process.incarnation || request.deadline <= self.now {
                continue;
            }
            let answer = match &process.previous {
                Some(previous) => previous.query(&origin(), number, request.incarnation),
                None => Outcome::Unknown,
            };
            let is_true = match &answer {
                Outcome::NeverAccepted => !request.ran,
                Outcome::InFlight => false,
                Outcome::Failed => {
                    !matches!(request.confirmed, Some(Outcome::Served(_) | Outcome::Rejected { .. }))
                }
                Outcome::Unknown => process.previous.is_none() || request.confirmed.is_none(),
                known => request.outcome.as_ref() == Some(known),
            };
            if !is_true {
                let TrackedRequest { incarnation, ran, outcome, confirmed, .. } = request;
                let facts = format!("ran: {ran}, outcome: {outcome:?}, confirmed: {confirmed:?}");
                return Err(format!(
                    "incarnation {} answered {answer:?} about request {number} to {incarnation}: {facts}",
                    process.incarnation
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

    /// Advances the time and takes one random step, which may fail the disk, kill the process or change the
    /// wall clock. Then checks the answers of the running process, and returns a description of the first
    /// untrue one as an error.
    pub fn step(&mut self, process: &mut GatewayProcess) -> Result<(), String> {
        self.now += self.rng.below(200_000) as Micros;
        self.abandon_slow_writes(process);
        self.renew_promise(process);
        match self.rng.below(24) {
            0 => {
                let one_in = 1 + self.rng.below(6);
                self.disk.toggle_failing(one_in);
            }
            1 => {
                let room = self.rng.below(300) as usize;
                self.disk.toggle_room(room);
            }
            2 => self.disk.state().left = Some(self.rng.below(600) as usize),
            3..9 => self.receive_request(process),
            9..14 => self.finish_request(process),
            14 => {}
            _ => self.execute_next_write(process),
        }
        if self.is_killed() || self.rng.one_in(30) {
            self.disk.restart(self.rng.one_in(2));
            self.now += self.rng.below(1_500_000) as Micros;
            if self.rng.one_in(4) {
                self.wall_clock_offset += self.wall_clock_steps[self.rng.below(4) as usize];
                // By the changed clock records may have expired, so a later incarnation may answer that it
                // does not know.
                self.requests.values_mut().for_each(|request| request.confirmed = None);
            }
            *process = self.start_process(process.incarnation + 1);
        } else if process.store.is_none() {
            self.open_store(process);
        }
        self.check_answers(process)
    }
}
