//! What a process observed, for the lease holders that decide for the whole fleet.

use aldermill_routing::Micros;
use aldermill_site_routing::OpenWorkBySite;
use aldermill_zone_failover::ZoneRow;

/// What a process observed since it was last asked.
#[derive(Default)]
pub struct ObservationSummary {
    /// The span that `rows` were observed over, in microseconds.
    pub span: Micros,
    /// Ends of attempts, by group and zone.
    pub rows: Vec<ZoneRow>,
    /// By group, an encoded summary of which keys cost what.
    pub keys: Vec<(u64, Vec<u8>)>,
    /// Present where the process is a gateway.
    pub site: Option<SiteObservations>,
}

/// What a gateway observed of its own site, the round trips to others, and what it still holds of draining sites.
#[derive(Default)]
pub struct SiteObservations {
    /// The own site's name.
    pub site: String,
    /// The span that this was observed over, in microseconds.
    pub span: Micros,
    /// Requests that ended at the router of this process.
    pub ended: u32,
    /// Those of them that were served within their latency objective.
    pub within_objective: u32,
    /// Those of them that read for a client of this site: they would move elsewhere with their sessions.
    pub session_reads: u32,
    /// Round trips by the other site's name, in microseconds.
    pub round_trips: Vec<(String, Micros)>,
    /// What is still open of sites that drain.
    pub open: OpenWorkBySite,
}
