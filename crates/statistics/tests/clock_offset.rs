//! Tests of the clock offset estimated from the reports and commits of other machines.

use aldermill_statistics::ClockOffset;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;

/// Records reports of two replicas that lag by 0.1 s, and reports and commits of a primary, all
/// from a clock that is ahead by `ahead` microseconds.
fn record_rounds(offset: &mut ClockOffset, ahead: i64, rounds: i64) {
    for now in (1..=rounds).map(|round| 10 * HOUR + round * SECOND) {
        offset.record_report(0, now + ahead - 100_000, now);
        offset.record_report(1, now + ahead - 100_000, now);
        offset.record_report(2, now + ahead - 1_000, now);
        offset.record_commit(2, now + ahead - 1_000, now - 5_000);
    }
}

/// Guards against misjudging the age of data in a process that started with a wrong wall clock, and
/// against correcting a clock that is right.
#[test]
fn a_wrong_wall_clock_is_detected_in_either_direction_and_a_right_one_is_left_alone() {
    for ahead in [-HOUR, -2 * SECOND, 0, 2 * SECOND, HOUR] {
        let mut offset = ClockOffset::default();
        record_rounds(&mut offset, ahead, 2);
        assert_eq!(offset.offset(), 0, "too few samples");
        record_rounds(&mut offset, ahead, 4);
        let estimated = offset.offset();
        assert!(
            (0..=5_000).contains(&(estimated - ahead)),
            "estimated {estimated} for {ahead}: must be 0 to 5 ms above"
        );
    }
}

/// Guards against one machine with a wrong clock, or single outliers, changing the estimate.
#[test]
fn one_machine_or_stray_samples_change_nothing() {
    let mut offset = ClockOffset::default();
    record_rounds(&mut offset, 0, 5);
    for now in (1..9).map(|round| 11 * HOUR + round * SECOND) {
        offset.record_report(7, now + HOUR, now);
        offset.record_commit(8, now - HOUR, now);
    }
    assert_eq!(offset.offset(), 0, "only one machine's clock is wrong");
    for machine in 0..3 {
        offset.record_report(machine, 99 * HOUR, 12 * HOUR);
        offset.record_commit(machine, 0, 12 * HOUR);
        record_rounds(&mut offset, 0, 1);
    }
    assert_eq!(offset.offset(), 0, "single outliers");
}

/// Guards against treating lagging replicas as machines whose clock is behind.
#[test]
fn stale_data_is_not_mistaken_for_a_slow_clock() {
    let mut offset = ClockOffset::default();
    for now in (0..9).map(|round| 10 * HOUR + round * SECOND) {
        offset.record_report(0, 9 * HOUR, now);
        offset.record_report(1, 9 * HOUR, now);
    }
    assert_eq!(offset.offset(), 0);
}
