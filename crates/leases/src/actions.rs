//! What a process has to do for its part in the leases.

use crate::{Message, Micros, Term};

/// A lease that this process has acquired or lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// This process holds the lease from now on.
    Acquired {
        /// The name of the lease.
        lease: String,
        /// The term under which this process holds the lease.
        term: Term,
    },
    /// This process no longer holds the lease.
    Lost {
        /// The name of the lease.
        lease: String,
        /// The term under which this process held the lease.
        term: Term,
    },
}

/// A message and its addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The name of the addressee, which is another voter.
    pub to: String,
    /// The message to send.
    pub message: Message,
}

/// What the caller has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Actions {
    /// Messages to send.
    pub send: Vec<Outgoing>,
    /// Terms to write to disk, with the names of their leases. Once they are on disk, the caller calls
    /// [`crate::Participant::persisted`].
    pub persist: Vec<(String, Term)>,
    /// Leases that this process has acquired or lost.
    pub changes: Vec<LeaseChange>,
    /// When to call [`crate::Participant::wake`]; `None` if this process is no candidate for any lease.
    pub wake_at: Option<Micros>,
}
