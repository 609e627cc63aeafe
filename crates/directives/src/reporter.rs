//! What a process sends to lease holders, and at what pace.

use std::collections::BTreeMap;

use crate::{Micros, Topic};

/// A process sends one report in this time.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Reports that wait to be sent; the one of the first topic is dropped for that of a new one.
const MAX_QUEUED_REPORTS: usize = 64;

/// What a process tells the holder of a lease; of those on one topic the newest counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// What it is about.
    pub topic: Topic,
    /// Rises with each report of one start of a process.
    pub number: u64,
    /// What it says; opaque here, at most [`MAX_BODY_BYTES`](crate::frame::MAX_BODY_BYTES) bytes.
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
    queued: BTreeMap<Topic, Vec<u8>>,
    last_sent: BTreeMap<String, LastSent>,
    last_number: u64,
    next_report_at: Micros,
}

impl Reporter {
    /// What is to be reported on this topic from now on, in place of what waited.
    pub fn put(&mut self, topic: Topic, body: Vec<u8>) {
        if self.queued.len() >= MAX_QUEUED_REPORTS && !self.queued.contains_key(&topic) {
            self.queued.pop_first();
        }
        self.queued.insert(topic, body);
    }

    /// The next report, if one is due.
    pub fn next(&mut self, now: Micros) -> Option<Report> {
        if now < self.next_report_at {
            return None;
        }
        let topic = self.next_topic()?;
        let body = self.queued.remove(&topic)?;
        self.last_number += 1;
        self.next_report_at = now + REPORT_INTERVAL;
        let last_sent = LastSent { number: self.last_number, subject: topic.subject.clone() };
        self.last_sent.insert(topic.lease.clone(), last_sent);
        Some(Report { topic, number: self.last_number, body })
    }

    /// Of the lease whose turn was longest ago, the subject behind the last one: a lease with much to report does not keep
    /// another waiting.
    fn next_topic(&self) -> Option<Topic> {
        let last_sent_number =
            |topic: &&Topic| self.last_sent.get(&topic.lease).map_or(0, |last| last.number);
        let lease = &self.queued.keys().min_by_key(last_sent_number)?.lease;
        let mut topics_of_lease = self.queued.keys().filter(|topic| topic.lease == *lease);
        let first = topics_of_lease.clone().next();
        let following = self
            .last_sent
            .get(lease)
            .and_then(|last| topics_of_lease.find(|topic| topic.subject > last.subject));
        following.or(first).cloned()
    }

    /// When the next report is due, if one waits.
    #[must_use]
    pub fn due_at(&self) -> Option<Micros> {
        (!self.queued.is_empty()).then_some(self.next_report_at)
    }
}
