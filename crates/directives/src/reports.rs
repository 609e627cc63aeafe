//! What a lease holder was told.

use std::collections::BTreeMap;

use crate::{Micros, Report, Topic};

/// Topics that are kept of one process.
const MAX_TOPICS_PER_REPORTER: usize = 64;
/// Processes that reports are kept of.
const MAX_REPORTERS: usize = 1024;

#[derive(Clone, Debug)]
struct StoredReport {
    number: u64,
    received_at: Micros,
    body: Vec<u8>,
}

/// What one process told.
#[derive(Clone, Debug)]
struct ReporterState {
    /// Which start of the process.
    incarnation: u64,
    reports: BTreeMap<Topic, StoredReport>,
}

impl ReporterState {
    fn new(incarnation: u64) -> ReporterState {
        ReporterState { incarnation, reports: BTreeMap::new() }
    }
}

/// A report as a lease holder looks it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport<'a> {
    /// The name of the process that sent it.
    pub reporter: &'a str,
    /// What it is about, under the lease that was asked for.
    pub subject: &'a str,
    /// When it arrived, by the lease holder's clock.
    pub received_at: Micros,
    /// What it says.
    pub body: &'a [u8],
}

/// What a lease holder was told: the newest report of each process on each topic.
///
/// A report counts once however often it arrives; one of an earlier start or with a lower number not at all. A process that
/// was not heard is missing here; it never counts as one that has nothing to report.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_reporter: BTreeMap<String, ReporterState>,
}

impl Reports {
    /// Takes a report of this start of a process; `age` is how long it may have waited here unread. Says whether it is
    /// new.
    pub fn receive(
        &mut self,
        now: Micros,
        age: Micros,
        reporter: &str,
        incarnation: u64,
        report: Report,
    ) -> bool {
        if !self.by_reporter.contains_key(reporter) && self.by_reporter.len() >= MAX_REPORTERS {
            return false;
        }
        let state =
            self.by_reporter.entry(reporter.to_owned()).or_insert_with(|| ReporterState::new(incarnation));
        if incarnation < state.incarnation {
            return false;
        }
        if incarnation > state.incarnation {
            *state = ReporterState::new(incarnation);
        }
        let Report { topic, number, body } = report;
        let known = state.reports.get(&topic);
        let has_capacity = known.is_some() || state.reports.len() < MAX_TOPICS_PER_REPORTER;
        let is_newer = known.is_none_or(|known| known.number < number);
        if is_newer && has_capacity {
            state.reports.insert(topic, StoredReport { number, received_at: now - age, body });
        }
        is_newer && has_capacity
    }

    /// The start of a process that reported anything.
    #[must_use]
    pub fn incarnation_of(&self, reporter: &str) -> Option<u64> {
        self.by_reporter.get(reporter).map(|state| state.incarnation)
    }

    /// A process is gone, or has started again: what it reported counts no more.
    pub fn remove_reporter(&mut self, reporter: &str) {
        self.by_reporter.remove(reporter);
    }

    /// What was reported to the holder of a lease within that time, by reporter and subject.
    pub fn recent<'a>(
        &'a self,
        now: Micros,
        max_age: Micros,
        lease: &'a str,
    ) -> impl Iterator<Item = ReceivedReport<'a>> {
        let all = self.by_reporter.iter().flat_map(|(reporter, state)| {
            state.reports.iter().map(move |(topic, stored)| (reporter, topic, stored))
        });
        all.filter(move |(_, topic, stored)| topic.lease == lease && now - stored.received_at <= max_age).map(
            |(reporter, topic, stored)| ReceivedReport {
                reporter,
                subject: &topic.subject,
                received_at: stored.received_at,
                body: &stored.body,
            },
        )
    }
}
