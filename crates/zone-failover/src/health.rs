//! The health of a zone, determined from what its own proxies and those of other zones observed.

use crate::OutcomeCounts;
use crate::evidence::RouteRate;

/// The fewest attempts, summed over the proxies within a report's span of about two seconds, for which shares are
/// meaningful. One attempt more or less out of 12 changes a share by 0.08, which is less than the distance between the
/// thresholds below.
const MIN_ATTEMPTS: u32 = 12;
/// The fewest reporting proxies for any result other than [`ZoneHealth::Unknown`], so that the network of a single
/// proxy never shifts traffic.
const MIN_REPORTERS: usize = 2;
/// The fewest unanswered attempts for [`ZoneHealth::Unreachable`]. This is lower than [`MIN_ATTEMPTS`], because proxies
/// soon blacklist members that do not answer and stop trying them.
const MIN_UNANSWERED: u32 = 4;
/// The lowest share of attempts served in time at which a zone is healthy.
const HEALTHY_SHARE_IN_TIME: f64 = 0.95;
/// The share of attempts served in time below which a zone is overloaded or partly served. The gap to
/// [`HEALTHY_SHARE_IN_TIME`] is hysteresis: in between, nothing changes.
const MIN_SHARE_IN_TIME: f64 = 0.85;
/// The lowest share of unanswered attempts at which a zone can be unreachable.
const UNREACHABLE_SHARE_UNANSWERED: f64 = 0.5;
/// The share of attempts served in time below which a zone can be unreachable. Attempts at an overloaded zone time out
/// as well, but more of them are served.
const UNREACHABLE_MAX_SHARE_IN_TIME: f64 = 0.1;
/// A zone is partly served if at least one in this many of its own proxies is served well: the problem then lies with
/// the network paths of the others.
const PARTLY_SERVED_ONE_IN: usize = 3;

/// The health of one group's members in one zone (`docs/zones.md`, "Evidence").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// There are too few attempts or reporters to determine the health.
    Unknown,
    /// The zone's own proxies are served in time.
    Healthy,
    /// The zone serves its own proxies too badly to be healthy and too well to act on.
    Marginal,
    /// Most attempts of the zone's own proxies go unanswered, or those of other proxies if there is too little data
    /// from its own.
    Unreachable,
    /// The zone's own proxies are served but others get no answer, so the network between the zones is partitioned.
    Partitioned,
    /// The zone's own proxies get answers, but not in time.
    Overloaded,
    /// Some of the zone's own proxies are served well and some are not. Their network paths differ, and shifting the
    /// traffic of all of them would help only a few.
    PartlyServed,
}

impl ZoneHealth {
    /// Returns the value in the status JSON. Users' programs read it, so it must never change.
    pub fn status_value(self) -> &'static str {
        match self {
            ZoneHealth::Unknown => "Unknown",
            ZoneHealth::Healthy => "Well",
            ZoneHealth::Marginal => "Between",
            ZoneHealth::Unreachable => "Lost",
            ZoneHealth::Partitioned => "CutOff",
            ZoneHealth::Overloaded => "Crowded",
            ZoneHealth::PartlyServed => "Some",
        }
    }

    /// Determines the health of a zone. `own` and `others` are the reads there by its own proxies and by all others;
    /// `own_proxies` has the counts of each of its own proxies.
    pub(crate) fn classify(own: &RouteRate, others: &RouteRate, own_proxies: &[OutcomeCounts]) -> ZoneHealth {
        if is_unreachable(own) {
            return ZoneHealth::Unreachable;
        }
        if own.counts.attempts < MIN_ATTEMPTS || own.reporters < MIN_REPORTERS {
            // There is too little data from the own proxies, but others getting no answer still shows that the zone is
            // unreachable.
            return if is_unreachable(others) { ZoneHealth::Unreachable } else { ZoneHealth::Unknown };
        }
        let share_in_time = own.counts.share_in_time();
        if share_in_time < MIN_SHARE_IN_TIME {
            return classify_slow(own_proxies);
        }
        if is_unreachable(others) {
            return ZoneHealth::Partitioned;
        }
        if share_in_time >= HEALTHY_SHARE_IN_TIME { ZoneHealth::Healthy } else { ZoneHealth::Marginal }
    }
}

fn is_unreachable(rate: &RouteRate) -> bool {
    let mostly_unanswered = rate.counts.share_unanswered() >= UNREACHABLE_SHARE_UNANSWERED;
    let hardly_served = rate.counts.share_in_time() < UNREACHABLE_MAX_SHARE_IN_TIME;
    let enough = rate.counts.unanswered >= MIN_UNANSWERED && rate.reporters >= MIN_REPORTERS;
    mostly_unanswered && hardly_served && enough
}

/// Distinguishes an overloaded zone from one that still serves some of its own proxies well, in which case the problem
/// is not in the zone.
fn classify_slow(own_proxies: &[OutcomeCounts]) -> ZoneHealth {
    let is_served_well = |counts: &&OutcomeCounts| counts.share_in_time() >= HEALTHY_SHARE_IN_TIME;
    let served_well = own_proxies.iter().filter(is_served_well).count();
    if served_well * PARTLY_SERVED_ONE_IN >= own_proxies.len() {
        ZoneHealth::PartlyServed
    } else {
        ZoneHealth::Overloaded
    }
}
