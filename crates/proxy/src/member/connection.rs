//! A connection to a member: opened, settled before its next use, and looked at without waiting.

use std::cell::Cell;
use std::net::SocketAddr;

use aldermill_routing::{MemberId, Verdict};
use aldermill_wire::{Buffer, pg};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use crate::lifecycle::limits::Limits;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::DispatcherMessage;
use crate::system::{self, BufferSizes, Party, Peeked, SocketErrorKind};

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    pub(super) idle_since: Instant,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Reset by the other side, and nobody has seen that yet.
    pub(super) fn is_reset(&self) -> bool {
        matches!(system::peek(&self.stream), Peeked::Failed(SocketErrorKind::Reset))
    }

    /// Neither closed by the peer nor spoken on out of turn.
    pub(super) fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && matches!(system::peek(&self.stream), Peeked::NoData)
    }
}

/// Why there is no connection: nothing of the attempt ever ran.
pub(super) struct Unopened {
    pub(super) verdict: Verdict,
    /// What the system said, where that was it.
    pub(super) why: Option<std::io::Error>,
}

impl From<Verdict> for Unopened {
    fn from(verdict: Verdict) -> Unopened {
        Unopened { verdict, why: None }
    }
}

impl From<std::io::Error> for Unopened {
    fn from(error: std::io::Error) -> Unopened {
        Unopened { verdict: before_send(&error), why: Some(error) }
    }
}

/// What an error says before the last byte of a query has left.
pub(super) fn before_send(error: &std::io::Error) -> Verdict {
    match SocketErrorKind::of(error) {
        SocketErrorKind::Local => Verdict::LocalFailure,
        SocketErrorKind::Refused => Verdict::Unconnected,
        SocketErrorKind::Unreachable => Verdict::Unreachable,
        // One that took the connection and then broke it stands.
        SocketErrorKind::Reset => Verdict::ConnectionLost,
    }
}

/// One more that waits, for as long as this stands.
struct Waits<'a>(&'a Cell<usize>);

impl Waits<'_> {
    fn start(waiting: &Cell<usize>) -> Waits<'_> {
        waiting.set(waiting.get() + 1);
        Waits(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The connection, once nothing more can come of its last answer: a second copy or noise behind an answer must
/// never be read as the next one. Of one that has not rested an empty query is asked, whose answer must be the
/// very next that comes; `None` where it is not.
pub(super) async fn settled(
    pooled: Option<Connection>,
    until: Instant,
    limits: &Limits,
) -> Option<Connection> {
    let mut connection = pooled?;
    if connection.idle_since.elapsed() >= limits.member.settle_time {
        return Some(connection);
    }
    let Connection { stream, buffer, .. } = &mut connection;
    let asked = async {
        let mut query = Vec::new();
        pg::query(&mut query, &[]);
        system::write_all(Party::Member, stream, &query).await.ok()?;
        let mut empty = false;
        loop {
            let Some(message) = pg::message(buffer.held(), limits.buffers.response).ok()? else {
                let count = system::read(Party::Member, stream, buffer.tail()).await.ok()?;
                if count == 0 {
                    return None;
                }
                continue;
            };
            match message.tag {
                b'I' if !empty => empty = true,
                b'S' | b'N' if empty => {}
                b'Z' if empty => {
                    buffer.consume(message.length);
                    return buffer.is_empty().then_some(());
                }
                _ => return None,
            }
            let length = message.length;
            buffer.consume(length);
        }
    };
    let until = until.min(Instant::now() + limits.member.connect_timeout);
    timeout_at(until, asked).await.ok()??;
    Some(connection)
}

/// A new connection that is ready for a statement. Only a refusal shows that no process is there.
pub(super) async fn connect(
    context: &ProcessContext,
    id: MemberId,
    address: SocketAddr,
    until: Instant,
) -> Result<Connection, Unopened> {
    let until = until.min(Instant::now() + context.limits.member.connect_timeout);
    let permit = match context.member_room.clone().try_acquire_owned() {
        Ok(permit) => permit,
        Err(_) => {
            let _ = context.dispatcher.send(DispatcherMessage::DescriptorsExhausted(id)).await;
            let _waits = Waits::start(&context.waiting_for_room);
            let room = timeout_at(until, context.member_room.clone().acquire_owned()).await;
            // That this process has no descriptor to spare is no word on the member.
            room.ok().and_then(Result::ok).ok_or(Verdict::LocalFailure)?
        }
    };
    match timeout_at(until, opened(&context.limits, address)).await {
        Ok(opened) => {
            let (stream, buffer) = opened?;
            Ok(Connection { stream, buffer, idle_since: Instant::now(), _permit: permit })
        }
        Err(_) => Err(Verdict::TimedOut.into()),
    }
}

/// Connects and greets, until the member is ready.
async fn opened(limits: &Limits, address: SocketAddr) -> Result<(TcpStream, Buffer), Unopened> {
    // A statement of full size is more than the system takes at once: how quickly the member takes it is seen.
    let sizes = BufferSizes {
        send: limits.buffers.client_socket as u32,
        receive: limits.buffers.member_socket as u32,
    };
    let mut stream = system::connect(address, Some(sizes)).await?;
    stream.set_nodelay(true)?;
    let mut hello = Vec::new();
    pg::startup(&mut hello, "client", "core");
    system::write_all(Party::Member, &mut stream, &hello).await?;
    let mut buffer = Buffer::default();
    loop {
        let message =
            pg::message(buffer.held(), limits.buffers.response).map_err(|_| Verdict::ConnectionLost)?;
        let Some(message) = message else {
            if system::read(Party::Member, &mut stream, buffer.tail()).await? == 0 {
                return Err(Verdict::ConnectionLost.into());
            }
            continue;
        };
        let length = message.length;
        match message.tag {
            b'Z' => {
                buffer.consume(length);
                return Ok((stream, buffer));
            }
            b'E' => {
                let full = pg::refusal(message.body).is_ok_and(|refusal| refusal.code == "53300");
                return Err(if full { Verdict::Overloaded } else { Verdict::ConnectionLost }.into());
            }
            b'R' if message.body != [0; 4] => return Err(Verdict::ConnectionLost.into()),
            _ => buffer.consume(length),
        }
    }
}
