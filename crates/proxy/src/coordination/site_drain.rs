//! The work of the lease `retire`: what this proxy reports of its site, what it decides on sites that drain while it holds
//! the lease, and what it follows.

use std::collections::BTreeMap;

use aldermill_directives::{
    DIRECTIVE_LIFETIME, DirectiveStore, Micros, ReceivedReport as ReportFrame, Topic,
};
use aldermill_leases::Term;
use aldermill_operator_config::{DrainOrder, SiteDrainConfig};
use aldermill_site_drain::{
    DirectiveVersion, DrainCoordinator, DrainReport, DrainStatus, FollowedPlans, OperatorCommand, Order,
    Plan, ReceivedReport,
};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport};
use crate::messages::ObservationSummary;

/// The lease's name.
pub const LEASE: &str = "retire";
/// How long a report counts, in microseconds: a proxy reports under other leases in between.
const REPORT_LIFETIME: Micros = 6_000_000;
/// The longest span that a report states, in milliseconds.
const MAX_REPORTED_MS: i64 = 60_000;
/// How long after a request's deadline its outcome may still be written, in microseconds.
const QUERY_GRACE: Micros = 5_000_000;

/// A plan that was handed to the disk.
struct PlanRecord {
    plan: Plan,
    is_persisted: bool,
}

/// What a proxy is to do about the plans in force.
pub struct PlanChanges {
    /// What to act by from now on, if that has changed.
    pub acting: Option<Vec<Plan>>,
    /// What to hand to the disk.
    pub to_persist: Vec<Plan>,
}

/// A plan in force, and the version of its directive.
struct InForce {
    plan: Plan,
    version: DirectiveVersion,
}

/// This proxy's part in the drains of sites.
pub struct SiteDrainWork {
    /// What operators commanded in this proxy's configuration.
    commands: Vec<OperatorCommand>,
    /// The newest plan of each site that was in force here.
    followed: FollowedPlans,
    /// Which plans the disk has, by site; `None` without a data directory.
    records: Option<BTreeMap<String, PlanRecord>>,
    /// What the dispatcher acts by.
    acting: Vec<Plan>,
    /// What this proxy knows and decides while it holds the lease.
    coordinator: DrainCoordinator,
    /// The term under which it last decided.
    term: Option<Term>,
    /// What the next step of each site waits for, as it was last logged.
    logged_waits: BTreeMap<String, Option<String>>,
    /// The name of this proxy's site; empty until the dispatcher has told it.
    own_site: String,
    log: Logger,
}

fn commands(configured: &[SiteDrainConfig]) -> Vec<OperatorCommand> {
    let order = |order| match order {
        DrainOrder::Run => Order::Run,
        DrainOrder::Pause => Order::Pause,
        DrainOrder::Cancel => Order::Cancel,
        DrainOrder::Expedite => Order::Expedite,
    };
    let command = |drain: &SiteDrainConfig| OperatorCommand {
        site: drain.site.clone(),
        number: drain.number,
        order: order(drain.order),
        deadline_unix_ms: drain.by.saturating_mul(1000),
    };
    configured.iter().map(command).collect()
}

fn in_force(directives: &DirectiveStore, now: Micros) -> Vec<InForce> {
    let read = |(site, body): (&str, &[u8])| {
        let version = directives.highest_version(&Topic::new(LEASE, site))?;
        let plan = Plan::decode(body).ok()?;
        Some(InForce { plan, version: DirectiveVersion { term: version.term, number: version.number } })
    };
    directives.in_force_under(now, LEASE).filter_map(read).collect()
}

impl SiteDrainWork {
    /// The part of a proxy that starts now. `longest_timeout` is the longest timeout of a request; `is_durable` says that
    /// there is a data directory.
    pub fn start(
        now: Micros,
        configured: &[SiteDrainConfig],
        longest_timeout: Micros,
        is_durable: bool,
        log: Logger,
    ) -> SiteDrainWork {
        let longest_action = FollowedPlans::max_autonomy(DIRECTIVE_LIFETIME) + longest_timeout + QUERY_GRACE;
        SiteDrainWork {
            commands: commands(configured),
            followed: FollowedPlans::default(),
            records: is_durable.then(BTreeMap::new),
            acting: Vec::new(),
            coordinator: DrainCoordinator::new(now, longest_action),
            term: None,
            logged_waits: BTreeMap::new(),
            own_site: String::new(),
            log,
        }
    }

    /// The plans that an earlier start stored.
    pub fn restore(&mut self, now: Micros, stored: Vec<Plan>) {
        if let Some(records) = &mut self.records {
            let record = |plan: &Plan| PlanRecord { plan: plan.clone(), is_persisted: true };
            records.extend(stored.iter().map(|plan| (plan.command.site.clone(), record(plan))));
        }
        self.followed.restore(now, stored);
    }

    /// This plan is on the disk.
    pub fn persisted(&mut self, plan: &Plan) {
        let record = self.records.as_mut().and_then(|records| records.get_mut(&plan.command.site));
        if let Some(record) = record.filter(|record| record.plan == *plan) {
            record.is_persisted = true;
        }
    }

    /// The disk did not take this plan: it is handed over again.
    pub fn not_persisted(&mut self, plan: &Plan) {
        if let Some(records) = &mut self.records {
            records.retain(|_, record| record.plan != *plan);
        }
    }

    /// Whether a restart would know of the plan, as far as that is provided for.
    fn survives_restart(&self, plan: &Plan) -> bool {
        let Some(records) = &self.records else { return true };
        records.get(&plan.command.site).is_some_and(|record| record.is_persisted && record.plan == *plan)
    }

    /// What is to be handed to the disk now.
    fn take_to_persist(&mut self) -> Vec<Plan> {
        let Some(records) = &mut self.records else { return Vec::new() };
        let is_known =
            |plan: &&Plan| records.get(&plan.command.site).is_some_and(|record| record.plan == **plan);
        let new: Vec<Plan> = self.followed.plans().filter(|plan| !is_known(plan)).cloned().collect();
        let record = |plan: &Plan| PlanRecord { plan: plan.clone(), is_persisted: false };
        records.extend(new.iter().map(|plan| (plan.command.site.clone(), record(plan))));
        new
    }

    /// The operator's file was read again.
    pub fn reconfigure(&mut self, configured: &[SiteDrainConfig]) {
        self.commands = commands(configured);
    }

    /// Another proxy is gone, or has started again.
    pub fn peer_gone(&mut self, now: Micros, name: &str) {
        self.coordinator.proxy_lost(now, name);
    }

    /// What is to be reported of what was observed.
    pub(super) fn report(&mut self, observed: &ObservationSummary) -> LeaseReport {
        let mut report = DrainReport { commands: self.commands.clone(), ..DrainReport::default() };
        report.statuses = self.kept_plans(observed);
        if let Some(site) = &observed.site {
            self.own_site.clone_from(&site.site);
            report.site.clone_from(&site.site);
            report.interval_ms = (site.span / 1000).clamp(1, MAX_REPORTED_MS) as u32;
            report.ended = site.ended;
            report.within_objective = site.within_objective;
            report.session_reads = site.session_reads;
            for (other_site, round_trip) in &site.round_trips {
                let millis = (round_trip / 1000).clamp(0, MAX_REPORTED_MS) as u32;
                let shortest = report.round_trips_ms.entry(other_site.clone()).or_insert(millis);
                *shortest = millis.min(*shortest);
            }
        }
        LeaseReport { topic: Topic::new(LEASE, ""), body: report.encode() }
    }

    /// The plans that this proxy follows, by site. What the dispatcher does not act by yet is left out, and what a restart
    /// could forget.
    fn kept_plans(&self, observed: &ObservationSummary) -> BTreeMap<String, DrainStatus> {
        let mut kept = BTreeMap::new();
        let open = observed.site.as_ref().map(|site| &site.open);
        for plan in self.followed.plans() {
            let site = &plan.command.site;
            let is_followed = self.acting.contains(plan) && self.survives_restart(plan);
            let Some(version) = self.followed.version(site).filter(|_| is_followed) else { continue };
            let open = open.and_then(|open| open.get(site)).copied().unwrap_or_default();
            let status = DrainStatus {
                version,
                number: plan.command.number,
                weight: plan.weight,
                stage: plan.stage,
                open_work: open,
            };
            kept.insert(site.clone(), status);
        }
        kept
    }

    /// Once a second: what is decided, by site, while this proxy holds the lease.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let DecisionInputs { at, term, reports, directives, living } = *inputs;
        if self.term != term {
            self.term = term;
            self.coordinator.step_down();
        }
        if term.is_none() {
            return Vec::new();
        }
        let read = |frame: ReportFrame<'_>| {
            let incarnation = reports.incarnation_of(frame.reporter)?;
            let report = DrainReport::decode(frame.body).ok()?;
            let received = ReceivedReport { incarnation, received_at: frame.received_at, report };
            Some((frame.reporter.to_owned(), received))
        };
        let drain_reports = reports.recent(at.now, REPORT_LIFETIME, LEASE).filter_map(read).collect();
        let known_plans = self.known_plans(at.now, directives);
        let plans = self.coordinator.decide(at.now, at.wall, &drain_reports, living, &known_plans);
        let decision = |plan: Plan| Decision { subject: plan.command.site.clone(), body: plan.encode() };
        plans.into_iter().map(decision).collect()
    }

    /// The plans in force, and those that only this proxy still follows: a lease holder that was alone knows them by that.
    fn known_plans(&self, now: Micros, directives: &DirectiveStore) -> Vec<(Plan, DirectiveVersion)> {
        let in_force = in_force(directives, now).into_iter();
        let mut known: Vec<(Plan, DirectiveVersion)> =
            in_force.map(|known| (known.plan, known.version)).collect();
        for plan in self.followed.plans() {
            if !known.iter().any(|(known, _)| known.command.site == plan.command.site) {
                known.push((plan.clone(), DirectiveVersion::NONE));
            }
        }
        known
    }

    /// Takes the plans in force.
    pub fn obey(&mut self, now: Micros, directives: &DirectiveStore) -> PlanChanges {
        for InForce { plan, version } in in_force(directives, now) {
            let site = plan.command.site.clone();
            let waits = plan.wait_text.clone();
            let is_new = self.followed.receive(now, plan, version);
            let Some(plan) = self.followed.plan(&site) else { continue };
            if is_new || self.logged_waits.get(&site) != Some(&waits) {
                info!(self.log, "site drain"; "waits" => &waits, "weight" => plan.weight,
                    "stage" => ?plan.stage, "site" => &site);
                self.logged_waits.insert(site, waits);
            }
        }
        let acting = self.followed.effective_plans(now, &self.own_site);
        let has_changed = acting != self.acting;
        self.acting.clone_from(&acting);
        PlanChanges { acting: has_changed.then_some(acting), to_persist: self.take_to_persist() }
    }

    /// What this proxy follows, and what its operator ordered, for the status socket.
    pub fn describe(&self) -> Value {
        json!({"acts_by": self.acting, "words": self.commands})
    }
}
