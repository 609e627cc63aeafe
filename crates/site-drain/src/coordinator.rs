//! Decisions of the lease holder on draining sites.

use std::collections::BTreeMap;

use crate::load_measurement::{MeasuredSite, rates_by_site};
use crate::wait_texts::{completion_wait_text, step_wait_text};
use crate::{
    CompletionCheck, DirectiveVersion, DrainState, FULL_WEIGHT, FleetObservations, Micros, OperatorCommand,
    Order, Plan, ReceivedReport, RemainingWork, SiteDrain, Stage,
};

/// How long a report counts, in microseconds. It is longer than the reporting interval because a proxy
/// reports under other leases in between.
const REPORT_LIFETIME: Micros = 6_000_000;
/// The part of the proxies that are alive that must report before a drain starts, in percent. The shares of
/// the other sites are computed at the start and stay the same for the whole drain.
const MIN_REPORTING_PERCENT_TO_START: usize = 80;
/// The maximum length of the text on what a plan waits for, in characters.
const MAX_WAIT_TEXT_CHARS: usize = 200;
/// Stands for all proxies that were lost before this coordinator was created, as their names are not known.
const UNKNOWN_LOST_PROXIES: &str = "";

/// The drain of one site under this lease holder.
#[derive(Debug)]
struct ActiveDrain {
    command: OperatorCommand,
    shares: BTreeMap<String, u32>,
    drain: SiteDrain,
    completion: CompletionCheck,
    /// The version of the first directive by which no session is assigned to the site; `None` before that.
    emptied_version: Option<DirectiveVersion>,
    is_drained: bool,
}

/// Inputs of one evaluation, which are the same for all drains.
struct EvaluationInputs<'a> {
    now: Micros,
    /// The wall clock, in Unix milliseconds.
    wall_clock_ms: u64,
    reports: &'a BTreeMap<String, ReceivedReport>,
    alive_proxies: &'a [&'a str],
    fleet: FleetObservations,
}

/// Decides on all draining sites while this proxy holds the lease. While it does not, the coordinator only
/// records lost proxies.
#[derive(Debug)]
pub struct DrainCoordinator {
    max_lost_proxy_activity: Micros,
    /// The instant at which each lost proxy was lost.
    lost_proxies: BTreeMap<String, Micros>,
    sites: BTreeMap<String, MeasuredSite>,
    /// The drains, by the name of the draining site.
    drains: BTreeMap<String, ActiveDrain>,
}

impl DrainCoordinator {
    /// Creates the coordinator of a proxy that starts at `now`.
    ///
    /// `max_lost_proxy_activity` is the longest time for which a proxy that is not heard from may act, in
    /// microseconds, including the timeout of a request and everything that follows the request.
    pub fn new(now: Micros, max_lost_proxy_activity: Micros) -> DrainCoordinator {
        DrainCoordinator {
            max_lost_proxy_activity,
            lost_proxies: BTreeMap::from([(UNKNOWN_LOST_PROXIES.to_owned(), now)]),
            sites: BTreeMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// Records that a proxy is considered dead or has left the fleet.
    pub fn proxy_lost(&mut self, now: Micros, proxy: &str) {
        self.lost_proxies.insert(proxy.to_owned(), now);
        for drain in self.drains.values_mut() {
            drain.completion.proxy_lost(now, proxy);
        }
    }

    /// Discards all measurements and drains, as the lease is no longer held. Lost proxies stay recorded.
    pub fn step_down(&mut self) {
        self.sites.clear();
        self.drains.clear();
    }

    /// Returns the plan for each draining site. The caller must call this once a second while it holds the
    /// lease.
    ///
    /// `wall_clock_ms` is in Unix milliseconds. `reports` holds the recent reports by the name of the proxy,
    /// and `alive_proxies` the names of the proxies that are alive. `in_force` holds the plans of the
    /// directives in force with their versions.
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

    /// Resumes the drains that an earlier lease holder started.
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

    /// Applies the progress that proxies report. A new lease holder may have missed the last steps of its
    /// predecessor; steps that proxies have already taken are not undone.
    fn apply_reported_progress(&mut self, reports: &BTreeMap<String, ReceivedReport>) {
        for (site, status) in reports.values().flat_map(|received| &received.report.statuses) {
            let Some(active) = self.drains.get_mut(site) else { continue };
            if status.number == active.command.number && active.command.order != Order::Cancel {
                active.drain.lower_weight_to(status.weight);
                active.is_drained |= status.stage == Stage::Drained;
            }
        }
    }

    /// Applies the commands that operators gave to proxies. A command replaces one of a lower number on the
    /// same site, or starts a new drain if enough proxies report.
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

    /// Updates the measured load and capacity of each site.
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

    /// Returns the weights by which the other sites take over the sessions of a draining site, in
    /// thousandths.
    ///
    /// The weights are proportional to spare capacity. Sites are taken in order of round trip time until
    /// their spare capacity covers the requests of all sessions. The remaining sites get one thousandth each,
    /// so that a successor is left whichever site fails.
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

    /// Returns the sites that are not draining, in order of round trip time from the draining site.
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

/// A site that may take over sessions of a draining site.
struct SuccessorSite<'a> {
    name: &'a String,
    /// The shortest reported round trip from the draining site, in milliseconds; `u32::MAX` if none was
    /// reported.
    round_trip_ms: u32,
    /// The spare capacity, in requests per second.
    spare_rate: f64,
}

impl ActiveDrain {
    /// Returns the plan to issue now. `emptied_version` is the version of the directive in force by which the
    /// site has no sessions, or `None` if there is none.
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

    /// Passes the reports on to the completion check. A report without a status for this site has the version
    /// [`DirectiveVersion::NONE`]: a proxy that restarted and has not received the plan cannot complete the
    /// drain.
    fn record_reports(&mut self, inputs: &EvaluationInputs<'_>) {
        for (proxy, received) in inputs.reports {
            let status = received.report.statuses.get(&self.command.site).copied().unwrap_or_default();
            let ReceivedReport { incarnation, received_at, .. } = *received;
            self.completion.record_report(received_at, proxy, incarnation, status.version, status.open_work);
        }
    }

    /// Resets the completion state, as the site has sessions and any earlier result is outdated.
    fn reset_completion(&mut self) {
        self.emptied_version = None;
        self.is_drained = false;
    }

    /// Returns the plan for a site without sessions. The site is drained once no other work is left there.
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
