//! Timeouts and sizes of one client connection.

use std::time::Duration;

/// Bounds the requests that one connection can have under way, and so its part in the dispatcher's tables.
const PIPELINED_STATEMENTS: usize = 64;
/// One small message: the rest stays in the system's buffers, where it holds the client back.
const READ_AHEAD: usize = 8 * 1024;
/// How late a closed connection may be noticed behind unread bytes. The cost of less is CPU time.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clients send the startup message at once.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that stops amid a message must see its connection end within three seconds. This leaves half a second for
/// delays of a busy machine.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bounds how long a client that sends at the least rate can hold a connection with one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Clients that ask once and stay would use up the descriptors that others need.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Long enough for flow control to disconnect peers that are too slow, and short beside the timeouts of requests.
const RESERVATION_WAIT: Duration = Duration::from_millis(100);
/// A statement of usual full size (132 KiB) and as much behind it; a client that sends for ever is cut off here.
const DISCARD_LIMIT: usize = 256 * 1024;
/// An error fits into an empty socket buffer; only a client that has read nothing before it takes longer.
const ERROR_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeouts and sizes of one client connection. All are constants.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Statements of one connection that are under way at once.
    pub pipelined_statements: usize,
    /// Bytes that are read of a client while its requests are under way; more stay in the system's buffers.
    pub read_ahead: usize,
    /// How often a connection that has read so far ahead is asked whether the client has closed it.
    pub disconnect_poll_interval: Duration,
    /// From the accepted connection to the whole startup message.
    pub startup_timeout: Duration,
    /// From the accepted connection to the first whole statement.
    pub first_request_timeout: Duration,
    /// From the first byte of a message to its last, however steadily it comes.
    pub message_timeout: Duration,
    /// Silence within a message after which its connection is closed.
    pub stall_timeout: Duration,
    /// How long a connection that had a request may be open without another.
    pub idle_timeout: Duration,
    /// How long a statement waits for buffer space that slow peers are giving up.
    pub reservation_wait: Duration,
    /// Bytes still read, and thrown away, of a client whose connection is being closed: with bytes unread the system
    /// would reset the connection, and the error written last would be lost.
    pub discard_limit: usize,
    /// How long a client may take to accept the error that rejects its connection.
    pub error_write_timeout: Duration,
}

impl ClientLimits {
    /// The limits, which nothing sets.
    pub(super) fn new() -> ClientLimits {
        ClientLimits {
            pipelined_statements: PIPELINED_STATEMENTS,
            read_ahead: READ_AHEAD,
            disconnect_poll_interval: DISCONNECT_POLL_INTERVAL,
            startup_timeout: STARTUP_TIMEOUT,
            // A client that never completes a statement is one that stalls.
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
