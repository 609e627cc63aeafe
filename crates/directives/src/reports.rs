//! The reports that a lease holder received.

use std::collections::BTreeMap;

use crate::{Micros, Report, Topic};

/// Maximum number of topics kept for one reporter.
const MAX_TOPICS_PER_REPORTER: usize = 64;
/// Maximum number of proxies whose reports are kept.
const MAX_REPORTERS: usize = 1024;

#[derive(Clone, Debug)]
struct StoredReport {
    number: u64,
    received_at: Micros,
    body: Vec<u8>,
}

/// Reports of one incarnation of a proxy.
#[derive(Clone, Debug)]
struct ReporterState {
    /// Incarnation of the proxy; a later one has a higher number.
    incarnation: u64,
    reports: BTreeMap<Topic, StoredReport>,
}

impl ReporterState {
    fn new(incarnation: u64) -> ReporterState {
        ReporterState { incarnation, reports: BTreeMap::new() }
    }
}

/// A stored report, as [`Reports::recent`] returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedReport<'a> {
    /// Name of the proxy that sent the report.
    pub reporter: &'a str,
    /// Subject of the report under the requested lease.
    pub subject: &'a str,
    /// When the report arrived, by the lease holder's clock, less the time that it may have waited unread.
    pub received_at: Micros,
    /// Content of the report.
    pub body: &'a [u8],
}

/// The newest report of each proxy on each topic, kept by a lease holder.
///
/// Duplicates, reports of an earlier incarnation and reports with a lower number are rejected. A proxy that has not
/// been heard from is absent; absence never means that the proxy has nothing to report.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_reporter: BTreeMap<String, ReporterState>,
}

impl Reports {
    /// Stores a report that `incarnation` of `reporter` sent, and returns whether it was new and there was capacity
    /// for it. `age` is how long the report may have waited unread, in microseconds.
    ///
    /// A report of a later incarnation discards those of the earlier one.
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

    /// Returns the incarnation that `reporter` last reported under, or `None` if no report of it is known.
    #[must_use]
    pub fn incarnation_of(&self, reporter: &str) -> Option<u64> {
        self.by_reporter.get(reporter).map(|state| state.incarnation)
    }

    /// Discards all reports of a proxy that is gone or has restarted.
    pub fn remove_reporter(&mut self, reporter: &str) {
        self.by_reporter.remove(reporter);
    }

    /// Returns the reports under `lease` that arrived at most `max_age` microseconds ago, ordered by reporter, then
    /// by subject.
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
