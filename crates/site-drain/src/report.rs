//! What proxies report to the lease holder, with its JSON form, which never changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::plan::{decode, encode};
use crate::{DirectiveVersion, MalformedPayload, Micros, OperatorCommand, Stage};

/// What a proxy still has of a draining site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenWork {
    /// The part of its sessions that is still assigned to the site, in thousandths.
    pub sessions: u64,
    /// Requests in flight there.
    #[serde(rename = "tasks")]
    pub requests: u64,
    /// Outcomes of remote requests that may still be asked about, or that wait for the disk.
    #[serde(rename = "fates")]
    pub outcomes: u64,
    /// Groups whose primary is believed to be there.
    #[serde(rename = "groups")]
    pub primaries: u64,
}

impl OpenWork {
    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        *self == OpenWork::default()
    }
}

/// Which plan for a draining site a proxy follows, and what it still has there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The version of the directive that it follows.
    #[serde(rename = "place")]
    pub version: DirectiveVersion,
    /// The number of the operator's command.
    pub number: u64,
    /// The site's weight by that plan, in thousandths.
    pub weight: u32,
    /// The stage by that plan.
    pub stage: Stage,
    /// What it still has there.
    #[serde(rename = "open")]
    pub open_work: OpenWork,
}

/// What a proxy reports to the lease holder about once a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The proxy's site; empty if it is no gateway.
    pub site: String,
    /// The span that the counts are of, in milliseconds.
    #[serde(rename = "over_ms")]
    pub interval_ms: u32,
    /// Requests that ended at members of its site.
    pub ended: u32,
    /// Those of them that were served within their latency objective.
    #[serde(rename = "in_time")]
    pub within_objective: u32,
    /// Those of them that would go elsewhere with their sessions.
    #[serde(rename = "bound")]
    pub session_reads: u32,
    /// The round trips to other sites, in milliseconds.
    #[serde(rename = "trips")]
    pub round_trips_ms: BTreeMap<String, u32>,
    /// The plan that it follows for each draining site, and what it still has there.
    #[serde(rename = "keeps")]
    pub statuses: BTreeMap<String, DrainStatus>,
    /// The commands that operators gave it.
    #[serde(rename = "words")]
    pub commands: Vec<OperatorCommand>,
}

impl DrainReport {
    /// Its JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads its JSON.
    ///
    /// # Errors
    ///
    /// If the bytes are not a report's JSON.
    pub fn decode(bytes: &[u8]) -> Result<DrainReport, MalformedPayload> {
        decode(bytes)
    }
}

/// A report as the lease holder received it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// The incarnation of the proxy that sent it.
    pub incarnation: u64,
    /// When it was received.
    pub received_at: Micros,
    /// What it says.
    pub report: DrainReport,
}
