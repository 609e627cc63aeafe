//! Pins the encoding of each kind of lease message to literal bytes, because proxies of different versions
//! read each other's messages.

use aldermill_leases::frame::{decode, encode};
use aldermill_leases::{Ballot, Incarnation, Message, OutstandingLease, Payload};

fn ballot() -> Ballot {
    let candidate = Incarnation { name: "proxy-a".to_owned(), start: 0x0011_2233_4455_6677 };
    Ballot { number: 0x0102_0304_0506_0708, candidate }
}

const TERM: u64 = 0x1112_1314_1516_1718;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(pinned: &str) -> Vec<u8> {
    let digits: String = pinned.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn assert_keeps_its_bytes(payload: Payload, pinned: &str) {
    let message = Message { lease: "site-drain".to_owned(), payload };
    let pinned = bytes(pinned);
    assert_eq!(hex(&encode(&message)), hex(&pinned));
    assert_eq!(decode(&pinned), Ok(message));
}

#[test]
fn a_prepare_keeps_its_bytes() {
    assert_keeps_its_bytes(
        Payload::Prepare { ballot: ballot() },
        "01 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61",
    );
}

#[test]
fn a_promise_without_an_outstanding_lease_keeps_its_bytes() {
    let payload = Payload::Promise { ballot: ballot(), term: TERM, outstanding: None };
    assert_keeps_its_bytes(
        payload,
        "02 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61 \
        1112131415161718",
    );
}

#[test]
fn a_promise_with_an_outstanding_lease_keeps_its_bytes() {
    let holder = Incarnation { name: "proxy-b".to_owned(), start: 0x1122_3344_5566_7788 };
    let outstanding = Some(OutstandingLease { holder, remaining: 4_500_000 });
    let payload = Payload::Promise { ballot: ballot(), term: TERM, outstanding };
    assert_keeps_its_bytes(
        payload,
        "02 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61 \
        1112131415161718 000000000044aa20 1122334455667788 0770726f78792d62",
    );
}

#[test]
fn a_propose_keeps_its_bytes() {
    let payload = Payload::Propose { ballot: ballot(), term: TERM, duration: 10_000_000 };
    assert_keeps_its_bytes(
        payload,
        "03 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61 \
        1112131415161718 0000000000989680",
    );
}

#[test]
fn an_accept_keeps_its_bytes() {
    assert_keeps_its_bytes(
        Payload::Accept { ballot: ballot(), term: TERM },
        "04 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61 \
        1112131415161718",
    );
}

#[test]
fn a_reject_keeps_its_bytes() {
    let payload = Payload::Reject { ballot: ballot(), promised: 0x2122_2324_2526_2728 };
    assert_keeps_its_bytes(
        payload,
        "05 0a736974652d647261696e 0102030405060708 0011223344556677 0770726f78792d61 \
        2122232425262728",
    );
}

#[test]
fn a_release_keeps_its_bytes() {
    assert_keeps_its_bytes(Payload::Release { term: TERM }, "06 0a736974652d647261696e 1112131415161718");
}
