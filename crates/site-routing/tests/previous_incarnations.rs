//! What an earlier start promised and kept.

use aldermill_site_routing::records::{RecordKey, decode_key, decode_outcome, encode_key, encode_outcome};
use aldermill_site_routing::{
    BootId, BootInstant, Origin, Outcome, PreviousIncarnations, PromiseEnd, PromiseRecord, PromiseScope,
    RecordingPromise, StoredPromises,
};

fn origin() -> Origin {
    Origin { site: "north".into(), instance: "n1".into(), incarnation: 9 }
}

#[test]
fn records_are_read_back_as_written_and_unreadable_ones_count_as_failed() {
    let read = decode_key(&encode_key(7, &origin(), 3));
    assert_eq!(read, Some(RecordKey { incarnation: 7, origin: origin(), number: 3 }));
    assert!(decode_key(b"short").is_none() && decode_key(&[255; 40]).is_none());
    let fates = [
        Outcome::InFlight,
        Outcome::NeverAccepted,
        Outcome::Rejected { retry_after: 5 },
        Outcome::Served(&b"v"[..]),
    ];
    for fate in fates {
        let back = decode_outcome(&encode_outcome(&fate));
        assert_eq!(format!("{back:?}"), format!("{fate:?}").replace("b\"v\"", "[118]"));
    }
    assert_eq!(decode_outcome(b"?"), Outcome::Failed);
    assert_eq!(decode_outcome(b""), Outcome::Failed);
}

#[test]
fn a_promise_binds_until_its_end_though_its_write_was_never_confirmed() {
    let mut promise = RecordingPromise::new(PromiseScope::Timed);
    assert!(promise.permits_unrecorded(1));
    let until = promise.renew(10).expect("due");
    assert!(!promise.permits_unrecorded(11), "it may be on the disk already");
    assert_eq!(promise.renew(11), None);
    promise.resolve_pending();
    assert_eq!(promise.renew(11), None);
    assert!(!promise.permits_unrecorded(until) && promise.permits_unrecorded(until + 1));
    let next = promise.renew(until - 1).expect("due again");
    promise.resolve_pending();
    assert!(!promise.permits_unrecorded(next) && promise.permits_unrecorded(next + 1));
}

#[test]
fn never_accepted_is_said_only_where_a_promise_held_to_the_end() {
    let mut earlier = PreviousIncarnations::<()>::default();
    earlier.add_record(7, origin(), 3, Outcome::InFlight);
    earlier.add_record(7, origin(), 4, Outcome::Served(()));
    earlier.add_promise(100, 7, 100);
    earlier.add_promise(101, 8, 100);
    let asked = [(3, 7), (4, 7), (5, 7), (5, 8), (5, 9)]
        .map(|(number, start)| earlier.query(&origin(), number, start));
    assert_eq!(
        asked,
        [Outcome::Failed, Outcome::Served(()), Outcome::NeverAccepted, Outcome::Unknown, Outcome::Unknown]
    );
}

#[test]
fn no_promise_is_given_while_an_unrecorded_request_may_be_asked_about() {
    let mut promise = RecordingPromise::default();
    assert!(promise.permits_unrecorded(10));
    promise.accepted_unrecorded(8_000_000);
    promise.accepted_unrecorded(20);
    assert_eq!(promise.renew(7_999_999), None);
    assert!(promise.renew(8_000_000).is_some());
}

#[test]
fn a_promise_read_by_a_clock_that_was_set_back_proves_nothing() {
    let mut earlier = PreviousIncarnations::<()>::default();
    let hour = 3_600_000_000;
    earlier.add_promise(100, 7, hour);
    assert_eq!(earlier.query(&origin(), 5, 7), Outcome::Unknown);
}

/// Without a clock that later incarnations read, the end of a promise cannot be told from the time before it: it was taken
/// for whole by a start under a clock set back, which said "never accepted" of what had run.
#[test]
fn a_promise_without_a_shared_clock_binds_for_the_whole_incarnation() {
    let mut promise = RecordingPromise::default();
    assert!(promise.permits_unrecorded(1), "none was given");
    let until = promise.renew(10).expect("due");
    promise.resolve_pending();
    assert!(!promise.permits_unrecorded(until + 1) && !promise.permits_unrecorded(until + 3_600_000_000));
    assert!(promise.renew(until - 1).is_some(), "due again");
}

const SECOND: i64 = 1_000_000;
const BOOT: BootId = BootId([1; 16]);

/// Whether a promise with these records, read at 100 s of this boot, counts as kept.
fn is_kept(records: &[PromiseRecord]) -> bool {
    let mut promises = StoredPromises::default();
    records.iter().for_each(|&record| promises.add(7, record));
    let now = BootInstant { boot: BOOT, at: 100 * SECOND };
    promises.kept(Some(now)).any(|(incarnation, _)| incarnation == 7)
}

#[test]
fn a_promise_counts_as_kept_only_by_the_clock_of_the_same_boot() {
    let until = PromiseRecord::Until(SECOND);
    let end = |boot, at| PromiseRecord::End(PromiseEnd::After(BootInstant { boot, at }));
    assert!(is_kept(&[until, end(BOOT, 100 * SECOND)]) && is_kept(&[until, end(BOOT, 105 * SECOND)]));
    assert!(!is_kept(&[until, end(BOOT, 100 * SECOND - 1)]), "it was over, whatever the wall clock shows");
    assert!(!is_kept(&[until, end(BOOT, 105 * SECOND + 1)]), "no such promise can have been given");
    assert!(!is_kept(&[until, end(BootId([2; 16]), 102 * SECOND)]), "another boot's clock");
    assert!(is_kept(&[until, PromiseRecord::End(PromiseEnd::WithIncarnation)]));
    assert!(!is_kept(&[until]), "stored by a version that breaks promises by the wall clock");
    assert!(!is_kept(&[end(BOOT, 102 * SECOND)]));
}

#[test]
fn without_a_boot_clock_only_promises_for_the_whole_incarnation_count() {
    let mut promises = StoredPromises::default();
    let end = PromiseEnd::After(BootInstant { boot: BOOT, at: 102 * SECOND });
    for (incarnation, end) in [(7, end), (8, PromiseEnd::WithIncarnation)] {
        promises.add(incarnation, PromiseRecord::Until(SECOND));
        promises.add(incarnation, PromiseRecord::End(end));
    }
    assert_eq!(promises.kept(None).collect::<Vec<_>>(), [(8, SECOND)]);
}
