//! What is right of sites that retire, from the members' end and by what drivers said of decrees.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::drivers::site;
use crate::figures::Figures;
use crate::history::{At, Event, How, Try};
use crate::judge::Broken;
use crate::plan::{Order, Plan, What};
use crate::terms::CLASSES;

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
        let replicas_do = matches!(CLASSES[one.class].need, "loose" | "recent");
        let own = session % plan.drivers % plan.sites;
        // A client that another site's front took is that site's.
        let at_home = one.driver % plan.sites == own;
        if let (Some((_, member, _)), Some((_, How::Served))) = (one.ran.last(), one.answered)
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
                    Some((*when, format!("request {id} of n{driver} reached {name}, which is retired")))
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
