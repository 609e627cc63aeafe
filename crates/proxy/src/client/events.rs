//! Events that a connection waits for: answers from the dispatcher, bytes from the client, or the end of the
//! wait.

use std::io;
use std::time::Duration;

use aldermill_flow_control::Transfer;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::close::CloseReason;
use super::connection::ClientConnection;
use super::read_ahead::Input;
use crate::messages::{Answer, ClientMessage, ClientRequestId};
use crate::system::{self, Peeked};

/// Event on a connection with pending requests.
pub(super) enum ClientEvent {
    /// The dispatcher answered this request.
    Answer(ClientRequestId, Answer),
    /// The client sent so many bytes, which were read.
    BytesRead(usize),
    /// The connection is to be closed unless a request is pending.
    CloseIfIdle,
    /// The client closed its side, reading failed, or the mailbox has no sender any more.
    Closed,
}

/// Event on a connection without a pending request.
enum IdleEvent {
    /// A read ended, with the number of bytes or an error. 0 bytes mean that the client closed its side.
    Read(io::Result<usize>),
    /// The wait for the client ended: the deadline passed, the descriptor is needed, or the process is
    /// shutting down.
    WaitEnded,
    /// Flow control disconnects the client, because it sends its message too slowly.
    Disconnected,
}

/// Limits on the wait for a client without a pending request.
struct IdleWait {
    /// True if part of a message has arrived.
    mid_message: bool,
    /// Time at which the wait ends.
    deadline: Instant,
    /// True if a shutdown ends the wait at once. A connection that was never served, or that is in the middle
    /// of a message, stays open for as long as new connections are accepted, because its first request or the
    /// rest of the message may be on the way.
    ends_at_shutdown: bool,
}

impl ClientConnection {
    /// Waits for an event while requests are pending. While nothing more may be read, the connection is only polled for
    /// a close by the client.
    pub(super) async fn wait_for_event(&mut self) -> ClientEvent {
        self.prepare_read_ahead();
        let poll_interval = self.context.limits.client.disconnect_poll_interval;
        let limit = self.input_limit();
        let max_statement = self.context.limits.buffers.max_statement;
        let Self { stream, buffer, overflow, mailbox, next_departure_check, .. } = self;
        let mut input = Input { buffer, overflow, limit, max_statement };
        tokio::select! {
            biased;
            message = mailbox.recv() => match message {
                Some(ClientMessage::Answer(request_id, answer)) => ClientEvent::Answer(request_id, answer),
                Some(ClientMessage::CloseIfIdle) => ClientEvent::CloseIfIdle,
                None => ClientEvent::Closed,
            },
            count = read_unless_departed(&mut input, stream, next_departure_check, poll_interval) => match count {
                0 => ClientEvent::Closed,
                _ => ClientEvent::BytesRead(count),
            },
        }
    }

    /// Waits for `ready` while the client is connected. What it sends meanwhile is read, so that its close is seen.
    pub(super) async fn wait_unless_client_leaves<T>(
        &mut self,
        ready: impl Future<Output = T>,
    ) -> Result<T, CloseReason> {
        tokio::pin!(ready);
        loop {
            self.prepare_read_ahead();
            let poll_interval = self.context.limits.client.disconnect_poll_interval;
            let limit = self.input_limit();
            let max_statement = self.context.limits.buffers.max_statement;
            let Self { stream, buffer, overflow, next_departure_check, .. } = self;
            let mut input = Input { buffer, overflow, limit, max_statement };
            let count = tokio::select! {
                biased;
                ready = &mut ready => return Ok(ready),
                count = read_unless_departed(&mut input, stream, next_departure_check, poll_interval) => count,
            };
            if count == 0 {
                return Err(CloseReason::Normal);
            }
            self.record_input(count);
        }
    }

    /// Waits for more bytes while no request is pending. The connection may be closed here even in the middle
    /// of a message, so that clients that start a message and never complete it do not keep others out.
    pub(super) async fn read_more(&mut self) -> Result<(), CloseReason> {
        let wait = self.start_idle_wait();
        let read = match self.next_idle_event(&wait).await {
            IdleEvent::Read(read) => read,
            IdleEvent::Disconnected => return Err(CloseReason::TooSlow),
            // A request that has arrived by now is read and answered before the connection is closed.
            IdleEvent::WaitEnded if self.input_limit() > 0 && has_unread_bytes(&self.stream) => {
                self.read_now().await
            }
            IdleEvent::WaitEnded => return Err(CloseReason::Evicted),
        };
        let count = read?;
        self.record_input(count);
        if self.receive_state.message_started_at.is_some() {
            self.connection_guard.record_progress(count);
        }
        if count > 0 { Ok(()) } else { Err(CloseReason::Normal) }
    }

    /// Records since when the connection is idle, and meters a client that is in the middle of a message.
    fn start_idle_wait(&mut self) -> IdleWait {
        let now = Instant::now();
        let served = self.shared_state.was_served.get();
        let mid_message = self.has_unhandled_input();
        let started_at = mid_message.then(|| *self.receive_state.message_started_at.get_or_insert(now));
        let idle_since = if served { started_at.unwrap_or(now) } else { self.connected_at };
        self.shared_state.idle_since.set(Some(idle_since));
        if mid_message {
            self.connection_guard.start_metering(Transfer::FromPeer);
        }
        IdleWait {
            mid_message,
            deadline: self.idle_wait_deadline(now, started_at),
            ends_at_shutdown: served && !mid_message,
        }
    }

    /// Returns the deadline for the client's next statement, or for the rest of a message that started at
    /// `started_at`.
    fn idle_wait_deadline(&self, now: Instant, started_at: Option<Instant>) -> Instant {
        let limits = &self.context.limits.client;
        let first_request =
            (!self.shared_state.was_served.get()).then(|| self.connected_at + limits.first_request_timeout);
        let message = started_at.map(|started_at| {
            // Counted from the last read, however long the previous statement was pending: a client that
            // stopped sending is not waited for.
            let stalled = self.receipt_times.last_read_at().unwrap_or(now) + limits.stall_timeout;
            stalled.min(started_at + limits.message_timeout)
        });
        first_request.into_iter().chain(message).min().unwrap_or(now + limits.idle_timeout)
    }

    /// Waits for bytes or for the end of the wait. Bytes take precedence, so that what has arrived is served
    /// whatever else happens.
    async fn next_idle_event(&mut self, wait: &IdleWait) -> IdleEvent {
        let shutdown = wait_for_shutdown(self.context.stopping.clone(), wait.ends_at_shutdown);
        tokio::pin!(shutdown);
        let limit = self.input_limit();
        let max_statement = self.context.limits.buffers.max_statement;
        let Self { stream, buffer, overflow, mailbox, connection_guard, .. } = self;
        let mut input = Input { buffer, overflow, limit, max_statement };
        loop {
            tokio::select! {
                biased;
                read = input.read(stream), if limit > 0 => return IdleEvent::Read(read),
                message = mailbox.recv() => match message {
                    Some(ClientMessage::CloseIfIdle) | None => return IdleEvent::WaitEnded,
                    Some(ClientMessage::Answer(..)) => {}
                },
                () = connection_guard.disconnected(), if wait.mid_message => {
                    return IdleEvent::Disconnected;
                }
                () = &mut shutdown => return IdleEvent::WaitEnded,
                () = sleep_until(wait.deadline) => return IdleEvent::WaitEnded,
            }
        }
    }

    /// Reads bytes that have arrived.
    async fn read_now(&mut self) -> io::Result<usize> {
        let limit = self.input_limit();
        let max_statement = self.context.limits.buffers.max_statement;
        let Self { stream, buffer, overflow, .. } = self;
        Input { buffer, overflow, limit, max_statement }.read(stream).await
    }

    /// Records when the bytes of statements that were just read arrived, and whether that was late in a shutdown.
    pub(super) fn record_input(&mut self, count: usize) {
        self.turn.record(count);
        self.record_read();
        let received_at = self.receipt_times.received_at(true);
        self.is_past_arrival_window |= self.context.is_past_arrival_window(received_at);
    }

    /// Returns whether the shutdown has come so far that nothing more is read but the rest of a message that has begun.
    /// Otherwise a connection whose client always has requests in progress would stay open until the process is killed.
    pub(super) fn is_input_ended(&self) -> bool {
        self.context.time_left_at_shutdown().is_some_and(|time_left| time_left.is_zero())
    }

    /// Records when the bytes that were just read arrived.
    pub(super) fn record_read(&mut self) {
        self.receipt_times.record_read(&self.context.unstalled_clock, &self.stream);
    }
}

/// Returns once the process is shutting down if `at_once` is true, otherwise only once it accepts no more
/// connections.
async fn wait_for_shutdown(mut stopping: watch::Receiver<Option<Instant>>, at_once: bool) {
    let accepts_until = stopping.wait_for(Option::is_some).await.map_or(None, |until| *until);
    if let Some(accepts_until) = accepts_until.filter(|_| !at_once) {
        sleep_until(accepts_until).await;
    }
}

/// Waits until bytes were read, and returns how many; 0 once the client has closed its side or the connection has failed.
async fn read_unless_departed(
    input: &mut Input<'_>,
    stream: &mut TcpStream,
    next_check: &mut Instant,
    interval: Duration,
) -> usize {
    if input.limit > 0 {
        return input.read(stream).await.unwrap_or(0);
    }
    wait_for_departure(stream, next_check, interval).await;
    0
}

/// Returns once the client has closed its side, even if bytes that it sent before that are still unread. `next_check`
/// is kept by the caller, so that a wait that is interrupted again and again still looks every `interval`.
async fn wait_for_departure(stream: &TcpStream, next_check: &mut Instant, interval: Duration) {
    loop {
        sleep_until(*next_check).await;
        *next_check = Instant::now() + interval;
        if system::is_closed_by_peer(stream) {
            return;
        }
    }
}

/// Returns whether bytes have arrived that were not read yet.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(system::peek(stream), Peeked::Unread)
}
