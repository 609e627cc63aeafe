//! What a proxy reports: how its reads ended, by group and zone of the member.
//!
//! Bytes of a report, big-endian: 1 of the proxy's zone, 4 of the span in milliseconds, then for each row 8 of the group,
//! 1 of the zone, and 4 each of attempts, in time, rejected, errors, unanswered, and milliseconds that served ones took.

use bytes::{Buf, BufMut};

use crate::{DecodeError, Group, Micros, Zone};

/// Rows in one report, so that it fits into a datagram; more go into another report.
pub const MAX_ROWS: usize = 26;

const HEADER_BYTES: usize = 5;
const ROW_BYTES: usize = 33;
/// The longest span that is reported, in milliseconds (about 12 days).
const MAX_SPAN_MS: Micros = 1 << 30;

/// How an attempt at a read ended, as far as the member's zone is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The member answered.
    Served {
        /// Within the latency objective of the request's class.
        in_time: bool,
    },
    /// The member rejected it for overload.
    Rejected,
    /// The member answered with an error, which may be the request's own fault.
    Failed,
    /// No answer came, or the member could not be reached.
    Unanswered,
}

/// How attempts of one group at one zone ended. All counts saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// All attempts that ended.
    pub attempts: u32,
    /// Served within their latency objective.
    pub in_time: u32,
    /// Rejected for overload.
    pub rejected: u32,
    /// Answered with an error.
    pub failed: u32,
    /// Without an answer.
    pub unanswered: u32,
    /// Time that all served ones took together, in milliseconds.
    pub served_ms: u32,
}

impl OutcomeCounts {
    /// Adds the other's counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.in_time = self.in_time.saturating_add(other.in_time);
        self.rejected = self.rejected.saturating_add(other.rejected);
        self.failed = self.failed.saturating_add(other.failed);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
        self.served_ms = self.served_ms.saturating_add(other.served_ms);
    }

    /// Attempts that say something of the zone: an error may be the request's own. At least 1, as it divides.
    fn conclusive_attempts(&self) -> f64 {
        f64::from((self.attempts - self.failed.min(self.attempts)).max(1))
    }

    /// The share of conclusive attempts that were served in time.
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / self.conclusive_attempts()
    }

    /// The share of conclusive attempts without an answer.
    pub fn share_unanswered(&self) -> f64 {
        f64::from(self.unanswered) / self.conclusive_attempts()
    }
}

/// How reads of one group ended in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRow {
    /// The group read from.
    pub group: Group,
    /// The zone of the members that were tried.
    pub zone: Zone,
    /// How the attempts ended.
    pub counts: OutcomeCounts,
}

/// What one proxy reports once a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// The proxy's own zone.
    pub zone: Zone,
    /// The span that the rows were counted over, in microseconds; whole milliseconds are sent.
    pub span: Micros,
    /// One for each group and zone that was tried.
    pub rows: Vec<ZoneRow>,
}

impl ZoneReport {
    /// The bytes of the report. Rows after [`MAX_ROWS`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.rows.len() * ROW_BYTES);
        put_zone(&mut bytes, self.zone);
        bytes.put_u32((self.span / 1000).clamp(0, MAX_SPAN_MS) as u32);
        for row in self.rows.iter().take(MAX_ROWS) {
            row.encode(&mut bytes);
        }
        bytes
    }

    /// Reads a report; fails where it ends within a field.
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

/// A zone is one byte on the wire; settings have fewer than 256 of them.
pub(crate) fn put_zone(bytes: &mut Vec<u8>, zone: Zone) {
    bytes.put_u8(zone.min(255) as u8);
}

pub(crate) fn get_zone(bytes: &mut &[u8]) -> Result<Zone, DecodeError> {
    bytes.try_get_u8().map(Zone::from).map_err(|_| DecodeError::Truncated)
}

fn get_u32(bytes: &mut &[u8]) -> Result<u32, DecodeError> {
    bytes.try_get_u32().map_err(|_| DecodeError::Truncated)
}
