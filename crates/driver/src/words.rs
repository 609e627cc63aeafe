//! What actors say to each other; no actor is named here.

use std::net::SocketAddr;

use aldermill_routing::{Handle, MemberId, Micros, Told, Verdict};
use aldermill_wire::statement::Comment;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::Instant;

use crate::catalog::Catalog;

/// A statement of a client, new for each.
pub type ClientId = u64;

/// What clients and members tell the desk.
pub enum Call {
    Take(Order),
    Left(ClientId),
    Ended(Ended),
    Probed {
        member: MemberId,
        verdict: Verdict,
        told: Told,
    },
    /// This member found no descriptor free for a connection.
    Crowded(MemberId),
}

/// A client's statement with its comment, when it was whole.
pub struct Order {
    pub client: ClientId,
    pub mailbox: mpsc::Sender<Mail>,
    pub arrived: Instant,
    pub statement: Vec<u8>,
    pub comment: Comment,
}

/// How a launch ended.
pub struct Ended {
    pub handle: Handle,
    pub verdict: Verdict,
    pub took: Micros,
    pub told: Told,
    /// Where it was honoured: the messages that carry the value.
    pub rows: Rows,
}

/// The messages that carry a value, and the room reserved for them where they are large.
#[derive(Default)]
pub struct Rows {
    pub bytes: Vec<u8>,
    pub room: Option<OwnedSemaphorePermit>,
}

/// What the desk and the listener tell a client's actor.
pub enum Mail {
    Answer(ClientId, Answer),
    /// Close the connection if nothing is under way on it.
    Yield,
}

pub enum Answer {
    Honoured(Rows),
    Denied {
        cool_down: Micros,
    },
    BrokenOff,
    /// Not taken: the statement names what is not there.
    Wrong(&'static str),
}

/// What the desk asks of a member's actor.
pub enum Errand {
    Launch(Launch),
    Probe {
        until: Instant,
    },
    /// The member's process is another one, or reached elsewhere: old connections are of no use.
    Renew(SocketAddr),
    /// Others need descriptors: close an idle connection.
    Shed,
}

pub struct Launch {
    pub handle: Handle,
    pub query: Vec<u8>,
    pub sent: Instant,
    pub until: Instant,
}

/// What the list's actor tells the desk.
pub enum Bulletin {
    List(Catalog),
    Unavailable,
}
