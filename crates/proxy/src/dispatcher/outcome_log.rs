//! The gateway's outcome log on disk: what became of non-idempotent remote requests, for a later incarnation to tell.
//!
//! Two logs hold outcomes, and each has one owner. This one, [`OutcomeLog`], owns the records on disk: it writes one when a
//! non-idempotent remote request is accepted and another when the request has ended, decides whether the request may go on
//! before its record is confirmed, and reads what earlier incarnations left, to answer queries that name one of them. It
//! never answers for the running process. That is for `OutcomeTable` of `crates/site-routing`, which the gateway part owns:
//! it holds, in memory alone, all remote requests that this incarnation accepted, whatever their effect, and decides whether
//! another copy is accepted.

use std::collections::VecDeque;
use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_site_routing::records::{
    StoredPair, decode_key, decode_outcome, decode_promise, encode_key, encode_outcome, encode_promise,
};
use aldermill_site_routing::{
    Origin, Outcome, PreviousIncarnations, PromiseEnd, PromiseRecord, PromiseScope, RecordingPromise,
    RestoredCounts, StoredPromises,
};
use aldermill_store::{Batch, DiskCircuitBreaker, DiskState};
use aldermill_warm_start::namespace;
use tokio::sync::mpsc;

use crate::lifecycle::boot_clock::BootClock;
use crate::persistence::{DataDirectory, StoredRecord};

/// How long a remote request, and an outcome, wait for the disk before they go on without it, in microseconds.
const WRITE_TIMEOUT: Micros = 250_000;
/// How long a promise is kept after its end, in microseconds: longer than anybody asks about a request under it.
const PROMISE_RETENTION: Micros = 3_600_000_000;
/// How many writes may wait for the disk.
const MAX_UNCONFIRMED_WRITES: usize = 512;

/// Names a record that something waits for.
pub type RecordId = u64;

/// What a write to the disk is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WritePurpose {
    /// Something waits for this record.
    Record(RecordId),
    /// A promise that nothing is accepted without a record.
    Promise,
    /// Nobody waits for it any more.
    Abandoned,
}

/// How a remote request goes on after it was accepted.
pub enum AcceptanceDecision {
    /// It waits until its record is written.
    AwaitRecord(RecordId),
    /// It goes on at once, without a record; no promise holds. A later incarnation will not know of it.
    ProceedUnrecorded,
    /// It is rejected: the disk takes nothing, and a promise holds that nothing goes on without a record.
    Reject,
}

/// A record that something waited for.
pub struct RecordWriteResult {
    /// Which it is.
    pub id: RecordId,
    /// Whether it is on the disk.
    pub is_written: bool,
}

/// Records of remote requests on disk, and the promise that none is accepted without one.
pub struct OutcomeLog {
    directory: Rc<DataDirectory>,
    /// This process's own.
    incarnation: u64,
    /// Whether the disk is trusted with writes for now.
    circuit_breaker: DiskCircuitBreaker,
    promise: RecordingPromise,
    /// By what a promise ends; `None` where the system has no such clock, so that a promise binds this whole incarnation.
    boot_clock: Option<BootClock>,
    /// What earlier incarnations left; `None` while the directory could not be read.
    previous: Option<PreviousIncarnations<Rc<Vec<u8>>>>,
    next_record_id: RecordId,
    /// Writes that were handed over and not confirmed, the oldest first.
    unconfirmed_writes: VecDeque<WritePurpose>,
    /// The directory confirms each write here, in their order.
    confirmations: mpsc::Sender<bool>,
}

impl OutcomeLog {
    /// Opens the log of `incarnation`, and reads what earlier ones left, if the directory can be read yet. `confirmations` is
    /// sent, for each write in their order, whether it succeeded.
    pub fn open(
        directory: Rc<DataDirectory>,
        incarnation: u64,
        now: Micros,
        confirmations: mpsc::Sender<bool>,
    ) -> OutcomeLog {
        let boot_clock = BootClock::open();
        let scope = if boot_clock.is_some() { PromiseScope::Timed } else { PromiseScope::Incarnation };
        let mut outcome_log = OutcomeLog {
            directory,
            incarnation,
            circuit_breaker: DiskCircuitBreaker::new(WRITE_TIMEOUT, MAX_UNCONFIRMED_WRITES),
            promise: RecordingPromise::new(scope),
            boot_clock,
            previous: None,
            next_record_id: 0,
            unconfirmed_writes: VecDeque::new(),
            confirmations,
        };
        outcome_log.load_previous_incarnations(now);
        outcome_log
    }

    /// Reads what earlier incarnations left, once the directory can be read.
    fn load_previous_incarnations(&mut self, now: Micros) {
        if self.previous.is_some() {
            return;
        }
        let Some(records) = self.directory.records() else { return };
        let mut previous = PreviousIncarnations::default();
        let mut promises = StoredPromises::default();
        for StoredRecord { namespace, key, value } in records {
            match *namespace {
                namespace::OUTCOME_LOG => add_stored_record(&mut previous, key, value),
                namespace::OUTCOME_LOG_PROMISES => add_stored_promise(&mut promises, key, value),
                _ => {}
            }
        }
        for (incarnation, until) in promises.kept(self.boot_clock.map(|clock| clock.now())) {
            previous.add_promise(now, incarnation, until);
        }
        self.previous = Some(previous);
        // Writes that failed before the directory was there say nothing about it now.
        self.circuit_breaker = DiskCircuitBreaker::new(WRITE_TIMEOUT, MAX_UNCONFIRMED_WRITES);
    }

    /// What became of a request that was sent to an earlier incarnation. Nothing is known while the directory cannot be
    /// read.
    pub fn query(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        incarnation: u64,
    ) -> Outcome<Rc<Vec<u8>>> {
        self.load_previous_incarnations(now);
        let previous = self.previous.as_ref();
        previous.map_or(Outcome::Unknown, |previous| previous.query(origin, number, incarnation))
    }

    /// How much earlier incarnations left.
    pub fn restored_counts(&self) -> RestoredCounts {
        self.previous.as_ref().map_or_else(RestoredCounts::default, PreviousIncarnations::counts)
    }

    /// Gives another promise where the last one is about to end.
    pub fn renew_promise(&mut self, now: Micros) {
        self.load_previous_incarnations(now);
        if matches!(self.circuit_breaker.state(), DiskState::Unavailable { until } if now < until) {
            return;
        }
        let promise_now = self.promise_clock_now(now);
        let Some(end) = self.promise.renew(promise_now) else { return };
        let until = now + (end - promise_now);
        let batch = self.promise_batch(until, end);
        if !self.submit_write(now, batch, WritePurpose::Promise) {
            self.promise.resolve_pending();
        }
    }

    /// The time by which promises end.
    fn promise_clock_now(&self, now: Micros) -> Micros {
        self.boot_clock.map_or(now, |clock| clock.now().at)
    }

    /// Both records of a promise: until when it holds in Unix time, and its `end` by the time of
    /// [`OutcomeLog::promise_clock_now`].
    fn promise_batch(&self, until: Micros, end: Micros) -> Batch {
        let end =
            self.boot_clock.map_or(PromiseEnd::WithIncarnation, |clock| PromiseEnd::After(clock.at(end)));
        let expires_at = until.saturating_add(PROMISE_RETENTION);
        let mut batch = Batch::default();
        for record in [PromiseRecord::Until(until), PromiseRecord::End(end)] {
            let StoredPair { key, value } = encode_promise(self.incarnation, record);
            batch.put(namespace::OUTCOME_LOG_PROMISES, &key, &value, Some(expires_at));
        }
        batch
    }

    /// Records that a remote request was accepted. After `until` nobody asks about it any more.
    pub fn record_acceptance(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        until: Micros,
    ) -> AcceptanceDecision {
        let promise_now = self.promise_clock_now(now);
        match self.record_outcome(now, origin, number, until, &Outcome::InFlight) {
            Some(id) => AcceptanceDecision::AwaitRecord(id),
            None if self.promise.permits_unrecorded(promise_now) => {
                self.promise.accepted_unrecorded(promise_now + (until - now));
                AcceptanceDecision::ProceedUnrecorded
            }
            None => AcceptanceDecision::Reject,
        }
    }

    /// Records an outcome, which is sent once the record is written. Returns the record's ticket; `None` if the disk takes
    /// nothing, so that the outcome is sent at once.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        until: Micros,
        outcome: &Outcome<&[u8]>,
    ) -> Option<RecordId> {
        let mut batch = Batch::default();
        let key = encode_key(self.incarnation, origin, number);
        batch.put(namespace::OUTCOME_LOG, &key, &encode_outcome(outcome), Some(until));
        let id = self.next_record_id;
        self.next_record_id += 1;
        self.submit_write(now, batch, WritePurpose::Record(id)).then_some(id)
    }

    /// Hands a batch to the disk. Returns whether it was taken.
    fn submit_write(&mut self, now: Micros, batch: Batch, purpose: WritePurpose) -> bool {
        if !self.circuit_breaker.admit_write(now, true) {
            return false;
        }
        if !self.directory.write(batch, &self.confirmations) {
            self.circuit_breaker.write_failed(now);
            return false;
        }
        self.unconfirmed_writes.push_back(purpose);
        true
    }

    /// The oldest unconfirmed write has ended. Returns the record that it was, if something waits for it.
    pub fn write_finished(&mut self, now: Micros, is_written: bool) -> Option<RecordWriteResult> {
        let purpose = self.unconfirmed_writes.pop_front()?;
        if is_written {
            self.circuit_breaker.write_confirmed(now);
        } else {
            self.circuit_breaker.write_failed(now);
        }
        match purpose {
            WritePurpose::Record(id) => return Some(RecordWriteResult { id, is_written }),
            WritePurpose::Promise => self.promise.resolve_pending(),
            WritePurpose::Abandoned => {}
        }
        None
    }

    /// Stops waiting for writes that take too long. Returns the records that something waited for: they count as not
    /// written, though they may still get to the disk.
    pub fn abandon_slow_writes(&mut self, now: Micros) -> Vec<RecordId> {
        if !self.circuit_breaker.check_timeout(now) {
            return Vec::new();
        }
        let mut ids = Vec::new();
        for purpose in &mut self.unconfirmed_writes {
            match std::mem::replace(purpose, WritePurpose::Abandoned) {
                WritePurpose::Record(id) => ids.push(id),
                WritePurpose::Promise => self.promise.resolve_pending(),
                WritePurpose::Abandoned => {}
            }
        }
        ids
    }

    /// When to call [`OutcomeLog::abandon_slow_writes`], on the router's clock.
    pub fn write_deadline(&self) -> Option<Micros> {
        self.circuit_breaker.timeout_at()
    }

    /// Whether the disk takes writes, as far as is known.
    pub fn is_disk_available(&self) -> bool {
        !matches!(self.circuit_breaker.state(), DiskState::Unavailable { .. })
    }
}

fn add_stored_record(previous: &mut PreviousIncarnations<Rc<Vec<u8>>>, key: &[u8], value: &[u8]) {
    if let Some(key) = decode_key(key) {
        let outcome = decode_outcome(value).map(Rc::new);
        previous.add_record(key.incarnation, key.origin, key.number, outcome);
    }
}

fn add_stored_promise(promises: &mut StoredPromises, key: &[u8], value: &[u8]) {
    if let Some((incarnation, record)) = decode_promise(key, value) {
        promises.add(incarnation, record);
    }
}
