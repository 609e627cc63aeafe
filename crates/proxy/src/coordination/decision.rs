//! Types shared by the controllers of all leases: inputs of decisions, decisions, reports, and state kept for one
//! term.

use aldermill_directives::{DirectiveStore, Reports, Topic};
use aldermill_leases::Term;

use super::interface::CallTime;

/// A decision on one subject under a lease.
pub(super) struct Decision {
    /// Subject under the lease; the topic of the directive combines both.
    pub(super) subject: String,
    /// Body of the directive.
    pub(super) body: Vec<u8>,
}

/// Inputs of the decisions under one lease.
pub(super) struct DecisionInputs<'a> {
    /// Time of the decisions.
    pub(super) at: CallTime,
    /// Term under which this proxy holds the lease; `None` if it does not hold it and thus makes no decisions.
    pub(super) term: Option<Term>,
    /// Reports of all proxies.
    pub(super) reports: &'a Reports,
    /// Directives known to this proxy.
    pub(super) directives: &'a DirectiveStore,
    /// Names of all live proxies, including this one.
    pub(super) live_proxies: &'a [&'a str],
}

/// All decisions made under one lease at one time.
pub(super) struct LeaseDecisions {
    /// Name of the lease.
    pub(super) lease: &'static str,
    /// Term under which this proxy held the lease when it made the decisions; `None` if it did not hold it.
    pub(super) term: Option<Term>,
    /// The decisions, one for each subject.
    pub(super) decisions: Vec<Decision>,
}

/// A report of this proxy to the holder of a lease.
pub(super) struct LeaseReport {
    /// Lease and subject of the report.
    pub(super) topic: Topic,
    /// Content of the report, in the encoding of its lease.
    pub(super) body: Vec<u8>,
}

/// State that a lease holder keeps for as long as it holds the lease under one term.
pub(super) struct TermState<T>(Option<HeldState<T>>);

struct HeldState<T> {
    term: Term,
    state: T,
}

impl<T> TermState<T> {
    /// Creates the state of a lease that is not held.
    pub(super) fn not_held() -> TermState<T> {
        TermState(None)
    }

    /// Returns the state for `term`, and creates it with `init` when the term changes. If `term` is `None`, discards
    /// the state and returns `None`.
    pub(super) fn for_term(&mut self, term: Option<Term>, init: impl FnOnce() -> T) -> Option<&mut T> {
        if self.0.as_ref().map(|held| held.term) != term {
            self.0 = term.map(|term| HeldState { term, state: init() });
        }
        self.get_mut()
    }

    /// Returns the state, or `None` if the lease was not held when the state was last updated.
    pub(super) fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|held| &held.state)
    }

    /// Returns the state for modification, or `None` if the lease was not held when the state was last updated.
    pub(super) fn get_mut(&mut self) -> Option<&mut T> {
        self.0.as_mut().map(|held| &mut held.state)
    }
}
