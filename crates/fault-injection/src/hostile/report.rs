//! What a trial showed, and the rules that it broke.

use std::fmt;
use std::time::{Duration, Instant};

use super::attack::DepartureLog;
use super::members::ArrivalLog;
use super::ordinary::{Ending, Request};

/// Time after a client's close within which an attempt may still begin, with what the test needs to see it.
const DEPARTURE_GRACE: Duration = Duration::from_millis(150);

/// Time within which the process is being replaced, so that requests may end without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When the process begins to end.
    pub from: Instant,
    /// When its successor serves.
    pub until: Instant,
}

/// What a trial showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of requests of ordinary clients.
    pub requests: usize,
    /// How many of them were served.
    pub served: usize,
    /// How many were rejected.
    pub rejected: usize,
    /// How many failed.
    pub failed: usize,
    /// How many found no connection.
    pub not_sent: usize,
    /// How many ended with their connection, without an answer.
    pub closed: usize,
    /// How many got no answer at all.
    pub unanswered: usize,
    /// How many were given a value that no member gave.
    pub wrong_values: usize,
    /// Median time to an answer.
    pub median: Duration,
    /// Time to an answer that one of a hundred requests exceeded.
    pub p99: Duration,
    /// Highest resident memory of any process, in KiB.
    pub peak_kib: u64,
    /// Memory limit, in KiB.
    pub limit_kib: u64,
    /// CPU time of the processes, in seconds.
    pub cpu_seconds: f64,
    /// Whether a process ended by itself.
    pub crashed: bool,
    /// Requests whose first attempt began after their client had left, and how long after in milliseconds.
    pub after_departure: Vec<(String, u128)>,
    /// Ids of writes that ran more than once.
    pub written_twice: Vec<String>,
    /// Number of requests that members received.
    pub arrivals: usize,
    /// Number of connections of hostile clients.
    pub hostile_connections: usize,
}

impl Report {
    /// Counts the requests of ordinary clients. Those sent during an outage count only if they were served wrongly.
    pub(super) fn count(&mut self, requests: &[Request], outages: &[Outage]) {
        let mut took: Vec<Duration> = Vec::new();
        for request in requests {
            let replaced = outages.iter().any(|outage| {
                request.sent_at + request.took >= outage.from && request.sent_at <= outage.until
            });
            if replaced && !matches!(request.ending, Ending::Served | Ending::WrongValue) {
                continue;
            }
            self.requests += 1;
            match &request.ending {
                Ending::Served => {
                    self.served += 1;
                    took.push(request.took);
                }
                Ending::Rejected => self.rejected += 1,
                Ending::Failed(_) => self.failed += 1,
                Ending::Closed => self.closed += 1,
                Ending::Unanswered => self.unanswered += 1,
                Ending::NotSent => self.not_sent += 1,
                Ending::WrongValue => self.wrong_values += 1,
            }
        }
        took.sort_unstable();
        let at = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or_default();
        self.median = at(0.5);
        self.p99 = at(0.99);
    }

    /// Finds attempts for clients that had left, and writes that ran twice.
    pub(super) fn compare(&mut self, arrivals: &ArrivalLog, departures: &DepartureLog) {
        self.arrivals = arrivals.request_count();
        self.written_twice = arrivals.written_twice();
        for (id, left_at) in departures.entries() {
            let Some(seen) = arrivals.get(&id) else { continue };
            let after = seen.last.saturating_duration_since(left_at);
            if after > DEPARTURE_GRACE {
                self.after_departure.push((id, after.as_millis()));
            }
        }
    }

    /// Returns what is wrong, one line each; empty if the trial held.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut check = |broken: bool, text: String| {
            if broken {
                found.push(text);
            }
        };
        check(self.crashed, "a process ended by itself".to_owned());
        let (peak, limit) = (self.peak_kib, self.limit_kib);
        check(peak > limit, format!("memory: {peak} of {limit} KiB"));
        check(self.unanswered > 0, format!("{} requests without an answer", self.unanswered));
        check(self.wrong_values > 0, format!("{} wrong values", self.wrong_values));
        let late = self.after_departure.len();
        check(
            late > 0,
            format!("{late} requests attempted after their client left: {:?}", self.after_departure.first()),
        );
        let twice = self.written_twice.len();
        check(twice > 0, format!("{twice} writes ran twice: {:?}", self.written_twice.first()));
        found
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |count: usize| count as f64 * 100.0 / self.requests.max(1) as f64;
        write!(
            out,
            "{} requests: served {:.2}%, rejected {:.2}%, failed {:.2}%, closed {:.2}%, not sent {:.2}%, unanswered {}; \
             p50 {:.1} ms, p99 {:.1} ms; peak {:.1} of {:.0} MiB; CPU {:.1} s; {} attempts, {} hostile connections",
            self.requests,
            share(self.served),
            share(self.rejected),
            share(self.failed),
            share(self.closed),
            share(self.not_sent),
            self.unanswered,
            self.median.as_secs_f64() * 1e3,
            self.p99.as_secs_f64() * 1e3,
            self.peak_kib as f64 / 1024.0,
            self.limit_kib as f64 / 1024.0,
            self.cpu_seconds,
            self.arrivals,
            self.hostile_connections,
        )
    }
}
