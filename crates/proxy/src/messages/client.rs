//! Messages to the actor of a client connection.

use aldermill_routing::Micros;

use crate::flow_control::BufferReservation;

/// Identifies a client's request for as long as this process runs; never reused. The number of a client
/// connection has the same type, as it forms the upper bits of the ids of that connection's requests.
pub type ClientRequestId = u64;

/// A message from the dispatcher or the listener to the actor of a client connection.
pub enum ClientMessage {
    /// The answer to the request with this id.
    Answer(ClientRequestId, Answer),
    /// A request to close the connection if no request is in flight on it, because a new connection needs its
    /// descriptor.
    CloseIfIdle,
}

/// The answer to a request; each request gets exactly one.
pub enum Answer {
    /// The member's response, forwarded unchanged.
    Served(Rows),
    /// The request is rejected. It had no effect or is idempotent, so the client may safely retry it.
    Rejected {
        /// The time that the client is asked to wait before the retry, in microseconds; zero asks for no
        /// particular wait.
        retry_after: Micros,
    },
    /// The request failed, and it is not known whether it took effect.
    Failed,
    /// The statement is invalid; the text says why.
    InvalidStatement(&'static str),
}

/// A response that carries a value: the row description, row and completion messages as the member sent them.
#[derive(Default)]
pub struct Rows {
    /// The bytes of the messages in order; a large row is a piece of its own.
    pub pieces: Vec<Vec<u8>>,
    /// The buffer space reserved for the messages; `None` unless they are larger than
    /// `limits.buffers.small_message`.
    pub reservation: Option<BufferReservation>,
}
