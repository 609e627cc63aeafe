//! Handling of the messages that a client sends: finding the next message, reserving buffer space for it, and
//! acting on it.

use aldermill_flow_control::Priority;
use aldermill_wire::pg::sql_state;
use aldermill_wire::statement::Comment;
use aldermill_wire::{Malformed, pg};
use tokio::time::Instant;

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::response::EncodedResponse;
use crate::flow_control::BufferReservation;

/// Type byte of the message that ends a session.
const TERMINATE: u8 = b'X';

/// Progress of receiving the client's next message.
#[derive(Default)]
pub(super) struct ReceiveState {
    /// True after the first message of a series of extended messages was rejected. The others are skipped up
    /// to the next Sync.
    skipping_until_sync: bool,
    /// Time at which the wait for the rest of a message began; `None` if no message is incomplete. The client
    /// is metered during the wait.
    pub(super) message_started_at: Option<Instant>,
    /// Buffer space reserved for a large message.
    pub(super) reservation: Option<BufferReservation>,
}

impl ReceiveState {
    /// Releases the buffer space of a message that needs no further handling.
    pub(super) fn release_reservation(&mut self) {
        self.reservation = None;
    }
}

/// Message at the front of the read buffer.
pub(super) enum NextMessage {
    /// No message can be accepted: the next one is incomplete, or it waits for a pending write to the same
    /// key.
    NoneYet,
    /// The message can be accepted.
    Accept(ReceivedMessage),
    /// The client ends the session.
    Terminate,
}

/// Complete message at the front of the read buffer.
pub(super) struct ReceivedMessage {
    /// Kind of the message.
    kind: MessageKind,
    /// Length in bytes, including the type byte and the length word.
    length: usize,
}

/// Kind of message that a client may send within a session, determined by its type byte.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    /// A simple query.
    Query,
    /// The end of a series of extended messages.
    Sync,
    /// A message of the extended query protocol, which is not supported.
    Extended,
    /// A function call, which is not supported.
    FunctionCall,
    /// A message left over from a COPY that failed.
    CopyData,
    /// A type that the protocol does not define.
    Unknown,
}

impl MessageKind {
    /// Returns the kind of message that this type byte stands for.
    fn from_type_byte(type_byte: u8) -> MessageKind {
        match type_byte {
            b'Q' => MessageKind::Query,
            b'S' => MessageKind::Sync,
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => MessageKind::Extended,
            b'F' => MessageKind::FunctionCall,
            b'd' | b'c' | b'f' => MessageKind::CopyData,
            _ => MessageKind::Unknown,
        }
    }
}

impl ClientConnection {
    /// Returns the message at the front of the read buffer, or an error if the bytes there are not a valid
    /// message.
    pub(super) fn next_message(&self) -> Result<NextMessage, Malformed> {
        let max = self.context.limits.buffers.max_statement;
        let Some(message) = pg::message(self.buffer.held(), max)? else { return Ok(NextMessage::NoneYet) };
        if message.tag == TERMINATE {
            return Ok(NextMessage::Terminate);
        }
        let kind = MessageKind::from_type_byte(message.tag);
        if kind == MessageKind::Query && self.conflicts_with_pending_write(pg::parse_query(message.body)?) {
            return Ok(NextMessage::NoneYet);
        }
        Ok(NextMessage::Accept(ReceivedMessage { kind, length: message.length }))
    }

    /// Takes a complete message from the buffer and acts on it.
    pub(super) async fn accept(&mut self, message: ReceivedMessage) -> Result<(), CloseReason> {
        self.turn.record(message.length);
        let statement = self.take_statement(&message);
        if self.pending_responses.is_empty() {
            self.unread_responses.clear();
        }
        self.end_message_wait();
        self.shared_state.idle_since.set(None);
        match message.kind {
            MessageKind::Query if !self.has_space_for(&statement) => self.reject_statement(),
            MessageKind::Query => self.accept_statement(statement).await?,
            MessageKind::Sync => self.handle_sync(),
            MessageKind::Extended => self.reject_extended_message(),
            MessageKind::FunctionCall => self.reject_function_call(),
            MessageKind::CopyData => self.receive_state.release_reservation(),
            MessageKind::Unknown => self.drain(Malformed::UnknownMessageType.into()),
        }
        Ok(())
    }

    /// Ends the wait for the rest of a message, if there is one.
    pub(super) fn end_message_wait(&mut self) {
        if self.receive_state.message_started_at.take().is_some() {
            self.connection_guard.stop_metering();
        }
    }

    /// Takes a message from the buffer. Returns the text of a query, and an empty vector for other messages.
    fn take_statement(&mut self, message: &ReceivedMessage) -> Vec<u8> {
        let length = message.length;
        if message.kind != MessageKind::Query {
            self.buffer.consume(length);
            return Vec::new();
        }
        let is_large = length > self.context.limits.buffers.small_message;
        if is_large && self.read_ahead_reservations.is_empty() {
            // The buffer's allocation becomes the statement, so that a large statement is held in memory only
            // once.
            let mut statement = self.buffer.take(length);
            statement.pop();
            statement.drain(..pg::MESSAGE_HEADER_LENGTH);
            return statement;
        }
        let statement = self.buffer.held()[pg::MESSAGE_HEADER_LENGTH..length - 1].to_vec();
        self.buffer.consume(length);
        statement
    }

    /// Returns whether there is buffer space for a statement that was just taken from the buffer, and reserves it for a
    /// large one that was read ahead.
    fn has_space_for(&mut self, statement: &[u8]) -> bool {
        if statement.len() <= self.context.limits.buffers.small_message
            || self.receive_state.reservation.is_some()
        {
            return true;
        }
        self.release_read_ahead();
        let priority = self.priority_of(statement);
        self.receive_state.reservation = self.connection_guard.try_reserve(statement.len(), priority);
        self.receive_state.reservation.is_some()
    }

    /// Rejects a statement for which there is no buffer space.
    fn reject_statement(&mut self) {
        let retry_after = self.context.flow_control.retry_after();
        self.pending_responses.push_rejections(retry_after, 1);
    }

    /// Ends a series of extended messages and responds to its Sync.
    fn handle_sync(&mut self) {
        self.receive_state.skipping_until_sync = false;
        let mut response = Vec::new();
        pg::write_ready_for_query(&mut response);
        self.respond_immediately(response);
    }

    /// Rejects the first message of a series of extended messages, and skips the others.
    fn reject_extended_message(&mut self) {
        if std::mem::replace(&mut self.receive_state.skipping_until_sync, true) {
            self.receive_state.release_reservation();
        } else {
            self.respond_immediately(not_supported_error());
        }
    }

    /// Rejects a function call. Each call gets its own error.
    fn reject_function_call(&mut self) {
        let mut response = not_supported_error();
        pg::write_ready_for_query(&mut response);
        self.respond_immediately(response);
    }

    /// Queues a response that needs no request, and releases the buffer space of the message that it answers.
    pub(super) fn respond_immediately(&mut self, response: Vec<u8>) {
        self.receive_state.release_reservation();
        self.pending_responses.push_ready(EncodedResponse::unreserved(response));
    }

    /// Reserves buffer space for the message at the front of the buffer if it is large and has no reservation
    /// yet. One that fits into what is reserved for reading ahead gets its own when it is complete.
    pub(super) async fn reserve_for_large_message(&mut self) -> Result<(), CloseReason> {
        let announced_length = pg::announced_length(self.buffer.held());
        if announced_length > self.context.limits.buffers.small_message
            && announced_length >= self.read_ahead_space()
            && self.receive_state.reservation.is_none()
        {
            self.receive_state.reservation = Some(self.reserve(announced_length).await?);
            self.read_ahead_reservations.clear();
        }
        Ok(())
    }

    /// Reserves buffer space for a message of `size` bytes. Sends the client an error and closes the
    /// connection if others hold all of the space and no slow peer frees any within
    /// `limits.client.reservation_wait`.
    async fn reserve(&mut self, size: usize) -> Result<BufferReservation, CloseReason> {
        let priority = self.next_message_priority();
        let deadline = Instant::now() + self.context.limits.client.reservation_wait;
        if let Some(reservation) = self.connection_guard.reserve(size, priority, deadline).await {
            self.buffer.expect(size + 1);
            return Ok(reservation);
        }
        if self.connection_guard.is_disconnected() {
            return Err(CloseReason::TooSlow);
        }
        let error = EncodedResponse::fatal_error(
            sql_state::TOO_MANY_CONNECTIONS,
            "no room for a statement of this size",
        );
        self.write_response(error).await?;
        Err(CloseReason::Normal)
    }

    /// Returns the priority of the message at the front of the buffer.
    fn next_message_priority(&self) -> Priority {
        self.priority_of(self.buffer.held().get(pg::MESSAGE_HEADER_LENGTH..).unwrap_or_default())
    }

    /// Returns the priority of a statement: normal if its comment is not complete yet or not valid.
    fn priority_of(&self, statement: &[u8]) -> Priority {
        let comment = Comment::parse(statement);
        comment.map_or(Priority::Normal, |comment| self.context.priority(&comment.class))
    }
}

/// Encodes the error for messages other than simple queries.
fn not_supported_error() -> Vec<u8> {
    let mut error = Vec::new();
    pg::write_error_response(
        &mut error,
        false,
        sql_state::FEATURE_NOT_SUPPORTED,
        "only simple queries are served",
        None,
    );
    error
}
