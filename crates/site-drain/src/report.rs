//! Reports of proxies to the lease holder. Their JSON representation never changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::{decode, encode};
use crate::{DirectiveVersion, MalformedPayload, Micros, OperatorCommand, Stage};

/// Work that a proxy still has at a draining site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenWork {
    /// The part of the site's sessions that is still assigned to it, in thousandths.
    pub sessions: u64,
    /// The number of requests in flight there.
    #[serde(rename = "tasks")]
    pub requests: u64,
    /// The number of outcomes of remote requests that may still be queried or that are waiting for the disk.
    #[serde(rename = "fates")]
    pub outcomes: u64,
    /// The number of groups whose primary is assumed to be there.
    #[serde(rename = "groups")]
    pub primaries: u64,
}

impl OpenWork {
    /// Returns whether no work is left.
    pub fn is_empty(&self) -> bool {
        *self == OpenWork::default()
    }
}

/// The plan that a proxy follows for a draining site, and the work that it still has there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The version of the directive that the proxy follows.
    #[serde(rename = "place")]
    pub version: DirectiveVersion,
    /// The number of the operator's command.
    pub number: u64,
    /// The weight of the site in the followed plan, in thousandths.
    pub weight: u32,
    /// The stage of the followed plan.
    pub stage: Stage,
    /// The work that the proxy still has at the site.
    #[serde(rename = "open")]
    pub open_work: OpenWork,
}

/// A proxy's report to the lease holder, sent about once a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The site of the proxy; empty if the proxy is not a gateway.
    pub site: String,
    /// The length of the interval over which requests were counted, in milliseconds.
    #[serde(rename = "over_ms")]
    pub interval_ms: u32,
    /// The number of requests that ended at members of the proxy's site.
    pub ended: u32,
    /// The number of those requests that were served within their latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u32,
    /// The number of those requests that would move to another site with their sessions.
    #[serde(rename = "bound")]
    pub session_reads: u32,
    /// The round trip times to other sites, in milliseconds, by the site's name.
    #[serde(rename = "trips")]
    pub round_trips_ms: BTreeMap<String, u32>,
    /// The status of each draining site at the proxy, by the site's name.
    #[serde(rename = "keeps")]
    pub statuses: BTreeMap<String, DrainStatus>,
    /// The commands that operators gave to the proxy.
    #[serde(rename = "words")]
    pub commands: Vec<OperatorCommand>,
}

impl DrainReport {
    /// Returns the report as JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Parses a report from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not the JSON of a report.
    pub fn decode(bytes: &[u8]) -> Result<DrainReport, MalformedPayload> {
        decode(bytes)
    }
}

/// A report as the lease holder received it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// The incarnation of the proxy that sent the report.
    pub incarnation: u64,
    /// The instant at which the report was received.
    pub received_at: Micros,
    /// The report itself.
    pub report: DrainReport,
}
