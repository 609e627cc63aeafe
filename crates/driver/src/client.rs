//! The actor of one client connection: statements in, one answer each, in order.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::statement::{Comment, is_empty, quoted};
use aldermill_wire::{Buffer, Malformed, pg};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::context::Context;
use crate::words::{Answer, Call, ClientId, Mail, Order};

/// What the listener sees of a client: since when nothing is under way, and whether anything ever was.
#[derive(Default)]
pub struct Seat {
    pub idle_since: Cell<Option<Instant>>,
    pub served: Cell<bool>,
}

/// Why a conversation ends.
enum End {
    /// The client left, or may be left in peace.
    Quiet,
    /// Its place is needed, or it stood idle for long. It is closed at once: what crosses that stays unread, and
    /// the client, seeing so, asks anew elsewhere.
    Yielded,
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
    pub context: Rc<Context>,
    pub id: ClientId,
    pub stream: TcpStream,
    pub buffer: Buffer,
    pub seat: Rc<Seat>,
    pub mailbox: mpsc::Receiver<Mail>,
    pub address: mpsc::Sender<Mail>,
    pub connected: Instant,
    /// What is owed to the client, in the order of its statements.
    pub owed: VecDeque<Owed>,
    /// Tasks handed to the desk so far.
    pub asked: u64,
}

/// The answer to one statement, once it is there.
pub struct Owed {
    task: ClientId,
    /// Of a statement that may write: what follows on the same key waits for it.
    key: Option<String>,
    answer: Option<Vec<u8>>,
    /// Room reserved for a large statement, and for a large answer.
    _statement: Option<OwnedSemaphorePermit>,
    rows: Option<OwnedSemaphorePermit>,
}

impl Client {
    pub async fn run(mut self) {
        self.seat.idle_since.set(Some(self.connected));
        let end = match self.greet().await {
            Ok(()) => self.serve().await,
            Err(end) => Err(end),
        };
        for owed in self.owed.drain(..).filter(|owed| owed.answer.is_none()) {
            let _ = self.context.desk.send(Call::Left(owed.task)).await;
        }
        if let Err(End::Yielded) = end {
            return;
        }
        self.buffer = Buffer::default();
        if let Err(End::Malformed(bad)) = end {
            slog::debug!(self.context.log, "client's bytes end its connection"; "why" => bad.0);
            let mut out = Vec::new();
            pg::error(&mut out, true, "08P01", bad.0, None);
            let _ = self.send(&out).await;
        }
        part(self.stream, self.context.limits.parting, self.context.limits.scrap).await;
    }

    /// The startup, and requests for encryption before it.
    async fn greet(&mut self) -> Result<(), End> {
        let until = self.connected + self.context.limits.startup;
        loop {
            match pg::opening(self.buffer.held())? {
                None => {
                    let read = tokio::select! {
                        biased;
                        read = timeout_at(until, self.stream.read_buf(self.buffer.tail())) => read,
                        _ = self.mailbox.recv() => return Err(End::Yielded),
                    };
                    if read.map_err(|_| End::Quiet)?? == 0 {
                        return Err(End::Quiet);
                    }
                }
                Some((pg::Opening::Cancel, _)) => return Err(End::Quiet),
                Some((pg::Opening::Encryption, length)) => {
                    self.buffer.consume(length);
                    self.send(b"N").await?;
                }
                Some((pg::Opening::Startup, length)) => {
                    self.buffer.consume(length);
                    let mut out = Vec::new();
                    pg::welcome(&mut out, self.id as u32);
                    return self.send(&out).await;
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
                let owed = self.owed.pop_front();
                self.send(&owed.and_then(|owed| owed.answer).unwrap_or_default()).await?;
            }
            let limits = &self.context.limits;
            if ending.is_none() && self.owed.len() < limits.pipelined {
                match pg::message(self.buffer.held(), limits.statement) {
                    Ok(Some(message)) => {
                        let (tag, length) = (message.tag, message.length);
                        let taken = match tag {
                            b'Q' => pg::query_text(message.body).map(<[u8]>::to_vec),
                            _ => Ok(Vec::new()),
                        };
                        match taken {
                            Err(bad) => ending = Some(Err(bad.into())),
                            Ok(_) if tag == b'X' => ending = Some(Ok(())),
                            Ok(statement) if tag == b'Q' && self.must_wait(&statement) => {
                                self.hear().await?;
                                continue;
                            }
                            Ok(statement) => {
                                self.buffer.consume(length);
                                self.seat.idle_since.set(None);
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
            if claimed > self.context.limits.small && large.is_none() {
                large = Some(self.reserve(claimed).await?);
            }
            self.more(&mut begun).await?;
        }
    }

    /// Whether a statement is on the key of a write that is under way.
    fn must_wait(&self, statement: &[u8]) -> bool {
        if self.owed.iter().all(|owed| owed.key.is_none()) {
            return false;
        }
        let Ok(comment) = Comment::parse(statement) else { return false };
        let key = quoted(&statement[comment.end..]);
        key.is_some() && self.owed.iter().any(|owed| owed.answer.is_none() && owed.key == key)
    }

    /// One whole message: a task goes to the desk, anything else has its answer at once.
    async fn handle(
        &mut self,
        tag: u8,
        statement: Vec<u8>,
        passing_over: &mut bool,
        large: &mut Option<OwnedSemaphorePermit>,
    ) -> Result<(), End> {
        let mut out = Vec::new();
        match tag {
            b'Q' if is_empty(&statement) => {
                self.context.ready.clone().wait_for(|&ready| ready).await.map_err(|_| End::Quiet)?;
                pg::empty_query(&mut out);
                pg::ready(&mut out);
            }
            b'Q' => match Comment::parse(&statement) {
                Ok(comment) => return self.ask(statement, comment, large.take()).await,
                Err(bad) => {
                    pg::error(&mut out, false, "08P01", bad.0, None);
                    pg::ready(&mut out);
                }
            },
            b'S' => {
                *passing_over = false;
                pg::ready(&mut out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                if !std::mem::replace(passing_over, true) {
                    pg::error(&mut out, false, "0A000", "only simple queries are served", None);
                }
            }
            b'F' => {
                pg::error(&mut out, false, "0A000", "only simple queries are served", None);
                pg::ready(&mut out);
            }
            // Left over from a copy that failed.
            b'd' | b'c' | b'f' => {}
            _ => return Err(Malformed("unknown message type").into()),
        }
        *large = None;
        if !out.is_empty() {
            let (answer, key, rows) = (Some(out), None, None);
            self.owed.push_back(Owed { task: ClientId::MAX, key, answer, _statement: None, rows });
        }
        Ok(())
    }

    /// Room for a large message, which the client is denied where others have taken it all.
    async fn reserve(&mut self, size: usize) -> Result<OwnedSemaphorePermit, End> {
        let room = self.context.large_room.clone();
        match room.try_acquire_many_owned(size.div_ceil(1024) as u32) {
            Ok(permit) => Ok(permit),
            Err(_) => {
                let mut out = Vec::new();
                pg::error(&mut out, true, "53300", "no room for a statement of this size", None);
                self.send(&out).await?;
                Err(End::Quiet)
            }
        }
    }

    /// Hands the task to the desk.
    async fn ask(
        &mut self,
        statement: Vec<u8>,
        comment: Comment,
        large: Option<OwnedSemaphorePermit>,
    ) -> Result<(), End> {
        self.asked += 1;
        let client = (self.id << 24) + (self.asked & 0xff_ffff);
        let text = &statement[comment.end..];
        let reads = text.trim_ascii_start().get(..6).is_some_and(|verb| verb.eq_ignore_ascii_case(b"SELECT"));
        let key = if reads { None } else { quoted(text) };
        self.owed.push_back(Owed { task: client, key, answer: None, _statement: large, rows: None });
        let (mailbox, arrived) = (self.address.clone(), Instant::now());
        let order = Order { client, mailbox, arrived, statement, comment };
        self.context.desk.send(Call::Take(order)).await.map_err(|_| End::Quiet)
    }

    /// Waits for an answer, for more bytes, or for the client to leave.
    async fn hear(&mut self) -> Result<(), End> {
        let room = self.buffer.held().len() < self.context.limits.ahead;
        tokio::select! {
            biased;
            mail = self.mailbox.recv() => match mail {
                Some(Mail::Answer(task, answer)) => {
                    self.seat.served.set(true);
                    if let Some(owed) = self.owed.iter_mut().find(|owed| owed.task == task) {
                        let mut out = Vec::new();
                        owed.rows = encode(&mut out, answer);
                        pg::ready(&mut out);
                        owed.answer = Some(out);
                    }
                    Ok(())
                }
                Some(Mail::Yield) => Ok(()),
                None => Err(End::Quiet),
            },
            read = self.stream.read_buf(self.buffer.tail()), if room => match read {
                Ok(count) if count > 0 => Ok(()),
                _ => Err(End::Quiet),
            },
        }
    }

    /// Waits for more bytes. With no task under way the connection may be given up here, a message that is not
    /// whole notwithstanding: those who begin one and never end it are not to keep others out.
    async fn more(&mut self, begun: &mut Option<Instant>) -> Result<(), End> {
        let context = self.context.clone();
        let limits = &context.limits;
        let mut stopping = context.stopping.clone();
        let served = self.seat.served.get();
        let between = self.buffer.is_empty();
        let (mut since, mut limit) = (Instant::now(), limits.client_idle);
        if !between {
            since = *begun.get_or_insert(since);
            limit = if stopping.borrow().is_some() { limits.stop_message } else { limits.message };
        }
        let mut until = since + limit;
        if !served {
            until = if between {
                self.connected + limits.first
            } else {
                until.min(self.connected + limits.first)
            };
            since = self.connected;
        }
        self.seat.idle_since.set(Some(since));
        let stopped = async {
            let window = stopping.wait_for(Option::is_some).await.map_or(None, |window| *window);
            if let Some(closes) = window.filter(|_| !served) {
                // It may have come for a task that is still on its way.
                sleep_until(closes).await;
            }
        };
        tokio::pin!(stopped);
        let read = loop {
            tokio::select! {
                biased;
                read = self.stream.read_buf(self.buffer.tail()) => break read,
                mail = self.mailbox.recv() => if matches!(mail, Some(Mail::Yield) | None) {
                    return Err(End::Yielded);
                },
                () = &mut stopped, if between => return Err(End::Yielded),
                () = sleep_until(until) => return Err(End::Yielded),
            }
        };
        if read? > 0 { Ok(()) } else { Err(End::Quiet) }
    }

    async fn send(&mut self, out: &[u8]) -> Result<(), End> {
        let limit = self.context.limits.accepting;
        Ok(timeout(limit, self.stream.write_all(out)).await.map_err(|_| End::Quiet)??)
    }
}

/// Ends a connection so that what was sent last arrives: closed with bytes unread, it would be reset. Of a client
/// that goes on sending no more than so many bytes are taken in.
async fn part(mut stream: TcpStream, limit: Duration, mut scrap: usize) {
    let until_end = async {
        stream.shutdown().await?;
        let mut bytes = Vec::with_capacity(16 * 1024);
        while scrap > 0 {
            bytes.clear();
            match stream.read_buf(&mut bytes).await? {
                0 => return Ok(()),
                count => scrap = scrap.saturating_sub(count),
            }
        }
        sleep(limit).await;
        std::io::Result::Ok(())
    };
    let _ = timeout(limit, until_end).await;
}

fn encode(out: &mut Vec<u8>, answer: Answer) -> Option<OwnedSemaphorePermit> {
    match answer {
        Answer::Honoured(rows) => {
            *out = rows.bytes;
            return rows.room;
        }
        Answer::Denied { cool_down } => {
            let millis = (cool_down + 999) / 1000;
            let detail = (millis > 0).then(|| millis.to_string());
            pg::error(out, false, "53300", "denied, trying again is harmless", detail.as_deref());
        }
        Answer::BrokenOff => {
            pg::error(out, false, "40003", "broken off, it is not known whether it took effect", None);
        }
        Answer::Wrong(why) => pg::error(out, false, "08P01", why, None),
    }
    None
}

/// Tells a client for which there is no room, and parts with it.
pub async fn turn_away(context: Rc<Context>, mut stream: TcpStream) {
    let mut out = Vec::new();
    pg::error(&mut out, true, "53300", "too many connections", None);
    let _ = timeout(context.limits.accepting, stream.write_all(&out)).await;
    part(stream, context.limits.parting, context.limits.scrap).await;
}
