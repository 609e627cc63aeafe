use std::collections::BTreeMap;

use crate::{Micros, Term};

/// One duty, as agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The highest term that was ever granted; it stays when the duty is laid down.
    pub term: Term,
    pub holder: Option<String>,
    /// For how long each asking of the holder counts.
    pub lasts: Micros,
}

/// What voters agree on, one after the other, the same at all of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// The duty goes to another holder. `after` is the term that whoever orders it has seen: where another order came
    /// first, this one is void.
    Pass { duty: String, to: String, lasts: Micros, after: Term },
    /// Its holder lays it down under this term.
    LayDown { duty: String, term: Term },
    /// An operator's word after a majority's state was lost: no holder, and no term below this one from now on.
    Recover { duty: String, term: Term },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Granted(Term),
    LaidDown,
    Recovered,
    /// It was overtaken, or says less than is agreed already.
    Void,
}

/// All duties, as agreed. No time: when a lease is over is its warden's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grants {
    duties: BTreeMap<String, Grant>,
}

impl Grants {
    pub fn get(&self, duty: &str) -> Option<&Grant> {
        self.duties.get(duty)
    }

    pub fn all(&self) -> impl Iterator<Item = (&str, &Grant)> {
        self.duties.iter().map(|(duty, grant)| (duty.as_str(), grant))
    }

    /// How many duties a driver holds.
    pub fn held_by(&self, name: &str) -> usize {
        self.duties.values().filter(|grant| grant.holder.as_deref() == Some(name)).count()
    }

    /// Terms never fall, whatever is ordered.
    pub fn apply(&mut self, order: Order) -> Outcome {
        match order {
            Order::Pass { duty, to, lasts, after } => {
                let grant = self.duties.entry(duty).or_default();
                if grant.term != after {
                    return Outcome::Void;
                }
                *grant = Grant { term: after + 1, holder: Some(to), lasts };
                Outcome::Granted(grant.term)
            }
            Order::LayDown { duty, term } => match self.duties.get_mut(&duty) {
                Some(grant) if grant.term == term && grant.holder.is_some() => {
                    grant.holder = None;
                    Outcome::LaidDown
                }
                _ => Outcome::Void,
            },
            Order::Recover { duty, term } => {
                let grant = self.duties.entry(duty).or_default();
                if term <= grant.term {
                    return Outcome::Void;
                }
                *grant = Grant { term, holder: None, lasts: grant.lasts };
                Outcome::Recovered
            }
        }
    }
}
