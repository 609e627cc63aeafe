//! Capacities of the queues between actors, in messages. If a queue is full, the sender waits or drops its message.

use super::ConnectionLimits;

/// Each connection may have one message of its own and the end of a previous connection waiting.
const MESSAGES_PER_CONNECTION: usize = 2;
/// The dispatcher normally takes endpoint lists faster than discovery sends them. If it does not, the discovery watch
/// waits.
const LIST_UPDATES: usize = 16;
/// Holds a burst of lines from all connections. If standard error is not read, lines are lost, but no sender waits.
const LOG_LINES: usize = 1024;
/// Holds a burst of new clients. The kernel caps the backlog at its `somaxconn`.
const LISTEN_BACKLOG: i32 = 1024;

/// Capacities of the queues between actors, in messages.
#[derive(Clone, Debug)]
pub struct QueueLimits {
    /// Messages to the dispatcher. Set by the connection limits.
    pub dispatcher: usize,
    /// Commands to the actor of one member. Set by the connection limits.
    pub member: usize,
    /// Endpoint lists to the dispatcher. Constant.
    pub list_updates: usize,
    /// Log lines to be written to standard error. Lines that do not fit are dropped and counted. Constant.
    pub log_lines: usize,
    /// Connections waiting to be accepted: the backlog passed to `listen`. Constant.
    pub listen_backlog: i32,
}

impl QueueLimits {
    /// Computes the limits from the connection limits.
    pub(super) fn new(connections: &ConnectionLimits) -> QueueLimits {
        let total = connections.clients + connections.members;
        QueueLimits {
            dispatcher: MESSAGES_PER_CONNECTION * total,
            member: total,
            list_updates: LIST_UPDATES,
            log_lines: LOG_LINES,
            listen_backlog: LISTEN_BACKLOG,
        }
    }
}
