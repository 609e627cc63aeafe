//! The encoding of what processes send each other about directives, big-endian. First a byte of the kind: 1 for directives,
//! 2 for a digest that wants an answer, 3 for a digest that is an answer, 4 for a report. Then, until the end, for each: the
//! lease and the subject (a byte of length, and the name), and
//!
//! | what | fields |
//! | --- | --- |
//! | directive | 8 bytes of term, 8 of number, 8 of remaining lifetime in microseconds, its issuer, 2 of length, the body |
//! | digest | 8 bytes of term, 8 of number |
//! | report | 8 bytes of number, 2 of length, the body |

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{DigestEntry, Directive, Micros, Report, Topic, Version};

/// The longest message, in bytes; a datagram has room for its sender besides.
pub const LONGEST_MESSAGE: usize = 1000;
/// The longest body of a directive or report, in bytes.
pub const LONGEST_BODY: usize = 900;
/// The longest name, in bytes.
const LONGEST_NAME: usize = 64;
/// The longest lifetime that is taken, in microseconds: adding it to a clock cannot overflow.
const LONGEST_SPAN: u64 = 1 << 50;

const DIRECTIVES: u8 = 1;
const DIGEST: u8 = 2;
const DIGEST_ANSWER: u8 = 3;
const REPORT: u8 = 4;

/// Bytes that are no message of this version. One such datagram is noise; many come from a proxy of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end early, or a name is not UTF-8.
    #[error("a message that is cut off; if many come, look for a proxy of another version")]
    Truncated,
    /// A name or body longer than any proxy sends.
    #[error(
        "a name or body of {0} bytes, more than allowed; if many come, look for a proxy of another version"
    )]
    TooLong(usize),
    /// A kind that this version does not know.
    #[error("a message of unknown kind {0}; upgrade this proxy, or look for one of another version")]
    UnknownKind(u8),
}

/// One message between two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Directives that the sender issued, or knows of.
    Directives(Vec<Directive>),
    /// The versions that the sender knows of.
    Digest {
        /// One for each topic.
        entries: Vec<DigestEntry>,
        /// Whether it answers a digest, and wants none in return.
        is_answer: bool,
    },
    /// A report to a lease holder.
    Report(Report),
}

fn put_name(name: &str, to: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(LONGEST_NAME)];
    to.put_u8(bytes.len() as u8);
    to.put_slice(bytes);
}

fn put_body(body: &[u8], to: &mut Vec<u8>) {
    let body = &body[..body.len().min(LONGEST_BODY)];
    to.put_u16(body.len() as u16);
    to.put_slice(body);
}

fn put_topic(topic: &Topic, to: &mut Vec<u8>) {
    put_name(&topic.lease, to);
    put_name(&topic.subject, to);
}

fn put_version(version: Version, to: &mut Vec<u8>) {
    to.put_u64(version.term);
    to.put_u64(version.number);
}

fn put_directive(directive: &Directive, to: &mut Vec<u8>) {
    put_topic(&directive.topic, to);
    put_version(directive.version, to);
    to.put_i64(directive.remaining);
    put_name(&directive.issuer, to);
    put_body(&directive.body, to);
}

fn put_digest_entry(entry: &DigestEntry, to: &mut Vec<u8>) {
    put_topic(&entry.topic, to);
    put_version(entry.version, to);
}

/// The bytes of directives, in as many messages as they need.
#[must_use]
pub fn encode_directives(directives: &[Directive]) -> Vec<Vec<u8>> {
    pack(DIRECTIVES, directives, put_directive)
}

/// The bytes of a digest, in as many messages as it needs; `is_answer` where it answers another's.
#[must_use]
pub fn encode_digest(entries: &[DigestEntry], is_answer: bool) -> Vec<Vec<u8>> {
    pack(if is_answer { DIGEST_ANSWER } else { DIGEST }, entries, put_digest_entry)
}

/// The bytes of a report.
#[must_use]
pub fn encode_report(report: &Report) -> Vec<u8> {
    let mut to = vec![REPORT];
    put_topic(&report.topic, &mut to);
    to.put_u64(report.number);
    put_body(&report.body, &mut to);
    to
}

/// Fills messages of one kind, none longer than [`LONGEST_MESSAGE`] unless a single item is.
fn pack<T>(kind: u8, items: &[T], put: impl Fn(&T, &mut Vec<u8>)) -> Vec<Vec<u8>> {
    let mut messages = vec![vec![kind]];
    for item in items {
        let mut bytes = Vec::new();
        put(item, &mut bytes);
        let last = messages.last().map_or(0, Vec::len);
        if last > 1 && last + bytes.len() > LONGEST_MESSAGE {
            messages.push(vec![kind]);
        }
        if let Some(message) = messages.last_mut() {
            message.append(&mut bytes);
        }
    }
    messages
}

fn number(from: &mut &[u8]) -> Result<u64, DecodeError> {
    from.try_get_u64().map_err(|_| DecodeError::Truncated)
}

fn piece<'a>(from: &mut &'a [u8], length: usize, most: usize) -> Result<&'a [u8], DecodeError> {
    if length > most {
        return Err(DecodeError::TooLong(length));
    }
    let piece = from.get(..length).ok_or(DecodeError::Truncated)?;
    from.advance(length);
    Ok(piece)
}

fn name(from: &mut &[u8]) -> Result<String, DecodeError> {
    let length = from.try_get_u8().map_err(|_| DecodeError::Truncated)?;
    let bytes = piece(from, usize::from(length), LONGEST_NAME)?;
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| DecodeError::Truncated)
}

fn body(from: &mut &[u8]) -> Result<Vec<u8>, DecodeError> {
    let length = from.try_get_u16().map_err(|_| DecodeError::Truncated)?;
    piece(from, usize::from(length), LONGEST_BODY).map(<[u8]>::to_vec)
}

fn topic(from: &mut &[u8]) -> Result<Topic, DecodeError> {
    Ok(Topic { lease: name(from)?, subject: name(from)? })
}

fn version(from: &mut &[u8]) -> Result<Version, DecodeError> {
    Ok(Version { term: number(from)?, number: number(from)? })
}

/// A span of time: never below zero, and never over [`LONGEST_SPAN`].
fn span(from: &mut &[u8]) -> Result<Micros, DecodeError> {
    Ok(number(from)?.min(LONGEST_SPAN) as Micros)
}

fn directive(from: &mut &[u8]) -> Result<Directive, DecodeError> {
    Ok(Directive {
        topic: topic(from)?,
        version: version(from)?,
        remaining: span(from)?,
        issuer: name(from)?,
        body: body(from)?,
    })
}

fn digest_entry(from: &mut &[u8]) -> Result<DigestEntry, DecodeError> {
    Ok(DigestEntry { topic: topic(from)?, version: version(from)? })
}

fn report(from: &mut &[u8]) -> Result<Report, DecodeError> {
    Ok(Report { topic: topic(from)?, number: number(from)?, body: body(from)? })
}

fn until_the_end<T>(
    from: &mut &[u8],
    read: impl Fn(&mut &[u8]) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let mut items = Vec::new();
    while !from.is_empty() {
        items.push(read(from)?);
    }
    Ok(items)
}

/// Reads a message.
///
/// # Errors
///
/// The bytes are no message of this version.
pub fn decode(mut bytes: &[u8]) -> Result<Message, DecodeError> {
    let from = &mut bytes;
    let kind = from.try_get_u8().map_err(|_| DecodeError::Truncated)?;
    match kind {
        DIRECTIVES => Ok(Message::Directives(until_the_end(from, directive)?)),
        DIGEST | DIGEST_ANSWER => {
            let entries = until_the_end(from, digest_entry)?;
            Ok(Message::Digest { entries, is_answer: kind == DIGEST_ANSWER })
        }
        REPORT => Ok(Message::Report(report(from)?)),
        kind => Err(DecodeError::UnknownKind(kind)),
    }
}
