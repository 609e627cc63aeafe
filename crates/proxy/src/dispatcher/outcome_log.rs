//! The gateway's outcome log on disk: outcomes of non-idempotent remote requests, kept for later incarnations.
//!
//! Outcomes are kept in two places, each with one owner. [`OutcomeLog`] owns the records on disk: it writes one
//! when a non-idempotent remote request is accepted and another when the request has ended, decides whether the
//! request may proceed before its record is confirmed, and reads the records of earlier incarnations, to answer
//! queries that name one of them. It never answers queries about the running process. Those are answered by
//! `OutcomeTable` of `crates/site-routing`, which the gateway part owns: the table holds, in memory only, all remote
//! requests that this incarnation accepted, whatever their effect, and decides whether another copy is accepted.

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

/// How long a remote request or a response waits for its record to be written, in microseconds. After that the
/// request is rejected, and the response is sent without the record.
const WRITE_TIMEOUT: Micros = 250_000;
/// How long a promise is kept on disk after its end, in microseconds: longer than anybody may query a request that
/// was accepted under it.
const PROMISE_RETENTION: Micros = 3_600_000_000;
/// Maximum number of writes that wait for the disk.
const MAX_UNCONFIRMED_WRITES: usize = 512;

/// Identifies a record that a remote request or a response waits for.
pub type RecordId = u64;

/// Purpose of a write to the disk.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WritePurpose {
    /// The write stores this record, which a request or a response waits for.
    Record(RecordId),
    /// The write stores a promise that no request is accepted without a record.
    Promise,
    /// Nothing waits for the write any more.
    Abandoned,
}

/// How a remote request proceeds, depending on whether its acceptance can be recorded.
pub enum AcceptanceDecision {
    /// The request waits until this record is written.
    AwaitRecord(RecordId),
    /// The request proceeds at once without a record, as no promise is in force. Later incarnations will not know
    /// of the request.
    ProceedUnrecorded,
    /// The request is rejected: the disk accepts no writes, and a promise is in force that no request is accepted
    /// without a record.
    Reject,
}

/// Result of writing a record that a request or a response waited for.
pub struct RecordWriteResult {
    /// ID of the record.
    pub id: RecordId,
    /// Whether the record is on disk.
    pub is_written: bool,
}

/// Log of remote requests on disk, with the promise that none is accepted without a record.
pub struct OutcomeLog {
    directory: Rc<DataDirectory>,
    /// Incarnation of this process.
    incarnation: u64,
    /// Decides whether the disk is given more writes.
    circuit_breaker: DiskCircuitBreaker,
    promise: RecordingPromise,
    /// Clock by which a promise ends; `None` if the system has no boot clock, so that a promise binds this
    /// incarnation for as long as it runs.
    boot_clock: Option<BootClock>,
    /// Records and promises of earlier incarnations; `None` until the directory has been read.
    previous: Option<PreviousIncarnations<Rc<Vec<u8>>>>,
    next_record_id: RecordId,
    /// Writes that were handed to the directory and are not confirmed yet, oldest first.
    unconfirmed_writes: VecDeque<WritePurpose>,
    /// Takes the directory's confirmations: for each write in order, whether it succeeded.
    confirmations: mpsc::Sender<bool>,
}

impl OutcomeLog {
    /// Opens the log of `incarnation`, and loads the records of earlier incarnations if the directory has already
    /// been read. `confirmations` is sent, for each write in order, whether it succeeded.
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

    /// Loads the records and promises of earlier incarnations, once the directory has been read.
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
        // Writes that failed before the directory was available say nothing about its present state.
        self.circuit_breaker = DiskCircuitBreaker::new(WRITE_TIMEOUT, MAX_UNCONFIRMED_WRITES);
    }

    /// Returns the outcome of a request that was sent to an earlier incarnation; [`Outcome::Unknown`] until the
    /// directory has been read.
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

    /// Returns the counts of what was loaded of earlier incarnations; zeros until the directory has been read.
    pub fn restored_counts(&self) -> RestoredCounts {
        self.previous.as_ref().map_or_else(RestoredCounts::default, PreviousIncarnations::counts)
    }

    /// Makes the next promise and writes it to disk, if the last one is about to end. Does nothing while writes
    /// are suspended after a failure.
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

    /// Returns the current time in microseconds on the clock by which promises end: the boot clock, or `now` if
    /// the system has none.
    fn promise_clock_now(&self, now: Micros) -> Micros {
        self.boot_clock.map_or(now, |clock| clock.now().at)
    }

    /// Returns both records of a promise. `until` is its end in microseconds of Unix time, and `end` is its end on
    /// the clock of [`OutcomeLog::promise_clock_now`].
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

    /// Records that a remote request was accepted, and returns how the request proceeds. After `until` nobody
    /// queries the request any more.
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

    /// Records the outcome of a remote request, whose response is sent once the record is written. After `until`
    /// nobody queries the request any more. Returns the ID of the record, or `None` if the disk accepts no writes, so
    /// that the response is sent at once.
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

    /// Hands a batch to the disk. Returns whether the disk accepts it.
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

    /// Handles the end of the oldest unconfirmed write. Returns its record if a request or a response waits for
    /// it.
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

    /// Stops waiting for all unconfirmed writes if the oldest of them has just timed out. Returns the records that
    /// requests or responses waited for. They count as not written, but may still reach the disk.
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

    /// Returns when [`OutcomeLog::abandon_slow_writes`] is to be called, in microseconds on the router's clock;
    /// `None` while no write is waited for.
    pub fn write_deadline(&self) -> Option<Micros> {
        self.circuit_breaker.timeout_at()
    }

    /// Returns whether the disk accepts writes, as far as is known.
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
