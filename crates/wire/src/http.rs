//! As much of HTTP/1.1 as a client needs that reads one long, chunked answer line by line.

use crate::Malformed;

/// How long an answer's body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Chunked,
    Counted(usize),
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub body: Body,
    pub length: usize,
}

pub fn get(out: &mut Vec<u8>, host: &str, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
    out.extend_from_slice(head.as_bytes());
}

/// The head of an answer at the front of `bytes`, or `None` while it is not whole.
pub fn head(bytes: &[u8], max: usize) -> Result<Option<Head>, Malformed> {
    let Some(end) = memchr::memmem::find(bytes, b"\r\n\r\n") else {
        return if bytes.len() > max { Err(Malformed("head too long")) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed("head is not text"))?;
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).and_then(|line| {
        let mut words = line.splitn(3, ' ').skip(1);
        words.next()?.parse().ok().filter(|status| (100..600).contains(status))
    });
    let status = status.ok_or(Malformed("no status line"))?;
    let mut body = Body::UntilClose;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Malformed("header without a colon"))?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = Body::Chunked;
        } else if name.eq_ignore_ascii_case("content-length") && body != Body::Chunked {
            body = Body::Counted(value.parse().map_err(|_| Malformed("bad content length"))?);
        }
    }
    Ok(Some(Head { status, body, length: end + 4 }))
}

/// Turns the bytes of a body into lines, whatever the splits of chunks and of reads.
#[derive(Debug)]
pub struct Lines {
    body: Body,
    state: State,
    line: Vec<u8>,
    max: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(usize),
    /// The line end behind a chunk.
    Close,
    Trailer,
    End,
}

impl Lines {
    pub fn new(body: Body, max: usize) -> Lines {
        let state = match body {
            Body::Chunked => State::Size,
            Body::Counted(0) => State::End,
            Body::Counted(length) => State::Data(length),
            Body::UntilClose => State::Data(usize::MAX),
        };
        Lines { body, state, line: Vec::new(), max }
    }

    pub fn is_over(&self) -> bool {
        self.state == State::End
    }

    /// Takes bytes from the front of `bytes` and says how many, with the next whole line if one ended.
    /// With no line, all that can be read yet was read.
    pub fn next(&mut self, bytes: &[u8]) -> Result<(usize, Option<Vec<u8>>), Malformed> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.state {
                State::End => return Ok((used, self.last_line())),
                State::Data(left) => {
                    let part = &rest[..rest.len().min(left)];
                    let end = memchr::memchr(b'\n', part);
                    let taken = end.map_or(part.len(), |end| end + 1);
                    self.line.extend_from_slice(&part[..taken]);
                    used += taken;
                    if self.line.len() > self.max {
                        return Err(Malformed("line too long"));
                    }
                    if left == taken {
                        self.state = if self.body == Body::Chunked { State::Close } else { State::End };
                    } else if left != usize::MAX {
                        self.state = State::Data(left - taken);
                    }
                    if end.is_some() {
                        return Ok((used, Some(std::mem::take(&mut self.line))));
                    }
                    if part.len() == rest.len() && self.state != State::End {
                        return Ok((used, None));
                    }
                }
                State::Size | State::Close | State::Trailer => {
                    let Some(end) = memchr::memchr(b'\n', rest) else {
                        let sane = rest.len() <= 256;
                        return if sane { Ok((used, None)) } else { Err(Malformed("chunk line too long")) };
                    };
                    let text = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
                    used += end + 1;
                    self.state = match self.state {
                        State::Size => match chunk_size(text)? {
                            0 => State::Trailer,
                            size => State::Data(size),
                        },
                        State::Close if text.is_empty() => State::Size,
                        State::Trailer if text.is_empty() => State::End,
                        State::Trailer => State::Trailer,
                        _ => return Err(Malformed("chunk longer than its size")),
                    };
                }
            }
        }
    }

    fn last_line(&mut self) -> Option<Vec<u8>> {
        (!self.line.is_empty()).then(|| std::mem::take(&mut self.line))
    }
}

fn chunk_size(text: &[u8]) -> Result<usize, Malformed> {
    let bad = Malformed("bad chunk size");
    let digits = text.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| bad)?;
    let plain = !digits.is_empty() && digits.len() <= 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if plain { usize::from_str_radix(digits, 16).map_err(|_| bad) } else { Err(bad) }
}
