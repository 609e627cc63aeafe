use crate::{DRIFT, Micros, Term};

/// A duty as its holder has it.
///
/// The lease counts from before it was asked for, so that its end here comes before its end at those who granted it,
/// whatever the answer's way took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    term: Term,
    lasts: Micros,
    ends: Micros,
}

impl Tenure {
    /// Granted for so long; `asked` is when the asking left.
    pub fn granted(term: Term, asked: Micros, lasts: Micros) -> Tenure {
        Tenure { term, lasts, ends: Tenure::end(asked, lasts) }
    }

    fn end(asked: Micros, lasts: Micros) -> Micros {
        asked + lasts - Tenure::margin(lasts)
    }

    /// What clocks that run apart may make of a lease.
    ///
    /// Protects the next holder from one whose clock is slow. Harms nobody but by a shorter lease.
    pub fn margin(lasts: Micros) -> Micros {
        lasts.div_euclid(DRIFT) + 1
    }

    /// The same term goes on. An answer that comes behind a later one changes nothing.
    pub fn renewed(&mut self, asked: Micros) {
        self.ends = self.ends.max(Tenure::end(asked, self.lasts));
    }

    /// To be asked immediately before each act, which carries the term. A holder that is stopped between this and the
    /// act is the fence's to refuse.
    pub fn may_act(&self, now: Micros) -> Option<Term> {
        (now < self.ends).then_some(self.term)
    }

    pub fn term(&self) -> Term {
        self.term
    }

    pub fn ends(&self) -> Micros {
        self.ends
    }

    /// When it is to be renewed: with two thirds of it left for answers that are lost.
    pub fn renew_at(&self) -> Micros {
        self.ends - self.lasts * 2 / 3
    }
}
