//! The encoding of a [`Message`].
//!
//! A message starts with one byte that gives its kind, followed by the name of the lease and the fields of
//! the kind:
//!
//! | kind | message | fields |
//! | --- | --- | --- |
//! | 1 | prepare | ballot |
//! | 2 | promise | ballot, term; for an outstanding lease also its remaining time and its holder |
//! | 3 | propose | ballot, term, duration |
//! | 4 | accept | ballot, term |
//! | 5 | reject | ballot, number of the promised ballot |
//! | 6 | release | term |
//!
//! Numbers are 8 bytes, big-endian; times are in microseconds. A name is one byte of length and the name in
//! UTF-8. An incarnation (a candidate or a holder) is its start number and its name, and a ballot is its
//! number and its candidate. The receiver drops a message that cannot be decoded.

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{Ballot, Incarnation, Message, Micros, OutstandingLease, Payload};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The maximum time span, in microseconds: adding it to a clock cannot overflow. Longer spans are reduced to
/// it.
const MAX_SPAN: u64 = 1 << 50;

const PREPARE: u8 = 1;
const PROMISE: u8 = 2;
const PROPOSE: u8 = 3;
const ACCEPT: u8 = 4;
const REJECT: u8 = 5;
const RELEASE: u8 = 6;

/// The reason why bytes are not a message of this version.
///
/// A single datagram of this sort is noise; if there are many, a proxy of another version sends them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end early, or a name is not UTF-8.
    #[error(
        "the message ends early or has a name that is not UTF-8; if many arrive, look for a proxy of another version"
    )]
    Truncated,
    /// The name is longer than any that a proxy sends; the value is its length in bytes.
    #[error(
        "a name of {0} bytes is longer than the maximum of 64; if many arrive, look for a proxy of another version"
    )]
    NameTooLong(usize),
    /// This version does not know the kind of the message; the value is the byte that gives the kind.
    #[error("unknown message kind {0}; upgrade this proxy, or look for a proxy of another version")]
    UnknownKind(u8),
}

fn put_name(name: &str, out: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
    out.put_u8(bytes.len() as u8);
    out.put_slice(bytes);
}

fn put_incarnation(incarnation: &Incarnation, out: &mut Vec<u8>) {
    out.put_u64(incarnation.start);
    put_name(&incarnation.name, out);
}

fn put_ballot(ballot: &Ballot, out: &mut Vec<u8>) {
    out.put_u64(ballot.number);
    put_incarnation(&ballot.candidate, out);
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    let kind = match message.payload {
        Payload::Prepare { .. } => PREPARE,
        Payload::Promise { .. } => PROMISE,
        Payload::Propose { .. } => PROPOSE,
        Payload::Accept { .. } => ACCEPT,
        Payload::Reject { .. } => REJECT,
        Payload::Release { .. } => RELEASE,
    };
    out.put_u8(kind);
    put_name(&message.lease, &mut out);
    match &message.payload {
        Payload::Prepare { ballot } => put_ballot(ballot, &mut out),
        Payload::Promise { ballot, term, outstanding } => {
            put_ballot(ballot, &mut out);
            out.put_u64(*term);
            if let Some(lease) = outstanding {
                out.put_i64(lease.remaining);
                put_incarnation(&lease.holder, &mut out);
            }
        }
        Payload::Propose { ballot, term, duration } => {
            put_ballot(ballot, &mut out);
            out.put_u64(*term);
            out.put_i64(*duration);
        }
        Payload::Accept { ballot, term } => {
            put_ballot(ballot, &mut out);
            out.put_u64(*term);
        }
        Payload::Reject { ballot, promised } => {
            put_ballot(ballot, &mut out);
            out.put_u64(*promised);
        }
        Payload::Release { term } => out.put_u64(*term),
    }
    out
}

fn get_u8(input: &mut &[u8]) -> Result<u8, DecodeError> {
    input.try_get_u8().map_err(|_| DecodeError::Truncated)
}

fn get_u64(input: &mut &[u8]) -> Result<u64, DecodeError> {
    input.try_get_u64().map_err(|_| DecodeError::Truncated)
}

/// Reads a time span; the result is between 0 and [`MAX_SPAN`].
fn get_span(input: &mut &[u8]) -> Result<Micros, DecodeError> {
    Ok(get_u64(input)?.min(MAX_SPAN) as Micros)
}

fn get_name(input: &mut &[u8]) -> Result<String, DecodeError> {
    let length = usize::from(get_u8(input)?);
    if length > MAX_NAME_BYTES {
        return Err(DecodeError::NameTooLong(length));
    }
    let bytes = input.get(..length).ok_or(DecodeError::Truncated)?;
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::Truncated)?;
    let name = text.to_owned();
    input.advance(length);
    Ok(name)
}

fn get_incarnation(input: &mut &[u8]) -> Result<Incarnation, DecodeError> {
    let start = get_u64(input)?;
    Ok(Incarnation { start, name: get_name(input)? })
}

fn get_ballot(input: &mut &[u8]) -> Result<Ballot, DecodeError> {
    let number = get_u64(input)?;
    Ok(Ballot { number, candidate: get_incarnation(input)? })
}

fn get_outstanding_lease(input: &mut &[u8]) -> Result<OutstandingLease, DecodeError> {
    let remaining = get_span(input)?;
    Ok(OutstandingLease { remaining, holder: get_incarnation(input)? })
}

/// Decodes a message.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes are not a message of this version.
pub fn decode(mut bytes: &[u8]) -> Result<Message, DecodeError> {
    let input = &mut bytes;
    let kind = get_u8(input)?;
    let lease = get_name(input)?;
    let payload = match kind {
        PREPARE => Payload::Prepare { ballot: get_ballot(input)? },
        PROMISE => {
            let ballot = get_ballot(input)?;
            let term = get_u64(input)?;
            let outstanding = if input.is_empty() { None } else { Some(get_outstanding_lease(input)?) };
            Payload::Promise { ballot, term, outstanding }
        }
        PROPOSE => {
            Payload::Propose { ballot: get_ballot(input)?, term: get_u64(input)?, duration: get_span(input)? }
        }
        ACCEPT => Payload::Accept { ballot: get_ballot(input)?, term: get_u64(input)? },
        REJECT => Payload::Reject { ballot: get_ballot(input)?, promised: get_u64(input)? },
        RELEASE => Payload::Release { term: get_u64(input)? },
        kind => return Err(DecodeError::UnknownKind(kind)),
    };
    Ok(Message { lease, payload })
}
