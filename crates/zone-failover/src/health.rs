//! What is wrong with a zone, by what its own proxies and the others observed.

use crate::OutcomeCounts;
use crate::evidence::RouteRate;

/// Attempts of all proxies together, in a report's span of about two seconds, under which shares mean nothing: one
/// attempt more or less of 12 moves a share by 0.08, less than what lies between the thresholds below.
const MIN_ATTEMPTS: u32 = 12;
/// Proxies that have to stand behind a verdict, so that a single one's network never moves traffic.
const MIN_REPORTERS: usize = 2;
/// Unanswered attempts that are enough for [`ZoneHealth::Unreachable`]. Fewer than [`MIN_ATTEMPTS`], since proxies soon
/// blacklist members that don't answer and stop trying.
const MIN_UNANSWERED: u32 = 4;
/// From this share in time on a zone is healthy.
const HEALTHY_SHARE_IN_TIME: f64 = 0.95;
/// Under this share in time a zone does not serve well. The gap to [`HEALTHY_SHARE_IN_TIME`] is hysteresis: in between
/// all stays as it is.
const MIN_SHARE_IN_TIME: f64 = 0.85;
/// From this share of unanswered attempts on nobody seems to be there.
const UNREACHABLE_SHARE_UNANSWERED: f64 = 0.5;
/// An unreachable zone serves less than this share in time. In an overloaded one attempts run out of time too, but more
/// of them are served.
const UNREACHABLE_MAX_SHARE_IN_TIME: f64 = 0.1;
/// Where at least one in three of a zone's own proxies is served well, the trouble lies with the paths of the others.
const PARTLY_SERVED_ONE_IN: usize = 3;

/// What is wrong with one group's members in one zone, if anything (docs/zones.md, "Evidence").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneHealth {
    /// Too few attempts, or reporters, to say.
    Unknown,
    /// Its own proxies are served in time.
    Healthy,
    /// It serves neither well enough to be healthy nor badly enough to act.
    Marginal,
    /// Most attempts of its own proxies go unanswered; or those of others, where its own say nothing.
    Unreachable,
    /// Its own proxies are served, others get no answer: the network between the zones is partitioned.
    Partitioned,
    /// Its own proxies are answered, but not in time.
    Overloaded,
    /// Some of its own proxies are served well and some are not: their network paths differ, and shifting all helps few.
    PartlyServed,
}

impl ZoneHealth {
    /// The word in the status JSON, which programs of the users read. It never changes.
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

    /// The verdict on a zone: `own` and `others` are the reads of its own proxies and of all others there, `own_proxies` how each
    /// of its own fared.
    pub(crate) fn classify(own: &RouteRate, others: &RouteRate, own_proxies: &[OutcomeCounts]) -> ZoneHealth {
        if is_unreachable(own) {
            return ZoneHealth::Unreachable;
        }
        if own.counts.attempts < MIN_ATTEMPTS || own.reporters < MIN_REPORTERS {
            // Its own proxies say nothing. That others get no answer shows at least that nobody is there.
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

/// Where some proxies are served as ever, what is wrong is not the zone's.
fn classify_slow(own_proxies: &[OutcomeCounts]) -> ZoneHealth {
    let is_served_well = |counts: &&OutcomeCounts| counts.share_in_time() >= HEALTHY_SHARE_IN_TIME;
    let served_well = own_proxies.iter().filter(is_served_well).count();
    if served_well * PARTLY_SERVED_ONE_IN >= own_proxies.len() {
        ZoneHealth::PartlyServed
    } else {
        ZoneHealth::Overloaded
    }
}
