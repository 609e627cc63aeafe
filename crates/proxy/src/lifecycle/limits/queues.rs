//! Lengths of the queues between actors, in messages. A sender waits, or drops what it has, where its queue is full.

use super::ConnectionLimits;

/// Each connection may have a message of its own and the end of an earlier one waiting.
const MESSAGES_PER_CONNECTION: usize = 2;
/// The dispatcher takes lists faster than discovery sends them; where it does not, the watch waits.
const LIST_UPDATES: usize = 16;
/// A burst of lines from every connection; a reader of standard error that stands still costs lines, never time.
const LOG_LINES: usize = 1024;
/// A burst of new clients; the system caps it at its own `somaxconn`.
const LISTEN_BACKLOG: i32 = 1024;

/// Lengths of the queues between actors, in messages.
#[derive(Clone, Debug)]
pub struct QueueLimits {
    /// Messages that wait for the dispatcher. Set by the limits on connections.
    pub dispatcher: usize,
    /// Commands that wait at one member's actor. Set by the limits on connections.
    pub member: usize,
    /// Endpoint lists that wait for the dispatcher. A constant.
    pub list_updates: usize,
    /// Log lines that wait for standard error; more are dropped and counted. A constant.
    pub log_lines: usize,
    /// Connections that wait to be accepted, as given to `listen`. A constant.
    pub listen_backlog: i32,
}

impl QueueLimits {
    /// The limits beside these on connections.
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
