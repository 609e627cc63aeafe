//! A held lease as its holder sees it: until when the holder may act.

use crate::{Micros, Term, clock_margin};

/// A lease that this process holds.
///
/// Its duration counts from when the request for it was sent, so that it expires at the holder before it
/// expires at the voters that granted it, however long their replies took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    term: Term,
    duration: Micros,
    expires_at: Micros,
}

impl HeldLease {
    /// Creates a lease of `duration` that was requested at `requested_at`, the time when the request was
    /// sent.
    #[must_use]
    pub fn granted(term: Term, requested_at: Micros, duration: Micros) -> HeldLease {
        HeldLease { term, duration, expires_at: expiry(requested_at, duration) }
    }

    /// Extends the lease under the same term. A reply to an earlier request that arrives after the reply to a
    /// later one has no effect.
    pub fn renew(&mut self, requested_at: Micros) {
        self.expires_at = self.expires_at.max(expiry(requested_at, self.duration));
    }

    /// Returns the term under which the holder may act, or `None` once the lease has expired.
    ///
    /// The holder calls this immediately before each operation, which carries the term. If the holder is
    /// stopped between this call and the operation, the receiver's [`Fence`](crate::Fence) rejects the
    /// operation once a higher term is known.
    #[must_use]
    pub fn may_act(&self, now: Micros) -> Option<Term> {
        (now < self.expires_at).then_some(self.term)
    }

    /// Returns the term under which the lease was granted.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns when the lease expires, by this process's clock.
    #[must_use]
    pub fn expires_at(&self) -> Micros {
        self.expires_at
    }

    /// Returns when to renew the lease: with two thirds of its duration left, as replies may get lost.
    #[must_use]
    pub fn renew_at(&self) -> Micros {
        self.expires_at - self.duration * 2 / 3
    }
}

fn expiry(requested_at: Micros, duration: Micros) -> Micros {
    requested_at + duration - clock_margin(duration)
}
