use std::collections::{BTreeMap, BTreeSet};

use crate::frame::ZoneReport;
use crate::{Group, OutcomeCounts, Zone};

/// Attempts of a second, all drivers together, under which nothing is concluded, and drivers.
const LEAST: u32 = 12;
const DRIVERS: usize = 2;
/// So many attempts that find nobody are enough, since drivers soon stop asking there.
const NOBODY: u32 = 4;
/// A zone serves in time from this share on, and does not under that one; between them all stays as it is.
pub const WELL: f64 = 0.95;
pub const BADLY: f64 = 0.85;
/// From this share on attempts met nobody.
const MUTE: f64 = 0.5;
/// A driver whose share in time is this much under the median of its zone's, at all zones alike, is itself ill.
const ILL: f64 = 0.3;
/// How fast what a zone was seen to bear is forgotten, a second.
const FADES: f64 = 0.998;

/// What is the matter with one zone, as its own drivers and the others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneVerdict {
    /// Too few attempts, or drivers, to say.
    Unknown,
    Well,
    /// It serves neither well nor badly.
    Between,
    /// Most attempts of its own drivers find nobody, and so do those of others.
    Lost,
    /// Its own drivers are served, and others find nobody: the way between is gone.
    CutOff,
    /// Its own drivers are not served in time, though somebody is there.
    Crowded,
    /// Some of its drivers are served and some are not: their ways differ, and moving all would help few.
    Some,
}

/// What is known of one zone of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneView {
    pub finding: ZoneVerdict,
    /// By its own drivers: what they ask of it and of others, attempts a second.
    pub asked: f64,
    /// What was sent to it by all, and served in time, a second.
    pub sent: f64,
    pub served: f64,
    /// The most that it was seen to serve in time of late, a second.
    pub bears: f64,
    /// How many drivers stand behind this.
    pub drivers: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    seen: OutcomeCounts,
    a_second: f64,
    in_time_a_second: f64,
    drivers: usize,
}

/// All drivers' reports, put together. Drivers that are not heard are missing; they never count as having seen nothing.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The most that each zone served in time, a second.
    bears: BTreeMap<(Group, Zone), f64>,
    views: BTreeMap<(Group, Zone), ZoneView>,
    /// Drivers set aside as ill themselves.
    ill: BTreeSet<String>,
}

impl Evidence {
    pub fn views(&self) -> &BTreeMap<(Group, Zone), ZoneView> {
        &self.views
    }

    pub fn ill(&self) -> &BTreeSet<String> {
        &self.ill
    }

    /// Takes in what all drivers told of the last second or so, each under its name.
    pub fn take(&mut self, told: &BTreeMap<String, Vec<ZoneReport>>) {
        self.ill = ill(told);
        let well: BTreeMap<&String, &Vec<ZoneReport>> =
            told.iter().filter(|(name, _)| !self.ill.contains(*name)).collect();
        // By group, asking and asked zone; and each driver's own sight of its own zone.
        let mut rates: BTreeMap<(Group, Zone, Zone), Rate> = BTreeMap::new();
        let mut near: BTreeMap<(Group, Zone), Vec<OutcomeCounts>> = BTreeMap::new();
        for told in well.values().flat_map(|parts| parts.iter()) {
            let seconds = (told.over as f64 / 1e6).max(0.2);
            for row in &told.rows {
                let rate = rates.entry((row.group, told.zone, row.zone)).or_default();
                rate.seen.add(&row.seen);
                rate.a_second += f64::from(row.seen.attempts) / seconds;
                rate.in_time_a_second += f64::from(row.seen.in_time) / seconds;
                rate.drivers += 1;
                if told.zone == row.zone && row.seen.attempts > 0 {
                    near.entry((row.group, row.zone)).or_default().push(row.seen);
                }
            }
        }
        let groups: BTreeSet<Group> = rates.keys().map(|&(group, ..)| group).collect();
        let zones: BTreeSet<Zone> = rates.keys().flat_map(|&(_, from, to)| [from, to]).collect();
        self.bears.values_mut().for_each(|bears| *bears *= FADES);
        self.views.clear();
        for &group in &groups {
            for &zone in &zones {
                let sum = |of: &dyn Fn(Zone, Zone) -> bool| {
                    let mut all = Rate::default();
                    for (_, rate) in
                        rates.iter().filter(|((of_group, from, to), _)| *of_group == group && of(*from, *to))
                    {
                        all.seen.add(&rate.seen);
                        all.a_second += rate.a_second;
                        all.in_time_a_second += rate.in_time_a_second;
                        all.drivers += rate.drivers;
                    }
                    all
                };
                let own = sum(&|from, to| from == zone && to == zone);
                let others = sum(&|from, to| from != zone && to == zone);
                let asked = sum(&|from, _| from == zone).a_second;
                let (sent, served) =
                    (own.a_second + others.a_second, own.in_time_a_second + others.in_time_a_second);
                let drivers = near.get(&(group, zone)).map_or(&[][..], Vec::as_slice);
                let finding = find(&own, &others, drivers);
                let bears = self.bears.entry((group, zone)).or_default();
                *bears = bears.max(served);
                // What it does not serve now it does not bear now, whatever it once did.
                if matches!(finding, ZoneVerdict::Crowded | ZoneVerdict::Lost) {
                    *bears += (served - *bears) * 0.2;
                }
                let view = ZoneView {
                    finding,
                    asked,
                    sent,
                    served,
                    bears: *bears,
                    drivers: own.drivers + others.drivers,
                };
                self.views.insert((group, zone), view);
            }
        }
    }
}

/// Drivers that are served badly wherever they ask, while others of their zone are not.
///
/// Protects zones from one driver's word, however loud. Harms a zone of which most drivers are ill: then they are the median.
fn ill(told: &BTreeMap<String, Vec<ZoneReport>>) -> BTreeSet<String> {
    let mut shares: BTreeMap<Zone, Vec<(f64, &String)>> = BTreeMap::new();
    for (name, parts) in told {
        let mut by_zone: BTreeMap<Zone, OutcomeCounts> = BTreeMap::new();
        for row in parts.iter().flat_map(|told| &told.rows) {
            by_zone.entry(row.zone).or_default().add(&row.seen);
        }
        // Where it fares best.
        let best = by_zone
            .values()
            .filter(|seen| seen.attempts > 0)
            .map(OutcomeCounts::share_in_time)
            .reduce(f64::max);
        if let (Some(first), Some(best)) = (parts.first(), best) {
            shares.entry(first.zone).or_default().push((best, name));
        }
    }
    let mut ill = BTreeSet::new();
    for drivers in shares.values_mut().filter(|drivers| drivers.len() > 2) {
        drivers.sort_by(|a, b| a.0.total_cmp(&b.0));
        let median = drivers[drivers.len() / 2].0;
        ill.extend(
            drivers.iter().filter(|(share, _)| *share < median - ILL).map(|(_, name)| (*name).clone()),
        );
    }
    ill
}

fn find(own: &Rate, others: &Rate, near: &[OutcomeCounts]) -> ZoneVerdict {
    let enough = |rate: &Rate| rate.seen.attempts >= LEAST && rate.drivers >= DRIVERS;
    // In a crowd attempts run out of time too, but some are served.
    let mute = |rate: &Rate| {
        let few = rate.seen.share_silent() >= MUTE && rate.seen.share_in_time() < 0.1;
        few && rate.seen.silent >= NOBODY && rate.drivers >= DRIVERS
    };
    if mute(own) {
        return ZoneVerdict::Lost;
    }
    if !enough(own) {
        // Nobody near says anything: what others find tells at least that nobody is there.
        return if mute(others) { ZoneVerdict::Lost } else { ZoneVerdict::Unknown };
    }
    let share = own.seen.share_in_time();
    if share >= BADLY && mute(others) {
        return ZoneVerdict::CutOff;
    }
    if share >= BADLY {
        return if share >= WELL { ZoneVerdict::Well } else { ZoneVerdict::Between };
    }
    // Some of its drivers served as ever: what is wrong is not the zone's.
    let served = near.iter().filter(|seen| seen.share_in_time() >= WELL).count();
    if served * 3 >= near.len() { ZoneVerdict::Some } else { ZoneVerdict::Crowded }
}
