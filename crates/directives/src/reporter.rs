//! What a process sends to lease holders, and at what pace.

use std::collections::BTreeMap;

use crate::{Micros, Topic};

/// A process sends one report in this time.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Reports that wait to be sent; the one of the first topic is dropped for that of a new one.
const MOST_WAITING: usize = 64;

/// What a process tells the holder of a lease; of those on one topic the newest counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// What it is about.
    pub topic: Topic,
    /// Rises with each report of one start of a process.
    pub number: u64,
    /// What it says; opaque here, at most [`LONGEST_BODY`](crate::frame::LONGEST_BODY) bytes.
    pub body: Vec<u8>,
}

/// The last report that was sent to the holder of one lease.
#[derive(Clone, Debug)]
struct LastSent {
    number: u64,
    subject: String,
}

/// Sends what a process has to report, in turn, at a pace that does not grow with what there is to say.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    waiting: BTreeMap<Topic, Vec<u8>>,
    last_sent: BTreeMap<String, LastSent>,
    number: u64,
    next_at: Micros,
}

impl Reporter {
    /// What is to be reported on this topic from now on, in place of what waited.
    pub fn put(&mut self, topic: Topic, body: Vec<u8>) {
        if self.waiting.len() >= MOST_WAITING && !self.waiting.contains_key(&topic) {
            self.waiting.pop_first();
        }
        self.waiting.insert(topic, body);
    }

    /// The next report, if one is due.
    pub fn next(&mut self, now: Micros) -> Option<Report> {
        if now < self.next_at {
            return None;
        }
        let topic = self.next_topic()?;
        let body = self.waiting.remove(&topic)?;
        self.number += 1;
        self.next_at = now + REPORT_INTERVAL;
        let last_sent = LastSent { number: self.number, subject: topic.subject.clone() };
        self.last_sent.insert(topic.lease.clone(), last_sent);
        Some(Report { topic, number: self.number, body })
    }

    /// Of the lease whose turn was longest ago, the subject behind the last one: a lease with much to report does not keep
    /// another waiting.
    fn next_topic(&self) -> Option<Topic> {
        let last_turn = |topic: &&Topic| self.last_sent.get(&topic.lease).map_or(0, |last| last.number);
        let lease = &self.waiting.keys().min_by_key(last_turn)?.lease;
        let mut of_lease = self.waiting.keys().filter(|topic| topic.lease == *lease);
        let first = of_lease.clone().next();
        let behind =
            self.last_sent.get(lease).and_then(|last| of_lease.find(|topic| topic.subject > last.subject));
        behind.or(first).cloned()
    }

    /// When the next report is due, if one waits.
    #[must_use]
    pub fn due_at(&self) -> Option<Micros> {
        (!self.waiting.is_empty()).then_some(self.next_at)
    }
}
