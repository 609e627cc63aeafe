//! The gateway's outcome log on a disk: what became of non-idempotent remote requests, so that a later start can tell.

use std::collections::VecDeque;
use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_site_routing::previous_incarnations::{key, read_key, read_value, value};
use aldermill_site_routing::{Origin, Outcome, PreviousIncarnations, RecordingPromise};
use aldermill_store::{Batch, Keeping, State};
use aldermill_warm_start::namespace;
use tokio::sync::mpsc;

use crate::persistence::DataDirectory;

/// How long a remote request, and an outcome, wait for the disk before they go on without it.
const LONGEST_WAIT: Micros = 250_000;
/// How long a promise is kept after it has run out.
const PROMISE_KEPT: Micros = 3_600_000_000;
/// Records that may wait for the disk.
const MAX_WAITING: usize = 512;

/// Something that waits until its record is on the disk.
pub type Token = u64;

/// What a write is for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Wait {
    Record(Token),
    RecordingPromise,
    /// Nobody waits for it any more.
    Over,
}

/// How a remote request goes on once it was taken.
pub enum Taking {
    /// Goes on when its record is there.
    Waits(Token),
    /// Nothing is promised any more: it goes on, and will be unknown to a later start.
    Without,
    /// The disk takes nothing, and it was promised that nothing goes on without it.
    Refused,
}

/// Records of remote requests, and the promise that none goes on without its record.
pub struct OutcomeLog {
    folder: Rc<DataDirectory>,
    start: u64,
    keeping: Keeping,
    promise: RecordingPromise,
    /// What earlier starts took; `None` while the folder could not be read.
    earlier: Option<PreviousIncarnations<Rc<Vec<u8>>>>,
    next: Token,
    /// Handed over and not confirmed, the oldest first.
    waiting: VecDeque<Wait>,
    told: mpsc::Sender<bool>,
}

impl OutcomeLog {
    /// What earlier starts kept is read from the folder, once that can be done; `told` hears of each write, in
    /// their order.
    pub fn open(folder: Rc<DataDirectory>, start: u64, now: Micros, told: mpsc::Sender<bool>) -> OutcomeLog {
        let (keeping, promise) = (Keeping::start(LONGEST_WAIT, MAX_WAITING), RecordingPromise::default());
        let waiting = VecDeque::new();
        let mut outcome_log =
            OutcomeLog { folder, start, keeping, promise, earlier: None, next: 0, waiting, told };
        outcome_log.read(now);
        outcome_log
    }

    /// Looks whether the folder can be read by now.
    fn read(&mut self, now: Micros) {
        if self.earlier.is_some() {
            return;
        }
        let Some(records) = self.folder.records() else { return };
        let mut earlier = PreviousIncarnations::default();
        for (namespace, key, value) in records {
            match *namespace {
                namespace::OUTCOME_LOG => read_record(&mut earlier, key, value),
                namespace::OUTCOME_LOG_PROMISES => read_promise(&mut earlier, now, key, value),
                _ => {}
            }
        }
        self.earlier = Some(earlier);
        // What failed before the folder was there says nothing of it now.
        self.keeping = Keeping::start(LONGEST_WAIT, MAX_WAITING);
    }

    /// What became of a request that an earlier start may have taken. Nothing is known of it while the folder
    /// cannot be read.
    pub fn ask(&mut self, now: Micros, origin: &Origin, number: u64, start: u64) -> Outcome<Rc<Vec<u8>>> {
        self.read(now);
        self.earlier.as_ref().map_or(Outcome::Unknown, |earlier| earlier.ask(origin, number, start))
    }

    /// Records and starts that were read back.
    pub fn earlier(&self) -> (usize, usize) {
        self.earlier.as_ref().map_or((0, 0), PreviousIncarnations::len)
    }

    /// Another promise, where the last one runs out.
    pub fn renew(&mut self, now: Micros) {
        self.read(now);
        if !matches!(self.keeping.state(), State::Without { until } if now < until)
            && let Some(until) = self.promise.renew(now)
        {
            let mut batch = Batch::default();
            let over = until.saturating_add(PROMISE_KEPT);
            batch.put(
                namespace::OUTCOME_LOG_PROMISES,
                &self.start.to_be_bytes(),
                &until.to_be_bytes(),
                Some(over),
            );
            if !self.hand_over(now, batch, Wait::RecordingPromise) {
                self.promise.settled();
            }
        }
    }

    /// Records that a remote request was taken. `until` is when nobody asks about it any more.
    pub fn take(&mut self, now: Micros, origin: &Origin, number: u64, until: Micros) -> Taking {
        match self.settle(now, origin, number, until, &Outcome::InFlight) {
            Some(token) => Taking::Waits(token),
            None if self.promise.lets_go_without(now) => {
                self.promise.took_without(until);
                Taking::Without
            }
            None => Taking::Refused,
        }
    }

    /// An outcome, which leaves when its record is there; `None` is at once.
    pub fn settle(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        until: Micros,
        fate: &Outcome<&[u8]>,
    ) -> Option<Token> {
        let mut batch = Batch::default();
        batch.put(namespace::OUTCOME_LOG, &key(self.start, origin, number), &value(fate), Some(until));
        let token = self.next;
        self.next += 1;
        self.hand_over(now, batch, Wait::Record(token)).then_some(token)
    }

    fn hand_over(&mut self, now: Micros, batch: Batch, wait: Wait) -> bool {
        if !self.keeping.hands_over(now, true) {
            return false;
        }
        if !self.folder.write(batch, &self.told) {
            self.keeping.failed(now);
            return false;
        }
        self.waiting.push_back(wait);
        true
    }

    /// The oldest write was confirmed, or was not: what waited for it goes on, or does not.
    pub fn told(&mut self, now: Micros, well: bool) -> Option<(Token, bool)> {
        let wait = self.waiting.pop_front()?;
        if well {
            self.keeping.confirmed(now);
        } else {
            self.keeping.failed(now);
        }
        match wait {
            Wait::Record(token) => return Some((token, well)),
            Wait::RecordingPromise => self.promise.settled(),
            Wait::Over => {}
        }
        None
    }

    /// What has waited too long goes on as not kept, though it may be on the disk yet.
    pub fn given_up(&mut self, now: Micros) -> Vec<Token> {
        if !self.keeping.gives_up(now) {
            return Vec::new();
        }
        let mut tokens = Vec::new();
        for wait in &mut self.waiting {
            match std::mem::replace(wait, Wait::Over) {
                Wait::Record(token) => tokens.push(token),
                Wait::RecordingPromise => self.promise.settled(),
                Wait::Over => {}
            }
        }
        tokens
    }

    /// When waiting records have waited too long, on the router's clock.
    pub fn due(&self) -> Option<Micros> {
        self.keeping.due()
    }

    /// Whether the disk takes nothing for now.
    pub fn is_without(&self) -> bool {
        matches!(self.keeping.state(), State::Without { .. })
    }
}

fn read_record(earlier: &mut PreviousIncarnations<Rc<Vec<u8>>>, key: &[u8], value: &[u8]) {
    if let Some((start, origin, number)) = read_key(key) {
        earlier.record(start, origin, number, read_value(value).map(Rc::new));
    }
}

/// A promise: the start that gave it, and until when it holds.
fn read_promise(earlier: &mut PreviousIncarnations<Rc<Vec<u8>>>, now: Micros, key: &[u8], value: &[u8]) {
    let number = |bytes: &[u8]| bytes.try_into().ok().map(i64::from_be_bytes);
    if let (Some(start), Some(until)) = (number(key), number(value)) {
        earlier.promised(now, start as u64, until);
    }
}
