//! What a member sends in answer to one simple query.

use crate::{Buffer, Malformed, pg};

/// One answer as it comes in; whole when `is_over`.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Row description, row and completion, as the member sent them.
    pub rows: Vec<u8>,
    /// Where the row's value stands in `rows`.
    value: Option<std::ops::Range<usize>>,
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
                    self.rows.extend_from_slice(&buffer.held()[..length])
                }
                b'D' if !self.rows.is_empty() && self.value.is_none() && !self.completed => {
                    let value = pg::single_value(body)?.map_or(0, <[u8]>::len);
                    self.rows.extend_from_slice(&buffer.held()[..length]);
                    self.value = Some(self.rows.len() - value..self.rows.len());
                }
                b'C' if self.value.is_some() && !self.completed && self.error.is_none() => {
                    self.rows.extend_from_slice(&buffer.held()[..length]);
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
        self.value.clone().and_then(|range| self.rows.get(range)).unwrap_or_default()
    }
}
