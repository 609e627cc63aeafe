//! The bytes of each kind of datagram, as literals: proxies of other versions read and write the same ones.

use std::net::SocketAddr;

use aldermill_membership::frame::{self, Content};
use aldermill_membership::{GossipCodec, Peer};
use foca::{Codec, Header, Member, Message, State};

const FLEET: u64 = 0x0102_0304_0506_0708;

fn peer(name: &str, start: u64, rejoins: u16, address: &str) -> Peer {
    let address: SocketAddr = address.parse().unwrap();
    Peer { name: name.into(), start, rejoins, address }
}

fn sender() -> Peer {
    peer("proxy-a", 0x0011_2233_4455_6677, 0x0a0b, "192.0.2.1:7946")
}

fn receiver() -> Peer {
    peer("proxy-b", 0x1122_3344_5566_7788, 0x0c0d, "[2001:db8::2]:7947")
}

fn third() -> Peer {
    peer("proxy-c", 0x2233_4455_6677_8899, 0x0e0f, "192.0.2.3:7948")
}

/// The receiver's codec.
fn codec() -> GossipCodec {
    GossipCodec::new(receiver())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(pinned: &str) -> Vec<u8> {
    let digits: String = pinned.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn assert_pinned(encoded: &[u8], pinned: &str) {
    assert_eq!(hex(encoded), hex(&bytes(pinned)));
}

/// A gossip datagram of this message and without members, both ways.
fn assert_message_keeps_its_bytes(message: Message<Peer>, pinned: &str) {
    let header = Header { src: sender(), src_incarnation: 0x1a1b, dst: receiver(), message };
    let mut inner = Vec::new();
    codec().encode_header(&header, &mut inner).unwrap();
    assert_pinned(&frame::encode_gossip(FLEET, &inner), pinned);

    let datagram = bytes(pinned);
    let Ok(Content::Gossip { sender: from, mut message }) = frame::decode(FLEET, &datagram) else {
        panic!("no gossip")
    };
    assert_eq!(from, sender());
    assert_eq!(codec().decode_header(&mut message).unwrap(), header);
    assert!(message.is_empty());
}

/// A member as it follows a header, both ways.
fn assert_member_keeps_its_bytes(member: Member<Peer>, pinned: &str) {
    let mut encoded = Vec::new();
    codec().encode_member(&member, &mut encoded).unwrap();
    assert_pinned(&encoded, pinned);

    let pinned = bytes(pinned);
    let mut rest = pinned.as_slice();
    assert_eq!(codec().decode_member(&mut rest).unwrap(), member);
    assert!(rest.is_empty());
}

#[test]
fn a_ping_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Ping(0x21),
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0121",
    );
}

#[test]
fn an_ack_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Ack(0x22),
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0222",
    );
}

#[test]
fn a_ping_request_datagram_keeps_its_bytes() {
    let message = Message::PingReq { target: third(), probe_number: 0x23 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0323 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn an_indirect_ping_datagram_keeps_its_bytes() {
    let message = Message::IndirectPing { origin: third(), probe_number: 0x24 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0424 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn an_indirect_ack_datagram_keeps_its_bytes() {
    let message = Message::IndirectAck { target: third(), probe_number: 0x25 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0525 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn a_forwarded_ack_datagram_keeps_its_bytes() {
    let message = Message::ForwardedAck { origin: third(), probe_number: 0x26 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0626 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn an_announce_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Announce,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 07",
    );
}

#[test]
fn a_feed_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Feed,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 08",
    );
}

#[test]
fn a_gossip_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Gossip,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 09",
    );
}

#[test]
fn a_broadcast_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::Broadcast,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0a",
    );
}

#[test]
fn a_turn_undead_datagram_keeps_its_bytes() {
    assert_message_keeps_its_bytes(
        Message::TurnUndead,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0b",
    );
}

#[test]
fn an_alive_member_keeps_its_bytes() {
    assert_member_keeps_its_bytes(
        Member::new(receiver(), 0x1c1d, State::Alive),
        "0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 1c1d01",
    );
}

#[test]
fn a_suspect_member_keeps_its_bytes() {
    assert_member_keeps_its_bytes(
        Member::new(third(), 0x1e1f, State::Suspect),
        "0770726f78792d63 2233445566778899 0e0f 04c00002031f0c 1e1f02",
    );
}

#[test]
fn a_down_member_keeps_its_bytes() {
    assert_member_keeps_its_bytes(
        Member::new(third(), 0x1e1f, State::Down),
        "0770726f78792d63 2233445566778899 0e0f 04c00002031f0c 1e1f03",
    );
}

#[test]
fn a_later_start_datagram_keeps_its_bytes() {
    let pinned = "a1df 01 0102030405060708 01 0770726f78792d63 2233445566778899 0e0f 04c00002031f0c";
    assert_pinned(&frame::encode_later_instance(FLEET, &third()), pinned);
    assert_eq!(frame::decode(FLEET, &bytes(pinned)), Ok(Content::LaterInstance(third())));
}

#[test]
fn a_datagram_of_another_package_keeps_its_bytes() {
    let pinned = "a1df 01 0102030405060708 02 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a \
        7061796c6f6164";
    assert_pinned(&frame::encode_payload(FLEET, &sender(), b"payload"), pinned);
    assert_eq!(
        frame::decode(FLEET, &bytes(pinned)),
        Ok(Content::Payload { sender: sender(), payload: b"payload" })
    );
}

#[test]
fn a_fleet_tag_keeps_its_value() {
    assert_eq!(frame::fleet_tag("alder"), 0x253b_4cbb_4d17_757b);
}
