//! Fencing: a receiver of operations rejects those of a holder that has been superseded.

use std::collections::BTreeMap;

use crate::Term;

/// What a receiver does with an operation that arrived under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// Accept the operation.
    Accept,
    /// Persist the term, call [`Fence::persisted`], then call [`Fence::admit`] again.
    PersistFirst,
    /// Reject the operation, because a higher term has been seen.
    Stale {
        /// The highest term that has been seen.
        highest_term: Term,
    },
}

/// The highest term that a receiver of operations has seen for each lease.
///
/// Protects against a holder that was stopped between checking its lease and acting, at no cost to the
/// current holder. A receiver with a store accepts no operation under a term that a restart could make it
/// forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest_seen: BTreeMap<String, Term>,
    /// The highest term that is on disk, by lease; `None` without a store.
    persisted_terms: Option<BTreeMap<String, Term>>,
}

impl Fence {
    /// Creates a fence without a store, whose terms are lost when the process ends.
    #[must_use]
    pub fn volatile() -> Fence {
        Fence::default()
    }

    /// Creates a fence with a store. `stored_terms` are the terms that the store contained, by lease.
    pub fn durable(stored_terms: impl IntoIterator<Item = (String, Term)>) -> Fence {
        let persisted_terms: BTreeMap<String, Term> = stored_terms.into_iter().collect();
        Fence { highest_seen: persisted_terms.clone(), persisted_terms: Some(persisted_terms) }
    }

    /// Decides whether to accept an operation on the lease under this term.
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

    /// Notes that this term is on disk.
    pub fn persisted(&mut self, lease: &str, term: Term) {
        if let Some(persisted_terms) = &mut self.persisted_terms {
            let highest_term = persisted_terms.entry(lease.to_owned()).or_default();
            *highest_term = term.max(*highest_term);
        }
    }
}
