//! What the lease holder decides about draining sites.

use std::collections::BTreeMap;

use crate::load_measurement::{MeasuredSite, rates_by_site};
use crate::wait_texts::{completion_wait_text, step_wait_text};
use crate::{
    CompletionCheck, DirectiveVersion, DrainState, FULL_WEIGHT, FleetObservations, Micros, OperatorCommand,
    Order, Plan, ReceivedReport, RemainingWork, SiteDrain, Stage,
};

/// How long a report counts, in microseconds: a proxy reports under other leases in between.
const REPORT_LIFETIME: Micros = 6_000_000;
/// How many of the living proxies must report before a drain begins, in percent: shares stay the same for the whole drain.
const MIN_REPORTING_PERCENT_TO_START: usize = 80;
/// The longest text on what a plan waits for, in characters.
const MAX_WAIT_TEXT_CHARS: usize = 200;
/// Stands for all proxies that departed before this lease holder started.
const UNKNOWN_LOST_PROXIES: &str = "";

/// One site's drain, as this lease holder carries it on.
#[derive(Debug)]
struct ActiveDrain {
    command: OperatorCommand,
    shares: BTreeMap<String, u32>,
    drain: SiteDrain,
    completion: CompletionCheck,
    /// The first directive that said that no session is assigned to the site.
    emptied_version: Option<DirectiveVersion>,
    is_drained: bool,
}

/// What one evaluation depends on.
struct EvaluationInputs<'a> {
    now: Micros,
    /// Unix milliseconds.
    wall_clock_ms: u64,
    reports: &'a BTreeMap<String, ReceivedReport>,
    alive_proxies: &'a [&'a str],
    fleet: FleetObservations,
}

/// Decides about all draining sites while this proxy holds the lease. A proxy that does not hold it only notes who departs.
#[derive(Debug)]
pub struct DrainCoordinator {
    max_lost_proxy_activity: Micros,
    /// Proxies that departed, and when.
    lost_proxies: BTreeMap<String, Micros>,
    sites: BTreeMap<String, MeasuredSite>,
    /// By the draining site's name.
    drains: BTreeMap<String, ActiveDrain>,
}

impl DrainCoordinator {
    /// `max_lost_proxy_activity` is the longest for which a proxy that is not heard may act, in microseconds, a request's timeout
    /// and all that follows it included.
    pub fn new(now: Micros, max_lost_proxy_activity: Micros) -> DrainCoordinator {
        DrainCoordinator {
            max_lost_proxy_activity,
            lost_proxies: BTreeMap::from([(UNKNOWN_LOST_PROXIES.to_owned(), now)]),
            sites: BTreeMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// A proxy is taken for dead, or has left.
    pub fn proxy_lost(&mut self, now: Micros, proxy: &str) {
        self.lost_proxies.insert(proxy.to_owned(), now);
        for drain in self.drains.values_mut() {
            drain.completion.proxy_lost(now, proxy);
        }
    }

    /// The lease is not held any more.
    pub fn step_down(&mut self) {
        self.sites.clear();
        self.drains.clear();
    }

    /// Decides, once a second, the plan for each draining site.
    ///
    /// `reports` are those of late, by proxy; `alive_proxies` are the proxies that are alive; `in_force` are the plans of directives
    /// in force, with their versions; `wall_clock_ms` is in Unix milliseconds.
    pub fn decide(
        &mut self,
        now: Micros,
        wall_clock_ms: u64,
        reports: &BTreeMap<String, ReceivedReport>,
        alive_proxies: &[&str],
        in_force: &[(Plan, DirectiveVersion)],
    ) -> Vec<Plan> {
        let max_lost_proxy_activity = self.max_lost_proxy_activity;
        self.lost_proxies
            .retain(|proxy, at| now - *at <= max_lost_proxy_activity && !reports.contains_key(proxy));
        self.update_loads(reports);
        let fleet = self.observations(reports.len(), alive_proxies.len());
        self.resume_drains(now, in_force);
        self.apply_reported_progress(reports);
        self.apply_commands(now, reports, &fleet);
        let inputs = EvaluationInputs { now, wall_clock_ms, reports, alive_proxies, fleet };
        let emptied_version = |site: &str| {
            let emptied = |plan: &Plan| plan.command.site == site && plan.stage == Stage::Emptied;
            in_force.iter().find(|(plan, _)| emptied(plan)).map(|(_, version)| *version)
        };
        let drains = self.drains.values_mut();
        drains
            .map(|drain| {
                let emptied_version = emptied_version(&drain.command.site);
                drain.evaluate(&inputs, emptied_version)
            })
            .collect()
    }

    fn observations(&self, reporting_proxies: usize, alive_proxies: usize) -> FleetObservations {
        let sites = self.sites.iter().map(|(name, site)| (name.clone(), site.load)).collect();
        FleetObservations { sites, reporting_proxies, alive_proxies }
    }

    /// Carries on the drains that an earlier lease holder began.
    fn resume_drains(&mut self, now: Micros, in_force: &[(Plan, DirectiveVersion)]) {
        for (plan, _) in in_force {
            if !self.drains.contains_key(&plan.command.site) {
                self.add_drain(now, plan.command.clone(), plan.shares.clone(), plan.weight, plan.stage);
            }
        }
    }

    fn add_drain(
        &mut self,
        now: Micros,
        command: OperatorCommand,
        shares: BTreeMap<String, u32>,
        weight: u32,
        stage: Stage,
    ) {
        let site = command.site.clone();
        let mut completion = CompletionCheck::new(self.max_lost_proxy_activity);
        for (proxy, lost_at) in &self.lost_proxies {
            completion.proxy_lost(*lost_at, proxy);
        }
        let drain = ActiveDrain {
            drain: SiteDrain::resume(now, &site, now, weight).with_shares(shares.clone()),
            command,
            shares,
            completion,
            emptied_version: None,
            is_drained: stage == Stage::Drained,
        };
        self.drains.insert(site, drain);
    }

    /// A lease holder that comes after another may have missed its last steps. Steps that proxies took are not undone.
    fn apply_reported_progress(&mut self, reports: &BTreeMap<String, ReceivedReport>) {
        for (site, status) in reports.values().flat_map(|received| &received.report.statuses) {
            let Some(active) = self.drains.get_mut(site) else { continue };
            if status.number == active.command.number && active.command.order != Order::Cancel {
                active.drain.lower_weight_to(status.weight);
                active.is_drained |= status.stage == Stage::Drained;
            }
        }
    }

    /// Takes the commands that operators gave to proxies.
    fn apply_commands(
        &mut self,
        now: Micros,
        reports: &BTreeMap<String, ReceivedReport>,
        fleet: &FleetObservations,
    ) {
        let enough_reporting =
            fleet.reporting_proxies * 100 >= fleet.alive_proxies * MIN_REPORTING_PERCENT_TO_START;
        for command in reports.values().flat_map(|received| &received.report.commands) {
            if !self.sites.contains_key(&command.site) {
                continue;
            }
            match self.drains.get_mut(&command.site) {
                Some(active) if command.number <= active.command.number => {}
                Some(active) => active.command = command.clone(),
                None if command.order == Order::Cancel || !enough_reporting => {}
                None => {
                    let shares = self.successor_shares(&command.site, reports);
                    if !shares.is_empty() {
                        self.add_drain(now, command.clone(), shares, FULL_WEIGHT, Stage::Moving);
                    }
                }
            }
        }
    }

    /// Learns what each site serves, and how much more it was seen to bear.
    fn update_loads(&mut self, reports: &BTreeMap<String, ReceivedReport>) {
        let rates = rates_by_site(reports);
        for (name, site) in &mut self.sites {
            site.decay_capacity(rates.contains_key(name.as_str()));
        }
        for (name, rates) in rates {
            let site = self.sites.entry(name.to_owned()).or_insert_with(|| MeasuredSite::new(rates));
            site.update(rates);
        }
    }

    /// The weights by which the other sites take the sessions of a draining one: as much as each has spare capacity, the
    /// nearest first, until they have enough for all. Sites beyond those get a thousandth, so that somebody is left whichever
    /// site dies.
    fn successor_shares(
        &self,
        draining: &str,
        reports: &BTreeMap<String, ReceivedReport>,
    ) -> BTreeMap<String, u32> {
        let successors = self.successors_by_round_trip(draining, reports);
        let required_rate = self.sites.get(draining).map_or(0.0, |site| site.load.session_rate);
        let largest_spare_rate =
            successors.iter().map(|successor| successor.spare_rate).fold(f64::MIN_POSITIVE, f64::max);
        let mut covered_rate = 0.0;
        let mut shares = BTreeMap::new();
        for successor in successors {
            let is_covered = covered_rate > 0.0 && covered_rate >= required_rate;
            let share = if is_covered {
                0.0
            } else {
                successor.spare_rate / largest_spare_rate * f64::from(FULL_WEIGHT)
            };
            covered_rate += successor.spare_rate;
            shares.insert(successor.name.clone(), (share as u32).clamp(1, FULL_WEIGHT));
        }
        shares
    }

    /// The sites that do not drain, the nearest to the draining one first.
    fn successors_by_round_trip(
        &self,
        draining: &str,
        reports: &BTreeMap<String, ReceivedReport>,
    ) -> Vec<SuccessorSite<'_>> {
        let round_trip = |site: &String| {
            let reports = reports.values().map(|received| &received.report);
            let own = reports.filter(|report| report.site == draining);
            own.filter_map(|report| report.round_trips_ms.get(site).copied()).min().unwrap_or(u32::MAX)
        };
        let is_successor = |name: &String| name != draining && !self.drains.contains_key(name);
        let successors = self.sites.iter().filter(|(name, _)| is_successor(name));
        let successor = |(name, site): (_, &MeasuredSite)| SuccessorSite {
            round_trip_ms: round_trip(name),
            name,
            spare_rate: site.load.spare_rate,
        };
        let mut successors: Vec<SuccessorSite<'_>> = successors.map(successor).collect();
        successors.sort_by(|a, b| (a.round_trip_ms, a.name).cmp(&(b.round_trip_ms, b.name)));
        successors
    }
}

/// A site that may take sessions of a draining one.
struct SuccessorSite<'a> {
    name: &'a String,
    /// From the draining site, in milliseconds.
    round_trip_ms: u32,
    /// Requests a second.
    spare_rate: f64,
}

impl ActiveDrain {
    /// The plan to direct now. `emptied_version` is the directive in force that says that the site has no sessions, if any.
    fn evaluate(&mut self, inputs: &EvaluationInputs<'_>, emptied_version: Option<DirectiveVersion>) -> Plan {
        let now = inputs.now;
        let remaining_ms = (self.command.deadline_unix_ms as i64).saturating_sub(inputs.wall_clock_ms as i64);
        self.drain.set_deadline(now.saturating_add(remaining_ms.saturating_mul(1000)));
        self.record_reports(inputs);
        let misses_deadline = self.drain.misses_deadline(now, &inputs.fleet);
        match self.drain.evaluate(now, self.command.order, &inputs.fleet) {
            DrainState::Restored => {
                self.reset_completion();
                self.plan(Stage::Restored, FULL_WEIGHT, None)
            }
            DrainState::Moving { weight, wait_reason } => {
                self.reset_completion();
                self.plan(Stage::Moving, weight, step_wait_text(wait_reason.as_ref(), misses_deadline))
            }
            DrainState::Emptied => self.check_completion(inputs, emptied_version),
        }
    }

    /// A proxy that restarted and has not received the plan reports nothing that counts.
    fn record_reports(&mut self, inputs: &EvaluationInputs<'_>) {
        for (proxy, received) in inputs.reports {
            let status = received.report.statuses.get(&self.command.site).copied().unwrap_or_default();
            let ReceivedReport { incarnation, received_at, .. } = *received;
            self.completion.record_report(received_at, proxy, incarnation, status.version, status.open_work);
        }
    }

    /// The site has sessions, so whether anything else is left there is to be found out anew.
    fn reset_completion(&mut self) {
        self.emptied_version = None;
        self.is_drained = false;
    }

    /// The site has no sessions: it is drained once nothing else is left there.
    fn check_completion(
        &mut self,
        inputs: &EvaluationInputs<'_>,
        emptied_version: Option<DirectiveVersion>,
    ) -> Plan {
        if self.is_drained {
            return self.plan(Stage::Drained, 0, None);
        }
        self.emptied_version = self.emptied_version.or(emptied_version);
        let alive = || inputs.alive_proxies.iter().copied();
        let remaining = self
            .emptied_version
            .map(|version| self.completion.remaining_work(inputs.now, version, alive(), REPORT_LIFETIME));
        if remaining == Some(RemainingWork::Nothing) {
            self.is_drained = true;
            return self.plan(Stage::Drained, 0, None);
        }
        let text: String = completion_wait_text(remaining).chars().take(MAX_WAIT_TEXT_CHARS).collect();
        self.plan(Stage::Emptied, 0, Some(text))
    }

    fn plan(&self, stage: Stage, weight: u32, wait_text: Option<String>) -> Plan {
        let command = self.command.clone();
        Plan { command, stage, weight, shares: self.shares.clone(), wait_text }
    }
}
