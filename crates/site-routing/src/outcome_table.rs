//! The receiver's account in memory: what became of each request that this process accepted from other gateways.
//!
//! Two logs hold outcomes, and each has one owner. The [`OutcomeTable`] here belongs to the running process: it holds every
//! remote request that this incarnation accepted, decides whether another copy is accepted, and answers queries that name
//! this incarnation. It is lost with the process. The proxy's `dispatcher/outcome_log.rs` owns the log on disk: it holds the
//! non-idempotent requests alone, is only written while the process runs, and is only read by a later incarnation, as
//! [`PreviousIncarnations`](crate::PreviousIncarnations), to answer queries that name this one.
//!
//! A number is accepted once. A query about a number that was never accepted fences it: from then on it never will be, so
//! that the sender may send the request elsewhere. A record is forgotten once nobody can ask about it, by its deadline or
//! by the sender's confirmation; numbers that were forgotten stay fenced by a floor below all later ones.

use std::collections::{BTreeMap, VecDeque};

use crate::{ForwardNumber, Micros};

/// How many replaced incarnations of one sender are remembered. A frame of an older one would have to be on its way for as
/// long as that many restarts take.
const MAX_REPLACED_INCARNATIONS: usize = 64;

/// The process that sent a request. With the request's number it is the request's key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// The name of its site.
    pub site: String,
    /// The name of its instance within the site.
    pub instance: String,
    /// Differs between any two starts of that instance.
    pub incarnation: u64,
}

/// What became of a request that was sent to this gateway. `V` is the response to a served one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome<V> {
    /// It was never accepted, and never will be.
    NeverAccepted,
    /// It was accepted, and has not ended yet.
    InFlight,
    /// It was rejected and never ran.
    Rejected {
        /// After how long the client may try again, in microseconds.
        retry_after: Micros,
    },
    /// It was served with this response.
    Served(V),
    /// It failed, and may have run.
    Failed,
    /// It may have been accepted; nothing is known of it.
    Unknown,
}

impl<V> Outcome<V> {
    /// The same with a reference to the response.
    pub fn as_ref(&self) -> Outcome<&V> {
        match self {
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after: *retry_after },
            Outcome::Served(response) => Outcome::Served(response),
            Outcome::Failed => Outcome::Failed,
            Outcome::Unknown => Outcome::Unknown,
        }
    }

    /// The same with the response converted.
    pub fn map<W>(self, convert: impl FnOnce(V) -> W) -> Outcome<W> {
        match self {
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after },
            Outcome::Served(response) => Outcome::Served(convert(response)),
            Outcome::Failed => Outcome::Failed,
            Outcome::Unknown => Outcome::Unknown,
        }
    }
}

/// Why a request is not accepted.
///
/// The sender is told of [`NotAccepted::Full`] alone. Another copy may have run before: it must never be called a request
/// that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// Its number was fenced by a query, or is at or below the floor.
    Fenced,
    /// It is another copy of a request that was accepted.
    Duplicate,
    /// It is from an incarnation of its sender that another has replaced.
    StaleIncarnation,
    /// The sender has as many requests here as are remembered of one sender.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<V> {
    outcome: Outcome<V>,
    /// When nobody can ask about it any more.
    expires_at: Micros,
}

/// The requests of one sender's present incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SenderOutcomes<V> {
    incarnation: u64,
    /// Numbers at or below it are fenced, except those that have a record.
    fenced_up_to: ForwardNumber,
    records: BTreeMap<ForwardNumber, Record<V>>,
    /// Incarnations that a later one has replaced, the oldest first.
    replaced: VecDeque<u64>,
}

impl<V> SenderOutcomes<V> {
    fn new(incarnation: u64, replaced: VecDeque<u64>) -> SenderOutcomes<V> {
        SenderOutcomes { incarnation, fenced_up_to: 0, records: BTreeMap::new(), replaced }
    }

    /// Forgets records that have expired, and fences their numbers.
    fn expire(&mut self, now: Micros) {
        let expired = |record: &Record<V>| now >= record.expires_at;
        let highest =
            self.records.iter().rev().find(|(_, record)| expired(record)).map(|(&number, _)| number);
        if let Some(highest) = highest {
            self.fenced_up_to = self.fenced_up_to.max(highest);
            self.records.retain(|_, record| !expired(record));
        }
    }
}

/// What became of all requests that this process accepted, by sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutcomeTable<V> {
    /// By the names of site and instance.
    senders: BTreeMap<(String, String), SenderOutcomes<V>>,
    max_records_per_sender: usize,
    query_grace: Micros,
}

impl<V: Clone> OutcomeTable<V> {
    /// `query_grace` is how long after a request's deadline its sender may still ask about it, in microseconds.
    pub fn new(max_records_per_sender: usize, query_grace: Micros) -> OutcomeTable<V> {
        OutcomeTable { senders: BTreeMap::new(), max_records_per_sender, query_grace }
    }

    /// A sender has greeted. Returns whether it is welcome: an incarnation that another has replaced is not, and its late
    /// frames are not accepted any more.
    ///
    /// `current_is_linked` says whether a link of the incarnation known so far stands; while it does, one of a lower number
    /// is taken for an older one that comes late.
    pub fn register_incarnation(&mut self, origin: &Origin, current_is_linked: bool) -> bool {
        let name = (origin.site.clone(), origin.instance.clone());
        let Some(sender) = self.senders.get_mut(&name) else {
            self.senders.insert(name, SenderOutcomes::new(origin.incarnation, VecDeque::new()));
            return true;
        };
        if sender.incarnation == origin.incarnation {
            return true;
        }
        let is_older = current_is_linked && origin.incarnation < sender.incarnation;
        if is_older || sender.replaced.contains(&origin.incarnation) {
            return false;
        }
        let mut replaced = std::mem::take(&mut sender.replaced);
        replaced.push_back(sender.incarnation);
        if replaced.len() > MAX_REPLACED_INCARNATIONS {
            replaced.pop_front();
        }
        *sender = SenderOutcomes::new(origin.incarnation, replaced);
        true
    }

    /// Accepts a request, once. `timeout` is how long its sender still waits for it, in microseconds.
    ///
    /// # Errors
    ///
    /// Why it is not accepted; see there what the sender is told.
    pub fn accept(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: ForwardNumber,
        timeout: Micros,
    ) -> Result<(), NotAccepted> {
        let max_records = self.max_records_per_sender;
        let expires_at = now.saturating_add(timeout.max(0)).saturating_add(self.query_grace);
        let sender = self.sender(origin).ok_or(NotAccepted::StaleIncarnation)?;
        match sender.records.get(&number) {
            Some(Record { outcome: Outcome::NeverAccepted, .. }) => return Err(NotAccepted::Fenced),
            Some(_) => return Err(NotAccepted::Duplicate),
            None if number <= sender.fenced_up_to => return Err(NotAccepted::Fenced),
            None if sender.records.len() >= max_records => {
                // Fenced by the floor, as there is no place for a record: another copy must not be accepted later.
                sender.fenced_up_to = sender.fenced_up_to.max(number);
                return Err(NotAccepted::Full);
            }
            None => {}
        }
        sender.records.insert(number, Record { outcome: Outcome::InFlight, expires_at });
        Ok(())
    }

    /// Records what became of a request that was accepted. Only the first outcome counts.
    pub fn record(&mut self, origin: &Origin, number: ForwardNumber, outcome: Outcome<V>) {
        let record = self.sender(origin).and_then(|sender| sender.records.get_mut(&number));
        if let Some(record) = record
            && matches!(record.outcome, Outcome::InFlight)
        {
            record.outcome = outcome;
        }
    }

    /// Answers a sender's query. `receiver_incarnation` is the incarnation of this gateway that the request was sent to,
    /// `own_incarnation` the present one. What an earlier one accepted is not known here.
    pub fn query(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: ForwardNumber,
        receiver_incarnation: u64,
        own_incarnation: u64,
    ) -> Outcome<V> {
        if receiver_incarnation != own_incarnation {
            return Outcome::Unknown;
        }
        let expires_at = now.saturating_add(self.query_grace);
        let Some(sender) = self.sender(origin) else { return Outcome::Unknown };
        if let Some(record) = sender.records.get_mut(&number) {
            record.expires_at = record.expires_at.max(expires_at);
            return record.outcome.clone();
        }
        if number <= sender.fenced_up_to {
            return Outcome::Unknown;
        }
        sender.records.insert(number, Record { outcome: Outcome::NeverAccepted, expires_at });
        Outcome::NeverAccepted
    }

    /// The sender will not ask about any number up to this one.
    pub fn confirm(&mut self, origin: &Origin, up_to: ForwardNumber) {
        if let Some(sender) = self.sender(origin) {
            sender.fenced_up_to = sender.fenced_up_to.max(up_to);
            // What is still in flight keeps its record, so that another copy of it is recognized.
            sender
                .records
                .retain(|&number, record| number > up_to || matches!(record.outcome, Outcome::InFlight));
        }
    }

    /// Forgets what nobody can ask about any more. The floor rises over it, so that a copy that comes later still is not
    /// accepted; neither is, harmlessly, a request that was sent before and has not come yet.
    pub fn expire(&mut self, now: Micros) {
        for sender in self.senders.values_mut() {
            sender.expire(now);
        }
    }

    /// How many records are held, of all senders.
    pub fn len(&self) -> usize {
        self.senders.values().map(|sender| sender.records.len()).sum()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The sender, if this is its present incarnation.
    fn sender(&mut self, origin: &Origin) -> Option<&mut SenderOutcomes<V>> {
        let name = (origin.site.clone(), origin.instance.clone());
        self.senders.get_mut(&name).filter(|sender| sender.incarnation == origin.incarnation)
    }
}
