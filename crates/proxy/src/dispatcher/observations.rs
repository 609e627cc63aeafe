//! Observations of this process for the lease holders, which decide for the whole fleet, and the zone
//! failover directives that they issue.
//!
//! Without coordination there are no [`Observations`], and nothing is counted.

use std::collections::{BTreeMap, HashMap};

use aldermill_routing::{Micros, Need, ReadShift, RequestHandle, Verdict};
use aldermill_settings::Settings;
use aldermill_split_points::KeySketch;
use aldermill_wire::statement::first_quoted_text;
use aldermill_zone_failover::{ReadOutcome, RecentReads, TrafficShift, ZoneDirective, ZoneHistory};
use tokio::sync::oneshot;

use super::Dispatcher;
use super::member_entry::MemberEntry;
use crate::messages::{ClientRequest, ObservationSummary, SiteObservations};

/// Maximum number of groups for which a key sketch is kept.
const MAX_GROUPS: usize = 64;

/// An attempt in flight, as it is observed.
struct AttemptInFlight {
    group: u64,
    zone: usize,
    /// The latency objective of the attempt's request class, in microseconds.
    objective: Micros,
    is_write: bool,
    /// The key that the statement names; empty if it names none or keys are not observed.
    key: Vec<u8>,
}

/// Outcomes of reads by group and zone, and the cost of accesses by key.
pub struct Observations {
    zone_history: ZoneHistory,
    in_flight: HashMap<RequestHandle, AttemptInFlight>,
    /// Key sketches by group; `None` if split points are not recommended.
    key_sketches: Option<BTreeMap<u64, KeySketch>>,
    seed: u64,
}

impl Observations {
    /// Starts to observe at `now`. `seed` seeds the key sketches, which are kept only if
    /// `split_points_enabled` is set, as split points are recommended from them.
    pub fn start(now: Micros, seed: u64, split_points_enabled: bool) -> Observations {
        let key_sketches = split_points_enabled.then(BTreeMap::new);
        Observations { zone_history: ZoneHistory::start(now), in_flight: HashMap::new(), key_sketches, seed }
    }

    /// Records that an attempt is about to be sent to this member.
    pub(super) fn record_attempt(
        &mut self,
        handle: RequestHandle,
        member: Option<&MemberEntry>,
        settings: &Settings,
        request: &ClientRequest,
    ) {
        let Ok(class) = settings.class_index(&request.comment.class) else { return };
        let class = &settings.router_config.classes[class];
        let Some(member) = member else { return };
        let attempt = AttemptInFlight {
            group: member.group,
            zone: member.zone,
            objective: class.objective,
            is_write: class.need == Need::Write,
            key: self.observed_key(request),
        };
        self.in_flight.insert(handle, attempt);
    }

    fn observed_key(&self, request: &ClientRequest) -> Vec<u8> {
        if self.key_sketches.is_none() {
            return Vec::new();
        }
        first_quoted_text(&request.statement[request.comment.end..]).unwrap_or_default().into_bytes()
    }

    fn record_attempt_end(&mut self, now: Micros, handle: RequestHandle, verdict: Verdict, elapsed: Micros) {
        let Some(attempt) = self.in_flight.remove(&handle) else { return };
        if verdict == Verdict::Served {
            self.count_key(now, &attempt, elapsed);
        }
        // Writes go to whichever zone has the primary, so they say nothing about the health of zones.
        if attempt.is_write {
            return;
        }
        if let Some(outcome) = read_outcome(verdict, elapsed, attempt.objective) {
            self.zone_history.record(attempt.group, attempt.zone, outcome, elapsed);
        }
    }

    /// Counts a served access to a key. Its cost is the duration of the attempt, in milliseconds.
    fn count_key(&mut self, now: Micros, attempt: &AttemptInFlight, elapsed: Micros) {
        let Some(key_sketches) = &mut self.key_sketches else { return };
        let group = attempt.group;
        let has_room = key_sketches.len() < MAX_GROUPS || key_sketches.contains_key(&group);
        if attempt.key.is_empty() || !has_room {
            return;
        }
        let seed = self.seed ^ group;
        let sketch = key_sketches.entry(group).or_insert_with(|| KeySketch::new(now, seed));
        let cost_ms = elapsed as f64 / 1000.0;
        sketch.record(now, &attempt.key, attempt.is_write, cost_ms);
    }

    fn summary(&mut self, now: Micros, site: Option<SiteObservations>) -> ObservationSummary {
        let RecentReads { span, rows } = self.zone_history.end_interval(now);
        let encoded = |(&group, sketch): (&u64, &mut KeySketch)| (group, sketch.encode_summary(now));
        let keys = self.key_sketches.iter_mut().flatten().map(encoded).collect();
        ObservationSummary { span, rows, keys, site }
    }
}

/// Returns what the end of a read says about its zone; `None` if the verdict says nothing about the member's
/// health.
fn read_outcome(verdict: Verdict, elapsed: Micros, objective: Micros) -> Option<ReadOutcome> {
    match verdict {
        Verdict::Served => Some(ReadOutcome::Served { in_time: elapsed <= objective }),
        Verdict::Overloaded => Some(ReadOutcome::Rejected),
        Verdict::Error | Verdict::Malformed => Some(ReadOutcome::Failed),
        Verdict::TimedOut
        | Verdict::Unconnected
        | Verdict::Unreachable
        | Verdict::Reset
        | Verdict::ConnectionLost => Some(ReadOutcome::Unanswered),
        Verdict::Cancelled
        | Verdict::Unobserved
        | Verdict::LocalFailure
        | Verdict::NotSent
        | Verdict::NotPrimary => None,
    }
}

impl Dispatcher {
    /// Records the end of an attempt in the observations, if there are any.
    pub(super) fn observe_attempt_end(&mut self, handle: RequestHandle, verdict: Verdict, elapsed: Micros) {
        if let Some(observations) = &mut self.observations {
            observations.record_attempt_end(self.context.clock.now(), handle, verdict, elapsed);
        }
    }

    /// Sends a summary of the recent observations and starts a new reporting interval. Without observations,
    /// `reply` is dropped.
    pub(super) fn report_observations(&mut self, reply: oneshot::Sender<ObservationSummary>) {
        let now = self.context.clock.now();
        let Some(observations) = &mut self.observations else { return };
        let gateway_part = self.gateway_part.as_mut();
        let site = gateway_part.map(|gateway_part| gateway_part.take_observations(now));
        let _ = reply.send(observations.summary(now, site));
    }

    /// Applies the zone failover directives for this process's zone, which replace those applied before.
    /// Groups that no directive names are routed without a shift.
    pub(super) fn apply_zone_directives(&mut self, directives: &[ZoneDirective]) {
        let by_group = |directive: &ZoneDirective| (directive.group, read_shift(&directive.shift));
        let shifts = directives.iter().map(by_group).collect();
        self.router.set_read_shifts(&shifts);
    }
}

fn read_shift(shift: &TrafficShift) -> ReadShift {
    ReadShift {
        remote_share: fraction(shift.shifted_share),
        zone_weights: shift.targets.iter().map(|part| (part.zone, fraction(part.share))).collect(),
    }
}

fn fraction(thousandths: u16) -> f64 {
    f64::from(thousandths) / 1000.0
}
