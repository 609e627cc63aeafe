//! Drains of a site by a lease holder and the proxies that follow its plans, in simulated time.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    DirectiveVersion, DrainCoordinator, DrainReport, DrainStatus, FULL_WEIGHT, FollowedPlans, Micros,
    OpenWork, OperatorCommand, Order, Plan, ReceivedReport, Stage,
};

/// One second in microseconds.
const SECOND: Micros = 1_000_000;
/// The longest time for which a lost proxy may act, in microseconds.
const MAX_ACTIVITY: Micros = 10 * SECOND;
const SITES: [&str; 3] = ["a", "b", "c"];

fn command(number: u64, order: Order) -> OperatorCommand {
    OperatorCommand { site: "c".to_owned(), number, order, deadline_unix_ms: 60_000 }
}

fn received(incarnation: u64, received_at: Micros, report: DrainReport) -> ReceivedReport {
    ReceivedReport { incarnation, received_at, report }
}

/// A simulated fleet of six proxies, two at each of [`SITES`], in which operators drain site "c".
struct Fleet {
    now: Micros,
    coordinator: DrainCoordinator,
    followed: Vec<FollowedPlans>,
    incarnations: Vec<u64>,
    term: u64,
    directive_number: u64,
    commands: Vec<OperatorCommand>,
    /// Rate of requests that one proxy receives from sessions of its site, in requests per second.
    rate_per_proxy: f64,
    in_force: Vec<(Plan, DirectiveVersion)>,
    open_work: OpenWork,
}

impl Fleet {
    fn new(rate_per_proxy: f64) -> Fleet {
        Fleet {
            now: 100 * SECOND,
            coordinator: DrainCoordinator::new(0, MAX_ACTIVITY),
            followed: vec![FollowedPlans::default(); 6],
            incarnations: vec![1; 6],
            term: 1,
            directive_number: 0,
            commands: Vec::new(),
            rate_per_proxy,
            in_force: Vec::new(),
            open_work: OpenWork::default(),
        }
    }

    fn report(&self, proxy: usize) -> DrainReport {
        let site = SITES[proxy / 2];
        let plan = self.followed[proxy].plan("c");
        let weight =
            plan.filter(|plan| plan.stage != Stage::Restored).map_or(FULL_WEIGHT, |plan| plan.weight);
        let moved_rate = self.rate_per_proxy * f64::from(FULL_WEIGHT - weight) / 1000.0;
        let served_rate = if site == "c" {
            self.rate_per_proxy - moved_rate
        } else {
            self.rate_per_proxy + moved_rate / 2.0
        };
        let count = |rate: f64| rate as u32;
        let session_reads = if site == "c" { served_rate } else { self.rate_per_proxy };
        let status = plan.map(|plan| {
            let open_work = if site == "c" {
                OpenWork { sessions: plan.weight.into(), ..self.open_work }
            } else {
                OpenWork::default()
            };
            let version = self.followed[proxy].version("c").unwrap_or_default();
            let status = DrainStatus {
                version,
                number: plan.command.number,
                weight: plan.weight,
                stage: plan.stage,
                open_work,
            };
            ("c".to_owned(), status)
        });
        DrainReport {
            site: site.to_owned(),
            interval_ms: 1000,
            ended: count(served_rate),
            within_objective: count(served_rate),
            session_reads: count(session_reads),
            round_trips_ms: BTreeMap::new(),
            statuses: status.into_iter().collect(),
            commands: if proxy == 0 { self.commands.clone() } else { Vec::new() },
        }
    }

    /// Runs one second in which the given proxies send reports and receive the directive. Returns the issued
    /// plan, or `None` if no site is draining.
    fn run_second(&mut self, connected: &[usize]) -> Option<Plan> {
        self.now += SECOND;
        let name = |proxy: usize| format!("n{proxy}");
        let reports: BTreeMap<String, ReceivedReport> = connected
            .iter()
            .map(|&proxy| (name(proxy), received(self.incarnations[proxy], self.now, self.report(proxy))))
            .collect();
        let names: Vec<String> = connected.iter().copied().map(name).collect();
        let alive: Vec<&str> = names.iter().map(String::as_str).collect();
        let plans = self.coordinator.decide(self.now, 0, &reports, &alive, &self.in_force);
        let plan = plans.into_iter().next()?;
        self.directive_number += 1;
        let version = DirectiveVersion { term: self.term, number: self.directive_number };
        self.in_force = vec![(plan.clone(), version)];
        for &proxy in connected {
            self.followed[proxy].receive(self.now, plan.clone(), version);
        }
        Some(plan)
    }

    fn seconds_until(&mut self, stage: Stage, limit: usize, connected: &[usize]) -> usize {
        (0..limit)
            .find(|_| self.run_second(connected).is_some_and(|plan| plan.stage == stage))
            .unwrap_or(limit)
    }
}

const ALL_PROXIES: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[test]
fn a_site_is_emptied_drained_and_restored_by_operator_commands() {
    let mut fleet = Fleet::new(100.0);
    assert_eq!(fleet.run_second(&ALL_PROXIES), None, "no command has been given");
    fleet.commands = vec![command(1, Order::Run)];
    assert!(fleet.seconds_until(Stage::Emptied, 40, &ALL_PROXIES) < 20);
    fleet.open_work = OpenWork { primaries: 1, ..OpenWork::default() };
    assert_eq!(fleet.seconds_until(Stage::Drained, 20, &ALL_PROXIES), 20, "a primary is still at the site");
    fleet.open_work = OpenWork::default();
    assert!(fleet.seconds_until(Stage::Drained, 20, &ALL_PROXIES) < 5);
    // A command with an old number is ignored; one with a higher number applies.
    fleet.commands = vec![command(1, Order::Cancel)];
    assert_eq!(fleet.seconds_until(Stage::Restored, 20, &ALL_PROXIES), 20);
    fleet.commands = vec![command(2, Order::Cancel)];
    assert!(fleet.seconds_until(Stage::Restored, 20, &ALL_PROXIES) < 15);
    assert!(fleet.followed.iter().all(|plans| plans.effective_plans(fleet.now, "c").is_empty()));
    fleet.commands = vec![command(3, Order::Pause)];
    assert_eq!(fleet.seconds_until(Stage::Emptied, 20, &ALL_PROXIES), 20);
    assert_eq!(fleet.run_second(&ALL_PROXIES).unwrap().wait_text.as_deref(), Some("the operator's word"));
}

#[test]
fn an_outdated_lease_holder_undoes_no_step_and_an_isolated_proxy_starts_nothing() {
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    (0..4).for_each(|_| drop(fleet.run_second(&ALL_PROXIES)));
    let outdated_directives = fleet.in_force.clone();
    (0..4).for_each(|_| drop(fleet.run_second(&ALL_PROXIES)));
    let weight = |fleet: &Fleet, proxy: usize| fleet.followed[proxy].plan("c").unwrap().weight;
    let weight_before = weight(&fleet, 4);
    assert!(weight_before < outdated_directives[0].0.weight);
    // The next lease holder has been isolated since then: it starts with outdated directives and receives the
    // reports of only three proxies.
    (fleet.in_force, fleet.term, fleet.directive_number) = (outdated_directives, 2, 0);
    fleet.coordinator = DrainCoordinator::new(fleet.now, MAX_ACTIVITY);
    fleet.run_second(&[0, 1, 4]);
    assert_eq!((weight(&fleet, 4), weight(&fleet, 5)), (weight_before, weight_before));
    assert!(fleet.in_force[0].0.weight <= weight_before);
    // Proxy 5 is never heard from again, and this lease holder has not recorded it as lost. The maximum
    // activity time of lost proxies counts from the start of this lease holder.
    assert!(fleet.seconds_until(Stage::Emptied, 40, &[0, 1, 2, 3, 4]) < 30);
    let effective_stage =
        |fleet: &Fleet, offset: Micros| fleet.followed[5].effective_plans(fleet.now + offset, "c")[0].stage;
    assert_eq!(effective_stage(&fleet, -8 * SECOND), Stage::Moving);
    assert_eq!(
        effective_stage(&fleet, 15 * SECOND),
        Stage::Drained,
        "the isolated proxy starts no more requests there"
    );
    assert!(fleet.seconds_until(Stage::Drained, 40, &[0, 1, 2, 3, 4]) < 20);
    // After a restart proxy 4 does not know the plan, so its report does not complete the drain.
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    assert!(fleet.seconds_until(Stage::Emptied, 40, &ALL_PROXIES) < 20);
    (fleet.followed[4], fleet.incarnations[4]) = (FollowedPlans::default(), 2);
    assert_ne!(fleet.run_second(&ALL_PROXIES).unwrap().stage, Stage::Drained);
}

#[test]
fn a_restarted_proxy_follows_stored_plans_and_payloads_round_trip() {
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    fleet.seconds_until(Stage::Emptied, 40, &ALL_PROXIES);
    let stored: Vec<Plan> = fleet.followed[4].plans().cloned().collect();
    let restarted = FollowedPlans::new(fleet.now, stored.clone());
    assert_eq!(restarted.effective_plans(fleet.now, "c")[0].weight, 0);
    assert!(stored[0].shares.values().all(|share| *share > 0) && stored[0].shares.len() == 2);
    assert_eq!(Plan::decode(&stored[0].encode()).unwrap(), stored[0]);
    let report = fleet.report(4);
    assert_eq!(DrainReport::decode(&report.encode()).unwrap(), report);
    assert!(report.encode().len() < 900 && Plan::decode(b"{").is_err());
}

#[test]
fn the_nearest_site_with_enough_capacity_takes_all_sessions_but_the_minimum_share() {
    let report = |site: &str, rate: u32, commands: Vec<OperatorCommand>| {
        let round_trips = BTreeMap::from([("a".to_owned(), 10), ("b".to_owned(), 100)]);
        let base = DrainReport {
            site: site.to_owned(),
            interval_ms: 1000,
            ended: rate,
            within_objective: rate,
            session_reads: rate,
            round_trips_ms: round_trips,
            ..DrainReport::default()
        };
        DrainReport { commands, ..base }
    };
    for (rate, far_share) in [(800, 1), (100, 1000)] {
        let mut coordinator = DrainCoordinator::new(0, MAX_ACTIVITY);
        let mut run_second = |now: Micros, rate_at_a: u32, commands: Vec<OperatorCommand>| {
            let reports = [
                ("n0", report("a", rate_at_a, commands)),
                ("n1", report("b", 100, vec![])),
                ("n2", report("c", 100, vec![])),
            ];
            let reports = reports.map(|(name, report)| (name.to_owned(), received(1, now, report)));
            coordinator.decide(now, 0, &reports.into_iter().collect(), &["n0", "n1", "n2"], &[])
        };
        // The nearer site was observed earlier to serve this rate.
        (0..5).for_each(|second| drop(run_second(second * SECOND, rate, vec![])));
        (5..15).for_each(|second| drop(run_second(second * SECOND, 100, vec![])));
        let plans = run_second(15 * SECOND, 100, vec![command(1, Order::Run)]);
        assert_eq!((plans[0].shares["a"], plans[0].shares["b"]), (1000, far_share), "{plans:?}");
    }
}
