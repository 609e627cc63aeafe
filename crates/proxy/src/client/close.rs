//! How connections end: the reasons, the graceful close, and the rejection of a client for which there is no room.

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
use super::events::has_unread;
use super::response::EncodedResponse;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientLeft, DispatcherMessage};
use crate::system::{self, Party};

/// Bytes that are read at once of what a closing client still sends.
const DISCARD_READ_SIZE: usize = 16 * 1024;

/// Why a client connection ends.
#[derive(Clone, Copy)]
pub(super) enum CloseReason {
    /// The client closed its side or terminated the session, or the process ends.
    Normal,
    /// Its descriptor is needed, or it was idle for too long. It is closed at once: a request that crosses the close
    /// stays unread, so that the client sees a reset and knows that it may send the request again elsewhere.
    Evicted,
    /// The process shuts down. The end of the stream leaves together with the end of the last response, so that a client
    /// that has read its answer knows that no other request is taken here.
    Shutdown,
    /// It was too slow while others wanted what it held, or for too long. It is reset, so that the system drops at
    /// once what it still holds for the client.
    TooSlow,
    /// It sent what the protocol does not allow, and is told so.
    ProtocolError(Malformed),
}

impl From<Malformed> for CloseReason {
    fn from(malformed: Malformed) -> CloseReason {
        CloseReason::ProtocolError(malformed)
    }
}

impl From<std::io::Error> for CloseReason {
    /// A connection that broke ends as one that the client has closed.
    fn from(_: std::io::Error) -> CloseReason {
        CloseReason::Normal
    }
}

impl ClientConnection {
    /// Tells the dispatcher that nobody waits for the requests that have no response yet.
    pub(super) async fn abandon_pending_requests(&mut self) {
        while let Some(abandoned) = self.pending_responses.abandon_next() {
            let left = ClientLeft { client: abandoned.request };
            let _ = self.context.dispatcher.send(DispatcherMessage::ClientLeft(left)).await;
        }
    }

    /// Ends the connection as its reason demands.
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
            if !has_unread(&self.stream) {
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

    /// Whether the system may keep what the client has not read. It does so for a bounded time after the close, and
    /// the bytes count against the buffer budget until then.
    fn may_leave_unread(&mut self) -> bool {
        let unread = self.unread.bytes_in_system(self.context.limits.buffers.client_socket_buffer);
        if unread < self.context.limits.buffers.ignorable_unread {
            return true;
        }
        let _ =
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(self.connection_guard.linger_timeout()));
        match self.unread.take_reservation() {
            Some(reservation) => reservation.linger(),
            None => return self.connection_guard.may_leave_unread(unread),
        }
        true
    }
}

/// With a linger time of zero the system forgets the connection at once, and what it holds for it.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Closes this side, and waits up to `linger` for the other's end, so that what was written last arrives: a connection
/// that is closed with bytes unread is reset. At most `discard_limit` bytes are read of a client that goes on sending.
pub(super) async fn close_gracefully(mut stream: TcpStream, linger: Duration, mut discard_limit: usize) {
    let until_end = async {
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
    let _ = timeout(linger, until_end).await;
}

/// Tells a client that there is no room for its connection, and closes it.
pub(super) async fn reject_connection(context: Rc<ProcessContext>, mut stream: TcpStream) {
    let mut error = Vec::new();
    pg::write_error_response(&mut error, true, sql_state::TOO_MANY_CONNECTIONS, "too many connections", None);
    let limits = &context.limits;
    let write = system::write_all(Party::Client, &mut stream, &error);
    let _ = timeout(limits.client.error_write_timeout, write).await;
    close_gracefully(stream, limits.connections.linger, limits.client.discard_limit).await;
}
