//! This proxy's part in what the fleet decides in common: its vote, the leases that it holds, directives and reports.
//!
//! The protocols are those of `crates/leases` and `crates/directives`; here they are put into datagrams, on the disk and
//! in the log.
//!
//! - Input: datagrams of other proxies, the time, outcomes of writes, what the dispatcher observed, and reloads of the
//!   operator's section.
//! - Output: datagrams, records for the disk, and for the dispatcher the directives on zones and draining sites.
//! - Caller: the membership actor, which carries the datagrams.

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

/// The first byte of a datagram: what follows is a message of the lease protocol, or one about directives.
const LEASE_MESSAGE: u8 = 1;
const DIRECTIVE_MESSAGE: u8 = 2;

/// What [`Coordination::open`] needs.
pub struct CoordinationParts {
    /// The operator's section `coordination`.
    pub config: CoordinationConfig,
    /// This start of this proxy.
    pub incarnation: Incarnation,
    /// Where terms and drain plans are stored, if anything is.
    pub directory: Option<Rc<DataDirectory>>,
    /// This proxy's zone.
    pub zone: usize,
    /// The longest timeout of all request classes, in microseconds.
    pub longest_timeout: Micros,
}

/// This proxy's part in what the fleet decides in common.
pub struct Coordination {
    /// This start of this proxy.
    incarnation: Incarnation,
    /// The names of all leases.
    leases: Vec<String>,
    /// This proxy's vote, and the leases that it holds or wants.
    participant: Participant,
    directives: DirectiveStore,
    /// Reports of all proxies under the leases that this one holds.
    reports: Reports,
    /// What this proxy has to report to lease holders.
    reporter: Reporter,
    /// `None` without a data directory.
    records: Option<Records>,
    rng: Pcg64Mcg,
    log: Logger,
    controllers: LeaseControllers,
    /// When directives under held leases are next renewed.
    renew_at: Micros,
    /// When decisions are next made.
    decide_at: Micros,
    /// When a digest of the directives is next sent to another proxy, for both to find out what they miss.
    digest_at: Micros,
    /// When the lease protocol next wants to be called.
    participant_wake_at: Option<Micros>,
    /// What is to be sent once the running call returns.
    outgoing: Vec<Datagram>,
}

impl Coordination {
    /// Starts this proxy's part. The receiver gets the outcome of each write to the data directory, in their order, for
    /// [`Coordination::write_finished`].
    ///
    /// # Errors
    ///
    /// The operator's configuration of leases cannot work.
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

    /// When [`Coordination::wake`] is to be called.
    pub fn wake_at(&self) -> Micros {
        let report_at = self.reporter.due_at().unwrap_or(Micros::MAX);
        let participant_wake_at = self.participant_wake_at.unwrap_or(Micros::MAX);
        self.digest_at.min(self.renew_at).min(self.decide_at).min(participant_wake_at).min(report_at)
    }

    /// What is to be sent now.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Forwards new directives to a few others; `age` is how long they waited here unread.
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

    /// To be called at [`Coordination::wake_at`]; `others` are the proxies known to live.
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

    /// Sends a digest of the directives to another proxy, picked at random.
    fn send_digest(&mut self, now: Micros, live_peers: &[Rc<str>]) {
        if let Some(to) = live_peers.iter().cloned().choose(&mut self.rng) {
            let digest = frame::encode_digest(&self.directives.digest(now), false);
            self.send_directive_messages(&to, digest);
        }
    }

    /// Sends the next report to the lease's holder, which may be this proxy.
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

    /// Does what the lease protocol wants done.
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
            // Others are to know at once whom to report to.
            self.announce_held_leases(at.now, live_peers);
        }
    }

    /// Another proxy is gone, or has started again.
    pub fn peer_lost(&mut self, now: Micros, name: &str) {
        self.reports.remove_reporter(name);
        self.controllers.peer_lost(now, name);
    }

    /// The others know this proxy by another start from now on, and take its messages under no other.
    pub fn renumber(&mut self, at: CallTime, start: u64, live_peers: &[Rc<str>]) {
        self.incarnation.start = start;
        let actions = self.participant.renumber(at.now, start);
        self.apply_actions(at, actions, live_peers);
    }

    /// This proxy shuts down: it releases the leases that it holds.
    pub fn release_leases(&mut self, at: CallTime) {
        let actions = self.participant.release_all(at.now);
        self.apply_actions(at, actions, &[]);
    }

    fn send(&mut self, to: &str, kind: u8, message: &[u8]) {
        self.outgoing.push(Datagram { to: to.to_owned(), payload: [&[kind], message].concat() });
    }

    fn send_directive_messages(&mut self, to: &str, messages: Vec<Vec<u8>>) {
        messages.iter().for_each(|message| self.send(to, DIRECTIVE_MESSAGE, message));
    }
}
