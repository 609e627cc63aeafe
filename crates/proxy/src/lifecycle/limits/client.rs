//! Timeouts and sizes for each client connection.

use std::time::Duration;

/// Bounds the requests that one connection can have in progress, and so the entries that it takes in the
/// dispatcher's tables.
const PIPELINED_STATEMENTS: usize = 64;
/// One small message.
const READ_AHEAD: usize = 8 * 1024;
/// Small enough that a client which pipelines a little more than one step reserves little that it does not use.
const READ_AHEAD_STEP: usize = 64 * 1024;
/// Longest delay before a closed connection is noticed behind unread bytes. A shorter interval costs CPU time.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clients send the startup message as soon as they are connected.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// The connection of a client that stops sending within a message must be closed within three seconds. This leaves
/// half a second for delays on a busy machine.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bounds how long a client that sends at the minimum rate can occupy a connection with one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Clients that send one request and stay connected would use up the descriptors that others need.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Long enough for flow control to disconnect peers that are too slow, and short compared with the timeouts of
/// requests.
const RESERVATION_WAIT: Duration = Duration::from_millis(100);
/// A statement of the nominal maximum size (132 KiB) and nearly as much after it. A client that never stops sending
/// is disconnected at this point.
const DISCARD_LIMIT: usize = 256 * 1024;
/// An error fits into an empty socket buffer. Writing it takes time only if the client has not read earlier data.
const ERROR_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeouts and sizes for each client connection. All are constants.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Maximum number of statements of one connection that are in progress at once.
    pub pipelined_statements: usize,
    /// Bytes that are held of what a client sends while its requests are in progress, without a reservation.
    pub read_ahead: usize,
    /// Size of the reservations for what exceeds `read_ahead`, in bytes. Where none is granted, further statements are
    /// rejected.
    pub read_ahead_step: usize,
    /// How often a connection from which nothing is read is checked for whether the client has closed it.
    pub disconnect_poll_interval: Duration,
    /// Time from accepting the connection to receiving the complete startup message.
    pub startup_timeout: Duration,
    /// Time from accepting the connection to receiving the first complete statement.
    pub first_request_timeout: Duration,
    /// Time from the first byte of a message to its last, however steadily the bytes arrive.
    pub message_timeout: Duration,
    /// Time without a byte within a message after which the connection is closed.
    pub stall_timeout: Duration,
    /// How long a connection that has had a request may stay open without another one.
    pub idle_timeout: Duration,
    /// How long a statement waits for buffer space to be freed by slow peers.
    pub reservation_wait: Duration,
    /// Bytes that are read and discarded while a connection is being closed. If bytes were left unread, the kernel
    /// would reset the connection, and the error written last would be lost.
    pub discard_limit: usize,
    /// How long writing the error to a client whose connection is rejected may take.
    pub error_write_timeout: Duration,
}

impl ClientLimits {
    /// Creates the limits. All values are constants.
    pub(super) fn new() -> ClientLimits {
        ClientLimits {
            pipelined_statements: PIPELINED_STATEMENTS,
            read_ahead: READ_AHEAD,
            read_ahead_step: READ_AHEAD_STEP,
            disconnect_poll_interval: DISCONNECT_POLL_INTERVAL,
            startup_timeout: STARTUP_TIMEOUT,
            // A client that never completes its first statement is treated like one that stalls within a message.
            first_request_timeout: STALL_TIMEOUT,
            message_timeout: MESSAGE_TIMEOUT,
            stall_timeout: STALL_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            reservation_wait: RESERVATION_WAIT,
            discard_limit: DISCARD_LIMIT,
            error_write_timeout: ERROR_WRITE_TIMEOUT,
        }
    }
}
