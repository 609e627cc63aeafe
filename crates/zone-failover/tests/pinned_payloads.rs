//! The bytes of reports and of directives' bodies, as proxies of other versions send and read them.

use aldermill_zone_failover::{FailoverLevel, OutcomeCounts, TrafficShift, ZoneReport, ZoneRow, ZoneShare};

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

#[test]
fn report_with_two_rows() {
    let bytes = b"\
        \x02\0\0\x04\xd2\x01\x02\x03\x04\x05\x06\x07\x08\x01\0\0\x03\xe8\0\0\x03\x84\0\0\0(\0\0\0\
        \x1e\0\0\0\x14\0\x01\x11p\0\0\0\0\0\0\0\t\x02\0\0\0\x06\0\0\0\x01\0\0\0\x02\0\0\0\x03\0\0\0\
        \x04\0\0\0\x05";
    let many = OutcomeCounts {
        attempts: 1_000,
        in_time: 900,
        rejected: 40,
        errors: 30,
        unanswered: 20,
        served_ms: 70_000,
    };
    let few = OutcomeCounts { attempts: 6, in_time: 1, rejected: 2, errors: 3, unanswered: 4, served_ms: 5 };
    let rows = vec![
        ZoneRow { group: 0x0102_0304_0506_0708, zone: 1, counts: many },
        ZoneRow { group: 9, zone: 2, counts: few },
    ];
    let report = ZoneReport { zone: 2, span: 1_234_000, rows };
    assert_eq!(text(&report.encode()), text(bytes));
    assert_eq!(ZoneReport::decode(bytes), Ok(report));
}

#[test]
fn report_without_rows() {
    let bytes = b"\0\0\0\x03\xe8";
    let report = ZoneReport { zone: 0, span: 1_000_000, rows: vec![] };
    assert_eq!(text(&report.encode()), text(bytes));
    assert_eq!(ZoneReport::decode(bytes), Ok(report));
}

#[track_caller]
fn assert_pinned(shift: TrafficShift, bytes: &[u8]) {
    assert_eq!(text(&shift.encode()), text(bytes));
    assert_eq!(TrafficShift::decode(bytes), Ok(shift));
}

#[test]
fn directive_of_each_level() {
    assert_pinned(
        TrafficShift { level: FailoverLevel::Local, away: 0, to: vec![], short: false },
        b"\0\0\0\0",
    );
    let to = vec![ZoneShare { zone: 0, share: 750 }, ZoneShare { zone: 2, share: 250 }];
    assert_pinned(
        TrafficShift { level: FailoverLevel::Spillover, away: 300, to, short: true },
        b"\
        \x01\x01,\x01\0\x02\xee\x02\0\xfa",
    );
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::FailedOver,
            away: 500,
            to: vec![ZoneShare { zone: 1, share: 1000 }],
            short: false,
        },
        b"\
        \x02\x01\xf4\0\x01\x03\xe8",
    );
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::FailingBack,
            away: 100,
            to: vec![ZoneShare { zone: 1, share: 1000 }],
            short: false,
        },
        b"\
        \x03\0d\0\x01\x03\xe8",
    );
}
