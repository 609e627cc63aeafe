//! Short forms of the plans on discovery, restarts and shortages, with all judges.

use aldermill_fault_injection::history::{At, Event};
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run, run_of};

/// Plays it with the built program, which has to hold.
fn holds(drivers: usize, seconds: f64, more: &str, faults: &str) -> Run {
    let run = run(&plan(drivers, seconds, more, faults), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

/// The rules found broken where a scripted driver is in the program's place.
fn found(how: &str, more: &str, faults: &str) -> Vec<u8> {
    let program = [env!("CARGO_BIN_EXE_aldermill-fault-injection-breaker").into(), how.into()];
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

/// What cold members and slow start come to while wall clocks step: all rules hold, a cold member's among them.
fn under_stepped_clocks(before_ms: i64, during_ms: i64) -> Run {
    let faults = format!(
        r#"{{"at_ms":1000,"do":{{"step_clock":{{"share":0.5,"by_ms":{before_ms}}}}}}},
        {{"at_ms":1500,"do":{{"kill_members":{{"share":0.4,"down_ms":300}}}}}},
        {{"at_ms":2600,"do":{{"step_clock":{{"share":0.5,"by_ms":{during_ms}}}}}}}"#
    );
    let more = r#""keeps":true,"fellows":true,"bearing":{"warm_ms":2500},"#;
    holds(6, 5.0, more, &faults)
}

const HOUR_MS: i64 = 3_600_000;

#[test]
fn wall_clocks_that_step_by_seconds_before_and_during_slow_start_break_no_rule() {
    under_stepped_clocks(2_000, -2_000);
    under_stepped_clocks(-2_000, 2_000);
}

#[test]
fn wall_clocks_that_step_by_an_hour_before_and_during_slow_start_break_no_rule() {
    under_stepped_clocks(HOUR_MS, -HOUR_MS);
    under_stepped_clocks(-HOUR_MS, HOUR_MS);
}

/// One of three processes starts again after all wall clocks stepped; gives back what all of them logged.
fn restarted_under_a_step(name: &str, by_ms: i64) -> String {
    let faults = format!(
        r#"{{"at_ms":800,"do":{{"step_clock":{{"share":1.0,"by_ms":{by_ms}}}}}}},
        {{"at_ms":1000,"do":{{"kill":{{"share":0.4,"down_ms":100}}}}}}"#
    );
    let folder = std::env::temp_dir().join(format!("aldermill-{name}-{}", std::process::id()));
    let run = run(&plan(3, 3.0, r#""fellows":true,"#, &faults), 1, Some(&folder)).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    let logs = (0..3).map(|driver| std::fs::read_to_string(folder.join(format!("n{driver}-log"))).unwrap());
    let logs: String = logs.collect();
    std::fs::remove_dir_all(folder).unwrap();
    logs
}

#[test]
fn wall_clocks_that_step_are_seen_by_others_when_their_processes_start_again() {
    let logs = restarted_under_a_step("ahead", HOUR_MS);
    let ahead = aldermill_test_support::unix_millis() as i64 + HOUR_MS / 2;
    let started = |line: &str| {
        let micros: i64 = line.split_once(", start: ")?.1.split(',').next()?.parse().ok()?;
        Some(micros / 1_000)
    };
    assert!(logs.lines().filter_map(started).any(|at| at > ahead), "the step was real: {logs}");
}

/// A process that started again under a wall clock set back was silent among the others for its whole life: they knew its
/// earlier start by a higher number and answered with notice of a later one. The log had `superseded by a later start of this
/// name` with the process's own address.
#[test]
fn a_process_that_starts_again_under_a_clock_set_back_is_heard_by_the_others() {
    let logs = restarted_under_a_step("set-back", -HOUR_MS);
    assert!(!logs.contains("silent from now on"), "{logs}");
}

#[test]
fn a_voter_whose_folder_fails_for_a_while_keeps_the_rules_on_leases() {
    // Where the holder that is killed is a voter, nothing is granted meanwhile without the one whose folder fails.
    let faults = r#"{"at_ms":3500,"do":{"voter_folder_fails":{"for_ms":5000}}},
        {"at_ms":4000,"do":{"move_primary":{"group":0,"election_ms":200}}},
        {"at_ms":4500,"do":{"holder":{"duty":"zones","how":"kill","for_ms":800}}},
        {"at_ms":9500,"do":{"move_primary":{"group":0,"election_ms":200}}}"#;
    let folder = std::env::temp_dir().join(format!("aldermill-voter-{}", std::process::id()));
    let more = r#""keeps":true,"fellows":true,"voters":3,"duties":["zones"],"#;
    let run = run(&plan(4, 13.0, more, faults), 1, Some(&folder)).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    let failed = run.events.iter().find_map(|(_, event)| match event {
        Event::Fault { text } => {
            text.strip_prefix("the folder of n")?.split(' ').next()?.parse::<usize>().ok()
        }
        _ => None,
    });
    let log = std::fs::read_to_string(folder.join(format!("n{}-log", failed.unwrap()))).unwrap();
    for said in ["state is not saved", "state is saved again"] {
        assert!(log.contains(said), "the failure was real, and over: {log}");
    }
    let term = |(_, event): &(At, Event)| match event {
        Event::Holds { term, .. } => Some(*term),
        _ => None,
    };
    let killed = run.events.iter().position(|(_, event)| matches!(event, Event::Killed { .. })).unwrap();
    let before = run.events[..killed].iter().filter_map(term).max();
    assert!(run.events[killed..].iter().filter_map(term).max() > before, "{}", report::table(&run));
    std::fs::remove_dir_all(folder).unwrap();
}
