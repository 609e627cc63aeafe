//! Bounds on other machines' clock.

use aldermill_statistics::ClockOffset;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;

/// Words of replicas 0.1 s behind and of a primary, and its commits, by a clock that is ahead by so much.
fn words(offset: &mut ClockOffset, ahead: i64, rounds: i64) {
    for now in (1..=rounds).map(|round| 10 * HOUR + round * SECOND) {
        offset.record_report(0, now + ahead - 100_000, now);
        offset.record_report(1, now + ahead - 100_000, now);
        offset.record_report(2, now + ahead - 1_000, now);
        offset.record_commit(2, now + ahead - 1_000, now - 5_000);
    }
}

#[test]
fn a_wrong_clock_is_found_either_way_and_a_right_one_stays_as_it_is() {
    for ahead in [-HOUR, -2 * SECOND, 0, 2 * SECOND, HOUR] {
        let mut offset = ClockOffset::default();
        words(&mut offset, ahead, 2);
        assert_eq!(offset.offset(), 0, "too few words");
        words(&mut offset, ahead, 4);
        let found = offset.offset();
        assert!((0..=5_000).contains(&(found - ahead)), "{found} for {ahead}: never less than it is");
    }
}

#[test]
fn what_one_machine_or_a_stray_word_tells_changes_nothing() {
    let mut offset = ClockOffset::default();
    words(&mut offset, 0, 5);
    for now in (1..9).map(|round| 11 * HOUR + round * SECOND) {
        offset.record_report(7, now + HOUR, now);
        offset.record_commit(8, now - HOUR, now);
    }
    assert_eq!(offset.offset(), 0, "one machine's own clock is wrong");
    for machine in 0..3 {
        offset.record_report(machine, 99 * HOUR, 12 * HOUR);
        offset.record_commit(machine, 0, 12 * HOUR);
        words(&mut offset, 0, 1);
    }
    assert_eq!(offset.offset(), 0, "stray words");
}

#[test]
fn data_that_is_merely_old_is_no_clock_that_is_behind() {
    let mut offset = ClockOffset::default();
    for now in (0..9).map(|round| 10 * HOUR + round * SECOND) {
        offset.record_report(0, 9 * HOUR, now);
        offset.record_report(1, 9 * HOUR, now);
    }
    assert_eq!(offset.offset(), 0);
}
