//! What the caller is to do after a call, and what it may tell the operator.

use std::net::SocketAddr;

use crate::frame::RejectReason;
use crate::{Micros, Peer};

/// What the caller is to do now, and when to call [`crate::Membership::wake`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Actions {
    /// Datagrams to send, in this order.
    pub send: Vec<OutgoingDatagram>,
    /// What changed, in the order in which it was learnt.
    pub changes: Vec<Change>,
    /// Payloads of other packages that arrived.
    pub payloads: Vec<ReceivedPayload>,
    /// When to call next, at the latest; `None` once this proxy is silent.
    pub wake_at: Option<Micros>,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where it goes.
    pub to: SocketAddr,
    /// All of it.
    pub bytes: Vec<u8>,
}

/// What another proxy sent with [`crate::Membership::encode_payload`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Who sent it, by its own word.
    pub sender: Peer,
    /// What the sender handed over.
    pub payload: Vec<u8>,
}

/// A change of the membership, as this proxy learnt of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A proxy is alive that was not known to be.
    Up(Peer),
    /// A proxy has left, or was declared dead.
    Down(Peer),
    /// A proxy has started again; its earlier start is gone.
    Restarted(Peer),
    /// The others had declared this proxy dead; it has rejoined.
    Rejoined,
    /// This proxy's name belongs to a later start, so that this one sends nothing from now on.
    Superseded(Peer),
    /// An earlier start of this name had a higher number, as the wall clock was set back since: this proxy goes on as this
    /// peer, which the others take for the latest.
    Renumbered(Peer),
}

/// How many datagrams were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedDatagrams {
    /// From an address in none of the operator's networks.
    pub unknown_network: u64,
    /// Not a datagram of this protocol.
    pub not_membership: u64,
    /// Of another version of the protocol.
    pub unsupported_version: u64,
    /// Of another fleet.
    pub unknown_fleet: u64,
    /// Of this fleet, but malformed, or meant for another start.
    pub unusable: u64,
}

impl DroppedDatagrams {
    pub(crate) fn increment(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::NotMembership => &mut self.not_membership,
            RejectReason::UnsupportedVersion => &mut self.unsupported_version,
            RejectReason::UnknownFleet => &mut self.unknown_fleet,
        };
        *counter += 1;
    }
}
