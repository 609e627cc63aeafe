//! Detection of proxies that are themselves unhealthy, so that their reports say nothing about zones.

use std::collections::{BTreeMap, BTreeSet};

use crate::{OutcomeCounts, Zone, ZoneReport};

/// A proxy is unhealthy if its best share in time is further than this below the median of the proxies of its zone. A
/// zone counts as badly served below a share of 0.85, which is 0.15 below the whole; 0.3 is twice that distance, so
/// that a proxy next to a zone with real problems is not mistaken for an unhealthy one.
const MAX_BELOW_MEDIAN: f64 = 0.3;
/// The fewest proxies in a zone whose median can be compared with a single proxy.
const MIN_PROXIES_FOR_MEDIAN: usize = 3;

/// One proxy's share of reads served in time in the zone that serves it best.
struct BestShare<'a> {
    reporter: &'a String,
    share_in_time: f64,
}

/// Returns the proxies that are served badly by every zone that they try, while other proxies of their own zone are
/// not.
///
/// Without this check, a single proxy with a broken network would count as evidence against every zone. The cost is
/// that none is excluded where most proxies of a zone are unhealthy: they determine the median, and the healthy proxies
/// are the exception.
pub(crate) fn unhealthy_reporters(reports: &BTreeMap<String, Vec<ZoneReport>>) -> BTreeSet<String> {
    let mut unhealthy = BTreeSet::new();
    for mut proxies in best_shares_by_zone(reports).into_values() {
        if proxies.len() < MIN_PROXIES_FOR_MEDIAN {
            continue;
        }
        proxies.sort_by(|a, b| a.share_in_time.total_cmp(&b.share_in_time));
        let median = proxies[proxies.len() / 2].share_in_time;
        let is_outlier = |proxy: &&BestShare| proxy.share_in_time < median - MAX_BELOW_MEDIAN;
        unhealthy.extend(proxies.iter().filter(is_outlier).map(|proxy| proxy.reporter.clone()));
    }
    unhealthy
}

/// Returns the best shares by the proxies' own zone. Proxies without any attempt are omitted.
fn best_shares_by_zone(reports: &BTreeMap<String, Vec<ZoneReport>>) -> BTreeMap<Zone, Vec<BestShare<'_>>> {
    let mut by_zone: BTreeMap<Zone, Vec<BestShare<'_>>> = BTreeMap::new();
    for (reporter, parts) in reports {
        if let (Some(first), Some(share_in_time)) = (parts.first(), best_share_in_time(parts)) {
            by_zone.entry(first.zone).or_default().push(BestShare { reporter, share_in_time });
        }
    }
    by_zone
}

fn best_share_in_time(parts: &[ZoneReport]) -> Option<f64> {
    let mut by_zone: BTreeMap<Zone, OutcomeCounts> = BTreeMap::new();
    for row in parts.iter().flat_map(|report| &report.rows) {
        by_zone.entry(row.zone).or_default().add(&row.counts);
    }
    let tried = by_zone.values().filter(|counts| counts.attempts > 0);
    tried.map(OutcomeCounts::share_in_time).reduce(f64::max)
}
