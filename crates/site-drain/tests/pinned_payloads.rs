//! The JSON of reports and plans, as proxies of other versions and the store hold it.

use std::collections::BTreeMap;

use aldermill_site_drain::{Heard, Holder, Keeps, Open, Order, Plan, Stage, Told, Word};

const S: i64 = 1_000_000;

fn word(order: Order) -> Word {
    Word { site: "north".into(), number: 3, order, by_ms: 1_800_000_000_000 }
}

fn plan(order: Order, stage: Stage, waits: Option<&str>) -> Plan {
    let shares = [("east".to_owned(), 1000), ("west".to_owned(), 250)].into();
    Plan { word: word(order), stage, weight: 750, shares, waits: waits.map(str::to_owned) }
}

#[track_caller]
fn pinned_plan(plan: Plan, json: &str) {
    assert_eq!(String::from_utf8(plan.encode()).unwrap(), json);
    assert_eq!(Plan::decode(json.as_bytes()).unwrap(), plan);
}

#[track_caller]
fn pinned_report(told: Told, json: &str) {
    assert_eq!(String::from_utf8(told.encode()).unwrap(), json);
    assert_eq!(Told::decode(json.as_bytes()).unwrap(), told);
}

#[test]
fn directive_with_what_it_waits_for() {
    let waits = Some("room elsewhere");
    pinned_plan(
        plan(Order::Goes, Stage::Moving, waits),
        concat!(
            r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"stage":"moving","#,
            r#""weight":750,"shares":{"east":1000,"west":250},"waits":"room elsewhere"}"#
        ),
    );
}

#[test]
fn directive_of_each_order_and_stage() {
    pinned_plan(
        plan(Order::Goes, Stage::Moving, None),
        concat!(
            r#"{"site":"north","number":3,"order":"goes","by_ms":1800000000000,"stage":"moving","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    pinned_plan(
        plan(Order::Held, Stage::Emptied, None),
        concat!(
            r#"{"site":"north","number":3,"order":"held","by_ms":1800000000000,"stage":"emptied","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    pinned_plan(
        plan(Order::Hurried, Stage::Retired, None),
        concat!(
            r#"{"site":"north","number":3,"order":"hurried","by_ms":1800000000000,"stage":"retired","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
    pinned_plan(
        plan(Order::TakenBack, Stage::Back, None),
        concat!(
            r#"{"site":"north","number":3,"order":"taken_back","by_ms":1800000000000,"stage":"back","#,
            r#""weight":750,"shares":{"east":1000,"west":250}}"#
        ),
    );
}

#[test]
fn report_with_every_field() {
    let open = Open { sessions: 11, requests: 12, fates: 13, groups: 14 };
    let keeps = Keeps { place: (5, 6), number: 3, weight: 750, stage: Stage::Moving, open };
    let told = Told {
        site: "east".into(),
        over_ms: 1000,
        ended: 200,
        in_time: 190,
        bound: 150,
        trips: [("north".to_owned(), 12), ("west".to_owned(), 30)].into(),
        keeps: [("north".to_owned(), keeps)].into(),
        words: vec![word(Order::Goes), word(Order::TakenBack)],
    };
    pinned_report(
        told,
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
fn report_of_a_proxy_without_a_gateway() {
    pinned_report(
        Told::default(),
        concat!(
            r#"{"site":"","over_ms":0,"ended":0,"in_time":0,"bound":0,"trips":{},"keeps":{},"#,
            r#""words":[]}"#
        ),
    );
}

/// What a holder decides that hears one driver of each site, whenever the stage or what it waits for changes.
fn decisions(order: Order) -> Vec<String> {
    let mut holder = Holder::start(0, 10 * S);
    let mut decided: Vec<Plan> = Vec::new();
    let mut standing: Vec<(Plan, (u64, u64))> = Vec::new();
    for second in 100..160 {
        let now = second * S;
        let open = Open { sessions: u64::from(second < 150), ..Open::default() };
        let keeps = |(plan, place): &(Plan, (u64, u64))| {
            let keeps = Keeps { place: *place, number: 3, weight: plan.weight, stage: plan.stage, open };
            (plan.word.site.clone(), keeps)
        };
        let weight = standing.first().map_or(1000, |(plan, _)| plan.weight);
        let told = |site: &str, bound: u32| Told {
            site: site.to_owned(),
            over_ms: 1000,
            ended: 1000,
            in_time: 1000,
            bound,
            keeps: standing.iter().map(keeps).collect(),
            words: vec![word(order)],
            ..Told::default()
        };
        let heard: BTreeMap<String, Heard> = [
            ("d1".to_owned(), (1, now, told("north", weight))),
            ("d2".to_owned(), (1, now, told("east", 1000))),
        ]
        .into();
        let plans = holder.decide(now, 1_700_000_000_000, &heard, &["d1", "d2"], &standing);
        for plan in &plans {
            let last = decided.last();
            if last.is_none_or(|last| (last.stage, &last.waits) != (plan.stage, &plan.waits)) {
                decided.push(plan.clone());
            }
        }
        standing = plans.into_iter().map(|plan| (plan, (1, second as u64))).collect();
    }
    let json = |plan: &Plan| String::from_utf8(plan.encode()).unwrap();
    decided.iter().map(json).collect()
}

#[test]
fn directives_that_a_holder_issues_until_a_site_is_retired() {
    assert_eq!(
        decisions(Order::Goes),
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
fn directive_that_waits_for_the_operator() {
    assert_eq!(
        decisions(Order::Held),
        [concat!(
            r#"{"site":"north","number":3,"order":"held","by_ms":1800000000000,"#,
            r#""stage":"moving","weight":1000,"shares":{"east":1000},"waits":"the operator's word"}"#
        )]
    );
}
