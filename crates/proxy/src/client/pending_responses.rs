//! Responses that a connection owes to its client, in the order of the client's statements.

use std::collections::VecDeque;
use std::rc::Rc;

use aldermill_routing::Micros;

use super::pipeline_memory::PipelineCharge;
use super::response::EncodedResponse;
use crate::messages::{Answer, ClientRequestId};

/// Request that was sent to the dispatcher.
pub(super) struct PendingRequest {
    /// Id of the request in messages to and from the dispatcher.
    pub(super) request_id: ClientRequestId,
    /// Key of a statement that may write; later statements on the same key wait for this one. `None` if the
    /// statement only reads or contains no key.
    pub(super) write_key: Option<String>,
    /// Memory of the statement and its response.
    pub(super) charge: Rc<PipelineCharge>,
}

/// Response to one statement.
struct PendingResponse {
    /// State of the response.
    state: ResponseState,
    /// Memory of the response and its statement; `None` if it needed no request.
    _charge: Option<Rc<PipelineCharge>>,
}

/// State of a response.
enum ResponseState {
    /// The dispatcher has not answered the request yet.
    Awaited {
        /// Id of the request.
        request_id: ClientRequestId,
        /// Key that the request may write.
        write_key: Option<String>,
    },
    /// The response is written once all responses before it are.
    Ready(EncodedResponse),
    /// The same for statements that are all rejected.
    Rejected {
        /// Retry-after for the client, in microseconds.
        retry_after: Micros,
        /// Number of statements, at least 1.
        count: usize,
    },
}

impl PendingResponse {
    /// Returns whether the response can be written once all responses before it are.
    fn is_ready(&self) -> bool {
        matches!(self.state, ResponseState::Ready(_) | ResponseState::Rejected { .. })
    }

    /// Returns whether the dispatcher has not answered this request yet.
    fn awaits(&self, answered: ClientRequestId) -> bool {
        matches!(self.state, ResponseState::Awaited { request_id, .. } if request_id == answered)
    }

    /// Returns the key that the request may write, or `None` if the request is answered or has no such key.
    fn write_key(&self) -> Option<&str> {
        match &self.state {
            ResponseState::Awaited { write_key, .. } => write_key.as_deref(),
            ResponseState::Ready(_) | ResponseState::Rejected { .. } => None,
        }
    }
}

/// Responses that are owed, in order.
#[derive(Default)]
pub(super) struct PendingResponses {
    /// Responses, one per statement, the oldest first.
    queue: VecDeque<PendingResponse>,
}

impl PendingResponses {
    /// Returns the number of responses that are owed.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no response is owed.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds the response to a request that the dispatcher will answer.
    pub(super) fn push_request(&mut self, pending: PendingRequest) {
        let PendingRequest { request_id, write_key, charge } = pending;
        let state = ResponseState::Awaited { request_id, write_key };
        self.queue.push_back(PendingResponse { state, _charge: Some(charge) });
    }

    /// Adds a response that needs no answer from the dispatcher.
    pub(super) fn push_ready(&mut self, response: EncodedResponse) {
        let state = ResponseState::Ready(response);
        self.queue.push_back(PendingResponse { state, _charge: None });
    }

    /// Adds the responses to `count` statements, at least one, that are rejected.
    pub(super) fn push_rejections(&mut self, retry_after: Micros, count: usize) {
        if let Some(PendingResponse { state: ResponseState::Rejected { count: queued, .. }, .. }) =
            self.queue.back_mut()
        {
            *queued += count;
            return;
        }
        let state = ResponseState::Rejected { retry_after, count };
        self.queue.push_back(PendingResponse { state, _charge: None });
    }

    /// Stores the dispatcher's answer to a request. Has no effect if the request is not awaited.
    pub(super) fn complete(&mut self, request_id: ClientRequestId, answer: Answer) {
        if let Some(pending) = self.queue.iter_mut().find(|pending| pending.awaits(request_id)) {
            pending.state = ResponseState::Ready(EncodedResponse::from_answer(answer));
        }
    }

    /// Removes the next response if it can be written.
    pub(super) fn pop_ready(&mut self) -> Option<EncodedResponse> {
        if let Some(PendingResponse {
            state: ResponseState::Rejected { retry_after, count: count @ 2.. },
            ..
        }) = self.queue.front_mut()
        {
            *count -= 1;
            return Some(EncodedResponse::from_answer(Answer::Rejected { retry_after: *retry_after }));
        }
        match self.queue.pop_front_if(|pending| pending.is_ready())?.state {
            ResponseState::Ready(response) => Some(response),
            ResponseState::Rejected { retry_after, .. } => {
                Some(EncodedResponse::from_answer(Answer::Rejected { retry_after }))
            }
            ResponseState::Awaited { .. } => None,
        }
    }

    /// Returns whether any pending request may write a key.
    pub(super) fn has_write(&self) -> bool {
        self.queue.iter().any(|pending| pending.write_key().is_some())
    }

    /// Returns whether a pending request may write this key.
    pub(super) fn has_write_to(&self, key: &str) -> bool {
        self.queue.iter().any(|pending| pending.write_key() == Some(key))
    }

    /// Drops all responses, and returns the ids of the requests that the dispatcher still has.
    pub(super) fn abandon(&mut self) -> Vec<ClientRequestId> {
        let awaited = self.queue.drain(..).filter_map(|pending| match pending.state {
            ResponseState::Awaited { request_id, .. } => Some(request_id),
            ResponseState::Ready(_) | ResponseState::Rejected { .. } => None,
        });
        awaited.collect()
    }
}
