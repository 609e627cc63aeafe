use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Ballot, Driver, Micros, Tenure, Term, Word};

/// Losses that count, and how long one that lost the duty leaves it to others: twice as long after each further loss.
const WINDOW: Micros = 300_000_000;
const FIRST: Micros = 1_000_000;
const MOST: Micros = 60_000_000;

/// What a seeker is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// To be said to all voters, itself among them.
    Say(Word),
    /// It holds the duty from now on, under this term.
    Got(Term),
    /// It holds it no longer.
    Lost(Term),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Way {
    Rests,
    /// It asked: who promised, the highest term that they know, who knows of another holder.
    Asks {
        ballot: Ballot,
        promised: BTreeSet<String>,
        term: Term,
        others: BTreeMap<String, Micros>,
    },
    /// It proposed, at that time by its own clock: a lease counts from then.
    Proposes {
        ballot: Ballot,
        at: Micros,
        term: Term,
        granted: BTreeSet<String>,
    },
}

/// How one driver gets one duty, keeps it and lays it down.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seeker {
    own: Driver,
    majority: usize,
    lasts: Micros,
    /// Whether it can do what the duty needs.
    able: bool,
    way: Way,
    tenure: Option<(Tenure, Ballot)>,
    /// The highest count of a ballot that it knows of.
    count: u64,
    /// When it turns to the duty again.
    next: Micros,
    losses: VecDeque<Micros>,
}

impl Seeker {
    /// The first asking is at `next`.
    pub fn start(own: Driver, voters: usize, lasts: Micros, next: Micros) -> Seeker {
        let majority = voters / 2 + 1;
        let (way, losses) = (Way::Rests, VecDeque::new());
        Seeker { own, majority, lasts, able: true, way, tenure: None, count: 0, next, losses }
    }

    /// To be asked immediately before each act.
    pub fn may_act(&self, now: Micros) -> Option<Term> {
        self.tenure.as_ref().and_then(|(tenure, _)| tenure.may_act(now))
    }

    pub fn wake_at(&self) -> Micros {
        let ends = self.tenure.as_ref().map_or(Micros::MAX, |(tenure, _)| tenure.ends());
        self.next.min(ends)
    }

    /// How long an answer is waited for.
    fn patience(&self) -> Micros {
        self.lasts / 20
    }

    /// Until when one that lost the duty leaves it to others.
    ///
    /// Protects a duty from a driver that takes it again and again and cannot keep it. Harms one that was unlucky, by a
    /// second; where nobody else takes it for a whole lease it seeks it all the same.
    fn held_back(&self, free_since: Micros) -> Micros {
        let Some(&last) = self.losses.back() else { return Micros::MIN };
        let rest = (FIRST << (self.losses.len() - 1).min(6)).min(MOST);
        (last + rest).min(free_since + self.lasts)
    }

    /// A moment at which it may seek the duty: a lease that it knew of is over, or was laid down.
    pub fn free(&mut self, now: Micros, wait: Micros) {
        if self.tenure.is_none() {
            self.way = Way::Rests;
            self.next = (now + wait).max(self.held_back(now));
        }
    }

    /// It can do what the duty needs, or can no longer.
    pub fn able(&mut self, now: Micros, able: bool) -> Vec<Move> {
        self.able = able;
        if able { Vec::new() } else { self.lay_down(now) }
    }

    /// It gives the duty up at once; whoever seeks it next need not wait for the lease's end.
    pub fn lay_down(&mut self, now: Micros) -> Vec<Move> {
        self.way = Way::Rests;
        self.next = now + self.lasts;
        match self.tenure.take() {
            Some((tenure, _)) => {
                vec![Move::Lost(tenure.term()), Move::Say(Word::LayDown { term: tenure.term() })]
            }
            None => Vec::new(),
        }
    }

    /// `other` is until when somebody else holds the duty, as far as this driver's own voter knows; `chance` is a draw from
    /// zero to one, so that two seekers do not stand in each other's way for long.
    pub fn wake(&mut self, now: Micros, other: Option<Micros>, chance: f64) -> Vec<Move> {
        let mut moves = Vec::new();
        if let Some((tenure, _)) = &self.tenure
            && now >= tenure.ends()
        {
            moves.push(Move::Lost(tenure.term()));
            (self.tenure, self.way, self.next) = (None, Way::Rests, now);
            self.losses.push_back(now);
            self.losses.retain(|&at| now - at < WINDOW);
            self.next = self.held_back(now);
        }
        if now < self.next || !self.able {
            return moves;
        }
        let jitter = |of: Micros| (of as f64 * chance) as Micros;
        if let (None, Some(until)) = (&self.tenure, other) {
            (self.way, self.next) = (Way::Rests, until.max(now) + 1 + jitter(self.patience()));
            return moves;
        }
        if self.tenure.is_none() && !matches!(self.way, Way::Rests) {
            // Nobody answered enough: a while later again.
            (self.way, self.next) = (Way::Rests, now + self.patience() / 4 + jitter(self.patience()));
            return moves;
        }
        // A renewal is proposed under the ballot that stands; where that was overtaken, or nothing came of it, anew.
        match (&self.tenure, &self.way) {
            (Some((tenure, ballot)), Way::Rests) => {
                let (ballot, term) = (ballot.clone(), tenure.term());
                moves.push(self.propose(now, ballot, term));
            }
            _ => moves.push(self.ask(now)),
        }
        moves
    }

    fn ask(&mut self, now: Micros) -> Move {
        self.count += 1;
        let ballot = Ballot { count: self.count, by: self.own.clone() };
        self.way =
            Way::Asks { ballot: ballot.clone(), promised: BTreeSet::new(), term: 0, others: BTreeMap::new() };
        self.next = now + self.patience();
        Move::Say(Word::Prepare { ballot })
    }

    fn propose(&mut self, now: Micros, ballot: Ballot, term: Term) -> Move {
        let said = Word::Propose { ballot: ballot.clone(), term, lasts: self.lasts };
        self.way = Way::Proposes { ballot, at: now, term, granted: BTreeSet::new() };
        self.next = now + self.patience();
        Move::Say(said)
    }

    /// A voter's word. `wall` is the Unix time in milliseconds: no new term is lower.
    pub fn hear(&mut self, now: Micros, wall: u64, from: &str, word: &Word) -> Vec<Move> {
        match (word, &mut self.way) {
            (
                Word::Promise { ballot: of, term: seen, held },
                Way::Asks { ballot, promised, term, others, .. },
            ) if of == ballot => {
                *term = (*term).max(*seen);
                match held.as_ref().filter(|held| held.by != self.own) {
                    Some(held) => drop(others.insert(from.to_owned(), held.left)),
                    None => drop(promised.insert(from.to_owned())),
                }
                if promised.len() >= self.majority {
                    let (ballot, term) = (ballot.clone(), *term);
                    let own = self.tenure.as_ref().and_then(|(tenure, _)| tenure.may_act(now));
                    // Its own term goes on as long as its lease is not over.
                    let term = own.unwrap_or((term + 1).max(wall));
                    return vec![self.propose(now, ballot, term)];
                }
                // A majority cannot be had while these hold on to another.
                if others.len() >= self.majority {
                    let left = others.values().max().copied().unwrap_or(0);
                    (self.way, self.next) = (Way::Rests, now + left);
                }
                Vec::new()
            }
            (Word::Accept { ballot: of, term: seen }, Way::Proposes { ballot, at, term, granted })
                if of == ballot && seen == term =>
            {
                granted.insert(from.to_owned());
                if granted.len() < self.majority {
                    return Vec::new();
                }
                let (ballot, term, at) = (ballot.clone(), *term, *at);
                self.way = Way::Rests;
                let mut moves = Vec::new();
                let tenure = match self.tenure.take() {
                    Some((mut tenure, _)) if tenure.term() == term => {
                        tenure.renewed(at);
                        tenure
                    }
                    _ => {
                        let tenure = Tenure::granted(term, at, self.lasts);
                        // An answer that came after the lease's end is none.
                        if tenure.may_act(now).is_none() {
                            self.next = now;
                            return moves;
                        }
                        moves.push(Move::Got(term));
                        tenure
                    }
                };
                self.next = tenure.renew_at();
                self.tenure = Some((tenure, ballot));
                moves
            }
            (Word::Refuse { ballot: of, promised }, way) => {
                let ballot = match way {
                    Way::Asks { ballot, .. } | Way::Proposes { ballot, .. } => ballot,
                    Way::Rests => return Vec::new(),
                };
                if of != ballot {
                    return Vec::new();
                }
                self.count = self.count.max(*promised);
                if self.tenure.is_some() {
                    // A challenger was told of the lease and waits; its ballot is in the way of the renewal.
                    return vec![self.ask(now)];
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}
