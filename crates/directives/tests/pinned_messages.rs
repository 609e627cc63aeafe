//! The bytes of each kind of message, as proxies of other versions send and read them.

use aldermill_directives::frame::{Message, decode, encode_digest, encode_directives, encode_report};
use aldermill_directives::{DigestEntry, Directive, Report, Topic, Version};

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn directive(subject: &str, body: &[u8]) -> Directive {
    Directive {
        topic: Topic::new("zones", subject),
        version: Version { term: 0x0102_0304_0506_0708, number: 300 },
        issuer: "n1".into(),
        remaining: 6_000_000,
        body: body.to_vec(),
    }
}

#[test]
fn directives() {
    let bytes = b"\
        \x01\x05zones\x037.1\x01\x02\x03\x04\x05\x06\x07\x08\0\0\0\0\0\0\x01,\0\0\0\0\0[\x8d\x80\x02\
        n1\0\x02\0\xff\x05zones\0\x01\x02\x03\x04\x05\x06\x07\x08\0\0\0\0\0\0\x01,\0\0\0\0\0[\x8d\
        \x80\x02n1\0\0";
    let directives = vec![directive("7.1", b"\0\xff"), directive("", b"")];
    assert_eq!(encode_directives(&directives).iter().map(|one| text(one)).collect::<Vec<_>>(), [text(bytes)]);
    assert_eq!(decode(bytes), Ok(Message::Directives(directives)));
}

#[test]
fn digest_and_its_answer() {
    let entry = |subject, number| DigestEntry {
        topic: Topic::new("retire", subject),
        version: Version { term: 5, number },
    };
    let entries = vec![entry("north", 300), entry("", 0)];
    for (is_answer, bytes) in [
        (
            false,
            &b"\
        \x02\x06retire\x05north\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\x01,\x06retire\0\0\0\0\0\0\0\0\x05\0\0\
        \0\0\0\0\0\0"[..],
        ),
        (
            true,
            b"\
        \x03\x06retire\x05north\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\x01,\x06retire\0\0\0\0\0\0\0\0\x05\0\0\
        \0\0\0\0\0\0",
        ),
    ] {
        let encoded = encode_digest(&entries, is_answer);
        assert_eq!(encoded.iter().map(|one| text(one)).collect::<Vec<_>>(), [text(bytes)]);
        assert_eq!(decode(bytes), Ok(Message::Digest { entries: entries.clone(), is_answer }));
    }
}

#[test]
fn report() {
    let bytes = b"\x04\x06splits\x017\0\0\0\0\0\0\x01,\0\x06\0seen\xff";
    let report = Report { topic: Topic::new("splits", "7"), number: 300, body: b"\0seen\xff".to_vec() };
    assert_eq!(text(&encode_report(&report)), text(bytes));
    assert_eq!(decode(bytes), Ok(Message::Report(report)));
}
