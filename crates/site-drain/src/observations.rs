//! Observations of the fleet that the evaluation of a drain uses.

use std::collections::BTreeMap;

/// The measured load and spare capacity of one site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteLoad {
    /// The rate of requests that end at the site, in requests per second.
    pub rate: f64,
    /// The part of `rate` that moves to other sites when the sessions move, in requests per second.
    pub session_rate: f64,
    /// The additional rate that the site can serve according to measurements, in requests per second.
    pub spare_rate: f64,
    /// The share of requests that are served within their latency objective, from 0 to 1.
    pub served_share: f64,
    /// Whether at least one proxy of the site reports.
    pub is_reporting: bool,
}

/// Loads of all sites, and how many proxies these observations stand for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetObservations {
    /// The load of each site that has ever reported, by the site's name.
    pub sites: BTreeMap<String, SiteLoad>,
    /// The number of proxies that have reported recently.
    pub reporting_proxies: usize,
    /// The number of proxies that are alive.
    pub alive_proxies: usize,
}
