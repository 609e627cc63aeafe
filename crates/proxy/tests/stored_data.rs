//! The data directory's format: what an earlier version wrote is read whole, and the same bytes are written today.
//!
//! `fixtures/stored_data` holds every kind of record: a compacted segment, one that is still empty, and a log behind them.
//! `the_store_writes_the_same_segments_byte_for_byte` says how it was made.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Mutex, PoisonError};

use aldermill_site_drain::{OperatorCommand, Order, Plan, Stage};
use aldermill_site_routing::records::{RecordKey, decode_key, decode_outcome, encode_key, encode_outcome};
use aldermill_site_routing::{Origin, Outcome};
use aldermill_store::{Batch, Disk, Limits, Snapshot, Store};
use aldermill_test_support::program;
use aldermill_warm_start::{
    Change, KnownPrimary, RestoredState, SavedState, ServiceTime, StateSnapshot, namespace, restore,
};

/// When the fixture was written, in Unix microseconds.
const WRITTEN_AT: i64 = 1_700_000_000_000_000;
/// When its outcomes and its promise expire: in 2096.
const EXPIRES_AT: i64 = 4_000_000_000_000_000;
const SECOND: i64 = 1_000_000;
const LIMITS: Limits = Limits {
    max_segment_bytes: 4 << 20,
    max_batch_bytes: 1 << 20,
    max_live_bytes: 1 << 24,
    max_log_ratio: 4,
};

const IDENTITY: &str = r#"{"name":"n0","format":1}"#;
const ENTRY_A: &str = r#"{"id":"s-a","host_port":"127.0.0.1:5401","locality":"here","cell":2,"phase":"in_service","size":1.5,"up_since_ms":1600000000000.0}"#;
const ENTRY_B: &str = r#"{"id":"s-b","host_port":"127.0.0.1:5402","locality":"there","cell":2,"phase":"terminating","size":1.0,"up_since_ms":0.0,"access":"writer"}"#;
const PRIMARY: &str = r#"{"member":"s-b","word":1699999999000000}"#;
const HOME: &str = r#""site1""#;
const PACES: &str =
    r#"{"at":1700000000000000,"paces":{"read":{"usual":1500,"slow":9000}},"windows":{"s-a":3,"s-b":-1}}"#;
/// Earlier start 0x0102030405060708, request 9, sender's start 10, site and instance.
const OUTCOME_KEY: &[u8] = b"\x01\x02\x03\x04\x05\x06\x07\x08\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x0asite1\0n5";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_data")
}

/// A folder of this test's own, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn empty(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("aldermill-stored-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }

    fn copy_of_fixture(name: &str) -> Folder {
        let folder = Folder::empty(name);
        for (file, bytes) in segments(&fixture()) {
            std::fs::write(folder.0.join(file), bytes).unwrap();
        }
        folder
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The segments of a data directory, by file name.
fn segments(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap());
    let named = entries.map(|entry| (entry.file_name().into_string().unwrap(), entry.path()));
    let logs = named.filter(|(name, _)| name.ends_with(".log"));
    logs.map(|(name, path)| (name, std::fs::read(path).unwrap())).collect()
}

/// A child process holds the descriptors of this one until it executes its program, the lock on a data directory included.
/// So no case starts a program while another one closes a directory and opens it again.
static STARTS_PROGRAMS: Mutex<()> = Mutex::new(());

fn tool(work: &str, folder: &Path) -> (bool, String) {
    let _alone = STARTS_PROGRAMS.lock().unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(program()).args(["store", work]).arg(folder).output().unwrap();
    (output.status.success(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

/// The last byte of a request's number, its outcome and the stored form of that.
type StoredOutcome = (u8, Outcome<Vec<u8>>, &'static [u8]);

/// The outcomes that the fixture holds.
fn outcomes() -> [StoredOutcome; 5] {
    [
        (9, Outcome::Served(b"DDDD\0\x01".to_vec()), b"HDDDD\0\x01"),
        (10, Outcome::Rejected { retry_after: 0x0203_0405 }, b"D\0\0\0\0\x02\x03\x04\x05"),
        (11, Outcome::InFlight, b"T"),
        (12, Outcome::NeverAccepted, b"N"),
        (13, Outcome::Failed, b"B"),
    ]
}

fn outcome_key(number: u8) -> Vec<u8> {
    let mut key = OUTCOME_KEY.to_vec();
    key[15] = number;
    key
}

fn plan(site: &str, order: Order, stage: Stage, waits: Option<&str>) -> Plan {
    let word =
        OperatorCommand { site: site.to_owned(), number: 3, order, deadline_unix_ms: 1_700_000_600_000 };
    let shares = [("site1".to_owned(), 400), ("site2".to_owned(), 600)].into();
    Plan { command: word, stage, weight: 250, shares, wait_text: waits.map(str::to_owned) }
}

/// The plans of sites that drain, with their stored form.
fn plans() -> [(Plan, &'static str); 4] {
    [
        (
            plan("site3", Order::Run, Stage::Moving, Some("room at site1")),
            r#"{"site":"site3","number":3,"order":"goes","by_ms":1700000600000,"stage":"moving","weight":250,"shares":{"site1":400,"site2":600},"waits":"room at site1"}"#,
        ),
        (
            plan("site4", Order::Pause, Stage::Emptied, None),
            r#"{"site":"site4","number":3,"order":"held","by_ms":1700000600000,"stage":"emptied","weight":250,"shares":{"site1":400,"site2":600}}"#,
        ),
        (
            plan("site5", Order::Expedite, Stage::Drained, None),
            r#"{"site":"site5","number":3,"order":"hurried","by_ms":1700000600000,"stage":"retired","weight":250,"shares":{"site1":400,"site2":600}}"#,
        ),
        (
            plan("site6", Order::Cancel, Stage::Restored, None),
            r#"{"site":"site6","number":3,"order":"taken_back","by_ms":1700000600000,"stage":"back","weight":250,"shares":{"site1":400,"site2":600}}"#,
        ),
    ]
}

/// The records of the first segment, all as literals.
fn first_batch() -> Batch {
    let mut batch = Batch::default();
    let mut put = |space, key: &[u8], value: &[u8]| batch.put(space, key, value, None);
    put(1, b"", IDENTITY.as_bytes());
    put(2, b"", b"7");
    put(2, b"s-a", ENTRY_A.as_bytes());
    put(2, b"s-b", ENTRY_B.as_bytes());
    put(2, b"s-c", b"removed by the second segment");
    put(3, b"2", PRIMARY.as_bytes());
    put(4, b"2", HOME.as_bytes());
    put(5, b"", PACES.as_bytes());
    put(8, b"zones", b"\0\0\0\0\0\0\x01\x01");
    put(8, b"splits", b"\0\0\0\0\0\0\x01\x02");
    put(9, b"zones", b"\0\0\0\0\0\0\x01\x03");
    put(9, b"retire", b"\0\0\0\0\0\0\x01\x04");
    for (plan, stored) in plans() {
        put(10, plan.command.site.as_bytes(), stored.as_bytes());
    }
    for (number, _, stored) in outcomes() {
        batch.put(6, &outcome_key(number), stored, Some(EXPIRES_AT));
    }
    batch.put(6, &outcome_key(99), b"N", Some(WRITTEN_AT + SECOND));
    batch.put(7, &OUTCOME_KEY[..8], &(WRITTEN_AT + 5 * SECOND).to_be_bytes(), Some(EXPIRES_AT));
    batch
}

/// The last segment raises a term and removes a member.
fn second_batch() -> Batch {
    let mut batch = Batch::default();
    batch.put(8, b"zones", b"\0\0\0\0\0\0\x01\x05", None);
    batch.remove(2, b"s-c");
    batch
}

fn stored(name: &str) -> (Snapshot, Folder) {
    let folder = Folder::copy_of_fixture(name);
    let (snapshot, found) =
        Store::read(Disk::open_read_only(&folder.0), LIMITS, WRITTEN_AT + 2 * SECOND).unwrap();
    assert!(found.damage.is_empty() && found.torn_bytes == 0);
    (snapshot, folder)
}

fn warm_state() -> StateSnapshot {
    let entries = [("s-a".to_owned(), ENTRY_A.to_owned()), ("s-b".to_owned(), ENTRY_B.to_owned())];
    StateSnapshot {
        revision: Some(7),
        members: entries.into(),
        primaries: [(2, KnownPrimary { member: "s-b".to_owned(), confirmed_at: WRITTEN_AT - SECOND })].into(),
        home_sites: [(2, "site1".to_owned())].into(),
        service_times: [("read".to_owned(), ServiceTime { median: 1500, p90: 9000 })].into(),
        concurrency_limits: [("s-a".to_owned(), 3), ("s-b".to_owned(), -1)].into(),
    }
}

#[test]
fn store_check_finds_the_stored_data_whole() {
    let folder = Folder::copy_of_fixture("check");
    let expected = "3 segments, 3 records, 0 bytes of a torn end\n";
    assert_eq!(tool("check", &folder.0), (true, expected.to_owned()));
}

#[test]
fn store_dump_prints_the_stored_records_line_by_line() {
    let folder = Folder::copy_of_fixture("dump");
    let (succeeded, lines) = tool("dump", &folder.0);
    assert!(succeeded, "{lines}");
    assert_eq!(lines, include_str!("fixtures/stored_data/dump.txt"));
}

#[test]
fn store_compact_keeps_every_stored_record() {
    let folder = Folder::copy_of_fixture("compact");
    let (succeeded, said) = tool("compact", &folder.0);
    assert!(succeeded, "{said}");
    assert_eq!(tool("dump", &folder.0).1, include_str!("fixtures/stored_data/dump.txt"));
}

#[test]
fn the_store_writes_the_same_segments_byte_for_byte() {
    let _alone = STARTS_PROGRAMS.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = Folder::empty("written");
    let disk = Disk::open(&folder.0).unwrap();
    let (mut store, _) = Store::open(disk, LIMITS, WRITTEN_AT).unwrap();
    store.commit(WRITTEN_AT, vec![first_batch()]).unwrap();
    store.compact().unwrap();
    drop(store);
    let (mut store, _) = Store::open(Disk::open(&folder.0).unwrap(), LIMITS, WRITTEN_AT + SECOND).unwrap();
    store.commit(WRITTEN_AT + SECOND, vec![second_batch()]).unwrap();
    drop(store);
    assert!(segments(&folder.0) == segments(&fixture()), "the segments differ from the fixture's");
}

#[test]
fn each_namespace_number_stands_for_the_same_kind_of_record() {
    let lists = [
        namespace::IDENTITY,
        namespace::ENDPOINT_LIST,
        namespace::PRIMARIES,
        namespace::HOME_SITES,
        namespace::SERVICE_TIMES,
    ];
    assert_eq!(lists, [1, 2, 3, 4, 5]);
    let others = [
        namespace::OUTCOME_LOG,
        namespace::OUTCOME_LOG_PROMISES,
        namespace::GRANTED_TERMS,
        namespace::ACCEPTED_TERMS,
        namespace::SITE_DRAINS,
    ];
    assert_eq!(others, [6, 7, 8, 9, 10]);
}

#[test]
fn the_stored_warm_start_records_are_restored_as_these_values() {
    let (snapshot, _folder) = stored("recall");
    let restored = restore("n0", WRITTEN_AT + 2 * SECOND, snapshot.entries()).unwrap();
    assert_eq!(
        restored,
        RestoredState {
            snapshot: warm_state(),
            newest_confirmation_age: Some(3 * SECOND),
            unusable_records: 0
        }
    );
}

#[test]
fn warm_start_writes_the_same_records() {
    let changes = SavedState::new("n0", []).changes(WRITTEN_AT, warm_state());
    let record = |namespace, key: &str, value: &str| Change {
        namespace,
        key: key.as_bytes().to_vec(),
        value: Some(value.as_bytes().to_vec()),
    };
    let expected = vec![
        record(1, "", IDENTITY),
        record(2, "", "7"),
        record(2, "s-a", ENTRY_A),
        record(2, "s-b", ENTRY_B),
        record(3, "2", PRIMARY),
        record(4, "2", HOME),
        record(5, "", PACES),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn the_stored_outcomes_are_read_and_written_in_the_same_form() {
    let (snapshot, _folder) = stored("outcomes");
    let origin = Origin { site: "site1".to_owned(), instance: "n5".to_owned(), incarnation: 10 };
    for (number, fate, form) in outcomes() {
        let stored_key = outcome_key(number);
        let stored_value = snapshot.get(6, &stored_key).unwrap();
        let expected =
            RecordKey { incarnation: 0x0102_0304_0506_0708, origin: origin.clone(), number: number.into() };
        assert_eq!(decode_key(&stored_key), Some(expected));
        assert_eq!(decode_outcome(&stored_value), fate);
        assert_eq!(encode_key(0x0102_0304_0506_0708, &origin, number.into()), stored_key);
        let borrowed = match &fate {
            Outcome::Served(bytes) => Outcome::Served(bytes.as_slice()),
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after: *retry_after },
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Failed | Outcome::Unknown => Outcome::Failed,
        };
        assert_eq!(encode_outcome(&borrowed), form);
    }
    assert_eq!(snapshot.namespace_entries(6).count(), 5, "the expired one is gone");
}

#[test]
fn the_stored_plans_of_draining_sites_are_read_and_written_in_the_same_form() {
    let (snapshot, _folder) = stored("plans");
    for (plan, form) in plans() {
        let body = snapshot.get(10, plan.command.site.as_bytes()).unwrap();
        assert_eq!(Plan::decode(&body).unwrap(), plan);
        assert_eq!(String::from_utf8(plan.encode()).unwrap(), form);
    }
    assert_eq!(snapshot.namespace_entries(10).count(), 4);
}
