//! The messages that a link's caller sends and gets.

use crate::frame::{CapacityAnnouncement, Confirm, OutcomeQuery, OutcomeReply, Request, Response};
use crate::{Identity, Micros};

/// A message that has arrived whole, or something that was learned about the link.
#[derive(Clone, Debug, PartialEq)]
pub enum Inbound {
    /// The other side greeted as this process. Nothing comes before it.
    Greeted(Identity),
    /// A request, with its statement.
    Request(Request, Vec<u8>),
    /// The answer to a request of this side, with the data of a served one.
    Response(Response, Vec<u8>),
    /// The requester of the request with this number no longer waits.
    Cancel(u64),
    /// The other side asks what became of a request.
    OutcomeQuery(OutcomeQuery),
    /// The reply to a query of this side, with the data of a request that was served.
    OutcomeReply(OutcomeReply, Vec<u8>),
    /// Up to which number the other side will not ask about its requests any more.
    Confirm(Confirm),
    /// What the other side can take, and which groups it has.
    CapacityAnnouncement(CapacityAnnouncement),
    /// A ping came back; this is the round trip in microseconds.
    RoundTrip(Micros),
}

/// A message to the other side.
#[derive(Clone, Debug, PartialEq)]
pub enum Outbound {
    /// A request, with its statement.
    Request(Request, Vec<u8>),
    /// The answer to a request of the other side, with the data of a served one.
    Response(Response, Vec<u8>),
    /// The requester of the request with this number no longer waits.
    Cancel(u64),
    /// Asks what became of a request.
    OutcomeQuery(OutcomeQuery),
    /// The reply to a query of the other side, with the data of a request that was served.
    OutcomeReply(OutcomeReply, Vec<u8>),
    /// Up to which number this side will not ask about its requests any more.
    Confirm(Confirm),
    /// What this side can take, and which groups it has.
    CapacityAnnouncement(CapacityAnnouncement),
}
