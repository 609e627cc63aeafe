//! Closing of client connections: the reasons, the graceful close, and the rejection of clients for which
//! there is no capacity.

use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::pg::sql_state;
use aldermill_wire::{Buffer, Malformed, pg};
use slog::debug;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::connection::ClientConnection;
use super::events::has_unread_bytes;
use super::response::EncodedResponse;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientLeft, DispatcherMessage};
use crate::system::{self, Party};

/// Capacity of the buffer for input that is discarded while a connection is closed, in bytes.
const DISCARD_READ_SIZE: usize = 16 * 1024;

/// Reason why a client connection is closed.
#[derive(Clone, Copy)]
pub(super) enum CloseReason {
    /// The client closed its side or ended the session, the connection failed, or the process is ending.
    Normal,
    /// The connection's descriptor is needed, or the client was idle for too long. The connection is closed
    /// at once: a request that arrives during the close stays unread, so the client sees a reset and knows
    /// that it may send the request again elsewhere.
    Evicted,
    /// The process is shutting down. The end of the stream is sent together with the end of the last
    /// response, so a client that has read its answer knows that no further request is accepted here.
    Shutdown,
    /// The client was too slow while others needed the resources that it held, or was slow for too long. The
    /// connection is reset, so that the kernel discards at once what it still buffers for the client.
    TooSlow,
    /// The client violated the protocol. It is sent an error before the connection is closed.
    ProtocolError(Malformed),
}

impl From<Malformed> for CloseReason {
    fn from(malformed: Malformed) -> CloseReason {
        CloseReason::ProtocolError(malformed)
    }
}

impl From<std::io::Error> for CloseReason {
    /// Treats a connection that failed like one that the client closed.
    fn from(_: std::io::Error) -> CloseReason {
        CloseReason::Normal
    }
}

impl ClientConnection {
    /// Tells the dispatcher that the client no longer waits for the requests that have no response yet. None of them is
    /// attempted from now on, however long the dispatcher takes to read that.
    pub(super) async fn abandon_pending_requests(&mut self) {
        self.client_gone.cancel();
        let request_ids = self.pending_responses.abandon();
        if !request_ids.is_empty() {
            let left = DispatcherMessage::ClientLeft(ClientLeft { request_ids });
            let _ = self.context.dispatcher.send(left).await;
        }
    }

    /// Closes the connection in the way that the reason requires.
    pub(super) async fn close(mut self, reason: CloseReason) {
        if matches!(reason, CloseReason::TooSlow) || !self.may_leave_unread() {
            reset_on_close(&self.stream);
            return;
        }
        if matches!(reason, CloseReason::Evicted) {
            return;
        }
        if matches!(reason, CloseReason::Shutdown) {
            let _ = self.stream.shutdown().await;
            if !has_unread_bytes(&self.stream) {
                return;
            }
        }
        self.buffer = Buffer::default();
        if let CloseReason::ProtocolError(malformed) = reason {
            debug!(self.context.log, "client connection closed after a protocol error"; "error" => %malformed);
            let error = EncodedResponse::fatal_error(sql_state::PROTOCOL_VIOLATION, &malformed.to_string());
            let _ = self.write_response(error).await;
        }
        let limits = &self.context.limits;
        close_gracefully(self.stream, limits.connections.linger, limits.client.discard_limit).await;
    }

    /// Returns whether the kernel may keep the responses that the client has not read. If so, it keeps them
    /// for a limited time after the close. From `limits.buffers.ignorable_unread` bytes on, they count
    /// against the buffer budget for that time.
    fn may_leave_unread(&mut self) -> bool {
        let unread = self.unread_responses.bytes_in_kernel(self.context.limits.buffers.client_socket_buffer);
        if unread < self.context.limits.buffers.ignorable_unread {
            return true;
        }
        let _ =
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(self.connection_guard.linger_timeout()));
        match self.unread_responses.take_reservation() {
            Some(reservation) => reservation.linger(),
            None => return self.connection_guard.try_reserve_lingering(unread),
        }
        true
    }
}

/// Makes the close reset the connection: with a linger time of zero, the kernel discards the connection and
/// its buffers at once.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Closes the proxy's side of a connection and waits up to `linger` for the client to close the other side,
/// so that the bytes written last are delivered: the kernel resets a connection that is closed with unread
/// input. Input is discarded; once the client has sent `discard_limit` bytes, nothing more is read.
pub(super) async fn close_gracefully(mut stream: TcpStream, linger: Duration, mut discard_limit: usize) {
    let read_until_end = async {
        stream.shutdown().await?;
        let mut discarded = Vec::with_capacity(DISCARD_READ_SIZE);
        while discard_limit > 0 {
            discarded.clear();
            match system::read(Party::Client, &mut stream, &mut discarded).await? {
                0 => return Ok(()),
                count => discard_limit = discard_limit.saturating_sub(count),
            }
        }
        sleep(linger).await;
        std::io::Result::Ok(())
    };
    let _ = timeout(linger, read_until_end).await;
}

/// Sends a client the error that there are too many connections, and closes its connection.
pub(super) async fn reject_connection(context: Rc<ProcessContext>, mut stream: TcpStream) {
    let mut error = Vec::new();
    pg::write_error_response(&mut error, true, sql_state::TOO_MANY_CONNECTIONS, "too many connections", None);
    let limits = &context.limits;
    let write = system::write_all(Party::Client, &mut stream, &error);
    let _ = timeout(limits.client.error_write_timeout, write).await;
    close_gracefully(stream, limits.connections.linger, limits.client.discard_limit).await;
}
