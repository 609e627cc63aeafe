use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::{Driver, Micros, Move, Said, Seeker, Term, Voter, Word};

/// What an operator says of it, the same at all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    pub voters: Vec<String>,
    pub duties: Vec<String>,
    /// For how long a duty is granted at a time.
    pub lasts: Micros,
    /// No term is lower: an operator's word after terms were lost and clocks went back.
    pub least_term: Term,
}

/// Terms that cannot be meant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unusable {
    #[error("voters: {0} are named; name 3, 5 or 7 drivers, so that a majority is clear")]
    Voters(usize),
    #[error("voters: {0:?} is named twice; each voter has a name of its own")]
    Twice(String),
    #[error("lease: {0} us is too short; give at least half a second, or it runs out under a slow answer")]
    Short(Micros),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Got { duty: String, term: Term },
    Lost { duty: String, term: Term },
}

/// What the caller is to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Todo {
    pub send: Vec<(String, Said)>,
    /// To be kept on the disk; [`Agreement::kept`] is to be called then.
    pub keep: Vec<(String, Term)>,
    pub changes: Vec<Change>,
    pub wake_at: Option<Micros>,
}

/// A driver's part in all duties: its vote, where it has one, and what it seeks.
pub struct Agreement {
    own: Driver,
    voters: Vec<String>,
    least_term: Term,
    lasts: Micros,
    voter: Option<Voter>,
    seekers: BTreeMap<String, Seeker>,
    /// Grants that are told once their term is on the disk.
    unkept: Vec<(String, Term, String, Said)>,
    rng: Pcg64Mcg,
    todo: Todo,
}

impl Agreement {
    /// `kept` is what a voter's store held; `None` is a voter without one.
    pub fn start(
        now: Micros,
        own: Driver,
        terms: &Terms,
        kept: Option<Vec<(String, Term)>>,
        seed: u64,
    ) -> Result<Agreement, Unusable> {
        let Terms { voters, duties, lasts, least_term } = terms;
        if !matches!(voters.len(), 3 | 5 | 7) {
            return Err(Unusable::Voters(voters.len()));
        }
        if let Some(twice) = voters.iter().enumerate().find(|(at, name)| voters[..*at].contains(name)) {
            return Err(Unusable::Twice(twice.1.clone()));
        }
        if *lasts < 500_000 {
            return Err(Unusable::Short(*lasts));
        }
        let votes = voters.iter().any(|name| **name == *own.name);
        let voter = votes.then(|| Voter::start(now, *lasts, kept));
        let mut agreement = Agreement {
            voters: voters.iter().map(|name| name.as_str().into()).collect(),
            least_term: *least_term,
            lasts: *lasts,
            voter,
            seekers: BTreeMap::new(),
            unkept: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            todo: Todo::default(),
            own,
        };
        if let Some(from) = agreement.voter.as_ref().map(Voter::speaks_from) {
            for duty in duties {
                let duty: String = duty.as_str().into();
                let next = from + agreement.turn(&duty);
                let seeker = Seeker::start(agreement.own.clone(), voters.len(), *lasts, next);
                agreement.seekers.insert(duty, seeker);
            }
        }
        Ok(agreement)
    }

    /// When its turn to seek a free duty is: by a rank that all draw alike, so that duties are spread.
    fn turn(&mut self, duty: &str) -> Micros {
        let own = draw(duty, &self.own.name);
        let before = self.voters.iter().filter(|name| draw(duty, name) < own).count() as Micros;
        before * self.lasts / 60 + self.rng.random_range(0..=self.lasts / 200)
    }

    /// Its voter has a store that cannot be read yet, and casts no vote before [`Agreement::read`].
    pub fn hold_back(&mut self) {
        self.voter.iter_mut().for_each(Voter::hold_back);
    }

    /// What the voter's store held, once it is read.
    pub fn read(&mut self, kept: Vec<(String, Term)>) {
        if let Some(voter) = &mut self.voter {
            voter.read(kept);
        }
    }

    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// To be asked immediately before each act.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<Term> {
        self.seekers.get(duty)?.may_act(now)
    }

    /// `wall` is the Unix time in milliseconds, here and below.
    pub fn wake(&mut self, now: Micros, wall: u64) -> Todo {
        for duty in self.seekers.keys().cloned().collect::<Vec<_>>() {
            let lease = self.voter.as_ref().and_then(|voter| voter.lease(now, &duty));
            let other = lease.filter(|(by, _)| **by != self.own).map(|(_, until)| until);
            let chance = self.rng.random();
            let moves = self.seekers.get_mut(&duty).map(|seeker| seeker.wake(now, other, chance));
            self.carry_out(now, wall, &duty, moves.unwrap_or_default());
        }
        self.settle()
    }

    pub fn hear(&mut self, now: Micros, wall: u64, from: &Driver, said: &Said) -> Todo {
        // Whoever is not named has no vote, and seeks nothing.
        if self.voters.contains(&from.name) {
            self.take_in(now, wall, from, said);
        }
        self.settle()
    }

    fn take_in(&mut self, now: Micros, wall: u64, from: &Driver, said: &Said) {
        let Said { duty, word } = said;
        if matches!(word, Word::Prepare { .. } | Word::Propose { .. } | Word::LayDown { .. }) {
            let Some(voter) = &mut self.voter else { return };
            let laid_down = matches!(word, Word::LayDown { .. });
            let answer = voter.hear(now, from, said);
            if laid_down && voter.lease(now, duty).is_none() && from.name != self.own.name {
                let silent = (voter.speaks_from() - now).max(0);
                let turn = self.turn(duty);
                if let Some(seeker) = self.seekers.get_mut(duty) {
                    seeker.free(now, silent + turn);
                }
            }
            let Some(answer) = answer else { return };
            let said = Said { duty: duty.clone(), word: answer.word };
            match answer.once_kept {
                Some(term) => {
                    self.todo.keep.push((duty.clone(), term));
                    self.unkept.push((duty.clone(), term, from.name.clone(), said));
                }
                None => self.say(now, wall, from.name.clone(), said),
            }
        } else {
            let moves = self
                .seekers
                .get_mut(duty)
                .map(|seeker| seeker.hear(now, wall.max(self.least_term), &from.name, word));
            self.carry_out(now, wall, duty, moves.unwrap_or_default());
        }
    }

    /// Others took acts of this term.
    ///
    /// Protects a duty from terms that nobody takes: of voters that all forgot, under clocks that are behind those under
    /// which earlier terms were made. A holder of a lower term gives it up and seeks one above. Harms nobody: who holds a
    /// lower term was overtaken.
    pub fn saw(&mut self, now: Micros, wall: u64, duty: &str, term: Term) -> Todo {
        let Some(voter) = &mut self.voter else { return Todo::default() };
        voter.saw(duty, term);
        if let Some(seeker) = self.seekers.get_mut(duty)
            && seeker.may_act(now).is_some_and(|own| own < term)
        {
            let moves = seeker.lay_down(now);
            seeker.free(now, 0);
            self.carry_out(now, wall, duty, moves);
        }
        self.settle()
    }

    /// The record of this term is on the disk; what waited for it is said.
    pub fn kept(&mut self, now: Micros, wall: u64, duty: &str, term: Term) -> Todo {
        if let Some(voter) = &mut self.voter {
            voter.kept(duty, term);
        }
        let (due, wait) = std::mem::take(&mut self.unkept)
            .into_iter()
            .partition(|(of, waits, ..)| **of == *duty && *waits <= term);
        self.unkept = wait;
        let due: Vec<_> = due;
        due.into_iter().for_each(|(_, _, to, said)| self.say(now, wall, to, said));
        self.settle()
    }

    /// The disk does not take them: no vote is given that could be forgotten.
    pub fn not_kept(&mut self) {
        self.unkept.clear();
    }

    /// What this driver needs for a duty is there, or is not.
    pub fn able(&mut self, now: Micros, duty: &str, able: bool) -> Todo {
        let moves = self.seekers.get_mut(duty).map(|seeker| seeker.able(now, able));
        self.carry_out(now, 0, duty, moves.unwrap_or_default());
        self.settle()
    }

    /// It goes: all duties are laid down, so that others need not wait for their end.
    pub fn leave(&mut self, now: Micros) -> Todo {
        for duty in self.seekers.keys().cloned().collect::<Vec<_>>() {
            let moves = self.seekers.get_mut(&duty).map(|seeker| seeker.lay_down(now));
            self.carry_out(now, 0, &duty, moves.unwrap_or_default());
        }
        self.seekers.clear();
        self.settle()
    }

    fn carry_out(&mut self, now: Micros, wall: u64, duty: &str, moves: Vec<Move>) {
        for step in moves {
            match step {
                Move::Say(word) => {
                    for to in self.voters.clone() {
                        self.say(now, wall, to, Said { duty: duty.to_owned(), word: word.clone() });
                    }
                }
                Move::Got(term) => self.todo.changes.push(Change::Got { duty: duty.to_owned(), term }),
                Move::Lost(term) => self.todo.changes.push(Change::Lost { duty: duty.to_owned(), term }),
            }
        }
    }

    /// To another, or to itself at once.
    fn say(&mut self, now: Micros, wall: u64, to: String, said: Said) {
        if to != self.own.name {
            return self.todo.send.push((to, said));
        }
        let own = self.own.clone();
        self.take_in(now, wall, &own, &said);
    }

    fn settle(&mut self) -> Todo {
        self.todo.wake_at = self.seekers.values().map(Seeker::wake_at).min();
        std::mem::take(&mut self.todo)
    }
}

/// Both names hashed, and mixed once more: names that differ in their last letter are far apart.
fn draw(duty: &str, name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    [duty.as_bytes(), &[0], name.as_bytes()].into_iter().for_each(|part| hasher.write(part));
    let hash = hasher.finish();
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
