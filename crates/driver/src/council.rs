//! This driver's part in what the fleet decides in common: its vote, the duties that it holds, decrees and reports. What is
//! said is `crates/duties`' and `crates/decrees`'; here it is put into datagrams, on the disk, and in the log.

mod duties;
mod leaving;
mod overtaken;
mod splits;
mod work;

use std::collections::VecDeque;
use std::rc::Rc;

use aldermill_decrees::frame::{self, Message};
use aldermill_decrees::{
    About, Book, COMPARED, Decree, EVERY, FANOUT, Heard, LASTS, Ledger, Micros, Reporter,
};
use aldermill_duties::{Agreement, Change, Driver, Term, Terms, Todo, Unusable};
use aldermill_fellows::Fellow;
use aldermill_operator::Council as Wanted;
use aldermill_retire::Plan;
use aldermill_store::Batch;
use aldermill_warm::space;
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
use splits::SplitsWork;
use work::ZonesWork;

/// What a datagram between councils begins with.
const DUTY: u8 = 1;
const DECREE: u8 = 2;
/// How often a holder decides, and each driver looks at what is decreed.
pub const WORKS: Micros = 1_000_000;

/// Where terms are kept: the folder, and the writes under way, the oldest first.
struct Kept {
    folder: Rc<Folder>,
    told: mpsc::Sender<bool>,
    under_way: VecDeque<Option<(String, Term)>>,
}

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
    kept: Option<Kept>,
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
        let read = |of: u32| -> Vec<(String, Term)> {
            let records = folder.iter().flat_map(|folder| &folder.read).filter(|(space, ..)| *space == of);
            records.filter_map(|(_, key, value)| record(key, value)).collect()
        };
        let granted = folder.as_ref().map(|_| read(space::GRANTED));
        let decreed = read(space::DECREED).into_iter().map(|(duty, term)| (About::new(&duty, ""), (term, 0)));
        let book = Book::start(decreed);
        let agreement = Agreement::start(now, own.clone(), &terms, granted, seed)?;
        // More words than there can be writes under way.
        let (told, confirmed) = mpsc::channel(256);
        let kept = folder.map(|folder| Kept { folder, told, under_way: VecDeque::new() });
        info!(log, "council"; "votes" => agreement.is_voter(), "duties" => duties.join(" "), "kept" => kept.is_some());
        let has = |duty: &str| duties.iter().any(|of| of == duty);
        let zones = has(work::DUTY).then(|| ZonesWork::start(zone, log.clone()));
        let splits = has(splits::DUTY).then(|| SplitsWork::start(wanted.cuts, log.clone()));
        let leaving = has(leaving::DUTY).then(|| {
            let records = kept.iter().flat_map(|kept| &kept.folder.read);
            let bound = records.filter(|(space, ..)| *space == space::BOUND);
            let bound = bound.filter_map(|(_, _, body)| Plan::decode(body).ok()).collect();
            LeavingWork::start(now, &wanted.retire, limit, bound, log.clone())
        });
        let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(7));
        let council = Council {
            own,
            duties,
            agreement,
            book,
            ledger: Ledger::default(),
            reporter: Reporter::default(),
            kept,
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
            self.keep(space::DECREED, &decree.about.duty, decree.term, None);
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
            self.keep(space::GRANTED, &duty, term, Some((duty.clone(), term)));
        }
        let got = |change: &Change| matches!(change, Change::Got { .. });
        let heard_of = todo.changes.iter().any(got);
        for change in todo.changes {
            match change {
                Change::Got { duty, term } => {
                    info!(self.log, "duty got"; "term" => term, "name" => &duty);
                    self.keep(space::DECREED, &duty, term, None);
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

    /// Writes a term; `then` waits for it.
    fn keep(&mut self, of: u32, duty: &str, term: Term, then: Option<(String, Term)>) {
        self.write(of, duty, &term.to_be_bytes(), then);
    }

    fn write(&mut self, of: u32, key: &str, value: &[u8], then: Option<(String, Term)>) {
        let Some(kept) = &mut self.kept else { return };
        let mut batch = Batch::default();
        batch.put(of, key.as_bytes(), value, None);
        if kept.folder.write(batch, &kept.told) {
            kept.under_way.push_back(then);
        } else if then.is_some() {
            self.agreement.not_kept();
        }
    }

    /// The oldest write was confirmed, or was not.
    pub fn told(&mut self, at: Moment, well: bool, others: &[Rc<str>]) {
        let oldest = self.kept.as_mut().and_then(|kept| kept.under_way.pop_front()).flatten();
        let Some((duty, term)) = oldest else { return };
        if well {
            let todo = self.agreement.kept(at.now, at.wall, &duty, term);
            self.carry_out(at, todo, others);
        } else {
            warn!(self.log, "a term is not kept, so no vote is given"; "duty" => &duty, "term" => term);
            self.agreement.not_kept();
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

fn record(key: &[u8], value: &[u8]) -> Option<(String, Term)> {
    Some((String::from_utf8(key.to_vec()).ok()?, Term::from_be_bytes(value.try_into().ok()?)))
}
