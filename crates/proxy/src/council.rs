//! This driver's part in what the fleet decides in common: its vote, the duties that it holds, decrees and reports. What is
//! said is `crates/leases`' and `crates/directives`'; here it is put into datagrams, on the disk, and in the log.

mod duties;
mod leaving;
mod memory;
mod overtaken;
mod splits;
mod work;

use std::rc::Rc;

use aldermill_directives::frame::{self, Message};
use aldermill_directives::{
    Acceptance, DIGEST_INTERVAL, Directive, DirectiveStore, FANOUT, LIFETIME, Micros, RENEWAL_INTERVAL,
    Reporter, Reports, Topic,
};
use aldermill_leases::{
    Actions, ConfigError, Incarnation, LeaseChange, LeaseConfig, Outgoing, Participant, Term,
};
use aldermill_membership::Fellow;
use aldermill_operator_config::Council as Wanted;
use aldermill_site_drain::Plan;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use aldermill_zone_failover::{Group, Lean};

use crate::keep::Folder;
use crate::messages::Seen;
use leaving::LeavingWork;
use memory::{Memory, Record, UNDER_WAY};
use splits::SplitsWork;
use work::ZonesWork;

/// What a datagram between councils begins with.
const DUTY: u8 = 1;
const DECREE: u8 = 2;
/// How often a holder decides, and each driver looks at what is decreed.
pub const WORKS: Micros = 1_000_000;

/// The moment of a call: the council's clock, and the Unix time in milliseconds, by the wall clock of the start.
#[derive(Clone, Copy)]
pub struct Moment {
    pub now: Micros,
    pub wall: u64,
}

pub struct Council {
    own: Incarnation,
    duties: Vec<String>,
    participant: Participant,
    directives: DirectiveStore,
    reports: Reports,
    reporter: Reporter,
    memory: Option<Memory>,
    rng: Pcg64Mcg,
    log: Logger,
    zones: Option<ZonesWork>,
    splits: Option<SplitsWork>,
    leaving: Option<LeavingWork>,
    decree_at: Micros,
    work_at: Micros,
    compare_at: Micros,
    agree_at: Option<Micros>,
    /// To whom, and what.
    out: Vec<(String, Vec<u8>)>,
}

impl Council {
    /// The receiver hears of each write to the folder, in their order. `longest_timeout` is the longest
    /// timeout of a request.
    pub fn open(
        wanted: Wanted,
        own: Incarnation,
        folder: Option<Rc<Folder>>,
        (zone, longest_timeout): (usize, Micros),
        moment: Moment,
        seed: u64,
        log: Logger,
    ) -> Result<(Council, mpsc::Receiver<bool>), ConfigError> {
        let now = moment.now;
        let duties: Vec<String> = wanted.duties.iter().map(|duty| duty.name().to_owned()).collect();
        let config = LeaseConfig {
            voters: wanted.voters,
            leases: duties.clone(),
            duration: Micros::from(wanted.lease_ms) * 1000,
            least_term: wanted.least_term,
        };
        let participant = Participant::start(now, own.clone(), &config, None, seed)?;
        let (told, confirmed) = mpsc::channel(UNDER_WAY);
        let memory = folder.map(|folder| Memory::start(folder, told));
        info!(log, "council"; "votes" => participant.is_voter(), "duties" => duties.join(" "), "kept" => memory.is_some());
        let has = |duty: &str| duties.iter().any(|of| of == duty);
        let zones = has(work::DUTY).then(|| ZonesWork::start(zone, log.clone()));
        let splits = has(splits::DUTY).then(|| SplitsWork::start(wanted.cuts, log.clone()));
        let leaving = has(leaving::DUTY)
            .then(|| LeavingWork::start(now, &wanted.retire, longest_timeout, memory.is_some(), log.clone()));
        let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(7));
        let mut council = Council {
            own,
            duties,
            participant,
            directives: DirectiveStore::default(),
            reports: Reports::default(),
            reporter: Reporter::default(),
            memory,
            log,
            zones,
            splits,
            leaving,
            decree_at: now,
            work_at: now,
            compare_at: now + rng.random_range(0..DIGEST_INTERVAL),
            agree_at: Some(now),
            out: Vec::new(),
            rng,
        };
        council.begin_memory(now);
        Ok((council, confirmed))
    }

    pub fn wake_at(&self) -> Micros {
        let reports = self.reporter.due_at().unwrap_or(Micros::MAX);
        let agrees = self.agree_at.unwrap_or(Micros::MAX);
        self.compare_at.min(self.decree_at).min(self.work_at).min(agrees).min(reports)
    }

    /// What is to be said now, to whom.
    pub fn take_out(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Another council's words; `age` is how long they may have waited here unread.
    pub fn hear(&mut self, at: Moment, age: Micros, from: &Fellow, words: &[u8], others: &[Rc<str>]) {
        let Some((&kind, words)) = words.split_first() else { return };
        self.read_memory(at.now);
        match kind {
            DUTY => {
                // Words of before a standstill say nothing of leases now; whoever said them says them again.
                let Ok(said) = aldermill_leases::frame::decode(words) else { return };
                let from = Incarnation { name: from.name.to_string(), start: from.start };
                let actions = self.participant.receive(at.now, at.wall, &from, &said);
                self.carry_out(at, actions, others);
            }
            DECREE => match frame::decode(words) {
                Ok(Message::Directives(directives)) => {
                    self.tell_overtaken(&directives);
                    self.tell_overtaken(&directives);
                    let news: Vec<Directive> = directives
                        .into_iter()
                        .filter(|directive| self.take_in(at.now, age, directive))
                        .collect();
                    self.pass_on(&news, age, others);
                }
                Ok(Message::Digest { entries, is_answer }) => {
                    self.learn_terms(at, &entries, others);
                    let missing = self.directives.missing_from(at.now, &entries);
                    if !missing.is_empty() {
                        frame::encode_directives(&missing)
                            .iter()
                            .for_each(|words| self.say(&from.name, DECREE, words));
                    }
                    if !is_answer && self.directives.is_behind(&entries) {
                        let own = frame::encode_digest(&self.directives.digest(at.now), true);
                        own.iter().for_each(|words| self.say(&from.name, DECREE, words));
                    }
                }
                Ok(Message::Report(report)) => {
                    if self.participant.may_act(at.now, &report.topic.lease).is_some() {
                        self.reports.receive(at.now, age, &from.name, from.start, report);
                    }
                }
                Err(_) => {}
            },
            _ => {}
        }
    }

    /// Whether it is news.
    fn take_in(&mut self, now: Micros, age: Micros, directive: &Directive) -> bool {
        let before = self.directives.holder(now, &directive.topic.lease).map(|holder| holder.term);
        let news = self.directives.receive(now, age, directive.clone()) == Acceptance::New;
        if news && before != Some(directive.version.term) {
            info!(self.log, "duty"; "held_by" => &directive.issuer, "term" => directive.version.term, "name" => &directive.topic.lease);
            self.keep(Record::Decreed(directive.topic.lease.clone(), directive.version.term));
        }
        news
    }

    fn pass_on(&mut self, news: &[Directive], age: Micros, others: &[Rc<str>]) {
        if news.is_empty() {
            return;
        }
        let aged =
            |directive: &Directive| Directive { remaining: directive.remaining - age, ..directive.clone() };
        let news: Vec<Directive> = news.iter().map(aged).collect();
        let to: Vec<Rc<str>> = others.iter().cloned().choose_multiple(&mut self.rng, FANOUT);
        for words in frame::encode_directives(&news) {
            to.iter().for_each(|to| self.say(to, DECREE, &words));
        }
    }

    /// To be called at the time that was asked for; `others` are the drivers known to live.
    pub fn wake(&mut self, at: Moment, others: &[Rc<str>]) {
        let now = at.now;
        self.read_memory(now);
        if self.agree_at.is_some_and(|due| due <= now) {
            let actions = self.participant.wake(now, at.wall);
            self.carry_out(at, actions, others);
        }
        if now >= self.decree_at {
            self.decree_at = now + RENEWAL_INTERVAL;
            self.directives.expire(now);
            self.decree(now, others);
        }
        if now >= self.work_at {
            self.work_at = now + WORKS;
            self.keep_again();
            self.work(at, others);
        }
        if now >= self.compare_at {
            self.compare_at = now + DIGEST_INTERVAL;
            if let Some(to) = others.iter().cloned().choose(&mut self.rng) {
                let digest = frame::encode_digest(&self.directives.digest(now), false);
                digest.iter().for_each(|words| self.say(&to, DECREE, words));
            }
        }
        if let Some(report) = self.reporter.next(now)
            && let Some(holder) =
                self.directives.holder(now, &report.topic.lease).map(|holder| holder.name.to_owned())
        {
            if *holder == *self.own.name {
                let Incarnation { name, start } = self.own.clone();
                self.reports.receive(now, 0, &name, start, report);
            } else {
                self.say(&holder, DECREE, &frame::encode_report(&report));
            }
        }
    }

    fn carry_out(&mut self, at: Moment, actions: Actions, others: &[Rc<str>]) {
        self.agree_at = actions.wake_at;
        for Outgoing { to, message } in actions.send {
            self.say(&to, DUTY, &aldermill_leases::frame::encode(&message));
        }
        for (duty, term) in actions.persist {
            self.keep(Record::Granted(duty, term));
        }
        let got = |change: &LeaseChange| matches!(change, LeaseChange::Acquired { .. });
        let heard_of = actions.changes.iter().any(got);
        for change in actions.changes {
            match change {
                LeaseChange::Acquired { lease: duty, term } => {
                    info!(self.log, "duty got"; "term" => term, "name" => &duty);
                    self.keep(Record::Decreed(duty, term));
                }
                LeaseChange::Lost { lease: duty, term } => {
                    info!(self.log, "duty no longer held"; "term" => term, "name" => &duty);
                }
            }
        }
        if heard_of {
            // Others are to know at once whom to report to.
            self.decree(at.now, others);
        }
    }

    /// A driver is gone.
    pub fn gone(&mut self, now: Micros, name: &str) {
        self.reports.forget(name);
        self.leaving.iter_mut().for_each(|leaving| leaving.gone(now, name));
    }

    /// It lays down what it holds.
    pub fn leave(&mut self, at: Moment) {
        let actions = self.participant.release_all(at.now);
        self.carry_out(at, actions, &[]);
    }

    fn say(&mut self, to: &str, kind: u8, words: &[u8]) {
        self.out.push((to.to_owned(), [&[kind], words].concat()));
    }

    pub fn describe(&self, now: Micros) -> Value {
        let duties = self.duties.iter().map(|duty| {
            let holder = self.directives.holder(now, duty);
            let told = self.reports.recent(now, LIFETIME, duty).map(|report| report.reporter);
            let reporting = told.collect::<std::collections::BTreeSet<_>>().len();
            json!({"name": duty, "held_by": holder.map(|holder| holder.name), "term": holder.map(|holder| holder.term),
                "holds": self.participant.may_act(now, duty), "reporting": reporting})
        });
        let directives = self.directives.all(now).map(|directive| {
            json!({"duty": directive.topic.lease, "subject": directive.topic.subject, "term": directive.version.term,
                "number": directive.version.number, "by": directive.issuer, "left_ms": directive.remaining / 1000,
                "says": String::from_utf8_lossy(&directive.body)})
        });
        json!({"votes": self.participant.is_voter(), "zones": self.zones.as_ref().map(ZonesWork::describe),
            "retire": self.leaving.as_ref().map(LeavingWork::describe),
            "aside": self.splits.as_ref().map(SplitsWork::aside), "duties": duties.collect::<Vec<_>>(),
            "decrees": directives.collect::<Vec<_>>()})
    }
}
