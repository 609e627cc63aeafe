//! The work of the lease `retire`: what this proxy reports of its site, what it decides on sites that drain while it holds
//! the lease, and what it obeys.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, LIFETIME, Micros, ReceivedReport, Topic};
use aldermill_leases::Term;
use aldermill_operator_config::{DrainOrder, SiteDrainConfig};
use aldermill_site_drain::{Holder, Keeps, Obeyed, Order, Place, Plan, Told, Word};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport};
use crate::messages::ObservationSummary;

/// The lease's name.
pub const LEASE: &str = "retire";
/// For how long a report counts: a proxy reports under other leases between two.
const REPORTS_COUNT_FOR: Micros = 6_000_000;
/// The longest span that a report states, in milliseconds.
const MOST_REPORTED_MS: Micros = 60_000;
/// For how long after a request's deadline its outcome may still be written.
const OUTCOME_SLACK: Micros = 5_000_000;

/// A plan that was handed to the disk.
struct PlanRecord {
    plan: Plan,
    is_persisted: bool,
}

/// What a proxy is to do about the plans in force.
pub struct ObeyedPlans {
    /// What to act by from now on, if that has changed.
    pub acting: Option<Vec<Plan>>,
    /// What to hand to the disk.
    pub to_persist: Vec<Plan>,
}

/// A plan in force, and the version of its directive.
struct InForce {
    plan: Plan,
    version: Place,
}

/// This proxy's part in the drains of sites.
pub struct SiteDrainWork {
    /// What the operators want of sites, as this proxy was told.
    orders: Vec<Word>,
    /// The newest plan of each site that was in force here.
    obeyed: Obeyed,
    /// Which plans the disk has, by site; `None` without a data directory.
    records: Option<BTreeMap<String, PlanRecord>>,
    /// What the dispatcher acts by.
    acting: Vec<Plan>,
    /// What this proxy knows and decides while it holds the lease.
    holder: Holder,
    /// The term under which it last decided.
    term: Option<Term>,
    /// What the next step of each site waits for, as it was last logged.
    logged_waits: BTreeMap<String, Option<String>>,
    /// The name of this proxy's site; empty until the dispatcher has told it.
    own_site: String,
    log: Logger,
}

fn orders(configured: &[SiteDrainConfig]) -> Vec<Word> {
    let order = |order| match order {
        DrainOrder::Run => Order::Goes,
        DrainOrder::Pause => Order::Held,
        DrainOrder::Cancel => Order::TakenBack,
        DrainOrder::Expedite => Order::Hurried,
    };
    let command = |drain: &SiteDrainConfig| Word {
        site: drain.site.clone(),
        number: drain.number,
        order: order(drain.order),
        by_ms: drain.by.saturating_mul(1000),
    };
    configured.iter().map(command).collect()
}

fn in_force(directives: &DirectiveStore, now: Micros) -> Vec<InForce> {
    let read = |(site, body): (&str, &[u8])| {
        let version = directives.version(&Topic::new(LEASE, site))?;
        let plan = Plan::decode(body).ok()?;
        Some(InForce { plan, version: (version.term, version.number) })
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
        let longest_action = Obeyed::acts(LIFETIME) + longest_timeout + OUTCOME_SLACK;
        SiteDrainWork {
            orders: orders(configured),
            obeyed: Obeyed::default(),
            records: is_durable.then(BTreeMap::new),
            acting: Vec::new(),
            holder: Holder::start(now, longest_action),
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
            records.extend(stored.iter().map(|plan| (plan.word.site.clone(), record(plan))));
        }
        self.obeyed.read(now, stored);
    }

    /// This plan is on the disk.
    pub fn persisted(&mut self, plan: &Plan) {
        let record = self.records.as_mut().and_then(|records| records.get_mut(&plan.word.site));
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
        records.get(&plan.word.site).is_some_and(|record| record.is_persisted && record.plan == *plan)
    }

    /// What is to be handed to the disk now.
    fn take_to_persist(&mut self) -> Vec<Plan> {
        let Some(records) = &mut self.records else { return Vec::new() };
        let is_known =
            |plan: &&Plan| records.get(&plan.word.site).is_some_and(|record| record.plan == **plan);
        let new: Vec<Plan> = self.obeyed.plans().filter(|plan| !is_known(plan)).cloned().collect();
        let record = |plan: &Plan| PlanRecord { plan: plan.clone(), is_persisted: false };
        records.extend(new.iter().map(|plan| (plan.word.site.clone(), record(plan))));
        new
    }

    /// The operator's file was read again.
    pub fn reconfigure(&mut self, configured: &[SiteDrainConfig]) {
        self.orders = orders(configured);
    }

    /// Another proxy is gone, or has started again.
    pub fn peer_gone(&mut self, now: Micros, name: &str) {
        self.holder.gone(now, name);
    }

    /// What is to be reported of what was observed.
    pub(super) fn report(&mut self, observed: &ObservationSummary) -> LeaseReport {
        let mut report = Told { words: self.orders.clone(), ..Told::default() };
        report.keeps = self.kept_plans(observed);
        if let Some(site) = &observed.site {
            self.own_site.clone_from(&site.site);
            report.site.clone_from(&site.site);
            report.over_ms = (site.span / 1000).clamp(1, MOST_REPORTED_MS) as u32;
            report.ended = site.ended;
            report.in_time = site.within_objective;
            report.bound = site.session_reads;
            for (other_site, round_trip) in &site.round_trips {
                let millis = (round_trip / 1000).clamp(0, MOST_REPORTED_MS) as u32;
                let shortest = report.trips.entry(other_site.clone()).or_insert(millis);
                *shortest = millis.min(*shortest);
            }
        }
        LeaseReport { topic: Topic::new(LEASE, ""), body: report.encode() }
    }

    /// The plans that this proxy obeys, by site. What the dispatcher does not act by yet is left out, and what a restart
    /// could forget.
    fn kept_plans(&self, observed: &ObservationSummary) -> BTreeMap<String, Keeps> {
        let mut kept = BTreeMap::new();
        let open = observed.site.as_ref().map(|site| &site.open);
        for plan in self.obeyed.plans() {
            let site = &plan.word.site;
            let is_obeyed = self.acting.contains(plan) && self.survives_restart(plan);
            let Some(place) = self.obeyed.place(site).filter(|_| is_obeyed) else { continue };
            let open = open.and_then(|open| open.get(site)).copied().unwrap_or_default();
            let keeps =
                Keeps { place, number: plan.word.number, weight: plan.weight, stage: plan.stage, open };
            kept.insert(site.clone(), keeps);
        }
        kept
    }

    /// Once a second: what is decided, by site, while this proxy holds the lease.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let DecisionInputs { at, term, reports, directives, living } = *inputs;
        if self.term != term {
            self.term = term;
            self.holder.lays_down();
        }
        if term.is_none() {
            return Vec::new();
        }
        let read = |report: ReceivedReport<'_>| {
            let start = reports.start_of(report.reporter)?;
            let decoded = Told::decode(report.body).ok()?;
            Some((report.reporter.to_owned(), (start, report.received_at, decoded)))
        };
        let drain_reports = reports.recent(at.now, REPORTS_COUNT_FOR, LEASE).filter_map(read).collect();
        let known_plans = self.known_plans(at.now, directives);
        let plans = self.holder.decide(at.now, at.wall, &drain_reports, living, &known_plans);
        let decision = |plan: Plan| Decision { subject: plan.word.site.clone(), body: plan.encode() };
        plans.into_iter().map(decision).collect()
    }

    /// The plans in force, and those that only this proxy still obeys: a lease holder that was alone knows them by that.
    fn known_plans(&self, now: Micros, directives: &DirectiveStore) -> Vec<(Plan, Place)> {
        let in_force = in_force(directives, now).into_iter();
        let mut known: Vec<(Plan, Place)> = in_force.map(|known| (known.plan, known.version)).collect();
        for plan in self.obeyed.plans() {
            if !known.iter().any(|(known, _)| known.word.site == plan.word.site) {
                known.push((plan.clone(), (0, 0)));
            }
        }
        known
    }

    /// Takes the plans in force.
    pub fn obey(&mut self, now: Micros, directives: &DirectiveStore) -> ObeyedPlans {
        for InForce { plan, version } in in_force(directives, now) {
            let site = plan.word.site.clone();
            let waits = plan.waits.clone();
            let is_new = self.obeyed.hear(now, plan, version);
            let Some(plan) = self.obeyed.plan(&site) else { continue };
            if is_new || self.logged_waits.get(&site) != Some(&waits) {
                info!(self.log, "site drain"; "waits" => &waits, "weight" => plan.weight,
                    "stage" => ?plan.stage, "site" => &site);
                self.logged_waits.insert(site, waits);
            }
        }
        let acting = self.obeyed.acting(now, &self.own_site);
        let has_changed = acting != self.acting;
        self.acting.clone_from(&acting);
        ObeyedPlans { acting: has_changed.then_some(acting), to_persist: self.take_to_persist() }
    }

    /// What this proxy obeys, and what its operator ordered, for the status socket.
    pub fn describe(&self) -> Value {
        json!({"acts_by": self.acting, "words": self.orders})
    }
}
