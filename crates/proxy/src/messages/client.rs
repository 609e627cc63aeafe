//! What a client connection's actor receives.

use aldermill_routing::Micros;

use crate::flow_control::BufferReservation;

/// Identifies one statement of a client for as long as this process runs; never reused.
pub type ClientRequestId = u64;

/// What the dispatcher and the listener send to a client's actor.
pub enum ClientMessage {
    /// The answer to the statement of this id.
    Answer(ClientRequestId, Answer),
    /// A new connection needs the descriptor: close this one if no request is in flight on it.
    CloseIfIdle,
}

/// The one answer of a request.
pub enum Answer {
    /// The member's response, passed on as it came.
    Served(Rows),
    /// The request never ran: the client may send it again.
    Rejected {
        /// How long the client is asked to wait before it does, in microseconds; zero names no time.
        retry_after: Micros,
    },
    /// It is not known whether the request ran.
    Failed,
    /// The statement names something that does not exist; the text says what.
    InvalidStatement(&'static str),
}

/// A response that carries a value: row description, row and completion as the member sent them.
#[derive(Default)]
pub struct Rows {
    /// The messages in their order; a large row stands in a piece of its own.
    pub pieces: Vec<Vec<u8>>,
    /// The buffer space reserved for them, where they are larger than `limits.buffers.small_message`.
    pub reservation: Option<BufferReservation>,
}
