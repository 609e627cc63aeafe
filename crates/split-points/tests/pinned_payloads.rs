//! Pins the encoding of summaries, so that proxies of different versions can decode each other's summaries.

use aldermill_split_points::{AccessSample, HeavyHitter, KeySketch, KeySummary};

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn sample(key: &[u8], is_write: bool, weight: f64) -> AccessSample {
    AccessSample { key: key.to_vec(), is_write, weight }
}

#[test]
fn summary_of_a_sketch_with_heavy_hitters_and_samples() {
    let bytes = b"\
        @h\0\0\x02@ \0\0\0\0\0\0\x05apple?\x80\0\0\0\0\0\0\x04pear\x05@ \0\0apple\x84?\x80\0\0pear\
        \x02>\0\0\0\0\xff";
    let mut sketch = KeySketch::new(0, 7);
    sketch.record(0, b"apple", false, 2.5);
    sketch.record(0, b"pear", true, 1.0);
    sketch.record(0, b"\0\xff", false, 0.125);
    assert_eq!(escaped(&sketch.encode_summary(0)), escaped(bytes));
    let decoded = KeySummary::decode(bytes).unwrap();
    assert_eq!(decoded, sketch.summary(0, 3));
    assert_eq!(decoded.cost, 3.625);
}

#[test]
fn summary_of_an_empty_sketch() {
    let bytes = b"\0\0\0\0\0";
    assert_eq!(escaped(&KeySketch::new(0, 7).encode_summary(0)), escaped(bytes));
    assert_eq!(KeySummary::decode(bytes), Ok(KeySummary::default()));
}

#[test]
fn summary_of_a_full_sketch_omits_the_lowest_priority_samples() {
    let mut sketch = KeySketch::new(0, 7);
    for number in 0..400_u32 {
        sketch.record(0, format!("key-{number:03}").as_bytes(), number % 3 == 0, 1.0);
    }
    let encoded = sketch.encode_summary(0);
    assert_eq!(encoded.len(), 893);
    assert_eq!(
        escaped(&encoded[..41]),
        escaped(
            b"\
        C\xc8\0\0\0\x87@\xad\x97Ykey-309\x07@\xad\x97Ykey-056\x07@\xad\x97Ykey-281"
        )
    );
}

#[test]
fn heavy_hitter_error_and_write_flag_are_decoded() {
    let bytes = b"\x42\x48\0\0\x01\x41\x20\0\0\x3f\0\0\0\x03hot\x82\x40\x40\0\0k1\x02\x3f\x80\0\0k2";
    let summary = KeySummary {
        cost: 50.0,
        samples: vec![sample(b"k1", true, 3.0), sample(b"k2", false, 1.0)],
        heavy_hitters: vec![HeavyHitter { key: b"hot".to_vec(), cost: 10.0, error: 0.5 }],
    };
    assert_eq!(KeySummary::decode(bytes), Ok(summary));
}
