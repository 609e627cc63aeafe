//! What a member's actor receives, and the query that it writes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::{RequestHandle, Validity};
use aldermill_wire::pg;
use tokio::time::Instant;

use super::ClientRequest;

/// What the dispatcher asks of a member's actor.
pub enum MemberCommand {
    /// Send this attempt; an `AttemptFinished` reports its end.
    Send(Attempt),
    /// Send a health check; a `HealthCheckFinished` reports its end.
    HealthCheck {
        /// When it was decided.
        decided_at: Instant,
        /// When it times out.
        deadline: Instant,
    },
    /// The member's process is a new one, or has this new address: connections from before are of no use.
    Reconnect(SocketAddr),
    /// Other members need a descriptor: close the connection that has been idle longest.
    CloseOldestIdle,
    /// The member has few connections to spare: close all idle ones.
    CloseIdle,
}

/// Whether an attempt may go over a connection from the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolUse {
    /// An idle connection is reused where there is one.
    Reuse,
    /// All idle connections are closed first, so that a new one is opened.
    NewConnection,
}

/// An attempt for a member's actor to send.
pub struct Attempt {
    /// Names the attempt to the router.
    pub handle: RequestHandle,
    /// Its statement is encoded when it is sent, as it tells the member how much time the client has left then.
    pub request: Rc<ClientRequest>,
    /// Shared by all attempts of the request.
    pub cancellation: Cancellation,
    /// For whom buffer space for the answer is reserved.
    pub reservation_owner: ReservationOwner,
    /// When it was decided.
    pub decided_at: Instant,
    /// When it times out; never later than the request's own deadline.
    pub deadline: Instant,
    /// Whether it may go over a pooled connection.
    pub pool_use: PoolUse,
    /// What must still hold when it is sent.
    pub validity: Validity,
    /// How many replica reports of the member the router had received when it decided (see
    /// [`ReplicaReports`](super::ReplicaReports)).
    pub replica_reports: u64,
}

/// Cancels a request: an attempt of it that was not sent by then must not be sent any more, whatever it waits for.
#[derive(Clone, Default)]
pub struct Cancellation(Rc<Cell<bool>>);

impl Cancellation {
    /// Nobody waits for the request any more. There is no way back.
    pub fn cancel(&self) {
        self.0.set(true);
    }

    /// Whether the request was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.get()
    }
}

/// Statements of at most this size, in bytes, are copied into one piece.
const MAX_COPIED_STATEMENT_BYTES: usize = 8 * 1024;
/// Spare room for the query's header, its closing zero and a longer timeout, in bytes.
const QUERY_OVERHEAD_BYTES: usize = 16;

/// A statement as it is written to a member.
pub enum Query {
    /// The whole message.
    Whole(Vec<u8>),
    /// A large statement, which is not copied: its bytes stay with its request.
    Split {
        /// The message up to where the request's own bytes go on.
        prefix: Vec<u8>,
        /// Holds the rest of the statement.
        request: Rc<ClientRequest>,
    },
}

impl Query {
    /// The client's statement with its timeout replaced by `timeout`, a decimal number of milliseconds.
    pub fn with_timeout(request: &Rc<ClientRequest>, timeout: &str) -> Query {
        let ClientRequest { statement, comment, .. } = &**request;
        let before = &statement[..comment.timeout_range.start];
        let after = &statement[comment.timeout_range.end..];
        if statement.len() <= MAX_COPIED_STATEMENT_BYTES {
            let mut query = Vec::with_capacity(statement.len() + QUERY_OVERHEAD_BYTES);
            pg::write_query(&mut query, &[before, timeout.as_bytes(), after]);
            return Query::Whole(query);
        }
        let mut prefix = Vec::with_capacity(before.len() + QUERY_OVERHEAD_BYTES);
        pg::write_query_start(&mut prefix, &[before, timeout.as_bytes()].concat(), after.len() + 1);
        Query::Split { prefix, request: request.clone() }
    }

    /// Its bytes, in their order; the closing zero of a large one is a piece of its own.
    pub fn pieces(&self) -> [&[u8]; 3] {
        match self {
            Query::Whole(query) => [query, &[], &[]],
            Query::Split { prefix, request } => {
                [prefix, &request.statement[request.comment.timeout_range.end..], &[0]]
            }
        }
    }
}
