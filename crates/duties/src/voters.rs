use std::collections::BTreeMap;

/// What a driver may do in an agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Votes,
    /// It is named among the voters, and this start of it has lost what it promised: it hears, and does not vote.
    Learns,
    /// It asks.
    Stranger,
}

/// Who votes: named drivers, each with the start of its state. A start of the process does not change it; a state that
/// was lost is a new one.
///
/// Protects what was agreed from a voter that forgot its vote and gives another. Harms the fleet by one vote until a
/// majority of the others has agreed to take it in anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Voters {
    /// Rises with each agreed change. Votes of different epochs are never counted together, and a voter that agreed to a
    /// change votes for nothing that was proposed before it.
    epoch: u64,
    states: BTreeMap<String, u64>,
}

impl Voters {
    pub fn of(states: impl IntoIterator<Item = (String, u64)>) -> Voters {
        Voters { epoch: 0, states: states.into_iter().collect() }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn standing(&self, name: &str, state: u64) -> Standing {
        match self.states.get(name) {
            Some(&agreed) if agreed == state => Standing::Votes,
            Some(_) => Standing::Learns,
            None => Standing::Stranger,
        }
    }

    pub fn majority(&self) -> usize {
        self.states.len() / 2 + 1
    }

    /// Whether these make a majority; who is counted twice, or lost its state, counts not.
    pub fn agree<'a>(&self, said: impl IntoIterator<Item = (&'a str, u64)>) -> bool {
        let mut names: Vec<&str> = said
            .into_iter()
            .filter(|&(name, state)| self.standing(name, state) == Standing::Votes)
            .map(|(name, _)| name)
            .collect();
        names.sort_unstable();
        names.dedup();
        names.len() >= self.majority()
    }

    /// A voter that lost its state is taken in under its new one, if a majority of all voters, itself not among them,
    /// has agreed to it. Where no such majority has its state any more, nobody can: an operator must say what holds.
    pub fn take_in<'a>(
        &mut self,
        name: &str,
        state: u64,
        agreed: impl IntoIterator<Item = (&'a str, u64)>,
    ) -> bool {
        let others = agreed.into_iter().filter(|(other, _)| *other != name);
        let may = self.standing(name, state) == Standing::Learns && self.agree(others);
        if may {
            self.states.insert(name.to_owned(), state);
            self.epoch += 1;
        }
        may
    }

    /// Whether so many of the voters' states are lost that what was agreed cannot be known.
    pub fn is_lost<'a>(&self, there: impl IntoIterator<Item = (&'a str, u64)>) -> bool {
        let named: Vec<(&str, u64)> = there.into_iter().collect();
        let lost = self
            .states
            .iter()
            .filter(|(name, state)| named.iter().any(|(other, now)| other == name && now != *state));
        self.states.len() - lost.count() < self.majority()
    }
}
