//! The namespaces of the store. The numbers are part of the stored format and never change.

/// Whose data directory it is; one record.
pub const IDENTITY: u32 = 1;
/// The endpoint list: its revision under the empty key, each entry under the member's name.
pub const ENDPOINT_LIST: u32 = 2;
/// The primary of each group, by the group's number.
pub const PRIMARIES: u32 = 3;
/// The site of each group's primary, by the group's number.
pub const HOME_SITES: u32 = 4;
/// Service times of request classes and concurrency limits of members; one record.
pub const SERVICE_TIMES: u32 = 5;
/// Outcomes of remote requests. Written and read by the dispatcher's outcome log, in a format of its own.
pub const OUTCOME_LOG: u32 = 6;
/// Until when the outcome log promises that no remote request runs without a record; format as for [`OUTCOME_LOG`].
pub const OUTCOME_LOG_PROMISES: u32 = 7;
/// The highest term that this voter granted, by lease. Written and read by the proxy's coordination.
pub const GRANTED_TERMS: u32 = 8;
/// The highest term of which a directive was accepted, by lease. Written and read by the proxy's coordination.
pub const ACCEPTED_TERMS: u32 = 9;
/// The plan for each site that is drained, by its name. Written and read by the proxy's coordination.
pub const SITE_DRAINS: u32 = 10;
