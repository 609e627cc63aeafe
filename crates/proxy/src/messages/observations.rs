//! What a process observed, for the lease holders that decide for the whole fleet.

use aldermill_routing::Micros;
use aldermill_site_routing::OpenWork;
use aldermill_zone_failover::Row;

/// What a process observed of late, for those who decide in common.
#[derive(Default)]
pub struct ObservationSummary {
    /// The span that `rows` were observed over, in microseconds.
    pub over: Micros,
    /// Ends of attempts, by group and zone.
    pub rows: Vec<Row>,
    /// By group, an encoded summary of which keys cost what.
    pub keys: Vec<(u64, Vec<u8>)>,
    /// Present where the process is a gateway.
    pub site: Option<SiteObservations>,
}

/// What a gateway observed of its own site, the round trips to others, and what it has of sites that drain.
#[derive(Default)]
pub struct SiteObservations {
    /// The own site's name.
    pub site: String,
    /// The span that this was observed over, in microseconds.
    pub over: Micros,
    /// Requests that ended with the router here.
    pub ended: u32,
    /// Those served within their latency objective.
    pub in_time: u32,
    /// Those that would go elsewhere with their sessions.
    pub bound: u32,
    /// By the other site's name, in microseconds.
    pub round_trips: Vec<(String, Micros)>,
    /// What is still open of sites that drain.
    pub open: OpenWork,
}
