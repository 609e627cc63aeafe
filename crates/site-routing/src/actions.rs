//! What the caller is to do.

use crate::{ForwardNumber, Micros, PeerGatewayId, RequestHandle, SiteId};

/// What is to be done about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand it to the local router.
    ServeLocally {
        /// How long it may take there, in microseconds.
        timeout: Micros,
    },
    /// Take it back from the local router, where it has not run.
    Withdraw,
    /// Send it to another gateway.
    Forward {
        /// The gateway that is to receive it.
        gateway: PeerGatewayId,
        /// The number it is sent under.
        number: ForwardNumber,
        /// How much time is left for it when it arrives there, in microseconds.
        timeout: Micros,
    },
    /// Ask a gateway what became of a request that was forwarded to it.
    QueryOutcome {
        /// The gateway that was sent the request.
        gateway: PeerGatewayId,
        /// The number it was sent under.
        number: ForwardNumber,
    },
    /// Tell a gateway that nobody waits for a request any more.
    Cancel {
        /// The gateway that was sent the request.
        gateway: PeerGatewayId,
        /// The number it was sent under.
        number: ForwardNumber,
    },
    /// Give the requester the response that the caller has just received for it.
    RelayResponse,
    /// Tell the requester that the request was rejected and did not run.
    Reject {
        /// After how long it may try again, in microseconds.
        retry_after: Micros,
    },
    /// Tell the requester that the request failed and may have run.
    Fail,
    /// Tell the gateway that sent the request that the primary is not at this site.
    ReportNotPrimary {
        /// Where the primary is believed to be.
        hint: Option<SiteId>,
    },
}

/// What the caller is to do now, in the order of the fields, and when to call again.
#[derive(Debug, Default)]
pub struct Actions {
    /// What is to be done about requests, in this order.
    pub requests: Vec<(RequestHandle, Action)>,
    /// For each gateway named, the number up to which its outcomes will not be asked for any more.
    pub confirmations: Vec<(PeerGatewayId, ForwardNumber)>,
    /// What this gateway offers to others has changed and is to be announced.
    pub announce_capacity: bool,
    /// When to call [`SiteRouter::wake`](crate::SiteRouter::wake) at the latest, on the caller's clock.
    pub wake_at: Option<Micros>,
}
