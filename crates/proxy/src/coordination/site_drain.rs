//! Controller of the lease `retire`, which covers the drains of sites: reports on this proxy's site, decisions while
//! this proxy holds the lease, and the plans that it follows.

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

/// Name of the lease.
pub const LEASE: &str = "retire";
/// Maximum age of a report that decisions are based on, in microseconds. It allows for the reports that a proxy sends
/// under other leases in between.
const MAX_REPORT_AGE: Micros = 6_000_000;
/// Longest interval and round trip time that a report states, in milliseconds.
const MAX_REPORTED_MS: i64 = 60_000;
/// How long after the deadline of a request its outcome may still be written, in microseconds.
const OUTCOME_WRITE_GRACE: Micros = 5_000_000;

/// A plan that was handed to the data directory, and whether it is on disk.
struct PlanRecord {
    plan: Plan,
    is_persisted: bool,
}

/// Changes that result from the plans in force.
pub struct PlanChanges {
    /// All plans to act by from now on; `None` if they have not changed.
    pub effective: Option<Vec<Plan>>,
    /// Plans to write to the data directory.
    pub to_persist: Vec<Plan>,
}

/// A plan in force and the version of its directive.
struct PlanInForce {
    plan: Plan,
    version: DirectiveVersion,
}

/// Controls the drains of sites at this proxy.
pub struct SiteDrainController {
    /// Commands of operators in the section `coordination` of this proxy's operator file.
    commands: Vec<OperatorCommand>,
    /// Newest plan that this proxy received for each site.
    followed_plans: FollowedPlans,
    /// Plans handed to the data directory, by the name of the site; `None` without a data directory.
    plan_records: Option<BTreeMap<String, PlanRecord>>,
    /// Plans that the dispatcher acts by.
    effective_plans: Vec<Plan>,
    /// Makes the decisions while this proxy holds the lease.
    coordinator: DrainCoordinator,
    /// Term at the last decision; `None` if this proxy did not hold the lease then.
    last_term: Option<Term>,
    /// What the next step of each site waits for, as last logged, by the name of the site. `None` stands for no text.
    logged_waits: BTreeMap<String, Option<String>>,
    /// Name of this proxy's site; empty until the dispatcher has reported it.
    own_site: String,
    log: Logger,
}

/// Converts the configured drains to commands.
fn operator_commands(configured: &[SiteDrainConfig]) -> Vec<OperatorCommand> {
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

/// Returns the plans of the directives in force, without those that cannot be decoded.
fn plans_in_force(directives: &DirectiveStore, now: Micros) -> Vec<PlanInForce> {
    let read = |(site, body): (&str, &[u8])| {
        let version = directives.highest_version(&Topic::new(LEASE, site))?;
        let plan = Plan::decode(body).ok()?;
        Some(PlanInForce { plan, version: DirectiveVersion { term: version.term, number: version.number } })
    };
    directives.in_force_under(now, LEASE).filter_map(read).collect()
}

impl SiteDrainController {
    /// Starts the controller at `now`. `longest_timeout` is the longest timeout of a request, in microseconds;
    /// `is_durable` is whether there is a data directory.
    pub fn start(
        now: Micros,
        configured: &[SiteDrainConfig],
        longest_timeout: Micros,
        is_durable: bool,
        log: Logger,
    ) -> SiteDrainController {
        let max_lost_proxy_activity =
            FollowedPlans::max_autonomy(DIRECTIVE_LIFETIME) + longest_timeout + OUTCOME_WRITE_GRACE;
        SiteDrainController {
            commands: operator_commands(configured),
            followed_plans: FollowedPlans::default(),
            plan_records: is_durable.then(BTreeMap::new),
            effective_plans: Vec::new(),
            coordinator: DrainCoordinator::new(now, max_lost_proxy_activity),
            last_term: None,
            logged_waits: BTreeMap::new(),
            own_site: String::new(),
            log,
        }
    }

    /// Restores the plans that an earlier run stored.
    pub fn restore(&mut self, now: Micros, stored: Vec<Plan>) {
        if let Some(records) = &mut self.plan_records {
            let record = |plan: &Plan| PlanRecord { plan: plan.clone(), is_persisted: true };
            records.extend(stored.iter().map(|plan| (plan.command.site.clone(), record(plan))));
        }
        self.followed_plans.restore(now, stored);
    }

    /// Records that a plan is on disk.
    pub fn persisted(&mut self, plan: &Plan) {
        let record = self.plan_records.as_mut().and_then(|records| records.get_mut(&plan.command.site));
        if let Some(record) = record.filter(|record| record.plan == *plan) {
            record.is_persisted = true;
        }
    }

    /// Records that a plan could not be written, so that it is handed to the data directory again.
    pub fn not_persisted(&mut self, plan: &Plan) {
        if let Some(records) = &mut self.plan_records {
            records.retain(|_, record| record.plan != *plan);
        }
    }

    /// Returns whether the plan is on disk. Always `true` without a data directory, as plans are not meant to survive a
    /// restart then.
    fn survives_restart(&self, plan: &Plan) -> bool {
        let Some(records) = &self.plan_records else { return true };
        records.get(&plan.command.site).is_some_and(|record| record.is_persisted && record.plan == *plan)
    }

    /// Returns the followed plans that have not been handed to the data directory, and records that they are handed
    /// over now.
    fn take_unpersisted_plans(&mut self) -> Vec<Plan> {
        let Some(records) = &mut self.plan_records else { return Vec::new() };
        let is_known =
            |plan: &&Plan| records.get(&plan.command.site).is_some_and(|record| record.plan == **plan);
        let new: Vec<Plan> = self.followed_plans.plans().filter(|plan| !is_known(plan)).cloned().collect();
        let record = |plan: &Plan| PlanRecord { plan: plan.clone(), is_persisted: false };
        records.extend(new.iter().map(|plan| (plan.command.site.clone(), record(plan))));
        new
    }

    /// Replaces the commands after the operator's file was read again.
    pub fn reconfigure(&mut self, configured: &[SiteDrainConfig]) {
        self.commands = operator_commands(configured);
    }

    /// Records that a peer is gone or has restarted.
    pub fn peer_lost(&mut self, now: Micros, name: &str) {
        self.coordinator.proxy_lost(now, name);
    }

    /// Builds the report on what was observed.
    pub(super) fn build_report(&mut self, observations: &ObservationSummary) -> LeaseReport {
        let mut report = DrainReport { commands: self.commands.clone(), ..DrainReport::default() };
        report.statuses = self.drain_statuses(observations);
        if let Some(site) = &observations.site {
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

    /// Returns the status of each followed plan by the name of the site. Plans that the dispatcher does not act by
    /// yet, or that a restart could lose, are left out.
    fn drain_statuses(&self, observations: &ObservationSummary) -> BTreeMap<String, DrainStatus> {
        let mut statuses = BTreeMap::new();
        let open = observations.site.as_ref().map(|site| &site.open);
        for plan in self.followed_plans.plans() {
            let site = &plan.command.site;
            let is_confirmed = self.effective_plans.contains(plan) && self.survives_restart(plan);
            let Some(version) = self.followed_plans.version(site).filter(|_| is_confirmed) else { continue };
            let open = open.and_then(|open| open.get(site)).copied().unwrap_or_default();
            let status = DrainStatus {
                version,
                number: plan.command.number,
                weight: plan.weight,
                stage: plan.stage,
                open_work: open,
            };
            statuses.insert(site.clone(), status);
        }
        statuses
    }

    /// Makes the decision for each draining site if this proxy holds the lease, otherwise none. Called once a second.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let DecisionInputs { at, term, reports, directives, live_proxies } = *inputs;
        if self.last_term != term {
            self.last_term = term;
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
        let drain_reports = reports.recent(at.now, MAX_REPORT_AGE, LEASE).filter_map(read).collect();
        let known_plans = self.known_plans(at.now, directives);
        let plans =
            self.coordinator.decide(at.now, at.wall_clock_ms, &drain_reports, live_proxies, &known_plans);
        let decision = |plan: Plan| Decision { subject: plan.command.site.clone(), body: plan.encode() };
        plans.into_iter().map(decision).collect()
    }

    /// Returns the plans in force and, with [`DirectiveVersion::NONE`], the other plans that this proxy follows.
    /// Those are all that a lease holder that was isolated knows of drains whose directives are not in force.
    fn known_plans(&self, now: Micros, directives: &DirectiveStore) -> Vec<(Plan, DirectiveVersion)> {
        let plans_in_force = plans_in_force(directives, now).into_iter();
        let mut known: Vec<(Plan, DirectiveVersion)> =
            plans_in_force.map(|known| (known.plan, known.version)).collect();
        for plan in self.followed_plans.plans() {
            if !known.iter().any(|(known, _)| known.command.site == plan.command.site) {
                known.push((plan.clone(), DirectiveVersion::NONE));
            }
        }
        known
    }

    /// Applies the plans in force, and logs each one that has changed or whose next step waits for something else.
    pub fn follow(&mut self, now: Micros, directives: &DirectiveStore) -> PlanChanges {
        for PlanInForce { plan, version } in plans_in_force(directives, now) {
            let site = plan.command.site.clone();
            let waits = plan.wait_text.clone();
            let is_new = self.followed_plans.receive(now, plan, version);
            let Some(plan) = self.followed_plans.plan(&site) else { continue };
            if is_new || self.logged_waits.get(&site) != Some(&waits) {
                info!(self.log, "site drain"; "waits" => &waits, "weight" => plan.weight,
                    "stage" => ?plan.stage, "site" => &site);
                self.logged_waits.insert(site, waits);
            }
        }
        let effective = self.followed_plans.effective_plans(now, &self.own_site);
        let has_changed = effective != self.effective_plans;
        self.effective_plans.clone_from(&effective);
        PlanChanges { effective: has_changed.then_some(effective), to_persist: self.take_unpersisted_plans() }
    }

    /// Returns the plans that this proxy acts by and the commands of its operator, for the status socket.
    pub fn status_json(&self) -> Value {
        json!({"acts_by": self.effective_plans, "words": self.commands})
    }
}
