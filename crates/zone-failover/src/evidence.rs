//! Evaluation of the reports of all proxies, combined into one view of each group in each zone.

use std::collections::{BTreeMap, BTreeSet};

use crate::outliers::unhealthy_reporters;
use crate::{Group, GroupZone, Micros, OutcomeCounts, Zone, ZoneHealth, ZoneReport, ZoneRow};

/// The factor by which a measured capacity decays at each evaluation, once a second. It halves in 5.8 minutes unless
/// that much is served again, because members may have become fewer or slower since the measurement.
const CAPACITY_DECAY: f64 = 0.998;
/// While a zone is overloaded or unreachable, each evaluation moves its measured capacity by this fraction of the
/// difference towards the rate that it currently serves in time, regardless of what it served before.
const CAPACITY_CORRECTION: f64 = 0.2;
/// The shortest span that rates are computed over, in seconds. A few reads in a very short report must not result in a
/// huge rate.
const MIN_SPAN_SECONDS: f64 = 0.2;

/// The observed state of one group's members in one zone. All rates are in attempts per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneView {
    /// The health of the members, which says what is wrong, if anything.
    pub health: ZoneHealth,
    /// Rate of attempts of the zone's own proxies, at any zone.
    pub demand: f64,
    /// Rate of attempts of all proxies at this zone.
    pub load: f64,
    /// Rate of the attempts in `load` that were served in time.
    pub in_time_rate: f64,
    /// The highest recent rate of attempts that this zone served in time. It decays over time.
    pub capacity: f64,
    /// The number of reported rows of attempts at this zone; each proxy sends one for each group and zone that it
    /// tried.
    pub reporters: usize,
}

/// The reads that the proxies of one zone sent to the same or another zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteRate {
    pub(crate) counts: OutcomeCounts,
    /// Attempts per second.
    pub(crate) attempt_rate: f64,
    /// Attempts served in time, per second.
    pub(crate) in_time_rate: f64,
    /// The number of reported rows that were added up.
    pub(crate) reporters: usize,
}

impl RouteRate {
    fn add_row(&mut self, row: &ZoneRow, seconds: f64) {
        self.counts.add(&row.counts);
        self.attempt_rate += f64::from(row.counts.attempts) / seconds;
        self.in_time_rate += f64::from(row.counts.in_time) / seconds;
        self.reporters += 1;
    }

    fn add(&mut self, other: &RouteRate) {
        self.counts.add(&other.counts);
        self.attempt_rate += other.attempt_rate;
        self.in_time_rate += other.in_time_rate;
        self.reporters += other.reporters;
    }
}

/// The group and the two zones that a rate applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    group: Group,
    /// The zone of the proxies.
    from: Zone,
    /// The zone of the members.
    to: Zone,
}

/// The rows of all healthy reporters, summed by route.
#[derive(Debug, Default)]
struct CombinedReports {
    rates: BTreeMap<Route, RouteRate>,
    /// The outcomes of each proxy's attempts in its own zone; proxies without any attempt there are omitted.
    own_zone_counts: BTreeMap<GroupZone, Vec<OutcomeCounts>>,
}

impl CombinedReports {
    fn from_reports<'a>(reports: impl Iterator<Item = &'a ZoneReport>) -> CombinedReports {
        let mut combined = CombinedReports::default();
        for report in reports {
            let seconds = span_seconds(report.span);
            for row in &report.rows {
                combined.add(report.zone, row, seconds);
            }
        }
        combined
    }

    fn add(&mut self, from: Zone, row: &ZoneRow, seconds: f64) {
        let ZoneRow { group, zone, counts } = *row;
        self.rates.entry(Route { group, from, to: zone }).or_default().add_row(row, seconds);
        if from == zone && counts.attempts > 0 {
            self.own_zone_counts.entry(GroupZone { group, zone }).or_default().push(counts);
        }
    }

    /// Sums the rates of the group's routes that satisfy `wanted`.
    fn sum(&self, group: Group, wanted: impl Fn(&Route) -> bool) -> RouteRate {
        let mut sum = RouteRate::default();
        for (route, rate) in &self.rates {
            if route.group == group && wanted(route) {
                sum.add(rate);
            }
        }
        sum
    }

    /// Returns every combination of a group that was read from and a zone that any proxy is in or has tried.
    fn keys(&self) -> Vec<GroupZone> {
        let groups: BTreeSet<Group> = self.rates.keys().map(|route| route.group).collect();
        let zones: BTreeSet<Zone> = self.rates.keys().flat_map(|route| [route.from, route.to]).collect();
        let of_group = |group| zones.iter().map(move |&zone| GroupZone { group, zone });
        groups.into_iter().flat_map(of_group).collect()
    }
}

fn span_seconds(span: Micros) -> f64 {
    (span as f64 / 1e6).max(MIN_SPAN_SECONDS)
}

/// The lease holder's knowledge of all zones, derived from the reports of the proxies. Proxies whose reports do not
/// arrive are left out; they never count as having observed nothing.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The highest recent rate of attempts served in time, per second. It decays at each evaluation.
    capacities: BTreeMap<GroupZone, f64>,
    views: BTreeMap<GroupZone, ZoneView>,
    unhealthy: BTreeSet<String>,
}

impl Evidence {
    /// Returns the results of the last evaluation by group and zone.
    pub fn views(&self) -> &BTreeMap<GroupZone, ZoneView> {
        &self.views
    }

    /// Returns the names of the proxies whose reports the last evaluation excluded because the proxies are themselves
    /// unhealthy.
    pub fn unhealthy_reporters(&self) -> &BTreeSet<String> {
        &self.unhealthy
    }

    /// Evaluates the recent reports of all proxies, which are keyed by the proxies' names. Called once a second.
    pub fn evaluate(&mut self, reports: &BTreeMap<String, Vec<ZoneReport>>) {
        self.unhealthy = unhealthy_reporters(reports);
        let healthy = reports.iter().filter(|(reporter, _)| !self.unhealthy.contains(*reporter));
        let combined = CombinedReports::from_reports(healthy.flat_map(|(_, parts)| parts));
        for capacity in self.capacities.values_mut() {
            *capacity *= CAPACITY_DECAY;
        }
        self.views.clear();
        for key in combined.keys() {
            let view = self.view(key, &combined);
            self.views.insert(key, view);
        }
    }

    fn view(&mut self, key: GroupZone, combined: &CombinedReports) -> ZoneView {
        let GroupZone { group, zone } = key;
        let own = combined.sum(group, |route| route.from == zone && route.to == zone);
        let others = combined.sum(group, |route| route.from != zone && route.to == zone);
        let own_proxies = combined.own_zone_counts.get(&key).map_or(&[][..], Vec::as_slice);
        let health = ZoneHealth::classify(&own, &others, own_proxies);
        let in_time_rate = own.in_time_rate + others.in_time_rate;
        ZoneView {
            health,
            demand: combined.sum(group, |route| route.from == zone).attempt_rate,
            load: own.attempt_rate + others.attempt_rate,
            in_time_rate,
            capacity: self.measure_capacity(key, in_time_rate, health),
            reporters: own.reporters + others.reporters,
        }
    }

    fn measure_capacity(&mut self, key: GroupZone, in_time_rate: f64, health: ZoneHealth) -> f64 {
        let capacity = self.capacities.entry(key).or_default();
        *capacity = capacity.max(in_time_rate);
        if matches!(health, ZoneHealth::Overloaded | ZoneHealth::Unreachable) {
            *capacity += (in_time_rate - *capacity) * CAPACITY_CORRECTION;
        }
        *capacity
    }
}
