use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Micros, WHOLE};

/// Each step waits for so long for what was served to confirm it.
const CONFIRM: Micros = 2_000_000;
/// The most that a step moves, of the whole site, and the least that is worth one.
const MOST: u32 = 250;
const LEAST: u32 = 10;
/// Of the room measured a part is kept.
const KEEPS: f64 = 0.9;
/// Service under that is no time to move anybody; it has to be back over the other one.
const FALLEN: f64 = 0.95;
const WELL: f64 = 0.98;
/// Of the drivers that live, how many have to be heard.
const HEARD: f64 = 0.8;

/// What an operator said of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    #[default]
    Goes,
    /// Nothing moves until another word.
    Held,
    /// Its clients come back.
    TakenBack,
    /// Service may fall: steps are confirmed by time alone. Room is kept to.
    Hurried,
}

/// What is known of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// Requests a second there, those of them that come of sessions bound to it, and how many more it was
    /// measured to bear.
    pub rate: f64,
    pub bound: f64,
    pub room: f64,
    /// The share served in time.
    pub served: f64,
    pub lives: bool,
}

/// What the holder of the duty looks at, once a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Looks {
    pub sites: BTreeMap<String, Site>,
    pub heard: usize,
    pub living: usize,
}

/// What a retirement waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waits {
    /// The last step is not confirmed yet.
    Confirmation,
    /// A survivor serves too little in time.
    Service(String),
    /// A survivor is gone.
    Survivor(String),
    /// Too few drivers are heard.
    Drivers,
    /// Nobody was measured to bear more.
    Room,
    /// The operator's word.
    Operator,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The site has so much weight left; and what the next step waits for.
    Moving { weight: u32, waits: Option<Waits> },
    /// Nobody is bound there any more: what is out comes to its end.
    Emptied,
    /// Whole again.
    Back,
}

/// A site or zone that retires, as the holder of the duty carries it on.
#[derive(Clone, Debug)]
pub struct Retirement {
    site: String,
    by: Micros,
    /// How its sessions are shared among the others; alike where nothing is said.
    shares: BTreeMap<String, u32>,
    weight: u32,
    stepped: Micros,
    /// Service fell and is not back.
    fallen: bool,
}

impl Retirement {
    /// `weight` is what stands by an earlier holder's decree, or whole.
    pub fn goes_on(now: Micros, site: &str, by: Micros, weight: u32) -> Retirement {
        let (site, shares, weight) = (site.to_owned(), BTreeMap::new(), weight.min(WHOLE));
        Retirement { site, by, shares, weight, stepped: now, fallen: false }
    }

    /// Its sessions go to the others by these weights.
    pub fn shared(mut self, shares: BTreeMap<String, u32>) -> Retirement {
        self.shares = shares;
        self
    }

    /// The operator named another time.
    pub fn is_due(&mut self, by: Micros) {
        self.by = by;
    }

    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// An earlier holder had got as far.
    pub(crate) fn has_reached(&mut self, weight: u32) {
        self.weight = self.weight.min(weight);
    }

    /// Whether what is left cannot go by the operator's time, at the pace that room allows.
    pub fn is_late(&self, now: Micros, looks: &Looks) -> bool {
        let steps = match self.step(looks) {
            0 => return self.weight > 0 && now >= self.by,
            step => self.weight.div_ceil(step),
        };
        now + Micros::from(steps) * CONFIRM > self.by
    }

    fn survivors<'a>(&'a self, looks: &'a Looks) -> impl Iterator<Item = (&'a String, &'a Site)> {
        looks.sites.iter().filter(|(name, _)| **name != self.site)
    }

    /// How much may move now, by the room of those that live.
    fn step(&self, looks: &Looks) -> u32 {
        let Some(own) =
            looks.sites.get(&self.site).filter(|own| own.lives && own.bound > 0.0 && self.weight > 0)
        else {
            // Nobody asks there, or nobody can.
            return MOST.min(self.weight);
        };
        // Of its weight of now so much is so many requests a second. Each survivor takes its share of what
        // moves, so that the one with the least room for its share bounds all.
        let share = |name: &String| f64::from(self.shares.get(name).copied().unwrap_or(WHOLE));
        let takers = || self.survivors(looks).filter(|(_, site)| site.lives);
        let all: f64 = takers().map(|(name, _)| share(name)).sum();
        let bears = takers().map(|(name, site)| site.room * all / share(name).max(1.0));
        let part = bears.fold(f64::INFINITY, f64::min) * KEEPS / own.bound;
        if all == 0.0 {
            return 0;
        }
        ((part * f64::from(self.weight)) as u32).min(MOST).min(self.weight)
    }

    /// Once a second.
    pub fn look(&mut self, now: Micros, order: Order, looks: &Looks) -> State {
        if order == Order::TakenBack {
            if self.weight < WHOLE && now - self.stepped >= CONFIRM {
                (self.weight, self.stepped) = ((self.weight + MOST).min(WHOLE), now);
            }
            return if self.weight == WHOLE {
                State::Back
            } else {
                State::Moving { weight: self.weight, waits: Some(Waits::Confirmation) }
            };
        }
        if self.weight == 0 {
            return State::Emptied;
        }
        let waits = self.waits(now, order, looks);
        let step = self.step(looks);
        let waits = waits.or((step < LEAST.min(self.weight)).then_some(Waits::Room));
        if waits.is_none() {
            (self.weight, self.stepped) = (self.weight - step, now);
        }
        if self.weight == 0 { State::Emptied } else { State::Moving { weight: self.weight, waits } }
    }

    fn waits(&mut self, now: Micros, order: Order, looks: &Looks) -> Option<Waits> {
        if order == Order::Held {
            return Some(Waits::Operator);
        }
        if (looks.heard as f64) < HEARD * looks.living as f64 {
            return Some(Waits::Drivers);
        }
        if let Some((name, _)) = self.survivors(looks).find(|(_, site)| !site.lives) {
            return Some(Waits::Survivor(name.clone()));
        }
        let wanted = if self.fallen { WELL } else { FALLEN };
        let low = self.survivors(looks).find(|(_, site)| site.served < wanted).map(|(name, _)| name.clone());
        self.fallen = low.is_some();
        if let Some(low) = low.filter(|_| order != Order::Hurried) {
            return Some(Waits::Service(low));
        }
        (now - self.stepped < CONFIRM).then_some(Waits::Confirmation)
    }
}
