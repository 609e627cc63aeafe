//! The keys and values of the records of what became of requests, as the store holds them.

use aldermill_site_routing::records::{RecordKey, decode_key, decode_outcome, encode_key, encode_outcome};
use aldermill_site_routing::{Origin, Outcome};

#[test]
fn key_of_a_record() {
    let origin = Origin { site: "north".into(), instance: "n1".into(), incarnation: 0x0102_0304_0506_0708 };
    let bytes = b"\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\x01,\x01\x02\x03\x04\x05\x06\x07\x08north\0n1";
    assert_eq!(encode_key(7, &origin, 300).escape_ascii().to_string(), bytes.escape_ascii().to_string());
    assert_eq!(decode_key(bytes), Some(RecordKey { incarnation: 7, origin, number: 300 }));
}

#[test]
fn value_of_each_outcome() {
    let cases: [(Outcome<&[u8]>, &[u8]); 6] = [
        (Outcome::InFlight, b"T"),
        (Outcome::NeverAccepted, b"N"),
        (Outcome::Rejected { retry_after: 0x0102_0304 }, b"D\0\0\0\0\x01\x02\x03\x04"),
        (Outcome::Served(b"value"), b"Hvalue"),
        (Outcome::Served(b""), b"H"),
        (Outcome::Failed, b"B"),
    ];
    for (fate, bytes) in cases {
        assert_eq!(encode_outcome(&fate), bytes);
        assert_eq!(decode_outcome(bytes), fate.map(<[u8]>::to_vec));
    }
    assert_eq!(encode_outcome(&Outcome::Unknown), b"B", "nothing of it is known, so it counts as failed");
}
