use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// What a driver has of a site that retires: sessions bound there, requests out, fates that are open and
/// promises not over, groups whose primary it believes there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    pub sessions: u64,
    #[serde(rename = "tasks")]
    pub requests: u64,
    pub fates: u64,
    pub groups: u64,
}

impl Open {
    pub fn is_nothing(&self) -> bool {
        *self == Open::default()
    }
}

/// What 'retired' still lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Left {
    /// Of these drivers, which still have something, or have not said under this plan that they have nothing.
    Drivers(Vec<String>),
    /// Drivers that are not heard and may still act: until then.
    Until(Micros),
    Nothing,
}

#[derive(Clone, Debug)]
struct Word {
    start: u64,
    /// Under which term and number of the plan.
    plan: (u64, u64),
    open: Open,
    at: Micros,
}

/// Gathers what drivers say, and tells when nothing is left.
///
/// Protects effects and sessions from a site that is switched off while a driver that nobody hears still sends there. Harms
/// an operator in a hurry by the longest time that such a driver could act.
#[derive(Clone, Debug, Default)]
pub struct Farewell {
    words: BTreeMap<String, Word>,
    /// Drivers that are not heard any more, and until when they may act: a request's limit and a decree's
    /// life after they were.
    silent: BTreeMap<String, Micros>,
    /// The longest time for which a driver that hears nobody goes on by what it knew.
    acts: Micros,
}

impl Farewell {
    /// `acts` is the longest of a request's limit, a promise and a decree's life.
    pub fn start(acts: Micros) -> Farewell {
        Farewell { acts, ..Farewell::default() }
    }

    /// A driver said what it has, when it knew of this plan.
    pub fn hear(&mut self, now: Micros, driver: &str, start: u64, plan: (u64, u64), open: Open) {
        let known = self.words.get(driver).map(|word| (word.start, word.plan));
        if known.is_none_or(|known| (start, plan) >= known) {
            self.words.insert(driver.to_owned(), Word { start, plan, open, at: now });
            self.silent.remove(driver);
        }
    }

    /// A driver is taken for dead, or was never heard: it may act until it is past all that it could hold.
    pub fn lost(&mut self, now: Micros, driver: &str) {
        let heard = self.words.remove(driver);
        if heard.is_some_and(|word| word.open.is_nothing() && now - word.at > self.acts) {
            return;
        }
        self.silent.entry(driver.to_owned()).or_insert(now + self.acts);
    }

    /// What is left, where these live and the plan of this term and number has emptied the site. Words count for `fresh`.
    pub fn left<'a>(
        &self,
        now: Micros,
        plan: (u64, u64),
        living: impl IntoIterator<Item = &'a str>,
        fresh: Micros,
    ) -> Left {
        let said = |driver: &&str| {
            let word = self.words.get(*driver);
            word.is_some_and(|word| word.plan >= plan && word.open.is_nothing() && now - word.at <= fresh)
        };
        let open: Vec<String> =
            living.into_iter().filter(|driver| !said(driver)).map(str::to_owned).collect();
        if !open.is_empty() {
            return Left::Drivers(open);
        }
        match self.silent.values().max() {
            Some(&until) if now < until => Left::Until(until),
            _ => Left::Nothing,
        }
    }
}
