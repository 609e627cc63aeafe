//! State of a proxy at one moment, as it is saved.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The state of a proxy at one moment, as far as its next start can use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateSnapshot {
    /// The revision of the endpoint list; `None` before the first list.
    pub revision: Option<u64>,
    /// The entries of the endpoint list, keyed by the member's name. Each is the JSON that
    /// discovery sent.
    pub members: BTreeMap<String, String>,
    /// The primary of each group, keyed by the group's number.
    pub primaries: BTreeMap<u64, KnownPrimary>,
    /// The name of the site that has the group's primary, keyed by the group's number.
    pub home_sites: BTreeMap<u64, String>,
    /// Service times, keyed by the request class's name.
    pub service_times: BTreeMap<String, ServiceTime>,
    /// The base-2 logarithm of the number of requests that may be in flight at a member, keyed by
    /// the member's name.
    pub concurrency_limits: BTreeMap<String, i32>,
}

/// The last known primary of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownPrimary {
    /// The member's name.
    pub member: String,
    /// When the member's last response or load report as primary was received, as Unix time in
    /// microseconds.
    #[serde(rename = "word")]
    pub confirmed_at: Micros,
}

/// Quantiles of how long the attempts of a request class took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// The duration, in microseconds, that half of the attempts did not exceed.
    #[serde(rename = "usual")]
    pub median: Micros,
    /// The duration, in microseconds, that nine tenths of the attempts did not exceed.
    #[serde(rename = "slow")]
    pub p90: Micros,
}
