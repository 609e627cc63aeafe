//! What a client connection's actor receives.

use aldermill_routing::Micros;

use crate::flow_control::BufferReservation;

/// Names a statement of a client, new for each.
pub type ClientId = u64;

/// What the dispatcher and the listener tell a client's actor.
pub enum ClientMessage {
    /// The answer to this request.
    Answer(ClientId, Answer),
    /// Close the connection if nothing is under way on it.
    Evict,
}

/// The one answer of a request.
pub enum Answer {
    Served(Rows),
    Rejected {
        /// The retry-after, in microseconds.
        cool_down: Micros,
    },
    Failed,
    /// Not taken: the statement names what is not there.
    Wrong(&'static str),
}

/// The messages that carry a value, and the buffer space reserved for them where they are large.
#[derive(Default)]
pub struct Rows {
    pub pieces: Vec<Vec<u8>>,
    pub room: Option<BufferReservation>,
}
