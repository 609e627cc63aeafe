//! Where key ranges are cut, by processes that saw the keys, of which some die; held against the true accesses.

use aldermill_fault_injection::history::{At, Event};
use aldermill_fault_injection::keys::imbalance;
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};

fn play(keys: &str, faults: &str) -> Run {
    let text = format!(
        r#"{{"name":"splits","drivers":8,"voters":3,"load":0.4,"seconds":45,"fellows":true,"keys":"{keys}","faults":[{faults}]}}"#
    );
    let run = run(&Plan::parse(&text).unwrap(), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

/// What was last decreed of a group's splits, and when.
fn last(run: &Run, group: usize) -> (At, String) {
    let about = format!("splits/{group}");
    let of = |(at, event): &(At, Event)| match event {
        Event::Decreed { about: of, says, .. } if *of == about => Some((*at, says.clone())),
        _ => None,
    };
    run.events.iter().rev().find_map(of).unwrap_or_else(|| panic!("nothing is said\n{}", report::table(run)))
}

fn cut(says: &str) -> &str {
    assert!(says.contains(r#""state":"proposed""#), "{says}");
    says.split(r#""at_text":""#).nth(1).unwrap().split('"').next().unwrap()
}

#[test]
fn the_cut_of_a_hot_range_is_as_good_as_the_best_though_drivers_die_and_the_holder_with_them() {
    let kill = r#"{"at_ms":8000,"do":{"kill":{"share":0.3,"down_ms":2000}}}"#;
    let holder = r#"{"at_ms":36000,"do":{"holder":{"duty":"splits","how":"kill","for_ms":1000}}}"#;
    let run = play("hot_range", &format!("{kill},{holder}"));
    let (at, says) = last(&run, 0);
    let off = imbalance(&run.events, 0, (at - 20_000_000, at), cut(&says).as_bytes());
    assert!(off < 1.15, "{off}: {says}");
}

#[test]
fn one_hot_key_is_named_and_nothing_is_proposed() {
    let run = play("hot_key", "");
    let says = last(&run, 0).1;
    assert!(says.contains("one key has most of it") && says.contains("k000777"), "{says}");
}
