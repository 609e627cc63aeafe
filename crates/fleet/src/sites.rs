//! What is right of sites that retire, from the members' end and by what drivers said of decrees.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::drivers::site;
use crate::figures::Figures;
use crate::history::{At, Event, How, Try};
use crate::judge::Broken;
use crate::plan::{Order, Plan, What};
use crate::terms::OFFERINGS;

/// By when a decree is known to all that live and are joined.
const SPREADS: At = 2_000_000;

/// When each stage of a site was first heard of anywhere, and what it was then.
fn stages(events: &[(At, Event)]) -> BTreeMap<&str, Vec<(At, String)>> {
    let mut stages: BTreeMap<&str, Vec<(At, String)>> = BTreeMap::new();
    for (at, event) in events {
        let Event::Decreed { about, says, .. } = event else { continue };
        let Some(site) = about.strip_prefix("retire/").filter(|site| !site.is_empty()) else { continue };
        let Ok(body) = serde_json::from_str::<Value>(says) else { continue };
        let stage = body["stage"].as_str().unwrap_or_default().to_owned();
        let known = stages.entry(site).or_default();
        if known.last().is_none_or(|(_, last)| *last != stage) {
            known.push((*at, stage));
        }
    }
    stages
}

/// Where a plan lets sessions go otherwise: back to the site that they left, or from one survivor to another.
struct Excused {
    back: bool,
    on: bool,
}

impl Excused {
    fn of(plan: &Plan) -> Excused {
        let any = |of: fn(&What) -> bool| plan.faults.iter().any(|fault| of(&fault.what));
        let taken_back = any(|what| matches!(what, What::Retire { order: Order::TakenBack, .. }));
        let cut = any(|what| matches!(what, What::SiteCut { .. }));
        // Without a folder a new process knows nothing until it hears.
        let forgets = !plan.keeps && any(|what| matches!(what, What::Kill { .. } | What::Holder { .. }));
        let lost = any(|what| {
            matches!(
                what,
                What::SiteDown { .. } | What::Kill { .. } | What::Stop { .. } | What::Holder { .. }
            )
        });
        Excused { back: taken_back || cut || forgets, on: taken_back || cut || lost }
    }
}

/// Rule 11: a session is answered at its own site, and once that hands it on at one other. Rule 12: nothing comes to a site
/// that was said to be retired.
pub fn judge(broken: &mut Vec<Broken>, plan: &Plan, events: &[(At, Event)], tries: &HashMap<u64, Try>) {
    if plan.sites < 2 {
        return;
    }
    let at_site = |member: usize| member % plan.members % plan.sites;
    let stages = stages(events);
    let excused = Excused::of(plan);
    let mut went: BTreeMap<usize, Vec<(At, usize)>> = BTreeMap::new();
    for (_, event) in events {
        let Event::Bound { id, session } = event else { continue };
        let Some(one) = tries.get(id) else { continue };
        let replicas_do = matches!(OFFERINGS[one.offering].need, "loose" | "recent");
        let own = session % plan.drivers % plan.sites;
        // A client that another site's front took is that site's.
        let at_home = one.driver % plan.sites == own;
        if let (Some((_, member, _)), Some((_, How::Honoured))) = (one.ran.last(), one.answered)
            && replicas_do
            && at_home
        {
            went.entry(*session).or_default().push((one.asked, at_site(*member)));
        }
    }
    for (session, mut went) in went {
        went.sort_unstable();
        let own = session % plan.drivers % plan.sites;
        let first = went.iter().find(|(_, at)| *at != own).copied();
        let Some((moved, to)) = first else { continue };
        let mut found = |at: At, what: String| broken.push(Broken { rule: 11, at_ms: at / 1000, what });
        if !stages.contains_key(site(own).as_str()) {
            found(moved, format!("session {session} was answered at {}, and its site stays", site(to)));
            continue;
        }
        let late = went.iter().filter(|(at, _)| *at > moved + SPREADS);
        for &(at, other) in late {
            let may = if other == own { excused.back } else { other == to || excused.on };
            if !may {
                let what = format!(
                    "session {session} left {} for {}, and then {}",
                    site(own),
                    site(to),
                    site(other)
                );
                found(at, what);
                break;
            }
        }
    }
    for (name, stages) in stages {
        let retired = stages.iter().enumerate().filter(|(_, (_, stage))| stage == "retired");
        for (at, (from, _)) in retired {
            let to = stages.get(at + 1).map_or(At::MAX, |(to, _)| *to);
            let new = events.iter().find_map(|(when, event)| match event {
                Event::Reached { id, driver, member }
                    if site(at_site(*member)) == *name && (*from..to).contains(when) =>
                {
                    Some((*when, format!("task {id} of n{driver} reached {name}, which is retired")))
                }
                _ => None,
            });
            broken.extend(new.map(|(at, what)| Broken { rule: 12, at_ms: at / 1000, what }));
        }
    }
}

/// From the first word to the site's being empty, and retired.
pub fn measure(figures: &mut Figures, plan: &Plan, events: &[(At, Event)]) {
    let said = plan.faults.iter().find(|fault| matches!(fault.what, What::Retire { .. }));
    let first =
        events.iter().find(|(_, event)| matches!(event, Event::Asked { .. })).map_or(0, |(at, _)| *at);
    let Some(said) = said.map(|fault| first + fault.at_ms as At * 1000) else { return };
    let stages = stages(events);
    let when = |wanted: &str| {
        let all = stages.values().flatten();
        all.filter(|(_, stage)| stage == wanted).map(|(at, _)| (at - said) / 1000).min()
    };
    (figures.emptied_ms, figures.retired_ms) = (when("emptied"), when("retired"));
}

#[cfg(test)]
mod tests {
    use super::*;

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
            (at, Event::Asked { id, driver, offering: 0, group: 0, wait, first: at, after: None }),
            (at, Event::Reached { id, driver: member, member }),
            (at, Event::Ran { id, member, age: 0 }),
            (at, Event::Answered { id, driver, how: How::Honoured }),
        ]
    }

    fn rules(faults: &str, events: Vec<Vec<(At, Event)>>) -> Vec<u8> {
        let events = events.concat();
        let mut broken = Vec::new();
        judge(&mut broken, &plan(faults), &events, &crate::history::tries(&events));
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
}
