//! The queue of reports that a proxy sends to lease holders, and the rate at which it sends them.

use std::collections::BTreeMap;

use crate::{Micros, Topic};

/// Minimum interval between two reports of one proxy, over all leases together.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Maximum number of reports in the queue. When it is full, a report on a new topic replaces the one whose topic
/// sorts first.
const MAX_QUEUED_REPORTS: usize = 64;

/// What a proxy tells the holder of a lease about one topic; a newer report on the topic replaces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Topic that the report is about.
    pub topic: Topic,
    /// Number of the report, rising with each report that one incarnation of a proxy sends; the first is 1.
    pub number: u64,
    /// Content of the report; opaque to this crate, at most
    /// [`MAX_BODY_BYTES`](crate::frame::MAX_BODY_BYTES) bytes.
    pub body: Vec<u8>,
}

/// The last report sent to the holder of one lease.
#[derive(Clone, Debug)]
struct LastSent {
    number: u64,
    subject: String,
}

/// Queues the reports of a proxy and hands them out in turn, at a rate that does not grow with their number.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    /// Bodies of the reports to be sent, at most [`MAX_QUEUED_REPORTS`].
    queued: BTreeMap<Topic, Vec<u8>>,
    /// Keyed by lease; a lease without an entry has had no report yet.
    last_sent: BTreeMap<String, LastSent>,
    /// Number of the last report over all leases; 0 before the first.
    last_number: u64,
    next_report_at: Micros,
}

impl Reporter {
    /// Queues a report on `topic`, replacing one on the same topic that was not sent yet.
    pub fn put(&mut self, topic: Topic, body: Vec<u8>) {
        if self.queued.len() >= MAX_QUEUED_REPORTS && !self.queued.contains_key(&topic) {
            self.queued.pop_first();
        }
        self.queued.insert(topic, body);
    }

    /// Removes the next report from the queue. Returns `None` if the queue is empty or no report is due yet.
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

    /// Picks the lease that was reported to least recently and, within it, the subject after the one sent last,
    /// starting over after the last subject. A lease with many reports thus does not delay those of another.
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

    /// Returns when the next report is due, or `None` if the queue is empty.
    #[must_use]
    pub fn due_at(&self) -> Option<Micros> {
        (!self.queued.is_empty()).then_some(self.next_report_at)
    }
}
