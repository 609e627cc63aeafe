//! Statements for which there is no buffer space.
//!
//! They are read all the same, as the end of a client that closes its connection arrives behind them. Each is dropped as
//! it arrives and rejected in its turn, so that any number of them takes no memory.

use aldermill_wire::{Malformed, pg};

use super::close::CloseReason;

/// Type byte of a simple query.
const QUERY: u8 = b'Q';
/// Type byte of the message that ends a session.
const TERMINATE: u8 = b'X';

/// Input that is read and dropped, from the start of a message on.
#[derive(Default)]
pub(super) struct Overflow {
    /// First bytes of a message whose header is not complete.
    header: Vec<u8>,
    /// Bytes of the current message that have not arrived.
    missing: usize,
    /// Number of statements dropped that are owed a rejection.
    statements: usize,
    /// Why the connection closes behind these statements. What arrives after that is not looked at.
    end: Option<CloseReason>,
}

impl Overflow {
    /// Creates an overflow that drops everything, for a connection that takes no more statements.
    pub(super) fn behind_the_last_statement() -> Overflow {
        Overflow { end: Some(CloseReason::Normal), ..Overflow::default() }
    }

    /// Returns whether part of a message has arrived.
    pub(super) fn is_within_message(&self) -> bool {
        self.missing_bytes() > 0
    }

    /// Returns whether statements are owed a rejection, or part of a message has arrived.
    pub(super) fn has_unhandled_input(&self) -> bool {
        self.statements > 0 || self.is_within_message()
    }

    /// Returns how many bytes the current message still needs, or its header if that is not complete.
    pub(super) fn missing_bytes(&self) -> usize {
        match (self.missing, self.header.len()) {
            (0, 0) => 0,
            (0, held) => pg::MESSAGE_HEADER_LENGTH - held,
            (missing, _) => missing,
        }
    }

    /// Returns the number of statements that are owed a rejection, and counts them as rejected.
    pub(super) fn take_statements(&mut self) -> usize {
        std::mem::take(&mut self.statements)
    }

    /// Returns why the connection closes behind these statements, if it does.
    pub(super) fn end(&self) -> Option<CloseReason> {
        self.end
    }

    /// Drops bytes that have arrived. The length word of a message is at most `max_length`.
    pub(super) fn drop_input(&mut self, mut bytes: &[u8], max_length: usize) {
        while !bytes.is_empty() && self.end.is_none() {
            bytes = if self.missing > 0 {
                self.drop_body(bytes)
            } else {
                self.take_header(bytes, max_length).unwrap_or_else(|reason| {
                    self.end = Some(reason);
                    &[]
                })
            };
        }
    }

    /// Drops bytes of the current message, and returns the bytes behind it.
    fn drop_body<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (body, behind) = bytes.split_at(self.missing.min(bytes.len()));
        self.missing -= body.len();
        if self.missing == 0 {
            self.statements += 1;
        }
        behind
    }

    /// Takes bytes of the next message's header, and returns the bytes behind them.
    fn take_header<'a>(&mut self, bytes: &'a [u8], max_length: usize) -> Result<&'a [u8], CloseReason> {
        let wanted = pg::MESSAGE_HEADER_LENGTH - self.header.len();
        let (taken, behind) = bytes.split_at(wanted.min(bytes.len()));
        self.header.extend_from_slice(taken);
        if self.header.len() < pg::MESSAGE_HEADER_LENGTH {
            return Ok(behind);
        }
        pg::message(&self.header, max_length)?;
        match self.header[0] {
            QUERY => self.missing = pg::announced_length(&self.header) + 1 - pg::MESSAGE_HEADER_LENGTH,
            TERMINATE => return Err(CloseReason::Normal),
            // Only the answers to statements can be counted instead of kept.
            _ => return Err(Malformed::UnknownMessageType.into()),
        }
        if self.missing == 0 {
            return Err(Malformed::UnterminatedQuery.into());
        }
        self.header.clear();
        Ok(behind)
    }
}
