//! Whole messages, read.

use super::PROTOCOL_VERSION_3;
use crate::Malformed;

/// The code in place of a version that makes an initial message a CancelRequest.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
/// The same for an SSLRequest.
const SSL_REQUEST_CODE: u32 = 80_877_103;
/// The same for a GSSENCRequest.
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;
/// The least length of an initial message: its length and its code, in bytes.
const MIN_STARTUP_LENGTH: usize = 8;
/// The greatest one, in bytes: a startup message has a few short parameters.
const MAX_STARTUP_LENGTH: usize = 10_000;
/// The length word counts itself, in bytes.
const LENGTH_WORD: usize = 4;

/// How many bytes stand before a message's body: its type and its length word.
pub const MESSAGE_HEADER_LENGTH: usize = 1 + LENGTH_WORD;

/// What may come first on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialMessageKind {
    /// StartupMessage: the session begins.
    StartupMessage,
    /// SSLRequest or GSSENCRequest: a single byte is the answer, and a StartupMessage follows.
    EncryptionRequest,
    /// CancelRequest: nothing follows.
    CancelRequest,
}

/// The first message on a client's connection; it has no type byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InitialMessage {
    /// Which one it is.
    pub kind: InitialMessageKind,
    /// Its length in bytes, with the length word.
    pub length: usize,
}

/// The initial message at the front of `bytes`, or `None` while it is not whole.
///
/// # Errors
///
/// [`Malformed::StartupMessageLength`] and [`Malformed::UnsupportedProtocolVersion`], as soon as they show.
pub fn initial_message(bytes: &[u8]) -> Result<Option<InitialMessage>, Malformed> {
    let Some(length) = word(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(MIN_STARTUP_LENGTH..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(Malformed::StartupMessageLength);
    }
    let Some(code) = word(bytes, LENGTH_WORD) else { return Ok(None) };
    let kind = match code {
        CANCEL_REQUEST_CODE => InitialMessageKind::CancelRequest,
        SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE => InitialMessageKind::EncryptionRequest,
        code if code >> 16 == PROTOCOL_VERSION_3 >> 16 => InitialMessageKind::StartupMessage,
        _ => return Err(Malformed::UnsupportedProtocolVersion),
    };
    Ok((bytes.len() >= length).then_some(InitialMessage { kind, length }))
}

/// One message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its type: one of [`super::message_type`], or another letter or digit.
    pub tag: u8,
    /// What stands behind the length word.
    pub body: &'a [u8],
    /// Its length in bytes, with type and length word.
    pub length: usize,
}

/// The message at the front of `bytes`, or `None` while it is not whole. `max` is the greatest value of the length word.
///
/// # Errors
///
/// [`Malformed::InvalidMessageHeader`] and [`Malformed::MessageTooLong`], as soon as the header is there.
pub fn message(bytes: &[u8], max: usize) -> Result<Option<Message<'_>>, Malformed> {
    let Some(length) = word(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if length < LENGTH_WORD || !bytes[0].is_ascii_alphanumeric() {
        return Err(Malformed::InvalidMessageHeader);
    }
    if length > max {
        return Err(Malformed::MessageTooLong);
    }
    let body = bytes.get(MESSAGE_HEADER_LENGTH..length + 1);
    Ok(body.map(|body| Message { tag: bytes[0], body, length: length + 1 }))
}

/// The length word of the message at the front of `bytes`; 0 while that has not come.
pub fn announced_length(bytes: &[u8]) -> usize {
    word(bytes, 1).map_or(0, |length| length as usize)
}

/// The message at the end of some bytes, if it is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteMessage {
    /// Where it begins; behind the last byte if all messages are whole.
    pub start: usize,
    /// How many bytes it still needs, or its header if that is not whole; 0 if all messages are whole, or the header of
    /// one makes no sense.
    pub missing: usize,
}

/// Finds the message at the end of `bytes` that is not whole.
pub fn incomplete_message(bytes: &[u8]) -> IncompleteMessage {
    let mut start = 0;
    while let Some(rest) = bytes.get(start..).filter(|rest| !rest.is_empty()) {
        let whole = match word(rest, 1) {
            None => MESSAGE_HEADER_LENGTH,
            Some(length) if (length as usize) < LENGTH_WORD => {
                return IncompleteMessage { start, missing: 0 };
            }
            Some(length) => length as usize + 1,
        };
        if whole > rest.len() {
            return IncompleteMessage { start, missing: whole - rest.len() };
        }
        start += whole;
    }
    IncompleteMessage { start, missing: 0 }
}

/// The statement in a Query's body.
///
/// # Errors
///
/// [`Malformed::UnterminatedQuery`] if its only zero byte is not the last one.
pub fn parse_query(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, statement)) if !statement.contains(&0) => Ok(statement),
        _ => Err(Malformed::UnterminatedQuery),
    }
}

/// Name and value in a ParameterStatus's body.
///
/// # Errors
///
/// [`Malformed::InvalidParameterStatus`] if they are not two terminated UTF-8 strings and nothing else.
pub fn parse_parameter_status(mut body: &[u8]) -> Result<(&str, &str), Malformed> {
    let mut next = || std::str::from_utf8(take_string(&mut body)?).ok();
    let name_and_value = next().zip(next()).filter(|_| body.is_empty());
    name_and_value.ok_or(Malformed::InvalidParameterStatus)
}

/// What an ErrorResponse says, as far as anything follows from it. A field that it lacks is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ErrorResponse<'a> {
    /// Its severity is FATAL or PANIC: the sender closes the connection.
    pub fatal: bool,
    /// The SQLSTATE.
    pub code: &'a str,
    /// The detail; rejections carry the retry-after there, in milliseconds.
    pub detail: &'a str,
}

impl ErrorResponse<'_> {
    /// Reads an ErrorResponse's body.
    ///
    /// # Errors
    ///
    /// [`Malformed::InvalidErrorResponse`] if its fields do not end with it, or are not UTF-8.
    pub fn parse(mut body: &[u8]) -> Result<ErrorResponse<'_>, Malformed> {
        let mut response = ErrorResponse::default();
        loop {
            let (&field, rest) = body.split_first().ok_or(Malformed::InvalidErrorResponse)?;
            if field == 0 {
                return if rest.is_empty() { Ok(response) } else { Err(Malformed::InvalidErrorResponse) };
            }
            body = rest;
            let value = take_string(&mut body).ok_or(Malformed::InvalidErrorResponse)?;
            let value = std::str::from_utf8(value).map_err(|_| Malformed::InvalidErrorResponse)?;
            match field {
                b'S' => response.fatal |= matches!(value, "FATAL" | "PANIC"),
                b'C' => response.code = value,
                b'D' => response.detail = value,
                _ => {}
            }
        }
    }
}

/// The value in the body of a DataRow of one column; `None` is null.
///
/// # Errors
///
/// [`Malformed::InvalidDataRow`] if it has another number of columns, or its value another length than it says.
pub fn parse_data_row(body: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    const NULL: i32 = -1;
    let (columns, rest) = body.split_first_chunk().ok_or(Malformed::InvalidDataRow)?;
    let (length, value) = rest.split_first_chunk().ok_or(Malformed::InvalidDataRow)?;
    if u16::from_be_bytes(*columns) != 1 {
        return Err(Malformed::InvalidDataRow);
    }
    match i32::from_be_bytes(*length) {
        NULL if value.is_empty() => Ok(None),
        length if usize::try_from(length) == Ok(value.len()) => Ok(Some(value)),
        _ => Err(Malformed::InvalidDataRow),
    }
}

/// The big-endian word at that place, if it is there.
pub(super) fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + LENGTH_WORD)?;
    Some(u32::from_be_bytes(word.try_into().ok()?))
}

/// Takes a zero-terminated string from the front of `bytes`, if its end is there.
fn take_string<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let end = memchr::memchr(0, bytes)?;
    let string = &bytes[..end];
    *bytes = &bytes[end + 1..];
    Some(string)
}
