//! Namespaces of the records in the store. The numbers are part of the stored format and must never
//! change.

/// The identity of the proxy that owns the data directory, in a single record.
pub const IDENTITY: u32 = 1;
/// The endpoint list: its revision under the empty key, and each entry under the member's name.
pub const ENDPOINT_LIST: u32 = 2;
/// The primary of each group, keyed by group number.
pub const PRIMARIES: u32 = 3;
/// The site of each group's primary, keyed by group number.
pub const HOME_SITES: u32 = 4;
/// Service times of request classes and concurrency limits of members, in a single record.
pub const SERVICE_TIMES: u32 = 5;
/// Outcomes of remote requests. The dispatcher's outcome log writes and reads these records, in a
/// format of its own.
pub const OUTCOME_LOG: u32 = 6;
/// The time until which the outcome log promises that no remote request runs without a record. The
/// format is that of [`OUTCOME_LOG`].
pub const OUTCOME_LOG_PROMISES: u32 = 7;
/// The highest term granted by this voter, keyed by lease name. The proxy's coordination writes and
/// reads these records.
pub const GRANTED_TERMS: u32 = 8;
/// The highest term under which a directive was accepted, keyed by lease name. The proxy's
/// coordination writes and reads these records.
pub const ACCEPTED_TERMS: u32 = 9;
/// The plan for each site that is drained, keyed by the site's name. The proxy's coordination
/// writes and reads these records.
pub const SITE_DRAINS: u32 = 10;
