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
use crate::messages::{Answer, ClientMessage, ClientRequestId};
use crate::system::{self, Party, Peeked};

/// What a connection with requests under way may hear.
pub(super) enum ClientEvent {
    /// The dispatcher answers this request.
    Response(ClientRequestId, Answer),
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
    WaitOver,
    /// Flow control disconnects the client, which is too slow to send its message.
    Disconnected,
}

/// How long a client without a request under way is waited for.
struct IdleWait {
    /// A message has begun and is not whole.
    mid_message: bool,
    /// When the client's time is over.
    until: Instant,
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
            client_closed(stream, poll_interval).await;
            0
        };
        tokio::select! {
            biased;
            message = mailbox.recv() => match message {
                Some(ClientMessage::Answer(request, answer)) => ClientEvent::Response(request, answer),
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
        let wait = self.start_wait();
        let read = match self.next_idle_event(&wait).await {
            IdleEvent::Read(read) => read,
            IdleEvent::Disconnected => return Err(CloseReason::TooSlow),
            // A request that has arrived by now is read, and answered, before the connection is closed.
            IdleEvent::WaitOver if has_unread(&self.stream) => {
                system::read(Party::Client, &mut self.stream, self.buffer.tail()).await
            }
            IdleEvent::WaitOver => return Err(CloseReason::Evicted),
        };
        let count = read?;
        self.stamp_receipt();
        if self.intake.message_begun_at.is_some() {
            self.connection_guard.record_progress(count);
        }
        if count > 0 { Ok(()) } else { Err(CloseReason::Normal) }
    }

    /// Notes since when the connection is idle, and meters a client that is amid a message.
    fn start_wait(&mut self) -> IdleWait {
        let now = Instant::now();
        let served = self.state.served.get();
        let mid_message = !self.buffer.is_empty();
        let begun_at = mid_message.then(|| *self.intake.message_begun_at.get_or_insert(now));
        let idle_since = if served { begun_at.unwrap_or(now) } else { self.connected_at };
        self.state.idle_since.set(Some(idle_since));
        if mid_message {
            self.connection_guard.start_metering(Transfer::FromPeer);
        }
        IdleWait {
            mid_message,
            until: self.wait_deadline(now, begun_at),
            ends_at_shutdown: served && !mid_message,
        }
    }

    /// When a client's time for its next statement, or for the rest of one that began at `begun_at`, is over.
    fn wait_deadline(&self, now: Instant, begun_at: Option<Instant>) -> Instant {
        let limits = &self.context.limits.client;
        let first_request =
            (!self.state.served.get()).then(|| self.connected_at + limits.first_request_timeout);
        let message = begun_at.map(|begun_at| {
            // A client that has stopped is not waited for, however long the statement before was under way.
            let stalled = self.receipt.last_read_at().unwrap_or(now) + limits.stall_timeout;
            stalled.min(begun_at + limits.message_timeout)
        });
        first_request.into_iter().chain(message).min().unwrap_or(now + limits.idle_timeout)
    }

    /// Waits for bytes, or for what ends the wait. Bytes come first: what has arrived is served whatever else happens.
    async fn next_idle_event(&mut self, wait: &IdleWait) -> IdleEvent {
        let shutdown = shutdown(self.context.stopping.clone(), wait.ends_at_shutdown);
        tokio::pin!(shutdown);
        loop {
            tokio::select! {
                biased;
                read = system::read(Party::Client, &mut self.stream, self.buffer.tail()) => {
                    return IdleEvent::Read(read);
                }
                message = self.mailbox.recv() => match message {
                    Some(ClientMessage::CloseIfIdle) | None => return IdleEvent::WaitOver,
                    Some(ClientMessage::Answer(..)) => {}
                },
                () = self.connection_guard.disconnected(), if wait.mid_message => {
                    return IdleEvent::Disconnected;
                }
                () = &mut shutdown => return IdleEvent::WaitOver,
                () = sleep_until(wait.until) => return IdleEvent::WaitOver,
            }
        }
    }

    /// Notes when the bytes that were just read arrived.
    pub(super) fn stamp_receipt(&mut self) {
        self.receipt.stamp_receipt(&self.context.unstalled_clock, &self.stream);
    }
}

/// Returns once the process shuts down, and unless `at_once` only when it accepts no more connections.
async fn shutdown(mut stopping: watch::Receiver<Option<Instant>>, at_once: bool) {
    let accepts_until = stopping.wait_for(Option::is_some).await.map_or(None, |until| *until);
    if let Some(accepts_until) = accepts_until.filter(|_| !at_once) {
        sleep_until(accepts_until).await;
    }
}

/// Returns once the client has closed its side, though what it sent before that is left unread.
async fn client_closed(stream: &TcpStream, poll_interval: Duration) {
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
pub(super) fn has_unread(stream: &TcpStream) -> bool {
    matches!(system::peek(stream), Peeked::Unread)
}
