//! One process's part in all leases: its vote, if it is a voter, and its candidacies.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::{Candidate, CandidateAction, Incarnation, Message, Micros, Payload, Term, Voter};

/// The shortest lease that may be configured.
const MIN_LEASE_DURATION: Micros = 500_000;
/// Candidates of adjacent rank turn to a free lease this fraction of its duration apart.
const RANK_DELAY_DIVISOR: Micros = 60;
/// The part of the duration over which candidates of one rank are spread by chance.
const RANK_JITTER_DIVISOR: Micros = 200;

/// What the operator configures, the same at all voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// The names of the processes that grant leases, and hold them: 3, 5 or 7.
    pub voters: Vec<String>,
    /// The names of the leases.
    pub leases: Vec<String>,
    /// For how long a lease is granted at a time, in microseconds.
    pub duration: Micros,
    /// No term is lower. To be raised by an operator after terms were lost and clocks went back.
    pub least_term: Term,
}

/// A configuration that cannot work.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// Their number allows ties, or is out of bounds.
    #[error("voters: {0} are named; name 3, 5 or 7 proxies, so that a majority is clear")]
    VoterCount(usize),
    /// One proxy would vote twice.
    #[error("voters: {0:?} is named twice; each voter has a name of its own")]
    DuplicateVoter(String),
    /// The lease would expire before slow voters have answered.
    #[error("lease: {0} us is too short; give at least half a second, or it expires under a slow answer")]
    TooShort(Micros),
}

/// This process has got or lost a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// It holds the lease from now on.
    Acquired {
        /// The lease's name.
        lease: String,
        /// Under which term.
        term: Term,
    },
    /// It no longer holds the lease.
    Lost {
        /// The lease's name.
        lease: String,
        /// Under which term it held it.
        term: Term,
    },
}

/// A message and its addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The name of another voter.
    pub to: String,
    /// To be sent to it.
    pub message: Message,
}

/// What the caller is to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Actions {
    /// Messages to send.
    pub send: Vec<Outgoing>,
    /// Terms, by lease, to write to the disk; [`Participant::persisted`] is to be called when they are there.
    pub persist: Vec<(String, Term)>,
    /// What this process has got or lost.
    pub changes: Vec<LeaseChange>,
    /// When to call [`Participant::wake`].
    pub wake_at: Option<Micros>,
}

/// A vote that is sent once its term is on the disk.
struct PendingVote {
    term: Term,
    outgoing: Outgoing,
}

/// One process's part in all leases.
pub struct Participant {
    incarnation: Incarnation,
    voters: Vec<String>,
    least_term: Term,
    duration: Micros,
    /// `None` where this process is no voter; then it is no candidate either.
    voter: Option<Voter>,
    candidates: BTreeMap<String, Candidate>,
    pending_votes: Vec<PendingVote>,
    rng: Pcg64Mcg,
    actions: Actions,
}

impl LeaseConfig {
    fn validate(&self) -> Result<(), ConfigError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(ConfigError::VoterCount(self.voters.len()));
        }
        let is_duplicate = |(index, name): &(usize, &String)| self.voters[..*index].contains(name);
        if let Some((_, name)) = self.voters.iter().enumerate().find(is_duplicate) {
            return Err(ConfigError::DuplicateVoter(name.clone()));
        }
        if self.duration < MIN_LEASE_DURATION {
            return Err(ConfigError::TooShort(self.duration));
        }
        Ok(())
    }
}

impl Participant {
    /// Starts the part of this process. `stored_terms` is what a voter's store held, by lease; `None` is a voter without a
    /// store.
    ///
    /// # Errors
    ///
    /// The configuration cannot work.
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

    /// How long after a lease has become free this process seeks it: by a rank that all compute alike, so that leases
    /// are spread over the voters.
    fn rank_delay(&mut self, lease: &str) -> Micros {
        let own_rank = rank(lease, &self.incarnation.name);
        let lower_ranked = self.voters.iter().filter(|name| rank(lease, name) < own_rank).count() as Micros;
        let jitter = self.rng.random_range(0..=self.duration / RANK_JITTER_DIVISOR);
        lower_ranked * self.duration / RANK_DELAY_DIVISOR + jitter
    }

    /// Its voter has a store that cannot be read yet, and casts no vote before [`Participant::restore`].
    pub fn withhold_votes(&mut self) {
        if let Some(voter) = &mut self.voter {
            voter.withhold_votes();
        }
    }

    /// What the voter's store held, by lease, once it has been read.
    pub fn restore(&mut self, stored_terms: Vec<(String, Term)>) {
        if let Some(voter) = &mut self.voter {
            voter.restore(stored_terms);
        }
    }

    /// Whether this process is one of the voters.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// The term to act under, while this process holds the lease. To be asked immediately before each act.
    #[must_use]
    pub fn may_act(&self, now: Micros, lease: &str) -> Option<Term> {
        self.candidates.get(lease)?.may_act(now)
    }

    /// To be called at [`Actions::wake_at`]. `wall_clock_ms` is the Unix time in milliseconds, here and below.
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

    /// Takes a message of another process. One that is not configured as a voter is ignored.
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

    /// Others took acts of this term.
    ///
    /// Guards a lease from terms that nobody takes: those of voters that all forgot, under clocks behind the ones by which
    /// earlier terms were made. A holder under a lower term releases the lease and seeks a term above. Costs nothing: the
    /// holder under a lower term has been superseded.
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

    /// The record of this term is on the disk: the votes that waited for it are sent.
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

    /// The disk does not take them: no vote is cast that could be forgotten.
    pub fn not_persisted(&mut self) {
        self.pending_votes.clear();
    }

    /// This process can do what the lease is for, or no longer.
    pub fn set_eligible(&mut self, now: Micros, lease: &str, is_eligible: bool) -> Actions {
        self.with_candidate(now, 0, lease, |candidate| candidate.set_eligible(now, is_eligible));
        self.take_actions()
    }

    /// This process shuts down: it releases all leases, so that others need not wait until they expire.
    pub fn release_all(&mut self, now: Micros) -> Actions {
        for lease in self.lease_names() {
            self.with_candidate(now, 0, &lease, |candidate| candidate.release(now));
        }
        self.candidates.clear();
        self.take_actions()
    }

    /// The others know this process by another number from now on. What it held was granted under the former one, and no
    /// other voter takes a release of it any more: it gives the leases up, and they expire.
    pub fn renumber(&mut self, now: Micros, start: u64) -> Actions {
        let leases = self.lease_names();
        for lease in &leases {
            self.with_candidate(now, 0, lease, |candidate| candidate.release(now));
        }
        self.incarnation.start = start;
        self.start_candidates(&leases);
        self.take_actions()
    }

    /// Asks the candidate for a lease, if this process is one, and carries out what it says.
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

    /// A message to itself is taken at once.
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

/// A hash of both names, mixed once more, so that names that differ in their last letter are far apart.
fn rank(lease: &str, name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in [lease.as_bytes(), &[0], name.as_bytes()] {
        hasher.write(part);
    }
    let hash = hasher.finish();
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
