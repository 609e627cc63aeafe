//! What an earlier start promised and kept.

use aldermill_site_routing::previous_incarnations::{key, read_key, read_value, value};
use aldermill_site_routing::{Origin, Outcome, PreviousIncarnations, RecordingPromise};

fn origin() -> Origin {
    Origin { site: "north".into(), instance: "n1".into(), start: 9 }
}

#[test]
fn records_come_back_as_they_were_and_others_say_nothing() {
    let read = read_key(&key(7, &origin(), 3));
    assert_eq!(read, Some((7, origin(), 3)));
    assert!(read_key(b"short").is_none() && read_key(&[255; 40]).is_none());
    let fates = [
        Outcome::InFlight,
        Outcome::NeverAccepted,
        Outcome::Rejected { retry_after: 5 },
        Outcome::Served(&b"v"[..]),
    ];
    for fate in fates {
        let back = read_value(&value(&fate));
        assert_eq!(format!("{back:?}"), format!("{fate:?}").replace("b\"v\"", "[118]"));
    }
    assert_eq!(read_value(b"?"), Outcome::Failed);
    assert_eq!(read_value(b""), Outcome::Failed);
}

#[test]
fn a_promise_binds_until_it_is_over_also_when_nobody_knows_whether_it_was_written() {
    let mut promise = RecordingPromise::default();
    assert!(promise.lets_go_without(1));
    let until = promise.renew(10).expect("due");
    assert!(!promise.lets_go_without(11), "it may be on the disk already");
    assert_eq!(promise.renew(11), None);
    promise.settled();
    assert_eq!(promise.renew(11), None);
    assert!(!promise.lets_go_without(until) && promise.lets_go_without(until + 1));
    let next = promise.renew(until - 1).expect("due again");
    promise.settled();
    assert!(!promise.lets_go_without(next) && promise.lets_go_without(next + 1));
}

#[test]
fn never_taken_is_said_only_while_the_promise_held() {
    let mut earlier = PreviousIncarnations::<()>::default();
    earlier.record(7, origin(), 3, Outcome::InFlight);
    earlier.record(7, origin(), 4, Outcome::Served(()));
    earlier.promised(100, 7, 100);
    earlier.promised(101, 8, 100);
    let asked =
        [(3, 7), (4, 7), (5, 7), (5, 8), (5, 9)].map(|(number, start)| earlier.ask(&origin(), number, start));
    assert_eq!(
        asked,
        [Outcome::Failed, Outcome::Served(()), Outcome::NeverAccepted, Outcome::Unknown, Outcome::Unknown]
    );
}

#[test]
fn nothing_is_promised_while_somebody_may_ask_about_what_was_taken_without_a_record() {
    let mut promise = RecordingPromise::default();
    assert!(promise.lets_go_without(10));
    promise.took_without(8_000_000);
    promise.took_without(20);
    assert_eq!(promise.renew(7_999_999), None);
    assert!(promise.renew(8_000_000).is_some());
}

#[test]
fn a_promise_read_by_a_clock_that_was_set_back_proves_nothing() {
    let mut earlier = PreviousIncarnations::<()>::default();
    let hour = 3_600_000_000;
    earlier.promised(100, 7, hour);
    assert_eq!(earlier.ask(&origin(), 5, 7), Outcome::Unknown);
}
