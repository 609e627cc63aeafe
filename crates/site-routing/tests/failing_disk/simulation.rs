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

type OutcomeWithResponse = Outcome<Vec<u8>>;

const OUTCOME_LOG: u32 = 6;
const PROMISES: u32 = 7;
const BOOT: BootId = BootId([7; 16]);
const LIMITS: Limits =
    Limits { max_segment_bytes: 2_000, max_batch_bytes: 10_000, max_live_bytes: 100_000, max_log_ratio: 2 };
const CONFIRMATION_TIMEOUT: Micros = 250_000;
const MAX_PENDING_WRITES: usize = 8;
/// How long a record is kept beyond its request's deadline, as the gateway does.
const QUERY_GRACE: Micros = 5_000_000;
/// How the wall clock may step forward between two starts.
const FORWARD_CLOCK_STEPS: [Micros; 4] = [2_000_000, 4_900_000, 5_100_000, 3_600_000_000];

/// What the gateway does wrong, to show that the checker finds it.
#[derive(Clone, Copy, PartialEq)]
pub enum Bug {
    None,
    /// A request that the disk refuses goes on although a promise holds.
    IgnoresPromise,
    /// Requests and outcomes go on before they are confirmed.
    SkipsConfirmation,
    /// Whether a promise was over is judged by the wall clock alone.
    TrustsWallClock,
}

/// What a write is for.
#[derive(Clone, Copy)]
enum WritePurpose {
    Acceptance(u64),
    Outcome(u64),
    RecordingPromise,
    /// Nobody waits for it any more.
    Abandoned,
}

/// The checker's: what truly became of a request, and what a later incarnation owes its sender.
struct TrackedRequest {
    incarnation: u64,
    /// Until when its sender may ask, in real time.
    deadline: Micros,
    ran: bool,
    outcome: Option<OutcomeWithResponse>,
    /// What was confirmed last; a start under another clock may have found it expired.
    confirmed: Option<OutcomeWithResponse>,
}

/// One incarnation of the gateway.
pub struct GatewayProcess {
    incarnation: u64,
    store: Option<Store<FailingDisk>>,
    previous: Option<PreviousIncarnations<Vec<u8>>>,
    breaker: DiskCircuitBreaker,
    promise: RecordingPromise,
    pending_writes: VecDeque<(Batch, WritePurpose)>,
}

pub struct Simulation {
    pub disk: FailingDisk,
    rng: Dice,
    bug: Bug,
    /// Real time, and by how much the wall clock is ahead of it.
    now: Micros,
    wall_clock_offset: Micros,
    pub wall_clock_steps: [Micros; 4],
    /// Whether promises end by a clock that does not step, beside the wall clock.
    pub has_boot_clock: bool,
    requests: BTreeMap<u64, TrackedRequest>,
    /// Answers of later starts: never taken, known, unknown.
    pub answers: [u32; 3],
}

fn origin() -> Origin {
    Origin { site: "north".to_owned(), instance: "n1".to_owned(), incarnation: 9 }
}

impl Simulation {
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

    fn clock(&self) -> Micros {
        self.now + self.wall_clock_offset
    }

    /// The time by which promises end.
    fn promise_clock(&self) -> Micros {
        if self.has_boot_clock { self.now } else { self.clock() }
    }

    pub fn start_process(&mut self, incarnation: u64) -> GatewayProcess {
        let scope = if self.has_boot_clock { PromiseScope::Timed } else { PromiseScope::Incarnation };
        let (breaker, promise) =
            (DiskCircuitBreaker::new(CONFIRMATION_TIMEOUT, MAX_PENDING_WRITES), RecordingPromise::new(scope));
        let (store, previous, pending_writes) = (None, None, VecDeque::new());
        let mut process = GatewayProcess { incarnation, store, previous, breaker, promise, pending_writes };
        self.open_store(&mut process);
        process
    }

    /// Reading may do where writing does not.
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
            let key = decode_key(name).expect("a key");
            previous.add_record(key.incarnation, key.origin, key.number, decode_outcome(outcome));
        }
        let mut promises = StoredPromises::default();
        for (key, value) in snapshot.namespace_entries(PROMISES) {
            let (incarnation, record) = decode_promise(key, value).expect("a promise");
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

    fn record_execution(&mut self, number: u64, ran: bool) {
        self.requests.entry(number).and_modify(|request| request.ran |= ran);
    }

    /// One of those that run comes to its outcome.
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

    fn set_confirmed(&mut self, number: u64, confirmed: Option<OutcomeWithResponse>) {
        self.requests.entry(number).and_modify(|request| request.confirmed = confirmed);
    }

    /// The disk's thread writes what waits longest; after a failure all is written anew first.
    fn execute_next_write(&mut self, process: &mut GatewayProcess) {
        let Some((batch, purpose)) = process.pending_writes.pop_front() else { return };
        let Some(store) = &mut process.store else { return };
        let healed = !store.has_failed() || store.heal().is_ok();
        let committed = healed && store.commit(self.now + self.wall_clock_offset, vec![batch]).is_ok();
        if committed && store.wants_compaction() {
            // It failing is known by the next write.
            let _ = store.compact();
        }
        // A process that is killed does nothing more, whatever it had learnt.
        if self.is_killed() {
            return;
        }
        match committed {
            true => process.breaker.write_confirmed(self.now + self.wall_clock_offset),
            false => process.breaker.write_failed(self.now + self.wall_clock_offset),
        }
        match purpose {
            WritePurpose::RecordingPromise => process.promise.resolve_pending(),
            // One that was not kept is rejected: it never runs.
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

    fn is_killed(&self) -> bool {
        self.disk.state().left == Some(0)
    }

    /// Senders ask this start what became of their requests to earlier ones.
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
                let facts = format!("ran {ran}, outcome {outcome:?}, owed {confirmed:?}");
                return Err(format!(
                    "start {} says {answer:?} of {number} at {incarnation}: {facts}",
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
                // By that clock they may be over: what a start then may say is that it does not know.
                self.requests.values_mut().for_each(|request| request.confirmed = None);
            }
            *process = self.start_process(process.incarnation + 1);
        } else if process.store.is_none() {
            self.open_store(process);
        }
        self.check_answers(process)
    }
}
