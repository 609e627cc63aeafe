//! Which reporters are unhealthy themselves, so that their reports say nothing of zones.

use std::collections::{BTreeMap, BTreeSet};

use crate::{OutcomeCounts, Zone, ZoneReport};

/// A proxy whose best share in time lies further under the median of its zone's proxies is unhealthy itself. Verdicts
/// turn at 0.85 of 1; 0.3 is twice that distance, so that a proxy next to a zone which really suffers is not mistaken.
const MAX_BELOW_MEDIAN: f64 = 0.3;
/// With fewer proxies in a zone their median says nothing of a single one.
const MIN_PROXIES_FOR_MEDIAN: usize = 3;

/// How well one proxy fares in the zone that serves it best.
struct BestShare<'a> {
    reporter: &'a String,
    share_in_time: f64,
}

/// Proxies that are served badly wherever they ask, while others of their zone are not.
///
/// Without this a single proxy with a broken network would count as evidence against every zone. The cost: where most
/// proxies of a zone are unhealthy they are the median, and the healthy ones stand alone; none is excluded then.
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

/// By the proxies' own zone; proxies without an attempt are missing.
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
