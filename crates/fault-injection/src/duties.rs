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
