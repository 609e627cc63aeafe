//! Version 3 of PostgreSQL's protocol, as far as simple queries need it.

use crate::Malformed;

const PROTOCOL_3: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
/// A startup message has a few short parameters.
const MAX_STARTUP: usize = 10_000;
/// What a row description says of a column behind its name.
const COLUMN: usize = 18;
/// All of an answer but its value is short.
const MAX_NOTE: usize = 8 * 1024;

/// What may come first on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Startup,
    Encryption,
    Cancel,
}

/// The opening at the front of `bytes` and its length, or `None` while it is not whole.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = word(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(8..=MAX_STARTUP).contains(&length) {
        return Err(Malformed("startup message of impossible length"));
    }
    let Some(code) = word(bytes, 4) else { return Ok(None) };
    let opening = match code {
        CANCEL => Opening::Cancel,
        TLS | GSS => Opening::Encryption,
        code if code >> 16 == PROTOCOL_3 >> 16 => Opening::Startup,
        _ => return Err(Malformed("unsupported protocol version")),
    };
    Ok((bytes.len() >= length).then_some((opening, length)))
}

/// What stands before a message's body: its type and its length.
pub const BEFORE_BODY: usize = 5;

/// One message: its type, its body, and its length with type and length word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    pub tag: u8,
    pub body: &'a [u8],
    pub length: usize,
}

/// The message at the front of `bytes`, or `None` while it is not whole.
pub fn message(bytes: &[u8], max: usize) -> Result<Option<Message<'_>>, Malformed> {
    let Some(length) = word(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if length < 4 || !bytes[0].is_ascii_alphanumeric() {
        return Err(Malformed("bytes that are no message"));
    }
    if length > max {
        return Err(Malformed("message too long"));
    }
    let body = bytes.get(5..length + 1);
    Ok(body.map(|body| Message { tag: bytes[0], body, length: length + 1 }))
}

/// Whether what has come of a member's message so far can still become one that has a place in an answer: its
/// type's length, and inner lengths and ends that agree with it. `bytes` may hold any part of it from its front.
pub fn plausible(bytes: &[u8]) -> Result<(), Malformed> {
    let Some(&tag) = bytes.first() else { return Ok(()) };
    if !b"TDCESNZ".contains(&tag) {
        return Err(Malformed("message that has no place in an answer"));
    }
    let Some(length) = word(bytes, 1) else { return Ok(()) };
    let Some(body) = (length as usize).checked_sub(4) else {
        return Err(Malformed("bytes that are no message"));
    };
    let held = &bytes[5..bytes.len().min(5 + body)];
    // Where the message must end, as far as its inside tells that already.
    let end = match tag {
        b'Z' => Some(1),
        b'D' => held.get(2..6).map(|word| {
            let value = i32::from_be_bytes([word[0], word[1], word[2], word[3]]);
            6 + usize::try_from(value).unwrap_or(0)
        }),
        b'T' => held.get(2..).and_then(|rest| memchr::memchr(0, rest)).map(|name| 2 + name + 1 + COLUMN),
        b'C' => memchr::memchr(0, held).map(|text| text + 1),
        b'S' => memchr::memchr_iter(0, held).nth(1).map(|text| text + 1),
        _ => fields_end(held),
    };
    let bounded = tag == b'D' || body <= MAX_NOTE;
    if bounded && end.is_none_or(|end| end == body) {
        Ok(())
    } else {
        Err(Malformed("lengths that do not fit"))
    }
}

/// Where the fields of an error or a notice end, each a letter and a text.
fn fields_end(held: &[u8]) -> Option<usize> {
    let mut at = 0;
    while *held.get(at)? != 0 {
        at += 1 + memchr::memchr(0, &held[at + 1..])? + 1;
    }
    Some(at + 1)
}

/// Whether `bytes` end as an answer does. Inside of a message that is not whole, its length claims too much.
pub fn ends_as_answer(bytes: &[u8]) -> bool {
    bytes.ends_with(b"Z\0\0\0\x05I")
}

/// How long the message at the front of `bytes` says it is; 0 while that has not come.
pub fn claimed(bytes: &[u8]) -> usize {
    word(bytes, 1).map_or(0, |length| length as usize)
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_be_bytes(word.try_into().ok()?))
}

fn text<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let end = memchr::memchr(0, bytes)?;
    let text = &bytes[..end];
    *bytes = &bytes[end + 1..];
    Some(text)
}

/// The statement of a simple query.
pub fn query_text(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("query without its end")),
    }
}

/// Name and value of a ParameterStatus.
pub fn parameter(mut body: &[u8]) -> Result<(&str, &str), Malformed> {
    let mut next = || std::str::from_utf8(text(&mut body)?).ok();
    let parts = next().zip(next()).filter(|_| body.is_empty());
    parts.ok_or(Malformed("parameter status without its parts"))
}

/// What an ErrorResponse says, as far as anything follows from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal<'a> {
    pub fatal: bool,
    pub code: &'a str,
    pub detail: &'a str,
}

pub fn refusal(mut body: &[u8]) -> Result<Refusal<'_>, Malformed> {
    let mut refusal = Refusal::default();
    let bad = Malformed("error response without its parts");
    loop {
        let (&field, rest) = body.split_first().ok_or(bad)?;
        if field == 0 {
            return if rest.is_empty() { Ok(refusal) } else { Err(bad) };
        }
        body = rest;
        let value = std::str::from_utf8(text(&mut body).ok_or(bad)?).map_err(|_| bad)?;
        match field {
            b'S' => refusal.fatal |= matches!(value, "FATAL" | "PANIC"),
            b'C' => refusal.code = value,
            b'D' => refusal.detail = value,
            _ => {}
        }
    }
}

/// The value of a DataRow of one column; `None` is null.
pub fn single_value(body: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    let bad = Malformed("no row of one column");
    let (count, rest) = body.split_first_chunk().ok_or(bad)?;
    let (length, value) = rest.split_first_chunk().ok_or(bad)?;
    match i32::from_be_bytes(*length) {
        _ if u16::from_be_bytes(*count) != 1 => Err(bad),
        -1 if value.is_empty() => Ok(None),
        length if usize::try_from(length) == Ok(value.len()) => Ok(Some(value)),
        _ => Err(bad),
    }
}

// ---- Encoders: each appends one message.

fn append(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn push_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&byte| byte != 0));
    out.push(0);
}

pub fn startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&PROTOCOL_3.to_be_bytes());
    for text in ["user", user, "database", database] {
        push_text(out, text);
    }
    out.push(0);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// The answer to a startup message, up to the first ReadyForQuery.
pub fn welcome(out: &mut Vec<u8>, process: u32) {
    append(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        parameter_status(out, name, value);
    }
    append(out, b'K', |out| {
        out.extend_from_slice(&process.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    });
    ready(out);
}

pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    append(out, b'S', |out| {
        push_text(out, name);
        push_text(out, value);
    });
}

pub fn ready(out: &mut Vec<u8>) {
    append(out, b'Z', |out| out.push(b'I'));
}

pub fn empty_query(out: &mut Vec<u8>) {
    append(out, b'I', |_| {});
}

/// A simple query whose statement comes in pieces.
pub fn query(out: &mut Vec<u8>, pieces: &[&[u8]]) {
    append(out, b'Q', |out| {
        pieces.iter().for_each(|piece| out.extend_from_slice(piece));
        out.push(0);
    });
}

/// The front of a simple query of which so many bytes, its closing zero among them, come behind `piece`.
pub fn query_front(out: &mut Vec<u8>, piece: &[u8], behind: usize) {
    out.push(b'Q');
    out.extend_from_slice(&((4 + piece.len() + behind) as u32).to_be_bytes());
    out.extend_from_slice(piece);
}

pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    append(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
        for (field, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.push(field);
            push_text(out, value);
        }
        out.push(0);
    });
}

/// A row description of one binary column, one row, and the completion.
pub fn single_row(out: &mut Vec<u8>, column: &str, value: &[u8], completion: &str) {
    append(out, b'T', |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        push_text(out, column);
        // No table; type bytea of variable size, in binary.
        out.extend_from_slice(&[0; 6]);
        out.extend_from_slice(&17u32.to_be_bytes());
        out.extend_from_slice(&(-1i16).to_be_bytes());
        out.extend_from_slice(&(-1i32).to_be_bytes());
        out.extend_from_slice(&1u16.to_be_bytes());
    });
    append(out, b'D', |out| {
        out.extend_from_slice(&1u16.to_be_bytes());
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value);
    });
    append(out, b'C', |out| push_text(out, completion));
}
