//! What all work under leases has in common: the inputs of a decision, the decision, and state that lasts as long as a term.

use aldermill_directives::{DirectiveStore, Reports, Topic};
use aldermill_leases::Term;

use super::interface::CallTime;

/// What is decided on one subject under a lease.
pub(super) struct Decision {
    /// What it is about, within the lease.
    pub(super) subject: String,
    /// The body of the directive.
    pub(super) body: Vec<u8>,
}

/// What decisions under a lease go by.
pub(super) struct DecisionInputs<'a> {
    pub(super) at: CallTime,
    /// The term under which this proxy holds the lease; without one it decides nothing.
    pub(super) term: Option<Term>,
    pub(super) reports: &'a Reports,
    pub(super) directives: &'a DirectiveStore,
    /// The names of all live proxies, this one among them.
    pub(super) live_proxies: &'a [&'a str],
}

/// All that is decided under one lease at a time.
pub(super) struct LeaseDecisions {
    /// The lease's name.
    pub(super) lease: &'static str,
    /// The term under which it was held when this was decided.
    pub(super) term: Option<Term>,
    pub(super) decisions: Vec<Decision>,
}

/// What this proxy reports to the holder of a lease.
pub(super) struct LeaseReport {
    /// The lease, and the subject under it.
    pub(super) topic: Topic,
    /// What the lease's frame encodes.
    pub(super) body: Vec<u8>,
}

/// What a lease holder keeps while it holds a lease under one term.
pub(super) struct TermState<T>(Option<HeldState<T>>);

struct HeldState<T> {
    term: Term,
    state: T,
}

impl<T> TermState<T> {
    /// The state of a lease that is not held.
    pub(super) fn not_held() -> TermState<T> {
        TermState(None)
    }

    /// The state under this term, begun anew with each; nothing without a term.
    pub(super) fn for_term(&mut self, term: Option<Term>, init: impl FnOnce() -> T) -> Option<&mut T> {
        if self.0.as_ref().map(|held| held.term) != term {
            self.0 = term.map(|term| HeldState { term, state: init() });
        }
        self.get_mut()
    }

    /// The state, while the lease is held.
    pub(super) fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|held| &held.state)
    }

    /// The state, while the lease is held.
    pub(super) fn get_mut(&mut self) -> Option<&mut T> {
        self.0.as_mut().map(|held| &mut held.state)
    }
}
