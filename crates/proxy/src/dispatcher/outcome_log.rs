//! The gateway's outcome log on the disk: what became of non-idempotent remote requests, so that a later start can answer
//! peers that ask about them.

use std::collections::VecDeque;
use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_site_routing::previous_incarnations::{key, read_key, read_value, value};
use aldermill_site_routing::{Origin, Outcome, PreviousIncarnations, RecordingPromise};
use aldermill_store::{Batch, Keeping, State};
use aldermill_warm_start::namespace;
use tokio::sync::mpsc;

use crate::persistence::DataDirectory;

/// How long a remote request, and an outcome, wait for the disk before they go on without it, in microseconds.
const MAX_WAIT: Micros = 250_000;
/// How long a promise stays on the disk after it has run out, in microseconds.
const PROMISE_RETENTION: Micros = 3_600_000_000;
/// How many records may wait for the disk at once.
const MAX_WAITING: usize = 512;

/// Names something that waits until its record is on the disk.
pub type Token = u64;

/// What a write to the disk is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PendingWrite {
    /// A record that something waits for.
    Record(Token),
    /// A promise that nothing runs without a record.
    RecordingPromise,
    /// Nobody waits for it any more.
    Abandoned,
}

/// Whether a non-idempotent remote request may run.
pub enum Admission {
    /// Once its record is on the disk.
    AfterRecord(Token),
    /// At once and without a record, as no promise is in force: a later start will know nothing of it.
    WithoutRecord,
    /// Not at all: the disk takes nothing, and it was promised that nothing runs without a record.
    Rejected,
}

/// A record whose write has ended.
pub struct RecordWritten {
    /// What waited for it.
    pub token: Token,
    /// Whether it is on the disk.
    pub is_on_disk: bool,
}

/// How much of former starts was read back from the disk.
#[derive(Clone, Copy, Default)]
pub struct ReadBack {
    /// Records of remote requests.
    pub records: usize,
    /// Former starts that they are of.
    pub starts: usize,
}

/// Records of remote requests, and the promise that none runs without its record.
pub struct OutcomeLog {
    directory: Rc<DataDirectory>,
    /// This start of the process.
    incarnation: u64,
    /// Whether the disk takes writes, and how long they may take.
    disk: Keeping,
    promise: RecordingPromise,
    /// What former starts recorded; `None` until the directory can be read.
    former: Option<PreviousIncarnations<Rc<Vec<u8>>>>,
    next_token: Token,
    /// Handed over to the disk and not confirmed, the oldest first.
    pending: VecDeque<PendingWrite>,
    confirmations: mpsc::Sender<bool>,
}

impl OutcomeLog {
    /// The log of this incarnation. What former ones recorded is read from the directory, once that can be done.
    /// `confirmations` gets the result of each write, in their order, to be passed to [`OutcomeLog::write_ended`].
    pub fn open(
        directory: Rc<DataDirectory>,
        incarnation: u64,
        now: Micros,
        confirmations: mpsc::Sender<bool>,
    ) -> OutcomeLog {
        let mut outcome_log = OutcomeLog {
            directory,
            incarnation,
            disk: Keeping::start(MAX_WAIT, MAX_WAITING),
            promise: RecordingPromise::default(),
            former: None,
            next_token: 0,
            pending: VecDeque::new(),
            confirmations,
        };
        outcome_log.read_former_records(now);
        outcome_log
    }

    /// Reads what former incarnations recorded, if that was not done yet and the directory can be read by now.
    fn read_former_records(&mut self, now: Micros) {
        if self.former.is_some() {
            return;
        }
        let Some(records) = self.directory.records() else { return };
        let mut former = PreviousIncarnations::default();
        for (namespace, key, value) in records {
            match *namespace {
                namespace::OUTCOME_LOG => read_record(&mut former, key, value),
                namespace::OUTCOME_LOG_PROMISES => read_promise(&mut former, now, key, value),
                _ => {}
            }
        }
        self.former = Some(former);
        // Writes that failed before the directory was open say nothing of the disk as it is now.
        self.disk = Keeping::start(MAX_WAIT, MAX_WAITING);
    }

    /// What became of a request that a former incarnation may have admitted; unknown while the directory cannot be read.
    pub fn outcome(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        incarnation: u64,
    ) -> Outcome<Rc<Vec<u8>>> {
        self.read_former_records(now);
        self.former.as_ref().map_or(Outcome::Unknown, |former| former.ask(origin, number, incarnation))
    }

    /// How much of former incarnations was read back.
    pub fn read_back(&self) -> ReadBack {
        let (records, starts) = self.former.as_ref().map_or((0, 0), PreviousIncarnations::len);
        ReadBack { records, starts }
    }

    /// Writes another promise where the last one runs out soon and the disk takes writes.
    pub fn renew_promise(&mut self, now: Micros) {
        self.read_former_records(now);
        if matches!(self.disk.state(), State::Without { until } if now < until) {
            return;
        }
        let Some(until) = self.promise.renew(now) else { return };
        let mut batch = Batch::default();
        let key = self.incarnation.to_be_bytes();
        let expires_at = until.saturating_add(PROMISE_RETENTION);
        batch.put(namespace::OUTCOME_LOG_PROMISES, &key, &until.to_be_bytes(), Some(expires_at));
        if !self.hand_over(now, batch, PendingWrite::RecordingPromise) {
            self.promise.settled();
        }
    }

    /// Records that a remote request is about to run, and says whether it may. `until` is when nobody asks about it any
    /// more, on the router's clock.
    pub fn admit(&mut self, now: Micros, origin: &Origin, number: u64, until: Micros) -> Admission {
        match self.record_outcome(now, origin, number, until, &Outcome::InFlight) {
            Some(token) => Admission::AfterRecord(token),
            None if self.promise.lets_go_without(now) => {
                self.promise.took_without(until);
                Admission::WithoutRecord
            }
            None => Admission::Rejected,
        }
    }

    /// Records an outcome, which is sent once its record is on the disk; `None` where the disk takes nothing, and it is
    /// sent at once.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        until: Micros,
        outcome: &Outcome<&[u8]>,
    ) -> Option<Token> {
        let mut batch = Batch::default();
        let key = key(self.incarnation, origin, number);
        batch.put(namespace::OUTCOME_LOG, &key, &value(outcome), Some(until));
        let token = self.next_token;
        self.next_token += 1;
        self.hand_over(now, batch, PendingWrite::Record(token)).then_some(token)
    }

    /// Hands a write to the disk; `false` where that takes nothing.
    fn hand_over(&mut self, now: Micros, batch: Batch, write: PendingWrite) -> bool {
        if !self.disk.hands_over(now, true) {
            return false;
        }
        if !self.directory.write(batch, &self.confirmations) {
            self.disk.failed(now);
            return false;
        }
        self.pending.push_back(write);
        true
    }

    /// The oldest pending write has ended, and is on the disk or not. Returns the record that something waited for.
    pub fn write_ended(&mut self, now: Micros, is_on_disk: bool) -> Option<RecordWritten> {
        let write = self.pending.pop_front()?;
        if is_on_disk {
            self.disk.confirmed(now);
        } else {
            self.disk.failed(now);
        }
        match write {
            PendingWrite::Record(token) => return Some(RecordWritten { token, is_on_disk }),
            PendingWrite::RecordingPromise => self.promise.settled(),
            PendingWrite::Abandoned => {}
        }
        None
    }

    /// Where the disk is too slow, gives up waiting for all that is pending. What waits for these records goes on as if
    /// they were not on the disk, though they may get there yet.
    pub fn give_up_overdue(&mut self, now: Micros) -> Vec<Token> {
        if !self.disk.gives_up(now) {
            return Vec::new();
        }
        let mut tokens = Vec::new();
        for write in &mut self.pending {
            match std::mem::replace(write, PendingWrite::Abandoned) {
                PendingWrite::Record(token) => tokens.push(token),
                PendingWrite::RecordingPromise => self.promise.settled(),
                PendingWrite::Abandoned => {}
            }
        }
        tokens
    }

    /// When [`OutcomeLog::give_up_overdue`] is to be called, on the router's clock.
    pub fn due(&self) -> Option<Micros> {
        self.disk.due()
    }

    /// Whether the disk takes nothing for now.
    pub fn is_disk_unavailable(&self) -> bool {
        matches!(self.disk.state(), State::Without { .. })
    }
}

fn read_record(former: &mut PreviousIncarnations<Rc<Vec<u8>>>, key: &[u8], value: &[u8]) {
    if let Some((incarnation, origin, number)) = read_key(key) {
        former.record(incarnation, origin, number, read_value(value).map(Rc::new));
    }
}

/// A promise: the incarnation that gave it, and until when it holds.
fn read_promise(former: &mut PreviousIncarnations<Rc<Vec<u8>>>, now: Micros, key: &[u8], value: &[u8]) {
    let number = |bytes: &[u8]| bytes.try_into().ok().map(i64::from_be_bytes);
    if let (Some(incarnation), Some(until)) = (number(key), number(value)) {
        former.promised(now, incarnation as u64, until);
    }
}
