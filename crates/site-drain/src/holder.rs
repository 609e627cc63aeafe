use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::{decode, encode};
use crate::{
    Farewell, Left, Looks, Malformed, Micros, Open, Order, Place, Plan, Retirement, Site, Stage, State,
    WHOLE, Waits, Word,
};

/// Of what a site was seen to serve, so much is tried.
const TRIES: f64 = 1.25;
/// What is remembered of that fades by so much a second.
const FADES: f64 = 0.998;
/// The weight of a new figure.
const NEW: f64 = 0.4;
/// Ended requests of a second from which on a share of them says something.
const ENOUGH: f64 = 5.0;
/// What a driver said counts for so long: it may have other things to tell first.
const FRESH: Micros = 6_000_000;
/// Drivers that were gone before this one came.
const EARLIER: &str = "";

/// What a driver tells the holder once a second, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Its site; empty without a gateway.
    pub site: String,
    /// Requests that ended at members of its site, and how many of them within the latency objective, over so
    /// long.
    pub over_ms: u32,
    pub ended: u32,
    pub in_time: u32,
    /// Those that would go elsewhere with their sessions.
    pub bound: u32,
    /// The round trip to other sites, in milliseconds.
    pub trips: BTreeMap<String, u32>,
    /// By site, what it keeps to, and what it has there.
    pub keeps: BTreeMap<String, Keeps>,
    /// What operators said to it.
    pub words: Vec<Word>,
}

/// Which decree on a site a driver keeps to, what that says, and what the driver has of the site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeps {
    pub place: Place,
    /// The number of the operator's word.
    pub number: u64,
    pub weight: u32,
    pub stage: Stage,
    pub open: Open,
}

impl Told {
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Told, Malformed> {
        decode(bytes)
    }
}

/// A driver's start, when it told, and what.
pub type Heard = (u64, Micros, Told);

/// One site's retirement, as this holder carries it on.
#[derive(Debug)]
struct Going {
    word: Word,
    shares: BTreeMap<String, u32>,
    retirement: Retirement,
    farewell: Farewell,
    /// Under which decree it was first said to be empty.
    emptied: Option<Place>,
    retired: bool,
}

/// The holder of the duty: what it makes of all that drivers tell it. One that does not hold it only notes who is gone.
#[derive(Debug)]
pub struct Holder {
    /// The longest for which a driver that is not heard may act, a request's limit and all that follows
    /// included.
    acts: Micros,
    gone: BTreeMap<String, Micros>,
    sites: BTreeMap<String, (Site, f64)>,
    going: BTreeMap<String, Going>,
}

impl Holder {
    pub fn start(now: Micros, acts: Micros) -> Holder {
        let gone = BTreeMap::from([(EARLIER.to_owned(), now)]);
        Holder { acts, gone, sites: BTreeMap::new(), going: BTreeMap::new() }
    }

    /// A driver is taken for dead, or has left.
    pub fn gone(&mut self, now: Micros, driver: &str) {
        self.gone.insert(driver.to_owned(), now);
        self.going.values_mut().for_each(|going| going.farewell.lost(now, driver));
    }

    /// The duty is not held any more.
    pub fn lays_down(&mut self) {
        self.sites.clear();
        self.going.clear();
    }

    /// Once a second: what is decreed now. `told` is what drivers said of late, with their starts and when they said it;
    /// `standing` what stands by decrees, `wall` is Unix milliseconds.
    pub fn decide(
        &mut self,
        now: Micros,
        wall: u64,
        told: &BTreeMap<String, Heard>,
        living: &[&str],
        standing: &[(Plan, Place)],
    ) -> Vec<Plan> {
        let acts = self.acts;
        self.gone.retain(|driver, at| now - *at <= acts && !told.contains_key(driver));
        self.measure(told);
        let sites = self.sites.iter().map(|(name, (site, _))| (name.clone(), *site)).collect();
        let looks = Looks { sites, heard: told.len(), living: living.len() };
        for (plan, _) in standing {
            if !self.going.contains_key(&plan.word.site) {
                self.goes_on(now, plan.word.clone(), plan.shares.clone(), plan.weight, plan.stage);
            }
        }
        self.catch_up(told);
        let words = told.values().flat_map(|(_, _, told)| &told.words);
        for word in words {
            if !self.sites.contains_key(&word.site) {
                continue;
            }
            match self.going.get_mut(&word.site) {
                Some(going) if word.number <= going.word.number => {}
                Some(going) => going.word = word.clone(),
                None if word.order == Order::TakenBack => {}
                // Shares are for the whole way: they wait until nearly all are heard.
                None if looks.heard * 5 < looks.living * 4 => {}
                None => {
                    let shares = self.shares(&word.site, told);
                    if !shares.is_empty() {
                        self.goes_on(now, word.clone(), shares, WHOLE, Stage::Moving);
                    }
                }
            }
        }
        let place = |site: &str| {
            standing.iter().find(|(plan, _)| plan.word.site == site && plan.stage == Stage::Emptied)
        };
        let going = self.going.values_mut();
        going
            .map(|one| one.look(now, wall, told, living, place(&one.word.site).map(|at| at.1), &looks))
            .collect()
    }

    fn goes_on(&mut self, now: Micros, word: Word, shares: BTreeMap<String, u32>, weight: u32, stage: Stage) {
        let retirement = Retirement::goes_on(now, &word.site, now, weight).shared(shares.clone());
        let mut farewell = Farewell::start(self.acts);
        self.gone.iter().for_each(|(driver, at)| farewell.lost(*at, driver));
        let (site, retired) = (word.site.clone(), stage == Stage::Retired);
        self.going.insert(site, Going { word, shares, retirement, farewell, emptied: None, retired });
    }

    /// A holder that comes after another may have missed its last steps: those that drivers took are not taken back.
    fn catch_up(&mut self, told: &BTreeMap<String, Heard>) {
        for (site, keeps) in told.values().flat_map(|(.., told)| &told.keeps) {
            let Some(going) = self.going.get_mut(site) else { continue };
            if keeps.number == going.word.number && going.word.order != Order::TakenBack {
                going.retirement.has_reached(keeps.weight);
                going.retired |= keeps.stage == Stage::Retired;
            }
        }
    }

    /// What each site does, and how much more it was seen to bear.
    fn measure(&mut self, told: &BTreeMap<String, Heard>) {
        let mut sums: BTreeMap<&str, (f64, f64, f64)> = BTreeMap::new();
        for (.., told) in told.values().filter(|(.., told)| !told.site.is_empty()) {
            let seconds = f64::from(told.over_ms.max(100)) / 1000.0;
            let (ended, in_time, bound) = sums.entry(&told.site).or_default();
            *ended += f64::from(told.ended) / seconds;
            *in_time += f64::from(told.in_time) / seconds;
            *bound += f64::from(told.bound) / seconds;
        }
        for (name, (site, bears)) in &mut self.sites {
            site.lives = sums.contains_key(name.as_str());
            *bears *= FADES;
        }
        for (name, (ended, in_time, bound)) in sums {
            let share = if ended >= ENOUGH { in_time / ended } else { 1.0 };
            let first = (Site { rate: ended, bound, room: 0.0, served: share, lives: true }, in_time);
            let (site, bears) = self.sites.entry(name.to_owned()).or_insert(first);
            site.rate += (ended - site.rate) * NEW;
            site.bound += (bound - site.bound) * NEW;
            site.served += (share - site.served) * NEW;
            let served = site.rate * site.served;
            *bears = bears.max(served);
            if site.served < 0.9 {
                // It does not bear what it was thought to.
                *bears += (served - *bears) * 0.2;
            }
            site.room = (*bears * TRIES - site.rate).max(0.0);
        }
    }

    /// By which weights the others take the sessions of a site: as much as each has room, the nearest until they have room for
    /// all of it. Those beyond take a thousandth, so that there is somebody left whoever dies.
    fn shares(&self, leaving: &str, told: &BTreeMap<String, Heard>) -> BTreeMap<String, u32> {
        let trip = |site: &String| {
            let own = told.values().filter(|(.., told)| told.site == leaving);
            own.filter_map(|(.., told)| told.trips.get(site).copied()).min().unwrap_or(u32::MAX)
        };
        let others =
            self.sites.iter().filter(|(name, _)| *name != leaving && !self.going.contains_key(*name));
        let mut others: Vec<(u32, &String, f64)> =
            others.map(|(name, (site, _))| (trip(name), name, site.room)).collect();
        others.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let rate = self.sites.get(leaving).map_or(0.0, |(site, _)| site.bound);
        let most = others.iter().map(|other| other.2).fold(f64::MIN_POSITIVE, f64::max);
        let mut found = 0.0;
        let weigh = |(_, name, room): (u32, &String, f64)| {
            let weight = if found > 0.0 && found >= rate { 0.0 } else { room / most * f64::from(WHOLE) };
            found += room;
            (name.clone(), (weight as u32).clamp(1, WHOLE))
        };
        others.into_iter().map(weigh).collect()
    }
}

impl Going {
    fn look(
        &mut self,
        now: Micros,
        wall: u64,
        told: &BTreeMap<String, Heard>,
        living: &[&str],
        empty: Option<Place>,
        looks: &Looks,
    ) -> Plan {
        let site = self.word.site.clone();
        let left = (self.word.by_ms as i64).saturating_sub(wall as i64).saturating_mul(1000);
        self.retirement.is_due(now.saturating_add(left));
        for (driver, (start, at, told)) in told {
            // One that was started anew and has not heard of the plan says nothing that counts.
            let Keeps { place, open, .. } = told.keeps.get(&site).copied().unwrap_or_default();
            self.farewell.hear(*at, driver, *start, place, open);
        }
        let late = self.retirement.is_late(now, looks);
        let plan = |stage, weight, waits| Plan {
            word: self.word.clone(),
            stage,
            weight,
            shares: self.shares.clone(),
            waits,
        };
        match self.retirement.look(now, self.word.order, looks) {
            State::Back => {
                (self.emptied, self.retired) = (None, false);
                plan(Stage::Back, WHOLE, None)
            }
            State::Moving { weight, waits } => {
                (self.emptied, self.retired) = (None, false);
                // Each step waits to be confirmed: that is nothing to tell.
                let waits = waits.filter(|waits| *waits != Waits::Confirmation);
                let waits = waits.map(|waits| say(&waits));
                let late = late.then(|| "too late for the time named, at this pace".to_owned());
                let said: Vec<String> = [waits, late].into_iter().flatten().collect();
                let waits = Some(said.join("; ")).filter(|text| !text.is_empty());
                plan(Stage::Moving, weight, waits)
            }
            State::Emptied if self.retired => plan(Stage::Retired, 0, None),
            State::Emptied => {
                self.emptied = self.emptied.or(empty);
                let left = self.emptied.map(|at| self.farewell.left(now, at, living.iter().copied(), FRESH));
                let waits = match left {
                    Some(Left::Nothing) => {
                        self.retired = true;
                        return plan(Stage::Retired, 0, None);
                    }
                    Some(Left::Drivers(names)) => {
                        format!("drivers that have something there: {}", names.join(" "))
                    }
                    Some(Left::Until(_)) => "drivers that are not heard and may act still".to_owned(),
                    None => "its decree to go round".to_owned(),
                };
                plan(Stage::Emptied, 0, Some(waits.chars().take(200).collect()))
            }
        }
    }
}

fn say(waits: &Waits) -> String {
    match waits {
        Waits::Confirmation => "the last step to be confirmed".to_owned(),
        Waits::Service(site) => format!("service at {site}"),
        Waits::Survivor(site) => format!("site {site}, which is not heard"),
        Waits::Drivers => "more drivers to be heard".to_owned(),
        Waits::Room => "room elsewhere".to_owned(),
        Waits::Operator => "the operator's word".to_owned(),
    }
}
