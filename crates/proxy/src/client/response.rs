//! Responses to clients: their encoding, and the writing to clients that may be slow to read.

use std::io::ErrorKind;

use aldermill_flow_control::Transfer;
use aldermill_wire::pg::{self, sql_state};
use socket2::SockRef;

use super::close::CloseReason;
use super::connection::ClientConnection;
use crate::flow_control::BufferReservation;
use crate::messages::{Answer, Rows};
use crate::system::{self, Party};

/// Response as it is sent to the client.
pub(super) struct EncodedResponse {
    /// Encoded bytes, in the order in which they are sent.
    pub(super) pieces: Vec<Vec<u8>>,
    /// Buffer space of a large response.
    pub(super) reservation: Option<BufferReservation>,
}

impl EncodedResponse {
    /// Creates a response whose bytes need no reserved buffer space.
    pub(super) fn unreserved(bytes: Vec<u8>) -> EncodedResponse {
        EncodedResponse { pieces: vec![bytes], reservation: None }
    }

    /// Encodes an error that ends the connection.
    pub(super) fn fatal_error(code: &str, message: &str) -> EncodedResponse {
        let mut bytes = Vec::new();
        pg::write_error_response(&mut bytes, true, code, message, None);
        EncodedResponse::unreserved(bytes)
    }

    /// Encodes the response to a request, with the ReadyForQuery that ends it.
    pub(super) fn from_answer(answer: Answer) -> EncodedResponse {
        let mut response = EncodedResponse::without_ready_for_query(answer);
        match response.pieces.last_mut() {
            Some(last) => pg::write_ready_for_query(last),
            None => response.pieces.push(Vec::new()),
        }
        response
    }

    /// Encodes the response to a request, without its ReadyForQuery.
    fn without_ready_for_query(answer: Answer) -> EncodedResponse {
        let mut bytes = Vec::new();
        match answer {
            Answer::Served(Rows { pieces, reservation }) => {
                return EncodedResponse { pieces, reservation };
            }
            Answer::Rejected { retry_after } => {
                // Rounded up to whole milliseconds; zero is left out.
                let retry_after_ms = (retry_after + 999) / 1000;
                let detail = (retry_after_ms > 0).then(|| retry_after_ms.to_string());
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
            Answer::InvalidStatement(reason) => {
                pg::write_error_response(&mut bytes, false, sql_state::PROTOCOL_VIOLATION, reason, None)
            }
        }
        EncodedResponse::unreserved(bytes)
    }
}

/// Bytes of responses that the client may not have read. The kernel holds them, at most two socket buffers
/// full.
#[derive(Default)]
pub(super) struct UnreadResponses {
    /// Bytes written since the client last sent a statement while no response was owed.
    bytes: usize,
    /// Buffer space of the last large response, for the part that the kernel may still hold.
    unread_reservation: Option<BufferReservation>,
}

impl UnreadResponses {
    /// Returns the maximum number of unread bytes that the kernel holds, for a send buffer of `socket_buffer`
    /// bytes.
    pub(super) fn bytes_in_kernel(&self, socket_buffer: usize) -> usize {
        self.bytes.min(2 * socket_buffer)
    }

    /// Resets the count and the reservation: a client that sends its next statement has read the responses to
    /// all earlier ones.
    pub(super) fn clear(&mut self) {
        self.bytes = 0;
        self.unread_reservation = None;
    }

    /// Returns the buffer space that is still held. The caller is responsible for it from then on.
    pub(super) fn take_reservation(&mut self) -> Option<BufferReservation> {
        self.unread_reservation.take()
    }

    /// Adds bytes that the kernel has accepted.
    fn record_written(&mut self, count: usize) {
        self.bytes = self.bytes.saturating_add(count);
    }

    /// Keeps the reservation of a large response that was written completely, reduced to the bytes that the
    /// kernel may still hold.
    fn retain_reservation(&mut self, reservation: BufferReservation, socket_buffer: usize) {
        reservation.shrink(self.bytes_in_kernel(socket_buffer));
        self.unread_reservation = Some(reservation);
    }
}

impl ClientConnection {
    /// Writes the responses that are ready, up to the first one that is still awaited.
    pub(super) async fn write_ready_responses(&mut self) -> Result<(), CloseReason> {
        while let Some(response) = self.pending_responses.pop_ready() {
            if self.should_close_after_response() {
                // Corks the socket, so that the end of the response is sent together with the end of the
                // stream.
                let _ = SockRef::from(&self.stream).set_tcp_cork(true);
                self.drain(CloseReason::Shutdown);
            }
            self.write_response(response).await?;
        }
        Ok(())
    }

    /// Writes a complete response, however slowly the client reads it, unless flow control disconnects the
    /// client.
    pub(super) async fn write_response(&mut self, response: EncodedResponse) -> Result<(), CloseReason> {
        for piece in &response.pieces {
            self.write_piece(piece).await?;
        }
        if self.shared_state.slow_reader.replace(false) {
            self.connection_guard.stop_metering();
        }
        if let Some(reservation) = response.reservation {
            self.unread_responses
                .retain_reservation(reservation, self.context.limits.buffers.client_socket_buffer);
        }
        Ok(())
    }

    /// Writes a piece of a response. Once the kernel's buffer has been full, the bytes that the kernel
    /// accepts are recorded as the client's progress.
    async fn write_piece(&mut self, piece: &[u8]) -> Result<(), CloseReason> {
        let mut rest = piece;
        while !rest.is_empty() {
            self.turn.yield_if_used_up().await;
            match system::try_write(Party::Client, &self.stream, rest) {
                Ok(count) if count > 0 => {
                    rest = &rest[count..];
                    self.turn.record(count);
                    self.unread_responses.record_written(count);
                    if self.shared_state.slow_reader.get() {
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

    /// Waits until the kernel's buffer, which is full, accepts bytes again. The client's reading rate is
    /// metered from the first such wait on.
    async fn wait_until_writable(&mut self) -> Result<(), CloseReason> {
        if !self.shared_state.slow_reader.replace(true) {
            self.connection_guard.start_metering(Transfer::ToPeer);
        }
        tokio::select! {
            biased;
            () = self.connection_guard.disconnected() => Err(CloseReason::TooSlow),
            ready = self.stream.writable() => Ok(ready?),
        }
    }
}
