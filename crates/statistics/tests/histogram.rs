//! Tests of duration quantiles.

use aldermill_statistics::Histogram;

/// Guards against bins so narrow that responses of several seconds all fall into the last one.
#[test]
fn quantiles_distinguish_durations_of_seconds() {
    let median = |duration| Histogram::from_estimate(duration, 4).quantile(0.5).unwrap();
    assert!(median(1_500_000) > 1_100_000 && median(6_000_000) > 4_400_000);
}
