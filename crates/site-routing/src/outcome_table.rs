//! The receiver's in-memory table of the outcome of each request that this process accepted from other gateways.
//!
//! Outcomes are kept in two places, each with one owner. The [`OutcomeTable`] belongs to the running process: it holds
//! every remote request that this incarnation accepted, decides whether another copy is accepted, and answers queries
//! about this incarnation. It is lost when the process ends. The proxy's `dispatcher/outcome_log.rs` owns the log on
//! disk: the log holds only non-idempotent requests and is only written while the process runs. A later incarnation
//! reads it as [`PreviousIncarnations`](crate::PreviousIncarnations), to answer queries about this incarnation.
//!
//! Each number is accepted at most once. A query about a number that was never accepted fences the number: it will
//! never be accepted, so the sender may send the request elsewhere. A record is dropped once nobody can ask about it
//! any more, because it has expired or because the sender confirmed that it will not ask. Its number stays fenced: the
//! table keeps, for each sender, a number up to which all are fenced.

use std::collections::{BTreeMap, VecDeque};

use crate::{ForwardNumber, Micros};

/// Number of replaced incarnations that are remembered per sender. A frame from an older one would have to be in
/// transit for as long as that many restarts take.
const MAX_REPLACED_INCARNATIONS: usize = 64;

/// The process that sent a request. Together with the request's number it forms the request's key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// Name of the process's site.
    pub site: String,
    /// Name of the instance within the site.
    pub instance: String,
    /// Incarnation number, different for each start of the instance.
    pub incarnation: u64,
}

/// Outcome of a request that was sent to this gateway. `V` is the type of the response to a served request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome<V> {
    /// The request was never accepted, and never will be.
    NeverAccepted,
    /// The request was accepted and has not ended yet.
    InFlight,
    /// The request was rejected and never ran.
    Rejected {
        /// Delay after which the client may retry, in microseconds.
        retry_after: Micros,
    },
    /// The request was served with this response.
    Served(V),
    /// The request failed, and may have run.
    Failed,
    /// Nothing is known about the request; it may have been accepted.
    Unknown,
}

impl<V> Outcome<V> {
    /// Returns the outcome with a reference to the response.
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

    /// Returns the outcome with the response converted by `convert`.
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

/// Reason why a request is not accepted.
///
/// Only [`NotAccepted::Full`] is reported to the sender. In the other cases an earlier copy may have run, so the sender
/// must not be told that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// The request's number was fenced by a query, or is not above the number up to which all are fenced.
    Fenced,
    /// The request is another copy of one that was accepted.
    Duplicate,
    /// The request comes from an incarnation of its sender that another one has replaced.
    StaleIncarnation,
    /// The table already holds the maximum number of records for the sender.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<V> {
    outcome: Outcome<V>,
    /// When nobody can ask about the request any more.
    expires_at: Micros,
}

/// Requests of one sender's current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SenderOutcomes<V> {
    incarnation: u64,
    /// All numbers up to this one are fenced, except those that have a record.
    fenced_up_to: ForwardNumber,
    records: BTreeMap<ForwardNumber, Record<V>>,
    /// Incarnations that a later one has replaced, in order of replacement.
    replaced: VecDeque<u64>,
}

impl<V> SenderOutcomes<V> {
    fn new(incarnation: u64, replaced: VecDeque<u64>) -> SenderOutcomes<V> {
        SenderOutcomes { incarnation, fenced_up_to: 0, records: BTreeMap::new(), replaced }
    }

    /// Drops expired records and fences their numbers.
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

/// Outcomes of all requests that this process accepted from other gateways, by sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutcomeTable<V> {
    /// Senders by the names of their site and instance.
    senders: BTreeMap<(String, String), SenderOutcomes<V>>,
    max_records_per_sender: usize,
    query_grace: Micros,
}

impl<V: Clone> OutcomeTable<V> {
    /// Creates an empty table with room for `max_records_per_sender` records of each sender. `query_grace` is how long
    /// after a request's deadline its sender may still ask about it, in microseconds.
    pub fn new(max_records_per_sender: usize, query_grace: Micros) -> OutcomeTable<V> {
        OutcomeTable { senders: BTreeMap::new(), max_records_per_sender, query_grace }
    }

    /// Registers the incarnation of a sender that has connected. Returns whether it is the sender's current
    /// incarnation: one that another has replaced is refused, and late frames from it are not accepted.
    ///
    /// `current_is_linked` says whether the incarnation known so far still has a link; while it does, an incarnation
    /// with a lower number is taken for an older one that connects late.
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

    /// Accepts a request; each number is accepted at most once. `timeout` is how long the sender still waits for the
    /// request, in microseconds; a negative one counts as zero.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is not accepted. [`NotAccepted`] says which reason is reported to the sender.
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
                // There is no room for a record, so the number is fenced: another copy must not be accepted later.
                sender.fenced_up_to = sender.fenced_up_to.max(number);
                return Err(NotAccepted::Full);
            }
            None => {}
        }
        sender.records.insert(number, Record { outcome: Outcome::InFlight, expires_at });
        Ok(())
    }

    /// Records the outcome of a request that was accepted. Only the first outcome counts.
    pub fn record(&mut self, origin: &Origin, number: ForwardNumber, outcome: Outcome<V>) {
        let record = self.sender(origin).and_then(|sender| sender.records.get_mut(&number));
        if let Some(record) = record
            && matches!(record.outcome, Outcome::InFlight)
        {
            record.outcome = outcome;
        }
    }

    /// Answers a sender's query about a request. `receiver_incarnation` is the incarnation of this gateway that the
    /// request was sent to, and `own_incarnation` is the running one. The table does not know what previous
    /// incarnations accepted.
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

    /// Drops the records up to a number, after the sender has confirmed that it will not ask about them.
    pub fn confirm(&mut self, origin: &Origin, up_to: ForwardNumber) {
        if let Some(sender) = self.sender(origin) {
            sender.fenced_up_to = sender.fenced_up_to.max(up_to);
            // Requests still in flight keep their record, so that another copy is recognized as a duplicate.
            sender
                .records
                .retain(|&number, record| number > up_to || matches!(record.outcome, Outcome::InFlight));
        }
    }

    /// Drops the records that nobody can ask about any more. All numbers up to the highest dropped one are fenced, so
    /// that a copy that arrives even later is not accepted. A request with a lower number that has not arrived yet is
    /// not accepted either, which is harmless.
    pub fn expire(&mut self, now: Micros) {
        for sender in self.senders.values_mut() {
            sender.expire(now);
        }
    }

    /// Returns the number of records of all senders.
    pub fn len(&self) -> usize {
        self.senders.values().map(|sender| sender.records.len()).sum()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the sender's state if `origin` is its current incarnation.
    fn sender(&mut self, origin: &Origin) -> Option<&mut SenderOutcomes<V>> {
        let name = (origin.site.clone(), origin.instance.clone());
        self.senders.get_mut(&name).filter(|sender| sender.incarnation == origin.incarnation)
    }
}
