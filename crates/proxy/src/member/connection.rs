//! A connection to a member: opened, checked before its reuse, and looked at without waiting.

use std::cell::Cell;
use std::net::SocketAddr;

use aldermill_routing::MemberId;
use aldermill_wire::pg::sql_state;
use aldermill_wire::{Buffer, pg};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use super::outcome::QueryError;
use crate::lifecycle::limits::Limits;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::DispatcherMessage;
use crate::system::{self, BufferSizes, Party, Peeked, SocketErrorKind};

/// The user that the proxy connects as; members ask for no password.
const USER: &str = "client";
/// The database that the proxy connects to.
const DATABASE: &str = "core";
/// The body of an authentication message that asks for nothing.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A connection that is ready for a query.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// What was read and not used yet.
    pub(super) buffer: Buffer,
    /// When it was opened, or last put back into the pool.
    pub(super) idle_since: Instant,
    /// The connection's part of the members' descriptors.
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Whether the other side has reset it, where no read has seen that yet.
    pub(super) fn is_reset(&self) -> bool {
        matches!(system::peek(&self.stream), Peeked::Failed(SocketErrorKind::Reset))
    }

    /// Whether it still stands, and nothing has come on it that was not asked for.
    pub(super) fn is_quiet(&self) -> bool {
        self.buffer.is_empty() && matches!(system::peek(&self.stream), Peeked::NoData)
    }
}

/// Counts one more connection that waits for a descriptor, for as long as this value lives.
struct DescriptorWait<'a>(&'a Cell<usize>);

impl DescriptorWait<'_> {
    fn start(waiting: &Cell<usize>) -> DescriptorWait<'_> {
        waiting.set(waiting.get() + 1);
        DescriptorWait(waiting)
    }
}

impl Drop for DescriptorWait<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The pooled connection, once nothing more can come of its last answer; `None` where that cannot be shown.
///
/// Bytes behind an answer must never be read as the next answer. A connection that has rested for `limits.member.settle_time` had time
/// for them to come and be seen. On any other one an empty query is sent, whose response must be the very next that comes.
pub(super) async fn resynchronized(
    pooled: Option<Connection>,
    deadline: Instant,
    limits: &Limits,
) -> Option<Connection> {
    let mut connection = pooled?;
    if connection.idle_since.elapsed() >= limits.member.settle_time {
        return Some(connection);
    }
    let deadline = deadline.min(Instant::now() + limits.member.connect_timeout);
    timeout_at(deadline, exchange_empty_query(&mut connection, limits)).await.ok()??;
    Some(connection)
}

/// Sends an empty query and reads its response; `None` where anything else comes, or the connection breaks.
async fn exchange_empty_query(connection: &mut Connection, limits: &Limits) -> Option<()> {
    let Connection { stream, buffer, .. } = connection;
    let mut query = Vec::new();
    pg::write_query(&mut query, &[]);
    system::write_all(Party::Member, stream, &query).await.ok()?;
    let mut was_acknowledged = false;
    loop {
        let Some(message) = pg::message(buffer.held(), limits.buffers.max_response).ok()? else {
            let count = system::read(Party::Member, stream, buffer.tail()).await.ok()?;
            if count == 0 {
                return None;
            }
            continue;
        };
        let length = message.length;
        match message.tag {
            b'I' if !was_acknowledged => was_acknowledged = true,
            b'S' | b'N' if was_acknowledged => {}
            b'Z' if was_acknowledged => {
                buffer.consume(length);
                return buffer.is_empty().then_some(());
            }
            _ => return None,
        }
        buffer.consume(length);
    }
}

/// A new connection that is ready for a query, by `deadline` and within `limits.member.connect_timeout`.
///
/// Errors: as [`QueryError`] says of a query that was not sent.
pub(super) async fn connect(
    context: &ProcessContext,
    id: MemberId,
    address: SocketAddr,
    deadline: Instant,
) -> Result<Connection, QueryError> {
    let deadline = deadline.min(Instant::now() + context.limits.member.connect_timeout);
    let permit = descriptor_permit(context, id, deadline).await?;
    let opened = timeout_at(deadline, open(&context.limits, address)).await;
    let (stream, buffer) = opened.map_err(|_| QueryError::DeadlinePassed)??;
    Ok(Connection { stream, buffer, idle_since: Instant::now(), _permit: permit })
}

/// A descriptor of the members' part. Where none is free the dispatcher is told, which has idle connections closed.
async fn descriptor_permit(
    context: &ProcessContext,
    id: MemberId,
    deadline: Instant,
) -> Result<OwnedSemaphorePermit, QueryError> {
    if let Ok(permit) = context.member_connection_permits.clone().try_acquire_owned() {
        return Ok(permit);
    }
    let _ = context.dispatcher.send(DispatcherMessage::DescriptorsExhausted(id)).await;
    let _waiting = DescriptorWait::start(&context.waiting_for_permit);
    let permit = timeout_at(deadline, context.member_connection_permits.clone().acquire_owned()).await;
    permit.ok().and_then(Result::ok).ok_or(QueryError::NoDescriptor)
}

/// Connects and sends the startup message, until the member is ready for a query.
async fn open(limits: &Limits, address: SocketAddr) -> Result<(TcpStream, Buffer), QueryError> {
    // The send buffer is smaller than a statement of full size, so that it is seen how quickly the member reads it.
    let sizes = BufferSizes {
        send: limits.buffers.client_socket_buffer as u32,
        receive: limits.buffers.member_socket_buffer as u32,
    };
    let mut stream = system::connect(address, Some(sizes)).await?;
    stream.set_nodelay(true)?;
    let mut startup = Vec::new();
    pg::write_startup_message(&mut startup, USER, DATABASE);
    system::write_all(Party::Member, &mut stream, &startup).await?;
    let mut buffer = Buffer::default();
    loop {
        let message =
            pg::message(buffer.held(), limits.buffers.max_response).map_err(|_| QueryError::Malformed)?;
        let Some(message) = message else {
            if system::read(Party::Member, &mut stream, buffer.tail()).await? == 0 {
                return Err(QueryError::Closed);
            }
            continue;
        };
        let length = message.length;
        match message.tag {
            b'Z' => {
                buffer.consume(length);
                return Ok((stream, buffer));
            }
            b'E' => return Err(connection_refused(message.body)),
            b'R' if message.body != AUTHENTICATION_OK => return Err(QueryError::ConnectionRejected),
            _ => buffer.consume(length),
        }
    }
}

/// What an error in place of a welcome means.
fn connection_refused(body: &[u8]) -> QueryError {
    let is_full =
        pg::ErrorResponse::parse(body).is_ok_and(|refusal| refusal.code == sql_state::TOO_MANY_CONNECTIONS);
    if is_full { QueryError::TooManyConnections } else { QueryError::ConnectionRejected }
}
