//! What earlier incarnations of this gateway accepted, as far as their records are on disk.

use std::collections::BTreeMap;

use crate::recording_promise::PROMISE_DURATION;
use crate::{ForwardNumber, Micros, Origin, Outcome};

/// One earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreviousIncarnation<V> {
    records: BTreeMap<(Origin, ForwardNumber), Outcome<V>>,
    /// Whether it accepted nothing without a record, up to its end.
    is_complete: bool,
}

impl<V> Default for PreviousIncarnation<V> {
    fn default() -> Self {
        PreviousIncarnation { records: BTreeMap::new(), is_complete: false }
    }
}

/// How much was read back from the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoredCounts {
    /// Records of requests.
    pub records: usize,
    /// Incarnations that left a record or a promise.
    pub incarnations: usize,
}

/// The records and promises that earlier incarnations left on disk. It answers queries that name one of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PreviousIncarnations<V> {
    incarnations: BTreeMap<u64, PreviousIncarnation<V>>,
}

impl<V> Default for PreviousIncarnations<V> {
    fn default() -> Self {
        PreviousIncarnations { incarnations: BTreeMap::new() }
    }
}

impl<V: Clone> PreviousIncarnations<V> {
    /// Takes over a record of `incarnation` that was read back.
    pub fn add_record(
        &mut self,
        incarnation: u64,
        origin: Origin,
        number: ForwardNumber,
        outcome: Outcome<V>,
    ) {
        self.entry(incarnation).records.insert((origin, number), outcome);
    }

    /// Takes over the promise of `incarnation`, which was read back at `now`, when that incarnation had ended: it accepted
    /// nothing without a record `until` then.
    ///
    /// A promise that ends later than one given just now would shows that the wall clock was set back; it proves nothing. A
    /// clock that was set back by less does not show, so the caller passes only promises that
    /// [`StoredPromises::kept`](crate::StoredPromises::kept) names, or that bind for the whole incarnation.
    pub fn add_promise(&mut self, now: Micros, incarnation: u64, until: Micros) {
        let plausible = now..=now.saturating_add(PROMISE_DURATION);
        self.entry(incarnation).is_complete = plausible.contains(&until);
    }

    /// What became of a request that was sent to `incarnation`. That one has ended: what it has not accepted it never will.
    pub fn query(&self, origin: &Origin, number: ForwardNumber, incarnation: u64) -> Outcome<V> {
        let Some(incarnation) = self.incarnations.get(&incarnation) else { return Outcome::Unknown };
        match incarnation.records.get(&(origin.clone(), number)) {
            // It was accepted, and the incarnation ended before the request did.
            Some(Outcome::InFlight) => Outcome::Failed,
            Some(outcome) => outcome.clone(),
            None if incarnation.is_complete => Outcome::NeverAccepted,
            None => Outcome::Unknown,
        }
    }

    /// How much was read back.
    pub fn counts(&self) -> RestoredCounts {
        let records = self.incarnations.values().map(|incarnation| incarnation.records.len()).sum();
        RestoredCounts { records, incarnations: self.incarnations.len() }
    }

    fn entry(&mut self, incarnation: u64) -> &mut PreviousIncarnation<V> {
        self.incarnations.entry(incarnation).or_default()
    }
}
