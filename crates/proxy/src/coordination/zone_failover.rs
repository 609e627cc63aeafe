//! The work of the lease `zones`: what this proxy reports, what it decides while it holds the lease, and what it obeys.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, Micros, Reports, Topic};
use aldermill_zone_failover::frame::{self, ZoneReport};
use aldermill_zone_failover::{Evidence, FailoverLevel, FailoverPlanner, Group, TrafficShift, Zone};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport, WhileHeld};
use crate::messages::ObservationSummary;

/// The lease's name.
pub const LEASE: &str = "zones";
/// For how long a report counts: a proxy reports every second, in up to three parts.
const REPORTS_COUNT_FOR: Micros = 4_000_000;

/// What a directive says on one group's reads in one zone.
struct ZoneDirective {
    group: Group,
    zone: Zone,
    /// How much of the reads goes elsewhere.
    shift: TrafficShift,
}

fn subject(group: Group, zone: Zone) -> String {
    format!("{group}.{zone}")
}

fn read_directive(subject: &str, body: &[u8]) -> Option<ZoneDirective> {
    let (group, zone) = subject.split_once('.')?;
    let shift = frame::decode_directive(body).ok()?;
    Some(ZoneDirective { group: group.parse().ok()?, zone: zone.parse().ok()?, shift })
}

/// All directives in force under the lease that can be read.
fn in_force(directives: &DirectiveStore, now: Micros) -> impl Iterator<Item = ZoneDirective> {
    directives.in_force_under(now, LEASE).filter_map(|(subject, body)| read_directive(subject, body))
}

/// What the holder of the lease knows.
struct Holder {
    evidence: Evidence,
    zones: FailoverPlanner,
}

impl Holder {
    /// Goes on from what an earlier lease holder decided.
    fn start(now: Micros, directives: &DirectiveStore) -> Holder {
        let mut zones = FailoverPlanner::default();
        for ZoneDirective { group, zone, shift } in in_force(directives, now) {
            zones.resume(now, group, zone, &shift);
        }
        Holder { evidence: Evidence::default(), zones }
    }
}

/// This proxy's part in failover between zones.
pub struct ZoneFailoverWork {
    own_zone: Zone,
    holder: WhileHeld<Holder>,
    /// What the dispatcher was last told.
    obeyed: Vec<(Group, TrafficShift)>,
    log: Logger,
}

impl ZoneFailoverWork {
    /// The part of a proxy in this zone.
    pub fn start(own_zone: Zone, log: Logger) -> ZoneFailoverWork {
        ZoneFailoverWork { own_zone, holder: WhileHeld::none(), obeyed: Vec::new(), log }
    }

    /// What is to be reported of what was observed, in parts that fit into a datagram each.
    pub(super) fn report(&self, observed: ObservationSummary) -> Vec<LeaseReport> {
        let part = |(index, rows): (usize, &[_])| {
            let report = ZoneReport { zone: self.own_zone, over: observed.span, rows: rows.to_vec() };
            LeaseReport { topic: Topic::new(LEASE, &index.to_string()), body: frame::encode_report(&report) }
        };
        observed.rows.chunks(frame::ROWS).enumerate().map(part).collect()
    }

    /// Once a second: what is decided, while this proxy holds the lease.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let now = inputs.at.now;
        let begin = || Holder::start(now, inputs.directives);
        let Some(Holder { evidence, zones }) = self.holder.under(inputs.term, begin) else {
            return Vec::new();
        };
        evidence.take(&recent_reports(now, inputs.reports));
        let mut decisions = Vec::new();
        for (group, zone, shift) in &zones.decide(now, evidence) {
            if shift.short {
                info!(self.log, "zone failover: not enough capacity elsewhere";
                    "zone" => zone, "group" => group, "away" => shift.away);
            }
            decisions
                .push(Decision { subject: subject(*group, *zone), body: frame::encode_directive(shift) });
        }
        decisions
    }

    /// What is decided for this proxy's own zone, if that has changed.
    pub fn obey(&mut self, now: Micros, directives: &DirectiveStore) -> Option<Vec<(Group, TrafficShift)>> {
        let is_own = |directive: &ZoneDirective| directive.zone == self.own_zone && directive.shift.away > 0;
        let own = in_force(directives, now).filter(is_own);
        let shifts: Vec<(Group, TrafficShift)> =
            own.map(|directive| (directive.group, directive.shift)).collect();
        if shifts == self.obeyed {
            return None;
        }
        for (group, shift) in &shifts {
            info!(self.log, "zone failover: own zone";
                "away" => shift.away, "level" => ?shift.level, "group" => group);
        }
        if shifts.is_empty() {
            info!(self.log, "zone failover: own zone"; "level" => ?FailoverLevel::Near);
        }
        self.obeyed = shifts;
        Some(self.obeyed.clone())
    }

    /// What the lease holder concludes from all reports, for the status socket.
    pub fn describe(&self) -> Value {
        let Some(Holder { evidence, zones }) = self.holder.get() else { return Value::Null };
        let views = evidence.views().iter().map(|(&(group, zone), view)| {
            json!({"group": group, "zone": zone, "finding": format!("{:?}", view.finding),
                "level": zones.level(group, zone).map(|level| format!("{level:?}")), "asked": view.asked,
                "sent": view.sent, "served": view.served, "bears": view.bears, "drivers": view.drivers})
        });
        json!({"views": views.collect::<Vec<_>>(), "ill": evidence.ill()})
    }
}

fn recent_reports(now: Micros, reports: &Reports) -> BTreeMap<String, Vec<ZoneReport>> {
    let mut by_reporter: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
    for report in reports.recent(now, REPORTS_COUNT_FOR, LEASE) {
        if let Ok(part) = frame::decode_report(report.body) {
            by_reporter.entry(report.reporter.to_owned()).or_default().push(part);
        }
    }
    by_reporter
}
