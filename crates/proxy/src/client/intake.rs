//! Message intake: what the client's next message is, the buffer space for it, and what follows from it.

use aldermill_flow_control::Priority;
use aldermill_wire::pg::sql_state;
use aldermill_wire::statement::Comment;
use aldermill_wire::{Malformed, pg};
use tokio::time::Instant;

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::response::EncodedResponse;
use crate::flow_control::BufferReservation;

/// The type byte of the message that ends a session.
const TERMINATE: u8 = b'X';

/// How far the client's next message has come.
#[derive(Default)]
pub(super) struct Intake {
    /// After a message of the extended protocol, everything up to the next Sync is skipped.
    skips_until_sync: bool,
    /// Since when a message is waited for that is not whole; its sender is metered meanwhile.
    pub(super) message_begun_at: Option<Instant>,
    /// Buffer space of a large message.
    pub(super) reservation: Option<BufferReservation>,
}

impl Intake {
    /// Returns the buffer space of a message that is not dealt with any more.
    pub(super) fn release_reservation(&mut self) {
        self.reservation = None;
    }
}

/// What stands at the front of the read buffer.
pub(super) enum NextMessage {
    /// No whole message, or one that waits for a write on the same key.
    NoneYet,
    /// A message that can be accepted.
    Accept(ReceivedMessage),
    /// The client ends the session.
    Terminate,
}

/// A whole message at the front of the read buffer.
pub(super) struct ReceivedMessage {
    /// What it is.
    kind: MessageKind,
    /// Its length in bytes, with its type and its length word.
    length: usize,
}

/// What a client may send within a session, by the message's type byte.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    /// A simple query.
    Query,
    /// The end of a series of extended messages.
    Sync,
    /// A message of the extended protocol, which is not served.
    Extended,
    /// A function call, which is not served.
    FunctionCall,
    /// What is left over from a copy that failed.
    CopyData,
    /// None of the protocol's messages.
    Unknown,
}

impl MessageKind {
    /// The kind that this type byte stands for.
    fn of(type_byte: u8) -> MessageKind {
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
    /// What stands at the front of the read buffer; an error where that is no message.
    pub(super) fn next_message(&self) -> Result<NextMessage, Malformed> {
        let max = self.context.limits.buffers.max_statement;
        let Some(message) = pg::message(self.buffer.held(), max)? else { return Ok(NextMessage::NoneYet) };
        if message.tag == TERMINATE {
            return Ok(NextMessage::Terminate);
        }
        let kind = MessageKind::of(message.tag);
        if kind == MessageKind::Query && self.conflicts_with_pending(pg::parse_query(message.body)?) {
            return Ok(NextMessage::NoneYet);
        }
        Ok(NextMessage::Accept(ReceivedMessage { kind, length: message.length }))
    }

    /// Takes a whole message from the buffer and deals with it.
    pub(super) async fn accept(&mut self, message: ReceivedMessage) -> Result<(), CloseReason> {
        let statement = self.take_statement(&message);
        if self.pending_responses.is_empty() {
            self.unread.clear();
        }
        if self.intake.message_begun_at.take().is_some() {
            self.connection_guard.stop_metering();
        }
        self.state.idle_since.set(None);
        match message.kind {
            MessageKind::Query => self.accept_statement(statement).await?,
            MessageKind::Sync => self.end_extended_messages(),
            MessageKind::Extended => self.refuse_extended_message(),
            MessageKind::FunctionCall => self.refuse_function_call(),
            MessageKind::CopyData => self.intake.release_reservation(),
            MessageKind::Unknown => self.drain(Malformed::UnknownMessageType.into()),
        }
        Ok(())
    }

    /// Takes a message from the buffer. Returns the text of a query, and nothing of others.
    fn take_statement(&mut self, message: &ReceivedMessage) -> Vec<u8> {
        let length = message.length;
        if message.kind != MessageKind::Query {
            self.buffer.consume(length);
            return Vec::new();
        }
        if length > self.context.limits.buffers.small_message {
            // The buffer itself becomes the statement, so that a large one is held once.
            let mut statement = self.buffer.take(length);
            statement.pop();
            statement.drain(..pg::MESSAGE_HEADER_LENGTH);
            return statement;
        }
        let statement = self.buffer.held()[pg::MESSAGE_HEADER_LENGTH..length - 1].to_vec();
        self.buffer.consume(length);
        statement
    }

    /// A Sync ends a series of extended messages.
    fn end_extended_messages(&mut self) {
        self.intake.skips_until_sync = false;
        let mut response = Vec::new();
        pg::write_ready_for_query(&mut response);
        self.respond_at_once(response);
    }

    /// The first message of a series is refused, the others are skipped.
    fn refuse_extended_message(&mut self) {
        if std::mem::replace(&mut self.intake.skips_until_sync, true) {
            self.intake.release_reservation();
        } else {
            self.respond_at_once(not_served());
        }
    }

    /// Function calls are refused one by one.
    fn refuse_function_call(&mut self) {
        let mut response = not_served();
        pg::write_ready_for_query(&mut response);
        self.respond_at_once(response);
    }

    /// A response that needs no request; the message that it answers is dealt with.
    pub(super) fn respond_at_once(&mut self, response: Vec<u8>) {
        self.intake.release_reservation();
        self.pending_responses.push_ready(EncodedResponse::small(response));
    }

    /// Reserves buffer space for the message at the front of the buffer, once, where it is a large one.
    pub(super) async fn reserve_for_large_message(&mut self) -> Result<(), CloseReason> {
        let claimed = pg::announced_length(self.buffer.held());
        if claimed > self.context.limits.buffers.small_message && self.intake.reservation.is_none() {
            self.intake.reservation = Some(self.reserve(claimed).await?);
        }
        Ok(())
    }

    /// Buffer space for a message of this size. The client is refused where others have taken all, and nobody who is
    /// too slow can give it up.
    async fn reserve(&mut self, size: usize) -> Result<BufferReservation, CloseReason> {
        let priority = self.next_message_priority();
        let until = Instant::now() + self.context.limits.client.reservation_wait;
        if let Some(reservation) = self.connection_guard.reserve(size, priority, until).await {
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

    /// The priority of the message at the front of the buffer, as far as its comment is there to tell.
    fn next_message_priority(&self) -> Priority {
        let text = self.buffer.held().get(pg::MESSAGE_HEADER_LENGTH..);
        let comment = text.and_then(|text| Comment::parse(text).ok());
        comment.map_or(Priority::Normal, |comment| self.context.priority(&comment.class))
    }
}

/// The error for what is no simple query.
fn not_served() -> Vec<u8> {
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
