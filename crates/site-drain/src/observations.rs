//! What is known of the fleet when a drain is evaluated.

use std::collections::BTreeMap;

/// What is known of a site's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteLoad {
    /// Requests a second that end there.
    pub rate: f64,
    /// Those of them, a second, that would go elsewhere with their sessions.
    pub session_rate: f64,
    /// How many requests a second more it was measured to bear.
    pub spare_rate: f64,
    /// The share that is served within its latency objective, from 0 to 1.
    pub served_share: f64,
    /// Whether a proxy of the site reports.
    pub is_reporting: bool,
}

/// What is known of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetObservations {
    /// Each site that ever reported, by name.
    pub sites: BTreeMap<String, SiteLoad>,
    /// How many proxies have reported of late.
    pub reporting_proxies: usize,
    /// How many proxies are alive.
    pub alive_proxies: usize,
}
