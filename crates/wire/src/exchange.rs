//! What a member sends in answer to one simple query.

use crate::{Buffer, Malformed, pg};

/// A message beyond this size is kept as it came, in a piece of its own.
const LARGE: usize = 8 * 1024;

/// One answer as it comes in; whole when `is_over`.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Row description, row and completion, as the member sent them: in one piece, or a large row in one of its own.
    pub rows: Vec<Vec<u8>>,
    /// Where the row's value stands in `rows`: in which piece, and where in that.
    value: Option<(usize, std::ops::Range<usize>)>,
    completed: bool,
    /// The SQLSTATE of an error, which takes the place of a completion.
    pub error: Option<String>,
    pub role: Option<String>,
    pub position: Option<String>,
    pub usage: Option<String>,
    ready: bool,
    fatal: bool,
}

impl Exchange {
    /// Takes all whole messages from the buffer, up to the end of this answer.
    pub fn absorb(&mut self, buffer: &mut Buffer, max: usize) -> Result<(), Malformed> {
        while !self.is_over() {
            pg::plausible(buffer.held())?;
            let Some(message) = pg::message(buffer.held(), max)? else { return Ok(()) };
            let (body, length) = (message.body, message.length);
            match message.tag {
                b'T' if self.rows.is_empty() && self.error.is_none() => {
                    self.rows.push(buffer.held()[..length].to_vec())
                }
                b'D' if !self.rows.is_empty() && self.value.is_none() && !self.completed => {
                    let value = pg::single_value(body)?.map_or(0, <[u8]>::len);
                    if length > LARGE {
                        // Held once: the buffer itself becomes the piece, and what comes behind goes to the next.
                        self.value = Some((self.rows.len(), length - value..length));
                        self.rows.push(buffer.take(length));
                        self.rows.push(Vec::new());
                        continue;
                    }
                    let piece = self.piece();
                    piece.extend_from_slice(&buffer.held()[..length]);
                    let end = piece.len();
                    self.value = Some((self.rows.len() - 1, end - value..end));
                }
                b'C' if self.value.is_some() && !self.completed && self.error.is_none() => {
                    self.piece().extend_from_slice(&buffer.held()[..length]);
                    self.completed = true;
                }
                b'E' if !self.completed && self.error.is_none() => {
                    let refusal = pg::refusal(body)?;
                    self.error = Some(refusal.code.to_owned());
                    self.fatal = refusal.fatal;
                }
                b'S' => {
                    // One that cannot be read says nothing; the value beside it is as good as any.
                    let (name, value) = pg::parameter(body).unwrap_or_default();
                    let kept = match name {
                        "server_role" => Some(&mut self.role),
                        "commit_clock" => Some(&mut self.position),
                        "usage" => Some(&mut self.usage),
                        _ => None,
                    };
                    if let Some(kept) = kept {
                        *kept = Some(value.to_owned());
                    }
                }
                b'N' => {}
                b'Z' if self.completed || self.error.is_some() => self.ready = true,
                _ => return Err(Malformed("message that has no place in an answer")),
            }
            buffer.consume(length);
        }
        Ok(())
    }

    /// Nothing more belongs to this answer.
    pub fn is_over(&self) -> bool {
        self.ready || self.fatal
    }

    /// The connection may carry another query.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The value came whole and was confirmed.
    pub fn is_served(&self) -> bool {
        self.completed
    }

    pub fn value(&self) -> &[u8] {
        let value = self.value.clone();
        value.and_then(|(piece, range)| self.rows.get(piece)?.get(range)).unwrap_or_default()
    }

    /// The piece that the next small message goes to.
    fn piece(&mut self) -> &mut Vec<u8> {
        if self.rows.is_empty() {
            self.rows.push(Vec::new());
        }
        let last = self.rows.len() - 1;
        &mut self.rows[last]
    }
}
