//! Measurement of the load that each site serves and of its spare capacity.

use std::collections::BTreeMap;

use crate::{ReceivedReport, SiteLoad};

/// The expected capacity of a site, as a multiple of the rate that it was observed to serve.
const EXPECTED_CAPACITY_FACTOR: f64 = 1.25;
/// The factor by which the observed capacity of a site decays at each evaluation, once a second. It halves
/// the capacity in about six minutes.
const CAPACITY_DECAY: f64 = 0.998;
/// The weight of a new value in the exponentially smoothed load, from 0 to 1.
const SMOOTHING_FACTOR: f64 = 0.4;
/// The minimum rate of requests at which the served share is meaningful, in requests per second.
const MIN_RATE_FOR_SERVED_SHARE: f64 = 5.0;
/// The served share below which a site counts as overloaded: it does not sustain its expected capacity.
const OVERLOAD_SERVED_SHARE: f64 = 0.9;
/// The part of the difference between observed capacity and served rate by which the capacity of an
/// overloaded site is lowered at each evaluation.
const OVERLOAD_CORRECTION_FACTOR: f64 = 0.2;
/// The minimum interval over which rates are computed, in milliseconds. It prevents a division by zero or by
/// a very small number.
const MIN_INTERVAL_MS: u32 = 100;

/// The smoothed load of a site and the capacity that it was observed to have.
#[derive(Debug)]
pub(crate) struct MeasuredSite {
    pub(crate) load: SiteLoad,
    /// The highest rate that the site was observed to serve within the latency objective, in requests per
    /// second. It decays over time.
    proven_rate: f64,
}

/// Rates of one site in requests per second, summed over its proxies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    ended: f64,
    within_objective: f64,
    session_reads: f64,
}

/// Returns the rates of each site by its name, summed over the reports of its proxies. Proxies that are not
/// gateways are left out.
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
    /// Returns the share of requests that are served within their latency objective, from 0 to 1. It is 1 if
    /// too few requests end for a meaningful value.
    fn served_share(&self) -> f64 {
        if self.ended >= MIN_RATE_FOR_SERVED_SHARE { self.within_objective / self.ended } else { 1.0 }
    }
}

impl MeasuredSite {
    /// Creates the measurements of a site that reports for the first time. Its spare capacity is zero until
    /// the first update.
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

    /// Lowers the observed capacity by one decay step. `is_reporting` tells whether a proxy of the site
    /// reports.
    pub(crate) fn decay_capacity(&mut self, is_reporting: bool) {
        self.load.is_reporting = is_reporting;
        self.proven_rate *= CAPACITY_DECAY;
    }

    /// Updates load and capacity by the rates that were last reported.
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
