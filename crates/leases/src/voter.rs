//! One voter: what it has promised and granted for each lease.

use std::collections::BTreeMap;

use crate::{Ballot, Incarnation, Message, Micros, OutstandingLease, Payload, Term, clock_margin};

/// A lease as one voter has granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedLease {
    /// The process to which the lease was granted.
    pub holder: Incarnation,
    /// The term under which the lease was granted.
    pub term: Term,
    /// When the lease expires, by the voter's clock.
    pub expires_at: Micros,
}

/// What one voter knows of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseState {
    promised: Option<Ballot>,
    /// The highest term that was granted, as far as this voter knows; 0 if none was.
    highest_term: Term,
    /// The highest term that is on disk, so that a vote for it may be sent at once. Not used without a store.
    persisted_term: Term,
    granted: Option<GrantedLease>,
}

/// The reply of a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The message to send back to the candidate.
    pub payload: Payload,
    /// The term that must be on disk before the reply is sent; `None` if it can be sent at once.
    pub once_persisted: Option<Term>,
}

/// Where a voter keeps the terms that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TermStorage {
    /// Only in memory: they are lost when the process ends.
    Volatile,
    /// In a store that has not been read yet: no vote is cast.
    Unread,
    /// In a store whose records are known.
    Durable,
}

/// One voter, for all leases.
///
/// Promises and grants are lost when the process ends; only terms are kept, if there is a store. A voter is
/// therefore silent for one lease duration after its start, until everything that it granted before has
/// expired. That protects holders from a voter that has forgotten their lease and grants it to another
/// process, and costs the fleet one voter for that long.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    silent_until: Micros,
    /// The longest lease that this voter grants, in microseconds; the same at all voters.
    max_lease_duration: Micros,
    storage: TermStorage,
    leases: BTreeMap<String, LeaseState>,
}

impl Voter {
    /// Starts a voter at `now`. `stored_terms` are the terms that its store contained, by lease; `None`
    /// stands for a voter without a store.
    pub fn start(
        now: Micros,
        max_lease_duration: Micros,
        stored_terms: Option<impl IntoIterator<Item = (String, Term)>>,
    ) -> Voter {
        let storage = if stored_terms.is_some() { TermStorage::Durable } else { TermStorage::Volatile };
        let initial_state = |(lease, term)| {
            (lease, LeaseState { highest_term: term, persisted_term: term, ..LeaseState::default() })
        };
        let leases = stored_terms.into_iter().flatten().map(initial_state).collect();
        let silent_until = now + max_lease_duration + clock_margin(max_lease_duration);
        Voter { silent_until, max_lease_duration, storage, leases }
    }

    /// Withholds all votes until [`Voter::restore`] is called, because the store cannot be read yet.
    ///
    /// This protects terms from a voter that has forgotten which ones it granted, and costs the fleet one
    /// voter for as long as the store cannot be read.
    pub fn withhold_votes(&mut self) {
        self.storage = TermStorage::Unread;
    }

    /// Takes the terms that the store contained, by lease, once it has been read.
    pub fn restore(&mut self, stored_terms: impl IntoIterator<Item = (String, Term)>) {
        if self.storage == TermStorage::Unread {
            self.storage = TermStorage::Durable;
        }
        for (lease, term) in stored_terms {
            let state = self.leases.entry(lease).or_default();
            // The term does not count as persisted: what was read and not written again may be in the
            // operating system's memory only.
            state.highest_term = state.highest_term.max(term);
        }
    }

    /// Returns until when this voter casts no vote after its start.
    #[must_use]
    pub fn silent_until(&self) -> Micros {
        self.silent_until
    }

    /// Returns the highest term of a lease that this voter knows to have been granted, 0 if it knows of none.
    #[must_use]
    pub fn highest_term(&self, lease: &str) -> Term {
        self.leases.get(lease).map_or(0, |state| state.highest_term)
    }

    /// Returns the lease that this voter has granted, `None` if there is none or it has expired.
    #[must_use]
    pub fn granted(&self, now: Micros, lease: &str) -> Option<&GrantedLease> {
        let granted = self.leases.get(lease)?.granted.as_ref()?;
        (now < granted.expires_at).then_some(granted)
    }

    /// Handles a message for voters and returns the reply, if there is one.
    pub fn receive(&mut self, now: Micros, from: &Incarnation, message: &Message) -> Option<Reply> {
        if let Payload::Release { term } = message.payload {
            self.release(from, &message.lease, term);
            return None;
        }
        if now < self.silent_until || self.storage == TermStorage::Unread {
            return None;
        }
        let ballot = match &message.payload {
            Payload::Prepare { ballot } | Payload::Propose { ballot, .. } if ballot.candidate == *from => {
                ballot.clone()
            }
            _ => return None,
        };
        let state = self.leases.entry(message.lease.clone()).or_default();
        if let Some(promised) = state.promised.as_ref().filter(|promised| **promised > ballot) {
            return Some(Reply::immediate(Payload::Reject { ballot, promised: promised.number }));
        }
        match message.payload {
            Payload::Prepare { .. } => Some(state.promise(now, ballot)),
            // The lease would outlast this voter's silence after a start: the candidate's configuration
            // differs from the others'.
            Payload::Propose { duration, .. } if duration > self.max_lease_duration => None,
            Payload::Propose { term, duration, .. } if term >= state.highest_term && term > 0 => {
                let is_durable = self.storage != TermStorage::Volatile;
                Some(state.grant(ballot, term, now + duration, is_durable))
            }
            _ => None,
        }
    }

    /// Frees a lease. Only the holder can release it, and only under the term that it holds.
    fn release(&mut self, from: &Incarnation, lease: &str, term: Term) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        if state.granted.as_ref().is_some_and(|granted| granted.holder == *from && granted.term == term) {
            state.granted = None;
        }
    }

    /// Notes that other processes have accepted operations under this term, whoever granted it: this voter
    /// grants no lower term from now on.
    pub fn observe_term(&mut self, lease: &str, term: Term) {
        let state = self.leases.entry(lease.to_owned()).or_default();
        state.highest_term = state.highest_term.max(term);
    }

    /// Notes that this term is on disk.
    pub fn persisted(&mut self, lease: &str, term: Term) {
        if let Some(state) = self.leases.get_mut(lease) {
            state.persisted_term = state.persisted_term.max(term);
        }
    }
}

impl LeaseState {
    fn promise(&mut self, now: Micros, ballot: Ballot) -> Reply {
        self.promised = Some(ballot.clone());
        let granted = self.granted.as_ref().filter(|granted| now < granted.expires_at);
        let outstanding = granted.map(|granted| OutstandingLease {
            holder: granted.holder.clone(),
            remaining: granted.expires_at - now,
        });
        Reply::immediate(Payload::Promise { ballot, term: self.highest_term, outstanding })
    }

    fn grant(&mut self, ballot: Ballot, term: Term, expires_at: Micros, is_durable: bool) -> Reply {
        self.promised = Some(ballot.clone());
        self.highest_term = term;
        self.granted = Some(GrantedLease { holder: ballot.candidate.clone(), term, expires_at });
        let once_persisted = (is_durable && self.persisted_term < term).then_some(term);
        Reply { payload: Payload::Accept { ballot, term }, once_persisted }
    }
}

impl Reply {
    fn immediate(payload: Payload) -> Reply {
        Reply { payload, once_persisted: None }
    }
}
