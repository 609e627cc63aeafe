//! The judges on duties, on planted histories.

use aldermill_fault_injection::duties::{hand_overs, judge, measure};
use aldermill_fault_injection::figures::Figures;
use aldermill_fault_injection::history::{At, Event};

fn holds(at: At, driver: usize, term: u64, asked: At) -> (At, Event) {
    (at, Event::Holds { driver, duty: "zones".to_owned(), term, asked })
}

fn decreed(driver: usize, place: (u64, u64)) -> (At, Event) {
    (0, Event::Decreed { driver, about: "zones/a".to_owned(), place, says: String::new() })
}

fn rules(events: &[(At, Event)]) -> Vec<u8> {
    let mut broken = Vec::new();
    judge(&mut broken, events);
    broken.iter().map(|broken| broken.rule).collect()
}

#[test]
fn two_holders_and_decrees_out_of_order_are_found() {
    assert!(
        rules(&[holds(10, 0, 1, 9), holds(20, 1, 2, 15), holds(21, 0, 1, 18)]).is_empty(),
        "asked before"
    );
    assert_eq!(rules(&[holds(10, 0, 1, 9), holds(20, 1, 2, 15), holds(30, 0, 1, 25)]), [9]);
    assert_eq!(rules(&[holds(10, 0, 1, 9), holds(20, 1, 1, 15)]), [9]);
    assert_eq!(rules(&[decreed(0, (2, 1)), decreed(0, (1, 9))]), [10]);
    let started = (0, Event::Started { driver: 0 });
    assert!(rules(&[decreed(0, (2, 1)), started, decreed(0, (1, 9))]).is_empty());
    let mut figures = Figures::default();
    let held =
        [holds(0, 0, 1, 0), holds(100_000, 0, 1, 0), holds(1_300_000, 1, 2, 0), holds(2_000_000, 1, 2, 0)];
    measure(&mut figures, &held);
    assert_eq!((figures.held, figures.longest_unheld_ms), (Some(1.0 - 15.0 / 20.0), 1_000));
    let strike = |at, driver: usize| (at, Event::Fault { text: format!("n{driver} holds zones") });
    let struck = [held[0].clone(), strike(50_000, 0), held[1].clone(), held[2].clone(), strike(2_000_000, 1)];
    hand_overs(&mut figures, &struck);
    assert_eq!(figures.handed_over_ms, [1_250, -1]);
}
