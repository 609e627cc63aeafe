//! The work of the duty `retire`: what this driver tells of its site, what it decrees of sites that retire while it holds the
//! duty, and what it keeps to.

use std::collections::BTreeMap;

use aldermill_decrees::{About, Book, LASTS, Ledger, Micros};
use aldermill_duties::Term;
use aldermill_operator::{Pace, Retiring};
use aldermill_retire::{Holder, Keeps, Obeyed, Order, Place, Plan, Told, Word};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::Moment;
use crate::words::Seen;

pub const DUTY: &str = "retire";
/// Reports count for so long: a driver tells of other duties between two.
const COUNTS: Micros = 6_000_000;
/// What follows a task's time limit at the book of fates.
const SLACK: Micros = 5_000_000;

pub struct LeavingWork {
    words: Vec<Word>,
    obeyed: Obeyed,
    /// What of it was handed to the disk, by site, and whether it is known to be there; `None` without a folder.
    disk: Option<BTreeMap<String, (Plan, bool)>>,
    /// What was last acted by.
    acted: Vec<Plan>,
    holder: Holder,
    term: Option<Term>,
    /// What the next step of each site waits for, as it was last logged.
    waits: BTreeMap<String, Option<String>>,
    site: String,
    log: Logger,
}

fn words(of: &[Retiring]) -> Vec<Word> {
    let order = |pace| match pace {
        Pace::Goes => Order::Goes,
        Pace::Held => Order::Held,
        Pace::TakenBack => Order::TakenBack,
        Pace::Hurried => Order::Hurried,
    };
    let word = |one: &Retiring| Word {
        site: one.site.clone(),
        number: one.number,
        order: order(one.order),
        by_ms: one.by.saturating_mul(1000),
    };
    of.iter().map(word).collect()
}

fn standing(book: &Book, now: Micros) -> Vec<(Plan, Place)> {
    let read = |(site, body): (&str, &[u8])| {
        let place = book.place(&About::new(DUTY, site))?;
        Some((Plan::decode(body).ok()?, place))
    };
    book.of_duty(now, DUTY).filter_map(read).collect()
}

impl LeavingWork {
    /// `limit` is the longest time limit of a task; `durable` says that there is a folder.
    pub fn start(now: Micros, wanted: &[Retiring], limit: Micros, durable: bool, log: Logger) -> LeavingWork {
        let acts = Obeyed::acts(LASTS) + limit + SLACK;
        LeavingWork {
            words: words(wanted),
            obeyed: Obeyed::default(),
            disk: durable.then(BTreeMap::new),
            acted: Vec::new(),
            holder: Holder::start(now, acts),
            term: None,
            waits: BTreeMap::new(),
            site: String::new(),
            log,
        }
    }

    /// What an earlier start knew.
    pub fn read(&mut self, now: Micros, kept: Vec<Plan>) {
        if let Some(disk) = &mut self.disk {
            disk.extend(kept.iter().map(|plan| (plan.word.site.clone(), (plan.clone(), true))));
        }
        self.obeyed.read(now, kept);
    }

    /// This is on the disk.
    pub fn kept(&mut self, plan: &Plan) {
        let known = self.disk.as_mut().and_then(|disk| disk.get_mut(&plan.word.site));
        if let Some((_, kept)) = known.filter(|(known, _)| known == plan) {
            *kept = true;
        }
    }

    /// The disk did not take this: it is handed over again.
    pub fn not_kept(&mut self, plan: &Plan) {
        if let Some(disk) = &mut self.disk {
            disk.retain(|_, (known, _)| known != plan);
        }
    }

    /// Whether a restart would know of it, as far as that is provided for.
    fn is_kept(&self, plan: &Plan) -> bool {
        let on_disk = |disk: &BTreeMap<_, _>| disk.get(&plan.word.site) == Some(&(plan.clone(), true));
        self.disk.as_ref().is_none_or(on_disk)
    }

    /// What is to be handed to the disk now.
    fn unkept(&mut self) -> Vec<Plan> {
        let Some(disk) = &mut self.disk else { return Vec::new() };
        let known = |plan: &&Plan| disk.get(&plan.word.site).is_some_and(|(known, _)| known == *plan);
        let unkept: Vec<Plan> = self.obeyed.plans().filter(|plan| !known(plan)).cloned().collect();
        disk.extend(unkept.iter().map(|plan| (plan.word.site.clone(), (plan.clone(), false))));
        unkept
    }

    /// The operator's file was read anew.
    pub fn reread(&mut self, wanted: &[Retiring]) {
        self.words = words(wanted);
    }

    pub fn gone(&mut self, now: Micros, driver: &str) {
        self.holder.gone(now, driver);
    }

    pub fn report(&mut self, seen: &Seen) -> (About, Vec<u8>) {
        let mut told = Told { words: self.words.clone(), ..Told::default() };
        let empty = Default::default();
        let open = seen.site.as_ref().map_or(&empty, |site| &site.open);
        for plan in self.obeyed.plans() {
            let site = &plan.word.site;
            // What the desk does not know of yet says nothing, nor what a restart could forget.
            let stands = self.acted.contains(plan) && self.is_kept(plan);
            let Some(place) = self.obeyed.place(site).filter(|_| stands) else {
                continue;
            };
            let (number, open) = (plan.word.number, open.get(site).copied().unwrap_or_default());
            let keeps = Keeps { place, number, weight: plan.weight, stage: plan.stage, open };
            told.keeps.insert(site.clone(), keeps);
        }
        if let Some(seen) = &seen.site {
            self.site.clone_from(&seen.site);
            told.site.clone_from(&seen.site);
            told.over_ms = (seen.over / 1000).clamp(1, 60_000) as u32;
            (told.ended, told.in_time, told.bound) = (seen.ended, seen.in_time, seen.bound);
            for (site, trip) in &seen.trips {
                let millis = (trip / 1000).clamp(0, 60_000) as u32;
                let known = told.trips.entry(site.clone()).or_insert(millis);
                *known = millis.min(*known);
            }
        }
        (About::new(DUTY, ""), told.encode())
    }

    /// Once a second: what is decreed, by site, where this driver holds the duty; `living` are all drivers.
    pub fn decide(
        &mut self,
        at: Moment,
        term: Option<Term>,
        ledger: &Ledger,
        book: &Book,
        living: &[&str],
    ) -> Vec<(String, Vec<u8>)> {
        if self.term != term {
            self.term = term;
            self.holder.lays_down();
        }
        if term.is_none() {
            return Vec::new();
        }
        let read = |(driver, _, when, body): (&str, &str, Micros, &[u8])| {
            Some((driver.to_owned(), (ledger.start(driver)?, when, Told::decode(body).ok()?)))
        };
        let told = ledger.told(at.now, COUNTS, DUTY).filter_map(read).collect();
        let mut standing = standing(book, at.now);
        // A holder that was alone knows by what it keeps to itself.
        for plan in self.obeyed.plans() {
            if !standing.iter().any(|(known, _)| known.word.site == plan.word.site) {
                standing.push((plan.clone(), (0, 0)));
            }
        }
        let plans = self.holder.decide(at.now, at.wall, &told, living, &standing);
        plans.into_iter().map(|plan| (plan.word.site.clone(), plan.encode())).collect()
    }

    /// What is to be acted by from now on, where that has changed, and what of it is to be kept.
    pub fn obey(&mut self, now: Micros, book: &Book) -> (Option<Vec<Plan>>, Vec<Plan>) {
        for (plan, place) in standing(book, now) {
            let (site, waits) = (plan.word.site.clone(), plan.waits.clone());
            let news = self.obeyed.hear(now, plan, place);
            let Some(plan) = self.obeyed.plan(&site) else { continue };
            if news || self.waits.get(&site) != Some(&waits) {
                info!(self.log, "retire"; "waits" => &waits, "weight" => plan.weight, "stage" => ?plan.stage, "site" => &site);
                self.waits.insert(site, waits);
            }
        }
        let acting = self.obeyed.acting(now, &self.site);
        let changed = acting != self.acted;
        self.acted.clone_from(&acting);
        (changed.then_some(acting), self.unkept())
    }

    pub fn describe(&self) -> Value {
        json!({"acts_by": self.acted, "words": self.words})
    }
}
