//! All proxies' reports, combined into one view of each group in each zone.

use std::collections::{BTreeMap, BTreeSet};

use crate::outliers::unhealthy_reporters;
use crate::{Group, GroupZone, Micros, OutcomeCounts, Zone, ZoneHealth, ZoneReport, ZoneRow};

/// The share of a measured capacity that is kept at each evaluation, once a second: after 5.8 minutes half is forgotten,
/// unless it is served again. Members may have become fewer or slower since.
const CAPACITY_DECAY: f64 = 0.998;
/// While a zone is overloaded or unreachable, its capacity moves at each evaluation by this share of the way to what it
/// serves now, whatever it once did.
const CAPACITY_CORRECTION: f64 = 0.2;
/// The shortest span that rates are taken over, in seconds: a very short report must not turn a few reads into a huge rate.
const MIN_SPAN_SECONDS: f64 = 0.2;

/// What is known of one group's members in one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneView {
    /// What is wrong, if anything.
    pub health: ZoneHealth,
    /// Attempts a second of the zone's own proxies, at whatever zone.
    pub demand: f64,
    /// Attempts a second of all proxies at this zone.
    pub load: f64,
    /// Those of them that were served in time, a second.
    pub in_time_rate: f64,
    /// The most that it served in time of late, a second; decays.
    pub capacity: f64,
    /// Reported rows behind this; each proxy sends one for each zone that it tried.
    pub reporters: usize,
}

/// Reads of proxies of one zone at another, or the same.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteRate {
    pub(crate) counts: OutcomeCounts,
    /// Attempts a second.
    pub(crate) attempt_rate: f64,
    /// Served in time, a second.
    pub(crate) in_time_rate: f64,
    /// Reported rows behind this.
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

/// Which reads a rate is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    group: Group,
    /// The proxies' zone.
    from: Zone,
    /// The members' zone.
    to: Zone,
}

/// The rows of all healthy reporters, added up by route.
#[derive(Debug, Default)]
struct CombinedReports {
    rates: BTreeMap<Route, RouteRate>,
    /// How each proxy fared in its own zone.
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

    /// The sum over the group's routes that are wanted.
    fn sum(&self, group: Group, wanted: impl Fn(&Route) -> bool) -> RouteRate {
        let mut sum = RouteRate::default();
        for (route, rate) in &self.rates {
            if route.group == group && wanted(route) {
                sum.add(rate);
            }
        }
        sum
    }

    /// Each group that was read from with each zone that any proxy is in or has tried.
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

/// What the lease holder knows of all zones. Proxies that are not heard are missing; they never count as having observed
/// nothing.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The most that was served in time, a second.
    capacities: BTreeMap<GroupZone, f64>,
    views: BTreeMap<GroupZone, ZoneView>,
    unhealthy: BTreeSet<String>,
}

impl Evidence {
    /// By group and zone, what the last evaluation concluded.
    pub fn views(&self) -> &BTreeMap<GroupZone, ZoneView> {
        &self.views
    }

    /// Names of the proxies whose reports were left out of the last evaluation, as they are unhealthy themselves.
    pub fn unhealthy_reporters(&self) -> &BTreeSet<String> {
        &self.unhealthy
    }

    /// Concludes from the recent reports of all proxies, by the proxies' names. Called once a second.
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
