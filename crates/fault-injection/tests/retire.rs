//! A site that retires, among processes at three sites.

use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};

fn play(seconds: f64, load: f64, faults: &str) -> Run {
    let text = format!(
        r#"{{"name":"retire","drivers":6,"voters":3,"sites":3,"members":6,"groups":2,"load":{load},"seconds":{seconds},"keeps":true,
            "fellows":true,"duties":["retire"],"faults":[{faults}]}}"#
    );
    let run = run(&Plan::parse(&text).unwrap(), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

const GOES: &str = r#"{"at_ms":3000,"do":{"retire":{"site":2,"order":"goes","by_s":60}}}"#;

#[test]
fn it_is_said_to_be_retired_once_nothing_is_left_though_its_holder_died_on_the_way() {
    let kill = r#"{"at_ms":6000,"do":{"holder":{"duty":"retire","how":"kill","for_ms":1500}}}"#;
    let run = play(42.0, 0.15, &format!("{GOES},{kill}"));
    let figures = &run.verdict.figures;
    assert!(figures.emptied_ms.is_some() && figures.retired_ms.is_some(), "{}", report::table(&run));
    assert!(figures.retired_ms > figures.emptied_ms, "{}", report::table(&run));
}

#[test]
fn a_site_that_has_a_primary_is_emptied_and_never_said_to_be_retired() {
    let goes = GOES.replace("\"site\":2", "\"site\":0");
    let run = play(42.0, 0.15, &goes);
    let figures = &run.verdict.figures;
    assert!(figures.emptied_ms.is_some() && figures.retired_ms.is_none(), "{}", report::table(&run));
}

#[test]
fn drivers_that_start_again_go_on_by_what_they_kept_from_their_first_request_on() {
    let down = r#"{"at_ms":17000,"do":{"site_down":{"site":2,"down_ms":300}}}"#;
    let run = play(24.0, 0.2, &format!("{GOES},{down}"));
    assert!(run.verdict.figures.emptied_ms.is_some_and(|took| took < 13_000), "{}", report::table(&run));
}

#[test]
fn what_is_taken_back_comes_back() {
    let back = GOES.replace("goes", "taken_back").replace("3000", "9000");
    let run = play(24.0, 0.15, &format!("{GOES},{back}"));
    assert!(run.verdict.figures.within_objective > 0.98, "{}", report::table(&run));
    let says = |wanted: &str| {
        let of = |event: &aldermill_fault_injection::history::Event| matches!(event, aldermill_fault_injection::history::Event::Decreed { about, says, .. } if about == "retire/s2" && says.contains(wanted));
        run.events.iter().filter(|(_, event)| of(event)).count()
    };
    assert!(says(r#""stage":"moving""#) > 0 && says(r#""stage":"back""#) >= 6, "{}", report::table(&run));
}
