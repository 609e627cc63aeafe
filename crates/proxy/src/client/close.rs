//! Closing of client connections: the reasons, the graceful close, and the rejection of clients for which
//! there is no capacity.

use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::Transfer;
use aldermill_wire::pg::sql_state;
use aldermill_wire::{Buffer, Malformed, pg};
use slog::debug;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::connection::ClientConnection;
use super::response::EncodedResponse;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientLeft, DispatcherMessage};
use crate::system::{self, Delivery, Party};

/// Capacity of the buffer for input that is discarded while a connection is closed, in bytes.
const DISCARD_READ_SIZE: usize = 16 * 1024;
/// Time between two looks at what the client's system has acknowledged, which nothing signals.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reason why a client connection is closed.
#[derive(Clone, Copy)]
pub(super) enum CloseReason {
    /// The client closed its side or ended the session, the connection failed, or the process is ending.
    Normal,
    /// The connection's descriptor is needed, or the client was idle for too long. A request that arrives during
    /// the close stays unread, so the client sees a reset and knows that it may send the request again elsewhere.
    Evicted,
    /// The process is shutting down. The end of the stream is sent together with the end of the last
    /// response, so a client that has read its answer knows that no further request is accepted here. What
    /// arrives behind the last request stays unread, as with [`CloseReason::Evicted`].
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

    /// Closes the connection in the way that the reason requires, once the client's system has acknowledged all
    /// responses.
    pub(super) async fn close(mut self, reason: CloseReason) {
        self.buffer = Buffer::default();
        let is_delivered = match reason {
            CloseReason::TooSlow => return reset_on_close(&self.stream),
            CloseReason::Evicted if self.has_delivered() => true,
            CloseReason::Evicted | CloseReason::Shutdown => {
                let _ = self.stream.shutdown().await;
                self.wait_until_delivered().await
            }
            CloseReason::Normal => self.discard_input().await || self.wait_until_delivered().await,
            CloseReason::ProtocolError(malformed) => {
                debug!(self.context.log, "client connection closed after a protocol error"; "error" => %malformed);
                let error =
                    EncodedResponse::fatal_error(sql_state::PROTOCOL_VIOLATION, &malformed.to_string());
                let _ = self.write_response(error).await;
                self.discard_input().await || self.wait_until_delivered().await
            }
        };
        if is_delivered {
            return;
        }
        debug!(self.context.log, "client connection closed before its responses were delivered");
        if self.connection_guard.is_disconnected() || !self.may_leave_unread() {
            reset_on_close(&self.stream);
        }
    }

    /// Ends the sending side and discards what the client sends, as [`discard_input`] does. Returns whether the client has
    /// ended its side, so that the kernel delivers the responses without a reset.
    async fn discard_input(&mut self) -> bool {
        let limits = &self.context.limits;
        discard_input(&mut self.stream, limits.connections.linger, limits.client.discard_limit).await
    }

    /// Returns whether the client's system has acknowledged the responses, as far as the kernel reports that.
    fn has_delivered(&self) -> bool {
        !matches!(system::delivery(&self.stream), Some(Delivery::Pending { .. }))
    }

    /// Waits until the client's system has acknowledged the responses and the end of the stream, for as long as it makes
    /// progress and flow control does not disconnect the client. Returns whether it has.
    ///
    /// The kernel resets a connection that is closed while input is unread or still arrives, and drops the responses that
    /// it has not delivered by then.
    async fn wait_until_delivered(&mut self) -> bool {
        let stall_timeout = self.context.limits.connections.delivery_stall_timeout;
        let mut last_acknowledged = None;
        let mut stalled_at = Instant::now() + stall_timeout;
        self.connection_guard.start_metering(Transfer::ToPeer);
        while let Some(Delivery::Pending { acknowledged }) = system::delivery(&self.stream) {
            let previous = last_acknowledged.replace(acknowledged).unwrap_or(acknowledged);
            let progress = acknowledged.wrapping_sub(previous);
            if progress > 0 {
                stalled_at = Instant::now() + stall_timeout;
                self.connection_guard.record_progress(progress as usize);
            }
            if Instant::now() >= stalled_at || self.connection_guard.is_disconnected() {
                return false;
            }
            sleep(DELIVERY_POLL_INTERVAL).await;
        }
        true
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

/// Ends the sending side of a connection, and discards what arrives until the client has ended the other side, up to
/// `linger` and up to `discard_limit` bytes. Returns whether it has, or the connection has failed. Only for input that
/// needs no answer: the client can't tell that it was not acted on.
async fn discard_input(stream: &mut TcpStream, linger: Duration, mut discard_limit: usize) -> bool {
    let read_until_end = async {
        stream.shutdown().await?;
        let mut discarded = Vec::with_capacity(DISCARD_READ_SIZE);
        while discard_limit > 0 {
            discarded.clear();
            match system::read(Party::Client, stream, &mut discarded).await? {
                0 => return Ok(true),
                count => discard_limit = discard_limit.saturating_sub(count),
            }
        }
        sleep(linger).await;
        std::io::Result::Ok(false)
    };
    timeout(linger, read_until_end).await.is_ok_and(|ended| ended.unwrap_or(true))
}

/// Sends a client the error that there are too many connections, and closes its connection.
pub(super) async fn reject_connection(context: Rc<ProcessContext>, mut stream: TcpStream) {
    let mut error = Vec::new();
    pg::write_error_response(&mut error, true, sql_state::TOO_MANY_CONNECTIONS, "too many connections", None);
    let limits = &context.limits;
    let write = system::write_all(Party::Client, &mut stream, &error);
    let _ = timeout(limits.client.error_write_timeout, write).await;
    discard_input(&mut stream, limits.connections.linger, limits.client.discard_limit).await;
}
