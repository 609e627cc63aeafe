//! How one process acquires, renews and releases one lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{Ballot, HeldLease, Incarnation, Micros, Payload, Term};

/// How long the expiry of a held lease counts towards the backoff of the process that lost it, in
/// microseconds.
const LOSS_WINDOW: Micros = 300_000_000;
/// The backoff after the first loss, in microseconds; it doubles with each further loss, up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Micros = 1_000_000;
const MAX_BACKOFF: Micros = 60_000_000;

/// What the caller does for a candidate, in the order in which the actions were returned.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum CandidateAction {
    /// Send the message to all voters, including this process.
    Broadcast(Payload),
    /// This process holds the lease from now on, under the given term.
    Acquired(Term),
    /// This process no longer holds the lease that it held under the given term.
    Lost(Term),
}

/// The replies of voters that the candidate waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Round {
    Idle,
    Preparing {
        ballot: Ballot,
        /// Voters that have promised and know of no other holder.
        promised: BTreeSet<String>,
        /// The highest term that the voters have reported.
        highest_term: Term,
        /// Voters that know of another holder, with the remaining time of its lease in microseconds.
        held_elsewhere: BTreeMap<String, Micros>,
    },
    Proposing {
        ballot: Ballot,
        /// When the proposal was sent, by the candidate's clock; the lease counts from here.
        sent_at: Micros,
        term: Term,
        granted: BTreeSet<String>,
    },
}

/// A lease that is held, and the ballot under which it is renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holding {
    lease: HeldLease,
    ballot: Ballot,
}

/// Acquires, renews and releases one lease for one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    incarnation: Incarnation,
    majority: usize,
    duration: Micros,
    /// Whether this process can do the work that the lease is for.
    is_eligible: bool,
    round: Round,
    holding: Option<Holding>,
    /// The highest ballot number that this candidate knows of.
    ballot_number: u64,
    /// When the next round starts, unless replies to the current one change that.
    next_round_at: Micros,
    loss_times: VecDeque<Micros>,
}

impl Candidate {
    /// Creates a candidate for a lease of `duration` that is granted by `voter_count` voters. Its first round
    /// starts at `first_round_at`.
    #[must_use]
    pub fn start(
        incarnation: Incarnation,
        voter_count: usize,
        duration: Micros,
        first_round_at: Micros,
    ) -> Candidate {
        Candidate {
            incarnation,
            majority: voter_count / 2 + 1,
            duration,
            is_eligible: true,
            round: Round::Idle,
            holding: None,
            ballot_number: 0,
            next_round_at: first_round_at,
            loss_times: VecDeque::new(),
        }
    }

    /// Returns the term under which this process may act, or `None` if it does not hold the lease. To be
    /// called immediately before each operation.
    #[must_use]
    pub fn may_act(&self, now: Micros) -> Option<Term> {
        self.holding.as_ref().and_then(|holding| holding.lease.may_act(now))
    }

    /// Returns when [`Candidate::wake`] is to be called.
    #[must_use]
    pub fn wake_at(&self) -> Micros {
        let expires_at = self.holding.as_ref().map_or(Micros::MAX, |holding| holding.lease.expires_at());
        self.next_round_at.min(expires_at)
    }

    fn reply_timeout(&self) -> Micros {
        self.duration / 20
    }

    /// Returns until when this process leaves the lease to others after it has lost it, [`Micros::MIN`] if it
    /// never has.
    ///
    /// The backoff protects a lease from a process that acquires it again and again and cannot keep it. A
    /// process that lost it once by chance waits a second. The wait ends at the latest one lease duration
    /// after `free_since`, so that a process backing off still seeks a lease that nobody else takes.
    fn backoff_until(&self, free_since: Micros) -> Micros {
        let Some(&last_loss) = self.loss_times.back() else { return Micros::MIN };
        let doublings = (self.loss_times.len() - 1).min(6);
        let backoff = (INITIAL_BACKOFF << doublings).min(MAX_BACKOFF);
        (last_loss + backoff).min(free_since + self.duration)
    }

    /// Schedules a round after `delay`, or after the backoff if that is later, because the lease of another
    /// holder has expired or was released. Has no effect while this process holds the lease.
    pub fn lease_freed(&mut self, now: Micros, delay: Micros) {
        if self.holding.is_none() {
            self.round = Round::Idle;
            self.next_round_at = (now + delay).max(self.backoff_until(now));
        }
    }

    /// Sets whether this process can do the work that the lease is for, and releases the lease if it cannot.
    pub fn set_eligible(&mut self, now: Micros, is_eligible: bool) -> Vec<CandidateAction> {
        self.is_eligible = is_eligible;
        if is_eligible { Vec::new() } else { self.release(now) }
    }

    /// Gives the lease up at once, so that the next holder need not wait until it expires. This candidate
    /// starts no round for one lease duration.
    pub fn release(&mut self, now: Micros) -> Vec<CandidateAction> {
        self.round = Round::Idle;
        self.next_round_at = now + self.duration;
        let Some(holding) = self.holding.take() else { return Vec::new() };
        let term = holding.lease.term();
        vec![CandidateAction::Lost(term), CandidateAction::Broadcast(Payload::Release { term })]
    }

    /// Does what is due. To be called at [`Candidate::wake_at`].
    ///
    /// `held_elsewhere_until` is when the lease of another holder expires, as far as this process's own voter
    /// knows. `jitter_fraction` is drawn at random between 0 and 1, so that two candidates do not keep
    /// outbidding each other.
    pub fn wake(
        &mut self,
        now: Micros,
        held_elsewhere_until: Option<Micros>,
        jitter_fraction: f64,
    ) -> Vec<CandidateAction> {
        let mut actions: Vec<CandidateAction> = self.expire(now).into_iter().collect();
        if now < self.next_round_at || !self.is_eligible {
            return actions;
        }
        let jitter = (self.reply_timeout() as f64 * jitter_fraction) as Micros;
        match (&self.holding, held_elsewhere_until, &self.round) {
            (None, Some(until), _) => self.idle_until(until.max(now) + 1 + jitter),
            // Too few voters replied to the last round.
            (None, None, Round::Preparing { .. } | Round::Proposing { .. }) => {
                self.idle_until(now + self.reply_timeout() / 4 + jitter);
            }
            (Some(Holding { lease, ballot }), _, Round::Idle) => {
                let (ballot, term) = (ballot.clone(), lease.term());
                actions.push(self.propose(now, ballot, term));
            }
            // The first round, or a renewal that was outbid or got too few replies: start with a new ballot.
            _ => actions.push(self.prepare(now)),
        }
        actions
    }

    fn idle_until(&mut self, at: Micros) {
        self.round = Round::Idle;
        self.next_round_at = at;
    }

    fn expire(&mut self, now: Micros) -> Option<CandidateAction> {
        let expired = self.holding.take_if(|holding| now >= holding.lease.expires_at())?;
        self.loss_times.push_back(now);
        self.loss_times.retain(|&at| now - at < LOSS_WINDOW);
        self.idle_until(self.backoff_until(now));
        Some(CandidateAction::Lost(expired.lease.term()))
    }

    fn prepare(&mut self, now: Micros) -> CandidateAction {
        self.ballot_number += 1;
        let ballot = Ballot { number: self.ballot_number, candidate: self.incarnation.clone() };
        self.round = Round::Preparing {
            ballot: ballot.clone(),
            promised: BTreeSet::new(),
            highest_term: 0,
            held_elsewhere: BTreeMap::new(),
        };
        self.next_round_at = now + self.reply_timeout();
        CandidateAction::Broadcast(Payload::Prepare { ballot })
    }

    fn propose(&mut self, now: Micros, ballot: Ballot, term: Term) -> CandidateAction {
        let payload = Payload::Propose { ballot: ballot.clone(), term, duration: self.duration };
        self.round = Round::Proposing { ballot, sent_at: now, term, granted: BTreeSet::new() };
        self.next_round_at = now + self.reply_timeout();
        CandidateAction::Broadcast(payload)
    }

    /// Handles a voter's reply. `wall_clock_ms` is the Unix time in milliseconds; no new term is lower.
    pub fn receive(
        &mut self,
        now: Micros,
        wall_clock_ms: u64,
        from: &str,
        reply: &Payload,
    ) -> Vec<CandidateAction> {
        let action = match reply {
            Payload::Promise { ballot, term, outstanding } => {
                let held_elsewhere = outstanding.as_ref().filter(|lease| lease.holder != self.incarnation);
                self.on_promise(
                    now,
                    wall_clock_ms,
                    from,
                    ballot,
                    *term,
                    held_elsewhere.map(|lease| lease.remaining),
                )
            }
            Payload::Accept { ballot, term } => self.on_accept(now, from, ballot, *term),
            Payload::Reject { ballot, promised } => self.on_reject(now, ballot, *promised),
            Payload::Prepare { .. } | Payload::Propose { .. } | Payload::Release { .. } => None,
        };
        action.into_iter().collect()
    }

    fn on_promise(
        &mut self,
        now: Micros,
        wall_clock_ms: u64,
        from: &str,
        reply_ballot: &Ballot,
        term: Term,
        other_lease_remaining: Option<Micros>,
    ) -> Option<CandidateAction> {
        let Round::Preparing { ballot, promised, highest_term, held_elsewhere } = &mut self.round else {
            return None;
        };
        if reply_ballot != ballot {
            return None;
        }
        *highest_term = term.max(*highest_term);
        match other_lease_remaining {
            Some(remaining) => drop(held_elsewhere.insert(from.to_owned(), remaining)),
            None => drop(promised.insert(from.to_owned())),
        }
        if promised.len() >= self.majority {
            let new_term = (*highest_term + 1).max(wall_clock_ms);
            // The current term continues as long as its lease has not expired.
            let term = self.may_act(now).unwrap_or(new_term);
            return Some(self.propose(now, reply_ballot.clone(), term));
        }
        // No majority is possible until another holder's lease has expired at these voters.
        if held_elsewhere.len() >= self.majority {
            let remaining = held_elsewhere.values().max().copied().unwrap_or(0);
            self.idle_until(now + remaining);
        }
        None
    }

    fn on_accept(
        &mut self,
        now: Micros,
        from: &str,
        reply_ballot: &Ballot,
        reply_term: Term,
    ) -> Option<CandidateAction> {
        let Round::Proposing { ballot, sent_at, term, granted } = &mut self.round else { return None };
        if reply_ballot != ballot || reply_term != *term {
            return None;
        }
        granted.insert(from.to_owned());
        if granted.len() < self.majority {
            return None;
        }
        let sent_at = *sent_at;
        self.round = Round::Idle;
        self.renew_or_acquire(now, reply_ballot.clone(), reply_term, sent_at)
    }

    /// Renews or acquires the lease after a majority has granted it under this term.
    fn renew_or_acquire(
        &mut self,
        now: Micros,
        ballot: Ballot,
        term: Term,
        requested_at: Micros,
    ) -> Option<CandidateAction> {
        let held = self.holding.take().filter(|holding| holding.lease.term() == term);
        let (lease, action) = match held {
            Some(Holding { mut lease, .. }) => {
                lease.renew(requested_at);
                (lease, None)
            }
            None => {
                let lease = HeldLease::granted(term, requested_at, self.duration);
                if lease.may_act(now).is_none() {
                    // The replies arrived after the lease had already expired.
                    self.next_round_at = now;
                    return None;
                }
                (lease, Some(CandidateAction::Acquired(term)))
            }
        };
        self.next_round_at = lease.renew_at();
        self.holding = Some(Holding { lease, ballot });
        action
    }

    fn on_reject(&mut self, now: Micros, reply_ballot: &Ballot, promised: u64) -> Option<CandidateAction> {
        let ballot = match &self.round {
            Round::Preparing { ballot, .. } | Round::Proposing { ballot, .. } => ballot,
            Round::Idle => return None,
        };
        if reply_ballot != ballot {
            return None;
        }
        self.ballot_number = self.ballot_number.max(promised);
        // A challenger has learned of the lease and waits, but its higher ballot blocks the renewal.
        self.holding.is_some().then(|| self.prepare(now))
    }
}
