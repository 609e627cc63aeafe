//! Byte-exact tests of reports and directive bodies, which must stay compatible with proxies of other versions.

use aldermill_zone_failover::{FailoverLevel, OutcomeCounts, TrafficShift, ZoneReport, ZoneRow, ZoneShare};

fn escaped(bytes: &[u8]) -> String {
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
        failed: 30,
        unanswered: 20,
        served_ms: 70_000,
    };
    let few = OutcomeCounts { attempts: 6, in_time: 1, rejected: 2, failed: 3, unanswered: 4, served_ms: 5 };
    let rows = vec![
        ZoneRow { group: 0x0102_0304_0506_0708, zone: 1, counts: many },
        ZoneRow { group: 9, zone: 2, counts: few },
    ];
    let report = ZoneReport { zone: 2, span: 1_234_000, rows };
    assert_eq!(escaped(&report.encode()), escaped(bytes));
    assert_eq!(ZoneReport::decode(bytes), Ok(report));
}

#[test]
fn report_without_rows() {
    let bytes = b"\0\0\0\x03\xe8";
    let report = ZoneReport { zone: 0, span: 1_000_000, rows: vec![] };
    assert_eq!(escaped(&report.encode()), escaped(bytes));
    assert_eq!(ZoneReport::decode(bytes), Ok(report));
}

#[track_caller]
fn assert_pinned(shift: TrafficShift, bytes: &[u8]) {
    assert_eq!(escaped(&shift.encode()), escaped(bytes));
    assert_eq!(TrafficShift::decode(bytes), Ok(shift));
}

#[test]
fn directive_of_each_level() {
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::Local,
            shifted_share: 0,
            targets: vec![],
            insufficient_capacity: false,
        },
        b"\0\0\0\0",
    );
    let targets = vec![ZoneShare { zone: 0, share: 750 }, ZoneShare { zone: 2, share: 250 }];
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::Spillover,
            shifted_share: 300,
            targets,
            insufficient_capacity: true,
        },
        b"\
        \x01\x01,\x01\0\x02\xee\x02\0\xfa",
    );
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::FailedOver,
            shifted_share: 500,
            targets: vec![ZoneShare { zone: 1, share: 1000 }],
            insufficient_capacity: false,
        },
        b"\
        \x02\x01\xf4\0\x01\x03\xe8",
    );
    assert_pinned(
        TrafficShift {
            level: FailoverLevel::FailingBack,
            shifted_share: 100,
            targets: vec![ZoneShare { zone: 1, share: 1000 }],
            insufficient_capacity: false,
        },
        b"\
        \x03\0d\0\x01\x03\xe8",
    );
}
