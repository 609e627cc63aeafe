//! Which writes a disk that is slow or gone is given.

use aldermill_store::{DiskCircuitBreaker, DiskState};

#[test]
fn a_disk_that_does_not_keep_up_is_given_nothing_until_one_write_gets_through() {
    const S: i64 = 1_000_000;
    let mut breaker = DiskCircuitBreaker::new(S / 10, 3);
    assert!((0..3).all(|_| breaker.admit_write(0, false)));
    assert!(!breaker.admit_write(0, true), "more than may wait");
    breaker.write_confirmed(S / 100);
    assert_eq!(breaker.state(), DiskState::Healthy);
    breaker.write_confirmed(S / 12);
    // Late, but in time: only what must be kept.
    assert_eq!((breaker.state(), breaker.admit_write(S / 12, false)), (DiskState::Slow, false));
    assert!(breaker.admit_write(S / 12, true));
    assert!(!breaker.check_timeout(S / 10) && breaker.timeout_at().is_some());
    assert!(breaker.check_timeout(S / 5));
    assert_eq!(breaker.state(), DiskState::Unavailable { until: S / 5 + S });
    assert!(!breaker.admit_write(S, true));
    // One write tries, and each failure makes the next rest longer.
    assert!(breaker.admit_write(2 * S, true) && !breaker.admit_write(2 * S, true));
    breaker.write_failed(2 * S);
    assert_eq!(breaker.state(), DiskState::Unavailable { until: 4 * S });
    assert!(breaker.admit_write(5 * S, true));
    breaker.write_confirmed(5 * S);
    assert_eq!(breaker.state(), DiskState::Healthy);
    assert!(breaker.admit_write(5 * S, false));
}
