//! The bytes of reports and of directives' bodies, as proxies of other versions send and read them.

use aldermill_zone_failover::frame::{
    ZoneReport, decode_directive, decode_report, encode_directive, encode_report,
};
use aldermill_zone_failover::{FailoverLevel, OutcomeCounts, Row, TrafficShift};

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

#[test]
fn report_with_two_rows() {
    let bytes = b"\
        \x02\0\0\x04\xd2\x01\x02\x03\x04\x05\x06\x07\x08\x01\0\0\x03\xe8\0\0\x03\x84\0\0\0(\0\0\0\
        \x1e\0\0\0\x14\0\x01\x11p\0\0\0\0\0\0\0\t\x02\0\0\0\x06\0\0\0\x01\0\0\0\x02\0\0\0\x03\0\0\0\
        \x04\0\0\0\x05";
    let seen =
        OutcomeCounts { attempts: 1_000, in_time: 900, refused: 40, errors: 30, silent: 20, took_ms: 70_000 };
    let few = OutcomeCounts { attempts: 6, in_time: 1, refused: 2, errors: 3, silent: 4, took_ms: 5 };
    let rows =
        vec![Row { group: 0x0102_0304_0506_0708, zone: 1, seen }, Row { group: 9, zone: 2, seen: few }];
    let told = ZoneReport { zone: 2, over: 1_234_000, rows };
    assert_eq!(text(&encode_report(&told)), text(bytes));
    assert_eq!(decode_report(bytes), Ok(told));
}

#[test]
fn report_without_rows() {
    let bytes = b"\0\0\0\x03\xe8";
    let told = ZoneReport { zone: 0, over: 1_000_000, rows: vec![] };
    assert_eq!(text(&encode_report(&told)), text(bytes));
    assert_eq!(decode_report(bytes), Ok(told));
}

#[track_caller]
fn pinned(lean: TrafficShift, bytes: &[u8]) {
    assert_eq!(text(&encode_directive(&lean)), text(bytes));
    assert_eq!(decode_directive(bytes), Ok(lean));
}

#[test]
fn directive_of_each_level() {
    pinned(TrafficShift { level: FailoverLevel::Near, away: 0, to: vec![], short: false }, b"\0\0\0\0");
    let to = vec![(0, 750), (2, 250)];
    pinned(
        TrafficShift { level: FailoverLevel::Leaning, away: 300, to, short: true },
        b"\
        \x01\x01,\x01\0\x02\xee\x02\0\xfa",
    );
    pinned(
        TrafficShift { level: FailoverLevel::Left, away: 500, to: vec![(1, 1000)], short: false },
        b"\
        \x02\x01\xf4\0\x01\x03\xe8",
    );
    pinned(
        TrafficShift { level: FailoverLevel::Coming, away: 100, to: vec![(1, 1000)], short: false },
        b"\
        \x03\0d\0\x01\x03\xe8",
    );
}
