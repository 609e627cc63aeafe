//! The lease holder and proxies that follow its plans, in virtual time.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    DirectiveVersion, DrainCoordinator, DrainReport, DrainStatus, FollowedPlans, Micros, OpenWork,
    OperatorCommand, Order, Plan, ReceivedReport, Stage, WHOLE,
};

const S: Micros = 1_000_000;
const LONGEST_ACTION: Micros = 10 * S;
const SITES: [&str; 3] = ["a", "b", "c"];

fn command(number: u64, order: Order) -> OperatorCommand {
    OperatorCommand { site: "c".to_owned(), number, order, by_ms: 60_000 }
}

fn received(incarnation: u64, received_at: Micros, report: DrainReport) -> ReceivedReport {
    ReceivedReport { incarnation, received_at, report }
}

/// Six proxies, two at each site.
struct Fleet {
    now: Micros,
    coordinator: DrainCoordinator,
    followed: Vec<FollowedPlans>,
    starts: Vec<u64>,
    term: u64,
    number: u64,
    commands: Vec<OperatorCommand>,
    /// Requests a second that one proxy has of sessions of its site.
    load: f64,
    in_force: Vec<(Plan, DirectiveVersion)>,
    open: OpenWork,
}

impl Fleet {
    fn new(load: f64) -> Fleet {
        Fleet {
            now: 100 * S,
            coordinator: DrainCoordinator::new(0, LONGEST_ACTION),
            followed: vec![FollowedPlans::default(); 6],
            starts: vec![1; 6],
            term: 1,
            number: 0,
            commands: Vec::new(),
            load,
            in_force: Vec::new(),
            open: OpenWork::default(),
        }
    }

    fn report(&self, proxy: usize) -> DrainReport {
        let site = SITES[proxy / 2];
        let plan = self.followed[proxy].plan("c");
        let weight = plan.filter(|plan| plan.stage != Stage::Restored).map_or(WHOLE, |plan| plan.weight);
        let leaves = self.load * f64::from(WHOLE - weight) / 1000.0;
        let served = if site == "c" { self.load - leaves } else { self.load + leaves / 2.0 };
        let count = |rate: f64| rate as u32;
        let bound = if site == "c" { served } else { self.load };
        let keeps = plan.map(|plan| {
            let open = if site == "c" {
                OpenWork { sessions: plan.weight.into(), ..self.open }
            } else {
                OpenWork::default()
            };
            let version = self.followed[proxy].version("c").unwrap_or_default();
            let keeps = DrainStatus {
                version,
                number: plan.command.number,
                weight: plan.weight,
                stage: plan.stage,
                open,
            };
            ("c".to_owned(), keeps)
        });
        DrainReport {
            site: site.to_owned(),
            over_ms: 1000,
            ended: count(served),
            within_objective: count(served),
            session_reads: count(bound),
            round_trips_ms: BTreeMap::new(),
            statuses: keeps.into_iter().collect(),
            commands: if proxy == 0 { self.commands.clone() } else { Vec::new() },
        }
    }

    /// A second in which these proxys are heard, and hear; what was decreed.
    fn second(&mut self, heard: &[usize]) -> Option<Plan> {
        self.now += S;
        let name = |proxy: usize| format!("n{proxy}");
        let reports: BTreeMap<String, ReceivedReport> = heard
            .iter()
            .map(|&at| (name(at), received(self.starts[at], self.now, self.report(at))))
            .collect();
        let names: Vec<String> = heard.iter().copied().map(name).collect();
        let alive: Vec<&str> = names.iter().map(String::as_str).collect();
        let plans = self.coordinator.decide(self.now, 0, &reports, &alive, &self.in_force);
        let plan = plans.into_iter().next()?;
        self.number += 1;
        let version = DirectiveVersion { term: self.term, number: self.number };
        self.in_force = vec![(plan.clone(), version)];
        for &at in heard {
            self.followed[at].receive(self.now, plan.clone(), version);
        }
        Some(plan)
    }

    fn until(&mut self, stage: Stage, most: usize, heard: &[usize]) -> usize {
        (0..most).find(|_| self.second(heard).is_some_and(|plan| plan.stage == stage)).unwrap_or(most)
    }
}

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

#[test]
fn a_site_goes_empties_and_is_retired_and_comes_back_by_the_operators_command() {
    let mut fleet = Fleet::new(100.0);
    assert_eq!(fleet.second(&ALL), None, "nobody has said anything");
    fleet.commands = vec![command(1, Order::Run)];
    assert!(fleet.until(Stage::Emptied, 40, &ALL) < 20);
    fleet.open = OpenWork { primaries: 1, ..OpenWork::default() };
    assert_eq!(fleet.until(Stage::Drained, 20, &ALL), 20, "a primary is there");
    fleet.open = OpenWork::default();
    assert!(fleet.until(Stage::Drained, 20, &ALL) < 5);
    // An older word is none, and a later one is.
    fleet.commands = vec![command(1, Order::Cancel)];
    assert_eq!(fleet.until(Stage::Restored, 20, &ALL), 20);
    fleet.commands = vec![command(2, Order::Cancel)];
    assert!(fleet.until(Stage::Restored, 20, &ALL) < 15);
    assert!(fleet.followed.iter().all(|of| of.effective_plans(fleet.now, "c").is_empty()));
    fleet.commands = vec![command(3, Order::Pause)];
    assert_eq!(fleet.until(Stage::Emptied, 20, &ALL), 20);
    assert_eq!(fleet.second(&ALL).unwrap().waits.as_deref(), Some("the operator's word"));
}

#[test]
fn a_lease_holder_that_knows_less_undoes_no_step_and_a_cut_off_proxy_starts_nothing_there() {
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    (0..4).for_each(|_| drop(fleet.second(&ALL)));
    let earlier = fleet.in_force.clone();
    (0..4).for_each(|_| drop(fleet.second(&ALL)));
    let weight = |fleet: &Fleet, at: usize| fleet.followed[at].plan("c").unwrap().weight;
    let before = weight(&fleet, 4);
    assert!(before < earlier[0].0.weight);
    // The next holder was cut off since: it begins with what it knows, and hears of all but two proxys.
    (fleet.in_force, fleet.term, fleet.number) = (earlier, 2, 0);
    fleet.coordinator = DrainCoordinator::new(fleet.now, LONGEST_ACTION);
    fleet.second(&[0, 1, 4]);
    assert_eq!((weight(&fleet, 4), weight(&fleet, 5)), (before, before));
    assert!(fleet.in_force[0].0.weight <= before);
    // Driver 5 is never heard again, and was not taken for dead by this holder: it is waited for from the start of that.
    assert!(fleet.until(Stage::Emptied, 40, &[0, 1, 2, 3, 4]) < 30);
    let acting = |fleet: &Fleet, at: Micros| fleet.followed[5].effective_plans(fleet.now + at, "c")[0].stage;
    assert_eq!(acting(&fleet, -8 * S), Stage::Moving);
    assert_eq!(acting(&fleet, 15 * S), Stage::Drained, "it starts nothing there any more");
    assert!(fleet.until(Stage::Drained, 40, &[0, 1, 2, 3, 4]) < 20);
    // Another start of proxy 4 that knows nothing says nothing that counts.
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    assert!(fleet.until(Stage::Emptied, 40, &ALL) < 20);
    (fleet.followed[4], fleet.starts[4]) = (FollowedPlans::default(), 2);
    assert_ne!(fleet.second(&ALL).unwrap().stage, Stage::Drained);
}

#[test]
fn a_restarted_proxy_follows_the_stored_plans_and_payloads_are_read_as_written() {
    let mut fleet = Fleet::new(100.0);
    fleet.commands = vec![command(1, Order::Run)];
    fleet.until(Stage::Emptied, 40, &ALL);
    let kept: Vec<Plan> = fleet.followed[4].plans().cloned().collect();
    let again = FollowedPlans::new(fleet.now, kept.clone());
    assert_eq!(again.effective_plans(fleet.now, "c")[0].weight, 0);
    assert!(kept[0].shares.values().all(|share| *share > 0) && kept[0].shares.len() == 2);
    assert_eq!(Plan::decode(&kept[0].encode()).unwrap(), kept[0]);
    let report = fleet.report(4);
    assert_eq!(DrainReport::decode(&report.encode()).unwrap(), report);
    assert!(report.encode().len() < 900 && Plan::decode(b"{").is_err());
}

#[test]
fn the_nearest_site_takes_all_sessions_if_it_has_the_capacity_and_others_a_thousandth() {
    let report = |site: &str, rate: u32, commands: Vec<OperatorCommand>| {
        let trips = BTreeMap::from([("a".to_owned(), 10), ("b".to_owned(), 100)]);
        let of = DrainReport {
            site: site.to_owned(),
            over_ms: 1000,
            ended: rate,
            within_objective: rate,
            session_reads: rate,
            round_trips_ms: trips,
            ..DrainReport::default()
        };
        DrainReport { commands, ..of }
    };
    for (rate, far) in [(800, 1), (100, 1000)] {
        let mut coordinator = DrainCoordinator::new(0, LONGEST_ACTION);
        let mut second = |now: Micros, busy: u32, commands: Vec<OperatorCommand>| {
            let all = [
                ("n0", report("a", busy, commands)),
                ("n1", report("b", 100, vec![])),
                ("n2", report("c", 100, vec![])),
            ];
            let all = all.map(|(name, report)| (name.to_owned(), received(1, now, report)));
            coordinator.decide(now, 0, &all.into_iter().collect(), &["n0", "n1", "n2"], &[])
        };
        // The nearer one was once seen to bear that much.
        (0..5).for_each(|at| drop(second(at * S, rate, vec![])));
        (5..15).for_each(|at| drop(second(at * S, 100, vec![])));
        let plans = second(15 * S, 100, vec![command(1, Order::Run)]);
        assert_eq!((plans[0].shares["a"], plans[0].shares["b"]), (1000, far), "{plans:?}");
    }
}
