//! The form of the records that this package writes, as JSON, and of their keys.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Micros, ServiceTime};

/// The version of the records' form. Records of a later one are left alone.
pub const FORMAT_VERSION: u32 = 1;

/// The key of a record that a namespace has only once.
pub(crate) const SINGLE_RECORD_KEY: &[u8] = b"";

/// Whose records they are.
#[derive(Serialize, Deserialize)]
pub(crate) struct Identity {
    /// The proxy's name.
    pub name: String,
    /// The [`FORMAT_VERSION`] of all records.
    pub format: u32,
}

/// All service times and concurrency limits; one record, as they change together.
#[derive(Serialize, Deserialize)]
pub(crate) struct ServiceTimes {
    /// When it was written.
    #[serde(rename = "at")]
    pub written_at: Micros,
    /// By the request class's name.
    #[serde(rename = "paces")]
    pub service_times: BTreeMap<String, ServiceTime>,
    /// By the member's name, as a base-two logarithm.
    #[serde(rename = "windows")]
    pub concurrency_limits: BTreeMap<String, i32>,
}

/// The key of a group's record.
pub(crate) fn encode_group_key(group: &u64) -> Vec<u8> {
    group.to_string().into_bytes()
}

/// The group that a key names, if it names one.
pub(crate) fn decode_group_key(key: &[u8]) -> Option<u64> {
    std::str::from_utf8(key).ok()?.parse().ok()
}

/// A record's value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// What a record's value says, if it can be read.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
