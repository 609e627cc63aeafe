//! Judges of duties and decrees: what drivers said of themselves, each asked from outside.

use std::collections::{BTreeMap, HashMap};

use crate::figures::Figures;
use crate::history::{At, Event};
use crate::judge::Broken;

/// One that was asked about a term after another had said that it holds a higher one of the same duty; one term that two
/// say they hold; and decrees that a process takes out of order.
pub fn judge(broken: &mut Vec<Broken>, events: &[(At, Event)]) {
    let mut highest: HashMap<&str, (u64, At, usize)> = HashMap::new();
    let mut by_term: HashMap<(&str, u64), usize> = HashMap::new();
    let mut places: HashMap<(usize, &str), (u64, u64)> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Holds { driver, duty, term, asked } => {
                let first = *by_term.entry((duty, *term)).or_insert(*driver);
                if first != *driver {
                    let what = format!("n{first} and n{driver} both hold {duty} under term {term}");
                    broken.push(Broken { rule: 9, at_ms: at / 1000, what });
                }
                let (high, since, by) = *highest.entry(duty).or_insert((*term, *at, *driver));
                if *term > high {
                    highest.insert(duty, (*term, *at, *driver));
                } else if *term < high && *asked > since {
                    let what =
                        format!("n{driver} holds {duty} under {term}, and n{by} held it under {high} before");
                    broken.push(Broken { rule: 9, at_ms: at / 1000, what });
                }
            }
            Event::Decreed { driver, about, place, .. } => {
                let last = places.insert((*driver, about), *place).unwrap_or_default();
                if *place < last {
                    let what = format!("n{driver} took {about} {place:?} after {last:?}");
                    broken.push(Broken { rule: 10, at_ms: at / 1000, what });
                }
            }
            // A new process knows only what its folder kept.
            Event::Started { driver } => places.retain(|(of, _), _| of != driver),
            _ => {}
        }
    }
}

/// How much of the time duties were held, in tenths of a second.
pub fn measure(figures: &mut Figures, events: &[(At, Event)]) {
    const TENTH: At = 100_000;
    let end = events.last().map_or(0, |(at, _)| at / TENTH);
    let mut held: BTreeMap<&str, Vec<At>> = BTreeMap::new();
    for (at, event) in events {
        if let Event::Holds { duty, .. } = event {
            held.entry(duty).or_default().push(at / TENTH);
        }
    }
    let (mut all, mut without) = (0, 0);
    for tenths in held.values() {
        let gaps = tenths.windows(2).map(|pair| pair[1] - pair[0]).chain([end - tenths[tenths.len() - 1]]);
        all += end - tenths[0];
        for gap in gaps {
            // Asked once in a tenth, a driver may answer in the one after the next.
            let lost = (gap - 2).max(0);
            without += lost;
            figures.longest_unheld_ms = figures.longest_unheld_ms.max(lost * TENTH / 1000);
        }
    }
    figures.held = (all > 0).then(|| 1.0 - without as f64 / all as f64);
}

/// How long each duty was without a holder that works, from each strike at its holder.
pub fn hand_overs(figures: &mut Figures, events: &[(At, Event)]) {
    let holder = |text: &str| {
        let (driver, duty) = text.strip_prefix('n')?.split_once(" holds ")?;
        Some((driver.parse::<usize>().ok()?, duty.to_owned()))
    };
    for (at, (struck, event)) in events.iter().enumerate() {
        let Event::Fault { text } = event else { continue };
        let Some((driver, duty)) = holder(text) else { continue };
        let term = |(_, event): &(At, Event)| match event {
            Event::Holds { driver, duty: of, term, .. } if *of == duty => Some((*driver, *term)),
            _ => None,
        };
        let last = events[..at].iter().rev().find_map(term).map_or(0, |(_, term)| term);
        let next = events[at..]
            .iter()
            .find(|event| term(event).is_some_and(|(other, of)| other != driver && of > last));
        figures.handed_over_ms.push(next.map_or(-1, |(at, _)| (at - struck) / 1000));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        let held = [
            holds(0, 0, 1, 0),
            holds(100_000, 0, 1, 0),
            holds(1_300_000, 1, 2, 0),
            holds(2_000_000, 1, 2, 0),
        ];
        measure(&mut figures, &held);
        assert_eq!((figures.held, figures.longest_unheld_ms), (Some(1.0 - 15.0 / 20.0), 1_000));
        let strike = |at, driver: usize| (at, Event::Fault { text: format!("n{driver} holds zones") });
        let struck =
            [held[0].clone(), strike(50_000, 0), held[1].clone(), held[2].clone(), strike(2_000_000, 1)];
        hand_overs(&mut figures, &struck);
        assert_eq!(figures.handed_over_ms, [1_250, -1]);
    }
}
