//! Messages to the actor of a member, and the query that the actor writes to the member.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::{RequestHandle, Validity};
use aldermill_wire::pg;
use tokio::time::Instant;

use super::ClientRequest;

/// A command from the dispatcher to the actor of a member.
pub enum MemberCommand {
    /// Send this attempt; its end is reported by an [`AttemptFinished`](super::AttemptFinished) message.
    Send(Attempt),
    /// Send a health check; its end is reported by a [`HealthCheckFinished`](super::HealthCheckFinished)
    /// message.
    HealthCheck {
        /// The time at which the health check was decided on.
        decided_at: Instant,
        /// The time at which the health check times out.
        deadline: Instant,
    },
    /// Use this address, and no connections from before: the member was restarted or its address has changed.
    Reconnect(SocketAddr),
    /// Close the connection that has been idle longest, because another member needs a descriptor.
    CloseOldestIdle,
    /// Close all idle connections, because the member has few connections to spare.
    CloseIdle,
}

/// Whether an attempt may use a connection from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolUse {
    /// Reuse an idle connection if there is one.
    Reuse,
    /// Close all idle connections first, so that a new connection is opened.
    NewConnection,
}

/// An attempt for a member's actor to send.
pub struct Attempt {
    /// The router's handle of the request that the attempt is for.
    pub handle: RequestHandle,
    /// The client's request. Its statement is encoded only when the attempt is sent, because the encoded
    /// statement states how much time the client has left at that moment.
    pub request: Rc<ClientRequest>,
    /// The cancellation flag, shared by all attempts of the request.
    pub cancellation: Cancellation,
    /// The owner for which buffer space for the response is reserved.
    pub reservation_owner: ReservationOwner,
    /// The time at which the attempt was decided on.
    pub decided_at: Instant,
    /// The time at which the attempt times out, never later than the request's own deadline.
    pub deadline: Instant,
    /// Whether the attempt may use a pooled connection.
    pub pool_use: PoolUse,
    /// The conditions that must still hold when the attempt is sent.
    pub validity: Validity,
    /// The number of the member's [`ReplicaReports`](super::ReplicaReports) that the router had received when
    /// it decided on the attempt.
    pub replica_reports: u64,
}

/// A shared flag that marks a request as cancelled. An attempt of a cancelled request that has not been sent
/// yet must not be sent, whatever it is waiting for.
#[derive(Clone, Default)]
pub struct Cancellation(Rc<Cell<bool>>);

impl Cancellation {
    /// Cancels the request because nobody waits for its answer any more. This cannot be undone.
    pub fn cancel(&self) {
        self.0.set(true);
    }

    /// Returns whether the request was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.get()
    }
}

/// Maximum size of a statement that is copied into a single buffer, in bytes.
const MAX_COPIED_STATEMENT_BYTES: usize = 8 * 1024;
/// Extra capacity for the query's header, its terminating zero byte and a longer timeout, in bytes.
const QUERY_OVERHEAD_BYTES: usize = 16;

/// A Query message as it is written to a member.
pub enum Query {
    /// The entire message in one buffer.
    Whole(Vec<u8>),
    /// A message with a large statement that is not copied: what stands before and after the timeout stays in
    /// the request.
    Split {
        /// The message's type and length.
        header: Vec<u8>,
        /// The digits of the timeout.
        timeout: String,
        /// The request that holds the statement.
        request: Rc<ClientRequest>,
    },
}

impl Query {
    /// Encodes the client's statement with its timeout replaced by `timeout`, a decimal number of
    /// milliseconds.
    pub fn with_timeout(request: &Rc<ClientRequest>, timeout: String) -> Query {
        let [before, after] = around_timeout(request);
        if request.statement.len() <= MAX_COPIED_STATEMENT_BYTES {
            let mut query = Vec::with_capacity(request.statement.len() + QUERY_OVERHEAD_BYTES);
            pg::write_query(&mut query, &[before, timeout.as_bytes(), after]);
            return Query::Whole(query);
        }
        let mut header = Vec::with_capacity(pg::MESSAGE_HEADER_LENGTH);
        pg::write_query_start(&mut header, &[], before.len() + timeout.len() + after.len() + 1);
        Query::Split { header, timeout, request: request.clone() }
    }

    /// Returns the bytes of the message in order. Pieces may be empty. The terminating zero byte of a large
    /// statement is a piece of its own.
    pub fn pieces(&self) -> [&[u8]; 5] {
        match self {
            Query::Whole(query) => [query, &[], &[], &[], &[]],
            Query::Split { header, timeout, request } => {
                let [before, after] = around_timeout(request);
                [header, before, timeout.as_bytes(), after, &[0]]
            }
        }
    }
}

/// Returns what stands before and after the timeout in a statement.
fn around_timeout(request: &ClientRequest) -> [&[u8]; 2] {
    let ClientRequest { statement, comment, .. } = request;
    [&statement[..comment.timeout_range.start], &statement[comment.timeout_range.end..]]
}
