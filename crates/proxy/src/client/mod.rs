//! The actor of one client connection: statements in, one answer each, in order.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::{Priority, Transfer};
use aldermill_wire::statement::{Comment, is_empty, quoted};
use aldermill_wire::{Buffer, Malformed, pg};
use slog::debug;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::flow_control::{BufferReservation, ConnectionGuard};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Answer, ClientId, ClientLeft, ClientMessage, ClientRequest, DispatcherMessage};
use crate::system::{self, Party};

use close::{encode, gone, has_unread, part};

mod close;
pub mod listener;
mod statement;

pub use close::turn_away;

/// What the listener sees of a client: since when nothing is under way, and whether anything ever was.
#[derive(Default)]
pub struct ConnectionState {
    pub idle_since: Cell<Option<Instant>>,
    pub served: Cell<bool>,
    /// It is slow to read its answer.
    pub stuck: Cell<bool>,
}

/// Why a conversation ends.
enum End {
    /// The client left, or may be left in peace.
    Quiet,
    /// Its place is needed, or it stood idle for long. It is closed at once: what crosses that stays unread, and
    /// the client, seeing so, asks anew elsewhere.
    Yielded,
    /// It was too slow while others wanted what it held, or for too long. It is reset: what the system still holds
    /// for it is let go of at once.
    Cut,
    /// It sent what the protocol does not allow.
    Malformed(Malformed),
}

impl From<Malformed> for End {
    fn from(bad: Malformed) -> End {
        End::Malformed(bad)
    }
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> End {
        End::Quiet
    }
}

pub struct Client {
    pub context: Rc<ProcessContext>,
    pub id: ClientId,
    pub stream: TcpStream,
    pub connection_guard: ConnectionGuard,
    pub buffer: Buffer,
    pub state: Rc<ConnectionState>,
    pub mailbox: mpsc::Receiver<ClientMessage>,
    pub address: mpsc::Sender<ClientMessage>,
    pub connected: Instant,
    /// What is owed to the client, in the order of its statements.
    pub owed: VecDeque<Owed>,
    /// Requests handed to the dispatcher so far.
    pub asked: u64,
    /// Bytes sent since the client last asked: they may be unread.
    pub unread: usize,
    /// The room of the last large answer, as far as the system may hold it still.
    pub left: Option<BufferReservation>,
    /// The rest of a message is waited for.
    pub sending: bool,
    /// When it was last read.
    pub read: Option<Instant>,
    /// Between when and when what is in the buffer came, where it waited for this process.
    pub old: Option<(Instant, Instant)>,
}

/// The answer to one statement, once it is there.
pub struct Owed {
    request: ClientId,
    /// Of a statement that may write: what follows on the same key waits for it.
    key: Option<String>,
    answer: Option<Vec<Vec<u8>>>,
    /// Room held for a large statement, and for a large answer.
    statement: Option<BufferReservation>,
    rows: Option<BufferReservation>,
}

impl Client {
    pub async fn run(mut self) {
        self.state.idle_since.set(Some(self.connected));
        let end = match self.greet().await {
            Ok(()) => self.serve().await,
            Err(end) => Err(end),
        };
        for owed in self.owed.drain(..).filter(|owed| owed.answer.is_none()) {
            let _ = self
                .context
                .dispatcher
                .send(DispatcherMessage::ClientLeft(ClientLeft { client: owed.request }))
                .await;
        }
        if matches!(end, Err(End::Cut)) || !self.may_leave_unread() {
            // With nothing left to be handed over the system forgets the connection at once.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if let Err(End::Yielded) = end {
            return;
        }
        self.buffer = Buffer::default();
        if let Err(End::Malformed(bad)) = end {
            debug!(self.context.log, "client's bytes end its connection"; "why" => bad.0);
            let mut out = Vec::new();
            pg::error(&mut out, true, "08P01", bad.0, None);
            let _ = self.send(vec![out], None).await;
        }
        part(self.stream, self.context.limits.connections.linger, self.context.limits.client.discard_limit)
            .await;
    }

    /// Closed is not gone: what the client may not have read stays with the system for a bounded time, and counts
    /// as room meanwhile. Says whether there is room for that.
    fn may_leave_unread(&mut self) -> bool {
        let unread = self.unread.min(2 * self.context.limits.buffers.client_socket);
        if unread < self.context.limits.buffers.ignorable_unread {
            return true;
        }
        let _ =
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(self.connection_guard.linger_timeout()));
        match self.left.take() {
            Some(room) => room.linger(),
            None => return self.connection_guard.may_leave_unread(unread),
        }
        true
    }

    /// The startup, and requests for encryption before it.
    async fn greet(&mut self) -> Result<(), End> {
        let until = self.connected + self.context.limits.client.startup_timeout;
        loop {
            match pg::opening(self.buffer.held())? {
                None => {
                    let read = tokio::select! {
                        biased;
                        read = timeout_at(until, system::read(Party::Client, &mut self.stream, self.buffer.tail())) => read,
                        _ = self.mailbox.recv() => return Err(End::Yielded),
                    };
                    // Too late: nothing that comes now is read, as it would have no answer.
                    if read.map_err(|_| End::Yielded)?? == 0 {
                        return Err(End::Quiet);
                    }
                    self.date();
                }
                Some((pg::Opening::Cancel, _)) => return Err(End::Quiet),
                Some((pg::Opening::Encryption, length)) => {
                    self.buffer.consume(length);
                    self.send(vec![b"N".to_vec()], None).await?;
                }
                Some((pg::Opening::Startup, length)) => {
                    self.buffer.consume(length);
                    let mut out = Vec::new();
                    pg::welcome(&mut out, self.id as u32);
                    return self.send(vec![out], None).await;
                }
            }
        }
    }

    /// Statements are taken as they come, so many at once, and answered in their order.
    async fn serve(&mut self) -> Result<(), End> {
        // After a message of the extended protocol, all up to the next Sync is passed over.
        let mut passing_over = false;
        // Since when a message is under way that is not whole, and the room reserved where it is large.
        let mut begun = None;
        let mut large = None;
        // How the conversation ends once all that is owed was sent.
        let mut ending = None;
        loop {
            while let Some(Owed { answer: Some(_), .. }) = self.owed.front() {
                let Some(Owed { answer, rows, statement, .. }) = self.owed.pop_front() else { break };
                drop(statement);
                self.send(answer.unwrap_or_default(), rows).await?;
            }
            let limits = &self.context.limits;
            if ending.is_none() && self.owed.len() < limits.client.pipelined_statements {
                match pg::message(self.buffer.held(), limits.buffers.statement) {
                    Ok(Some(message)) => {
                        let (tag, length) = (message.tag, message.length);
                        let text = match tag {
                            b'Q' => pg::query_text(message.body),
                            _ => Ok(&[][..]),
                        };
                        match text {
                            Err(bad) => ending = Some(Err(bad.into())),
                            Ok(_) if tag == b'X' => ending = Some(Ok(())),
                            Ok(statement) if tag == b'Q' && self.must_wait(statement) => {
                                self.hear().await?;
                                continue;
                            }
                            Ok(_) => {
                                let statement = self.statement(tag, length);
                                if self.owed.is_empty() {
                                    self.unread = 0;
                                    self.left = None;
                                }
                                if std::mem::take(&mut self.sending) {
                                    self.connection_guard.stop_metering();
                                }
                                self.state.idle_since.set(None);
                                begun = None;
                                let handled = self.handle(tag, statement, &mut passing_over, &mut large);
                                match handled.await {
                                    Err(End::Malformed(bad)) => ending = Some(Err(bad.into())),
                                    handled => handled?,
                                }
                            }
                        }
                        continue;
                    }
                    Ok(None) => {}
                    Err(bad) => ending = Some(Err(bad.into())),
                }
            }
            if !self.owed.is_empty() {
                self.hear().await?;
                continue;
            }
            if let Some(end) = ending {
                return end;
            }
            let claimed = pg::claimed(self.buffer.held());
            if claimed > self.context.limits.buffers.small_message && large.is_none() {
                large = Some(self.reserve(claimed).await?);
            }
            self.more(&mut begun).await?;
        }
    }

    /// Waits for an answer, for more bytes, or for the client to leave.
    async fn hear(&mut self) -> Result<(), End> {
        let room = self.buffer.held().len() < self.context.limits.client.read_ahead;
        let look_again = self.context.limits.client.disconnect_poll_interval;
        let (stream, buffer) = (&mut self.stream, &mut self.buffer);
        let reading = async {
            if room {
                system::read(Party::Client, stream, buffer.tail()).await.unwrap_or(0)
            } else {
                gone(stream, look_again).await;
                0
            }
        };
        tokio::select! {
            biased;
            message = self.mailbox.recv() => match message {
                Some(ClientMessage::Answer(request, answer)) => {
                    self.state.served.set(true);
                    if let Some(owed) = self.owed.iter_mut().find(|owed| owed.request == request) {
                        let (mut pieces, rows) = encode(answer);
                        owed.rows = rows;
                        match pieces.last_mut() {
                            Some(last) => pg::ready(last),
                            None => pieces.push(Vec::new()),
                        }
                        owed.answer = Some(pieces);
                    }
                    Ok(())
                }
                Some(ClientMessage::CloseIfIdle) => Ok(()),
                None => Err(End::Quiet),
            },
            count = reading => match count {
                0 => Err(End::Quiet),
                _ => {
                    self.date();
                    Ok(())
                }
            },
        }
    }

    /// Waits for more bytes. With no request under way the connection may be given up here, a message that is
    /// not whole notwithstanding: those who begin one and never end it are not to keep others out.
    async fn more(&mut self, begun: &mut Option<Instant>) -> Result<(), End> {
        let context = self.context.clone();
        let limits = &context.limits;
        let mut stopping = context.stopping.clone();
        let served = self.state.served.get();
        let between = self.buffer.is_empty();
        let now = Instant::now();
        let (mut since, mut until) = (now, now + limits.client.idle_timeout);
        if !between {
            since = *begun.get_or_insert(now);
            // A client that has stopped is not waited for, however long the statement before was under way.
            until = (since + limits.client.message_timeout)
                .min(self.read.unwrap_or(now) + limits.client.stall_timeout);
        }
        if !served {
            let first = self.connected + limits.client.first_request_timeout;
            until = if between { first } else { until.min(first) };
            since = self.connected;
        }
        self.state.idle_since.set(Some(since));
        if !between {
            self.sending = true;
            self.connection_guard.start_metering(Transfer::FromPeer);
        }
        let stopped = async {
            let window = stopping.wait_for(Option::is_some).await.map_or(None, |window| *window);
            if let Some(closes) = window.filter(|_| !served || !between) {
                // It may have come for a request that is still on its way, or the rest of one.
                sleep_until(closes).await;
            }
        };
        tokio::pin!(stopped);
        let read = loop {
            tokio::select! {
                biased;
                read = system::read(Party::Client, &mut self.stream, self.buffer.tail()) => break read,
                message = self.mailbox.recv() => match message {
                    Some(ClientMessage::CloseIfIdle) | None => {}
                    Some(_) => continue,
                },
                () = self.connection_guard.disconnected(), if !between => return Err(End::Cut),
                () = &mut stopped => {}
                () = sleep_until(until) => {}
            }
            // What has come by now is read, and answered: nothing is closed over it.
            if !has_unread(&self.stream) {
                return Err(End::Yielded);
            }
            break system::read(Party::Client, &mut self.stream, self.buffer.tail()).await;
        };
        let count = read?;
        self.date();
        if self.sending {
            self.connection_guard.record_progress(count);
        }
        if count > 0 { Ok(()) } else { Err(End::Quiet) }
    }

    /// Sends all of it, however slowly the client takes it, unless that is too slow. Its room is given back by then,
    /// but for what the system may still hold of it.
    async fn send(&mut self, pieces: Vec<Vec<u8>>, room: Option<BufferReservation>) -> Result<(), End> {
        let mut owing = false;
        for piece in &pieces {
            let mut left = &piece[..];
            while !left.is_empty() {
                match system::try_write(Party::Client, &self.stream, left) {
                    Ok(count) if count > 0 => {
                        left = &left[count..];
                        self.unread = self.unread.saturating_add(count);
                        if owing {
                            // So much of what was written before has been taken.
                            self.connection_guard.record_progress(count);
                        }
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                        if !std::mem::replace(&mut owing, true) {
                            self.state.stuck.set(true);
                            self.connection_guard.start_metering(Transfer::ToPeer);
                        }
                        tokio::select! {
                            biased;
                            () = self.connection_guard.disconnected() => return Err(End::Cut),
                            ready = self.stream.writable() => ready?,
                        }
                    }
                    _ => return Err(End::Quiet),
                }
            }
        }
        if owing {
            self.state.stuck.set(false);
            self.connection_guard.stop_metering();
        }
        if let Some(room) = room {
            room.shrink(self.unread.min(2 * self.context.limits.buffers.client_socket));
            self.left = Some(room);
        }
        Ok(())
    }
}
