//! The actions that the site router asks its caller to carry out.

use crate::{ForwardNumber, Micros, PeerGatewayId, RequestHandle, SiteId};

/// An action for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the local router.
    ServeLocally {
        /// How long the request may take there, in microseconds.
        timeout: Micros,
        /// How long ago the first attempt that may have run began, in microseconds; `None` if none may have
        /// run, or if repeating the request is harmless at any time.
        earlier_attempt_age: Option<Micros>,
    },
    /// Take the request back from the local router, where it has not run.
    Withdraw,
    /// Send the request to another gateway.
    Forward {
        /// The gateway that is to receive the request.
        gateway: PeerGatewayId,
        /// The number under which the request is sent.
        number: ForwardNumber,
        /// The time until the request's deadline when it arrives at the gateway, in microseconds.
        timeout: Micros,
        /// How long ago the first attempt that may have run began, in microseconds; `None` if none may have
        /// run, or if repeating the request is harmless at any time.
        earlier_attempt_age: Option<Micros>,
    },
    /// Ask a gateway for the outcome of a request that was forwarded to it.
    QueryOutcome {
        /// The gateway that the request was sent to.
        gateway: PeerGatewayId,
        /// The number under which the request was sent.
        number: ForwardNumber,
    },
    /// Tell a gateway that the answer to a request is no longer needed.
    Cancel {
        /// The gateway that the request was sent to.
        gateway: PeerGatewayId,
        /// The number under which the request was sent.
        number: ForwardNumber,
    },
    /// Pass the response that the caller has just received for the request on to the requester.
    RelayResponse,
    /// Tell the requester that the request was rejected and did not run.
    Reject {
        /// How long the requester should wait before it tries again, in microseconds.
        retry_after: Micros,
    },
    /// Tell the requester that the request failed and may have run.
    Fail,
    /// Tell the gateway that sent the request that it never ran here, as this site does not have the primary.
    ReportNotPrimary {
        /// The site where the primary is believed to be; `None` if unknown.
        hint: Option<SiteId>,
    },
}

/// The actions that the caller is to carry out now, in the order of the fields, and when to call again.
#[derive(Debug, Default)]
pub struct Actions {
    /// The actions for requests, to be carried out in this order.
    pub requests: Vec<(RequestHandle, Action)>,
    /// For each gateway listed, the number up to which this gateway will not query outcomes any more.
    pub confirmations: Vec<(PeerGatewayId, ForwardNumber)>,
    /// Whether to announce this gateway's capacity to the others, because it has changed.
    pub announce_capacity: bool,
    /// The latest time to call [`SiteRouter::wake`](crate::SiteRouter::wake), on the caller's clock; `None`
    /// only in the default value, never in what a call returns.
    pub wake_at: Option<Micros>,
}
