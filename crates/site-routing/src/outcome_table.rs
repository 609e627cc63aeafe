//! The receiver's book: what came to this gateway, and what became of it.
//!
//! A key is taken once. Who asks about a key that was never taken fences it: from then on it never will be. What may
//! be forgotten is what nobody can ask about any more, by its deadline or by the sender's word; a number that
//! was forgotten stays fenced by a floor under all later ones.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;

/// Starts of one instance that are over, and never taken from again; older ones are forgotten.
const OVER: usize = 64;

/// Who sent a key's request: the key is this and a number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    pub site: String,
    pub instance: String,
    /// New with every start of that instance.
    pub start: u64,
}

/// What became of a key. `V` is what a served request brought.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome<V> {
    /// It was never taken, and never will be.
    NeverAccepted,
    /// It was taken, and no outcome is known yet.
    InFlight,
    /// It never ran.
    Rejected {
        retry_after: Micros,
    },
    Served(V),
    Failed,
    /// It may have been taken; nothing of it is known.
    Unknown,
}

impl<V> Outcome<V> {
    pub fn as_ref(&self) -> Outcome<&V> {
        match self {
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after: *retry_after },
            Outcome::Served(value) => Outcome::Served(value),
            Outcome::Failed => Outcome::Failed,
            Outcome::Unknown => Outcome::Unknown,
        }
    }

    pub fn map<W>(self, of: impl FnOnce(V) -> W) -> Outcome<W> {
        match self {
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after },
            Outcome::Served(value) => Outcome::Served(of(value)),
            Outcome::Failed => Outcome::Failed,
            Outcome::Unknown => Outcome::Unknown,
        }
    }
}

/// Why a request is not taken. Only where the book is full does the sender hear so: a copy of what may have
/// run before is no news to it, and must never be called one that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    /// Its key was fenced, or is below what was forgotten.
    Fenced,
    /// It is here already: this is another copy.
    Duplicate,
    /// It is from a start of its sender that is over.
    StaleIncarnation,
    /// More keys are under way than the book holds.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<V> {
    fate: Outcome<V>,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SenderOutcomes<V> {
    start: u64,
    /// Up to here everything is fenced that has no record.
    floor: u64,
    records: BTreeMap<u64, Record<V>>,
    over: VecDeque<u64>,
}

/// The books on all senders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutcomeTable<V> {
    books: BTreeMap<(String, String), SenderOutcomes<V>>,
    /// Records that one sender may have.
    most: usize,
    /// How long after its deadline somebody may still ask about a key.
    slack: Micros,
}

impl<V: Clone> OutcomeTable<V> {
    pub fn start(most: usize, slack: Micros) -> OutcomeTable<V> {
        OutcomeTable { books: BTreeMap::new(), most, slack }
    }

    /// A sender greets. A start that another one replaced is over for good: what comes of it late is turned away.
    /// `current_up` says whether a link of the start known so far still stands.
    pub fn greeted(&mut self, origin: &Origin, current_up: bool) -> bool {
        let name = (origin.site.clone(), origin.instance.clone());
        let fresh = |over| SenderOutcomes { start: origin.start, floor: 0, records: BTreeMap::new(), over };
        let Some(book) = self.books.get_mut(&name) else {
            self.books.insert(name, fresh(VecDeque::new()));
            return true;
        };
        if book.start == origin.start {
            return true;
        }
        if book.over.contains(&origin.start) || current_up && origin.start < book.start {
            return false;
        }
        let mut over = std::mem::take(&mut book.over);
        over.push_back(book.start);
        if over.len() > OVER {
            over.pop_front();
        }
        *book = fresh(over);
        true
    }

    /// A request came: it is taken, now and never again.
    pub fn take(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        ttl: Micros,
    ) -> Result<(), NotAccepted> {
        let (most, until) = (self.most, now.saturating_add(ttl.max(0)).saturating_add(self.slack));
        let book = self.book(origin).ok_or(NotAccepted::StaleIncarnation)?;
        match book.records.get(&number) {
            Some(Record { fate: Outcome::NeverAccepted, .. }) => return Err(NotAccepted::Fenced),
            Some(_) => return Err(NotAccepted::Duplicate),
            None if number <= book.floor => return Err(NotAccepted::Fenced),
            None if book.records.len() >= most => {
                // Fenced by the floor, as there is no room for a record: another copy must not be taken later.
                book.floor = book.floor.max(number);
                return Err(NotAccepted::Full);
            }
            None => {}
        }
        book.records.insert(number, Record { fate: Outcome::InFlight, until });
        Ok(())
    }

    /// What became of a key that was taken. Only the first word counts.
    pub fn settle(&mut self, origin: &Origin, number: u64, fate: Outcome<V>) {
        if let Some(record) = self.book(origin).and_then(|book| book.records.get_mut(&number))
            && matches!(record.fate, Outcome::InFlight)
        {
            record.fate = fate;
        }
    }

    /// The sender asks. `receiver_start` is the start of this gateway that the request was sent to,
    /// `own_start` the one that it has now.
    pub fn ask(
        &mut self,
        now: Micros,
        origin: &Origin,
        number: u64,
        receiver_start: u64,
        own_start: u64,
    ) -> Outcome<V> {
        // What an earlier start of this gateway took is in no book.
        if receiver_start != own_start {
            return Outcome::Unknown;
        }
        let until = now.saturating_add(self.slack);
        let Some(book) = self.book(origin) else { return Outcome::Unknown };
        if let Some(record) = book.records.get_mut(&number) {
            record.until = record.until.max(until);
            return record.fate.clone();
        }
        if number <= book.floor {
            return Outcome::Unknown;
        }
        book.records.insert(number, Record { fate: Outcome::NeverAccepted, until });
        Outcome::NeverAccepted
    }

    /// The sender will not ask about anything up to this number.
    pub fn confirm(&mut self, origin: &Origin, upto: u64) {
        if let Some(book) = self.book(origin) {
            book.floor = book.floor.max(upto);
            // What is under way yet keeps its record: another copy is to be known for what it is.
            book.records.retain(|&number, record| number > upto || matches!(record.fate, Outcome::InFlight));
        }
    }

    /// Forgets what nobody can ask about any more. The floor rises over it: a copy that comes later still is turned
    /// away, and so is, harmlessly, what was sent before it and never came.
    pub fn expire(&mut self, now: Micros) {
        for book in self.books.values_mut() {
            let over = |record: &Record<V>| now >= record.until;
            let highest =
                book.records.iter().rev().find(|(_, record)| over(record)).map(|(&number, _)| number);
            if let Some(highest) = highest {
                book.floor = book.floor.max(highest);
                book.records.retain(|_, record| !over(record));
            }
        }
    }

    /// Records held, of all senders.
    pub fn len(&self) -> usize {
        self.books.values().map(|book| book.records.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn book(&mut self, origin: &Origin) -> Option<&mut SenderOutcomes<V>> {
        let name = (origin.site.clone(), origin.instance.clone());
        self.books.get_mut(&name).filter(|book| book.start == origin.start)
    }
}
