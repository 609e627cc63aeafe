//! Zones that are lost or come and go, among processes that decide in common.

use std::collections::BTreeSet;

use aldermill_fault_injection::history::Event;
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};

fn play(seconds: f64, faults: &str) -> Run {
    let text = format!(
        r#"{{"name":"zones","drivers":9,"voters":3,"zones":3,"members":6,"load":0.3,"seconds":{seconds},"fellows":true,"faults":[{faults}]}}"#
    );
    let run = run(&Plan::parse(&text).unwrap(), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

/// Drivers that took a decree of that level on the first zone of any group.
fn took(run: &Run, level: char) -> BTreeSet<usize> {
    let of = |event: &Event| match event {
        Event::Decreed { driver, about, says, .. } if about.ends_with(".0") && says.starts_with(level) => {
            Some(*driver)
        }
        _ => None,
    };
    run.events.iter().filter_map(|(_, event)| of(event)).collect()
}

const LEFT: char = '\u{2}';
const COMING: char = '\u{3}';

#[test]
fn all_drivers_hear_that_a_zone_is_lost_and_that_it_comes_back() {
    let run = play(20.0, r#"{"at_ms":5000,"do":{"zone_lost":{"zone":0,"for_ms":5000}}}"#);
    assert_eq!(took(&run, LEFT).len(), 9, "{}", report::table(&run));
    assert_eq!(took(&run, COMING).len(), 9, "{}", report::table(&run));
}

#[test]
fn no_zone_is_left_in_calm_times_and_a_holder_that_dies_while_a_zone_is_lost_is_followed_by_another() {
    let lost = r#"{"at_ms":6000,"do":{"zone_lost":{"zone":0,"for_ms":6000}}}"#;
    let kill = r#"{"at_ms":6500,"do":{"holder":{"duty":"zones","how":"kill","for_ms":3000}}}"#;
    let run = play(18.0, &format!("{lost},{kill}"));
    let fault = run.events.iter().position(|(_, event)| matches!(event, Event::Fault { .. })).unwrap();
    let early = |event: &Event| matches!(event, Event::Decreed { about, says, .. } if about.starts_with("zones/") && says.starts_with(LEFT));
    assert!(!run.events[..fault].iter().any(|(_, event)| early(event)), "no zone is left before");
    assert!(took(&run, LEFT).len() >= 8, "{}", report::table(&run));
}
