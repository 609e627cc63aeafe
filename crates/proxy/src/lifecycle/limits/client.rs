//! Timeouts and sizes of one client connection. All are constants.

use std::time::Duration;

/// Timeouts and sizes of one client connection. All are constants.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Statements of one connection that are under way at once.
    pub pipelined_statements: usize,
    /// Bytes that a client may send while its requests are under way; more stay in the system's buffers.
    pub read_ahead: usize,
    /// How often a connection that has read so far ahead is asked whether the client has closed it.
    pub disconnect_poll_interval: Duration,
    /// From the accepted connection to the whole startup message.
    pub startup_timeout: Duration,
    /// From the accepted connection to the first whole statement. With a busy machine's delays that is less than the
    /// three seconds in which a client that stops must see its connection end.
    pub first_request_timeout: Duration,
    /// From the first byte of a message to its last, however steadily it comes.
    pub message_timeout: Duration,
    /// Silence within a message after which its connection is closed. As `first_request_timeout`, less than the three
    /// seconds in which a client that stops must see its connection end.
    pub stall_timeout: Duration,
    /// How long a connection may be open without a request. Clients that ask once and stay would otherwise use up
    /// the descriptors that others need.
    pub idle_timeout: Duration,
    /// How long a statement waits for buffer space that slow peers are giving up.
    pub reservation_wait: Duration,
    /// Bytes still read, and thrown away, of a client whose connection is being closed: with bytes unread the system
    /// would reset the connection, and the error written last would be lost.
    pub discard_limit: usize,
    /// How long a client may take to accept an error that ends its connection.
    pub error_write_timeout: Duration,
}

impl ClientLimits {
    pub(super) fn new() -> ClientLimits {
        ClientLimits {
            pipelined_statements: 64,
            read_ahead: 8 * 1024,
            disconnect_poll_interval: Duration::from_millis(20),
            startup_timeout: Duration::from_secs(2),
            first_request_timeout: Duration::from_millis(2500),
            message_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_millis(2500),
            idle_timeout: Duration::from_millis(2100),
            reservation_wait: Duration::from_millis(100),
            discard_limit: 256 * 1024,
            error_write_timeout: Duration::from_secs(5),
        }
    }
}
