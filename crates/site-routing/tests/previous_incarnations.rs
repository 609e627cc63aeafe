//! Recording promises and outcome records of previous incarnations, and the answers that a later incarnation
//! derives from them.

use aldermill_site_routing::records::{RecordKey, decode_key, decode_outcome, encode_key, encode_outcome};
use aldermill_site_routing::{
    BootId, BootInstant, Origin, Outcome, PreviousIncarnations, PromiseEnd, PromiseRecord, PromiseScope,
    RecordingPromise, StoredPromises,
};

/// Returns the sender of all requests.
fn origin() -> Origin {
    Origin { site: "north".into(), instance: "n1".into(), incarnation: 9 }
}

#[test]
fn records_are_read_back_as_written_and_unreadable_ones_count_as_failed() {
    let decoded_key = decode_key(&encode_key(7, &origin(), 3));
    assert_eq!(decoded_key, Some(RecordKey { incarnation: 7, origin: origin(), number: 3 }));
    assert!(decode_key(b"short").is_none() && decode_key(&[255; 40]).is_none());
    let outcomes = [
        Outcome::InFlight,
        Outcome::NeverAccepted,
        Outcome::Rejected { retry_after: 5 },
        Outcome::Served(&b"v"[..]),
    ];
    for outcome in outcomes {
        let decoded = decode_outcome(&encode_outcome(&outcome));
        assert_eq!(format!("{decoded:?}"), format!("{outcome:?}").replace("b\"v\"", "[118]"));
    }
    assert_eq!(decode_outcome(b"?"), Outcome::Failed);
    assert_eq!(decode_outcome(b""), Outcome::Failed);
}

#[test]
fn a_promise_binds_until_its_end_even_if_its_write_was_never_confirmed() {
    let mut promise = RecordingPromise::new(PromiseScope::Timed);
    assert!(promise.permits_unrecorded(1));
    let until = promise.renew(10).expect("the first promise is due");
    assert!(!promise.permits_unrecorded(11), "the pending promise may be on disk already");
    assert_eq!(promise.renew(11), None);
    promise.resolve_pending();
    assert_eq!(promise.renew(11), None);
    assert!(!promise.permits_unrecorded(until) && promise.permits_unrecorded(until + 1));
    let next_until = promise.renew(until - 1).expect("the promise is due for renewal");
    promise.resolve_pending();
    assert!(!promise.permits_unrecorded(next_until) && promise.permits_unrecorded(next_until + 1));
}

#[test]
fn never_accepted_is_answered_only_if_a_promise_held_to_the_end() {
    let mut previous = PreviousIncarnations::<()>::default();
    previous.add_record(7, origin(), 3, Outcome::InFlight);
    previous.add_record(7, origin(), 4, Outcome::Served(()));
    previous.add_promise(100, 7, 100);
    previous.add_promise(101, 8, 100);
    let answers = [(3, 7), (4, 7), (5, 7), (5, 8), (5, 9)]
        .map(|(number, incarnation)| previous.query(&origin(), number, incarnation));
    assert_eq!(
        answers,
        [Outcome::Failed, Outcome::Served(()), Outcome::NeverAccepted, Outcome::Unknown, Outcome::Unknown]
    );
}

#[test]
fn no_promise_is_made_while_an_unrecorded_request_may_be_asked_about() {
    let mut promise = RecordingPromise::default();
    assert!(promise.permits_unrecorded(10));
    promise.accepted_unrecorded(8_000_000);
    promise.accepted_unrecorded(20);
    assert_eq!(promise.renew(7_999_999), None);
    assert!(promise.renew(8_000_000).is_some());
}

#[test]
fn a_promise_proves_nothing_if_the_wall_clock_was_set_back() {
    let mut previous = PreviousIncarnations::<()>::default();
    let hour = 3_600_000_000;
    previous.add_promise(100, 7, hour);
    assert_eq!(previous.query(&origin(), 5, 7), Outcome::Unknown);
}

/// Guards against a promise being considered kept after it had ended. Without a clock that both incarnations
/// share, a later incarnation cannot tell whether a promise ended before the earlier incarnation did. After
/// the wall clock was set back, a later incarnation considered an ended promise kept, and answered "never
/// accepted" about a request that had run.
#[test]
fn a_promise_without_a_shared_clock_binds_for_the_whole_incarnation() {
    let mut promise = RecordingPromise::default();
    assert!(promise.permits_unrecorded(1), "no promise was made yet");
    let until = promise.renew(10).expect("the first promise is due");
    promise.resolve_pending();
    assert!(!promise.permits_unrecorded(until + 1) && !promise.permits_unrecorded(until + 3_600_000_000));
    assert!(promise.renew(until - 1).is_some(), "the promise is due for renewal");
}

/// One second in microseconds.
const SECOND: i64 = 1_000_000;
const BOOT: BootId = BootId([1; 16]);

/// Returns whether a promise with these records counts as kept when it is read 100 s after the boot [`BOOT`].
fn is_kept(records: &[PromiseRecord]) -> bool {
    let mut promises = StoredPromises::default();
    records.iter().for_each(|&record| promises.add(7, record));
    let now = BootInstant { boot: BOOT, at: 100 * SECOND };
    promises.kept(Some(now)).any(|(incarnation, _)| incarnation == 7)
}

#[test]
fn a_timed_promise_counts_as_kept_only_on_the_clock_of_the_same_boot() {
    let until = PromiseRecord::Until(SECOND);
    let end = |boot, at| PromiseRecord::End(PromiseEnd::After(BootInstant { boot, at }));
    assert!(is_kept(&[until, end(BOOT, 100 * SECOND)]) && is_kept(&[until, end(BOOT, 105 * SECOND)]));
    assert!(
        !is_kept(&[until, end(BOOT, 100 * SECOND - 1)]),
        "the promise had ended, whatever the wall clock shows"
    );
    assert!(
        !is_kept(&[until, end(BOOT, 105 * SECOND + 1)]),
        "a promise lasts 5 s, so none can end this late"
    );
    assert!(
        !is_kept(&[until, end(BootId([2; 16]), 102 * SECOND)]),
        "clocks of different boots cannot be compared"
    );
    assert!(is_kept(&[until, PromiseRecord::End(PromiseEnd::WithIncarnation)]));
    assert!(!is_kept(&[until]), "stored by a version that ends promises by the wall clock alone");
    assert!(!is_kept(&[end(BOOT, 102 * SECOND)]));
}

#[test]
fn without_a_boot_clock_only_promises_for_a_whole_incarnation_count() {
    let mut promises = StoredPromises::default();
    let end = PromiseEnd::After(BootInstant { boot: BOOT, at: 102 * SECOND });
    for (incarnation, end) in [(7, end), (8, PromiseEnd::WithIncarnation)] {
        promises.add(incarnation, PromiseRecord::Until(SECOND));
        promises.add(incarnation, PromiseRecord::End(end));
    }
    assert_eq!(promises.kept(None).collect::<Vec<_>>(), [(8, SECOND)]);
}
