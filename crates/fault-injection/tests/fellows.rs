//! Processes that know of one another, while some of them fail.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};

/// Plays a plan of ten drivers and gives back their logs.
fn play(name: &str, seconds: f64, faults: &str) -> (Run, Vec<String>) {
    let text = format!(
        r#"{{"name":"{name}","drivers":10,"load":0.1,"seconds":{seconds},"fellows":true,"faults":[{faults}]}}"#
    );
    let folder: PathBuf = std::env::temp_dir().join(format!("aldermill-{name}-{}", std::process::id()));
    let run = run(&Plan::parse(&text).unwrap(), 1, Some(&folder)).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    let log = |driver: usize| read(&folder, driver);
    let logs = (0..10).map(log).collect();
    std::fs::remove_dir_all(folder).unwrap();
    (run, logs)
}

fn read(folder: &Path, driver: usize) -> String {
    std::fs::read_to_string(folder.join(format!("n{driver}-log"))).unwrap()
}

/// Whom a log tells of in lines that say so.
fn told<'a>(log: &'a str, what: &str) -> Vec<&'a str> {
    let of = |line: &'a str| line.split_once(what)?.1.strip_prefix(", peer: ")?.split(',').next();
    log.lines().filter_map(of).collect()
}

/// Whom a driver knows at the end of its log, its last start.
fn known(log: &str) -> BTreeSet<&str> {
    let last = log.rfind(" serving,").unwrap_or(0);
    let mut known = BTreeSet::new();
    for line in log[last..].lines() {
        known.extend(told(line, "peer up"));
        known.extend(told(line, "peer restarted"));
        told(line, "peer down").into_iter().for_each(|name| {
            known.remove(name);
        });
    }
    known
}

fn name(log: &str) -> String {
    let found = log.lines().find_map(|line| line.split_once("name: n"));
    format!("n{}", found.expect("it says who it is").1.trim())
}

#[test]
fn those_that_live_find_each_other_and_know_who_died() {
    let kill = r#"{"at_ms":2000,"do":{"kill":{"share":0.3,"down_ms":8000}}}"#;
    let (_, logs) = play("deaths", 13.0, kill);
    let killed = |log: &&String| log.matches(" serving,").count() > 1;
    let (dead, alive): (Vec<&String>, Vec<&String>) = logs.iter().partition(killed);
    let dead: BTreeSet<String> = dead.into_iter().map(|log| name(log)).collect();
    assert_eq!(dead.len(), 3);
    for log in &alive {
        let down = told(log, "peer down");
        assert!(
            !down.is_empty() && down.iter().all(|name| dead.contains(*name)),
            "{down:?} of {dead:?}: {log}"
        );
    }
    assert!(logs.iter().all(|log| known(log).len() == 9), "all know of all at the end: {logs:?}");
}

/// The stalls that a process logged, in milliseconds.
fn stalls_ms(log: &str) -> impl Iterator<Item = u64> {
    let lines = log.lines().filter_map(|line| line.split_once("process stalled, ms: "));
    lines.filter_map(|(_, ms)| ms.split(',').next()?.trim().parse().ok())
}

/// The stop lasts 6 s. On a crowded machine processes that were not stopped log stalls of 50 to 69 ms, which a comparison of
/// the first digit took for it.
#[test]
fn those_that_stood_still_accuse_nobody_that_went_on() {
    let stop = r#"{"at_ms":2000,"do":{"stop":{"share":0.3,"for_ms":6000}}}"#;
    let (_, logs) = play("stills", 12.0, stop);
    let stood = |log: &&String| stalls_ms(log).any(|ms| (5_000..7_000).contains(&ms));
    let (slept, awake): (Vec<&String>, Vec<&String>) = logs.iter().partition(stood);
    assert_eq!(slept.len(), 3);
    let awake: BTreeSet<String> = awake.into_iter().map(|log| name(log)).collect();
    for log in &slept {
        let down = told(log, "peer down");
        assert!(down.iter().all(|name| !awake.contains(*name)), "{down:?} {log}");
    }
    assert!(logs.iter().all(|log| known(log).len() == 9), "{logs:?}");
}

#[test]
fn a_divided_fleet_finds_together_again_and_no_rule_is_broken() {
    let cut = r#"{"cut":{"between":"drivers_drivers","share":0.4,"way":"both","for_ms":7000}}"#;
    let (run, logs) = play("divided", 15.0, &format!(r#"{{"at_ms":2000,"do":{cut}}}"#));
    assert!(run.verdict.figures.within_objective > 0.97, "{}", report::table(&run));
    assert!(logs.iter().all(|log| !told(log, "peer down").is_empty()), "each side loses sight of the other");
    assert!(logs.iter().all(|log| known(log).len() == 9), "{logs:?}");
}
