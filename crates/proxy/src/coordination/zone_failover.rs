//! The work of the lease `zones`: what this proxy reports, what it decides while it holds the lease, and what it obeys.
//!
//! The decisions are those of `aldermill-zone-failover`; here they meet the reports and directives of the fleet, the log
//! and the status socket.

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

/// The lease's name.
pub const LEASE: &str = "zones";
/// For how long a report counts, in microseconds: a proxy reports every second, in up to three parts, and two reports may
/// be lost on their way.
const MAX_REPORT_AGE: Micros = 4_000_000;

/// A directive's subject: `GROUP.ZONE`, each in decimal.
fn subject(group: Group, zone: Zone) -> String {
    format!("{group}.{zone}")
}

/// `None` for a subject or body that this version can't read.
fn decode_directive(subject: &str, body: &[u8]) -> Option<ZoneDirective> {
    let (group, zone) = subject.split_once('.')?;
    let shift = TrafficShift::decode(body).ok()?;
    Some(ZoneDirective { group: group.parse().ok()?, zone: zone.parse().ok()?, shift })
}

/// All directives in force under the lease that can be read.
fn directives_in_force(directives: &DirectiveStore, now: Micros) -> impl Iterator<Item = ZoneDirective> {
    directives.in_force_under(now, LEASE).filter_map(|(subject, body)| decode_directive(subject, body))
}

/// What the lease holder keeps for as long as it holds the lease.
struct HolderState {
    evidence: Evidence,
    planner: FailoverPlanner,
}

impl HolderState {
    /// Continues what an earlier lease holder directed.
    fn start(now: Micros, directives: &DirectiveStore) -> HolderState {
        let mut planner = FailoverPlanner::default();
        for directive in directives_in_force(directives, now) {
            planner.resume(now, &directive);
        }
        HolderState { evidence: Evidence::default(), planner }
    }
}

/// This proxy's part in failover between zones.
pub struct ZoneFailoverController {
    own_zone: Zone,
    holder: TermState<HolderState>,
    /// The directives that the dispatcher was last given.
    applied_directives: Vec<ZoneDirective>,
    log: Logger,
}

impl ZoneFailoverController {
    /// The part of a proxy in this zone.
    pub fn start(own_zone: Zone, log: Logger) -> ZoneFailoverController {
        ZoneFailoverController {
            own_zone,
            holder: TermState::not_held(),
            applied_directives: Vec::new(),
            log,
        }
    }

    /// What is to be reported of what was observed, in parts that fit into a datagram each.
    pub(super) fn build_report(&self, observations: ObservationSummary) -> Vec<LeaseReport> {
        let part = |(index, rows): (usize, &[_])| {
            let report = ZoneReport { zone: self.own_zone, span: observations.span, rows: rows.to_vec() };
            LeaseReport { topic: Topic::new(LEASE, &index.to_string()), body: report.encode() }
        };
        observations.rows.chunks(MAX_ROWS).enumerate().map(part).collect()
    }

    /// Once a second: what is decided, while this proxy holds the lease.
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

    /// The directives for this proxy's own zone that shift reads, if they have changed since this was last asked.
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

    /// What the lease holder concludes from all reports, for the status socket.
    pub fn status_json(&self) -> Value {
        let Some(HolderState { evidence, planner }) = self.holder.get() else { return Value::Null };
        let views = evidence.views().iter();
        let views = views.map(|(&key, view)| view_json(key, view, planner.level(key)));
        json!({"views": views.collect::<Vec<_>>(), "ill": evidence.unhealthy_reporters()})
    }
}

/// Keys and words are read by users' programs; they keep their form whatever the fields are called here.
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

/// By the reporter's name; reports that can't be read are left out.
fn recent_reports(now: Micros, reports: &Reports) -> BTreeMap<String, Vec<ZoneReport>> {
    let mut by_reporter: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
    for report in reports.recent(now, MAX_REPORT_AGE, LEASE) {
        if let Ok(part) = ZoneReport::decode(report.body) {
            by_reporter.entry(report.reporter.to_owned()).or_default().push(part);
        }
    }
    by_reporter
}
