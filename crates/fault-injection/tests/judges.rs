//! Each judge finds its rule broken by a process that breaks it, and nothing at one that does not.

use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::run_of;

/// The rules found broken where the scripted driver breaks one.
fn found(how: &str, more: &str) -> Vec<u8> {
    let text = format!(r#"{{"name":"{how}","drivers":3,"seconds":4,"load":0.08,{more}}}"#);
    let text = if more.contains("\"load\"") { text.replace("\"load\":0.08,", "") } else { text };
    let program = [env!("CARGO_BIN_EXE_aldermill-fault-injection-breaker").into(), how.into()];
    let run = run_of(&program, &Plan::parse(&text).unwrap(), 1, None).unwrap();
    let mut rules: Vec<u8> = run.verdict.broken.iter().map(|broken| broken.rule).collect();
    rules.dedup();
    eprintln!("{how}: {rules:?}");
    if rules.is_empty() {
        eprintln!("{}", report::table(&run));
    }
    rules
}

const NOTHING: &str = r#""faults":[]"#;
const DRAIN: &str = r#""faults":[{"at_ms":1000,"do":{"drain":{"group":0,"gone_ms":500}}}]"#;

#[test]
fn one_that_serves_plainly_breaks_nothing() {
    assert!(found("sound", DRAIN).is_empty());
}

#[test]
fn answers_that_never_come_and_what_comes_behind_them() {
    assert_eq!(found("mute", NOTHING), [1]);
    assert_eq!(found("behind", NOTHING), [1]);
}

#[test]
fn effects_twice_attempts_at_once_and_rejections_of_what_ran() {
    assert_eq!(found("twice", NOTHING), [2]);
    assert_eq!(found("both", NOTHING), [2]);
    assert_eq!(found("denied", NOTHING), [2]);
}

#[test]
fn work_at_what_drains() {
    assert_eq!(found("drained", DRAIN), [3]);
}

#[test]
fn cold_members_that_are_pushed_over() {
    let cold = r#""load":0.9,"bearing":{"workers":1,"warm_ms":4000,"queue":1000},
        "faults":[{"at_ms":1000,"do":{"kill_members":{"share":1.0,"down_ms":300}}}]"#;
    assert!(found("sound", cold).contains(&4));
}

#[test]
fn reads_of_what_is_too_old() {
    assert_eq!(found("sound", r#""bearing":{"lag_ms":1600}"#), [5]);
}

#[test]
fn attempts_when_their_clients_have_gone() {
    assert_eq!(found("late", NOTHING), [6]);
}

#[test]
fn processes_that_end_by_themselves_or_do_not_move() {
    assert!(found("ends", NOTHING).contains(&7));
    let moved = r#""faults":[{"at_ms":300,"do":{"move_list":{"share":0.4}}}]"#;
    assert_eq!(found("sound", moved), [7]);
}
