//! Connections to a member: opening them, checking them before reuse, and inspecting them without blocking.

use std::cell::Cell;
use std::net::SocketAddr;

use aldermill_routing::MemberId;
use aldermill_wire::pg::sql_state;
use aldermill_wire::{Buffer, pg};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task;
use tokio::time::{Instant, timeout_at};

use super::outcome::QueryError;
use crate::lifecycle::limits::Limits;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::DispatcherMessage;
use crate::system::{self, BufferSizes, Party, Peeked, SocketErrorKind};

/// User name for connections to members, which require no password.
const USER: &str = "client";
/// Database name for connections to members.
const DATABASE: &str = "core";
/// Body of an authentication message that requests no credentials.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];

/// A connection that is ready for a query.
pub(super) struct Connection {
    /// TCP connection to the member.
    pub(super) stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub(super) buffer: Buffer,
    /// When the connection was opened, or last returned to the pool.
    pub(super) idle_since: Instant,
    /// Permit for one of the descriptors allotted to connections to members.
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Returns whether the member has reset the connection and no read has reported that yet.
    pub(super) fn is_reset(&self) -> bool {
        matches!(system::peek(&self.stream), Peeked::Failed(SocketErrorKind::Reset))
    }

    /// Returns whether the connection is open and nothing unsolicited has arrived on it.
    pub(super) fn is_usable(&self) -> bool {
        self.buffer.is_empty() && matches!(system::peek(&self.stream), Peeked::NoData)
    }
}

/// Counts one more connection that waits for a descriptor, until this guard is dropped.
struct DescriptorWaitGuard<'a>(&'a Cell<usize>);

impl DescriptorWaitGuard<'_> {
    fn start(waiting: &Cell<usize>) -> DescriptorWaitGuard<'_> {
        waiting.set(waiting.get() + 1);
        DescriptorWaitGuard(waiting)
    }
}

impl Drop for DescriptorWaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the pooled connection once nothing more of its previous response can arrive, or `None` if there is
/// no pooled connection or that cannot be established.
///
/// Late bytes of one response must never be read as the next response. On a connection that has been idle for
/// `limits.member.settle_time`, they have had time to arrive and be noticed. On any other connection an empty
/// query is sent, and its response must be the very next thing to arrive.
pub(super) async fn resynchronize(
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

/// Sends an empty query and reads its response. Returns `None` if anything else arrives, or the connection
/// breaks.
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
            task::yield_now().await;
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

/// Opens a connection that is ready for a query, by `deadline` and within `limits.member.connect_timeout`.
///
/// # Errors
///
/// Returns why the connection could not be opened, as a [`QueryError`] for a query that was not sent.
pub(super) async fn connect(
    context: &ProcessContext,
    id: MemberId,
    address: SocketAddr,
    deadline: Instant,
) -> Result<Connection, QueryError> {
    let deadline = deadline.min(Instant::now() + context.limits.member.connect_timeout);
    let permit = acquire_descriptor_permit(context, id, deadline).await?;
    let opened = timeout_at(deadline, open(&context.limits, address)).await;
    let (stream, buffer) = opened.map_err(|_| QueryError::DeadlineExceeded)??;
    Ok(Connection { stream, buffer, idle_since: Instant::now(), _permit: permit })
}

/// Acquires one of the descriptors allotted to connections to members. If none is free, tells the dispatcher,
/// which has idle connections closed, and waits until `deadline`.
async fn acquire_descriptor_permit(
    context: &ProcessContext,
    id: MemberId,
    deadline: Instant,
) -> Result<OwnedSemaphorePermit, QueryError> {
    if let Ok(permit) = context.member_connection_permits.clone().try_acquire_owned() {
        return Ok(permit);
    }
    let _ = context.dispatcher.send(DispatcherMessage::DescriptorsExhausted(id)).await;
    let _waiting = DescriptorWaitGuard::start(&context.waiting_for_permit);
    let permit = timeout_at(deadline, context.member_connection_permits.clone().acquire_owned()).await;
    permit.ok().and_then(Result::ok).ok_or(QueryError::NoDescriptor)
}

/// Connects, sends the startup message, and waits until the member is ready for a query.
async fn open(limits: &Limits, address: SocketAddr) -> Result<(TcpStream, Buffer), QueryError> {
    // The send buffer is smaller than a full-size statement, so that the progress of the write shows how fast
    // the member reads.
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
            // A member that never becomes ready must not keep other tasks on this thread from running.
            task::yield_now().await;
            continue;
        };
        let length = message.length;
        match message.tag {
            b'Z' => {
                buffer.consume(length);
                return Ok((stream, buffer));
            }
            b'E' => return Err(startup_error(message.body)),
            b'R' if message.body != AUTHENTICATION_OK => return Err(QueryError::ConnectionRejected),
            _ => buffer.consume(length),
        }
    }
}

/// Returns the error for an ErrorResponse that the member sent during startup.
fn startup_error(body: &[u8]) -> QueryError {
    let is_at_capacity =
        pg::ErrorResponse::parse(body).is_ok_and(|response| response.code == sql_state::TOO_MANY_CONNECTIONS);
    if is_at_capacity { QueryError::TooManyConnections } else { QueryError::ConnectionRejected }
}
