//! Quantiles of durations.

use aldermill_statistics::Histogram;

#[test]
fn durations_of_seconds_are_told_apart() {
    let of = |took| Histogram::of(took, 4).quantile(0.5).unwrap();
    assert!(of(1_500_000) > 1_100_000 && of(6_000_000) > 4_400_000);
}
