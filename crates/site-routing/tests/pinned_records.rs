//! Format of the outcome log's records: the bytes of their keys and values in the store must never change.

use aldermill_site_routing::records::{
    RecordKey, decode_key, decode_outcome, decode_promise, encode_key, encode_outcome, encode_promise,
};
use aldermill_site_routing::{BootId, BootInstant, Origin, Outcome, PromiseEnd, PromiseRecord};

#[test]
fn the_key_of_a_request_record_keeps_its_format() {
    let origin = Origin { site: "north".into(), instance: "n1".into(), incarnation: 0x0102_0304_0506_0708 };
    let bytes = b"\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\x01,\x01\x02\x03\x04\x05\x06\x07\x08north\0n1";
    assert_eq!(encode_key(7, &origin, 300).escape_ascii().to_string(), bytes.escape_ascii().to_string());
    assert_eq!(decode_key(bytes), Some(RecordKey { incarnation: 7, origin, number: 300 }));
}

#[test]
fn the_value_of_each_outcome_keeps_its_format() {
    let cases: [(Outcome<&[u8]>, &[u8]); 6] = [
        (Outcome::InFlight, b"T"),
        (Outcome::NeverAccepted, b"N"),
        (Outcome::Rejected { retry_after: 0x0102_0304 }, b"D\0\0\0\0\x01\x02\x03\x04"),
        (Outcome::Served(b"value"), b"Hvalue"),
        (Outcome::Served(b""), b"H"),
        (Outcome::Failed, b"B"),
    ];
    for (outcome, bytes) in cases {
        assert_eq!(encode_outcome(&outcome), bytes);
        assert_eq!(decode_outcome(bytes), outcome.map(<[u8]>::to_vec));
    }
    assert_eq!(
        encode_outcome(&Outcome::Unknown),
        b"B",
        "nothing is known about the request, so it counts as failed"
    );
}

#[test]
fn the_records_of_a_promise_keep_their_format() {
    let timed_end = PromiseEnd::After(BootInstant { boot: BootId(*b"0123456789abcdef"), at: 0x0102 });
    let cases: [(PromiseRecord, &[u8], &[u8]); 3] = [
        (PromiseRecord::Until(0x0304), b"\0\0\0\0\0\0\0\x07", b"\0\0\0\0\0\0\x03\x04"),
        (PromiseRecord::End(timed_end), b"\0\0\0\0\0\0\0\x070123456789abcdef", b"\0\0\0\0\0\0\x01\x02"),
        (
            PromiseRecord::End(PromiseEnd::WithIncarnation),
            b"\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
            b"\x7f\xff\xff\xff\xff\xff\xff\xff",
        ),
    ];
    for (record, key, value) in cases {
        let stored = encode_promise(7, record);
        assert_eq!((&stored.key[..], &stored.value[..]), (key, value));
        assert_eq!(decode_promise(key, value), Some((7, record)));
        assert_eq!(decode_promise(&key[1..], value), None);
        assert_eq!(decode_promise(key, &value[1..]), None);
    }
}
