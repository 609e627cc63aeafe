//! The form of a datagram, version 1. All numbers are big-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `0xA1DF` |
//! | 1 | version |
//! | 8 | the fleet: the first eight bytes of a hash of its name ([`tag`]) |
//! | 1 | 0 for gossip, 1 for word of a later start, 2 for words of other packages |
//!
//! Words of other packages are the sender, and whatever they say. Word of a later start is one fellow: of the receiver's name, and started later than it. Gossip is:
//!
//! | bytes | what |
//! | --- | --- |
//! | | the sender, 2 bytes of its incarnation, the receiver |
//! | 1 | the message's kind, and what that kind carries (a number of 1 byte, a fellow, or both) |
//! | | where the kind carries them: 2 bytes of a count, and members |
//!
//! A fellow is 1 byte of length and its name, 8 bytes of its start, 2 of its turn, 1 of the address's length (4 or 16),
//! the address and 2 bytes of the port. A member is a fellow, 2 bytes of its incarnation and 1 of its state. A receiver
//! whose name is empty is whoever listens there: so is one asked that is known by its address alone.

use std::cell::RefCell;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::{Buf, BufMut};
use fnv::FnvHasher;
use foca::{Header, Member, Message, State};

use crate::Peer;

pub const VERSION: u8 = 1;
const MAGIC: u16 = 0xA1DF;
/// The longest datagram; below what any path carries in one piece.
pub const MOST: usize = 1200;
pub const HEAD: usize = 12;
const NAME: usize = 64;

/// A datagram that is none of ours, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    NotMembership,
    UnsupportedVersion,
    UnknownFleet,
}

/// The fleet's name as it stands in datagrams: FNV-1a. It tells fleets apart that were given each other's addresses by
/// mistake; it protects from nobody who means harm.
pub fn tag(fleet: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(fleet.as_bytes());
    hasher.finish()
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// Of the protocol's own, with its sender.
    Gossip(&'a [u8], Peer),
    /// What another package's other side said, with its sender.
    Payload(&'a [u8], Peer),
    LaterStart(Peer),
}

fn head(fleet: u64, kind: u8, length: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + length);
    bytes.put_u16(MAGIC);
    bytes.put_u8(VERSION);
    bytes.put_u64(fleet);
    bytes.put_u8(kind);
    bytes
}

pub fn gossip(fleet: u64, inner: &[u8]) -> Vec<u8> {
    let mut bytes = head(fleet, 0, inner.len());
    bytes.extend_from_slice(inner);
    bytes
}

pub fn word(fleet: u64, own: &Peer, words: &[u8]) -> Vec<u8> {
    let mut bytes = head(fleet, 2, 128 + words.len());
    // As below.
    let _ = put_peer(own, &mut bytes);
    bytes.extend_from_slice(words);
    bytes
}

pub fn later_start(fleet: u64, of: &Peer) -> Vec<u8> {
    let mut bytes = head(fleet, 1, 64);
    // A vector takes everything but a name that is too long, and such a one was never read.
    let _ = put_peer(of, &mut bytes);
    bytes
}

pub fn open(fleet: u64, mut bytes: &[u8]) -> Result<Content<'_>, RejectReason> {
    if bytes.len() < HEAD || bytes.get_u16() != MAGIC {
        return Err(RejectReason::NotMembership);
    }
    if bytes.get_u8() != VERSION {
        return Err(RejectReason::UnsupportedVersion);
    }
    if bytes.get_u64() != fleet {
        return Err(RejectReason::UnknownFleet);
    }
    let kind = bytes.get_u8();
    let mut rest = bytes;
    let fellow = get_peer(&mut rest).map_err(|_| RejectReason::NotMembership)?;
    match kind {
        0 => Ok(Content::Gossip(bytes, fellow)),
        2 => Ok(Content::Payload(rest, fellow)),
        1 => Ok(Content::LaterStart(fellow)),
        _ => Err(RejectReason::NotMembership),
    }
}

/// Cannot be read, or does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("malformed datagram")
    }
}

impl std::error::Error for Malformed {}

/// Reads and writes what is inside. It knows who listens here, and notes another start of the own name.
#[derive(Clone, Debug)]
pub struct GossipCodec {
    pub own: Rc<RefCell<Peer>>,
    /// The latest start of the own name that anybody told of, if it is later than this one.
    pub later_self: Rc<RefCell<Option<Peer>>>,
}

type Done<T> = Result<T, Malformed>;

fn need(buf: &impl Buf, bytes: usize) -> Done<()> {
    if buf.remaining() < bytes { Err(Malformed) } else { Ok(()) }
}

fn room(buf: &impl BufMut, bytes: usize) -> Done<()> {
    if buf.remaining_mut() < bytes { Err(Malformed) } else { Ok(()) }
}

fn put_peer(fellow: &Peer, buf: &mut impl BufMut) -> Done<()> {
    let name = fellow.name.as_bytes();
    if name.len() > NAME {
        return Err(Malformed);
    }
    room(buf, 1 + name.len() + 8 + 2 + 1 + 16 + 2)?;
    buf.put_u8(name.len() as u8);
    buf.put_slice(name);
    buf.put_u64(fellow.start);
    buf.put_u16(fellow.turn);
    match fellow.address.ip() {
        IpAddr::V4(ip) => {
            buf.put_u8(4);
            buf.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            buf.put_u8(16);
            buf.put_slice(&ip.octets());
        }
    }
    buf.put_u16(fellow.address.port());
    Ok(())
}

fn get_peer(buf: &mut impl Buf) -> Done<Peer> {
    need(buf, 1)?;
    let length = buf.get_u8() as usize;
    need(buf, length + 11)?;
    let mut name = [0; NAME];
    let name = name.get_mut(..length).ok_or(Malformed)?;
    buf.copy_to_slice(name);
    let name = std::str::from_utf8(name).map_err(|_| Malformed)?;
    let (start, turn, long) = (buf.get_u64(), buf.get_u16(), buf.get_u8());
    need(buf, usize::from(long) + 2)?;
    let ip: IpAddr = match long {
        4 => buf.get_u32().to_be_bytes().into(),
        16 => buf.get_u128().to_be_bytes().into(),
        _ => return Err(Malformed),
    };
    let address = SocketAddr::new(ip, buf.get_u16());
    Ok(Peer { name: name.into(), start, turn, address })
}

impl GossipCodec {
    fn met(&self, fellow: &Peer) {
        let own = self.own.borrow();
        let mut later = self.later_self.borrow_mut();
        if fellow.name == own.name && fellow.start > later.as_ref().map_or(own.start, |later| later.start) {
            *later = Some(fellow.clone());
        }
    }
}

impl foca::Codec<Peer> for GossipCodec {
    type Error = Malformed;

    fn encode_header(&mut self, header: &Header<Peer>, mut buf: impl BufMut) -> Done<()> {
        put_peer(&header.src, &mut buf)?;
        room(&buf, 2)?;
        buf.put_u16(header.src_incarnation);
        put_peer(&header.dst, &mut buf)?;
        room(&buf, 3)?;
        match &header.message {
            Message::Ping(number) => {
                buf.put_u8(1);
                buf.put_u8(*number);
            }
            Message::Ack(number) => {
                buf.put_u8(2);
                buf.put_u8(*number);
            }
            Message::PingReq { target: fellow, probe_number } => about(3, *probe_number, fellow, &mut buf)?,
            Message::IndirectPing { origin: fellow, probe_number } => {
                about(4, *probe_number, fellow, &mut buf)?
            }
            Message::IndirectAck { target: fellow, probe_number } => {
                about(5, *probe_number, fellow, &mut buf)?
            }
            Message::ForwardedAck { origin: fellow, probe_number } => {
                about(6, *probe_number, fellow, &mut buf)?
            }
            Message::Announce => buf.put_u8(7),
            Message::Feed => buf.put_u8(8),
            Message::Gossip => buf.put_u8(9),
            Message::Broadcast => buf.put_u8(10),
            Message::TurnUndead => buf.put_u8(11),
        }
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Done<Header<Peer>> {
        let src = get_peer(&mut buf)?;
        need(&buf, 2)?;
        let src_incarnation = buf.get_u16();
        let mut dst = get_peer(&mut buf)?;
        need(&buf, 1)?;
        let kind = buf.get_u8();
        let message = match kind {
            1..=6 => {
                need(&buf, 1)?;
                let probe_number = buf.get_u8();
                match kind {
                    1 => Message::Ping(probe_number),
                    2 => Message::Ack(probe_number),
                    3 => Message::PingReq { target: get_peer(&mut buf)?, probe_number },
                    4 => Message::IndirectPing { origin: get_peer(&mut buf)?, probe_number },
                    5 => Message::IndirectAck { target: get_peer(&mut buf)?, probe_number },
                    _ => Message::ForwardedAck { origin: get_peer(&mut buf)?, probe_number },
                }
            }
            7 => Message::Announce,
            8 => Message::Feed,
            9 => Message::Gossip,
            10 => Message::Broadcast,
            11 => Message::TurnUndead,
            _ => return Err(Malformed),
        };
        if dst.name.is_empty() {
            dst = self.own.borrow().clone();
        }
        self.met(&src);
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<Peer>, mut buf: impl BufMut) -> Done<()> {
        put_peer(member.id(), &mut buf)?;
        room(&buf, 3)?;
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 1,
            State::Suspect => 2,
            State::Down => 3,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Done<Member<Peer>> {
        let fellow = get_peer(&mut buf)?;
        need(&buf, 3)?;
        let incarnation = buf.get_u16();
        let state = match buf.get_u8() {
            1 => State::Alive,
            2 => State::Suspect,
            3 => State::Down,
            _ => return Err(Malformed),
        };
        if fellow.name.is_empty() {
            return Err(Malformed);
        }
        self.met(&fellow);
        Ok(Member::new(fellow, incarnation, state))
    }
}

fn about(kind: u8, number: u8, fellow: &Peer, buf: &mut impl BufMut) -> Done<()> {
    room(buf, 2)?;
    buf.put_u8(kind);
    buf.put_u8(number);
    put_peer(fellow, buf)
}
