//! Fencing: a receiver of acts refuses those of a lease holder that has been superseded.

use std::collections::BTreeMap;

use crate::Term;

/// What to do with an act that arrived under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// Take it.
    Accept,
    /// Persist the term, call [`Fence::persisted`], then ask again.
    PersistFirst,
    /// Refuse it: a higher term was seen.
    Stale {
        /// The highest term seen.
        highest_term: Term,
    },
}

/// The highest term that a receiver of acts has seen, for each lease.
///
/// Guards against a lease holder that was stopped between its check of the lease and its act; costs nothing to one that
/// still holds the lease. A receiver with a store takes no act of a term that it could forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest_seen: BTreeMap<String, Term>,
    /// The terms that are on the disk; `None` without a store.
    persisted_terms: Option<BTreeMap<String, Term>>,
}

impl Fence {
    /// A fence that forgets with its process.
    #[must_use]
    pub fn volatile() -> Fence {
        Fence::default()
    }

    /// A fence with a store, which held these terms by lease.
    pub fn durable(stored_terms: impl IntoIterator<Item = (String, Term)>) -> Fence {
        let persisted_terms: BTreeMap<String, Term> = stored_terms.into_iter().collect();
        Fence { highest_seen: persisted_terms.clone(), persisted_terms: Some(persisted_terms) }
    }

    /// Decides on an act of the lease under this term.
    pub fn admit(&mut self, lease: &str, term: Term) -> FenceDecision {
        let highest_term = self.highest_seen.get(lease).copied().unwrap_or(0);
        if term < highest_term {
            return FenceDecision::Stale { highest_term };
        }
        if term > highest_term {
            self.highest_seen.insert(lease.to_owned(), term);
        }
        match &self.persisted_terms {
            Some(persisted_terms) if persisted_terms.get(lease).copied().unwrap_or(0) < term => {
                FenceDecision::PersistFirst
            }
            _ => FenceDecision::Accept,
        }
    }

    /// The record of this term is on the disk.
    pub fn persisted(&mut self, lease: &str, term: Term) {
        if let Some(persisted_terms) = &mut self.persisted_terms {
            let highest_term = persisted_terms.entry(lease.to_owned()).or_default();
            *highest_term = term.max(*highest_term);
        }
    }
}
