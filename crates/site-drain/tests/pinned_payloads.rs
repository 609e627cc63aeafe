//! The exact JSON of reports and plans, which proxies of other versions exchange and the store holds.

use std::collections::BTreeMap;

use aldermill_site_drain::{
    DirectiveVersion, DrainCoordinator, DrainReport, DrainStatus, OpenWork, OperatorCommand, Order, Plan,
    ReceivedReport, Stage,
};

/// One second in microseconds.
const SECOND: i64 = 1_000_000;

fn command(order: Order) -> OperatorCommand {
    OperatorCommand { site: "north".into(), number: 3, order, deadline_unix_ms: 1_800_000_000_000 }
}

fn plan(order: Order, stage: Stage, wait_text: Option<&str>) -> Plan {
    let shares = [("east".to_owned(), 1000), ("west".to_owned(), 250)].into();
    Plan { command: command(order), stage, weight: 750, shares, wait_text: wait_text.map(str::to_owned) }
}

#[track_caller]
fn assert_plan_json(plan: Plan, json: &str) {
    assert_eq!(String::from_utf8(plan.encode()).unwrap(), json);
    assert_eq!(Plan::decode(json.as_bytes()).unwrap(), plan);
}

#[track_caller]
fn assert_report_json(report: DrainReport, json: &str) {
    assert_eq!(String::from_utf8(report.encode()).unwrap(), json);
    assert_eq!(DrainReport::decode(json.as_bytes()).unwrap(), report);
}

#[test]
fn plan_with_wait_text() {
    let wait_text = Some("room elsewhere");
    assert_plan_json(
        plan(Order::Run, Stage::Moving, wait_text),
        concat!(
            r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"stage":"moving","#,
            r#""weight":750,"shares":{"east":1000,"west":250},"waits":"room elsewhere"}"#
        ),
    );
}

#[test]
fn plan_of_each_order_and_stage() {
    assert_plan_json(
        plan(Order::Run, Stage::Moving, None),
        concat!(
            r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"stage":"moving","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    assert_plan_json(
        plan(Order::Pause, Stage::Emptied, None),
        concat!(
            r#"{"site":"north","number":3,"order":"held","by_ms":1800000000000,"stage":"emptied","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    assert_plan_json(
        plan(Order::Expedite, Stage::Drained, None),
        concat!(
            r#"{"site":"north","number":3,"order":"hurried","by_ms":1800000000000,"stage":"retired","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    assert_plan_json(
        plan(Order::Cancel, Stage::Restored, None),
        concat!(
            r#"{"site":"north","number":3,"order":"taken_back","by_ms":1800000000000,"stage":"back","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
}

#[test]
fn report_with_every_field() {
    let open_work = OpenWork { sessions: 11, requests: 12, outcomes: 13, primaries: 14 };
    let status =
        DrainStatus { version: (5, 6).into(), number: 3, weight: 750, stage: Stage::Moving, open_work };
    let report = DrainReport {
        site: "east".into(),
        interval_ms: 1000,
        ended: 200,
        within_objective: 190,
        session_reads: 150,
        round_trips_ms: [("north".to_owned(), 12), ("west".to_owned(), 30)].into(),
        statuses: [("north".to_owned(), status)].into(),
        commands: vec![command(Order::Run), command(Order::Cancel)],
    };
    assert_report_json(
        report,
        concat!(
            r#"{"site":"east","over_ms":1000,"ended":200,"in_time":190,"bound":150,"#,
            r#""trips":{"north":12,"west":30},"keeps":{"north":{"place":[5,6],"number":3,"#,
            r#""weight":750,"stage":"moving","open":{"sessions":11,"tasks":12,"fates":13,"#,
            r#""groups":14}}},"words":[{"site":"north","number":3,"order":"goes","#,
            r#""by_ms":1800000000000},{"site":"north","number":3,"order":"taken_back","#,
            r#""by_ms":1800000000000}]}"#
        ),
    );
}

#[test]
fn report_of_a_proxy_that_is_not_a_gateway() {
    assert_report_json(
        DrainReport::default(),
        concat!(
            r#"{"site":"","over_ms":0,"ended":0,"in_time":0,"bound":0,"trips":{},"keeps":{},"#,
            r#""words":[]}"#
        ),
    );
}

fn received(received_at: i64, report: DrainReport) -> ReceivedReport {
    ReceivedReport { incarnation: 1, received_at, report }
}

/// Returns the plans of a lease holder that receives reports of one proxy of each site. A plan is listed only
/// if its stage or wait text differs from the plan before.
fn distinct_plans(order: Order) -> Vec<String> {
    let mut coordinator = DrainCoordinator::new(0, 10 * SECOND);
    let mut distinct: Vec<Plan> = Vec::new();
    let mut in_force: Vec<(Plan, DirectiveVersion)> = Vec::new();
    for second in 100..160 {
        let now = second * SECOND;
        let open_work = OpenWork { sessions: u64::from(second < 150), ..OpenWork::default() };
        let status = |(plan, version): &(Plan, DirectiveVersion)| {
            let status = DrainStatus {
                version: *version,
                number: 3,
                weight: plan.weight,
                stage: plan.stage,
                open_work,
            };
            (plan.command.site.clone(), status)
        };
        let weight = in_force.first().map_or(1000, |(plan, _)| plan.weight);
        let report = |site: &str, reads: u32| DrainReport {
            site: site.to_owned(),
            interval_ms: 1000,
            ended: 1000,
            within_objective: 1000,
            session_reads: reads,
            statuses: in_force.iter().map(status).collect(),
            commands: vec![command(order)],
            ..DrainReport::default()
        };
        let reports: BTreeMap<String, ReceivedReport> = [
            ("d1".to_owned(), received(now, report("north", weight))),
            ("d2".to_owned(), received(now, report("east", 1000))),
        ]
        .into();
        let plans = coordinator.decide(now, 1_700_000_000_000, &reports, &["d1", "d2"], &in_force);
        for plan in &plans {
            let last = distinct.last();
            if last.is_none_or(|last| (last.stage, &last.wait_text) != (plan.stage, &plan.wait_text)) {
                distinct.push(plan.clone());
            }
        }
        in_force = plans
            .into_iter()
            .map(|plan| (plan, DirectiveVersion { term: 1, number: second as u64 }))
            .collect();
    }
    let json = |plan: &Plan| String::from_utf8(plan.encode()).unwrap();
    distinct.iter().map(json).collect()
}

#[test]
fn plans_decided_until_a_site_is_drained() {
    assert_eq!(
        distinct_plans(Order::Run),
        [
            concat!(
                r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"#,
                r#""stage":"moving","weight":1000,"shares":{"east":1000}}"#
            ),
            concat!(
                r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"#,
                r#""stage":"emptied","weight":0,"shares":{"east":1000},"waits":"its decree to go round"}"#
            ),
            concat!(
                r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"#,
                r#""stage":"emptied","weight":0,"shares":{"east":1000},"waits":"drivers that have something there: d1 d2"}"#
            ),
            concat!(
                r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"#,
                r#""stage":"retired","weight":0,"shares":{"east":1000}}"#
            )
        ]
    );
}

#[test]
fn plan_of_a_paused_drain() {
    assert_eq!(
        distinct_plans(Order::Pause),
        [concat!(
            r#"{"site":"north","number":3,"order":"held","by_ms":1800000000000,"#,
            r#""stage":"moving","weight":1000,"shares":{"east":1000},"waits":"the operator's word"}"#
        )]
    );
}
