//! What a member sends in response to one simple query.

use std::ops::Range;

use crate::pg::message_type::{
    COMMAND_COMPLETE, DATA_ROW, ERROR_RESPONSE, NOTICE_RESPONSE, PARAMETER_STATUS, READY_FOR_QUERY,
    ROW_DESCRIPTION,
};
use crate::{Buffer, Malformed, pg};

/// A row longer than that is kept as it came, in a piece of its own, in bytes.
const LARGE_ROW: usize = 8 * 1024;

/// Where a row's value stands.
#[derive(Clone, Debug)]
struct ValueLocation {
    /// The index of its piece in [`Exchange::rows`].
    piece: usize,
    /// Its bytes in that piece.
    range: Range<usize>,
}

/// One response as it comes in; whole when [`Exchange::is_over`].
#[derive(Debug, Default)]
pub struct Exchange {
    /// RowDescription, DataRow and CommandComplete as the member sent them: in one piece, but a large row in one of its
    /// own.
    pub rows: Vec<Vec<u8>>,
    value: Option<ValueLocation>,
    completed: bool,
    /// The SQLSTATE of an ErrorResponse, which takes the place of a CommandComplete.
    pub error: Option<String>,
    /// The member's role (parameter `server_role`).
    pub role: Option<String>,
    /// The position up to which the member has applied commits, in Unix milliseconds (parameter `commit_clock`).
    pub position: Option<String>,
    /// The member's load report (parameter `usage`).
    pub usage: Option<String>,
    ready: bool,
    fatal: bool,
}

impl Exchange {
    /// Takes all whole messages from the buffer, up to the end of this response. `max` is the greatest length of one.
    ///
    /// # Errors
    ///
    /// [`Malformed`] for a message that cannot be read or has no place here; nothing of use follows on this connection.
    pub fn absorb(&mut self, buffer: &mut Buffer, max: usize) -> Result<(), Malformed> {
        while !self.is_over() {
            pg::check_prefix(buffer.held())?;
            let Some(message) = pg::message(buffer.held(), max)? else { return Ok(()) };
            let length = message.length;
            match message.tag {
                DATA_ROW if self.expects_data_row() => {
                    let value_length = pg::parse_data_row(message.body)?.map_or(0, <[u8]>::len);
                    self.take_data_row(buffer, length, value_length);
                }
                _ => {
                    self.accept(&message, &buffer.held()[..length])?;
                    buffer.consume(length);
                }
            }
        }
        Ok(())
    }

    /// Nothing more belongs to this response.
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

    /// The row's value, empty where there is none.
    pub fn value(&self) -> &[u8] {
        let location = self.value.as_ref();
        location.and_then(|value| self.rows.get(value.piece)?.get(value.range.clone())).unwrap_or_default()
    }

    /// Deals with a message that is no expected DataRow; `bytes` are all of it.
    fn accept(&mut self, message: &pg::Message, bytes: &[u8]) -> Result<(), Malformed> {
        match message.tag {
            ROW_DESCRIPTION if self.rows.is_empty() && self.error.is_none() => self.rows.push(bytes.to_vec()),
            COMMAND_COMPLETE if self.value.is_some() && !self.completed && self.error.is_none() => {
                self.last_piece().extend_from_slice(bytes);
                self.completed = true;
            }
            ERROR_RESPONSE if !self.completed && self.error.is_none() => {
                let response = pg::ErrorResponse::parse(message.body)?;
                self.error = Some(response.code.to_owned());
                self.fatal = response.fatal;
            }
            PARAMETER_STATUS => self.record_parameter(message.body),
            NOTICE_RESPONSE => {}
            READY_FOR_QUERY if self.completed || self.error.is_some() => self.ready = true,
            _ => return Err(Malformed::UnexpectedMessage),
        }
        Ok(())
    }

    fn expects_data_row(&self) -> bool {
        !self.rows.is_empty() && self.value.is_none() && !self.completed
    }

    /// Takes a DataRow of that length from the buffer; its value is its last `value_length` bytes.
    fn take_data_row(&mut self, buffer: &mut Buffer, length: usize, value_length: usize) {
        if length > LARGE_ROW {
            // A large row is in memory once: the buffer's own allocation becomes the piece, and what follows goes to the
            // next one.
            self.value = Some(ValueLocation { piece: self.rows.len(), range: length - value_length..length });
            self.rows.push(buffer.take(length));
            self.rows.push(Vec::new());
            return;
        }
        let piece = self.last_piece();
        piece.extend_from_slice(&buffer.held()[..length]);
        let end = piece.len();
        self.value = Some(ValueLocation { piece: self.rows.len() - 1, range: end - value_length..end });
        buffer.consume(length);
    }

    /// Keeps a parameter that routing makes use of. One that cannot be read says nothing, and the value beside it is as
    /// good as any: it is no reason to give up the response.
    fn record_parameter(&mut self, body: &[u8]) {
        let (name, value) = pg::parse_parameter_status(body).unwrap_or_default();
        let parameter = match name {
            "server_role" => &mut self.role,
            "commit_clock" => &mut self.position,
            "usage" => &mut self.usage,
            _ => return,
        };
        *parameter = Some(value.to_owned());
    }

    /// The piece that the next small message goes to.
    fn last_piece(&mut self) -> &mut Vec<u8> {
        if self.rows.is_empty() {
            self.rows.push(Vec::new());
        }
        let last = self.rows.len() - 1;
        &mut self.rows[last]
    }
}
