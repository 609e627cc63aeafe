//! Datagram format, version 1. All numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `0xA1DF` |
//! | 1 | version |
//! | 8 | fleet tag: a hash of the fleet's name ([`fleet_tag`]) |
//! | 1 | kind: 0 for gossip, 1 for a later instance notice, 2 for a payload of another crate |
//!
//! A payload datagram continues with the sender as a peer and the bytes of the other crate. A later instance notice
//! continues with one peer, which has the receiver's name and a higher start number than the receiver. A gossip datagram
//! continues with:
//!
//! | bytes | content |
//! | --- | --- |
//! | | sender as a peer, 2 bytes of its SWIM incarnation, receiver as a peer |
//! | 1 | message kind, followed by the fields of that kind (a probe number of 1 byte, a peer, or both) |
//! | | for kinds that carry peer states: 2 bytes of their count, then the peer states |
//!
//! A peer is encoded as 1 byte of name length, the name, 8 bytes of start number, 2 bytes of rejoin count, 1 byte of
//! address length (4 or 16), the address, and 2 bytes of port. A peer state (`Member` in `foca`) is a peer, 2 bytes of
//! its SWIM incarnation and 1 byte of state. An empty receiver name addresses any proxy that listens at the destination;
//! it is used when only the address of a seed is known.

use std::fmt;
use std::hash::Hasher;

use bytes::{Buf, BufMut};
use fnv::FnvHasher;

use crate::Peer;
use crate::codec::{get_peer, put_peer};

/// Version of the datagram format that this crate reads and writes.
pub const VERSION: u8 = 1;
/// Longest datagram, in bytes. Any network path carries this size without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the header that precedes the content, in bytes.
pub const HEADER_BYTES: usize = 12;
/// First two bytes of every datagram of this protocol.
const MAGIC: u16 = 0xA1DF;
/// Initial capacity for a peer and the bytes around it; only an allocation hint.
const PEER_CAPACITY_HINT: usize = 128;

/// Kind code of a SWIM message.
const GOSSIP: u8 = 0;
/// Kind code of a later instance notice.
const LATER_INSTANCE: u8 = 1;
/// Kind code of a payload of another crate.
const PAYLOAD: u8 = 2;

/// Reason why a datagram is rejected before its message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// The datagram is not in the format of this protocol.
    NotMembership,
    /// The datagram has another version of the protocol.
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    UnknownFleet,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::NotMembership => "not a datagram of the membership protocol",
            RejectReason::UnsupportedVersion => "unsupported version of the membership protocol",
            RejectReason::UnknownFleet => "datagram of another fleet",
        })
    }
}

impl std::error::Error for RejectReason {}

/// Returns the tag that identifies a fleet in datagrams: the FNV-1a hash of the fleet's name.
///
/// The tag separates fleets that were given each other's addresses by mistake. It does not authenticate the sender.
#[must_use]
pub fn fleet_tag(fleet: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(fleet.as_bytes());
    hasher.finish()
}

/// Decoded content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A SWIM message, to be decoded with [`crate::GossipCodec`].
    Gossip {
        /// Proxy that sent the message.
        sender: Peer,
        /// Complete message, which begins with the sender.
        message: &'a [u8],
    },
    /// A payload of another crate, from the same crate at the sender.
    Payload {
        /// Proxy that sent the payload.
        sender: Peer,
        /// Bytes of the other crate.
        payload: &'a [u8],
    },
    /// A later instance notice: this instance of the receiver's name has a higher start number than the receiver.
    LaterInstance(Peer),
}

/// Creates a datagram that holds the header only, with capacity for the content.
fn encode_header(fleet_tag: u64, kind: u8, content_capacity: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content_capacity);
    bytes.put_u16(MAGIC);
    bytes.put_u8(VERSION);
    bytes.put_u64(fleet_tag);
    bytes.put_u8(kind);
    bytes
}

/// Encodes a datagram with a SWIM message.
#[must_use]
pub fn encode_gossip(fleet_tag: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, GOSSIP, message.len());
    bytes.extend_from_slice(message);
    bytes
}

/// Encodes a datagram with a payload of another crate.
#[must_use]
pub fn encode_payload(fleet_tag: u64, sender: &Peer, payload: &[u8]) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, PAYLOAD, PEER_CAPACITY_HINT + payload.len());
    // Writing to a vector fails only for a name that is too long, which the operator's configuration does not allow.
    let _ = put_peer(sender, &mut bytes);
    bytes.extend_from_slice(payload);
    bytes
}

/// Encodes a later instance notice, which tells a process that its name has the instance `later` with a higher start
/// number.
#[must_use]
pub fn encode_later_instance(fleet_tag: u64, later: &Peer) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, LATER_INSTANCE, PEER_CAPACITY_HINT);
    // Writing to a vector fails only for a name that is too long, and decoding never accepts such a name.
    let _ = put_peer(later, &mut bytes);
    bytes
}

/// Decodes a datagram's header and the peer at the start of its content.
///
/// # Errors
///
/// Fails if the datagram has another version, belongs to another fleet, or is malformed.
pub fn decode(fleet_tag: u64, mut bytes: &[u8]) -> Result<Content<'_>, RejectReason> {
    if bytes.len() < HEADER_BYTES || bytes.get_u16() != MAGIC {
        return Err(RejectReason::NotMembership);
    }
    if bytes.get_u8() != VERSION {
        return Err(RejectReason::UnsupportedVersion);
    }
    if bytes.get_u64() != fleet_tag {
        return Err(RejectReason::UnknownFleet);
    }
    let kind = bytes.get_u8();
    let mut rest = bytes;
    let peer = get_peer(&mut rest).map_err(|_| RejectReason::NotMembership)?;
    match kind {
        GOSSIP => Ok(Content::Gossip { sender: peer, message: bytes }),
        PAYLOAD => Ok(Content::Payload { sender: peer, payload: rest }),
        LATER_INSTANCE => Ok(Content::LaterInstance(peer)),
        _ => Err(RejectReason::NotMembership),
    }
}
