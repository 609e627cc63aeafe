//! Reading ahead of the statements in progress, so that the end of a client that closes its connection is seen.
//!
//! The kernel delivers the end of a stream only after all bytes before it have been read. While bytes are left unread,
//! a client that has closed its connection looks like one that waits. So everything is read as it arrives: into the
//! buffer while there is space for it, and else into the [`Overflow`].

use std::io::{self, ErrorKind};

use aldermill_flow_control::Priority;
use aldermill_wire::{Buffer, pg};
use tokio::net::TcpStream;

use super::connection::ClientConnection;
use super::events::has_unread_bytes;
use super::overflow::Overflow;
use crate::system::{self, Party};

/// Free space beyond what is read ahead, in bytes, so that the buffer never grows.
const SPARE_CAPACITY: usize = 4 * 1024;
/// Unread bytes that leave room in the kernel's buffer of a client connection, whatever the messages they arrived in.
const VISIBLE_UNREAD: usize = 8 * 1024;
/// Capacity of the buffer for input that is dropped, in bytes.
const DROPPED_READ_SIZE: usize = 16 * 1024;

/// Where bytes from the client go, and how many may be read.
pub(super) struct Input<'a> {
    pub(super) buffer: &'a mut Buffer,
    pub(super) overflow: &'a mut Option<Overflow>,
    pub(super) limit: usize,
    pub(super) max_statement: usize,
}

impl Input<'_> {
    /// Waits for bytes, and returns how many were read; 0 at the end of the stream. Cancel safe.
    pub(super) async fn read(&mut self, stream: &mut TcpStream) -> io::Result<usize> {
        let Some(overflow) = self.overflow else {
            return system::read_up_to(self.limit, Party::Client, stream, self.buffer.tail()).await;
        };
        loop {
            stream.readable().await?;
            // Not held while the client sends nothing.
            let mut dropped = [0; DROPPED_READ_SIZE];
            let wanted = self.limit.min(DROPPED_READ_SIZE);
            match system::try_read(Party::Client, stream, &mut dropped[..wanted]) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
                Ok(count) => {
                    overflow.drop_input(&dropped[..count], self.max_statement);
                    return Ok(count);
                }
            }
        }
    }
}

impl ClientConnection {
    /// Makes space for what is read while requests are in progress, or begins to drop it if there is none.
    pub(super) fn prepare_read_ahead(&mut self) {
        if self.overflow.is_some() {
            return;
        }
        let must_drop = if self.is_input_ended() {
            // Bytes that would hide the end of the stream are read after all.
            self.input_limit() == 0 && system::has_unread(&self.stream, VISIBLE_UNREAD)
        } else {
            !self.has_read_ahead_space()
        };
        if must_drop {
            self.begin_overflow();
        }
    }

    /// Returns how many bytes may be read.
    pub(super) fn input_limit(&self) -> usize {
        match &self.overflow {
            _ if !self.is_input_ended() => usize::MAX,
            Some(overflow) if overflow.end().is_some() => usize::MAX,
            Some(overflow) if system::has_unread(&self.stream, VISIBLE_UNREAD) => {
                overflow.missing_bytes().max(VISIBLE_UNREAD)
            }
            Some(overflow) => overflow.missing_bytes(),
            None => pg::incomplete_message(self.buffer.held()).missing,
        }
    }

    /// Returns whether the buffer may take more bytes while requests are in progress: up to `limits.client.read_ahead`,
    /// and further for as long as buffer space can be reserved.
    fn has_read_ahead_space(&mut self) -> bool {
        self.release_read_ahead();
        if self.buffer.held().len() < self.read_ahead_space() {
            return true;
        }
        let step = self.context.limits.client.read_ahead_step + SPARE_CAPACITY;
        // What one client sends ahead must not make buffer space short for the others.
        let is_modest = self.read_ahead_reservations.is_empty();
        if !is_modest && !self.connection_guard.has_spare_space(step) {
            return false;
        }
        let Some(reservation) = self.connection_guard.try_reserve(step, Priority::Normal) else {
            return false;
        };
        self.read_ahead_reservations.push(reservation);
        self.buffer.expect(self.read_ahead_space() + SPARE_CAPACITY);
        true
    }

    /// Returns how many bytes may be held while requests are in progress.
    pub(super) fn read_ahead_space(&self) -> usize {
        let limits = &self.context.limits.client;
        limits.read_ahead + self.read_ahead_reservations.len() * limits.read_ahead_step
    }

    /// Releases the buffer space of bytes that are no longer held. One step more than needed is kept while anything is
    /// held, so that the buffer is not moved for each statement.
    pub(super) fn release_read_ahead(&mut self) {
        let limits = &self.context.limits.client;
        let beyond = self.buffer.held().len().saturating_sub(limits.read_ahead);
        let needed = beyond.div_ceil(limits.read_ahead_step);
        self.keep_read_ahead(if needed == 0 { 0 } else { needed + 1 });
    }

    /// Releases all but the first `kept` reservations for reading ahead.
    fn keep_read_ahead(&mut self, kept: usize) {
        if self.read_ahead_reservations.len() <= kept {
            return;
        }
        self.read_ahead_reservations.truncate(kept);
        self.buffer.shrink();
        if kept > 0 {
            self.buffer.expect(self.read_ahead_space() + SPARE_CAPACITY);
        }
    }

    /// Drops the incomplete message at the end of the buffer, and whatever arrives from now on.
    fn begin_overflow(&mut self) {
        let max_statement = self.context.limits.buffers.max_statement;
        let incomplete = pg::incomplete_message(self.buffer.held());
        let mut overflow = Overflow::default();
        overflow.drop_input(&self.buffer.held()[incomplete.start..], max_statement);
        self.buffer.truncate(incomplete.start);
        self.buffer.shrink();
        self.overflow = Some(overflow);
    }

    /// Rejects the statements that were dropped, once all before them are accepted. Ends the overflow where a message
    /// does.
    pub(super) fn settle_overflow(&mut self) {
        if !self.buffer.is_empty() || !self.is_accepting() {
            return;
        }
        let Some(overflow) = &mut self.overflow else { return };
        let rejected = overflow.take_statements();
        let (end, is_within_message) = (overflow.end(), overflow.is_within_message());
        if rejected > 0 {
            let retry_after = self.context.flow_control.retry_after();
            self.pending_responses.push_rejections(retry_after, rejected);
        }
        match end {
            Some(reason) => self.drain(reason),
            None if !is_within_message => {
                self.overflow = None;
                self.end_message_wait();
            }
            None => {}
        }
        self.release_read_ahead();
    }

    /// Returns whether the client may have closed its connection behind bytes that are not read. They are read before
    /// another statement is accepted.
    ///
    /// Once the input has ended, bytes stay unread. As long as they leave room in the kernel's buffer, the end of the
    /// stream arrives behind them and is reported, though it is not read.
    pub(super) fn departure_may_be_hidden(&self) -> bool {
        if self.is_input_ended() {
            return system::has_unread(&self.stream, VISIBLE_UNREAD);
        }
        has_unread_bytes(&self.stream)
    }
}
