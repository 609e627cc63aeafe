//! Planning of the traffic shifts of all groups and zones.

use std::collections::BTreeMap;

use crate::zone_state::ZoneState;
use crate::{
    ALL_TRAFFIC, Evidence, FailoverLevel, Group, GroupZone, Micros, TrafficShift, Zone, ZoneDirective,
    ZoneHealth, ZoneShare, ZoneView,
};

/// The most load that a zone is given, as a multiple of its measured capacity. Only load beyond the measured capacity
/// can show that the zone handles more.
const CAPACITY_OVERSHOOT: f64 = 1.1;
/// The share of a zone's spare capacity that is allocated to shifted traffic. The rest is reserved for a further
/// failure.
const ALLOCATABLE_SHARE: f64 = 0.9;
/// How long after a zone becomes local again its directive announces that nothing is shifted any more, in microseconds.
/// The period covers several evaluations, because a single directive may be lost in transit.
const RETURN_ANNOUNCE_PERIOD: Micros = 3_000_000;
/// The largest lack of capacity that is not yet reported as insufficient, in reads per second. Rounding to whole
/// thousandths must not be reported as a shortage.
const SHORTAGE_TOLERANCE: f64 = 0.5;

/// The capacity that one group has left in the zones that may receive traffic, in reads per second.
#[derive(Debug)]
struct SpareCapacity {
    by_zone: BTreeMap<Zone, f64>,
}

impl SpareCapacity {
    fn total(&self) -> f64 {
        self.by_zone.values().sum()
    }

    /// Divides the shifted traffic among the zones in proportion to their spare capacity.
    fn shares(&self) -> Vec<ZoneShare> {
        let total = self.total();
        let share = |spare: f64| if total > 0.0 { to_thousandths(spare / total) } else { 0 };
        let targets = self.by_zone.iter().filter(|(_, spare)| **spare > 0.0);
        targets.map(|(&zone, &spare)| ZoneShare { zone, share: share(spare) }).collect()
    }

    /// Reserves `rate` (reads per second) in proportion to the zones' spare capacity.
    fn reserve(&mut self, rate: f64) {
        let total = self.total();
        if total > 0.0 {
            for spare in self.by_zone.values_mut() {
                *spare -= *spare / total * rate;
            }
        }
    }
}

fn to_thousandths(share: f64) -> u16 {
    (share * f64::from(ALL_TRAFFIC)) as u16
}

/// Returns the load that a zone may receive on top of its present load, in reads per second. It is 0 unless the zone is
/// healthy or marginal.
fn spare_capacity(view: &ZoneView) -> f64 {
    if !matches!(view.health, ZoneHealth::Healthy | ZoneHealth::Marginal) {
        return 0.0;
    }
    (view.capacity * CAPACITY_OVERSHOOT - view.load).max(0.0) * ALLOCATABLE_SHARE
}

/// Keeps the failover levels of all groups and zones, on the holder of the lease `zones`.
#[derive(Clone, Debug, Default)]
pub struct FailoverPlanner {
    states: BTreeMap<GroupZone, ZoneState>,
}

impl FailoverPlanner {
    /// Takes over a directive of an earlier lease holder. Called before the first decision.
    pub fn resume(&mut self, now: Micros, directive: &ZoneDirective) {
        let shift = &directive.shift;
        self.states.insert(directive.key(), ZoneState::resume(now, shift.level, shift.shifted_share));
    }

    /// Returns the failover level of a group in a zone, or `None` if nothing was ever reported or resumed for it.
    pub fn level(&self, key: GroupZone) -> Option<FailoverLevel> {
        self.states.get(&key).map(|state| state.level)
    }

    /// Updates all levels and returns a directive for each zone that is not local or has recently become local. Called
    /// once a second.
    ///
    /// A zone that is no longer reported keeps its level. Its directive shifts nothing, because its demand is unknown.
    pub fn decide(&mut self, now: Micros, evidence: &Evidence) -> Vec<ZoneDirective> {
        for (&key, view) in evidence.views() {
            let state = self.states.entry(key).or_insert_with(|| ZoneState::start(now));
            state.observe(now, view.health);
            state.step(now);
        }
        let mut groups: Vec<Group> = self.states.keys().map(|key| key.group).collect();
        groups.dedup();
        groups.into_iter().flat_map(|group| self.group_directives(now, group, evidence.views())).collect()
    }

    /// Divides a group's shifted traffic among the zones with measured spare capacity. A zone that itself shifts
    /// traffic receives none, so that no two zones shift reads to each other.
    fn group_directives(
        &self,
        now: Micros,
        group: Group,
        views: &BTreeMap<GroupZone, ZoneView>,
    ) -> Vec<ZoneDirective> {
        let mut spare = self.spare_capacity(group, views);
        let mut directives = Vec::new();
        for (zone, state) in self.zone_states(group) {
            let demand = views.get(&GroupZone { group, zone }).map_or(0.0, |view| view.demand);
            let shift = match state.level {
                FailoverLevel::Local if state.changed_within(now, RETURN_ANNOUNCE_PERIOD) => {
                    TrafficShift::none()
                }
                FailoverLevel::Local => continue,
                level => shift_traffic(level, state.shifted_share, demand, &mut spare),
            };
            directives.push(ZoneDirective { group, zone, shift });
        }
        directives
    }

    fn zone_states(&self, group: Group) -> impl Iterator<Item = (Zone, &ZoneState)> {
        let of_group = self.states.iter().filter(move |(key, _)| key.group == group);
        of_group.map(|(key, state)| (key.zone, state))
    }

    fn spare_capacity(&self, group: Group, views: &BTreeMap<GroupZone, ZoneView>) -> SpareCapacity {
        let local = self.zone_states(group).filter(|(_, state)| state.level == FailoverLevel::Local);
        let spare = |zone| views.get(&GroupZone { group, zone }).map_or(0.0, spare_capacity);
        SpareCapacity { by_zone: local.map(|(zone, _)| (zone, spare(zone))).collect() }
    }
}

/// Shifts `wanted` thousandths of `demand` (reads per second), or as much of it as there is spare capacity for, and
/// reserves that capacity.
fn shift_traffic(level: FailoverLevel, wanted: u16, demand: f64, spare: &mut SpareCapacity) -> TrafficShift {
    let wanted_rate = demand * f64::from(wanted) / f64::from(ALL_TRAFFIC);
    let rate = wanted_rate.min(spare.total());
    let possible = if demand > 0.0 { to_thousandths(rate / demand) } else { 0 };
    let targets = spare.shares();
    spare.reserve(rate);
    TrafficShift {
        level,
        shifted_share: if targets.is_empty() { 0 } else { possible.min(wanted) },
        targets,
        insufficient_capacity: rate + SHORTAGE_TOLERANCE < wanted_rate,
    }
}
