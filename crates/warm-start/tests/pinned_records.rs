//! Tests that the stored records keep the format that other versions of the program write and read.

use aldermill_warm_start::{
    Change, FORMAT_VERSION, KnownPrimary, SavedState, ServiceTime, StateSnapshot, namespace, restore,
};

const NOW: i64 = 1_800_000_000_000_000;

/// Namespace, key and value of each record.
const RECORDS: [(u32, &str, &str); 8] = [
    (1, "", r#"{"name":"n1","format":1}"#),
    (2, "", "41"),
    (2, "s-1", r#"{"id":"s-1"}"#),
    (2, "s-2", r#"{"id":"s-2"}"#),
    (3, "7", r#"{"member":"s-2","word":1799999995000000}"#),
    (4, "8", r#""east""#),
    (4, "18446744073709551615", r#""west""#),
    (
        5,
        "",
        r#"{"at":1800000000000000,"paces":{"look":{"usual":9000,"slow":30000}},"windows":{"s-1":-2,"s-2":3}}"#,
    ),
];

fn snapshot() -> StateSnapshot {
    let entry = |id: &str| (id.to_owned(), format!(r#"{{"id":"{id}"}}"#));
    StateSnapshot {
        revision: Some(41),
        members: [entry("s-1"), entry("s-2")].into(),
        primaries: [(7, KnownPrimary { member: "s-2".to_owned(), confirmed_at: NOW - 5_000_000 })].into(),
        home_sites: [(8, "east".to_owned()), (u64::MAX, "west".to_owned())].into(),
        service_times: [("look".to_owned(), ServiceTime { median: 9_000, p90: 30_000 })].into(),
        concurrency_limits: [("s-1".to_owned(), -2), ("s-2".to_owned(), 3)].into(),
    }
}

#[test]
fn every_record_is_written_in_the_pinned_form() {
    let written: Vec<Change> = SavedState::new("n1", []).changes(NOW, snapshot());
    let written: Vec<(u32, String, String)> = written
        .into_iter()
        .map(|Change { namespace, key, value }| {
            (namespace, String::from_utf8(key).unwrap(), String::from_utf8(value.unwrap()).unwrap())
        })
        .collect();
    let pinned: Vec<(u32, String, String)> = RECORDS
        .iter()
        .map(|&(namespace, key, value)| (namespace, key.to_owned(), value.to_owned()))
        .collect();
    assert_eq!(written, pinned);
}

#[test]
fn records_in_the_pinned_form_restore_the_whole_snapshot() {
    let records =
        RECORDS.iter().map(|&(namespace, key, value)| (namespace, key.as_bytes(), value.as_bytes()));
    let restored = restore("n1", NOW, records).unwrap();
    assert_eq!(restored.snapshot, snapshot());
    assert_eq!((restored.newest_confirmation_age, restored.unusable_records), (Some(5_000_000), 0));
}

#[test]
fn namespaces_and_format_keep_their_numbers() {
    let own = [
        namespace::IDENTITY,
        namespace::ENDPOINT_LIST,
        namespace::PRIMARIES,
        namespace::HOME_SITES,
        namespace::SERVICE_TIMES,
    ];
    assert_eq!(own, [1, 2, 3, 4, 5]);
    let others = [
        namespace::OUTCOME_LOG,
        namespace::OUTCOME_LOG_PROMISES,
        namespace::GRANTED_TERMS,
        namespace::ACCEPTED_TERMS,
        namespace::SITE_DRAINS,
    ];
    assert_eq!(others, [6, 7, 8, 9, 10]);
    assert_eq!(FORMAT_VERSION, 1);
}
