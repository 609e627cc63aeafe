use std::collections::BTreeMap;

use crate::{About, Micros};

/// Datagrams of reports a driver sends: one a second.
const EVERY: Micros = 1_000_000;
/// Parts of reports that wait to be sent; the oldest of them is forgotten for a new one.
const WAITING: usize = 64;
/// Parts that the holder keeps of one driver, and drivers.
const PARTS: usize = 64;
const DRIVERS: usize = 1024;

/// What a driver tells the holder of a duty; of those about one thing the newest counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub about: About,
    pub number: u64,
    pub body: Vec<u8>,
}

/// Sends what a driver has to report, in turn, at a pace that does not grow with what there is to say.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    waiting: BTreeMap<About, Vec<u8>>,
    /// By duty, the number of its last report and the subject.
    last: BTreeMap<String, (u64, String)>,
    number: u64,
    next: Micros,
}

impl Reporter {
    /// What is to be told of this from now on, in the place of what waited.
    pub fn put(&mut self, about: About, body: Vec<u8>) {
        if self.waiting.len() >= WAITING && !self.waiting.contains_key(&about) {
            self.waiting.pop_first();
        }
        self.waiting.insert(about, body);
    }

    /// The next report, if one is due.
    pub fn next(&mut self, now: Micros) -> Option<Report> {
        if now < self.next {
            return None;
        }
        // The duty whose turn was longest ago, and of that the subject behind the last one: a duty with much to tell
        // does not keep another waiting.
        let turn = |about: &About| self.last.get(&about.duty).map_or(0, |(turn, _)| *turn);
        let duty = self.waiting.keys().min_by_key(|about| turn(about))?.duty.clone();
        let of = || self.waiting.keys().filter(|about| about.duty == duty);
        let last = self.last.get(&duty).map(|(_, subject)| subject);
        let behind = of().find(|about| last.is_some_and(|last| about.subject > *last));
        let about = behind.or_else(|| of().next())?.clone();
        let body = self.waiting.remove(&about)?;
        self.last.insert(duty, (self.number + 1, about.subject.clone()));
        self.number += 1;
        self.next = now + EVERY;
        Some(Report { about, number: self.number, body })
    }

    pub fn due(&self) -> Option<Micros> {
        (!self.waiting.is_empty()).then_some(self.next)
    }
}

#[derive(Clone, Debug)]
struct Told {
    number: u64,
    at: Micros,
    body: Vec<u8>,
}

/// What the holder of a duty was told, the newest of each driver and subject.
///
/// A report counts once however often it comes, one of an earlier start or a lower number not at all. A driver that is not
/// heard is missing here; it never counts as one that has nothing to tell.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    of: BTreeMap<String, (u64, BTreeMap<About, Told>)>,
}

impl Ledger {
    /// Whether it is news. `age` is how long it may have waited here unread.
    pub fn hear(&mut self, now: Micros, age: Micros, from: &str, start: u64, report: Report) -> bool {
        if !self.of.contains_key(from) && self.of.len() >= DRIVERS {
            return false;
        }
        let (known, parts) = self.of.entry(from.to_owned()).or_default();
        if start < *known {
            return false;
        }
        if start > *known {
            (*known, *parts) = (start, BTreeMap::new());
        }
        let room = parts.len() < PARTS || parts.contains_key(&report.about);
        let newer = parts.get(&report.about).is_none_or(|told| told.number < report.number);
        if newer && room {
            let Report { about, number, body } = report;
            parts.insert(about, Told { number, at: now - age, body });
        }
        newer && room
    }

    /// The start of a driver that told anything.
    pub fn start(&self, name: &str) -> Option<u64> {
        self.of.get(name).map(|(start, _)| *start)
    }

    /// A driver is gone, or another start of it has come: what it told counts no more.
    pub fn gone(&mut self, name: &str) {
        self.of.remove(name);
    }

    /// What was told of a duty within that time: by whom, of which subject, when, and what.
    pub fn told<'a>(
        &'a self,
        now: Micros,
        within: Micros,
        duty: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a str, Micros, &'a [u8])> {
        let parts = self.of.iter().flat_map(|(name, (_, parts))| parts.iter().map(move |part| (name, part)));
        parts
            .filter(move |(_, (about, told))| about.duty == duty && now - told.at <= within)
            .map(|(name, (about, told))| (name.as_str(), about.subject.as_str(), told.at, &told.body[..]))
    }
}
