//! What earlier starts of this gateway took, as far as their book was kept on a disk, and what the disk's absence does
//! to it.

use std::collections::BTreeMap;

use crate::{Micros, Origin, Outcome};

/// How long a promise holds, and from what remainder on it is renewed.
const LONG: Micros = 5_000_000;
const RENEW: Micros = 3_000_000;

/// That until a stated time nothing is taken without a record. It stands on the disk, so that a later start knows
/// whether a key without a record can have been taken.
///
/// Protects the sender's next attempt: 'never taken' is said of an earlier start only where that is certain.
/// Should also cover a disk that stands still, fills up or goes. Harms guests whose requests come while the
/// disk is away and the promise holds: they are rejected, for five seconds at most. What was taken without a
/// record puts the next promise off until nobody can ask about it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
pub struct RecordingPromise {
    /// Confirmed, and handed over since.
    until: Micros,
    asked: Option<Micros>,
    /// Until when somebody may ask about something that was taken without a record.
    unrecorded: Micros,
}

impl RecordingPromise {
    /// A promise to be written now, if one is due and may be given.
    pub fn renew(&mut self, now: Micros) -> Option<Micros> {
        if self.asked.is_some() || self.until - now > RENEW || now < self.unrecorded {
            return None;
        }
        self.asked = Some(now + LONG);
        self.asked
    }

    /// What was handed over last is on the disk, or may be there: it binds all the same.
    pub fn settled(&mut self) {
        self.until = self.until.max(self.asked.take().unwrap_or(self.until));
    }

    /// Something was taken without a record; until then somebody may ask about it.
    pub fn took_without(&mut self, until: Micros) {
        self.unrecorded = self.unrecorded.max(until);
    }

    /// Whether something may be taken without a record.
    pub fn lets_go_without(&self, now: Micros) -> bool {
        now > self.until.max(self.asked.unwrap_or(self.until))
    }
}

/// One earlier start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreviousIncarnation<V> {
    records: BTreeMap<(Origin, u64), Outcome<V>>,
    /// Nothing can have been taken without a record.
    whole: bool,
}

/// The books of earlier starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreviousIncarnations<V> {
    starts: BTreeMap<u64, PreviousIncarnation<V>>,
}

impl<V> Default for PreviousIncarnations<V> {
    fn default() -> Self {
        PreviousIncarnations { starts: BTreeMap::new() }
    }
}

impl<V: Clone> PreviousIncarnations<V> {
    /// A record that was read back.
    pub fn record(&mut self, start: u64, origin: Origin, number: u64, fate: Outcome<V>) {
        self.start(start).records.insert((origin, number), fate);
    }

    /// Until when that start had promised to take nothing without a record, read back at `now`, when it was over. A
    /// promise that ends later than one given just now would shows that the clock was set back: it proves nothing then.
    pub fn promised(&mut self, now: Micros, start: u64, until: Micros) {
        self.start(start).whole = (now..=now.saturating_add(LONG)).contains(&until);
    }

    fn start(&mut self, start: u64) -> &mut PreviousIncarnation<V> {
        self.starts
            .entry(start)
            .or_insert_with(|| PreviousIncarnation { records: BTreeMap::new(), whole: false })
    }

    /// What became of a key at that start. It is over: what it did not take it never will.
    pub fn ask(&self, origin: &Origin, number: u64, start: u64) -> Outcome<V> {
        let Some(start) = self.starts.get(&start) else { return Outcome::Unknown };
        match start.records.get(&(origin.clone(), number)) {
            // It was taken, and the end of that start came before its outcome.
            Some(Outcome::InFlight) => Outcome::Failed,
            Some(fate) => fate.clone(),
            None if start.whole => Outcome::NeverAccepted,
            None => Outcome::Unknown,
        }
    }

    /// Records held, and starts.
    pub fn len(&self) -> (usize, usize) {
        (self.starts.values().map(|start| start.records.len()).sum(), self.starts.len())
    }

    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}

// ---- The records' form: written down in docs/store.md.

/// The key of a record: the start that took it, the number, and who sent it.
pub fn key(start: u64, origin: &Origin, number: u64) -> Vec<u8> {
    let mut key = Vec::with_capacity(32);
    key.extend_from_slice(&start.to_be_bytes());
    key.extend_from_slice(&number.to_be_bytes());
    key.extend_from_slice(&origin.start.to_be_bytes());
    key.extend_from_slice(origin.site.as_bytes());
    key.push(0);
    key.extend_from_slice(origin.instance.as_bytes());
    key
}

/// The start, who sent it, and the number; `None` where it cannot be read.
pub fn read_key(key: &[u8]) -> Option<(u64, Origin, u64)> {
    let mut words = key.get(..24)?.chunks_exact(8).map(|word| word.try_into().map(u64::from_be_bytes));
    let mut word = || words.next()?.ok();
    let (own, number, start) = (word()?, word()?, word()?);
    let (site, instance) = std::str::from_utf8(&key[24..]).ok()?.split_once('\0')?;
    let origin = Origin { site: site.to_owned(), instance: instance.to_owned(), start };
    Some((own, origin, number))
}

/// What became of it; of what may be sent again nothing is kept but that.
pub fn value(fate: &Outcome<&[u8]>) -> Vec<u8> {
    match fate {
        Outcome::InFlight => vec![b'T'],
        Outcome::NeverAccepted => vec![b'N'],
        Outcome::Rejected { retry_after } => [&[b'D'][..], &retry_after.to_be_bytes()].concat(),
        Outcome::Served(bytes) => [&[b'H'][..], bytes].concat(),
        Outcome::Failed | Outcome::Unknown => vec![b'B'],
    }
}

/// A value that cannot be read may have been any of them.
pub fn read_value(value: &[u8]) -> Outcome<Vec<u8>> {
    match value.split_first() {
        Some((b'T', [])) => Outcome::InFlight,
        Some((b'N', [])) => Outcome::NeverAccepted,
        Some((b'D', rest)) => match rest.try_into().map(Micros::from_be_bytes) {
            Ok(retry_after) => Outcome::Rejected { retry_after: retry_after.max(0) },
            Err(_) => Outcome::Failed,
        },
        Some((b'H', rest)) => Outcome::Served(rest.to_vec()),
        _ => Outcome::Failed,
    }
}
