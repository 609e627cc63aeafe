use std::collections::BTreeMap;

use crate::{Grants, Micros, Term};

/// Whether a duty may pass to another driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Free {
    Now {
        after: Term,
    },
    /// A lease may be out until then.
    Later(Micros),
}

/// What the one who leads the voters knows of leases that may be out, on its own clock.
///
/// A grant or renewal counts from when it was made here, which is after its holder asked for it. One that has just
/// begun to lead knows of no renewals by those before it, and takes every lease for just renewed: an earlier leader
/// renewed nothing after that, as each renewal needs a majority's word, given after it was asked for, that it still leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Warden {
    began: Micros,
    /// Since when a lease of a term may be out.
    since: BTreeMap<String, (Term, Micros)>,
    /// Terms of which it has said that the duty is free: an order to pass it on may be on its way.
    let_go: BTreeMap<String, Term>,
}

impl Warden {
    /// One that begins to lead now.
    pub fn start(now: Micros) -> Warden {
        Warden { began: now, since: BTreeMap::new(), let_go: BTreeMap::new() }
    }

    /// An order to pass the duty on was agreed, and seen to be so here.
    pub fn passed(&mut self, now: Micros, duty: &str, term: Term) {
        self.since.insert(duty.to_owned(), (term, now));
    }

    /// Its holder asked at `asked` on this clock, and since then a majority said that this one still leads. Whether the
    /// lease goes on.
    ///
    /// Protects the next holder from one that asks again after its lease was over, while the order to pass the duty on is
    /// under way. Harms one that was late by a moment: it asks for the duty anew.
    pub fn renews(&mut self, grants: &Grants, asked: Micros, duty: &str, by: &str, term: Term) -> bool {
        let holds = grants.get(duty).is_some_and(|grant| {
            grant.term == term && grant.holder.as_deref() == Some(by) && self.let_go.get(duty) != Some(&term)
        });
        if holds {
            let since = self.since.entry(duty.to_owned()).or_insert((term, asked));
            *since = (term, since.1.max(asked));
        }
        holds
    }

    /// To be asked before an order to pass it on: from a yes on nothing of its term is renewed here.
    pub fn is_free(&mut self, grants: &Grants, now: Micros, duty: &str) -> Free {
        let Some(grant) = grants.get(duty) else { return Free::Now { after: 0 } };
        let since = self.since.get(duty).filter(|(term, _)| *term == grant.term).map(|&(_, at)| at);
        // What was renewed before this one led may be out as long as if it were renewed then.
        let until = since.unwrap_or(self.began).max(self.began) + grant.lasts;
        if grant.holder.is_none() || now >= until {
            self.let_go.insert(duty.to_owned(), grant.term);
            Free::Now { after: grant.term }
        } else {
            Free::Later(until)
        }
    }
}
