//! Tests of the proxy's clocks on a machine that is suspended and with a wall clock that is stepped.

#[path = "../src/lifecycle/clock.rs"]
#[allow(dead_code, reason = "the proxy uses the other items")]
mod clock;

use clock::{Clock, UnstalledClock, duration, suspended_time, unix_now};

use std::sync::atomic::{AtomicI64, Ordering};

/// Time for which the simulated machine has been suspended, in microseconds.
static SUSPENDED: AtomicI64 = AtomicI64::new(7_000_000);

/// A suspension must not extend deadlines. It must count as a stall, so that nothing else is blamed for the pause.
#[test]
fn a_suspension_advances_the_routers_clock_and_counts_as_a_stall() {
    let clock = Clock::start(unix_now, Some(|| SUSPENDED.load(Ordering::SeqCst)));
    let unstalled = UnstalledClock::start(clock);
    let (router_before, unstalled_before) = (clock.now(), unstalled.now());
    let deadline = clock.instant(router_before + 60_000_000);
    SUSPENDED.fetch_add(40_000_000, Ordering::SeqCst);
    assert!((40_000_000..50_000_000).contains(&(clock.now() - router_before)));
    assert!(
        deadline.saturating_duration_since(clock.instant(router_before + 60_000_000)) >= duration(39_000_000)
    );
    assert!(
        (40_000_000..50_000_000).contains(&unstalled.stalled_for())
            && unstalled.now() - unstalled_before < 10_000_000
    );
    // `Clock::at` and `Clock::instant` are inverse to each other.
    let at = clock.now() + 5_000_000;
    assert!((clock.at(clock.instant(at)) - at).abs() < 10);
}

/// A decrease of the suspended time would set the proxy's clock back.
#[test]
fn the_suspended_time_reported_by_the_system_never_decreases() {
    let first = suspended_time();
    assert!(first > -1_000 && suspended_time() >= first - 1_000);
}

/// Offset of the simulated wall clock, in microseconds.
static STEP: AtomicI64 = AtomicI64::new(0);

/// Timeouts must neither fire early nor hang when the wall clock is stepped.
#[test]
fn a_stepped_wall_clock_moves_neither_the_routers_clock_nor_unstalled_time() {
    const HOUR: i64 = 3_600_000_000;
    let clock = Clock::start(|| unix_now() + STEP.load(Ordering::SeqCst), None);
    let unstalled = UnstalledClock::start(clock);
    for step in [-HOUR, 2_000_000, HOUR, -2_000_000] {
        let (router_before, wall_before, unstalled_before) = (clock.now(), clock.wall(), unstalled.now());
        STEP.fetch_add(step, Ordering::SeqCst);
        assert!((0..1_000_000).contains(&(clock.now() - router_before)));
        assert!((0..1_000_000).contains(&(unstalled.now() - unstalled_before)));
        assert!((0..1_000_000).contains(&(clock.wall() - wall_before - step)));
    }
}
