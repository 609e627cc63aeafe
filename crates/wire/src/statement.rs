//! The comment at the front of a client's statement, and the quoted key behind it.

use std::ops::Range;
use std::str::FromStr;

use crate::Malformed;

/// An hour: no client waits longer for one answer.
const MAX_WAIT: u32 = 3_600_000;

/// What a statement's comment says of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comment {
    pub id: String,
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub wait: u32,
    pub repeat: bool,
    pub group: u64,
    /// The position that a read must see, in Unix milliseconds.
    pub after: Option<u64>,
    /// Where the digits of `wait` stand in the statement.
    pub wait_at: Range<usize>,
    /// Where the statement goes on behind the comment.
    pub end: usize,
}

/// Whether a statement says nothing at all.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}

impl Comment {
    pub fn parse(statement: &[u8]) -> Result<Comment, Malformed> {
        let skipped = statement.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let rest = &statement[skipped..];
        let inner = rest.strip_prefix(b"/*").ok_or(Malformed("no comment names the task"))?;
        let length = memchr::memmem::find(inner, b"*/").ok_or(Malformed("comment without an end"))?;
        let inner = std::str::from_utf8(&inner[..length]).map_err(|_| Malformed("comment is not text"))?;
        let start = skipped + 2;

        let (mut id, mut class, mut wait, mut repeat) = (None, None, None, None);
        let (mut group, mut after) = (None, None);
        let mut at = start;
        for part in inner.split(',') {
            let pair = part.trim();
            let value_end = at + part.trim_end().len();
            at += part.len() + 1;
            let (name, value) = pair.split_once('=').ok_or(Malformed("comment field without a value"))?;
            let fresh = match name {
                "id" => id.replace(value).is_none() && !value.is_empty(),
                "c" => class.replace(value).is_none(),
                "d" => wait.replace((number(value)?, value_end - value.len()..value_end)).is_none(),
                "r" => repeat.replace(number::<u8>(value)? == 1).is_none(),
                "cluster" => group.replace(number(value)?).is_none(),
                "after" => after.replace(number(value)?).is_none(),
                _ => true,
            };
            if !fresh {
                return Err(Malformed("comment field repeated or empty"));
            }
        }
        let id = id.ok_or(Malformed("comment lacks id"))?;
        let (wait, wait_at) = wait.ok_or(Malformed("comment lacks d"))?;
        if !(1..=MAX_WAIT).contains(&wait) {
            return Err(Malformed("comment leaves no time, or more than any client has"));
        }
        Ok(Comment {
            id: id.to_owned(),
            class: class.ok_or(Malformed("comment lacks c"))?.to_owned(),
            wait,
            repeat: repeat.unwrap_or(false),
            group: group.ok_or(Malformed("comment lacks cluster"))?,
            after,
            wait_at,
            end: start + length + 2,
        })
    }
}

/// What the comment at the statement's front says under that name.
pub fn field<'a>(statement: &'a [u8], name: &str) -> Option<&'a str> {
    let inner = statement.trim_ascii_start().strip_prefix(b"/*")?;
    let inner = std::str::from_utf8(&inner[..memchr::memmem::find(inner, b"*/")?]).ok()?;
    let pairs = inner.split(',').filter_map(|part| part.trim().split_once('='));
    pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
}

/// Digits alone: no sign, no blanks.
fn number<T: FromStr>(text: &str) -> Result<T, Malformed> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits).ok_or(Malformed("comment field is no number in range"))
}

/// The first quoted text of a statement, unquoted: doubled quotes, and backslashes where it is an escape
/// string. `None` where there is none or it does not end.
pub fn quoted(statement: &[u8]) -> Option<String> {
    let open = memchr::memchr(b'\'', statement)?;
    let escapes = statement[..open].last().is_some_and(|byte| byte.eq_ignore_ascii_case(&b'e'))
        && !statement[..open - 1].last().is_some_and(|byte| byte.is_ascii_alphanumeric() || *byte == b'_');
    let mut text = Vec::new();
    let mut bytes = statement[open + 1..].iter().copied().peekable();
    loop {
        match bytes.next()? {
            b'\'' if bytes.peek() == Some(&b'\'') => text.extend(bytes.next()),
            b'\'' => return String::from_utf8(text).ok(),
            b'\\' if escapes => text.push(match bytes.next()? {
                b'n' => b'\n',
                b't' => b'\t',
                b'r' => b'\r',
                b'b' => 8,
                b'f' => 12,
                other => other,
            }),
            other => text.push(other),
        }
    }
}
