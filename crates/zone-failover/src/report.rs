//! Reports of the proxies, which count how reads ended by group and zone of the member.
//!
//! A report is big-endian. Its header is:
//!
//! | Bytes | Field |
//! |---|---|
//! | 1 | zone of the proxy |
//! | 4 | span that the rows cover, in milliseconds |
//!
//! One row for each group and zone follows:
//!
//! | Bytes | Field |
//! |---|---|
//! | 8 | group |
//! | 1 | zone of the members |
//! | 4 | attempts |
//! | 4 | attempts served in time |
//! | 4 | rejected attempts |
//! | 4 | attempts answered with an error |
//! | 4 | unanswered attempts |
//! | 4 | total time of the served attempts, in milliseconds |

use bytes::{Buf, BufMut};

use crate::{DecodeError, Group, Micros, Zone};

/// The most rows in one report, so that the report fits into a datagram. Further rows go into another report.
pub const MAX_ROWS: usize = 26;

const HEADER_BYTES: usize = 5;
const ROW_BYTES: usize = 33;
/// The longest span that is reported, in milliseconds (about 12 days).
const MAX_SPAN_MS: Micros = 1 << 30;

/// The outcome of a read attempt, as far as it says something about the member's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The member answered.
    Served {
        /// Whether the answer came within the latency objective of the request's class.
        in_time: bool,
    },
    /// The member rejected the attempt because it was overloaded.
    Rejected,
    /// The member answered with an error, which may be caused by the request itself.
    Failed,
    /// The member did not answer or could not be reached.
    Unanswered,
}

/// Counts of the outcomes of read attempts at one group in one zone. Sums saturate at `u32::MAX`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Attempts that ended, with any outcome.
    pub attempts: u32,
    /// Attempts served within their latency objective.
    pub in_time: u32,
    /// Attempts rejected because the member was overloaded.
    pub rejected: u32,
    /// Attempts answered with an error.
    pub failed: u32,
    /// Attempts without an answer.
    pub unanswered: u32,
    /// Total time of all served attempts, in milliseconds.
    pub served_ms: u32,
}

impl OutcomeCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.in_time = self.in_time.saturating_add(other.in_time);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
        self.served_ms = self.served_ms.saturating_add(other.served_ms);
    }

    /// Returns the number of attempts that say something about the zone. Errors are excluded, because they may be
    /// caused by the request itself. The result is at least 1, because it is used as a divisor.
    fn conclusive_attempts(&self) -> f64 {
        f64::from((self.attempts - self.failed.min(self.attempts)).max(1))
    }

    /// Returns the share of conclusive attempts that were served in time, as a fraction.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / self.conclusive_attempts()
    }

    /// Returns the share of conclusive attempts without an answer, as a fraction.
    pub fn share_unanswered(&self) -> f64 {
        f64::from(self.unanswered) / self.conclusive_attempts()
    }
}

/// The outcomes of one proxy's reads of one group in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRow {
    /// The group that was read from.
    pub group: Group,
    /// The zone of the members that were tried.
    pub zone: Zone,
    /// The outcomes of the attempts.
    pub counts: OutcomeCounts,
}

/// The report that each proxy sends once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// The proxy's own zone.
    pub zone: Zone,
    /// The span that the rows cover, in microseconds. It is encoded in whole milliseconds.
    pub span: Micros,
    /// The rows, one for each group and zone that was tried.
    pub rows: Vec<ZoneRow>,
}

impl ZoneReport {
    /// Encodes the report. Rows beyond [`MAX_ROWS`] are dropped.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.rows.len() * ROW_BYTES);
        put_zone(&mut bytes, self.zone);
        bytes.put_u32((self.span / 1000).clamp(0, MAX_SPAN_MS) as u32);
        for row in self.rows.iter().take(MAX_ROWS) {
            row.encode(&mut bytes);
        }
        bytes
    }

    /// Decodes a report; fails if it ends within a field.
    pub fn decode(mut bytes: &[u8]) -> Result<ZoneReport, DecodeError> {
        let zone = get_zone(&mut bytes)?;
        let span_ms = get_u32(&mut bytes)?;
        let mut rows = Vec::new();
        while !bytes.is_empty() {
            rows.push(ZoneRow::decode(&mut bytes)?);
        }
        Ok(ZoneReport { zone, span: Micros::from(span_ms) * 1000, rows })
    }
}

impl ZoneRow {
    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.put_u64(self.group);
        put_zone(bytes, self.zone);
        bytes.put_u32(self.counts.attempts);
        bytes.put_u32(self.counts.in_time);
        bytes.put_u32(self.counts.rejected);
        bytes.put_u32(self.counts.failed);
        bytes.put_u32(self.counts.unanswered);
        bytes.put_u32(self.counts.served_ms);
    }

    fn decode(bytes: &mut &[u8]) -> Result<ZoneRow, DecodeError> {
        let group = bytes.try_get_u64().map_err(|_| DecodeError::Truncated)?;
        let zone = get_zone(bytes)?;
        let counts = OutcomeCounts {
            attempts: get_u32(bytes)?,
            in_time: get_u32(bytes)?,
            rejected: get_u32(bytes)?,
            failed: get_u32(bytes)?,
            unanswered: get_u32(bytes)?,
            served_ms: get_u32(bytes)?,
        };
        Ok(ZoneRow { group, zone, counts })
    }
}

/// Writes a zone as one byte, which suffices because settings have fewer than 256 zones.
pub(crate) fn put_zone(bytes: &mut Vec<u8>, zone: Zone) {
    bytes.put_u8(zone.min(255) as u8);
}

pub(crate) fn get_zone(bytes: &mut &[u8]) -> Result<Zone, DecodeError> {
    bytes.try_get_u8().map(Zone::from).map_err(|_| DecodeError::Truncated)
}

fn get_u32(bytes: &mut &[u8]) -> Result<u32, DecodeError> {
    bytes.try_get_u32().map_err(|_| DecodeError::Truncated)
}
