//! The form of a datagram, version 1. All numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `0xA1DF` |
//! | 1 | version |
//! | 8 | the fleet: a hash of its name ([`fleet_tag`]) |
//! | 1 | 0 for gossip, 1 for notice of a later start, 2 for a payload of another package |
//!
//! A payload is the sender, a peer, and the bytes of the other package. Notice of a later start is one peer: of the
//! receiver's name, and started later than the receiver. Gossip is:
//!
//! | bytes | content |
//! | --- | --- |
//! | | the sender, 2 bytes of its SWIM incarnation, the receiver |
//! | 1 | the message's kind, and what that kind carries (a number of 1 byte, a peer, or both) |
//! | | where the kind carries them: 2 bytes of a count, and members |
//!
//! A peer is 1 byte of length and its name, 8 bytes of its start, 2 of its count of rejoins, 1 of the address's length (4
//! or 16), the address and 2 bytes of the port. A member is a peer, 2 bytes of its SWIM incarnation and 1 of its state. A
//! receiver whose name is empty is whoever listens there, as when only a seed's address is known.

use std::fmt;
use std::hash::Hasher;

use bytes::{Buf, BufMut};
use fnv::FnvHasher;

use crate::Peer;
use crate::codec::{get_peer, put_peer};

/// The version of the form that this package reads and writes.
pub const VERSION: u8 = 1;
/// The longest datagram, in bytes: below what any network path carries in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The length of what comes before the content, in bytes.
pub const HEADER_BYTES: usize = 12;
const MAGIC: u16 = 0xA1DF;
/// Space for a peer and what surrounds it; only a hint for the allocation.
const PEER_CAPACITY_HINT: usize = 128;

const GOSSIP: u8 = 0;
const LATER_START: u8 = 1;
const PAYLOAD: u8 = 2;

/// Why a datagram is none of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// It does not have the form of this protocol.
    NotMembership,
    /// It is of another version of the protocol.
    UnsupportedVersion,
    /// It is of another fleet.
    UnknownFleet,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::NotMembership => "not a datagram of the membership protocol",
            RejectReason::UnsupportedVersion => "another version of the membership protocol",
            RejectReason::UnknownFleet => "a datagram of another fleet",
        })
    }
}

impl std::error::Error for RejectReason {}

/// The fleet's name as it stands in datagrams: its FNV-1a hash. It tells fleets apart that were given each other's
/// addresses by mistake; it does not authenticate anybody.
#[must_use]
pub fn fleet_tag(fleet: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(fleet.as_bytes());
    hasher.finish()
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// A message of SWIM, for [`crate::GossipCodec`].
    Gossip {
        /// Who sent it.
        sender: Peer,
        /// All of the message; the sender stands in it once more.
        message: &'a [u8],
    },
    /// What another package's counterpart sent.
    Payload {
        /// Who sent it.
        sender: Peer,
        /// The other package's bytes.
        payload: &'a [u8],
    },
    /// The receiver's name has this later start.
    LaterStart(Peer),
}

fn encode_header(fleet_tag: u64, kind: u8, content_capacity: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content_capacity);
    bytes.put_u16(MAGIC);
    bytes.put_u8(VERSION);
    bytes.put_u64(fleet_tag);
    bytes.put_u8(kind);
    bytes
}

/// The datagram of a SWIM message.
#[must_use]
pub fn encode_gossip(fleet_tag: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, GOSSIP, message.len());
    bytes.extend_from_slice(message);
    bytes
}

/// The datagram of another package's payload.
#[must_use]
pub fn encode_payload(fleet_tag: u64, sender: &Peer, payload: &[u8]) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, PAYLOAD, PEER_CAPACITY_HINT + payload.len());
    // A vector takes everything but a name that is too long, which the operator's file does not allow.
    let _ = put_peer(sender, &mut bytes);
    bytes.extend_from_slice(payload);
    bytes
}

/// The datagram that tells a process that its name has this later start.
#[must_use]
pub fn encode_later_start(fleet_tag: u64, later: &Peer) -> Vec<u8> {
    let mut bytes = encode_header(fleet_tag, LATER_START, PEER_CAPACITY_HINT);
    // A vector takes everything but a name that is too long, and such a one was never read.
    let _ = put_peer(later, &mut bytes);
    bytes
}

/// Reads a datagram's header and the peer that its content begins with.
///
/// # Errors
///
/// The datagram is none of this fleet, or malformed.
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
        LATER_START => Ok(Content::LaterStart(peer)),
        _ => Err(RejectReason::NotMembership),
    }
}
