//! Results that calls of [`crate::Membership`] return to the caller: datagrams, changes, payloads and drop counters.

use std::net::SocketAddr;

use crate::frame::RejectReason;
use crate::{Micros, Peer};

/// Work for the caller after a call, and the time of the next call of [`crate::Membership::wake`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Actions {
    /// Datagrams to send, in order.
    pub send: Vec<OutgoingDatagram>,
    /// Membership changes, in the order in which this proxy learnt of them.
    pub changes: Vec<Change>,
    /// Payloads of other crates that were received.
    pub payloads: Vec<ReceivedPayload>,
    /// Latest time of the next call of [`crate::Membership::wake`]; `None` once this proxy has left the fleet or been
    /// superseded.
    pub wake_at: Option<Micros>,
}

/// A datagram to send, with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Destination address.
    pub to: SocketAddr,
    /// Complete content of the datagram, header included.
    pub bytes: Vec<u8>,
}

/// A payload that another proxy sent with [`crate::Membership::encode_payload`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPayload {
    /// Sender as stated in the datagram, which is not authenticated.
    pub sender: Peer,
    /// Bytes that the sender passed to [`crate::Membership::encode_payload`].
    pub payload: Vec<u8>,
}

/// A change of the fleet's membership that this proxy learnt of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A proxy is alive that was not known to be alive before.
    Up(Peer),
    /// A proxy has left the fleet or was declared dead.
    Down(Peer),
    /// A proxy has restarted: this instance replaces an earlier one of the same name.
    Restarted(Peer),
    /// This proxy was declared dead by the others and has rejoined.
    Rejoined,
    /// This later instance has taken over the local proxy's name. The local instance sends nothing from now on.
    Superseded(Peer),
    /// The wall clock was set back, so that an earlier instance of the local proxy's name had a higher start number. The
    /// local proxy continues under this identity, which the others accept as the latest.
    Renumbered(Peer),
}

/// Counts of dropped datagrams, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedDatagrams {
    /// Datagrams from an address outside all configured networks.
    pub unknown_network: u64,
    /// Datagrams that are not in the format of this protocol.
    pub not_membership: u64,
    /// Datagrams of another version of the protocol.
    pub unsupported_version: u64,
    /// Datagrams of another fleet.
    pub unknown_fleet: u64,
    /// Datagrams of this fleet that are malformed or meant for another instance.
    pub unusable: u64,
}

impl DroppedDatagrams {
    /// Increments the counter of the given reason.
    pub(crate) fn increment(&mut self, reason: RejectReason) {
        let counter = match reason {
            RejectReason::NotMembership => &mut self.not_membership,
            RejectReason::UnsupportedVersion => &mut self.unsupported_version,
            RejectReason::UnknownFleet => &mut self.unknown_fleet,
        };
        *counter += 1;
    }
}
