//! The responses that a connection owes to its client, in the order of the client's statements.

use std::collections::VecDeque;

use super::response::EncodedResponse;
use crate::flow_control::BufferReservation;
use crate::messages::{Answer, ClientRequestId};

/// A request that was handed to the dispatcher.
pub(super) struct PendingRequest {
    /// Its name in messages to and from the dispatcher.
    pub(super) request: ClientRequestId,
    /// The key of a statement that may write: what follows on the same key waits for it.
    pub(super) write_key: Option<String>,
    /// Buffer space of a large statement.
    pub(super) statement_reservation: Option<BufferReservation>,
}

/// The response to one statement.
struct PendingResponse {
    /// Whether it can be written.
    state: ResponseState,
    /// Buffer space of a large statement, held until its response is the next to be written.
    statement_reservation: Option<BufferReservation>,
}

/// Whether a response can be written.
enum ResponseState {
    /// The dispatcher has the request.
    Awaited {
        /// The request's name.
        request: ClientRequestId,
        /// The key that it may write.
        write_key: Option<String>,
    },
    /// It is written once all responses before it are.
    Ready(EncodedResponse),
}

impl PendingResponse {
    /// Whether it is written once all responses before it are.
    fn is_ready(&self) -> bool {
        matches!(self.state, ResponseState::Ready(_))
    }

    /// Whether the dispatcher has this request.
    fn awaits(&self, answered: ClientRequestId) -> bool {
        matches!(self.state, ResponseState::Awaited { request, .. } if request == answered)
    }

    /// The key that its request may write, while the request is under way.
    fn write_key(&self) -> Option<&str> {
        match &self.state {
            ResponseState::Awaited { write_key, .. } => write_key.as_deref(),
            ResponseState::Ready(_) => None,
        }
    }
}

/// The responses that are owed, in order.
#[derive(Default)]
pub(super) struct PendingResponses {
    /// One for each statement, the oldest first.
    queue: VecDeque<PendingResponse>,
}

impl PendingResponses {
    /// How many responses are owed.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is owed.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// A request whose answer the dispatcher will send.
    pub(super) fn push_request(&mut self, pending: PendingRequest) {
        let PendingRequest { request, write_key, statement_reservation } = pending;
        let state = ResponseState::Awaited { request, write_key };
        self.queue.push_back(PendingResponse { state, statement_reservation });
    }

    /// A response that needs no answer from the dispatcher.
    pub(super) fn push_ready(&mut self, response: EncodedResponse) {
        let state = ResponseState::Ready(response);
        self.queue.push_back(PendingResponse { state, statement_reservation: None });
    }

    /// The dispatcher's answer to a request; nothing where the request is not awaited.
    pub(super) fn complete(&mut self, request: ClientRequestId, answer: Answer) {
        if let Some(pending) = self.queue.iter_mut().find(|pending| pending.awaits(request)) {
            pending.state = ResponseState::Ready(EncodedResponse::of(answer));
        }
    }

    /// Takes the next response if it can be written, and frees the buffer space of its statement.
    pub(super) fn pop_ready(&mut self) -> Option<EncodedResponse> {
        match self.queue.pop_front_if(|pending| pending.is_ready())?.state {
            ResponseState::Ready(response) => Some(response),
            ResponseState::Awaited { .. } => None,
        }
    }

    /// Whether any request under way may write.
    pub(super) fn has_write(&self) -> bool {
        self.queue.iter().any(|pending| pending.write_key().is_some())
    }

    /// Whether a request under way may write this key.
    pub(super) fn writes(&self, key: &str) -> bool {
        self.queue.iter().any(|pending| pending.write_key() == Some(key))
    }

    /// Drops responses up to the next whose request the dispatcher still has, and returns that request.
    pub(super) fn abandon_next(&mut self) -> Option<PendingRequest> {
        loop {
            let PendingResponse { state, statement_reservation } = self.queue.pop_front()?;
            if let ResponseState::Awaited { request, write_key } = state {
                return Some(PendingRequest { request, write_key, statement_reservation });
            }
        }
    }
}
