use std::collections::BTreeMap;

use crate::{Micros, Place, Plan, Stage};

/// How long a driver goes on by what it knew once the decree has run out.
const GOES_ON: Micros = 15_000_000;

/// What one driver keeps to: of each site the newest plan that it heard of.
///
/// What moved stays moved when the decree runs out: a session that came back for want of news would move twice. Only what a
/// driver may start at its own site ends some time after, so that others can say 'retired' without having heard it.
#[derive(Clone, Debug, Default)]
pub struct Obeyed {
    plans: BTreeMap<String, (Plan, Place, Micros)>,
}

impl Obeyed {
    /// With what was kept of an earlier start, as if heard just now.
    pub fn start(now: Micros, kept: impl IntoIterator<Item = Plan>) -> Obeyed {
        let plans = kept.into_iter().map(|plan| (plan.word.site.clone(), (plan, (0, 0), now)));
        Obeyed { plans: plans.collect() }
    }

    /// What was kept of an earlier start, where that could be read only now: what was heard meanwhile follows it.
    pub fn read(&mut self, now: Micros, kept: impl IntoIterator<Item = Plan>) {
        for plan in kept {
            let heard = self.plans.insert(plan.word.site.clone(), (plan, (0, 0), now));
            if let Some((plan, place, heard)) = heard {
                self.hear(heard, plan, place);
            }
        }
    }

    /// How long after a driver was last heard it may start anything at its own site: `lasts` is a decree's life.
    pub fn acts(lasts: Micros) -> Micros {
        lasts + GOES_ON
    }

    /// A decree in force. Says whether anything has changed that is to be kept.
    pub fn hear(&mut self, now: Micros, plan: Plan, place: Place) -> bool {
        // What the next step waits for changes nothing here.
        let plan = Plan { waits: None, ..plan };
        let known = self.plans.get_mut(&plan.word.site);
        match known {
            Some((_, at, _)) if place < *at => false,
            // A word that was taken back by a later one does not return with an old holder's decree.
            Some((old, at, _)) if *at == (0, 0) && plan.word.number < old.word.number => false,
            Some((old, at, heard)) => {
                (*at, *heard) = (place, now);
                let plan = old.followed_by(plan);
                let news = *old != plan;
                *old = plan;
                news
            }
            None => {
                self.plans.insert(plan.word.site.clone(), (plan, place, now));
                true
            }
        }
    }

    pub fn plan(&self, site: &str) -> Option<&Plan> {
        self.plans.get(site).map(|(plan, ..)| plan)
    }

    pub fn place(&self, site: &str) -> Option<Place> {
        self.plans.get(site).map(|(_, place, _)| *place)
    }

    /// What is to be kept over a restart.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values().map(|(plan, ..)| plan)
    }

    /// What to act by now, at this site.
    ///
    /// Protects sessions and effects from a driver of a site that others said is retired, and that hears nobody. Harms clients
    /// there: those whose sessions had not moved yet are carried to the others all at once, or denied where none is reached.
    pub fn acting(&self, now: Micros, own: &str) -> Vec<Plan> {
        let acting = |(plan, _, heard): &(Plan, Place, Micros)| {
            let fenced = plan.word.site == own && now - heard > GOES_ON && plan.stage != Stage::Back;
            match fenced {
                true => Plan { weight: 0, stage: Stage::Retired, ..plan.clone() },
                false => plan.clone(),
            }
        };
        self.plans.values().map(acting).filter(|plan| plan.stage != Stage::Back).collect()
    }
}
