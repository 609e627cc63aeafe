//! Responses: their bytes, and how they are written to a client that may be slow to read them.

use std::io::ErrorKind;

use aldermill_flow_control::Transfer;
use aldermill_wire::pg::{self, sql_state};
use socket2::SockRef;

use super::close::CloseReason;
use super::connection::ClientConnection;
use crate::flow_control::BufferReservation;
use crate::messages::{Answer, Rows};
use crate::system::{self, Party};

/// A response as it goes to the client.
pub(super) struct EncodedResponse {
    /// Its bytes, in order.
    pub(super) pieces: Vec<Vec<u8>>,
    /// Buffer space of a large response.
    pub(super) reservation: Option<BufferReservation>,
}

impl EncodedResponse {
    /// Bytes that need no buffer space.
    pub(super) fn small(bytes: Vec<u8>) -> EncodedResponse {
        EncodedResponse { pieces: vec![bytes], reservation: None }
    }

    /// An error that ends the connection.
    pub(super) fn fatal_error(code: &str, message: &str) -> EncodedResponse {
        let mut bytes = Vec::new();
        pg::write_error_response(&mut bytes, true, code, message, None);
        EncodedResponse::small(bytes)
    }

    /// The response to a request, with the ReadyForQuery that ends it.
    pub(super) fn of(answer: Answer) -> EncodedResponse {
        let mut response = EncodedResponse::without_end(answer);
        match response.pieces.last_mut() {
            Some(last) => pg::write_ready_for_query(last),
            None => response.pieces.push(Vec::new()),
        }
        response
    }

    /// The response to a request but for its ReadyForQuery.
    fn without_end(answer: Answer) -> EncodedResponse {
        let mut bytes = Vec::new();
        match answer {
            Answer::Served(Rows { pieces, reservation }) => {
                return EncodedResponse { pieces, reservation };
            }
            Answer::Rejected { retry_after } => {
                let millis = (retry_after + 999) / 1000;
                let detail = (millis > 0).then(|| millis.to_string());
                let text = "denied, trying again is harmless";
                pg::write_error_response(
                    &mut bytes,
                    false,
                    sql_state::TOO_MANY_CONNECTIONS,
                    text,
                    detail.as_deref(),
                );
            }
            Answer::Failed => {
                let text = "broken off, it is not known whether it took effect";
                pg::write_error_response(
                    &mut bytes,
                    false,
                    sql_state::STATEMENT_COMPLETION_UNKNOWN,
                    text,
                    None,
                );
            }
            Answer::InvalidStatement(why) => {
                pg::write_error_response(&mut bytes, false, sql_state::PROTOCOL_VIOLATION, why, None)
            }
        }
        EncodedResponse::small(bytes)
    }
}

/// Bytes of responses that the client may not have read: the system holds them, at most two socket buffers full.
#[derive(Default)]
pub(super) struct UnreadResponses {
    /// Bytes written since the client last sent a statement with no response pending.
    bytes: usize,
    /// Buffer space of the last large response, as far as the system may still hold it.
    unread_reservation: Option<BufferReservation>,
}

impl UnreadResponses {
    /// How many unread bytes the system holds at most, with a send buffer of this size.
    pub(super) fn bytes_in_system(&self, socket_buffer: usize) -> usize {
        self.bytes.min(2 * socket_buffer)
    }

    /// A client that sends its next statement has read the responses to all before.
    pub(super) fn clear(&mut self) {
        self.bytes = 0;
        self.unread_reservation = None;
    }

    /// The buffer space that is still held, which the caller now answers for.
    pub(super) fn take_reservation(&mut self) -> Option<BufferReservation> {
        self.unread_reservation.take()
    }

    /// Counts bytes that the kernel has accepted.
    fn written(&mut self, count: usize) {
        self.bytes = self.bytes.saturating_add(count);
    }

    /// A large response was written whole: only what the system may still hold of it counts from now on.
    fn retain(&mut self, reservation: BufferReservation, socket_buffer: usize) {
        reservation.shrink(self.bytes_in_system(socket_buffer));
        self.unread_reservation = Some(reservation);
    }
}

impl ClientConnection {
    /// Writes the responses that are there, up to the first that is still awaited.
    pub(super) async fn write_ready_responses(&mut self) -> Result<(), CloseReason> {
        while let Some(response) = self.pending_responses.pop_ready() {
            if self.closes_after_response() {
                // The end of the response leaves with the end of the stream.
                let _ = SockRef::from(&self.stream).set_tcp_cork(true);
                self.drain(CloseReason::Shutdown);
            }
            self.write_response(response).await?;
        }
        Ok(())
    }

    /// Writes a whole response, however slowly the client reads it, unless flow control disconnects the client.
    pub(super) async fn write_response(&mut self, response: EncodedResponse) -> Result<(), CloseReason> {
        for piece in &response.pieces {
            self.write_piece(piece).await?;
        }
        if self.state.slow_reader.replace(false) {
            self.connection_guard.stop_metering();
        }
        if let Some(reservation) = response.reservation {
            self.unread.retain(reservation, self.context.limits.buffers.client_socket_buffer);
        }
        Ok(())
    }

    /// Writes a piece of a response. Once the client was slow, what the kernel accepts is recorded as its progress.
    async fn write_piece(&mut self, piece: &[u8]) -> Result<(), CloseReason> {
        let mut rest = piece;
        while !rest.is_empty() {
            match system::try_write(Party::Client, &self.stream, rest) {
                Ok(count) if count > 0 => {
                    rest = &rest[count..];
                    self.unread.written(count);
                    if self.state.slow_reader.get() {
                        // The kernel accepted more bytes, so the client has read as many.
                        self.connection_guard.record_progress(count);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.wait_until_writable().await?,
                _ => return Err(CloseReason::Normal),
            }
        }
        Ok(())
    }

    /// The system's buffer is full: from now on it is measured how fast the client reads.
    async fn wait_until_writable(&mut self) -> Result<(), CloseReason> {
        if !self.state.slow_reader.replace(true) {
            self.connection_guard.start_metering(Transfer::ToPeer);
        }
        tokio::select! {
            biased;
            () = self.connection_guard.disconnected() => Err(CloseReason::TooSlow),
            ready = self.stream.writable() => Ok(ready?),
        }
    }
}
