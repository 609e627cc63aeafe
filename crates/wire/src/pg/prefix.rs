//! Checks of a member's message that is not whole yet.

use super::decode::{MESSAGE_HEADER_LENGTH, word};
use super::message_type::{
    COMMAND_COMPLETE, DATA_ROW, ERROR_RESPONSE, NOTICE_RESPONSE, PARAMETER_STATUS, READY_FOR_QUERY,
    ROW_DESCRIPTION,
};
use crate::Malformed;

/// The types of all messages that have a place in the response to a simple query.
const RESPONSE_TYPES: [u8; 7] = [
    ROW_DESCRIPTION,
    DATA_ROW,
    COMMAND_COMPLETE,
    ERROR_RESPONSE,
    PARAMETER_STATUS,
    NOTICE_RESPONSE,
    READY_FOR_QUERY,
];
/// How many bytes of a RowDescription stand behind its column's name.
const COLUMN_DESCRIPTION_LENGTH: usize = 18;
/// The greatest body of any message but a DataRow, in bytes: all of a response but its value is short.
const MAX_SHORT_BODY: usize = 8 * 1024;
/// A ReadyForQuery of an idle session, whole.
const READY_FOR_QUERY_IDLE: &[u8] = b"Z\0\0\0\x05I";

/// Checks that what has come of a member's message can still become one that has a place in a response: by its type and
/// its length, and by the inner lengths and ends that must agree with that. `bytes` may hold any part of it from its
/// front.
///
/// A member whose bytes were damaged is thus found out at once, in place of after a wait for bytes that never come.
///
/// # Errors
///
/// [`Malformed::UnexpectedMessage`], [`Malformed::InvalidMessageHeader`] or [`Malformed::InconsistentLength`].
pub fn check_prefix(bytes: &[u8]) -> Result<(), Malformed> {
    let Some(&tag) = bytes.first() else { return Ok(()) };
    if !RESPONSE_TYPES.contains(&tag) {
        return Err(Malformed::UnexpectedMessage);
    }
    let Some(length) = word(bytes, 1) else { return Ok(()) };
    let Some(body_length) = (length as usize).checked_sub(4) else {
        return Err(Malformed::InvalidMessageHeader);
    };
    let end = bytes.len().min(MESSAGE_HEADER_LENGTH + body_length);
    let body_so_far = &bytes[MESSAGE_HEADER_LENGTH..end];
    let length_allowed = tag == DATA_ROW || body_length <= MAX_SHORT_BODY;
    let end_agrees = implied_body_length(tag, body_so_far).is_none_or(|implied| implied == body_length);
    if length_allowed && end_agrees { Ok(()) } else { Err(Malformed::InconsistentLength) }
}

/// How long the body must be by what stands inside of it, as far as its first bytes tell that already.
fn implied_body_length(tag: u8, body: &[u8]) -> Option<usize> {
    match tag {
        READY_FOR_QUERY => Some(1),
        DATA_ROW => data_row_length(body),
        ROW_DESCRIPTION => {
            let name_length = memchr::memchr(0, body.get(2..)?)?;
            Some(2 + name_length + 1 + COLUMN_DESCRIPTION_LENGTH)
        }
        COMMAND_COMPLETE => memchr::memchr(0, body).map(|end| end + 1),
        PARAMETER_STATUS => memchr::memchr_iter(0, body).nth(1).map(|end| end + 1),
        _ => error_fields_length(body),
    }
}

/// The length of a DataRow's body by the length of its first value; a null has none.
fn data_row_length(body: &[u8]) -> Option<usize> {
    let value_length = word(body, 2)? as i32;
    Some(6 + usize::try_from(value_length).unwrap_or(0))
}

/// The length of the fields of an ErrorResponse or a NoticeResponse, each a letter and a string, with the zero byte
/// that ends them.
fn error_fields_length(body: &[u8]) -> Option<usize> {
    let mut at = 0;
    while *body.get(at)? != 0 {
        at += 1 + memchr::memchr(0, &body[at + 1..])? + 1;
    }
    Some(at + 1)
}

/// Whether `bytes` end with a ReadyForQuery. If they are the inside of a message that is not whole, the length of that
/// message claims too much.
pub fn ends_with_ready_for_query(bytes: &[u8]) -> bool {
    bytes.ends_with(READY_FOR_QUERY_IDLE)
}
