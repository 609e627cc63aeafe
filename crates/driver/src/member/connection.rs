//! A connection to a member: opened, settled before its next use, and looked at without waiting.

use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;

use aldermill_routing::{MemberId, Verdict};
use aldermill_wire::{Buffer, pg};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use crate::context::Context;
use crate::limits::Limits;
use crate::words::Call;

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    pub(super) idle_since: Instant,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// What stands in the way of reading: nothing to read as yet, or a reset. `None` is bytes, or a proper end.
    pub(super) fn obstacle(&self) -> Option<ErrorKind> {
        // Asked of the system itself: what the runtime knows of readiness may be a turn old.
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).err().map(|error| error.kind())
    }

    /// Neither closed by the peer nor spoken on out of turn.
    pub(super) fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && self.obstacle() == Some(ErrorKind::WouldBlock)
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
    if connection.idle_since.elapsed() >= limits.rest {
        return Some(connection);
    }
    let Connection { stream, buffer, .. } = &mut connection;
    let asked = async {
        let mut query = Vec::new();
        pg::query(&mut query, &[]);
        stream.write_all(&query).await.ok()?;
        let mut empty = false;
        loop {
            let Some(message) = pg::message(buffer.held(), limits.answer).ok()? else {
                let count = stream.read_buf(buffer.tail()).await.ok()?;
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
    let until = until.min(Instant::now() + limits.connect);
    timeout_at(until, asked).await.ok()??;
    Some(connection)
}

/// A new connection that is ready for a statement; without one, nothing of the launch ever ran. Only a refusal
/// shows that no process is there: one that took the connection and then broke it stands.
pub(super) async fn connect(
    context: &Context,
    id: MemberId,
    address: SocketAddr,
    until: Instant,
) -> Result<Connection, Verdict> {
    let until = until.min(Instant::now() + context.limits.connect);
    let permit = match context.member_room.clone().try_acquire_owned() {
        Ok(permit) => permit,
        Err(_) => {
            let _ = context.desk.send(Call::Crowded(id)).await;
            let _waits = Waits::start(&context.waiting_for_room);
            let room = timeout_at(until, context.member_room.clone().acquire_owned()).await;
            room.ok().and_then(Result::ok).ok_or(Verdict::TimedOut)?
        }
    };
    let opening = async {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.ok()?;
        // A statement of full size is more than the system takes at once: how quickly the member takes it is seen.
        socket.set_send_buffer_size(context.limits.buffer as u32).ok()?;
        socket.set_recv_buffer_size(context.limits.member_buffer as u32).ok()?;
        let mut stream = match socket.connect(address).await {
            Err(error) if error.kind() != ErrorKind::ConnectionReset => {
                return Some(Err(Verdict::Unconnected));
            }
            connected => connected.ok()?,
        };
        stream.set_nodelay(true).ok()?;
        let mut hello = Vec::new();
        pg::startup(&mut hello, "client", "core");
        stream.write_all(&hello).await.ok()?;
        let mut buffer = Buffer::default();
        loop {
            let message = pg::message(buffer.held(), context.limits.answer).ok()?;
            let Some(message) = message else {
                if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                    return None;
                }
                continue;
            };
            let length = message.length;
            match message.tag {
                b'Z' => {
                    buffer.consume(length);
                    let idle_since = Instant::now();
                    return Some(Ok(Connection { stream, buffer, idle_since, _permit: permit }));
                }
                b'E' => {
                    let full = pg::refusal(message.body).is_ok_and(|refusal| refusal.code == "53300");
                    return Some(Err(if full { Verdict::Full } else { Verdict::Dropped }));
                }
                b'R' if message.body != [0; 4] => return None,
                _ => buffer.consume(length),
            }
        }
    };
    match timeout_at(until, opening).await {
        Ok(opened) => opened.unwrap_or(Err(Verdict::Dropped)),
        Err(_) => Err(Verdict::TimedOut),
    }
}
