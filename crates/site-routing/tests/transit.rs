//! Bounds on the time that requests are in transit.

use aldermill_site_routing::{AnnouncementEcho, AnnouncementTimes, Micros, StatedTimes};

/// One millisecond in microseconds.
const MS: Micros = 1_000;
/// The usual delay of the link, in microseconds.
const ONE_WAY_DELAY: Micros = 10 * MS;

fn stated() -> StatedTimes {
    StatedTimes { timeout: 2_000 * MS, one_way_delay: ONE_WAY_DELAY, earlier_attempt_age: Some(300 * MS) }
}

/// Returns the bound for a request that is sent 100 ms after the announcement arrived, and itself takes `transit`.
fn max_transit(transit: Micros) -> Micros {
    let mut times = AnnouncementTimes::default();
    for at in 0..5 {
        times.announce(at * 500 * MS);
    }
    let number = times.announce(2_500 * MS);
    let sent_at = 2_500 * MS + ONE_WAY_DELAY + 100 * MS;
    let echo = AnnouncementEcho { number, age: 100 * MS };
    times.max_transit(sent_at + transit, Some(echo)).expect("the sender states an announcement")
}

#[test]
fn the_bound_is_the_transit_of_the_request_and_of_the_announcement() {
    assert_eq!(max_transit(ONE_WAY_DELAY), 2 * ONE_WAY_DELAY);
    assert_eq!(max_transit(700 * MS), 700 * MS + ONE_WAY_DELAY);
}

/// Guards against an attempt after the deduplication window, or after the deadline, of a request that a link or a
/// stopped process held up.
#[test]
fn what_a_transit_took_beyond_the_usual_shortens_the_timeout_and_ages_the_attempt() {
    let usual = stated().on_arrival(Some(max_transit(ONE_WAY_DELAY)), ONE_WAY_DELAY);
    assert_eq!(usual.timeout, stated().timeout);
    assert!(usual.earlier_attempt_age >= Some(300 * MS + ONE_WAY_DELAY), "{usual:?}");
    // The receiver's own estimate of the delay has grown with the transit, and does not count.
    let held_up = stated().on_arrival(Some(max_transit(700 * MS)), 350 * MS);
    assert_eq!(held_up.timeout, stated().timeout - 690 * MS);
    assert!(held_up.earlier_attempt_age >= Some(1_000 * MS), "{held_up:?}");
}

/// Guards against a request that is taken for a fresh one when its announcement is forgotten or was never sent.
#[test]
fn a_request_that_names_an_unknown_announcement_has_no_time_left() {
    let mut times = AnnouncementTimes::default();
    let forgotten = times.announce(0);
    for _ in 0..4096 {
        times.announce(100_000 * MS);
    }
    for number in [0, forgotten, 5_000] {
        let transit = times.max_transit(100_000 * MS, Some(AnnouncementEcho { number, age: 0 }));
        assert!(stated().on_arrival(transit, ONE_WAY_DELAY).timeout < 0, "{number}");
    }
}

/// A gateway of an earlier version states no announcement: its estimate of the way counts, as before.
#[test]
fn without_a_stated_announcement_the_usual_delay_counts() {
    let mut times = AnnouncementTimes::default();
    times.announce(0);
    assert_eq!(times.max_transit(9_000 * MS, None), None);
    let arrived = stated().on_arrival(None, ONE_WAY_DELAY);
    assert_eq!(arrived.timeout, stated().timeout);
    assert_eq!(arrived.earlier_attempt_age, Some(300 * MS + ONE_WAY_DELAY));
}
