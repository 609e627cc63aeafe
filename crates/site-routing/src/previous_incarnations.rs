//! Requests that previous incarnations of this gateway accepted, as far as their records are on disk.

use std::collections::BTreeMap;

use crate::recording_promise::PROMISE_DURATION;
use crate::{ForwardNumber, Micros, Origin, Outcome};

/// Records of one previous incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PreviousIncarnation<V> {
    records: BTreeMap<(Origin, ForwardNumber), Outcome<V>>,
    /// Whether the incarnation accepted no request without a record until it ended.
    is_complete: bool,
}

impl<V> Default for PreviousIncarnation<V> {
    fn default() -> Self {
        PreviousIncarnation { records: BTreeMap::new(), is_complete: false }
    }
}

/// Counts of what was read back from disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoredCounts {
    /// Number of request records.
    pub records: usize,
    /// Number of incarnations that left a record or a promise.
    pub incarnations: usize,
}

/// Records and promises that previous incarnations left on disk, for answering queries about those incarnations.
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
    /// Adds a record of `incarnation` that was read back.
    pub fn add_record(
        &mut self,
        incarnation: u64,
        origin: Origin,
        number: ForwardNumber,
        outcome: Outcome<V>,
    ) {
        self.entry(incarnation).records.insert((origin, number), outcome);
    }

    /// Adds the promise of `incarnation`, which was read back at `now`, after that incarnation had ended: it accepted
    /// nothing without a record up to `until`. Both instants are in microseconds on the same clock.
    ///
    /// A promise that ends later than one made at `now` would is evidence that the wall clock was set back, and proves
    /// nothing. A smaller step back cannot be detected here, so the caller must pass only promises that
    /// [`StoredPromises::kept`](crate::StoredPromises::kept) returns, or that last for the whole incarnation.
    pub fn add_promise(&mut self, now: Micros, incarnation: u64, until: Micros) {
        let plausible = now..=now.saturating_add(PROMISE_DURATION);
        self.entry(incarnation).is_complete = plausible.contains(&until);
    }

    /// Returns the outcome of a request that was sent to `incarnation`. The incarnation has ended, so it will never
    /// accept a request that it has not accepted yet.
    pub fn query(&self, origin: &Origin, number: ForwardNumber, incarnation: u64) -> Outcome<V> {
        let Some(incarnation) = self.incarnations.get(&incarnation) else { return Outcome::Unknown };
        match incarnation.records.get(&(origin.clone(), number)) {
            // The incarnation accepted the request and ended before the request did.
            Some(Outcome::InFlight) => Outcome::Failed,
            Some(outcome) => outcome.clone(),
            None if incarnation.is_complete => Outcome::NeverAccepted,
            None => Outcome::Unknown,
        }
    }

    /// Returns the counts of what was read back.
    pub fn counts(&self) -> RestoredCounts {
        let records = self.incarnations.values().map(|incarnation| incarnation.records.len()).sum();
        RestoredCounts { records, incarnations: self.incarnations.len() }
    }

    fn entry(&mut self, incarnation: u64) -> &mut PreviousIncarnation<V> {
        self.incarnations.entry(incarnation).or_default()
    }
}
