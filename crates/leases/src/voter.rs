//! One voter: what it promised and granted of each lease.

use std::collections::BTreeMap;

use crate::{Ballot, Incarnation, Message, Micros, OutstandingLease, Payload, Term, clock_margin};

/// A lease as one voter granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GrantedLease {
    /// To whom.
    pub holder: Incarnation,
    /// Under which term.
    pub term: Term,
    /// When it expires, by the voter's clock.
    pub expires_at: Micros,
}

/// What one voter knows of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseState {
    promised: Option<Ballot>,
    /// The highest term granted.
    highest_term: Term,
    /// The highest term that may be told at once; with a store, one that is on the disk.
    persisted_term: Term,
    granted: Option<GrantedLease>,
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// To be sent to whoever asked.
    pub payload: Payload,
    /// Send it only once this term is on the disk.
    pub once_persisted: Option<Term>,
}

/// Where a voter keeps the terms that it granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TermStorage {
    /// Nowhere: they are forgotten with the process.
    Volatile,
    /// In a store that has not been read yet: no vote is cast.
    Unread,
    /// In a store whose records are known.
    Durable,
}

/// One voter, for all leases.
///
/// Promises and grants are forgotten with the process, so that a voter is silent for one lease after its start: whatever
/// it granted before has expired then. Guards lease holders from a voter that forgot them and grants their lease to
/// another; costs the fleet one voter for that long. Only terms are kept, where there is a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    silent_until: Micros,
    /// The longest lease that it grants; the same at all voters.
    max_lease_duration: Micros,
    storage: TermStorage,
    leases: BTreeMap<String, LeaseState>,
}

impl Voter {
    /// A voter that starts now. `stored_terms` is what its store held, where it has one.
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

    /// Its store cannot be read yet: no vote is cast before [`Voter::restore`].
    ///
    /// Guards terms from a voter that forgot which it granted; costs the fleet one voter for as long as that lasts.
    pub fn withhold_votes(&mut self) {
        self.storage = TermStorage::Unread;
    }

    /// What its store held, once it has been read.
    pub fn restore(&mut self, stored_terms: impl IntoIterator<Item = (String, Term)>) {
        if self.storage == TermStorage::Unread {
            self.storage = TermStorage::Durable;
        }
        for (lease, term) in stored_terms {
            let state = self.leases.entry(lease).or_default();
            // Not as persisted: what was read and not written again may be in the system's memory only.
            state.highest_term = state.highest_term.max(term);
        }
    }

    /// Until when it casts no vote after its start.
    #[must_use]
    pub fn silent_until(&self) -> Micros {
        self.silent_until
    }

    /// The highest term of a lease that it knows to have been granted.
    #[must_use]
    pub fn highest_term(&self, lease: &str) -> Term {
        self.leases.get(lease).map_or(0, |state| state.highest_term)
    }

    /// A lease that this voter granted and that has not expired.
    #[must_use]
    pub fn granted(&self, now: Micros, lease: &str) -> Option<&GrantedLease> {
        let granted = self.leases.get(lease)?.granted.as_ref()?;
        (now < granted.expires_at).then_some(granted)
    }

    /// Takes a message for voters, and answers it where there is something to say.
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
            // A lease longer than this voter's silence after a start: the candidate is configured otherwise than the rest.
            Payload::Propose { duration, .. } if duration > self.max_lease_duration => None,
            Payload::Propose { term, duration, .. } if term >= state.highest_term && term > 0 => {
                let is_durable = self.storage != TermStorage::Volatile;
                Some(state.grant(ballot, term, now + duration, is_durable))
            }
            _ => None,
        }
    }

    /// Only its holder releases a lease, and only under the term that it holds.
    fn release(&mut self, from: &Incarnation, lease: &str, term: Term) {
        let Some(state) = self.leases.get_mut(lease) else { return };
        if state.granted.as_ref().is_some_and(|granted| granted.holder == *from && granted.term == term) {
            state.granted = None;
        }
    }

    /// Others took acts of this term, whoever granted it: what is granted from now on is no lower.
    pub fn observe_term(&mut self, lease: &str, term: Term) {
        let state = self.leases.entry(lease.to_owned()).or_default();
        state.highest_term = state.highest_term.max(term);
    }

    /// The record of this term is on the disk.
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
