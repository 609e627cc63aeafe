//! The responses that a connection owes to its client, in the order of the client's statements.

use std::collections::VecDeque;

use super::response::EncodedResponse;
use crate::flow_control::BufferReservation;
use crate::messages::{Answer, ClientId};

/// The response to one statement.
enum PendingResponse {
    /// The dispatcher has the request.
    Awaited {
        request: ClientId,
        /// The key of a statement that may write: what follows on the same key waits for it.
        write_key: Option<String>,
        /// Buffer space of a large statement.
        statement_reservation: Option<BufferReservation>,
    },
    /// To be written once all responses before it are.
    Ready {
        response: EncodedResponse,
        /// Buffer space of a large statement, held until its response is written next.
        statement_reservation: Option<BufferReservation>,
    },
}

/// A request that was handed to the dispatcher.
pub(super) struct PendingRequest {
    /// Its name in messages to and from the dispatcher.
    pub(super) request: ClientId,
    /// The key of a statement that may write.
    pub(super) write_key: Option<String>,
    /// Buffer space of a large statement.
    pub(super) statement_reservation: Option<BufferReservation>,
}

/// The responses that are owed, in order.
#[derive(Default)]
pub(super) struct PendingResponses {
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
        self.queue.push_back(PendingResponse::Awaited { request, write_key, statement_reservation });
    }

    /// A response that needs no answer from the dispatcher.
    pub(super) fn push_ready(&mut self, response: EncodedResponse) {
        self.queue.push_back(PendingResponse::Ready { response, statement_reservation: None });
    }

    /// The dispatcher's answer to a request; nothing where the request is not awaited.
    pub(super) fn complete(&mut self, answered: ClientId, answer: Answer) {
        let is_answered = |pending: &&mut PendingResponse| matches!(pending, PendingResponse::Awaited { request, .. } if *request == answered);
        let Some(pending) = self.queue.iter_mut().find(is_answered) else { return };
        let statement_reservation = match pending {
            PendingResponse::Awaited { statement_reservation, .. }
            | PendingResponse::Ready { statement_reservation, .. } => statement_reservation.take(),
        };
        let response = EncodedResponse::of(answer);
        *pending = PendingResponse::Ready { response, statement_reservation };
    }

    /// Takes the next response that can be written, and returns the buffer space of its statement.
    pub(super) fn pop_ready(&mut self) -> Option<EncodedResponse> {
        let is_ready = |pending: &mut PendingResponse| matches!(pending, PendingResponse::Ready { .. });
        match self.queue.pop_front_if(is_ready)? {
            PendingResponse::Ready { response, .. } => Some(response),
            PendingResponse::Awaited { .. } => None,
        }
    }

    /// Whether any request under way may write.
    pub(super) fn has_write(&self) -> bool {
        self.queue
            .iter()
            .any(|pending| matches!(pending, PendingResponse::Awaited { write_key: Some(_), .. }))
    }

    /// Whether a request under way may write this key.
    pub(super) fn writes(&self, key: &str) -> bool {
        self.queue.iter().any(|pending| {
            matches!(pending, PendingResponse::Awaited { write_key: Some(written), .. } if written == key)
        })
    }

    /// Drops responses up to the next whose request the dispatcher still has, and returns that request.
    pub(super) fn abandon_next(&mut self) -> Option<ClientId> {
        loop {
            if let PendingResponse::Awaited { request, .. } = self.queue.pop_front()? {
                return Some(request);
            }
        }
    }
}
