//! Observations of a process, for the lease holders that decide for the whole fleet.

use aldermill_routing::Micros;
use aldermill_site_routing::OpenWorkBySite;
use aldermill_zone_failover::ZoneRow;

/// A summary of the recent observations of a process. Each request for it ends a reporting interval.
#[derive(Default)]
pub struct ObservationSummary {
    /// The length of the time over which `rows` were observed, in microseconds.
    pub span: Micros,
    /// Outcomes of the reads of the last two reporting intervals, by group and zone.
    pub rows: Vec<ZoneRow>,
    /// Groups, each with the encoded summary of its key sketch.
    pub keys: Vec<(u64, Vec<u8>)>,
    /// The observations of this site; `None` unless the process is a gateway.
    pub site: Option<SiteObservations>,
}

/// A gateway's observations in one reporting interval: requests at its own site, round trips to other sites,
/// and work still open for draining sites.
#[derive(Default)]
pub struct SiteObservations {
    /// The name of the gateway's own site.
    pub site: String,
    /// The length of the time over which the requests were counted, in microseconds.
    pub span: Micros,
    /// The number of requests that ended at the router of this process.
    pub ended: u32,
    /// The number of ended requests that were served within their latency objective.
    pub within_objective: u32,
    /// The number of ended requests that were reads for a client of this site. They would move to another
    /// site together with their sessions.
    pub session_reads: u32,
    /// Round-trip times to other gateways, each with the name of the gateway's site, in microseconds.
    pub round_trips: Vec<(String, Micros)>,
    /// The work still open for draining sites, by the site's name.
    pub open: OpenWorkBySite,
}
