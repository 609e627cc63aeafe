//! The encoding of the messages that proxies exchange about directives and reports.
//!
//! All integers are big-endian. A message starts with one byte for its kind: 1 for directives, 2 for a digest that
//! asks for an answer, 3 for a digest that answers another, 4 for a report. Items follow until the end of the
//! message; a report is a single item. A name is one byte of length and that many bytes of UTF-8. Each item starts
//! with the names of the lease and the subject, followed by these fields, with sizes in bytes:
//!
//! | item | fields |
//! | --- | --- |
//! | directive | term (8), number (8), remaining microseconds (8), issuer's name, body length (2), body |
//! | digest entry | term (8), number (8) |
//! | report | number (8), body length (2), body |

use bytes::{Buf, BufMut};
use thiserror::Error;

use crate::{DigestEntry, Directive, Micros, Report, Topic, Version};

/// Maximum length of a message, in bytes; it leaves room in a datagram for the sender.
pub const MAX_MESSAGE_BYTES: usize = 1000;
/// Maximum length of the body of a directive or report, in bytes.
pub const MAX_BODY_BYTES: usize = 900;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Cap on a decoded lifetime, in microseconds; adding it to a clock cannot overflow.
const MAX_DURATION: u64 = 1 << 50;

const KIND_DIRECTIVES: u8 = 1;
const KIND_DIGEST: u8 = 2;
const KIND_DIGEST_ANSWER: u8 = 3;
const KIND_REPORT: u8 = 4;

/// Why bytes cannot be decoded. A single such datagram is noise; many come from a proxy of another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message is empty or ends early, or a name is not UTF-8.
    #[error(
        "message is truncated, or a name in it is not UTF-8; if frequent, check for a proxy of another version"
    )]
    Malformed,
    /// A name or body is longer than any proxy sends; its length in bytes.
    #[error(
        "name or body of {0} bytes exceeds the maximum length; if frequent, check for a proxy of another version"
    )]
    FieldTooLong(usize),
    /// This version does not know the kind, whose byte is given.
    #[error("unknown message kind {0}; upgrade this proxy, or check for a proxy of another version")]
    UnknownKind(u8),
}

/// A message between two proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Directives that the sender issued or accepted.
    Directives(Vec<Directive>),
    /// Versions that the sender knows.
    Digest {
        /// One entry for each topic.
        entries: Vec<DigestEntry>,
        /// Whether the digest answers another one, and no digest is wanted in return.
        is_answer: bool,
    },
    /// A report to a lease holder.
    Report(Report),
}

/// Appends a name, cut off after [`MAX_NAME_BYTES`].
fn put_name(name: &str, buffer: &mut Vec<u8>) {
    let bytes = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
    buffer.put_u8(bytes.len() as u8);
    buffer.put_slice(bytes);
}

/// Appends a body, cut off after [`MAX_BODY_BYTES`].
fn put_body(body: &[u8], buffer: &mut Vec<u8>) {
    let body = &body[..body.len().min(MAX_BODY_BYTES)];
    buffer.put_u16(body.len() as u16);
    buffer.put_slice(body);
}

fn put_topic(topic: &Topic, buffer: &mut Vec<u8>) {
    put_name(&topic.lease, buffer);
    put_name(&topic.subject, buffer);
}

fn put_version(version: Version, buffer: &mut Vec<u8>) {
    buffer.put_u64(version.term);
    buffer.put_u64(version.number);
}

fn put_directive(directive: &Directive, buffer: &mut Vec<u8>) {
    put_topic(&directive.topic, buffer);
    put_version(directive.version, buffer);
    buffer.put_i64(directive.remaining);
    put_name(&directive.issuer, buffer);
    put_body(&directive.body, buffer);
}

fn put_digest_entry(entry: &DigestEntry, buffer: &mut Vec<u8>) {
    put_topic(&entry.topic, buffer);
    put_version(entry.version, buffer);
}

/// Encodes directives into as many messages as they need, at least one.
#[must_use]
pub fn encode_directives(directives: &[Directive]) -> Vec<Vec<u8>> {
    pack_messages(KIND_DIRECTIVES, directives, put_directive)
}

/// Encodes a digest into as many messages as it needs, at least one. `is_answer` tells whether it answers the
/// digest of another proxy.
#[must_use]
pub fn encode_digest(entries: &[DigestEntry], is_answer: bool) -> Vec<Vec<u8>> {
    pack_messages(if is_answer { KIND_DIGEST_ANSWER } else { KIND_DIGEST }, entries, put_digest_entry)
}

/// Encodes a report into one message.
#[must_use]
pub fn encode_report(report: &Report) -> Vec<u8> {
    let mut buffer = vec![KIND_REPORT];
    put_topic(&report.topic, &mut buffer);
    buffer.put_u64(report.number);
    put_body(&report.body, &mut buffer);
    buffer
}

/// Distributes items over messages of one kind, in order. A message exceeds [`MAX_MESSAGE_BYTES`] only if it holds a
/// single item that is too long. Without items there is one message, which holds only the kind.
fn pack_messages<T>(kind: u8, items: &[T], put: impl Fn(&T, &mut Vec<u8>)) -> Vec<Vec<u8>> {
    let mut messages = vec![vec![kind]];
    for item in items {
        let mut bytes = Vec::new();
        put(item, &mut bytes);
        let last_length = messages.last().map_or(0, Vec::len);
        if last_length > 1 && last_length + bytes.len() > MAX_MESSAGE_BYTES {
            messages.push(vec![kind]);
        }
        if let Some(message) = messages.last_mut() {
            message.append(&mut bytes);
        }
    }
    messages
}

fn read_u64(input: &mut &[u8]) -> Result<u64, DecodeError> {
    input.try_get_u64().map_err(|_| DecodeError::Malformed)
}

/// Takes `length` bytes from the front of the input, or fails if `length` exceeds `max_length`.
fn read_bytes<'a>(input: &mut &'a [u8], length: usize, max_length: usize) -> Result<&'a [u8], DecodeError> {
    if length > max_length {
        return Err(DecodeError::FieldTooLong(length));
    }
    let bytes = input.get(..length).ok_or(DecodeError::Malformed)?;
    input.advance(length);
    Ok(bytes)
}

fn read_name(input: &mut &[u8]) -> Result<String, DecodeError> {
    let length = input.try_get_u8().map_err(|_| DecodeError::Malformed)?;
    let bytes = read_bytes(input, usize::from(length), MAX_NAME_BYTES)?;
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| DecodeError::Malformed)
}

fn read_body(input: &mut &[u8]) -> Result<Vec<u8>, DecodeError> {
    let length = input.try_get_u16().map_err(|_| DecodeError::Malformed)?;
    read_bytes(input, usize::from(length), MAX_BODY_BYTES).map(<[u8]>::to_vec)
}

fn read_topic(input: &mut &[u8]) -> Result<Topic, DecodeError> {
    Ok(Topic { lease: read_name(input)?, subject: read_name(input)? })
}

fn read_version(input: &mut &[u8]) -> Result<Version, DecodeError> {
    Ok(Version { term: read_u64(input)?, number: read_u64(input)? })
}

/// Reads a duration in microseconds, capped at [`MAX_DURATION`]; the encoded value is read as unsigned.
fn read_duration(input: &mut &[u8]) -> Result<Micros, DecodeError> {
    Ok(read_u64(input)?.min(MAX_DURATION) as Micros)
}

fn read_directive(input: &mut &[u8]) -> Result<Directive, DecodeError> {
    Ok(Directive {
        topic: read_topic(input)?,
        version: read_version(input)?,
        remaining: read_duration(input)?,
        issuer: read_name(input)?,
        body: read_body(input)?,
    })
}

fn read_digest_entry(input: &mut &[u8]) -> Result<DigestEntry, DecodeError> {
    Ok(DigestEntry { topic: read_topic(input)?, version: read_version(input)? })
}

fn read_report(input: &mut &[u8]) -> Result<Report, DecodeError> {
    Ok(Report { topic: read_topic(input)?, number: read_u64(input)?, body: read_body(input)? })
}

/// Reads items until the input is empty.
fn read_until_end<T>(
    input: &mut &[u8],
    read: impl Fn(&mut &[u8]) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let mut items = Vec::new();
    while !input.is_empty() {
        items.push(read(input)?);
    }
    Ok(items)
}

/// Decodes a message. Bytes that follow a report are ignored.
///
/// # Errors
///
/// Returns a [`DecodeError`] if the bytes are not a message of this version.
pub fn decode(mut bytes: &[u8]) -> Result<Message, DecodeError> {
    let input = &mut bytes;
    let kind = input.try_get_u8().map_err(|_| DecodeError::Malformed)?;
    match kind {
        KIND_DIRECTIVES => Ok(Message::Directives(read_until_end(input, read_directive)?)),
        KIND_DIGEST | KIND_DIGEST_ANSWER => {
            let entries = read_until_end(input, read_digest_entry)?;
            Ok(Message::Digest { entries, is_answer: kind == KIND_DIGEST_ANSWER })
        }
        KIND_REPORT => Ok(Message::Report(read_report(input)?)),
        kind => Err(DecodeError::UnknownKind(kind)),
    }
}
