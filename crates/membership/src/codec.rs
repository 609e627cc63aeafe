//! Encoding and decoding of SWIM messages in the format that [`crate::frame`] describes.

use std::cell::RefCell;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::{Buf, BufMut};
use foca::{Header, Member, Message, State};

use crate::Peer;

/// Longest accepted proxy name, in bytes of UTF-8.
const MAX_NAME_BYTES: usize = 64;
/// Encoded address length that marks an IPv4 address.
const IPV4_BYTES: u8 = 4;
/// Encoded address length that marks an IPv6 address.
const IPV6_BYTES: u8 = 16;

/// Codes of the message kinds on the wire.
mod kind {
    pub(super) const PING: u8 = 1;
    pub(super) const ACK: u8 = 2;
    pub(super) const PING_REQUEST: u8 = 3;
    pub(super) const INDIRECT_PING: u8 = 4;
    pub(super) const INDIRECT_ACK: u8 = 5;
    pub(super) const FORWARDED_ACK: u8 = 6;
    pub(super) const ANNOUNCE: u8 = 7;
    pub(super) const FEED: u8 = 8;
    pub(super) const GOSSIP: u8 = 9;
    pub(super) const BROADCAST: u8 = 10;
    pub(super) const TURN_UNDEAD: u8 = 11;
}

/// Codes of the peer states on the wire.
mod state {
    pub(super) const ALIVE: u8 = 1;
    pub(super) const SUSPECT: u8 = 2;
    pub(super) const DOWN: u8 = 3;
}

/// A message could not be decoded, a peer's name is too long to encode, or the output buffer is too small.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CodecError;

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed datagram, name too long, or output buffer too small")
    }
}

impl std::error::Error for CodecError {}

/// Encodes and decodes SWIM messages.
///
/// All clones share the local peer and the latest instance of the local name that was seen in a message.
#[derive(Clone, Debug)]
pub struct GossipCodec {
    /// Local peer; substituted as the receiver of messages whose receiver name is empty.
    local: Rc<RefCell<Peer>>,
    /// Latest instance of the local proxy's name seen in a message; `None` if none has a higher start number than the
    /// local one.
    later_instance: Rc<RefCell<Option<Peer>>>,
}

impl GossipCodec {
    /// Creates the codec of the given local peer.
    #[must_use]
    pub fn new(local: Peer) -> GossipCodec {
        GossipCodec { local: Rc::new(RefCell::new(local)), later_instance: Rc::default() }
    }

    /// Replaces the local peer after a rejoin or a renumbering, in all clones.
    pub(crate) fn set_local(&self, local: Peer) {
        *self.local.borrow_mut() = local;
    }

    /// Removes and returns the latest instance of the local proxy's name seen in a message; `None` if none has a higher
    /// start number than the local one.
    pub(crate) fn take_later_instance(&self) -> Option<Peer> {
        self.later_instance.borrow_mut().take()
    }

    /// Remembers `peer` if it is an instance of the local proxy's name with a higher start number than the local one and
    /// any remembered before.
    fn note_later_instance(&self, peer: &Peer) {
        let local = self.local.borrow();
        let mut latest = self.later_instance.borrow_mut();
        let known_start = latest.as_ref().map_or(local.start, |latest| latest.start);
        if peer.name == local.name && peer.start > known_start {
            *latest = Some(peer.clone());
        }
    }
}

impl foca::Codec<Peer> for GossipCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Peer>, mut buf: impl BufMut) -> Result<(), CodecError> {
        put_peer(&header.src, &mut buf)?;
        require_space(&buf, 2)?;
        buf.put_u16(header.src_incarnation);
        put_peer(&header.dst, &mut buf)?;
        require_space(&buf, 3)?;
        put_message(&header.message, &mut buf)
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<Peer>, CodecError> {
        let src = get_peer(&mut buf)?;
        require_bytes(&buf, 2)?;
        let src_incarnation = buf.get_u16();
        let mut dst = get_peer(&mut buf)?;
        let message = get_message(&mut buf)?;
        if dst.name.is_empty() {
            dst = self.local.borrow().clone();
        }
        self.note_later_instance(&src);
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<Peer>, mut buf: impl BufMut) -> Result<(), CodecError> {
        put_peer(member.id(), &mut buf)?;
        require_space(&buf, 3)?;
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => state::ALIVE,
            State::Suspect => state::SUSPECT,
            State::Down => state::DOWN,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<Peer>, CodecError> {
        let peer = get_peer(&mut buf)?;
        require_bytes(&buf, 3)?;
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            state::ALIVE => State::Alive,
            state::SUSPECT => State::Suspect,
            state::DOWN => State::Down,
            _ => return Err(CodecError),
        };
        if peer.name.is_empty() {
            return Err(CodecError);
        }
        self.note_later_instance(&peer);
        Ok(Member::new(peer, incarnation, state))
    }
}

/// Fails if fewer than `bytes` bytes are left to read.
fn require_bytes(buf: &impl Buf, bytes: usize) -> Result<(), CodecError> {
    if buf.remaining() < bytes { Err(CodecError) } else { Ok(()) }
}

/// Fails if fewer than `bytes` bytes can still be written.
fn require_space(buf: &impl BufMut, bytes: usize) -> Result<(), CodecError> {
    if buf.remaining_mut() < bytes { Err(CodecError) } else { Ok(()) }
}

/// Encodes a peer; fails if its name is too long or the buffer too small.
pub(crate) fn put_peer(peer: &Peer, buf: &mut impl BufMut) -> Result<(), CodecError> {
    let name = peer.name.as_bytes();
    if name.len() > MAX_NAME_BYTES {
        return Err(CodecError);
    }
    // Name length, name, start number, rejoin count, address length, longest address, port.
    require_space(buf, 1 + name.len() + 8 + 2 + 1 + 16 + 2)?;
    buf.put_u8(name.len() as u8);
    buf.put_slice(name);
    buf.put_u64(peer.start);
    buf.put_u16(peer.rejoins);
    match peer.address.ip() {
        IpAddr::V4(ip) => {
            buf.put_u8(IPV4_BYTES);
            buf.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            buf.put_u8(IPV6_BYTES);
            buf.put_slice(&ip.octets());
        }
    }
    buf.put_u16(peer.address.port());
    Ok(())
}

/// Decodes a peer; its name may be empty.
pub(crate) fn get_peer(buf: &mut impl Buf) -> Result<Peer, CodecError> {
    require_bytes(buf, 1)?;
    let name_length = usize::from(buf.get_u8());
    // Name, start number, rejoin count, address length.
    require_bytes(buf, name_length + 8 + 2 + 1)?;
    let mut name = [0; MAX_NAME_BYTES];
    let name = name.get_mut(..name_length).ok_or(CodecError)?;
    buf.copy_to_slice(name);
    let name = std::str::from_utf8(name).map_err(|_| CodecError)?;
    let start = buf.get_u64();
    let rejoins = buf.get_u16();
    let address_length = buf.get_u8();
    require_bytes(buf, usize::from(address_length) + 2)?;
    let ip: IpAddr = match address_length {
        IPV4_BYTES => buf.get_u32().to_be_bytes().into(),
        IPV6_BYTES => buf.get_u128().to_be_bytes().into(),
        _ => return Err(CodecError),
    };
    let address = SocketAddr::new(ip, buf.get_u16());
    Ok(Peer { name: name.into(), start, rejoins, address })
}

/// Encodes a message's kind and its fields. The caller ensures space for the kind and a probe number.
fn put_message(message: &Message<Peer>, buf: &mut impl BufMut) -> Result<(), CodecError> {
    match message {
        Message::Ping(probe_number) => put_probe(kind::PING, *probe_number, buf),
        Message::Ack(probe_number) => put_probe(kind::ACK, *probe_number, buf),
        Message::PingReq { target, probe_number } => {
            put_relayed_probe(kind::PING_REQUEST, *probe_number, target, buf)?;
        }
        Message::IndirectPing { origin, probe_number } => {
            put_relayed_probe(kind::INDIRECT_PING, *probe_number, origin, buf)?;
        }
        Message::IndirectAck { target, probe_number } => {
            put_relayed_probe(kind::INDIRECT_ACK, *probe_number, target, buf)?;
        }
        Message::ForwardedAck { origin, probe_number } => {
            put_relayed_probe(kind::FORWARDED_ACK, *probe_number, origin, buf)?;
        }
        Message::Announce => buf.put_u8(kind::ANNOUNCE),
        Message::Feed => buf.put_u8(kind::FEED),
        Message::Gossip => buf.put_u8(kind::GOSSIP),
        Message::Broadcast => buf.put_u8(kind::BROADCAST),
        Message::TurnUndead => buf.put_u8(kind::TURN_UNDEAD),
    }
    Ok(())
}

/// Encodes a message kind and a probe number without checking the space.
fn put_probe(kind: u8, probe_number: u8, buf: &mut impl BufMut) {
    buf.put_u8(kind);
    buf.put_u8(probe_number);
}

/// Encodes a message of an indirect probe, where `peer` is the probed proxy or the proxy that requested the probe.
fn put_relayed_probe(
    kind: u8,
    probe_number: u8,
    peer: &Peer,
    buf: &mut impl BufMut,
) -> Result<(), CodecError> {
    require_space(buf, 2)?;
    put_probe(kind, probe_number, buf);
    put_peer(peer, buf)
}

/// Decodes a message's kind and its fields.
fn get_message(buf: &mut impl Buf) -> Result<Message<Peer>, CodecError> {
    require_bytes(buf, 1)?;
    let kind = buf.get_u8();
    match kind {
        kind::ANNOUNCE => return Ok(Message::Announce),
        kind::FEED => return Ok(Message::Feed),
        kind::GOSSIP => return Ok(Message::Gossip),
        kind::BROADCAST => return Ok(Message::Broadcast),
        kind::TURN_UNDEAD => return Ok(Message::TurnUndead),
        kind::PING..=kind::FORWARDED_ACK => {}
        _ => return Err(CodecError),
    }
    require_bytes(buf, 1)?;
    let probe_number = buf.get_u8();
    Ok(match kind {
        kind::PING => Message::Ping(probe_number),
        kind::ACK => Message::Ack(probe_number),
        kind::PING_REQUEST => Message::PingReq { target: get_peer(buf)?, probe_number },
        kind::INDIRECT_PING => Message::IndirectPing { origin: get_peer(buf)?, probe_number },
        kind::INDIRECT_ACK => Message::IndirectAck { target: get_peer(buf)?, probe_number },
        _ => Message::ForwardedAck { origin: get_peer(buf)?, probe_number },
    })
}
