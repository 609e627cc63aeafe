//! JSON format of the records that this crate writes, and format of their keys.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Micros, ServiceTime};

/// Version of the record format. Records of a later version are not used and are left as they are.
pub const FORMAT_VERSION: u32 = 1;

/// The empty key, used for a record that exists only once in its namespace.
pub(crate) const SINGLE_RECORD_KEY: &[u8] = b"";

/// Identifies the proxy that owns the records.
#[derive(Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Name of the proxy.
    pub name: String,
    /// The [`FORMAT_VERSION`] of all records.
    pub format: u32,
}

/// All service times and concurrency limits, in a single record because they change together.
#[derive(Serialize, Deserialize)]
pub(crate) struct ServiceTimes {
    /// When the record was written, as Unix time in microseconds.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// Service times, keyed by the request class's name.
    #[serde(rename = "paces")]
    pub service_times: BTreeMap<String, ServiceTime>,
    /// Base-2 logarithms of the concurrency limits, keyed by the member's name.
    #[serde(rename = "windows")]
    pub concurrency_limits: BTreeMap<String, i32>,
}

/// Returns the key of a group's record: the group's number in decimal.
pub(crate) fn encode_group_key(group: &u64) -> Vec<u8> {
    group.to_string().into_bytes()
}

/// Returns the group that a key names, or `None` if the key is not a group's number in decimal.
pub(crate) fn decode_group_key(key: &[u8]) -> Option<u64> {
    std::str::from_utf8(key).ok()?.parse().ok()
}

/// Serializes a record's value as JSON. A value that cannot be serialized becomes an empty record.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Deserializes a record's value, or returns `None` if it is not valid.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
