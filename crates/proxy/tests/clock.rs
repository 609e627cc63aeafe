//! The clocks of the process, on a machine that is suspended and under a wall clock that is stepped.

#[path = "../src/lifecycle/clock.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod clock;

use clock::{Clock, UnstalledClock, duration, suspended_time, unix_now};

use std::sync::atomic::{AtomicI64, Ordering};

static SUSPENDED: AtomicI64 = AtomicI64::new(7_000_000);

/// Deadlines must not outlive a suspension, and nobody is blamed for one.
#[test]
fn a_suspension_advances_the_routers_clock_and_counts_as_a_stall() {
    let clock = Clock::start(unix_now, Some(|| SUSPENDED.load(Ordering::SeqCst)));
    let unstalled = UnstalledClock::start(clock);
    let (before, began) = (clock.now(), unstalled.now());
    let due = clock.instant(before + 60_000_000);
    SUSPENDED.fetch_add(40_000_000, Ordering::SeqCst);
    assert!((40_000_000..50_000_000).contains(&(clock.now() - before)));
    assert!(due.saturating_duration_since(clock.instant(before + 60_000_000)) >= duration(39_000_000));
    assert!(
        (40_000_000..50_000_000).contains(&unstalled.stalled_for()) && unstalled.now() - began < 10_000_000
    );
    // The two conversions are inverse.
    let at = clock.now() + 5_000_000;
    assert!((clock.at(clock.instant(at)) - at).abs() < 10);
}

/// A suspension that shrinks would set the clock back.
#[test]
fn the_suspended_time_reported_by_the_system_never_decreases() {
    let first = suspended_time();
    assert!(first > -1_000 && suspended_time() >= first - 1_000);
}

static STEP: AtomicI64 = AtomicI64::new(0);

/// Timeouts must neither fire early nor hang when the wall clock is set.
#[test]
fn a_stepped_wall_clock_moves_neither_the_routers_clock_nor_unstalled_time() {
    const HOUR: i64 = 3_600_000_000;
    let clock = Clock::start(|| unix_now() + STEP.load(Ordering::SeqCst), None);
    let unstalled = UnstalledClock::start(clock);
    for step in [-HOUR, 2_000_000, HOUR, -2_000_000] {
        let (router, wall, before) = (clock.now(), clock.wall(), unstalled.now());
        STEP.fetch_add(step, Ordering::SeqCst);
        assert!((0..1_000_000).contains(&(clock.now() - router)));
        assert!((0..1_000_000).contains(&(unstalled.now() - before)));
        assert!((0..1_000_000).contains(&(clock.wall() - wall - step)));
    }
}
