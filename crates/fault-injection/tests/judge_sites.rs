//! The judges on sites that retire, on planted histories.

use aldermill_fault_injection::history::{At, Event, How, tries};
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::sites::judge;

fn plan(faults: &str) -> Plan {
    let text = format!(
        r#"{{"name":"a","drivers":3,"sites":3,"members":3,"groups":1,"load":0.1,"seconds":5,"keeps":true,"faults":[{faults}]}}"#
    );
    Plan::parse(&text).unwrap()
}

fn decreed(at: At, stage: &str) -> (At, Event) {
    let says = format!(r#"{{"site":"s1","stage":"{stage}"}}"#);
    (at, Event::Decreed { driver: 0, about: "retire/s1".to_owned(), place: (1, 1), says })
}

/// A read of session 1, whose site is s1, at a member of this site.
fn read(at: At, id: u64, member: usize) -> Vec<(At, Event)> {
    let (driver, wait) = (1, 1_500_000);
    vec![
        (at, Event::Bound { id, session: 1 }),
        (at, Event::Asked { id, driver, class: 0, group: 0, wait, first: at, after: None }),
        (at, Event::Reached { id, driver: member, member }),
        (at, Event::Ran { id, member, age: 0 }),
        (at, Event::Answered { id, driver, how: How::Served }),
    ]
}

fn rules(faults: &str, events: Vec<Vec<(At, Event)>>) -> Vec<u8> {
    let events = events.concat();
    let mut broken = Vec::new();
    judge(&mut broken, &plan(faults), &events, &tries(&events));
    broken.iter().map(|broken| broken.rule).collect()
}

#[test]
fn sessions_that_move_twice_and_what_comes_to_a_retired_site_are_found() {
    const S: At = 1_000_000;
    let moves = vec![decreed(0, "moving")];
    assert!(rules("", vec![moves.clone(), read(1, 1, 1), read(S, 2, 2), read(S + 9, 3, 1)]).is_empty());
    assert_eq!(rules("", vec![read(1, 1, 1), read(S, 2, 2)]), [11], "its site stays");
    let back = vec![moves.clone(), read(S, 1, 2), read(4 * S, 2, 1)];
    assert_eq!(rules("", back.clone()), [11]);
    let cut = r#"{"at_ms":1,"do":{"site_cut":{"site":1,"for_ms":1}}}"#;
    assert!(rules(cut, back).is_empty());
    let on = vec![moves.clone(), read(S, 1, 2), read(4 * S, 2, 0)];
    assert_eq!(rules("", on.clone()), [11]);
    assert!(rules(r#"{"at_ms":1,"do":{"site_down":{"site":2,"down_ms":1}}}"#, on).is_empty());
    let retired = vec![decreed(3 * S, "retired")];
    assert_eq!(rules("", vec![moves.clone(), retired.clone(), read(3 * S + 1, 1, 1)]), [12]);
    let again = vec![decreed(4 * S, "moving")];
    assert!(rules("", vec![moves, retired, again, read(5 * S, 1, 1)]).is_empty());
}
