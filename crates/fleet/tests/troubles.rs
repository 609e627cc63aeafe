//! Short forms of the plans on discovery, restarts and shortages, with all judges.

use aldermill_fleet::history::Event;
use aldermill_fleet::plan::Plan;
use aldermill_fleet::report;
use aldermill_fleet::run::{Run, run, run_of};

/// Plays it with the built program, which has to hold.
fn holds(drivers: usize, seconds: f64, more: &str, faults: &str) -> Run {
    let run = run(&plan(drivers, seconds, more, faults), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

/// The rules found broken where a scripted driver is in the program's place.
fn found(how: &str, more: &str, faults: &str) -> Vec<u8> {
    let program = [env!("CARGO_BIN_EXE_aldermill-fleet-breaker").into(), how.into()];
    let run = run_of(&program, &plan(3, 4.0, more, faults), 1, None).unwrap();
    let mut rules: Vec<u8> = run.verdict.broken.iter().map(|broken| broken.rule).collect();
    rules.dedup();
    eprintln!("{how}: {rules:?}\n{}", report::table(&run));
    rules
}

fn plan(drivers: usize, seconds: f64, more: &str, faults: &str) -> Plan {
    let text = format!(
        r#"{{"name":"short","drivers":{drivers},"members":4,"load":0.1,"seconds":{seconds},{more}"faults":[{faults}]}}"#
    );
    Plan::parse(&text).unwrap()
}

fn count(run: &Run, of: impl Fn(&Event) -> bool) -> usize {
    run.events.iter().filter(|(_, event)| of(event)).count()
}

const HANG: &str = r#"{"at_ms":1500,"do":{"hang_members":{"share":1.0,"for_ms":2000}}},
    {"at_ms":1600,"do":{"terminate":{"share":1.0,"down_ms":100,"kill_after_ms":1000}}}"#;

#[test]
fn nothing_is_lost_where_members_hang_through_a_shutdown_that_is_cut_short() {
    holds(3, 4.0, r#""deadline_ms":300,"#, HANG);
}

#[test]
fn a_process_that_is_killed_late_in_its_shutdown_is_not_excused() {
    // It heeds no SIGTERM, and does not answer some requests.
    assert_eq!(found("stays", r#""deadline_ms":2000,"#, HANG), [1]);
}

#[test]
fn processes_that_run_out_of_descriptors_keep_the_rules() {
    let few = r#"{"at_ms":1200,"do":{"descriptors":{"share":1.0,"spare":0,"for_ms":800}}},
        {"at_ms":1300,"do":{"cut_at":{"between":"drivers_members","share":1.0,"way":"back","bytes":100}}},
        {"at_ms":1350,"do":{"hang_members":{"share":1.0,"for_ms":400}}},
        {"at_ms":2600,"do":{"descriptors":{"share":0.7,"spare":2,"for_ms":600}}}"#;
    let folder = std::env::temp_dir().join(format!("aldermill-few-{}", std::process::id()));
    let run = run(&plan(3, 4.0, "", few), 1, Some(&folder)).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    let log = |driver: usize| std::fs::read_to_string(folder.join(format!("n{driver}-log"))).unwrap();
    assert!((0..3).any(|driver| log(driver).contains("Too many open files")), "the shortage was real");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn processes_with_few_descriptors_from_their_start_keep_the_rules() {
    let kill = r#"{"at_ms":1500,"do":{"kill_members":{"share":0.2,"down_ms":300}}}"#;
    holds(3, 3.0, r#""descriptors":40,"#, kill);
}

#[test]
fn a_fleet_that_finds_discovery_gone_heeds_what_it_missed() {
    let outage = r#"{"at_ms":1200,"do":{"list":{"how":"gone","for_ms":2500}}},
        {"at_ms":1500,"do":{"drain":{"group":0,"gone_ms":300}}},
        {"at_ms":1700,"do":{"move_list":{"share":1.0}}},{"at_ms":1800,"do":{"move_list":{"share":1.0}}},
        {"at_ms":1900,"do":{"move_list":{"share":1.0}}},
        {"at_ms":2000,"do":{"terminate":{"share":0.4,"down_ms":100}}}"#;
    let run = holds(3, 6.0, "", outage);
    assert_eq!(count(&run, |event| matches!(event, Event::Moved { .. })), 9);
    assert!(count(&run, |event| matches!(event, Event::Knocked { .. })) >= 3, "they asked meanwhile");
    assert!(count(&run, |event| matches!(event, Event::Said { .. })) >= 3, "they heard of it afterwards");
}

#[test]
fn discovery_that_is_slow_or_crowded_is_heard() {
    for how in ["slow", "crowded"] {
        let faults = format!(
            r#"{{"at_ms":500,"do":{{"list":{{"how":"{how}","for_ms":4000}}}}}},
            {{"at_ms":1500,"do":{{"kill":{{"share":0.7,"down_ms":100}}}}}},
            {{"at_ms":2000,"do":{{"move_list":{{"share":1.0}}}}}},
            {{"at_ms":2200,"do":{{"drain":{{"group":0,"gone_ms":500}}}}}}"#
        );
        let run = holds(3, 5.0, "", &faults);
        assert!(count(&run, |event| matches!(event, Event::Said { .. })) >= 3, "{how}");
    }
}

#[test]
fn a_process_that_is_alone_restarts_while_members_drain() {
    let faults = r#"{"at_ms":1200,"do":{"drain":{"group":0,"gone_ms":400}}},
        {"at_ms":1300,"do":{"terminate":{"share":1.0,"down_ms":100}}},
        {"at_ms":2500,"do":{"kill_members":{"share":0.2,"down_ms":300}}}"#;
    holds(1, 4.0, "", faults);
}
