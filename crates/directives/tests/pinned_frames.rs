//! Pins the encoding of each kind of message about directives and reports, because proxies of other versions read and
//! write the same bytes.

use aldermill_directives::frame::{Message, decode, encode_digest, encode_directives, encode_report};
use aldermill_directives::{DigestEntry, Directive, Report, Topic, Version};

const VERSION: Version = Version { term: 0x1112_1314_1516_1718, number: 0x0102_0304_0506_0708 };
const LATER_VERSION: Version = Version { term: 0x1112_1314_1516_1719, number: 1 };

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(pinned: &str) -> Vec<u8> {
    let digits: String = pinned.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|index| u8::from_str_radix(&digits[index..index + 2], 16).unwrap())
        .collect()
}

/// Asserts that `encoded` is a single message with the bytes in `pinned`, a hexadecimal text, and that these bytes
/// decode to `message`.
fn assert_pinned_bytes(encoded: &[Vec<u8>], message: Message, pinned: &str) {
    let pinned = from_hex(pinned);
    assert_eq!(encoded.iter().map(|message| to_hex(message)).collect::<Vec<_>>(), [to_hex(&pinned)]);
    assert_eq!(decode(&pinned), Ok(message));
}

fn directives() -> Vec<Directive> {
    let directive = |topic, version, body: &[u8]| Directive {
        topic,
        version,
        issuer: "proxy-a".to_owned(),
        remaining: 6_000_000,
        body: body.to_vec(),
    };
    vec![
        directive(Topic::new("site-drain", "site-1"), VERSION, b"body"),
        // An empty subject only names the lease holder.
        directive(Topic::new("zones", ""), LATER_VERSION, b""),
    ]
}

fn digest() -> Vec<DigestEntry> {
    vec![
        DigestEntry { topic: Topic::new("site-drain", "site-1"), version: VERSION },
        DigestEntry { topic: Topic::new("zones", ""), version: LATER_VERSION },
    ]
}

#[test]
fn directives_match_their_pinned_bytes() {
    let encoded = encode_directives(&directives());
    assert_pinned_bytes(
        &encoded,
        Message::Directives(directives()),
        "01 0a736974652d647261696e 06736974652d31 1112131415161718 0102030405060708 \
        00000000005b8d80 0770726f78792d61 0004626f6479 057a6f6e6573 00 1112131415161719 \
        0000000000000001 00000000005b8d80 0770726f78792d61 0000",
    );
}

#[test]
fn a_digest_matches_its_pinned_bytes() {
    let message = Message::Digest { entries: digest(), is_answer: false };
    assert_pinned_bytes(
        &encode_digest(&digest(), false),
        message,
        "02 0a736974652d647261696e 06736974652d31 1112131415161718 0102030405060708 057a6f6e6573 \
        00 1112131415161719 0000000000000001",
    );
}

#[test]
fn an_answering_digest_matches_its_pinned_bytes() {
    let message = Message::Digest { entries: digest(), is_answer: true };
    assert_pinned_bytes(
        &encode_digest(&digest(), true),
        message,
        "03 0a736974652d647261696e 06736974652d31 1112131415161718 0102030405060708 057a6f6e6573 \
        00 1112131415161719 0000000000000001",
    );
}

#[test]
fn an_empty_digest_matches_its_pinned_bytes() {
    let message = Message::Digest { entries: Vec::new(), is_answer: false };
    assert_pinned_bytes(&encode_digest(&[], false), message, "02");
}

#[test]
fn a_report_matches_its_pinned_bytes() {
    let topic = Topic::new("site-drain", "site-1");
    let report = Report { topic, number: 0x2122_2324_2526_2728, body: b"report".to_vec() };
    assert_pinned_bytes(
        &[encode_report(&report)],
        Message::Report(report),
        "04 0a736974652d647261696e 06736974652d31 2122232425262728 00067265706f7274",
    );
}
