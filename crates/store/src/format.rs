//! The bytes of a segment: a header, and records behind it (`docs/store.md`). All numbers are little-endian.

use prost::Message;

use crate::Micros;

/// The version of the format that is written here.
const VERSION: u32 = 1;
/// What a segment begins with.
const MAGIC: &[u8; 8] = b"aldstore";
/// Length of a segment's header in bytes: magic, version, kind, segment number, checksum of all of these.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 8 + 4 + 4 + 8 + 4;
/// Length of a record's header in bytes: length of the body, checksum of the rest, sequence number, synced sequence
/// number.
pub(crate) const RECORD_HEADER_BYTES: usize = 4 + 4 + 8 + 8;
/// How a segment of changes is marked.
const LOG_KIND: u32 = 0;
/// How a base segment is marked.
const BASE_KIND: u32 = 1;
/// The expiry time of what stays until it is removed.
pub(crate) const NEVER_EXPIRES: Micros = 0;

/// One change of a batch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Change {
    /// The namespace of the key.
    #[prost(uint32, tag = "1")]
    pub namespace: u32,
    /// The key, in its namespace.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Left out where the key is removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
    /// When the entry expires, by the records' time, or [`NEVER_EXPIRES`].
    #[prost(int64, tag = "4")]
    pub expires_at: Micros,
}

impl Change {
    /// Bytes of the key and the value.
    pub(crate) fn size(&self) -> u64 {
        (self.key.len() + self.value.as_ref().map_or(0, Vec::len)) as u64
    }
}

/// The body of a record: it takes effect whole.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct RecordBody {
    /// In the order in which they take effect.
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<Change>,
    /// When it was written, by the records' time.
    #[prost(int64, tag = "2")]
    pub written_at: Micros,
}

/// What the records of a segment are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentKind {
    /// Changes in the order in which they were committed.
    Log,
    /// All that was live when it was written: segments with lower numbers are obsolete.
    Base,
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// What its records are.
    pub kind: SegmentKind,
    /// Its number, which its file's name bears, too.
    pub number: u64,
}

/// Why a segment's header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeaderError {
    /// Torn, or not of this store.
    Unreadable,
    /// Written by a program of this later version of the format.
    NewerFormat(u32),
}

/// The bytes of a segment's header.
pub(crate) fn encode_header(header: SegmentHeader) -> Vec<u8> {
    let kind = match header.kind {
        SegmentKind::Log => LOG_KIND,
        SegmentKind::Base => BASE_KIND,
    };
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&kind.to_le_bytes());
    out.extend_from_slice(&header.number.to_le_bytes());
    let sum = crc32c::crc32c(&out);
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

/// The header at the front of a segment's bytes.
pub(crate) fn decode_header(bytes: &[u8]) -> Result<SegmentHeader, HeaderError> {
    let header = bytes.get(..SEGMENT_HEADER_BYTES).ok_or(HeaderError::Unreadable)?;
    let checksum_at = SEGMENT_HEADER_BYTES - 4;
    if &header[..8] != MAGIC || u32_at(header, checksum_at) != crc32c::crc32c(&header[..checksum_at]) {
        return Err(HeaderError::Unreadable);
    }
    let version = u32_at(header, 8);
    if version != VERSION {
        return Err(HeaderError::NewerFormat(version));
    }
    let kind = if u32_at(header, 12) == BASE_KIND { SegmentKind::Base } else { SegmentKind::Log };
    Ok(SegmentHeader { kind, number: u64_at(header, 16) })
}

/// The bytes of a record; all up to `synced_sequence` is known to be on the disk.
pub(crate) fn encode_record(sequence: u64, synced_sequence: u64, body: &RecordBody) -> Vec<u8> {
    let length = body.encoded_len();
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + length);
    out.extend_from_slice(&(length as u32).to_le_bytes());
    // The place of the checksum, which is known last.
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&synced_sequence.to_le_bytes());
    // Encoding fails only where the buffer is too short, and a vector grows.
    let _ = body.encode(&mut out);
    let sum = record_checksum(&out);
    out[4..8].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Of everything but the checksum itself.
fn record_checksum(record: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&record[..4]), &record[8..])
}

/// One record as it was read.
pub(crate) struct DecodedRecord {
    /// Its place in the order of all records.
    pub sequence: u64,
    /// All up to this sequence number was synced when it was written.
    pub synced_sequence: u64,
    /// What it changes.
    pub body: RecordBody,
    /// Its length with its header, in bytes.
    pub length: usize,
}

/// The record at the front of `bytes`, if a sound one stands there.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<DecodedRecord> {
    let header = bytes.get(..RECORD_HEADER_BYTES)?;
    let length = RECORD_HEADER_BYTES.checked_add(u32_at(header, 0) as usize)?;
    let whole = bytes.get(..length)?;
    if record_checksum(whole) != u32_at(header, 4) {
        return None;
    }
    let body = RecordBody::decode(&whole[RECORD_HEADER_BYTES..]).ok()?;
    let sequence = u64_at(header, 8);
    let synced_sequence = u64_at(header, 16);
    Some(DecodedRecord { sequence, synced_sequence, body, length })
}

/// The number at an offset of a header, which is long enough.
fn u32_at(header: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
}

/// The number at an offset of a header, which is long enough.
fn u64_at(header: &[u8], at: usize) -> u64 {
    u64::from(u32_at(header, at)) | u64::from(u32_at(header, at + 4)) << 32
}
