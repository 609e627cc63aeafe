use std::collections::BTreeMap;

use crate::{Ballot, Driver, Held, Micros, Said, Term, Word};

/// What one voter promised and granted of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seat {
    promised: Option<Ballot>,
    /// The highest term granted, and the highest that this start may tell of having granted: with a store one that is kept.
    term: Term,
    kept: Term,
    lease: Option<(Driver, Term, Micros)>,
}

/// What a voter says, and whether it is to say so only once the term is on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub word: Word,
    pub once_kept: Option<Term>,
}

/// One voter, for all duties.
///
/// It forgets with its process what it promised and granted, so that a start is silent for one lease: whatever was granted
/// before is over then. Protects holders from a voter that forgot them and grants another. Harms the fleet by one voter for
/// that long. Terms alone are kept, where there is a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    silent_until: Micros,
    /// The longest lease that it grants; the same at all voters.
    longest: Micros,
    durable: bool,
    /// What its store held is not known yet.
    unread: bool,
    seats: BTreeMap<String, Seat>,
}

impl Voter {
    /// `kept` is what its store held, where it has one.
    pub fn start(
        now: Micros,
        longest: Micros,
        kept: Option<impl IntoIterator<Item = (String, Term)>>,
    ) -> Voter {
        let durable = kept.is_some();
        let seat = |(duty, term)| (duty, Seat { term, kept: term, ..Seat::default() });
        let seats = kept.into_iter().flatten().map(seat).collect();
        let margin = longest.div_euclid(crate::DRIFT) + 1;
        Voter { silent_until: now + longest + margin, longest, durable, unread: false, seats }
    }

    /// It has a store that cannot be read yet: no vote is cast before [`Voter::read`].
    ///
    /// Protects terms from a voter that forgot which it granted. Harms the fleet by one voter for as long as that lasts.
    pub fn hold_back(&mut self) {
        (self.durable, self.unread) = (true, true);
    }

    /// What its store held, once it is read.
    pub fn read(&mut self, kept: impl IntoIterator<Item = (String, Term)>) {
        self.unread = false;
        for (duty, term) in kept {
            let seat = self.seats.entry(duty).or_default();
            // Not as kept: what was read and not written again may be in the memory of the system only.
            seat.term = seat.term.max(term);
        }
    }

    pub fn speaks_from(&self) -> Micros {
        self.silent_until
    }

    /// The highest term that it granted of a duty, under any start that it knows of.
    pub fn term(&self, duty: &str) -> Term {
        self.seats.get(duty).map_or(0, |seat| seat.term)
    }

    /// Until when a lease is out, as far as this voter granted it, and to whom.
    pub fn lease(&self, now: Micros, duty: &str) -> Option<(&Driver, Micros)> {
        let (by, _, until) = self.seats.get(duty)?.lease.as_ref()?;
        (now < *until).then_some((by, *until))
    }

    pub fn hear(&mut self, now: Micros, from: &Driver, said: &Said) -> Option<Answer> {
        let at_once = |word| Some(Answer { word, once_kept: None });
        if let Word::LayDown { term } = said.word {
            let seat = self.seats.get_mut(&said.duty)?;
            // Only its holder's word counts, and only for this term.
            if seat.lease.as_ref().is_some_and(|(by, held, _)| by == from && *held == term) {
                seat.lease = None;
            }
            return None;
        }
        if now < self.silent_until || self.unread {
            return None;
        }
        let seat = self.seats.entry(said.duty.clone()).or_default();
        let ballot = match &said.word {
            Word::Prepare { ballot } | Word::Propose { ballot, .. } if ballot.by == *from => ballot.clone(),
            _ => return None,
        };
        if let Some(promised) = seat.promised.as_ref().filter(|promised| **promised > ballot) {
            let promised = promised.count;
            return at_once(Word::Refuse { ballot, promised });
        }
        match said.word {
            Word::Prepare { .. } => {
                seat.promised = Some(ballot.clone());
                let lease = seat.lease.clone().filter(|(.., until)| now < *until);
                let held = lease.map(|(by, _, until)| Held { by, left: until - now });
                at_once(Word::Promise { ballot, term: seat.term, held })
            }
            // One whose lease is longer than this voter is silent after a start is configured otherwise than the rest.
            Word::Propose { term, lasts, .. } if term >= seat.term && lasts <= self.longest && term > 0 => {
                seat.promised = Some(ballot.clone());
                (seat.term, seat.lease) = (term, Some((ballot.by.clone(), term, now + lasts)));
                let once_kept = (self.durable && seat.kept < term).then_some(term);
                Some(Answer { word: Word::Accept { ballot, term }, once_kept })
            }
            _ => None,
        }
    }

    /// A term that others took acts of, whoever granted it: what is granted from now on is no lower.
    pub fn saw(&mut self, duty: &str, term: Term) {
        let seat = self.seats.entry(duty.to_owned()).or_default();
        seat.term = seat.term.max(term);
    }

    /// The record of this term is on the disk.
    pub fn kept(&mut self, duty: &str, term: Term) {
        if let Some(seat) = self.seats.get_mut(duty) {
            seat.kept = seat.kept.max(term);
        }
    }
}
