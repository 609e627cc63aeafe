//! Tests of the data directory's format: data written by an earlier version is read completely, and the same bytes are
//! still written.
//!
//! `fixtures/stored_data` contains every kind of record in three segments: a compacted one, an empty one, and a log
//! after them. The test `the_store_writes_the_same_segments_byte_for_byte` shows how they were made.

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

/// Time at which the fixture was written, in microseconds since the Unix epoch.
const WRITTEN_AT: i64 = 1_700_000_000_000_000;
/// Expiry time of the fixture's outcomes and promise, in microseconds since the Unix epoch: in the year 2096.
const EXPIRES_AT: i64 = 4_000_000_000_000_000;
/// One second in microseconds.
const SECOND: i64 = 1_000_000;
const LIMITS: Limits = Limits {
    max_segment_bytes: 4 << 20,
    max_batch_bytes: 1 << 20,
    max_live_bytes: 1 << 24,
    max_log_ratio: 4,
};

const IDENTITY: &str = r#"{"name":"n0","format":1}"#;
const MEMBER_A: &str = r#"{"id":"s-a","host_port":"127.0.0.1:5401","locality":"here","cell":2,"phase":"in_service","size":1.5,"up_since_ms":1600000000000.0}"#;
const MEMBER_B: &str = r#"{"id":"s-b","host_port":"127.0.0.1:5402","locality":"there","cell":2,"phase":"terminating","size":1.0,"up_since_ms":0.0,"access":"writer"}"#;
const PRIMARY: &str = r#"{"member":"s-b","word":1699999999000000}"#;
const HOME_SITE: &str = r#""site1""#;
const SERVICE_TIMES: &str =
    r#"{"at":1700000000000000,"paces":{"read":{"usual":1500,"slow":9000}},"windows":{"s-a":3,"s-b":-1}}"#;
/// Key of an outcome: the incarnation 0x0102030405060708 that accepted the request (an earlier start), request 9, the
/// sender's incarnation 10, site and instance.
const OUTCOME_KEY: &[u8] = b"\x01\x02\x03\x04\x05\x06\x07\x08\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x0asite1\0n5";

/// Returns the path of the fixture.
fn fixture_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_data")
}

/// A temporary directory of one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn create(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("aldermill-stored-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        TempDir(path)
    }

    fn copy_of_fixture(name: &str) -> TempDir {
        let directory = TempDir::create(name);
        for (file, bytes) in segments(&fixture_path()) {
            std::fs::write(directory.0.join(file), bytes).unwrap();
        }
        directory
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the segments of a data directory by file name.
fn segments(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap());
    let named = entries.map(|entry| (entry.file_name().into_string().unwrap(), entry.path()));
    let logs = named.filter(|(name, _)| name.ends_with(".log"));
    logs.map(|(name, path)| (name, std::fs::read(path).unwrap())).collect()
}

/// Held while a test starts a program, and while a test closes a data directory and opens it again. Between fork and
/// exec a child process has its parent's descriptors, including the lock on a data directory, so that opening would
/// fail.
static PROCESS_SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Runs `aldermill store` with this command on a data directory. Returns whether it succeeded, and its output with its
/// error output.
fn run_store_command(command: &str, directory: &Path) -> (bool, String) {
    let _guard = PROCESS_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let output = Command::new(program()).args(["store", command]).arg(directory).output().unwrap();
    (output.status.success(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

/// Last byte of a request's number, the request's outcome, and the encoded outcome.
type StoredOutcome = (u8, Outcome<Vec<u8>>, &'static [u8]);

/// Returns the outcomes in the fixture.
fn outcomes() -> [StoredOutcome; 5] {
    [
        (9, Outcome::Served(b"DDDD\0\x01".to_vec()), b"HDDDD\0\x01"),
        (10, Outcome::Rejected { retry_after: 0x0203_0405 }, b"D\0\0\0\0\x02\x03\x04\x05"),
        (11, Outcome::InFlight, b"T"),
        (12, Outcome::NeverAccepted, b"N"),
        (13, Outcome::Failed, b"B"),
    ]
}

/// Returns [`OUTCOME_KEY`] with `number` as the last byte of the request number.
fn outcome_key(number: u8) -> Vec<u8> {
    let mut key = OUTCOME_KEY.to_vec();
    key[15] = number;
    key
}

/// Returns a site drain plan in which only these parts vary.
fn plan(site: &str, order: Order, stage: Stage, wait_text: Option<&str>) -> Plan {
    let operator_command =
        OperatorCommand { site: site.to_owned(), number: 3, order, deadline_unix_ms: 1_700_000_600_000 };
    let shares = [("site1".to_owned(), 400), ("site2".to_owned(), 600)].into();
    Plan { command: operator_command, stage, weight: 250, shares, wait_text: wait_text.map(str::to_owned) }
}

/// Returns the site drain plans in the fixture with their encoded form.
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

/// Returns the records of the first segment, with every value as a literal.
fn first_batch() -> Batch {
    let mut batch = Batch::default();
    let mut put = |namespace, key: &[u8], value: &[u8]| batch.put(namespace, key, value, None);
    put(1, b"", IDENTITY.as_bytes());
    put(2, b"", b"7");
    put(2, b"s-a", MEMBER_A.as_bytes());
    put(2, b"s-b", MEMBER_B.as_bytes());
    put(2, b"s-c", b"removed by the second segment");
    put(3, b"2", PRIMARY.as_bytes());
    put(4, b"2", HOME_SITE.as_bytes());
    put(5, b"", SERVICE_TIMES.as_bytes());
    put(8, b"zones", b"\0\0\0\0\0\0\x01\x01");
    put(8, b"splits", b"\0\0\0\0\0\0\x01\x02");
    put(9, b"zones", b"\0\0\0\0\0\0\x01\x03");
    put(9, b"retire", b"\0\0\0\0\0\0\x01\x04");
    for (plan, encoded) in plans() {
        put(10, plan.command.site.as_bytes(), encoded.as_bytes());
    }
    for (number, _, encoded) in outcomes() {
        batch.put(6, &outcome_key(number), encoded, Some(EXPIRES_AT));
    }
    batch.put(6, &outcome_key(99), b"N", Some(WRITTEN_AT + SECOND));
    batch.put(7, &OUTCOME_KEY[..8], &(WRITTEN_AT + 5 * SECOND).to_be_bytes(), Some(EXPIRES_AT));
    batch
}

/// Returns the records of the last segment, which raise a term and remove a member.
fn second_batch() -> Batch {
    let mut batch = Batch::default();
    batch.put(8, b"zones", b"\0\0\0\0\0\0\x01\x05", None);
    batch.remove(2, b"s-c");
    batch
}

/// Reads a copy of the fixture as of two seconds after it was written, and asserts that it is undamaged.
fn open_fixture(name: &str) -> (Snapshot, TempDir) {
    let directory = TempDir::copy_of_fixture(name);
    let (snapshot, report) =
        Store::read(Disk::open_read_only(&directory.0), LIMITS, WRITTEN_AT + 2 * SECOND).unwrap();
    assert!(report.damage.is_empty() && report.torn_bytes == 0);
    (snapshot, directory)
}

/// Returns the warm-start state that the fixture contains.
fn warm_start_snapshot() -> StateSnapshot {
    let entries = [("s-a".to_owned(), MEMBER_A.to_owned()), ("s-b".to_owned(), MEMBER_B.to_owned())];
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
    let directory = TempDir::copy_of_fixture("check");
    let expected = "3 segments, 3 records, 0 bytes of a torn end\n";
    assert_eq!(run_store_command("check", &directory.0), (true, expected.to_owned()));
}

#[test]
fn store_dump_prints_the_stored_records_line_by_line() {
    let directory = TempDir::copy_of_fixture("dump");
    let (succeeded, lines) = run_store_command("dump", &directory.0);
    assert!(succeeded, "{lines}");
    assert_eq!(lines, include_str!("fixtures/stored_data/dump.txt"));
}

#[test]
fn store_compact_keeps_every_stored_record() {
    let directory = TempDir::copy_of_fixture("compact");
    let (succeeded, output) = run_store_command("compact", &directory.0);
    assert!(succeeded, "{output}");
    assert_eq!(run_store_command("dump", &directory.0).1, include_str!("fixtures/stored_data/dump.txt"));
}

#[test]
fn the_store_writes_the_same_segments_byte_for_byte() {
    let _guard = PROCESS_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let directory = TempDir::create("written");
    let disk = Disk::open(&directory.0).unwrap();
    let (mut store, _) = Store::open(disk, LIMITS, WRITTEN_AT).unwrap();
    store.commit(WRITTEN_AT, vec![first_batch()]).unwrap();
    store.compact().unwrap();
    drop(store);
    let (mut store, _) = Store::open(Disk::open(&directory.0).unwrap(), LIMITS, WRITTEN_AT + SECOND).unwrap();
    store.commit(WRITTEN_AT + SECOND, vec![second_batch()]).unwrap();
    drop(store);
    assert!(segments(&directory.0) == segments(&fixture_path()), "the segments differ from the fixture's");
}

#[test]
fn each_namespace_number_stands_for_the_same_kind_of_record() {
    let warm_start_namespaces = [
        namespace::IDENTITY,
        namespace::ENDPOINT_LIST,
        namespace::PRIMARIES,
        namespace::HOME_SITES,
        namespace::SERVICE_TIMES,
    ];
    assert_eq!(warm_start_namespaces, [1, 2, 3, 4, 5]);
    let other_namespaces = [
        namespace::OUTCOME_LOG,
        namespace::OUTCOME_LOG_PROMISES,
        namespace::GRANTED_TERMS,
        namespace::ACCEPTED_TERMS,
        namespace::SITE_DRAINS,
    ];
    assert_eq!(other_namespaces, [6, 7, 8, 9, 10]);
}

#[test]
fn the_stored_warm_start_records_are_restored_as_these_values() {
    let (snapshot, _directory) = open_fixture("restore");
    let restored = restore("n0", WRITTEN_AT + 2 * SECOND, snapshot.entries()).unwrap();
    assert_eq!(
        restored,
        RestoredState {
            snapshot: warm_start_snapshot(),
            newest_confirmation_age: Some(3 * SECOND),
            unusable_records: 0
        }
    );
}

#[test]
fn warm_start_writes_the_same_records() {
    let changes = SavedState::new("n0", []).changes(WRITTEN_AT, warm_start_snapshot());
    let record = |namespace, key: &str, value: &str| Change {
        namespace,
        key: key.as_bytes().to_vec(),
        value: Some(value.as_bytes().to_vec()),
    };
    let expected = vec![
        record(1, "", IDENTITY),
        record(2, "", "7"),
        record(2, "s-a", MEMBER_A),
        record(2, "s-b", MEMBER_B),
        record(3, "2", PRIMARY),
        record(4, "2", HOME_SITE),
        record(5, "", SERVICE_TIMES),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn the_stored_outcomes_are_read_and_written_in_the_same_form() {
    let (snapshot, _directory) = open_fixture("outcomes");
    let origin = Origin { site: "site1".to_owned(), instance: "n5".to_owned(), incarnation: 10 };
    for (number, outcome, encoded) in outcomes() {
        let stored_key = outcome_key(number);
        let stored_value = snapshot.get(6, &stored_key).unwrap();
        let expected =
            RecordKey { incarnation: 0x0102_0304_0506_0708, origin: origin.clone(), number: number.into() };
        assert_eq!(decode_key(&stored_key), Some(expected));
        assert_eq!(decode_outcome(&stored_value), outcome);
        assert_eq!(encode_key(0x0102_0304_0506_0708, &origin, number.into()), stored_key);
        let borrowed = match &outcome {
            Outcome::Served(bytes) => Outcome::Served(bytes.as_slice()),
            Outcome::Rejected { retry_after } => Outcome::Rejected { retry_after: *retry_after },
            Outcome::NeverAccepted => Outcome::NeverAccepted,
            Outcome::InFlight => Outcome::InFlight,
            Outcome::Failed | Outcome::Unknown => Outcome::Failed,
        };
        assert_eq!(encode_outcome(&borrowed), encoded);
    }
    assert_eq!(snapshot.namespace_entries(6).count(), 5, "the expired outcome is left out");
}

#[test]
fn the_stored_plans_of_draining_sites_are_read_and_written_in_the_same_form() {
    let (snapshot, _directory) = open_fixture("plans");
    for (plan, encoded) in plans() {
        let stored_value = snapshot.get(10, plan.command.site.as_bytes()).unwrap();
        assert_eq!(Plan::decode(&stored_value).unwrap(), plan);
        assert_eq!(String::from_utf8(plan.encode()).unwrap(), encoded);
    }
    assert_eq!(snapshot.namespace_entries(10).count(), 4);
}
