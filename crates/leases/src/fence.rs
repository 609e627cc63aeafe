use std::collections::BTreeMap;

use crate::Term;

/// What becomes of an act that came with a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Yes,
    /// Once the term is kept: [`Fence::kept`] is to be called then, and the act asked about again.
    WhenKept,
    /// A higher term was seen.
    No {
        highest: Term,
    },
}

/// What a receiver of acts has seen of terms, by duty.
///
/// Protects what acts change from a holder that was stopped between its look at the lease and its act. Harms nobody who
/// holds the duty. A receiver with a store takes no act of a term that it could forget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    seen: BTreeMap<String, Term>,
    kept: BTreeMap<String, Term>,
    durable: bool,
}

impl Fence {
    /// One that forgets with its process.
    pub fn passing() -> Fence {
        Fence::default()
    }

    /// One with a store, which held these.
    pub fn durable(records: impl IntoIterator<Item = (String, Term)>) -> Fence {
        let kept: BTreeMap<String, Term> = records.into_iter().collect();
        Fence { seen: kept.clone(), kept, durable: true }
    }

    pub fn receive(&mut self, duty: &str, term: Term) -> Taken {
        let highest = self.seen.get(duty).copied().unwrap_or(0);
        if term < highest {
            return Taken::No { highest };
        }
        if term > highest {
            self.seen.insert(duty.to_owned(), term);
        }
        let kept = !self.durable || self.kept.get(duty).copied().unwrap_or(0) >= term;
        if kept { Taken::Yes } else { Taken::WhenKept }
    }

    /// The record of this term is on the disk.
    pub fn kept(&mut self, duty: &str, term: Term) {
        let kept = self.kept.entry(duty.to_owned()).or_default();
        *kept = term.max(*kept);
    }
}
