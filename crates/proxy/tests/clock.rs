//! The clocks of the program, under a machine that was suspended and under a wall clock that is stepped.

#[path = "../src/lifecycle/clock.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod clock;

use clock::{Clock, UnstalledClock, duration, suspended, unix_now};

use std::sync::atomic::{AtomicI64, Ordering};

static SUSPENDED: AtomicI64 = AtomicI64::new(7_000_000);

#[test]
fn a_suspension_is_time_that_passed_and_a_standstill() {
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
    // Both ways are each other's.
    let at = clock.now() + 5_000_000;
    assert!((clock.at(clock.instant(at)) - at).abs() < 10);
}

#[test]
fn the_systems_word_on_suspensions_never_falls() {
    let first = suspended();
    assert!(first > -1_000 && suspended() >= first - 1_000);
}

static STEP: AtomicI64 = AtomicI64::new(0);

#[test]
fn a_stepped_wall_clock_moves_neither_the_routers_clock_nor_unstalled_time() {
    const HOUR: i64 = 3_600_000_000;
    let clock = Clock::start(|| unix_now() + STEP.load(Ordering::SeqCst), None);
    let unstalled = UnstalledClock::start(clock);
    for step in [-HOUR, 2_000_000, HOUR, -2_000_000] {
        let (router, wall, lived) = (clock.now(), clock.wall(), unstalled.now());
        STEP.fetch_add(step, Ordering::SeqCst);
        assert!((0..1_000_000).contains(&(clock.now() - router)));
        assert!((0..1_000_000).contains(&(unstalled.now() - lived)));
        assert!((0..1_000_000).contains(&(clock.wall() - wall - step)));
    }
}
