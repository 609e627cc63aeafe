//! As much of HTTP/1.1 as a client needs that reads one long, chunked response line by line.

use crate::Malformed;

/// The greatest length of a chunk's size line and of a trailer, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// The most digits of a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;
/// What ends a response's head.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// How a response's body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// With its last chunk ("Transfer-Encoding: chunked").
    Chunked,
    /// After so many bytes ("Content-Length").
    ContentLength(usize),
    /// With the connection.
    UntilClose,
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// How the body ends.
    pub body: Body,
    /// How many bytes the head takes, with the empty line that ends it.
    pub length: usize,
}

/// Appends a GET request for JSON.
pub fn write_get_request(out: &mut Vec<u8>, host: &str, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
    out.extend_from_slice(head.as_bytes());
}

/// The head of a response at the front of `bytes`, or `None` while it is not whole. `max` is how many bytes may come
/// without its end.
///
/// # Errors
///
/// [`Malformed`], by what is wrong with the head.
pub fn parse_response_head(bytes: &[u8], max: usize) -> Result<Option<ResponseHead>, Malformed> {
    let Some(end) = memchr::memmem::find(bytes, END_OF_HEAD) else {
        return if bytes.len() > max { Err(Malformed::HeadTooLong) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(status_code).ok_or(Malformed::NoStatusLine)?;
    let mut body = Body::UntilClose;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Malformed::HeaderWithoutColon)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = Body::Chunked;
        } else if name.eq_ignore_ascii_case("content-length") && body != Body::Chunked {
            body = Body::ContentLength(value.parse().map_err(|_| Malformed::InvalidContentLength)?);
        }
    }
    Ok(Some(ResponseHead { status, body, length: end + END_OF_HEAD.len() }))
}

fn status_code(status_line: &str) -> Option<u16> {
    let line = status_line.strip_prefix("HTTP/1.")?;
    let status = line.split(' ').nth(1)?;
    status.parse().ok().filter(|status| (100..600).contains(status))
}

/// What a call of [`BodyLines::next_line`] read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineRead {
    /// How many bytes were consumed.
    pub consumed: usize,
    /// The next whole line, with its line feed; the last one of the body may lack that. Without a line, all that can be
    /// read yet has been consumed.
    pub line: Option<Vec<u8>>,
}

/// Turns the bytes of a body into lines, whatever the splits of chunks and of reads.
#[derive(Debug)]
pub struct BodyLines {
    body: Body,
    state: State,
    line: Vec<u8>,
    max_line: usize,
}

/// What comes next in the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The line with a chunk's size.
    ChunkSize,
    /// So many bytes of data; `usize::MAX` where only the connection's end limits them.
    Data(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// A trailer, or the empty line that ends the body.
    Trailer,
    /// Nothing.
    Ended,
}

/// What a step brought, beside the bytes that it consumed.
enum StepResult {
    /// A whole line.
    Line(Vec<u8>),
    /// Nothing more can be read before more bytes have come.
    NeedsBytes,
    /// The next step follows.
    Continue,
}

/// One step through the body.
struct Step {
    consumed: usize,
    result: StepResult,
}

impl BodyLines {
    /// A reader at the front of that body. `max_line` is the greatest length of a line, in bytes.
    pub fn new(body: Body, max_line: usize) -> BodyLines {
        let state = match body {
            Body::Chunked => State::ChunkSize,
            Body::ContentLength(0) => State::Ended,
            Body::ContentLength(length) => State::Data(length),
            Body::UntilClose => State::Data(usize::MAX),
        };
        BodyLines { body, state, line: Vec::new(), max_line }
    }

    /// The body has ended.
    pub fn is_over(&self) -> bool {
        self.state == State::Ended
    }

    /// Reads from the front of `bytes` up to the end of the next line, or all that can be read yet.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a line is too long, or the chunks are not what HTTP allows.
    pub fn next_line(&mut self, bytes: &[u8]) -> Result<LineRead, Malformed> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            let step = match self.state {
                State::Ended => return Ok(LineRead { consumed, line: self.unterminated_line() }),
                State::Data(remaining) => self.read_data(rest, remaining)?,
                State::ChunkSize | State::ChunkEnd | State::Trailer => self.read_framing(rest)?,
            };
            consumed += step.consumed;
            match step.result {
                StepResult::Line(line) => return Ok(LineRead { consumed, line: Some(line) }),
                StepResult::NeedsBytes => return Ok(LineRead { consumed, line: None }),
                StepResult::Continue => {}
            }
        }
    }

    /// Reads data up to the end of a line, of the chunk or of `bytes`.
    fn read_data(&mut self, bytes: &[u8], remaining: usize) -> Result<Step, Malformed> {
        let data = &bytes[..bytes.len().min(remaining)];
        let line_feed = memchr::memchr(b'\n', data);
        let consumed = line_feed.map_or(data.len(), |at| at + 1);
        self.line.extend_from_slice(&data[..consumed]);
        if self.line.len() > self.max_line {
            return Err(Malformed::LineTooLong);
        }
        self.state = self.after_data(remaining, consumed);
        let result = if line_feed.is_some() {
            StepResult::Line(std::mem::take(&mut self.line))
        } else if data.len() == bytes.len() && self.state != State::Ended {
            StepResult::NeedsBytes
        } else {
            StepResult::Continue
        };
        Ok(Step { consumed, result })
    }

    fn after_data(&self, remaining: usize, consumed: usize) -> State {
        if remaining == consumed {
            return if self.body == Body::Chunked { State::ChunkEnd } else { State::Ended };
        }
        // Data that only the connection's end limits are not counted.
        if remaining == usize::MAX { State::Data(usize::MAX) } else { State::Data(remaining - consumed) }
    }

    /// Reads a line of the chunked encoding itself.
    fn read_framing(&mut self, bytes: &[u8]) -> Result<Step, Malformed> {
        let Some(end) = memchr::memchr(b'\n', bytes) else {
            if bytes.len() > MAX_CHUNK_LINE {
                return Err(Malformed::ChunkLineTooLong);
            }
            return Ok(Step { consumed: 0, result: StepResult::NeedsBytes });
        };
        let text = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
        self.state = match self.state {
            State::ChunkSize => match chunk_size(text)? {
                0 => State::Trailer,
                size => State::Data(size),
            },
            State::ChunkEnd if text.is_empty() => State::ChunkSize,
            State::Trailer if text.is_empty() => State::Ended,
            State::Trailer => State::Trailer,
            _ => return Err(Malformed::ChunkOverrun),
        };
        Ok(Step { consumed: end + 1, result: StepResult::Continue })
    }

    /// What stands behind the last line feed of a body that has ended.
    fn unterminated_line(&mut self) -> Option<Vec<u8>> {
        (!self.line.is_empty()).then(|| std::mem::take(&mut self.line))
    }
}

/// The size that stands in front of a chunk, in hexadecimal digits, perhaps with extensions behind it.
fn chunk_size(text: &[u8]) -> Result<usize, Malformed> {
    let digits = text.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed::InvalidChunkSize)?;
    let length_allowed = (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len());
    if !length_allowed || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Malformed::InvalidChunkSize);
    }
    usize::from_str_radix(digits, 16).map_err(|_| Malformed::InvalidChunkSize)
}
