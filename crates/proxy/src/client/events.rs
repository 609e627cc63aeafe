//! What a connection waits for: answers from the dispatcher, bytes from the client, or an end.

use std::io;
use std::time::Duration;

use aldermill_flow_control::Transfer;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::close::CloseReason;
use super::connection::ClientConnection;
use crate::messages::{Answer, ClientId, ClientMessage};
use crate::system::{self, Party, Peeked};

/// What a connection with requests under way may hear.
pub(super) enum ClientEvent {
    /// The dispatcher answers this request.
    Answer(ClientId, Answer),
    /// The client sent bytes, which are in the read buffer.
    BytesRead,
    /// The connection is to be closed unless a request is under way.
    CloseIfIdle,
    /// The client has closed its side, or nobody holds the connection's mailbox any more.
    Closed,
}

/// What a connection without a request under way may hear.
enum IdleEvent {
    /// A read ended: with the number of bytes, 0 where the client has closed its side.
    Read(io::Result<usize>),
    /// The client is waited for no longer: its time is over, its descriptor is needed, or the process shuts down.
    WaitEnded,
    /// Flow control disconnects the client, which is too slow to send its message.
    Disconnected,
}

/// How long a client without a request under way is waited for.
struct IdleWait {
    /// A message has begun and is not whole.
    mid_message: bool,
    /// When the client's time is over.
    deadline: Instant,
    /// Whether a shutdown ends the wait at once. A connection that was never served, or is amid a message, stays open
    /// for as long as new connections are accepted: its first request, or the rest of the message, may be on its way.
    ends_at_shutdown: bool,
}

impl ClientConnection {
    /// Waits while requests are under way.
    pub(super) async fn wait_for_event(&mut self) -> ClientEvent {
        let may_read = self.buffer.held().len() < self.context.limits.client.read_ahead;
        let poll_interval = self.context.limits.client.disconnect_poll_interval;
        let Self { stream, buffer, mailbox, .. } = self;
        let reading = async {
            if may_read {
                return system::read(Party::Client, stream, buffer.tail()).await.unwrap_or(0);
            }
            wait_for_client_close(stream, poll_interval).await;
            0
        };
        tokio::select! {
            biased;
            message = mailbox.recv() => match message {
                Some(ClientMessage::Answer(request_id, answer)) => ClientEvent::Answer(request_id, answer),
                Some(ClientMessage::CloseIfIdle) => ClientEvent::CloseIfIdle,
                None => ClientEvent::Closed,
            },
            count = reading => match count {
                0 => ClientEvent::Closed,
                _ => ClientEvent::BytesRead,
            },
        }
    }

    /// Waits for more bytes while no request is under way. The connection may be closed here, also amid a message:
    /// clients that begin one and never end it must not keep others out.
    pub(super) async fn read_more(&mut self) -> Result<(), CloseReason> {
        let wait = self.start_idle_wait();
        let read = match self.next_idle_event(&wait).await {
            IdleEvent::Read(read) => read,
            IdleEvent::Disconnected => return Err(CloseReason::TooSlow),
            // A request that has arrived by now is read, and answered, before the connection is closed.
            IdleEvent::WaitEnded if has_unread_bytes(&self.stream) => {
                system::read(Party::Client, &mut self.stream, self.buffer.tail()).await
            }
            IdleEvent::WaitEnded => return Err(CloseReason::Evicted),
        };
        let count = read?;
        self.record_read();
        if self.receive_state.message_started_at.is_some() {
            self.connection_guard.record_progress(count);
        }
        if count > 0 { Ok(()) } else { Err(CloseReason::Normal) }
    }

    /// Notes since when the connection is idle, and meters a client that is amid a message.
    fn start_idle_wait(&mut self) -> IdleWait {
        let now = Instant::now();
        let served = self.shared_state.was_served.get();
        let mid_message = !self.buffer.is_empty();
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

    /// When a client's time for its next statement, or for the rest of one that began at `started_at`, is over.
    fn idle_wait_deadline(&self, now: Instant, started_at: Option<Instant>) -> Instant {
        let limits = &self.context.limits.client;
        let first_request =
            (!self.shared_state.was_served.get()).then(|| self.connected_at + limits.first_request_timeout);
        let message = started_at.map(|started_at| {
            // A client that has stopped is not waited for, however long the statement before was under way.
            let stalled = self.receipt_times.last_read_at().unwrap_or(now) + limits.stall_timeout;
            stalled.min(started_at + limits.message_timeout)
        });
        first_request.into_iter().chain(message).min().unwrap_or(now + limits.idle_timeout)
    }

    /// Waits for bytes, or for what ends the wait. Bytes come first: what has arrived is served whatever else happens.
    async fn next_idle_event(&mut self, wait: &IdleWait) -> IdleEvent {
        let shutdown = wait_for_shutdown(self.context.stopping.clone(), wait.ends_at_shutdown);
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                biased;
                read = system::read(Party::Client, &mut self.stream, self.buffer.tail()) => {
                    return IdleEvent::Read(read);
                }
                message = self.mailbox.recv() => match message {
                    Some(ClientMessage::CloseIfIdle) | None => return IdleEvent::WaitEnded,
                    Some(ClientMessage::Answer(..)) => {}
                },
                () = self.connection_guard.disconnected(), if wait.mid_message => {
                    return IdleEvent::Disconnected;
                }
                () = &mut shutdown => return IdleEvent::WaitEnded,
                () = sleep_until(wait.deadline) => return IdleEvent::WaitEnded,
            }
        }
    }

    /// Notes when the bytes that were just read arrived.
    pub(super) fn record_read(&mut self) {
        self.receipt_times.record_read(&self.context.unstalled_clock, &self.stream);
    }
}

/// Returns once the process shuts down, and unless `at_once` only when it accepts no more connections.
async fn wait_for_shutdown(mut stopping: watch::Receiver<Option<Instant>>, at_once: bool) {
    let accepts_until = stopping.wait_for(Option::is_some).await.map_or(None, |until| *until);
    if let Some(accepts_until) = accepts_until.filter(|_| !at_once) {
        sleep_until(accepts_until).await;
    }
}

/// Returns once the client has closed its side, though what it sent before that is left unread.
async fn wait_for_client_close(stream: &TcpStream, poll_interval: Duration) {
    loop {
        sleep(poll_interval).await;
        // Does not wait, as there is something to read.
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {}
            _ => return,
        }
    }
}

/// Whether bytes have arrived that nobody has read.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(system::peek(stream), Peeked::Unread)
}
