//! What the dispatcher keeps of a request under way.

use std::rc::Rc;

use aldermill_flow_control::Priority;
use aldermill_routing::{Micros, RequestHandle};
use aldermill_site_routing::RequestHandle as SiteRequestHandle;
use tokio::sync::mpsc;

use crate::messages::{Answer, Cancellation, ClientMessage, ClientRequest, ClientRequestId};

/// Who decides on a client's request.
#[derive(Clone, Copy)]
pub(super) enum RequestOwner {
    /// The router alone.
    Router(RequestHandle),
    /// The gateway part, which may have handed it to the router.
    Gateway(SiteRequestHandle),
}

/// The client that waits for a request.
pub(super) struct WaitingClient {
    /// The client's name of its request.
    pub(super) request_id: ClientRequestId,
    /// Where the answer goes.
    pub(super) mailbox: mpsc::Sender<ClientMessage>,
}

impl WaitingClient {
    /// Whoever sent this request.
    pub(super) fn from_request(request: &ClientRequest) -> WaitingClient {
        WaitingClient { request_id: request.request_id, mailbox: request.mailbox.clone() }
    }

    /// Gives the client its one answer.
    pub(super) fn answer(&self, answer: Answer) {
        // Its mailbox always has room for the answers it waits for; it may be gone.
        let _ = self.mailbox.try_send(ClientMessage::Answer(self.request_id, answer));
    }
}

/// A request that the router decides on, and the client that waits for it.
pub(super) struct OpenRequest {
    /// Present where it came through the gateway part, which is told what the router says and answers the client.
    pub(super) site_handle: Option<SiteRequestHandle>,
    /// Whether its class is the best paid.
    pub(super) priority: Priority,
    /// When the client's time is over, on the router's clock. No attempt may last longer.
    pub(super) deadline: Micros,
    /// `None` once it was answered, or nobody waits for it.
    pub(super) client: Option<WaitingClient>,
    /// Set when the client left, or the gateway part took the request back.
    pub(super) cancellation: Cancellation,
    /// The statement and its comment.
    pub(super) request: Rc<ClientRequest>,
}

impl OpenRequest {
    /// Nobody waits for it here any more.
    pub(super) fn cancel(&mut self) {
        self.client = None;
        self.cancellation.cancel();
    }
}
