//! Judges of what drivers make of discovery: that they ask where the list is now, and heed it in time.

use std::collections::HashMap;

use crate::history::{At, Event, Told};
use crate::judge::{Broken, GRACE, Spells};

/// By when a driver that was told to read its configuration anew has asked at the list's new place.
const MOVES: At = 3_000_000;
/// A change counts as told so long after discovery had it and could be reached, whether or not it arrived.
const COUNTS: At = 6_000_000;
/// A new place counts so long after its driver was told.
const MOVED_COUNTS: At = 4_000_000;

/// Whoever was told that the list is elsewhere now asks there. Only the new place notes who asks.
pub fn moves(broken: &mut Vec<Broken>, spells: &Spells, events: &[(At, Event)]) {
    let end = events.last().map_or(0, |(at, _)| *at);
    for (told, event) in events {
        let &Event::Moved { driver } = event else { continue };
        let by = told + MOVES;
        let asked = |(at, event): &(At, Event)| {
            let asks = matches!(event, Event::Listed { driver: other } | Event::Knocked { driver: other }
                if *other == driver);
            asks && (*told..by).contains(at)
        };
        if by < end && !spells.any(driver, *told, by) && !events.iter().any(asked) {
            let what = format!("n{driver} did not ask for the list where it is now");
            broken.push(Broken { rule: 7, at_ms: told / 1000, what });
        }
    }
}

/// Rule 3, for a driver that did not hear of a change though it could: nothing new once the change counts as told.
pub fn heard_late(broken: &mut Vec<Broken>, spells: &Spells, slack: At, events: &[(At, Event)]) {
    let mut learnt: HashMap<usize, At> = HashMap::new();
    let mut reached_since = Some(0);
    // Since when each driver might have asked.
    let mut asks_since: HashMap<usize, At> = HashMap::new();
    for (at, event) in events {
        match *event {
            Event::Learnt { member, told } if told != Told::Ready => {
                learnt.entry(member).or_insert(*at);
            }
            Event::Learnt { member, .. } => drop(learnt.remove(&member)),
            Event::Discovery { reached: false } => reached_since = None,
            Event::Discovery { reached: true } => reached_since = reached_since.or(Some(*at)),
            Event::Started { driver } => drop(asks_since.insert(driver, *at)),
            Event::Moved { driver } => drop(asks_since.insert(driver, *at + MOVED_COUNTS)),
            Event::Reached { id, driver, member } => {
                let (Some(&learnt), Some(reached)) = (learnt.get(&member), reached_since) else { continue };
                let since = learnt.max(reached).max(asks_since.get(&driver).copied().unwrap_or(0));
                if spells.awake(driver, since, *at) > COUNTS + GRACE + slack {
                    let what = format!(
                        "task {id} of n{driver} reached s-{member:02}, of whose drain it had to know by then"
                    );
                    broken.push(Broken { rule: 3, at_ms: at / 1000, what });
                }
            }
            _ => {}
        }
    }
}
