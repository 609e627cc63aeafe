//! The part of one process in all leases: its vote, if it is a voter, and its candidates.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    Actions, Candidate, CandidateAction, ConfigError, Incarnation, LeaseChange, LeaseConfig, Message, Micros,
    Outgoing, Payload, Term, Voter,
};

/// Candidates of adjacent ranks seek a free lease this fraction of its duration (one part in this many)
/// apart.
const RANK_DELAY_DIVISOR: Micros = 60;
/// Candidates of the same rank are spread at random over this fraction of the lease duration (one part in
/// this many).
const RANK_JITTER_DIVISOR: Micros = 200;

/// A vote that is sent once its term is on disk.
struct PendingVote {
    term: Term,
    outgoing: Outgoing,
}

/// The part of one process in all leases.
pub struct Participant {
    incarnation: Incarnation,
    voters: Vec<String>,
    least_term: Term,
    duration: Micros,
    /// `None` if this process is not a voter; then it is not a candidate either.
    voter: Option<Voter>,
    candidates: BTreeMap<String, Candidate>,
    pending_votes: Vec<PendingVote>,
    rng: Pcg64Mcg,
    actions: Actions,
}

impl Participant {
    /// Starts a process's part in the leases. `stored_terms` are the terms that the voter's store contained,
    /// by lease; `None` stands for a voter without a store.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the configuration cannot work.
    pub fn start(
        now: Micros,
        incarnation: Incarnation,
        config: &LeaseConfig,
        stored_terms: Option<Vec<(String, Term)>>,
        seed: u64,
    ) -> Result<Participant, ConfigError> {
        config.validate()?;
        let is_voter = config.voters.contains(&incarnation.name);
        let voter = is_voter.then(|| Voter::start(now, config.duration, stored_terms));
        let mut participant = Participant {
            incarnation,
            voters: config.voters.clone(),
            least_term: config.least_term,
            duration: config.duration,
            voter,
            candidates: BTreeMap::new(),
            pending_votes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            actions: Actions::default(),
        };
        participant.start_candidates(&config.leases);
        Ok(participant)
    }

    fn start_candidates(&mut self, leases: &[String]) {
        let Some(silent_until) = self.voter.as_ref().map(Voter::silent_until) else { return };
        for lease in leases {
            let first_round_at = silent_until + self.rank_delay(lease);
            let candidate =
                Candidate::start(self.incarnation.clone(), self.voters.len(), self.duration, first_round_at);
            self.candidates.insert(lease.clone(), candidate);
        }
    }

    /// Returns how long after a lease becomes free this process seeks it. The delay depends on a rank that
    /// all voters compute alike, so that the leases are spread over the voters.
    fn rank_delay(&mut self, lease: &str) -> Micros {
        let own_rank = rank(lease, &self.incarnation.name);
        let lower_ranked = self.voters.iter().filter(|name| rank(lease, name) < own_rank).count() as Micros;
        let jitter = self.rng.random_range(0..=self.duration / RANK_JITTER_DIVISOR);
        lower_ranked * self.duration / RANK_DELAY_DIVISOR + jitter
    }

    /// Withholds all votes until [`Participant::restore`] is called, because the voter's store cannot be read
    /// yet.
    pub fn withhold_votes(&mut self) {
        if let Some(voter) = &mut self.voter {
            voter.withhold_votes();
        }
    }

    /// Takes the terms that the voter's store contained, by lease, once the store has been read.
    pub fn restore(&mut self, stored_terms: Vec<(String, Term)>) {
        if let Some(voter) = &mut self.voter {
            voter.restore(stored_terms);
        }
    }

    /// Returns whether this process is one of the voters.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Returns the term under which this process may act, or `None` if it does not hold the lease. To be
    /// called immediately before each operation.
    #[must_use]
    pub fn may_act(&self, now: Micros, lease: &str) -> Option<Term> {
        self.candidates.get(lease)?.may_act(now)
    }

    /// Does what is due. To be called at [`Actions::wake_at`]. `wall_clock_ms` is the Unix time in
    /// milliseconds.
    pub fn wake(&mut self, now: Micros, wall_clock_ms: u64) -> Actions {
        for lease in self.lease_names() {
            let held_elsewhere_until = self.held_elsewhere_until(now, &lease);
            let jitter_fraction = self.rng.random();
            self.with_candidate(now, wall_clock_ms, &lease, |candidate| {
                candidate.wake(now, held_elsewhere_until, jitter_fraction)
            });
        }
        self.take_actions()
    }

    fn lease_names(&self) -> Vec<String> {
        self.candidates.keys().cloned().collect()
    }

    fn held_elsewhere_until(&self, now: Micros, lease: &str) -> Option<Micros> {
        let granted = self.voter.as_ref()?.granted(now, lease)?;
        (granted.holder != self.incarnation).then_some(granted.expires_at)
    }

    /// Handles a message of another process. Messages of a process that is not configured as a voter are
    /// ignored. `wall_clock_ms` is the Unix time in milliseconds.
    pub fn receive(
        &mut self,
        now: Micros,
        wall_clock_ms: u64,
        from: &Incarnation,
        message: &Message,
    ) -> Actions {
        if self.voters.contains(&from.name) {
            self.dispatch(now, wall_clock_ms, from, message);
        }
        self.take_actions()
    }

    fn dispatch(&mut self, now: Micros, wall_clock_ms: u64, from: &Incarnation, message: &Message) {
        if message.payload.is_for_voters() {
            return self.vote(now, wall_clock_ms, from, message);
        }
        let least_term = wall_clock_ms.max(self.least_term);
        self.with_candidate(now, wall_clock_ms, &message.lease, |candidate| {
            candidate.receive(now, least_term, &from.name, &message.payload)
        });
    }

    fn vote(&mut self, now: Micros, wall_clock_ms: u64, from: &Incarnation, message: &Message) {
        let Some(voter) = &mut self.voter else { return };
        let lease = &message.lease;
        let reply = voter.receive(now, from, message);
        let is_release = matches!(message.payload, Payload::Release { .. });
        if is_release && voter.granted(now, lease).is_none() && from.name != self.incarnation.name {
            self.schedule_round_after_release(now, lease);
        }
        let Some(reply) = reply else { return };
        let message = Message { lease: lease.clone(), payload: reply.payload };
        let outgoing = Outgoing { to: from.name.clone(), message };
        match reply.once_persisted {
            Some(term) => {
                self.actions.persist.push((lease.clone(), term));
                self.pending_votes.push(PendingVote { term, outgoing });
            }
            None => self.send(now, wall_clock_ms, outgoing),
        }
    }

    fn schedule_round_after_release(&mut self, now: Micros, lease: &str) {
        let remaining_silence = self.voter.as_ref().map_or(0, |voter| (voter.silent_until() - now).max(0));
        let delay = remaining_silence + self.rank_delay(lease);
        if let Some(candidate) = self.candidates.get_mut(lease) {
            candidate.lease_freed(now, delay);
        }
    }

    /// Notes that other processes have accepted operations under this term. `wall_clock_ms` is the Unix time
    /// in milliseconds.
    ///
    /// After all voters have lost their state and the wall clocks were set back, new terms may be lower than
    /// earlier ones, and receivers reject every operation under them. A holder under a lower term therefore
    /// releases the lease and seeks it under a higher one. Nothing is lost by that, as such a holder has been
    /// superseded.
    pub fn observe_term(&mut self, now: Micros, wall_clock_ms: u64, lease: &str, term: Term) -> Actions {
        let Some(voter) = &mut self.voter else { return Actions::default() };
        voter.observe_term(lease, term);
        self.with_candidate(now, wall_clock_ms, lease, |candidate| {
            if candidate.may_act(now).is_none_or(|own_term| own_term >= term) {
                return Vec::new();
            }
            let actions = candidate.release(now);
            candidate.lease_freed(now, 0);
            actions
        });
        self.take_actions()
    }

    /// Sends the votes that waited for this term to be on disk. `wall_clock_ms` is the Unix time in
    /// milliseconds.
    pub fn persisted(&mut self, now: Micros, wall_clock_ms: u64, lease: &str, term: Term) -> Actions {
        if let Some(voter) = &mut self.voter {
            voter.persisted(lease, term);
        }
        let is_due = |vote: &PendingVote| vote.outgoing.message.lease == lease && vote.term <= term;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_votes).into_iter().partition(is_due);
        self.pending_votes = waiting;
        for vote in due {
            self.send(now, wall_clock_ms, vote.outgoing);
        }
        self.take_actions()
    }

    /// Drops the votes that wait for their terms, because the disk did not accept them: a vote that a restart
    /// could forget is never cast.
    pub fn not_persisted(&mut self) {
        self.pending_votes.clear();
    }

    /// Sets whether this process can do the work that the lease is for, and releases the lease if it cannot.
    pub fn set_eligible(&mut self, now: Micros, lease: &str, is_eligible: bool) -> Actions {
        self.with_candidate(now, 0, lease, |candidate| candidate.set_eligible(now, is_eligible));
        self.take_actions()
    }

    /// Releases all leases because this process shuts down, so that others need not wait until they expire.
    pub fn release_all(&mut self, now: Micros) -> Actions {
        for lease in self.lease_names() {
            self.with_candidate(now, 0, &lease, |candidate| candidate.release(now));
        }
        self.candidates.clear();
        self.take_actions()
    }

    /// Changes the start number of this process, which other processes use from now on, and gives up its
    /// leases.
    ///
    /// The leases were granted under the former number, and the other voters no longer accept a release from
    /// it, so they expire there.
    pub fn renumber(&mut self, now: Micros, start: u64) -> Actions {
        let leases = self.lease_names();
        for lease in &leases {
            self.with_candidate(now, 0, lease, |candidate| candidate.release(now));
        }
        self.incarnation.start = start;
        self.start_candidates(&leases);
        self.take_actions()
    }

    /// Calls `operation` on the candidate for a lease, if this process has one, and carries out the resulting
    /// actions.
    fn with_candidate(
        &mut self,
        now: Micros,
        wall_clock_ms: u64,
        lease: &str,
        operation: impl FnOnce(&mut Candidate) -> Vec<CandidateAction>,
    ) {
        let Some(candidate) = self.candidates.get_mut(lease) else { return };
        for action in operation(candidate) {
            let lease = lease.to_owned();
            match action {
                CandidateAction::Broadcast(payload) => {
                    self.broadcast(now, wall_clock_ms, Message { lease, payload })
                }
                CandidateAction::Acquired(term) => {
                    self.actions.changes.push(LeaseChange::Acquired { lease, term });
                }
                CandidateAction::Lost(term) => self.actions.changes.push(LeaseChange::Lost { lease, term }),
            }
        }
    }

    fn broadcast(&mut self, now: Micros, wall_clock_ms: u64, message: Message) {
        for to in self.voters.clone() {
            self.send(now, wall_clock_ms, Outgoing { to, message: message.clone() });
        }
    }

    /// Sends a message; one to this process itself is handled at once.
    fn send(&mut self, now: Micros, wall_clock_ms: u64, outgoing: Outgoing) {
        if outgoing.to != self.incarnation.name {
            self.actions.send.push(outgoing);
            return;
        }
        let incarnation = self.incarnation.clone();
        self.dispatch(now, wall_clock_ms, &incarnation, &outgoing.message);
    }

    fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = self.candidates.values().map(Candidate::wake_at).min();
        std::mem::take(&mut self.actions)
    }
}

/// Returns a hash of both names with an additional mixing step, so that the ranks of names that differ only
/// in their last letter are far apart.
fn rank(lease: &str, name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in [lease.as_bytes(), &[0], name.as_bytes()] {
        hasher.write(part);
    }
    let hash = hasher.finish();
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
