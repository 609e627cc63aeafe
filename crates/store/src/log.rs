//! What stands in a segment: a head, and records behind it.

use prost::Message;

use crate::Micros;

/// The version of the format that is written here.
pub(crate) const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"aldstore";
/// Magic, version, kind, segment number, checksum of all of these.
pub(crate) const HEAD: usize = 8 + 4 + 4 + 8 + 4;
/// Length of the body, checksum of the rest, sequence number, the number up to which all was synced before.
pub(crate) const FRONT: usize = 4 + 4 + 8 + 8;

/// One change of a batch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Change {
    #[prost(uint32, tag = "1")]
    pub space: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Left out where the key is removed.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
    /// When it is over; 0 is never.
    #[prost(int64, tag = "4")]
    pub until: Micros,
}

/// The body of a record: it takes effect whole.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Body {
    #[prost(message, repeated, tag = "1")]
    pub changes: Vec<Change>,
    /// When it was written.
    #[prost(int64, tag = "2")]
    pub at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Changes as they came.
    Log,
    /// All that was live when it was written: segments with lower numbers say nothing any more.
    Base,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadHead {
    /// Torn, or not of this store.
    Unreadable,
    Newer(u32),
}

pub(crate) fn head(kind: Kind, number: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&(if kind == Kind::Base { 1u32 } else { 0 }).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    let sum = crc32c::crc32c(&out);
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

pub(crate) fn read_head(bytes: &[u8]) -> Result<(Kind, u64), BadHead> {
    let head = bytes.get(..HEAD).ok_or(BadHead::Unreadable)?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if &head[..8] != MAGIC || word(HEAD - 4) != crc32c::crc32c(&head[..HEAD - 4]) {
        return Err(BadHead::Unreadable);
    }
    if word(8) != VERSION {
        return Err(BadHead::Newer(word(8)));
    }
    let number = u64::from(word(16)) | u64::from(word(20)) << 32;
    Ok((if word(12) == 1 { Kind::Base } else { Kind::Log }, number))
}

pub(crate) fn record(sequence: u64, synced: u64, body: &Body) -> Vec<u8> {
    let length = body.encoded_len();
    let mut out = Vec::with_capacity(FRONT + length);
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    // A vector takes whatever is written.
    let _ = body.encode(&mut out);
    let sum = checksum(&out);
    out[4..8].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Of everything but itself.
fn checksum(record: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&record[..4]), &record[8..])
}

/// One record as it was found.
pub(crate) struct Found {
    pub sequence: u64,
    /// All up to this sequence number was synced when it was written.
    pub synced: u64,
    pub body: Body,
    pub length: usize,
}

/// The record at the front of `bytes`, if a sound one stands there.
pub(crate) fn read_record(bytes: &[u8]) -> Option<Found> {
    let front = bytes.get(..FRONT)?;
    let word = |at: usize| u32::from_le_bytes([front[at], front[at + 1], front[at + 2], front[at + 3]]);
    let long = |at: usize| u64::from(word(at)) | u64::from(word(at + 4)) << 32;
    let length = FRONT.checked_add(word(0) as usize)?;
    let whole = bytes.get(..length)?;
    if checksum(whole) != word(4) {
        return None;
    }
    let body = Body::decode(&whole[FRONT..]).ok()?;
    Some(Found { sequence: long(8), synced: long(16), body, length })
}
