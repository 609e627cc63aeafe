//! What a member's actor receives, and the query that it writes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::{Handle, Validity};
use aldermill_wire::pg;
use tokio::time::Instant;

use super::ClientRequest;

/// What the dispatcher asks of a member's actor.
pub enum MemberCommand {
    Send(Attempt),
    HealthCheck {
        sent: Instant,
        until: Instant,
    },
    /// The member's process is another one, or reached elsewhere: old connections are of no use.
    Renew(SocketAddr),
    /// Others need descriptors: close an idle connection.
    Shed,
    /// The member has few connections to spare: close all idle ones.
    CloseIdle,
}

/// An attempt for a member's actor to send.
pub struct Attempt {
    pub handle: Handle,
    /// Its statement is written when it leaves: it tells the member the time that the client has left then.
    pub request: Rc<ClientRequest>,
    pub withdrawal: Withdrawal,
    /// For whom buffer space for the answer is reserved.
    pub reservation_owner: ReservationOwner,
    /// When it was decided.
    pub sent: Instant,
    /// When it times out.
    pub until: Instant,
    /// On a new connection, the idle ones being closed.
    pub afresh: bool,
    /// Whether it may still leave.
    pub validity: Validity,
    /// How often the member had been heard to say that it is a replica, when this was decided.
    pub replica_words: u64,
}

/// Set once nobody waits for a request any more: a first attempt or a retry that has not left by then is not to
/// leave, whatever it waits for.
#[derive(Clone, Default)]
pub struct Withdrawal(Rc<Cell<bool>>);

impl Withdrawal {
    pub fn set(&self) {
        self.0.set(true);
    }

    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Statements up to this size, in bytes, go out in one piece.
const SMALL: usize = 8 * 1024;

/// A statement as it goes to a member. A large one is held once, by its request.
pub enum Query {
    Whole(Vec<u8>),
    Split {
        /// All up to where the request's own bytes go on.
        front: Vec<u8>,
        request: Rc<ClientRequest>,
    },
}

impl Query {
    /// The client's statement with another timeout, `wait`, in milliseconds.
    pub fn of(request: &Rc<ClientRequest>, wait: &str) -> Query {
        let ClientRequest { statement, comment, .. } = &**request;
        let (before, after) = (&statement[..comment.wait_at.start], &statement[comment.wait_at.end..]);
        if statement.len() <= SMALL {
            let mut query = Vec::with_capacity(statement.len() + 16);
            pg::query(&mut query, &[before, wait.as_bytes(), after]);
            return Query::Whole(query);
        }
        let mut front = Vec::with_capacity(before.len() + 16);
        pg::query_front(&mut front, &[before, wait.as_bytes()].concat(), after.len() + 1);
        Query::Split { front, request: request.clone() }
    }

    /// Its bytes, in their order; the closing zero of a large one stands by itself.
    pub fn pieces(&self) -> [&[u8]; 3] {
        match self {
            Query::Whole(query) => [query, &[], &[]],
            Query::Split { front, request } => {
                [front, &request.statement[request.comment.wait_at.end..], &[0]]
            }
        }
    }
}
