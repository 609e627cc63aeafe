//! Coordination of the proxies of a fleet: votes, leases, directives and reports.
//!
//! `crates/leases` and `crates/directives` implement the protocols. This module exchanges their messages in datagrams,
//! persists their state and logs their events.
//!
//! - Input: datagrams of other proxies, the time, outcomes of writes, observations of the dispatcher, and reloads of
//!   the section `coordination` in the operator's file.
//! - Output: datagrams, records for the data directory, and directives for the dispatcher on zones and draining sites.
//! - Caller: the membership actor, which sends and receives the datagrams.

mod decision;
mod durability;
mod interface;
mod issuing;
mod lease_controllers;
mod receiving;
mod records;
mod site_drain;
mod split_points;
mod status;
mod superseded;
mod zone_failover;

use std::rc::Rc;

use aldermill_directives::frame;
use aldermill_directives::{
    DIGEST_INTERVAL, Directive, DirectiveStore, FORWARD_FANOUT, Micros, RENEWAL_INTERVAL, Reporter, Reports,
};
use aldermill_leases::{Actions, ConfigError, Incarnation, LeaseChange, LeaseConfig, Outgoing, Participant};
use aldermill_operator_config::CoordinationConfig;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{Logger, info};
use tokio::sync::mpsc;

pub use interface::{CallTime, DECISION_INTERVAL, Datagram};

use crate::persistence::DataDirectory;
use lease_controllers::{LeaseControllerSetup, LeaseControllers};
use records::{MAX_IN_FLIGHT, Record, Records};

/// First byte of a payload that contains a message of the lease protocol.
const LEASE_MESSAGE: u8 = 1;
/// First byte of a payload that contains directives, a digest of directives, or a report.
const DIRECTIVE_MESSAGE: u8 = 2;

/// Configuration and identity that [`Coordination::open`] starts with.
pub struct CoordinationParts {
    /// The section `coordination` of the operator's file.
    pub config: CoordinationConfig,
    /// Name and start number of this proxy.
    pub incarnation: Incarnation,
    /// Data directory for terms and drain plans; `None` if nothing is persisted.
    pub directory: Option<Rc<DataDirectory>>,
    /// Zone of this proxy, as an index into the list of zones in the settings.
    pub zone: usize,
    /// Longest timeout of all request classes, in microseconds.
    pub longest_timeout: Micros,
}

/// Takes part in the coordination of the fleet on behalf of this proxy.
pub struct Coordination {
    /// Name and start number of this proxy.
    incarnation: Incarnation,
    /// Names of all configured leases.
    leases: Vec<String>,
    /// Voter and candidates of this proxy.
    participant: Participant,
    directives: DirectiveStore,
    /// Reports that this proxy received for the leases that it holds.
    reports: Reports,
    /// Queue of the reports that this proxy sends to lease holders.
    reporter: Reporter,
    /// Records in the data directory; `None` without one.
    records: Option<Records>,
    rng: Pcg64Mcg,
    log: Logger,
    controllers: LeaseControllers,
    /// When the directives that announce held leases are next renewed.
    renew_at: Micros,
    /// When decisions are next made.
    decide_at: Micros,
    /// When a digest of the directives is next sent to another proxy, so that each can fetch what it lacks.
    digest_at: Micros,
    /// When the lease protocol is next to be called; `None` if it has no timer.
    participant_wake_at: Option<Micros>,
    /// Datagrams queued for sending, which the caller takes with [`Coordination::take_outgoing`].
    outgoing: Vec<Datagram>,
}

impl Coordination {
    /// Starts coordination. The returned receiver yields whether each write to the data directory succeeded, in the
    /// order of the writes; the caller passes each outcome to [`Coordination::write_finished`].
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if the leases cannot work as the operator configured them.
    pub fn open(
        parts: CoordinationParts,
        at: CallTime,
        seed: u64,
        log: Logger,
    ) -> Result<(Coordination, mpsc::Receiver<bool>), ConfigError> {
        let CoordinationParts { config, incarnation, directory, zone, longest_timeout } = parts;
        let now = at.now;
        let leases: Vec<String> = config.leases.iter().map(|kind| kind.name().to_owned()).collect();
        let lease_config = LeaseConfig {
            voters: config.voters.clone(),
            leases: leases.clone(),
            duration: Micros::from(config.lease_ms) * 1000,
            least_term: config.least_term,
        };
        let participant = Participant::start(now, incarnation.clone(), &lease_config, None, seed)?;
        let (write_outcomes, write_outcomes_receiver) = mpsc::channel(MAX_IN_FLIGHT);
        let records = directory.map(|directory| Records::start(directory, write_outcomes));
        info!(log, "coordination started"; "votes" => participant.is_voter(), "leases" => leases.join(" "),
            "durable" => records.is_some());
        let controllers = LeaseControllers::start(&LeaseControllerSetup {
            now,
            config: &config,
            zone,
            longest_timeout,
            is_durable: records.is_some(),
            log: &log,
        });
        let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(7));
        let mut coordination = Coordination {
            incarnation,
            leases,
            participant,
            directives: DirectiveStore::default(),
            reports: Reports::default(),
            reporter: Reporter::default(),
            records,
            log,
            controllers,
            renew_at: now,
            decide_at: now,
            digest_at: now + rng.random_range(0..DIGEST_INTERVAL),
            participant_wake_at: Some(now),
            outgoing: Vec::new(),
            rng,
        };
        coordination.withhold_votes_until_read(now);
        Ok((coordination, write_outcomes_receiver))
    }

    /// Returns when [`Coordination::wake`] is to be called next.
    pub fn wake_at(&self) -> Micros {
        let report_at = self.reporter.due_at().unwrap_or(Micros::MAX);
        let participant_wake_at = self.participant_wake_at.unwrap_or(Micros::MAX);
        self.digest_at.min(self.renew_at).min(self.decide_at).min(participant_wake_at).min(report_at)
    }

    /// Takes the datagrams that are queued for sending.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Forwards new directives to a few live peers chosen at random. `age` is how long the directives may have waited
    /// here unread, in microseconds; their remaining lifetimes are reduced by it.
    fn forward(&mut self, new: &[Directive], age: Micros, live_peers: &[Rc<str>]) {
        if new.is_empty() {
            return;
        }
        let aged =
            |directive: &Directive| Directive { remaining: directive.remaining - age, ..directive.clone() };
        let aged: Vec<Directive> = new.iter().map(aged).collect();
        let to: Vec<Rc<str>> = live_peers.iter().cloned().choose_multiple(&mut self.rng, FORWARD_FANOUT);
        for message in frame::encode_directives(&aged) {
            to.iter().for_each(|to| self.send(to, DIRECTIVE_MESSAGE, &message));
        }
    }

    /// Does everything that is due. To be called at [`Coordination::wake_at`]. `live_peers` are the names of the
    /// other proxies that are known to be alive.
    pub fn wake(&mut self, at: CallTime, live_peers: &[Rc<str>]) {
        let now = at.now;
        self.load_stored_state(now);
        if self.participant_wake_at.is_some_and(|due| due <= now) {
            let actions = self.participant.wake(now, at.wall_clock_ms);
            self.apply_actions(at, actions, live_peers);
        }
        if now >= self.renew_at {
            self.renew_at = now + RENEWAL_INTERVAL;
            self.directives.expire(now);
            self.announce_held_leases(now, live_peers);
        }
        if now >= self.decide_at {
            self.decide_at = now + DECISION_INTERVAL;
            self.persist_unconfirmed_terms();
            self.decide(at, live_peers);
        }
        if now >= self.digest_at {
            self.digest_at = now + DIGEST_INTERVAL;
            self.send_digest(now, live_peers);
        }
        self.send_report(now);
    }

    /// Sends a digest of the directives to one live peer, chosen at random.
    fn send_digest(&mut self, now: Micros, live_peers: &[Rc<str>]) {
        if let Some(to) = live_peers.iter().cloned().choose(&mut self.rng) {
            let digest = frame::encode_digest(&self.directives.digest(now), false);
            self.send_directive_messages(&to, digest);
        }
    }

    /// Sends the next report, if one is due, to the holder of its lease, which may be this proxy.
    fn send_report(&mut self, now: Micros) {
        let Some(report) = self.reporter.next(now) else { return };
        let Some(holder) = self.directives.holder(now, &report.topic.lease) else { return };
        if holder.name == self.incarnation.name {
            self.reports.receive(now, 0, &self.incarnation.name, self.incarnation.start, report);
        } else {
            let holder = holder.name.to_owned();
            self.send(&holder, DIRECTIVE_MESSAGE, &frame::encode_report(&report));
        }
    }

    /// Carries out the actions that the lease protocol returned.
    fn apply_actions(&mut self, at: CallTime, actions: Actions, live_peers: &[Rc<str>]) {
        self.participant_wake_at = actions.wake_at;
        for Outgoing { to, message } in actions.send {
            self.send(&to, LEASE_MESSAGE, &aldermill_leases::frame::encode(&message));
        }
        for (lease, term) in actions.persist {
            self.persist(Record::Granted { lease, term });
        }
        let mut has_acquired = false;
        for change in actions.changes {
            match change {
                LeaseChange::Acquired { lease, term } => {
                    has_acquired = true;
                    info!(self.log, "lease acquired"; "term" => term, "lease" => &lease);
                    self.persist(Record::Accepted { lease, term });
                }
                LeaseChange::Lost { lease, term } => {
                    info!(self.log, "lease lost"; "term" => term, "lease" => lease);
                }
            }
        }
        if has_acquired {
            // Other proxies have to know at once to whom they report.
            self.announce_held_leases(at.now, live_peers);
        }
    }

    /// Discards the reports of a peer that is gone or has restarted, and records the loss of the peer for site
    /// drains.
    pub fn peer_lost(&mut self, now: Micros, name: &str) {
        self.reports.remove_reporter(name);
        self.controllers.peer_lost(now, name);
    }

    /// Changes the start number of this proxy to the one by which peers know it now; they accept its messages under
    /// no other.
    pub fn renumber(&mut self, at: CallTime, start: u64, live_peers: &[Rc<str>]) {
        self.incarnation.start = start;
        let actions = self.participant.renumber(at.now, start);
        self.apply_actions(at, actions, live_peers);
    }

    /// Releases all leases that this proxy holds. To be called when it shuts down.
    pub fn release_leases(&mut self, at: CallTime) {
        let actions = self.participant.release_all(at.now);
        self.apply_actions(at, actions, &[]);
    }

    /// Queues a datagram with a message of this kind.
    fn send(&mut self, to: &str, kind: u8, message: &[u8]) {
        self.outgoing.push(Datagram { to: to.to_owned(), payload: [&[kind], message].concat() });
    }

    fn send_directive_messages(&mut self, to: &str, messages: Vec<Vec<u8>>) {
        messages.iter().for_each(|message| self.send(to, DIRECTIVE_MESSAGE, message));
    }
}
