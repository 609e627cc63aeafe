//! The comment at the front of a client's statement, and the quoted key behind it.

use std::hash::{DefaultHasher, Hasher};
use std::ops::Range;
use std::str::FromStr;

use crate::Malformed;

/// The longest timeout that a client may state, in milliseconds: an hour.
pub const MAX_TIMEOUT_MS: u32 = 3_600_000;
/// The greatest length of a request's name and of its class's name, in bytes. Both are kept for as long as the request is
/// open.
pub const MAX_NAME_LENGTH: usize = 256;
/// The greatest length of a key that [`first_quoted_key`] returns as it is, in bytes.
const MAX_KEY_LENGTH: usize = 64;
/// The length of `/*` and of `*/`, in bytes.
const COMMENT_MARK: usize = 2;

/// What a statement's comment says of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comment {
    /// The request's name, the same for each of its client's retries (key `id`).
    pub id: String,
    /// The name of its request class (key `c`).
    pub class: String,
    /// How long the client waits, in milliseconds; from 1 to [`MAX_TIMEOUT_MS`] (key `d`).
    pub timeout_ms: u32,
    /// The client has tried before (key `r`, 0 or 1; absent is 0).
    pub client_retry: bool,
    /// The name of the group of members that it is for (key `cluster`).
    pub group: u64,
    /// The position that a read must see, in Unix milliseconds (key `after`).
    pub min_position_ms: Option<u64>,
    /// Where the digits of `timeout_ms` stand in the statement, so that a member can be given what remains of it.
    pub timeout_range: Range<usize>,
    /// Where the statement goes on behind the comment.
    pub end: usize,
}

/// The fields of a comment as they are found; a field that stands twice is malformed.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    timeout: Option<TimeoutField>,
    client_retry: Option<bool>,
    group: Option<u64>,
    min_position_ms: Option<u64>,
}

/// The client's timeout, and where its digits stand in the statement.
struct TimeoutField {
    millis: u32,
    digits: Range<usize>,
}

/// Whether a statement is empty: blanks and semicolons alone.
pub fn is_empty(statement: &[u8]) -> bool {
    statement.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}

impl Comment {
    /// Reads the comment at the front of a statement; blanks may stand before it. Fields that are not known are passed
    /// over.
    ///
    /// # Errors
    ///
    /// [`Malformed`], by what is wrong with the comment.
    pub fn parse(statement: &[u8]) -> Result<Comment, Malformed> {
        let blanks = statement.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let inner = statement[blanks..].strip_prefix(b"/*").ok_or(Malformed::NoComment)?;
        let length = memchr::memmem::find(inner, b"*/").ok_or(Malformed::UnterminatedComment)?;
        let inner = std::str::from_utf8(&inner[..length]).map_err(|_| Malformed::CommentNotText)?;
        let start = blanks + COMMENT_MARK;
        Fields::parse(inner, start)?.into_comment(start + length + COMMENT_MARK)
    }
}

impl<'a> Fields<'a> {
    /// Reads the comment's inside, which begins at `start` in the statement.
    fn parse(inner: &'a str, start: usize) -> Result<Fields<'a>, Malformed> {
        let mut fields = Fields::default();
        let mut part_start = start;
        for part in inner.split(',') {
            let value_end = part_start + part.trim_end().len();
            let (name, value) = part.trim().split_once('=').ok_or(Malformed::CommentFieldWithoutValue)?;
            let is_first = fields.set(name, value, value_end)?;
            if !is_first {
                return Err(Malformed::CommentFieldRepeatedOrEmpty);
            }
            part_start += part.len() + 1;
        }
        Ok(fields)
    }

    /// Sets a field; false if it was set before, or is an empty `id`. `value_end` is where the value ends in the
    /// statement.
    fn set(&mut self, name: &str, value: &'a str, value_end: usize) -> Result<bool, Malformed> {
        let is_first = match name {
            "id" | "c" if value.len() > MAX_NAME_LENGTH => return Err(Malformed::CommentFieldTooLong),
            "id" => self.id.replace(value).is_none() && !value.is_empty(),
            "c" => self.class.replace(value).is_none(),
            "d" => {
                let digits = value_end - value.len()..value_end;
                self.timeout.replace(TimeoutField { millis: number(value)?, digits }).is_none()
            }
            "r" => self.client_retry.replace(number::<u8>(value)? == 1).is_none(),
            "cluster" => self.group.replace(number(value)?).is_none(),
            "after" => self.min_position_ms.replace(number(value)?).is_none(),
            _ => true,
        };
        Ok(is_first)
    }

    /// The comment, if no field lacks that each request must have.
    fn into_comment(self, end: usize) -> Result<Comment, Malformed> {
        let id = self.id.ok_or(Malformed::CommentLacks("id"))?;
        let timeout = self.timeout.ok_or(Malformed::CommentLacks("d"))?;
        if !(1..=MAX_TIMEOUT_MS).contains(&timeout.millis) {
            return Err(Malformed::TimeoutOutOfRange);
        }
        Ok(Comment {
            id: id.to_owned(),
            class: self.class.ok_or(Malformed::CommentLacks("c"))?.to_owned(),
            timeout_ms: timeout.millis,
            client_retry: self.client_retry.unwrap_or(false),
            group: self.group.ok_or(Malformed::CommentLacks("cluster"))?,
            min_position_ms: self.min_position_ms,
            timeout_range: timeout.digits,
            end,
        })
    }
}

/// The value of that field in the comment at the statement's front, if it stands there.
pub fn field<'a>(statement: &'a [u8], name: &str) -> Option<&'a str> {
    let inner = statement.trim_ascii_start().strip_prefix(b"/*")?;
    let inner = std::str::from_utf8(&inner[..memchr::memmem::find(inner, b"*/")?]).ok()?;
    let pairs = inner.split(',').filter_map(|part| part.trim().split_once('='));
    pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
}

/// A number of digits alone: no sign, no blanks.
fn number<T: FromStr>(text: &str) -> Result<T, Malformed> {
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| only_digits).ok_or(Malformed::InvalidCommentNumber)
}

/// The first quoted text of a statement, unquoted: doubled quotes, and backslashes where it is an escape string. `None`
/// where there is none, or it does not end.
pub fn first_quoted_text(statement: &[u8]) -> Option<String> {
    let mut text = Vec::new();
    for_each_quoted_byte(statement, |byte| text.push(byte))?;
    String::from_utf8(text).ok()
}

/// The first quoted text of a statement as a key that takes little memory however long the text is: the text itself, or
/// from 65 bytes on a digest of it that is the same throughout the process. `None` as with [`first_quoted_text`].
pub fn first_quoted_key(statement: &[u8]) -> Option<String> {
    let mut key = KeyDigest::default();
    for_each_quoted_byte(statement, |byte| key.push(byte))?;
    key.finish()
}

/// A text that turns into a digest once it is long.
#[derive(Default)]
struct KeyDigest {
    /// What was pushed since it was last hashed.
    block: Vec<u8>,
    /// The hash of the blocks before, and how many bytes they had.
    hashed: Option<(DefaultHasher, usize)>,
}

impl KeyDigest {
    fn push(&mut self, byte: u8) {
        if self.block.len() == MAX_KEY_LENGTH {
            self.hash_block();
        }
        self.block.push(byte);
    }

    fn hash_block(&mut self) {
        let (hasher, length) = self.hashed.get_or_insert_default();
        hasher.write(&self.block);
        *length += self.block.len();
        self.block.clear();
    }

    fn finish(mut self) -> Option<String> {
        if self.hashed.is_none() {
            return String::from_utf8(self.block).ok();
        }
        self.hash_block();
        let (hasher, length) = self.hashed?;
        Some(format!("{length} bytes, {:016x}", hasher.finish()))
    }
}

/// Calls `take` with each byte of the first quoted text, unquoted. `None` if there is none, or it does not end.
fn for_each_quoted_byte(statement: &[u8], mut take: impl FnMut(u8)) -> Option<()> {
    let open = memchr::memchr(b'\'', statement)?;
    let is_escape_string = ends_with_escape_prefix(&statement[..open]);
    let mut bytes = statement[open + 1..].iter().copied().peekable();
    loop {
        match bytes.next()? {
            b'\'' if bytes.peek() == Some(&b'\'') => take(bytes.next()?),
            b'\'' => return Some(()),
            b'\\' if is_escape_string => take(unescaped(bytes.next()?)),
            other => take(other),
        }
    }
}

/// Whether an `E` that belongs to no longer word stands at the end.
fn ends_with_escape_prefix(before_quote: &[u8]) -> bool {
    let Some((last, before)) = before_quote.split_last() else { return false };
    let in_word = before.last().is_some_and(|byte| byte.is_ascii_alphanumeric() || *byte == b'_');
    last.eq_ignore_ascii_case(&b'e') && !in_word
}

/// What a backslash and that byte stand for in an escape string.
fn unescaped(byte: u8) -> u8 {
    const BACKSPACE: u8 = 8;
    const FORM_FEED: u8 = 12;
    match byte {
        b'n' => b'\n',
        b't' => b'\t',
        b'r' => b'\r',
        b'b' => BACKSPACE,
        b'f' => FORM_FEED,
        other => other,
    }
}
