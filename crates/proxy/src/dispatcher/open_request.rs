//! The dispatcher's records of open requests.

use std::rc::Rc;

use aldermill_flow_control::Priority;
use aldermill_routing::{Effect, Micros, RequestHandle};
use aldermill_settings::Settings;
use aldermill_site_routing::RequestHandle as SiteRequestHandle;
use tokio::sync::mpsc;

use crate::messages::{Answer, Cancellation, ClientMessage, ClientRequest, ClientRequestId};

/// The part of the dispatcher that decides on a client's request.
#[derive(Clone, Copy)]
pub(super) enum RequestOwner {
    /// The router alone.
    Router(RequestHandle),
    /// The gateway part, which may have submitted the request to the router.
    Gateway(SiteRequestHandle),
}

/// A client that waits for the answer to a request.
pub(super) struct WaitingClient {
    /// The request's id, unique in this process.
    pub(super) request_id: ClientRequestId,
    /// The mailbox of the client's actor, which receives the answer.
    pub(super) mailbox: mpsc::Sender<ClientMessage>,
}

impl WaitingClient {
    /// Returns the client that sent this request.
    pub(super) fn from_request(request: &ClientRequest) -> WaitingClient {
        WaitingClient { request_id: request.request_id, mailbox: request.mailbox.clone() }
    }

    /// Sends the client the only answer to its request.
    pub(super) fn answer(&self, answer: Answer) {
        // The mailbox always has room for the answers that the client waits for; sending fails only if the
        // client is gone.
        let _ = self.mailbox.try_send(ClientMessage::Answer(self.request_id, answer));
    }
}

/// A request that the router decides on, and the client that waits for its answer.
pub(super) struct OpenRequest {
    /// The site router's handle if the request came through the gateway part, which is told the router's
    /// answer and answers the client; `None` otherwise.
    pub(super) site_handle: Option<SiteRequestHandle>,
    /// Whether the request's class has the highest priority when buffer space is reserved.
    pub(super) priority: Priority,
    /// The request's deadline on the router's clock, in microseconds. No attempt may last longer.
    pub(super) deadline: Micros,
    /// The client that waits for the answer; `None` once the request was answered or nobody waits for it any
    /// more.
    pub(super) client: Option<WaitingClient>,
    /// Set when the client has left, or the gateway part has withdrawn the request from the router.
    pub(super) cancellation: Cancellation,
    /// Whether the router has decided on an attempt of the request.
    pub(super) was_attempted: bool,
    /// Whether the request was rejected, so that its client may repeat it.
    pub(super) was_rejected: bool,
    /// The client's request: the statement and its comment.
    pub(super) request: Rc<ClientRequest>,
}

impl OpenRequest {
    /// Returns whether the request was answered, or its client has left.
    pub(super) fn is_no_longer_awaited(&self) -> bool {
        self.client.is_none() || self.request.client_gone.is_cancelled()
    }

    /// Returns whether the request may have had an effect that a second run would repeat.
    pub(super) fn may_have_had_effect(&self, settings: &Settings) -> bool {
        let class = settings.class_index(&self.request.comment.class);
        let effect = class.map(|class| settings.router_config.classes[class].effect);
        self.was_attempted && !self.was_rejected && !matches!(effect, Ok(Effect::Idempotent) | Err(_))
    }

    /// Cancels the request because nobody waits for its answer any more.
    pub(super) fn cancel(&mut self) {
        self.client = None;
        self.cancellation.cancel();
    }
}
