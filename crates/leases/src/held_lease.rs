//! The lease as its holder sees it: until when it may act.

use crate::{Micros, Term, clock_margin};

/// A lease that this process holds.
///
/// Its duration counts from before it was requested, so that it expires here before it expires at the voters that
/// granted it, however long their answers took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    term: Term,
    duration: Micros,
    expires_at: Micros,
}

impl HeldLease {
    /// A lease of `duration`; `requested_at` is when the request was sent.
    #[must_use]
    pub fn granted(term: Term, requested_at: Micros, duration: Micros) -> HeldLease {
        HeldLease { term, duration, expires_at: expiry(requested_at, duration) }
    }

    /// Extends the same term. An answer that arrives after that to a later request changes nothing.
    pub fn renew(&mut self, requested_at: Micros) {
        self.expires_at = self.expires_at.max(expiry(requested_at, self.duration));
    }

    /// The term to act under, while the lease has not expired. To be asked immediately before each act, which carries
    /// the term. A lease holder that is stopped between this and the act is rejected by the receiver's
    /// [`Fence`](crate::Fence).
    #[must_use]
    pub fn may_act(&self, now: Micros) -> Option<Term> {
        (now < self.expires_at).then_some(self.term)
    }

    /// The term under which it was granted.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// When it expires, by this process's clock.
    #[must_use]
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }

    /// When to renew it: with two thirds of its duration left for answers that get lost.
    #[must_use]
    pub fn renew_at(&self) -> Micros {
        self.expires_at - self.duration * 2 / 3
    }
}

fn expiry(requested_at: Micros, duration: Micros) -> Micros {
    requested_at + duration - clock_margin(duration)
}
