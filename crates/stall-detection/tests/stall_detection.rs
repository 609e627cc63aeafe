//! Standstills are noticed, what came meanwhile is dated, and starts are spread.

use aldermill_stall_detection::start_jitter::{retry_delay, start_delay};
use aldermill_stall_detection::{Micros, ReceiptBounds, STALL_THRESHOLD, StallDetector};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;

fn stood_from_100_to_2600() -> StallDetector {
    let mut detector = StallDetector::new(0);
    (0..=5).for_each(|turn| detector.observe(turn * 20 * MS));
    detector.observe(2_600 * MS);
    detector
}

#[test]
fn a_loop_that_turns_never_stood_still() {
    let mut detector = StallDetector::new(0);
    (0..1000).for_each(|turn| detector.observe(turn * 20 * MS));
    assert_eq!(
        (detector.stalled_for(), detector.stalled_since(0), detector.receipt_bounds(20_000 * MS, 0, None)),
        (0, false, None)
    );
}

#[test]
fn time_lived_leaves_out_the_standstill() {
    let detector = stood_from_100_to_2600();
    assert_eq!(detector.stalled_for(), 2_500 * MS);
    assert_eq!(detector.unstalled_time(50 * MS, 2_700 * MS), 150 * MS);
    assert_eq!(detector.unstalled_time(1_000 * MS, 2_000 * MS), 0);
    assert_eq!(detector.unstalled_time(2_600 * MS, 2_700 * MS), 100 * MS);
}

#[test]
fn what_is_read_after_a_standstill_is_dated_by_the_system_else_by_the_last_look() {
    let detector = stood_from_100_to_2600();
    let now = 2_610 * MS;
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, Some(1_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 1_610 * MS })
    );
    assert_eq!(detector.receipt_bounds(now, 90 * MS, Some(5 * MS)), None, "it came after waking");
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, Some(9_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS }),
        "no older than the last look"
    );
    assert_eq!(
        detector.receipt_bounds(now, 90 * MS, None),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS })
    );
    assert_eq!(detector.receipt_bounds(now, 2_605 * MS, None), None, "it was read since");
    assert_eq!(
        detector.receipt_bounds(9_000 * MS, 90 * MS, None),
        None,
        "all that came meanwhile has long been read"
    );
    assert_eq!(
        detector.receipt_bounds(9_000 * MS, 90 * MS, Some(7_000 * MS)),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 2_000 * MS }),
        "but for what has not"
    );
}

#[test]
fn standstills_in_a_row_count_from_the_first() {
    let mut detector = stood_from_100_to_2600();
    detector.observe(2_700 * MS);
    assert_eq!(
        detector.receipt_bounds(2_710 * MS, 90 * MS, None),
        Some(ReceiptBounds { earliest: 100 * MS, latest: 100 * MS })
    );
}

#[test]
fn of_28_drivers_out_of_40_few_come_in_any_100_ms_and_all_within_the_grace() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let of = rand::seq::index::sample(&mut rng, 40, 28);
        let waits: Vec<Micros> =
            of.iter().map(|of| start_delay(&format!("n{of}"), 40, 500 * MS, &mut rng)).collect();
        let near = |&from: &Micros| waits.iter().filter(|&&at| (from..from + 100 * MS).contains(&at)).count();
        let most = waits.iter().map(near).max().unwrap();
        assert!(most <= 13, "{most} of 28 with seed {seed}");
    }
}

#[test]
fn a_lone_driver_does_not_wait_and_nobody_waits_for_long() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(start_delay("n0", 1, 500 * MS, &mut rng), 0);
    for name in ["", "gate", "n4294967296", "n7", "ü9"] {
        for drivers in [2, 40, 300] {
            let waits = start_delay(name, drivers, 500 * MS, &mut rng);
            assert!((0..=30 * MS * (drivers as Micros - 1)).contains(&waits) && waits <= 350 * MS);
        }
    }
    let tried: Vec<Micros> = (0..100).map(|_| retry_delay(1_000, &mut rng)).collect();
    assert!(tried.iter().all(|&wait| (500..=1_000).contains(&wait)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Whatever the steps of the loop: time is lived or stood, and nothing is dated into the future, before the loop
    /// last looked, or at all without a standstill.
    #[test]
    fn time_is_lived_or_stood(steps in vec(MS..400 * MS, 1..60), last in 0usize..60, told in proptest::option::of(0..9_000 * MS)) {
        let (mut detector, mut now, mut looks, mut stood) = (StallDetector::new(0), 0, vec![0], 0);
        for &step in &steps {
            now += step;
            stood += if step > STALL_THRESHOLD { step } else { 0 };
            detector.observe(now);
            looks.push(now);
        }
        prop_assert_eq!(detector.stalled_for(), stood);
        let recent = looks[looks.len().saturating_sub(20)];
        let lived = detector.unstalled_time(recent, now);
        prop_assert!((0..=now - recent).contains(&lived));
        let read = looks[last.min(looks.len() - 1)];
        if let Some(ReceiptBounds { earliest, latest }) = detector.receipt_bounds(now, read, told) {
            prop_assert!(looks.contains(&earliest) && earliest <= latest);
            prop_assert!(latest <= now && detector.stalled_since(read));
            prop_assert!(told.is_none_or(|age| latest >= now - age), "never older than the system says");
        }
    }
}
