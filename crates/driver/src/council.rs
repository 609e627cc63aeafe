//! This driver's part in what the fleet decides in common: its vote, the duties that it holds, decrees and reports. What is
//! said is `crates/duties`' and `crates/decrees`'; here it is put into datagrams, on the disk, and in the log.

mod duties;
mod leaving;
mod memory;
mod overtaken;
mod splits;
mod work;

use std::rc::Rc;

use aldermill_decrees::frame::{self, Message};
use aldermill_decrees::{
    About, Book, COMPARED, Decree, EVERY, FANOUT, Heard, LASTS, Ledger, Micros, Reporter,
};
use aldermill_duties::{Agreement, Change, Driver, Term, Terms, Todo, Unusable};
use aldermill_fellows::Fellow;
use aldermill_operator::Council as Wanted;
use aldermill_retire::Plan;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use aldermill_zones::{Group, Lean};

use crate::keep::Folder;
use crate::words::Seen;
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
    own: Driver,
    duties: Vec<String>,
    agreement: Agreement,
    book: Book,
    ledger: Ledger,
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
    /// The receiver hears of each write to the folder, in their order. `limit` is the longest time limit of a task.
    pub fn open(
        wanted: Wanted,
        own: Driver,
        folder: Option<Rc<Folder>>,
        (zone, limit): (usize, Micros),
        moment: Moment,
        seed: u64,
        log: Logger,
    ) -> Result<(Council, mpsc::Receiver<bool>), Unusable> {
        let now = moment.now;
        let duties: Vec<String> = wanted.duties.iter().map(|duty| duty.name().to_owned()).collect();
        let terms = Terms {
            voters: wanted.voters,
            duties: duties.clone(),
            lasts: Micros::from(wanted.lease_ms) * 1000,
            least_term: wanted.least_term,
        };
        let book = Book::default();
        let agreement = Agreement::start(now, own.clone(), &terms, None, seed)?;
        let (told, confirmed) = mpsc::channel(UNDER_WAY);
        let memory = folder.map(|folder| Memory::start(folder, told));
        info!(log, "council"; "votes" => agreement.is_voter(), "duties" => duties.join(" "), "kept" => memory.is_some());
        let has = |duty: &str| duties.iter().any(|of| of == duty);
        let zones = has(work::DUTY).then(|| ZonesWork::start(zone, log.clone()));
        let splits = has(splits::DUTY).then(|| SplitsWork::start(wanted.cuts, log.clone()));
        let leaving = has(leaving::DUTY)
            .then(|| LeavingWork::start(now, &wanted.retire, limit, memory.is_some(), log.clone()));
        let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(7));
        let mut council = Council {
            own,
            duties,
            agreement,
            book,
            ledger: Ledger::default(),
            reporter: Reporter::default(),
            memory,
            log,
            zones,
            splits,
            leaving,
            decree_at: now,
            work_at: now,
            compare_at: now + rng.random_range(0..COMPARED),
            agree_at: Some(now),
            out: Vec::new(),
            rng,
        };
        council.begin_memory(now);
        Ok((council, confirmed))
    }

    pub fn wake_at(&self) -> Micros {
        let reports = self.reporter.due().unwrap_or(Micros::MAX);
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
                let Ok(said) = aldermill_duties::frame::decode(words) else { return };
                let from = Driver { name: from.name.to_string(), start: from.start };
                let todo = self.agreement.hear(at.now, at.wall, &from, &said);
                self.carry_out(at, todo, others);
            }
            DECREE => match frame::decode(words) {
                Ok(Message::Decrees(decrees)) => {
                    self.tell_overtaken(&decrees);
                    self.tell_overtaken(&decrees);
                    let news: Vec<Decree> =
                        decrees.into_iter().filter(|decree| self.take_in(at.now, age, decree)).collect();
                    self.pass_on(&news, age, others);
                }
                Ok(Message::Digest { entries, answer }) => {
                    self.learn_terms(at, &entries, others);
                    let lacks = self.book.lacks(at.now, &entries);
                    if !lacks.is_empty() {
                        frame::decrees(&lacks).iter().for_each(|words| self.say(&from.name, DECREE, words));
                    }
                    if !answer && self.book.is_behind(&entries) {
                        let own = frame::digest(&self.book.digest(at.now), true);
                        own.iter().for_each(|words| self.say(&from.name, DECREE, words));
                    }
                }
                Ok(Message::Report(report)) => {
                    if self.agreement.may_act(at.now, &report.about.duty).is_some() {
                        self.ledger.hear(at.now, age, &from.name, from.start, report);
                    }
                }
                Err(_) => {}
            },
            _ => {}
        }
    }

    /// Whether it is news.
    fn take_in(&mut self, now: Micros, age: Micros, decree: &Decree) -> bool {
        let before = self.book.holder(now, &decree.about.duty).map(|(_, term)| term);
        let news = self.book.hear(now, age, decree.clone()) == Heard::News;
        if news && before != Some(decree.term) {
            info!(self.log, "duty"; "held_by" => &decree.by, "term" => decree.term, "name" => &decree.about.duty);
            self.keep(Record::Decreed(decree.about.duty.clone(), decree.term));
        }
        news
    }

    fn pass_on(&mut self, news: &[Decree], age: Micros, others: &[Rc<str>]) {
        if news.is_empty() {
            return;
        }
        let aged = |decree: &Decree| Decree { left: decree.left - age, ..decree.clone() };
        let news: Vec<Decree> = news.iter().map(aged).collect();
        let to: Vec<Rc<str>> = others.iter().cloned().choose_multiple(&mut self.rng, FANOUT);
        for words in frame::decrees(&news) {
            to.iter().for_each(|to| self.say(to, DECREE, &words));
        }
    }

    /// To be called at the time that was asked for; `others` are the drivers known to live.
    pub fn wake(&mut self, at: Moment, others: &[Rc<str>]) {
        let now = at.now;
        self.read_memory(now);
        if self.agree_at.is_some_and(|due| due <= now) {
            let todo = self.agreement.wake(now, at.wall);
            self.carry_out(at, todo, others);
        }
        if now >= self.decree_at {
            self.decree_at = now + EVERY;
            self.book.wake(now);
            self.decree(now, others);
        }
        if now >= self.work_at {
            self.work_at = now + WORKS;
            self.keep_again();
            self.work(at, others);
        }
        if now >= self.compare_at {
            self.compare_at = now + COMPARED;
            if let Some(to) = others.iter().cloned().choose(&mut self.rng) {
                let digest = frame::digest(&self.book.digest(now), false);
                digest.iter().for_each(|words| self.say(&to, DECREE, words));
            }
        }
        if let Some(report) = self.reporter.next(now)
            && let Some(holder) = self.book.holder(now, &report.about.duty).map(|(by, _)| by.to_owned())
        {
            if *holder == *self.own.name {
                let Driver { name, start } = self.own.clone();
                self.ledger.hear(now, 0, &name, start, report);
            } else {
                self.say(&holder, DECREE, &frame::report(&report));
            }
        }
    }

    fn carry_out(&mut self, at: Moment, todo: Todo, others: &[Rc<str>]) {
        self.agree_at = todo.wake_at;
        for (to, said) in todo.send {
            self.say(&to, DUTY, &aldermill_duties::frame::encode(&said));
        }
        for (duty, term) in todo.keep {
            self.keep(Record::Granted(duty, term));
        }
        let got = |change: &Change| matches!(change, Change::Got { .. });
        let heard_of = todo.changes.iter().any(got);
        for change in todo.changes {
            match change {
                Change::Got { duty, term } => {
                    info!(self.log, "duty got"; "term" => term, "name" => &duty);
                    self.keep(Record::Decreed(duty, term));
                }
                Change::Lost { duty, term } => {
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
        self.ledger.gone(name);
        self.leaving.iter_mut().for_each(|leaving| leaving.gone(now, name));
    }

    /// It lays down what it holds.
    pub fn leave(&mut self, at: Moment) {
        let todo = self.agreement.leave(at.now);
        self.carry_out(at, todo, &[]);
    }

    fn say(&mut self, to: &str, kind: u8, words: &[u8]) {
        self.out.push((to.to_owned(), [&[kind], words].concat()));
    }

    pub fn describe(&self, now: Micros) -> Value {
        let duties = self.duties.iter().map(|duty| {
            let holder = self.book.holder(now, duty);
            let told = self.ledger.told(now, LASTS, duty).map(|(name, ..)| name);
            let reporting = told.collect::<std::collections::BTreeSet<_>>().len();
            json!({"name": duty, "held_by": holder.map(|(by, _)| by), "term": holder.map(|(_, term)| term),
                "holds": self.agreement.may_act(now, duty), "reporting": reporting})
        });
        let decrees = self.book.all(now).map(|decree| {
            json!({"duty": decree.about.duty, "subject": decree.about.subject, "term": decree.term,
                "number": decree.number, "by": decree.by, "left_ms": decree.left / 1000,
                "says": String::from_utf8_lossy(&decree.body)})
        });
        json!({"votes": self.agreement.is_voter(), "zones": self.zones.as_ref().map(ZonesWork::describe),
            "retire": self.leaving.as_ref().map(LeavingWork::describe),
            "aside": self.splits.as_ref().map(SplitsWork::aside), "duties": duties.collect::<Vec<_>>(),
            "decrees": decrees.collect::<Vec<_>>()})
    }
}
