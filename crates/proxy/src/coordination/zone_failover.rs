//! Controller of the lease `zones`, which covers failover between zones.
//!
//! The crate `aldermill-zone-failover` makes the decisions. This module connects it to the reports and directives of
//! the fleet, the log and the status socket.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, Micros, Reports, Topic};
use aldermill_zone_failover::{
    Evidence, FailoverLevel, FailoverPlanner, Group, GroupZone, MAX_ROWS, TrafficShift, Zone, ZoneDirective,
    ZoneReport, ZoneView,
};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport, TermState};
use crate::messages::ObservationSummary;

/// Name of the lease.
pub const LEASE: &str = "zones";
/// Maximum age of a report that decisions are based on, in microseconds. A proxy reports every second, in up to three
/// parts; this allows for the loss of two reports in transit.
const MAX_REPORT_AGE: Micros = 4_000_000;

/// Returns the subject of a directive: `GROUP.ZONE`, each in decimal.
fn subject(group: Group, zone: Zone) -> String {
    format!("{group}.{zone}")
}

/// Decodes a directive. Returns `None` if this version cannot decode its subject or body.
fn decode_directive(subject: &str, body: &[u8]) -> Option<ZoneDirective> {
    let (group, zone) = subject.split_once('.')?;
    let shift = TrafficShift::decode(body).ok()?;
    Some(ZoneDirective { group: group.parse().ok()?, zone: zone.parse().ok()?, shift })
}

/// Returns the directives in force under the lease, without those that cannot be decoded.
fn directives_in_force(directives: &DirectiveStore, now: Micros) -> impl Iterator<Item = ZoneDirective> {
    directives.in_force_under(now, LEASE).filter_map(|(subject, body)| decode_directive(subject, body))
}

/// State that the lease holder keeps for as long as it holds the lease.
struct HolderState {
    evidence: Evidence,
    planner: FailoverPlanner,
}

impl HolderState {
    /// Resumes from the directives of an earlier lease holder that are in force.
    fn start(now: Micros, directives: &DirectiveStore) -> HolderState {
        let mut planner = FailoverPlanner::default();
        for directive in directives_in_force(directives, now) {
            planner.resume(now, &directive);
        }
        HolderState { evidence: Evidence::default(), planner }
    }
}

/// Controls failover between zones at this proxy.
pub struct ZoneFailoverController {
    own_zone: Zone,
    holder: TermState<HolderState>,
    /// Directives that the dispatcher was last given.
    applied_directives: Vec<ZoneDirective>,
    log: Logger,
}

impl ZoneFailoverController {
    /// Starts the controller of a proxy in `own_zone`.
    pub fn start(own_zone: Zone, log: Logger) -> ZoneFailoverController {
        ZoneFailoverController {
            own_zone,
            holder: TermState::not_held(),
            applied_directives: Vec::new(),
            log,
        }
    }

    /// Builds the report on what was observed, in parts that each fit into a datagram.
    pub(super) fn build_report(&self, observations: ObservationSummary) -> Vec<LeaseReport> {
        let part = |(index, rows): (usize, &[_])| {
            let report = ZoneReport { zone: self.own_zone, span: observations.span, rows: rows.to_vec() };
            LeaseReport { topic: Topic::new(LEASE, &index.to_string()), body: report.encode() }
        };
        observations.rows.chunks(MAX_ROWS).enumerate().map(part).collect()
    }

    /// Makes the decisions if this proxy holds the lease, otherwise none. Called once a second.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let now = inputs.at.now;
        let init = || HolderState::start(now, inputs.directives);
        let Some(HolderState { evidence, planner }) = self.holder.for_term(inputs.term, init) else {
            return Vec::new();
        };
        evidence.evaluate(&recent_reports(now, inputs.reports));
        let mut decisions = Vec::new();
        for ZoneDirective { group, zone, shift } in planner.decide(now, evidence) {
            if shift.insufficient_capacity {
                info!(self.log, "zone failover: not enough capacity elsewhere";
                    "zone" => zone, "group" => group, "away" => shift.shifted_share);
            }
            decisions.push(Decision { subject: subject(group, zone), body: shift.encode() });
        }
        decisions
    }

    /// Returns the directives that shift reads away from this proxy's own zone, or `None` if they have not changed
    /// since the last call.
    pub fn take_changed_directives(
        &mut self,
        now: Micros,
        directives: &DirectiveStore,
    ) -> Option<Vec<ZoneDirective>> {
        let shifts_own_reads =
            |directive: &ZoneDirective| directive.zone == self.own_zone && directive.shift.shifted_share > 0;
        let own: Vec<ZoneDirective> = directives_in_force(directives, now).filter(shifts_own_reads).collect();
        if own == self.applied_directives {
            return None;
        }
        self.log_own_directives(&own);
        self.applied_directives = own;
        Some(self.applied_directives.clone())
    }

    fn log_own_directives(&self, own: &[ZoneDirective]) {
        for ZoneDirective { group, shift, .. } in own {
            info!(self.log, "zone failover: own zone";
                "away" => shift.shifted_share, "level" => ?shift.level, "group" => group);
        }
        if own.is_empty() {
            info!(self.log, "zone failover: own zone"; "level" => ?FailoverLevel::Local);
        }
    }

    /// Returns what the lease holder concludes from all reports, for the status socket; `null` if this proxy does not
    /// hold the lease.
    pub fn status_json(&self) -> Value {
        let Some(HolderState { evidence, planner }) = self.holder.get() else { return Value::Null };
        let views = evidence.views().iter();
        let views = views.map(|(&key, view)| view_json(key, view, planner.level(key)));
        json!({"views": views.collect::<Vec<_>>(), "ill": evidence.unhealthy_reporters()})
    }
}

/// Returns the view of one group in one zone as JSON. Users' programs read the keys and values, so they never change,
/// even if the fields are renamed.
fn view_json(key: GroupZone, view: &ZoneView, level: Option<FailoverLevel>) -> Value {
    json!({
        "group": key.group,
        "zone": key.zone,
        "finding": view.health.status_value(),
        "level": level.map(FailoverLevel::status_value),
        "asked": view.demand,
        "sent": view.load,
        "served": view.in_time_rate,
        "bears": view.capacity,
        "drivers": view.reporters,
    })
}

/// Returns the recent reports by the reporter's name, without those that cannot be decoded.
fn recent_reports(now: Micros, reports: &Reports) -> BTreeMap<String, Vec<ZoneReport>> {
    let mut by_reporter: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
    for report in reports.recent(now, MAX_REPORT_AGE, LEASE) {
        if let Ok(part) = ZoneReport::decode(report.body) {
            by_reporter.entry(report.reporter.to_owned()).or_default().push(part);
        }
    }
    by_reporter
}
