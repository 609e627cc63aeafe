//! What each site serves, and how much more it was seen to bear.

use std::collections::BTreeMap;

use crate::{ReceivedReport, SiteLoad};

/// A site is expected to bear this many times what it was seen to serve.
const EXPECTED_CAPACITY_FACTOR: f64 = 1.25;
/// What is left after each evaluation, once a second, of the belief in what a site was seen to serve: half in six minutes.
const CAPACITY_DECAY: f64 = 0.998;
/// The weight of a new figure in the smoothed load.
const SMOOTHING_FACTOR: f64 = 0.4;
/// Requests a second from which on the share that is served says something.
const MIN_RATE_FOR_SERVED_SHARE: f64 = 5.0;
/// The served share under which a site does not bear what it was expected to.
const OVERLOAD_SERVED_SHARE: f64 = 0.9;
/// How fast the expectation then falls to what it serves, with each evaluation.
const OVERLOAD_CORRECTION_FACTOR: f64 = 0.2;
/// The shortest span that rates are computed over, in milliseconds, so that the division stays sound.
const MIN_INTERVAL_MS: u32 = 100;

/// The smoothed load of a site, and the rate that it was seen to serve.
#[derive(Debug)]
pub(crate) struct MeasuredSite {
    pub(crate) load: SiteLoad,
    proven_rate: f64,
}

/// Requests a second, summed over the proxies of one site.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    ended: f64,
    within_objective: f64,
    session_reads: f64,
}

/// What the proxies of each site report, summed.
pub(crate) fn rates_by_site(reports: &BTreeMap<String, ReceivedReport>) -> BTreeMap<&str, Rates> {
    let mut sums: BTreeMap<&str, Rates> = BTreeMap::new();
    let reports = reports.values().map(|received| &received.report);
    for report in reports.filter(|report| !report.site.is_empty()) {
        let seconds = f64::from(report.interval_ms.max(MIN_INTERVAL_MS)) / 1000.0;
        let sum = sums.entry(&report.site).or_default();
        sum.ended += f64::from(report.ended) / seconds;
        sum.within_objective += f64::from(report.within_objective) / seconds;
        sum.session_reads += f64::from(report.session_reads) / seconds;
    }
    sums
}

impl Rates {
    /// The share that is served within its latency objective; all of it where too few requests end to tell.
    fn served_share(&self) -> f64 {
        if self.ended >= MIN_RATE_FOR_SERVED_SHARE { self.within_objective / self.ended } else { 1.0 }
    }
}

impl MeasuredSite {
    /// A site that reports for the first time.
    pub(crate) fn new(rates: Rates) -> MeasuredSite {
        let load = SiteLoad {
            rate: rates.ended,
            session_rate: rates.session_reads,
            spare_rate: 0.0,
            served_share: rates.served_share(),
            is_reporting: true,
        };
        MeasuredSite { load, proven_rate: rates.within_objective }
    }

    /// Believes a little less in what the site was seen to serve; `is_reporting` says whether a proxy of it reports.
    pub(crate) fn decay_capacity(&mut self, is_reporting: bool) {
        self.load.is_reporting = is_reporting;
        self.proven_rate *= CAPACITY_DECAY;
    }

    /// Takes the rates of the last second.
    pub(crate) fn update(&mut self, rates: Rates) {
        let load = &mut self.load;
        load.rate += (rates.ended - load.rate) * SMOOTHING_FACTOR;
        load.session_rate += (rates.session_reads - load.session_rate) * SMOOTHING_FACTOR;
        load.served_share += (rates.served_share() - load.served_share) * SMOOTHING_FACTOR;
        let served = load.rate * load.served_share;
        self.proven_rate = self.proven_rate.max(served);
        if load.served_share < OVERLOAD_SERVED_SHARE {
            self.proven_rate += (served - self.proven_rate) * OVERLOAD_CORRECTION_FACTOR;
        }
        load.spare_rate = (self.proven_rate * EXPECTED_CAPACITY_FACTOR - load.rate).max(0.0);
    }
}
