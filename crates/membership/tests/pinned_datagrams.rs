//! Pins the encoding of each kind of datagram to literal bytes, because proxies of different versions read
//! each other's datagrams.

use std::net::SocketAddr;

use aldermill_membership::frame::{self, Content};
use aldermill_membership::{GossipCodec, Peer};
use foca::{Codec, Header, Member, Message, State};

const FLEET_TAG: u64 = 0x0102_0304_0506_0708;

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

/// Target or origin of an indirect probe, or a peer whose state is encoded.
fn third_peer() -> Peer {
    peer("proxy-c", 0x2233_4455_6677_8899, 0x0e0f, "192.0.2.3:7948")
}

/// Creates the receiver's codec.
fn codec() -> GossipCodec {
    GossipCodec::new(receiver())
}

/// Formats bytes as hexadecimal digits without spaces.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses hexadecimal digits, between which white space is ignored.
fn parse_hex(pinned: &str) -> Vec<u8> {
    let digits: String = pinned.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

/// Checks encoded bytes against the pinned hexadecimal digits.
fn assert_pinned(encoded: &[u8], pinned: &str) {
    assert_eq!(hex(encoded), hex(&parse_hex(pinned)));
}

/// Checks that a gossip datagram with this message and without peer states is encoded as the pinned bytes and
/// decoded from them.
fn assert_message_keeps_its_bytes(message: Message<Peer>, pinned: &str) {
    let header = Header { src: sender(), src_incarnation: 0x1a1b, dst: receiver(), message };
    let mut encoded = Vec::new();
    codec().encode_header(&header, &mut encoded).unwrap();
    assert_pinned(&frame::encode_gossip(FLEET_TAG, &encoded), pinned);

    let datagram = parse_hex(pinned);
    let Ok(Content::Gossip { sender: decoded_sender, mut message }) = frame::decode(FLEET_TAG, &datagram)
    else {
        panic!("the datagram does not decode as gossip")
    };
    assert_eq!(decoded_sender, sender());
    assert_eq!(codec().decode_header(&mut message).unwrap(), header);
    assert!(message.is_empty());
}

/// Checks that a peer state, as it follows a message, is encoded as the pinned bytes and decoded from them.
fn assert_peer_state_keeps_its_bytes(peer_state: Member<Peer>, pinned: &str) {
    let mut encoded = Vec::new();
    codec().encode_member(&peer_state, &mut encoded).unwrap();
    assert_pinned(&encoded, pinned);

    let pinned = parse_hex(pinned);
    let mut rest = pinned.as_slice();
    assert_eq!(codec().decode_member(&mut rest).unwrap(), peer_state);
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
    let message = Message::PingReq { target: third_peer(), probe_number: 0x23 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0323 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn an_indirect_ping_datagram_keeps_its_bytes() {
    let message = Message::IndirectPing { origin: third_peer(), probe_number: 0x24 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0424 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn an_indirect_ack_datagram_keeps_its_bytes() {
    let message = Message::IndirectAck { target: third_peer(), probe_number: 0x25 };
    assert_message_keeps_its_bytes(
        message,
        "a1df 01 0102030405060708 00 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a 1a1b \
        0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 0525 \
        0770726f78792d63 2233445566778899 0e0f 04c00002031f0c",
    );
}

#[test]
fn a_forwarded_ack_datagram_keeps_its_bytes() {
    let message = Message::ForwardedAck { origin: third_peer(), probe_number: 0x26 };
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
fn an_alive_peer_state_keeps_its_bytes() {
    assert_peer_state_keeps_its_bytes(
        Member::new(receiver(), 0x1c1d, State::Alive),
        "0770726f78792d62 1122334455667788 0c0d 1020010db80000000000000000000000021f0b 1c1d01",
    );
}

#[test]
fn a_suspect_peer_state_keeps_its_bytes() {
    assert_peer_state_keeps_its_bytes(
        Member::new(third_peer(), 0x1e1f, State::Suspect),
        "0770726f78792d63 2233445566778899 0e0f 04c00002031f0c 1e1f02",
    );
}

#[test]
fn a_down_peer_state_keeps_its_bytes() {
    assert_peer_state_keeps_its_bytes(
        Member::new(third_peer(), 0x1e1f, State::Down),
        "0770726f78792d63 2233445566778899 0e0f 04c00002031f0c 1e1f03",
    );
}

#[test]
fn a_later_instance_notice_keeps_its_bytes() {
    let pinned = "a1df 01 0102030405060708 01 0770726f78792d63 2233445566778899 0e0f 04c00002031f0c";
    assert_pinned(&frame::encode_later_instance(FLEET_TAG, &third_peer()), pinned);
    assert_eq!(frame::decode(FLEET_TAG, &parse_hex(pinned)), Ok(Content::LaterInstance(third_peer())));
}

#[test]
fn a_payload_datagram_keeps_its_bytes() {
    let pinned = "a1df 01 0102030405060708 02 0770726f78792d61 0011223344556677 0a0b 04c00002011f0a \
        7061796c6f6164";
    assert_pinned(&frame::encode_payload(FLEET_TAG, &sender(), b"payload"), pinned);
    assert_eq!(
        frame::decode(FLEET_TAG, &parse_hex(pinned)),
        Ok(Content::Payload { sender: sender(), payload: b"payload" })
    );
}

#[test]
fn a_fleet_tag_keeps_its_value() {
    assert_eq!(frame::fleet_tag("alder"), 0x253b_4cbb_4d17_757b);
}
