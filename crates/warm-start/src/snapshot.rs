//! What a proxy knows at one moment and saves.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// What a proxy knows at one moment, as far as its next start can use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateSnapshot {
    /// The endpoint list's revision; `None` before there is a list.
    pub revision: Option<u64>,
    /// The endpoint list's entries by the member's name, each as the JSON that discovery sent.
    pub members: BTreeMap<String, String>,
    /// By the group's number.
    pub primaries: BTreeMap<u64, KnownPrimary>,
    /// The name of the site that has a group's primary, by the group's number.
    pub home_sites: BTreeMap<u64, String>,
    /// By the request class's name.
    pub service_times: BTreeMap<String, ServiceTime>,
    /// By the member's name: the base-two logarithm of the requests that may be in flight at it.
    pub concurrency_limits: BTreeMap<String, i32>,
}

/// The member that was a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownPrimary {
    /// The member's name.
    pub member: String,
    /// When its last answer or load report as primary was received, as a Unix time.
    #[serde(rename = "word")]
    pub confirmed_at: Micros,
}

/// How long attempts of a request class took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTime {
    /// Half of the attempts took no longer.
    #[serde(rename = "usual")]
    pub median: Micros,
    /// Nine tenths of the attempts took no longer.
    #[serde(rename = "slow")]
    pub p90: Micros,
}
