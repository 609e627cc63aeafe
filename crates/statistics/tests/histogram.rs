//! Quantiles of durations.

use aldermill_statistics::Histogram;

/// Slow responses must not all fall into the last bin.
#[test]
fn quantiles_distinguish_durations_of_seconds() {
    let of = |took| Histogram::of(took, 4).quantile(0.5).unwrap();
    assert!(of(1_500_000) > 1_100_000 && of(6_000_000) > 4_400_000);
}
