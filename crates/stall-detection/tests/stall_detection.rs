//! Tests that stalls are detected, that the receipt of data read after a stall is bounded, and that
//! starts are spread over time.

use aldermill_stall_detection::start_jitter::{retry_delay, start_delay};
use aldermill_stall_detection::{Micros, ReceiptBounds, STALL_THRESHOLD, StallDetector};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;

fn stalled_from_100_to_2600_ms() -> StallDetector {
    let mut detector = StallDetector::new(0);
    (0..=5).for_each(|step| detector.observe(step * 20 * MS));
    detector.observe(2_600 * MS);
    detector
}

/// Guards against false positives: they would discard the measurements of a process that runs
/// normally.
#[test]
fn a_running_loop_is_never_taken_for_stalled() {
    let mut detector = StallDetector::new(0);
    (0..1000).for_each(|step| detector.observe(step * 20 * MS));
    assert_eq!(
        (
            detector.total_stalled_time(),
            detector.stalled_since(0),
            detector.receipt_bounds(20_000 * MS, 0, None)
        ),
        (0, false, None)
    );
}

/// Guards against blaming other processes for a pause of this one.
#[test]
fn unstalled_time_leaves_out_the_stall() {
    let detector = stalled_from_100_to_2600_ms();
    assert_eq!(detector.total_stalled_time(), 2_500 * MS);
    assert_eq!(detector.unstalled_time(50 * MS, 2_700 * MS), 150 * MS);
    assert_eq!(detector.unstalled_time(1_000 * MS, 2_000 * MS), 0);
    assert_eq!(detector.unstalled_time(2_600 * MS, 2_700 * MS), 100 * MS);
}

/// Guards against treating data that was received during a stall as new.
#[test]
fn bytes_read_after_a_stall_are_dated_by_the_system_or_else_by_the_last_step() {
    let detector = stalled_from_100_to_2600_ms();
    let now = 2_610 * MS;
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, Some(1_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 1_610 * MS })
    );
    assert_eq!(detector.receipt_bounds(now, 90 * MS, Some(5 * MS)), None, "received after the stall ended");
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, Some(9_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS }),
        "not received before the last step"
    );
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, None),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS })
    );
    assert_eq!(
        detector.receipt_bounds(now, 2_605 * MS, None),
        None,
        "the connection was read after the stall"
    );
    assert_eq!(
        detector.receipt_bounds(9_000 * MS, 90 * MS, None),
        None,
        "data received during the stall must have been read long ago"
    );
    assert_eq!(
        detector.receipt_bounds(9_000 * MS, 90 * MS, Some(7_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 2_000 * MS }),
        "the system reports data from the stall that was not read"
    );
}

/// Guards against dating older bytes too late because the loop ran briefly between two stalls.
#[test]
fn stalls_in_a_row_are_dated_from_the_first() {
    let mut detector = stalled_from_100_to_2600_ms();
    detector.observe(2_700 * MS);
    assert_eq!(
        detector.receipt_bounds(2_710 * MS, 90 * MS, None),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS })
    );
}

/// Guards against overloading discovery when a whole fleet restarts at once.
#[test]
fn of_28_processes_out_of_40_few_start_in_any_100_ms_and_all_within_the_grace() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let sampled = rand::seq::index::sample(&mut rng, 40, 28);
        let delays: Vec<Micros> =
            sampled.iter().map(|number| start_delay(&format!("n{number}"), 40, 500 * MS, &mut rng)).collect();
        let near =
            |&from: &Micros| delays.iter().filter(|&&at| (from..from + 100 * MS).contains(&at)).count();
        let max_starts = delays.iter().map(near).max().unwrap();
        assert!(max_starts <= 13, "{max_starts} of 28 processes start within 100 ms, seed {seed}");
    }
}

/// Guards against a needless delay for a single process, and against delays beyond the limit for
/// any form of name.
#[test]
fn a_single_process_does_not_wait_and_no_delay_exceeds_its_window() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(start_delay("n0", 1, 500 * MS, &mut rng), 0);
    for name in ["", "gate", "n4294967296", "n7", "ü9"] {
        for processes in [2, 40, 300] {
            let delay = start_delay(name, processes, 500 * MS, &mut rng);
            assert!((0..=30 * MS * (processes as Micros - 1)).contains(&delay) && delay <= 350 * MS);
        }
    }
    let retry_delays: Vec<Micros> = (0..100).map(|_| retry_delay(1_000, &mut rng)).collect();
    assert!(retry_delays.iter().all(|&delay| (500..=1_000).contains(&delay)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Checks, for random intervals between runs of the loop, that all time is either stalled or
    /// unstalled, and that no bytes are dated into the future or before the loop last ran, and none
    /// at all without a stall.
    #[test]
    fn time_is_stalled_or_unstalled_and_no_receipt_is_in_the_future(intervals in vec(MS..400 * MS, 1..60), last_read_index in 0usize..60, age in proptest::option::of(0..9_000 * MS)) {
        let (mut detector, mut now, mut observed_at, mut stalled) = (StallDetector::new(0), 0, vec![0], 0);
        for &interval in &intervals {
            now += interval;
            stalled += if interval > STALL_THRESHOLD { interval } else { 0 };
            detector.observe(now);
            observed_at.push(now);
        }
        prop_assert_eq!(detector.total_stalled_time(), stalled);
        let since = observed_at[observed_at.len().saturating_sub(20)];
        let unstalled = detector.unstalled_time(since, now);
        prop_assert!((0..=now - since).contains(&unstalled));
        let last_read_at = observed_at[last_read_index.min(observed_at.len() - 1)];
        if let Some(ReceiptBounds { earliest, latest }) = detector.receipt_bounds(now, last_read_at, age) {
            prop_assert!(observed_at.contains(&earliest) && earliest <= latest);
            prop_assert!(latest <= now && detector.stalled_since(last_read_at));
            prop_assert!(age.is_none_or(|age| latest >= now - age), "not dated before the time reported by the system");
        }
    }
}
