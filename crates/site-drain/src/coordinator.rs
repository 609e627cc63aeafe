//! What the lease holder decides about draining sites.

use std::collections::BTreeMap;

use crate::load_measurement::{MeasuredSite, rates_by_site};
use crate::wait_texts::{moving_text, remaining_text};
use crate::{
    CompletionCheck, DirectiveVersion, DrainState, FleetObservations, Micros, OperatorCommand, Order, Plan,
    ReceivedReport, Remaining, SiteDrain, Stage, WHOLE,
};

/// How long a report counts, in microseconds: a proxy reports under other leases in between.
const REPORT_LIFETIME: Micros = 6_000_000;
/// How many of the living proxies must report before a drain begins, in percent: shares stay the same for the whole drain.
const MIN_REPORTING_TO_BEGIN: usize = 80;
/// The longest text on what a plan waits for, in characters.
const MAX_WAIT_TEXT: usize = 200;
/// Stands for all proxies that departed before this lease holder started.
const EARLIER_PROXIES: &str = "";

/// One site's drain, as this lease holder carries it on.
#[derive(Debug)]
struct ActiveDrain {
    command: OperatorCommand,
    shares: BTreeMap<String, u32>,
    drain: SiteDrain,
    completion: CompletionCheck,
    /// The first directive that said that no session is assigned to the site.
    emptied_by: Option<DirectiveVersion>,
    is_drained: bool,
}

/// What one evaluation depends on.
struct Evaluation<'a> {
    now: Micros,
    /// Unix milliseconds.
    wall: u64,
    reports: &'a BTreeMap<String, ReceivedReport>,
    alive: &'a [&'a str],
    fleet: FleetObservations,
}

/// Decides about all draining sites while this proxy holds the lease. A proxy that does not hold it only notes who departs.
#[derive(Debug)]
pub struct DrainCoordinator {
    longest_action: Micros,
    /// Proxies that departed, and when.
    departed: BTreeMap<String, Micros>,
    sites: BTreeMap<String, MeasuredSite>,
    /// By the draining site's name.
    drains: BTreeMap<String, ActiveDrain>,
}

impl DrainCoordinator {
    /// `longest_action` is the longest for which a proxy that is not heard may act, in microseconds, a request's timeout
    /// and all that follows it included.
    pub fn new(now: Micros, longest_action: Micros) -> DrainCoordinator {
        DrainCoordinator {
            longest_action,
            departed: BTreeMap::from([(EARLIER_PROXIES.to_owned(), now)]),
            sites: BTreeMap::new(),
            drains: BTreeMap::new(),
        }
    }

    /// A proxy is taken for dead, or has left.
    pub fn proxy_departed(&mut self, now: Micros, proxy: &str) {
        self.departed.insert(proxy.to_owned(), now);
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
    /// `reports` are those of late, by proxy; `alive` are the proxies that are alive; `in_force` are the plans of directives
    /// in force, with their versions; `wall` is in Unix milliseconds.
    pub fn decide(
        &mut self,
        now: Micros,
        wall: u64,
        reports: &BTreeMap<String, ReceivedReport>,
        alive: &[&str],
        in_force: &[(Plan, DirectiveVersion)],
    ) -> Vec<Plan> {
        let longest_action = self.longest_action;
        self.departed.retain(|proxy, at| now - *at <= longest_action && !reports.contains_key(proxy));
        self.measure(reports);
        let fleet = self.observations(reports.len(), alive.len());
        self.resume(now, in_force);
        self.catch_up(reports);
        self.take_commands(now, reports, &fleet);
        let evaluation = Evaluation { now, wall, reports, alive, fleet };
        let emptied_by = |site: &str| {
            let emptied = |plan: &Plan| plan.command.site == site && plan.stage == Stage::Emptied;
            in_force.iter().find(|(plan, _)| emptied(plan)).map(|(_, version)| *version)
        };
        let drains = self.drains.values_mut();
        drains
            .map(|drain| {
                let emptied_by = emptied_by(&drain.command.site);
                drain.evaluate(&evaluation, emptied_by)
            })
            .collect()
    }

    fn observations(&self, reporting: usize, alive: usize) -> FleetObservations {
        let sites = self.sites.iter().map(|(name, site)| (name.clone(), site.load)).collect();
        FleetObservations { sites, reporting, alive }
    }

    /// Carries on the drains that an earlier lease holder began.
    fn resume(&mut self, now: Micros, in_force: &[(Plan, DirectiveVersion)]) {
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
        let mut completion = CompletionCheck::new(self.longest_action);
        for (proxy, departed_at) in &self.departed {
            completion.proxy_lost(*departed_at, proxy);
        }
        let drain = ActiveDrain {
            drain: SiteDrain::resume(now, &site, now, weight).with_shares(shares.clone()),
            command,
            shares,
            completion,
            emptied_by: None,
            is_drained: stage == Stage::Drained,
        };
        self.drains.insert(site, drain);
    }

    /// A lease holder that comes after another may have missed its last steps. Steps that proxies took are not undone.
    fn catch_up(&mut self, reports: &BTreeMap<String, ReceivedReport>) {
        for (site, status) in reports.values().flat_map(|received| &received.report.statuses) {
            let Some(active) = self.drains.get_mut(site) else { continue };
            if status.number == active.command.number && active.command.order != Order::Cancel {
                active.drain.advance_to(status.weight);
                active.is_drained |= status.stage == Stage::Drained;
            }
        }
    }

    /// Takes the commands that operators gave to proxies.
    fn take_commands(
        &mut self,
        now: Micros,
        reports: &BTreeMap<String, ReceivedReport>,
        fleet: &FleetObservations,
    ) {
        let enough_report = fleet.reporting * 100 >= fleet.alive * MIN_REPORTING_TO_BEGIN;
        for command in reports.values().flat_map(|received| &received.report.commands) {
            if !self.sites.contains_key(&command.site) {
                continue;
            }
            match self.drains.get_mut(&command.site) {
                Some(active) if command.number <= active.command.number => {}
                Some(active) => active.command = command.clone(),
                None if command.order == Order::Cancel || !enough_report => {}
                None => {
                    let shares = self.shares_of(&command.site, reports);
                    if !shares.is_empty() {
                        self.add_drain(now, command.clone(), shares, WHOLE, Stage::Moving);
                    }
                }
            }
        }
    }

    /// Learns what each site serves, and how much more it was seen to bear.
    fn measure(&mut self, reports: &BTreeMap<String, ReceivedReport>) {
        let rates = rates_by_site(reports);
        for (name, site) in &mut self.sites {
            site.fade(rates.contains_key(name.as_str()));
        }
        for (name, rates) in rates {
            let site = self.sites.entry(name.to_owned()).or_insert_with(|| MeasuredSite::new(rates));
            site.update(rates);
        }
    }

    /// The weights by which the other sites take the sessions of a draining one: as much as each has spare capacity, the
    /// nearest first, until they have enough for all. Sites beyond those get a thousandth, so that somebody is left whichever
    /// site dies.
    fn shares_of(&self, draining: &str, reports: &BTreeMap<String, ReceivedReport>) -> BTreeMap<String, u32> {
        let takers = self.takers_by_distance(draining, reports);
        let wanted = self.sites.get(draining).map_or(0.0, |site| site.load.session_rate);
        let largest = takers.iter().map(|taker| taker.spare_rate).fold(f64::MIN_POSITIVE, f64::max);
        let mut found = 0.0;
        let mut shares = BTreeMap::new();
        for taker in takers {
            let is_enough = found > 0.0 && found >= wanted;
            let share = if is_enough { 0.0 } else { taker.spare_rate / largest * f64::from(WHOLE) };
            found += taker.spare_rate;
            shares.insert(taker.name.clone(), (share as u32).clamp(1, WHOLE));
        }
        shares
    }

    /// The sites that do not drain, the nearest to the draining one first.
    fn takers_by_distance(
        &self,
        draining: &str,
        reports: &BTreeMap<String, ReceivedReport>,
    ) -> Vec<Taker<'_>> {
        let round_trip = |site: &String| {
            let reports = reports.values().map(|received| &received.report);
            let own = reports.filter(|report| report.site == draining);
            own.filter_map(|report| report.round_trips_ms.get(site).copied()).min().unwrap_or(u32::MAX)
        };
        let is_taker = |name: &String| name != draining && !self.drains.contains_key(name);
        let takers = self.sites.iter().filter(|(name, _)| is_taker(name));
        let taker = |(name, site): (_, &MeasuredSite)| Taker {
            round_trip_ms: round_trip(name),
            name,
            spare_rate: site.load.spare_rate,
        };
        let mut takers: Vec<Taker<'_>> = takers.map(taker).collect();
        takers.sort_by(|a, b| (a.round_trip_ms, a.name).cmp(&(b.round_trip_ms, b.name)));
        takers
    }
}

/// A site that may take sessions of a draining one.
struct Taker<'a> {
    name: &'a String,
    /// From the draining site, in milliseconds.
    round_trip_ms: u32,
    /// Requests a second.
    spare_rate: f64,
}

impl ActiveDrain {
    /// The plan to direct now. `emptied_by` is the directive in force that says that the site has no sessions, if any.
    fn evaluate(&mut self, evaluation: &Evaluation<'_>, emptied_by: Option<DirectiveVersion>) -> Plan {
        let now = evaluation.now;
        let left_ms = (self.command.by_ms as i64).saturating_sub(evaluation.wall as i64);
        self.drain.set_deadline(now.saturating_add(left_ms.saturating_mul(1000)));
        self.take_reports(evaluation);
        let is_late = self.drain.is_late(now, &evaluation.fleet);
        match self.drain.evaluate(now, self.command.order, &evaluation.fleet) {
            DrainState::Restored => {
                self.sessions_are_assigned();
                self.plan(Stage::Restored, WHOLE, None)
            }
            DrainState::Moving { weight, waits } => {
                self.sessions_are_assigned();
                self.plan(Stage::Moving, weight, moving_text(waits.as_ref(), is_late))
            }
            DrainState::Emptied => self.check_completion(evaluation, emptied_by),
        }
    }

    /// A proxy that restarted and has not received the plan reports nothing that counts.
    fn take_reports(&mut self, evaluation: &Evaluation<'_>) {
        for (proxy, received) in evaluation.reports {
            let status = received.report.statuses.get(&self.command.site).copied().unwrap_or_default();
            let ReceivedReport { incarnation, received_at, .. } = *received;
            self.completion.record_report(received_at, proxy, incarnation, status.version, status.open);
        }
    }

    /// The site has sessions, so whether anything else is left there is to be found out anew.
    fn sessions_are_assigned(&mut self) {
        self.emptied_by = None;
        self.is_drained = false;
    }

    /// The site has no sessions: it is drained once nothing else is left there.
    fn check_completion(
        &mut self,
        evaluation: &Evaluation<'_>,
        emptied_by: Option<DirectiveVersion>,
    ) -> Plan {
        if self.is_drained {
            return self.plan(Stage::Drained, 0, None);
        }
        self.emptied_by = self.emptied_by.or(emptied_by);
        let alive = || evaluation.alive.iter().copied();
        let remaining = self
            .emptied_by
            .map(|version| self.completion.remaining(evaluation.now, version, alive(), REPORT_LIFETIME));
        if remaining == Some(Remaining::Nothing) {
            self.is_drained = true;
            return self.plan(Stage::Drained, 0, None);
        }
        let text: String = remaining_text(remaining).chars().take(MAX_WAIT_TEXT).collect();
        self.plan(Stage::Emptied, 0, Some(text))
    }

    fn plan(&self, stage: Stage, weight: u32, waits: Option<String>) -> Plan {
        let command = self.command.clone();
        Plan { command, stage, weight, shares: self.shares.clone(), waits }
    }
}
