//! The encoding of one [`Message`], big-endian: a byte of its kind, the lease (a byte of length, and its name), the ballot
//! where the kind has one (8 bytes of number, 8 of the candidate's start, its name), and the kind's numbers. Whoever
//! receives a message that cannot be decoded drops it.

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{Ballot, Incarnation, Message, Micros, OutstandingLease, Payload};

/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// The longest span that is taken, in microseconds: adding it to a clock cannot overflow.
const LONGEST_SPAN: u64 = 1 << 50;

const PREPARE: u8 = 1;
const PROMISE: u8 = 2;
const PROPOSE: u8 = 3;
const ACCEPT: u8 = 4;
const REJECT: u8 = 5;
const RELEASE: u8 = 6;

/// Bytes that are no message of this version. One such datagram is noise; many come from a proxy of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end early, or a name is not UTF-8.
    #[error("a message that is cut off; if many come, look for a proxy of another version")]
    Truncated,
    /// A name longer than any proxy sends.
    #[error("a name of {0} bytes, at most 64 are allowed; if many come, look for a proxy of another version")]
    NameTooLong(usize),
    /// A kind that this version does not know.
    #[error("a message of unknown kind {0}; upgrade this proxy, or look for one of another version")]
    UnknownKind(u8),
}

fn put_name(name: &str, to: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(LONGEST_NAME)];
    to.put_u8(bytes.len() as u8);
    to.put_slice(bytes);
}

fn put_incarnation(incarnation: &Incarnation, to: &mut Vec<u8>) {
    to.put_u64(incarnation.start);
    put_name(&incarnation.name, to);
}

fn put_ballot(ballot: &Ballot, to: &mut Vec<u8>) {
    to.put_u64(ballot.number);
    put_incarnation(&ballot.candidate, to);
}

/// The bytes of a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut to = Vec::with_capacity(128);
    let kind = match message.payload {
        Payload::Prepare { .. } => PREPARE,
        Payload::Promise { .. } => PROMISE,
        Payload::Propose { .. } => PROPOSE,
        Payload::Accept { .. } => ACCEPT,
        Payload::Reject { .. } => REJECT,
        Payload::Release { .. } => RELEASE,
    };
    to.put_u8(kind);
    put_name(&message.lease, &mut to);
    match &message.payload {
        Payload::Prepare { ballot } => put_ballot(ballot, &mut to),
        Payload::Promise { ballot, term, outstanding } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
            if let Some(lease) = outstanding {
                to.put_i64(lease.remaining);
                put_incarnation(&lease.holder, &mut to);
            }
        }
        Payload::Propose { ballot, term, duration } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
            to.put_i64(*duration);
        }
        Payload::Accept { ballot, term } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*term);
        }
        Payload::Reject { ballot, promised } => {
            put_ballot(ballot, &mut to);
            to.put_u64(*promised);
        }
        Payload::Release { term } => to.put_u64(*term),
    }
    to
}

fn byte(from: &mut &[u8]) -> Result<u8, DecodeError> {
    from.try_get_u8().map_err(|_| DecodeError::Truncated)
}

fn number(from: &mut &[u8]) -> Result<u64, DecodeError> {
    from.try_get_u64().map_err(|_| DecodeError::Truncated)
}

/// A span of time: never below zero, and never over [`LONGEST_SPAN`].
fn span(from: &mut &[u8]) -> Result<Micros, DecodeError> {
    Ok(number(from)?.min(LONGEST_SPAN) as Micros)
}

fn name(from: &mut &[u8]) -> Result<String, DecodeError> {
    let length = usize::from(byte(from)?);
    if length > LONGEST_NAME {
        return Err(DecodeError::NameTooLong(length));
    }
    let bytes = from.get(..length).ok_or(DecodeError::Truncated)?;
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::Truncated)?;
    let name = text.to_owned();
    from.advance(length);
    Ok(name)
}

fn incarnation(from: &mut &[u8]) -> Result<Incarnation, DecodeError> {
    let start = number(from)?;
    Ok(Incarnation { start, name: name(from)? })
}

fn ballot(from: &mut &[u8]) -> Result<Ballot, DecodeError> {
    let number = number(from)?;
    Ok(Ballot { number, candidate: incarnation(from)? })
}

fn outstanding(from: &mut &[u8]) -> Result<OutstandingLease, DecodeError> {
    let remaining = span(from)?;
    Ok(OutstandingLease { remaining, holder: incarnation(from)? })
}

/// Reads a message.
///
/// # Errors
///
/// The bytes are no message of this version.
pub fn decode(mut bytes: &[u8]) -> Result<Message, DecodeError> {
    let from = &mut bytes;
    let kind = byte(from)?;
    let lease = name(from)?;
    let payload = match kind {
        PREPARE => Payload::Prepare { ballot: ballot(from)? },
        PROMISE => {
            let ballot = ballot(from)?;
            let term = number(from)?;
            let outstanding = if from.is_empty() { None } else { Some(outstanding(from)?) };
            Payload::Promise { ballot, term, outstanding }
        }
        PROPOSE => Payload::Propose { ballot: ballot(from)?, term: number(from)?, duration: span(from)? },
        ACCEPT => Payload::Accept { ballot: ballot(from)?, term: number(from)? },
        REJECT => Payload::Reject { ballot: ballot(from)?, promised: number(from)? },
        RELEASE => Payload::Release { term: number(from)? },
        kind => return Err(DecodeError::UnknownKind(kind)),
    };
    Ok(Message { lease, payload })
}
