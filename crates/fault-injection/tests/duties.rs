//! Duties and decrees among processes of which the holder fails: nobody holds one beside another, and it passes on.

use aldermill_fault_injection::history::{At, Event};
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};

fn play(seconds: f64, faults: &str, more: &str) -> Run {
    let text = format!(
        r#"{{"name":"duties","drivers":7,"voters":5,"load":0.1,"seconds":{seconds},"fellows":true,{more}"faults":[{faults}]}}"#
    );
    let run = run(&Plan::parse(&text).unwrap(), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    run
}

fn strike(at: u32, how: &str, for_ms: u32) -> String {
    format!(r#"{{"at_ms":{at},"do":{{"holder":{{"duty":"zones","how":"{how}","for_ms":{for_ms}}}}}}}"#)
}

/// The terms of a duty in the order in which they were held, and when each was seen first.
fn terms(run: &Run) -> Vec<(u64, At)> {
    let mut terms: Vec<(u64, At)> = Vec::new();
    for (at, event) in &run.events {
        if let Event::Holds { duty, term, .. } = event
            && duty == "zones"
            && terms.last().is_none_or(|last| last.0 < *term)
        {
            terms.push((*term, *at));
        }
    }
    terms
}

/// Drivers that know at the end who holds it.
fn knowing(run: &Run) -> usize {
    let last = terms(run).last().expect("it was held").0;
    let knows = |driver: usize| {
        let of = |event: &Event| matches!(event, Event::Decreed { driver: of, about, place, .. } if *of == driver && about == "zones/" && place.0 == last);
        run.events.iter().any(|(_, event)| of(event))
    };
    (0..7).filter(|&driver| knows(driver)).count()
}

#[test]
fn a_duty_passes_on_when_its_holder_is_killed_stopped_cut_off_or_told_to_end() {
    let faults = [
        strike(3_500, "kill", 800),
        strike(8_000, "stop", 4_000),
        strike(14_000, "cut_there", 4_000),
        strike(20_000, "terminate", 500),
    ];
    let run = play(24.0, &faults.join(","), r#""keeps":true,"#);
    let terms = terms(&run);
    assert!(terms.len() >= 5, "{terms:?}");
    assert_eq!(knowing(&run), 7, "{}", report::table(&run));
    assert!(run.verdict.figures.longest_unheld_ms < 2 * 1_500, "{}", report::table(&run));
}

#[test]
fn a_duty_is_not_held_by_the_smaller_part_and_comes_back_after_all_were_killed() {
    let both = strike(3_500, "cut_both", 4_000);
    let all = r#"{"at_ms":10000,"do":{"kill":{"share":1.0,"down_ms":300,"folder":"emptied"}}}"#;
    let run = play(16.0, &format!("{both},{all}"), r#""keeps":true,"#);
    let terms = terms(&run);
    assert!(terms.len() >= 3, "{terms:?}");
    assert_eq!(knowing(&run), 7, "{}", report::table(&run));
}
