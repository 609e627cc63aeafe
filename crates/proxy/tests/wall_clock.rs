//! The proxy under a wall clock that is wrong at the start or is stepped while it serves, over loopback.

use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Member, SteppedClock, config, list, look, order, replica_at, served, sound,
    unix_millis, until,
};

/// A second in microseconds.
const SECOND: i64 = 1_000_000;
/// An hour in microseconds.
const HOUR: i64 = 3_600 * SECOND;
/// Steps of the wall clock in microseconds.
const CLOCK_STEPS: [i64; 4] = [-HOUR, -2 * SECOND, 2 * SECOND, HOUR];

/// Offset of the proxy's wall clock in microseconds, at different times of a test.
#[derive(Clone, Copy, Debug)]
struct ClockOffsets {
    /// When the proxy starts.
    at_process_start: i64,
    /// When the replica starts again.
    at_replica_start: i64,
    /// From half a second after the replica's start, while it is in slow start.
    during_slow_start: i64,
}

/// Returns the number of requests in each half second that a replica in slow start receives beside two warm
/// ones.
fn requests_in_slow_start(offsets: ClockOffsets) -> Vec<usize> {
    const HALF_SECONDS: usize = 8;
    let members = [sound("reader"), sound("reader"), sound("reader")];
    let endpoint_list = |revision, phase, up_since_ms: u128| {
        let [a, b, c] = &members;
        let text = list(revision, true, &[("a", a, "in_service"), ("b", b, "in_service"), ("c", c, phase)]);
        let (before, after) = text.rsplit_once(r#""up_since_ms":0"#).unwrap();
        format!(r#"{before}"up_since_ms":{up_since_ms}{after}"#)
    };
    let clock = SteppedClock::start(offsets.at_process_start);
    let discovery = Discovery::default();
    let config = config(discovery.start(), 256, &endpoint_list(1, "in_service", 0));
    let config =
        config.replace(r#""coldFrom":0.2,"warmWithinMs":1000"#, r#""coldFrom":0.1,"warmWithinMs":4000"#);
    let driver = Driver::under(&clock, &config);
    let mut client = Client::connect(driver.address);
    let mut send_reads_for = |duration: Duration| {
        let start = Instant::now();
        for tick in 0..(duration.as_millis() / 5) as u32 {
            thread::sleep((Duration::from_millis(5) * tick).saturating_sub(start.elapsed()));
            assert!(served(&client.ask(&look(15_000))));
        }
    };
    send_reads_for(Duration::from_secs(1));
    clock.step(offsets.at_replica_start);
    discovery.say(endpoint_list(2, "terminating", 0));
    until("the endpoint list in which the replica drains", || driver.logged("revision: 2"));
    discovery.say(endpoint_list(3, "in_service", unix_millis()));
    until("the endpoint list in which the replica has started again", || driver.logged("revision: 3"));
    let requests_before = members[2].requests().len();
    let mut totals = vec![requests_before];
    for half_second in 0..HALF_SECONDS {
        send_reads_for(Duration::from_millis(500));
        totals.push(members[2].requests().len());
        if half_second == 0 {
            clock.step(offsets.during_slow_start);
        }
    }
    totals.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// Asserts that slow start lasts as long as configured: a warm replica receives 33 requests in each half
/// second, this one few at first and most of that number at the end. The bounds allow for variation on a busy
/// machine.
fn assert_slow_start_duration(cases: Vec<ClockOffsets>) {
    for batch in cases.chunks(4) {
        let start =
            |&offsets: &ClockOffsets| (offsets, thread::spawn(move || requests_in_slow_start(offsets)));
        let runs: Vec<_> = batch.iter().map(start).collect();
        for (offsets, run) in runs {
            let requests = run.join().unwrap();
            let first: usize = requests[..2].iter().sum();
            let last: usize = requests[6..].iter().sum();
            assert!(first <= 36, "slow start too short, {offsets:?}: {requests:?}");
            assert!(last >= 32, "slow start too long, {offsets:?}: {requests:?}");
        }
    }
}

#[test]
fn slow_start_is_unaffected_by_steps_of_the_wall_clock() {
    let offsets = |at_replica_start, during_slow_start| ClockOffsets {
        at_process_start: 0,
        at_replica_start,
        during_slow_start,
    };
    let cases = CLOCK_STEPS.iter().flat_map(|&step| [offsets(step, step), offsets(0, step)]);
    assert_slow_start_duration(cases.collect());
}

#[test]
fn slow_start_is_unaffected_by_a_wrong_wall_clock_at_process_start() {
    let constant = |&offset: &i64| ClockOffsets {
        at_process_start: offset,
        at_replica_start: offset,
        during_slow_start: offset,
    };
    assert_slow_start_duration([0].iter().chain(&CLOCK_STEPS).map(constant).collect());
}

/// Starts a proxy with this replica and a primary. `need` is the value in the settings for how fresh the data
/// of reads must be, and the maximum age of that data is set to 300 ms.
fn proxy_with_replica(clock: &SteppedClock, replica: Member, need: &str) -> (Driver, Member, Member) {
    let members = (replica, sound("writer"));
    let known = list(1, true, &[("a", &members.0, "in_service"), ("b", &members.1, "in_service")]);
    let config = config(Discovery::default().start(), 256, &known);
    let config = config.replace(r#"["loose","#, &format!(r#"["{need}","#));
    (
        Driver::under(clock, &config.replace(r#""maxAgeMs":[0,0]"#, r#""maxAgeMs":[300,0]"#)),
        members.0,
        members.1,
    )
}

/// Returns a read of a session whose last write was committed at `position`, in Unix milliseconds.
fn read_after_write(position: u128) -> String {
    look(15_000).replace(",cluster=2", &format!(",cluster=2,after={position}"))
}

#[test]
fn replica_positions_and_last_writes_compare_correctly_across_wall_clock_steps() {
    for (initial_offset, step) in CLOCK_STEPS.into_iter().flat_map(|step| [(0, step), (step, 0)]) {
        let clock = SteppedClock::start(initial_offset);
        let position = (unix_millis() / 1000 - 1) * 1000;
        let (driver, replica, _primary) =
            proxy_with_replica(&clock, replica_at(move || position), "own_writes");
        let mut client = Client::connect(driver.address);
        let mut reads = |last_write, count| {
            let requests_before = replica.requests().len();
            (0..count).for_each(|_| assert!(served(&client.ask(&read_after_write(last_write)))));
            replica.requests().len() - requests_before
        };
        if initial_offset >= 0 {
            until("a read at the replica", || reads(position, 1) > 0);
        }
        clock.step(step);
        assert_eq!(
            reads(position + 500, 20),
            0,
            "stale reads at the replica, clock off by {initial_offset} us, then by {step} us"
        );
        if initial_offset >= 0 {
            assert!(
                reads(position, 20) > 0,
                "no reads at an up-to-date replica, clock off by {initial_offset} us, then by {step} us"
            );
        }
    }
}

#[test]
fn bounded_staleness_reads_keep_their_bound_in_a_process_started_under_a_wrong_wall_clock() {
    // Initial offset of the clock in microseconds, lag of the replica in milliseconds, and whether the
    // replica is fresh enough for reads that accept data up to 300 ms old.
    let cases = [(-3 * SECOND, 2_500, false), (-HOUR, 3_599_900, false), (-HOUR, 0, true), (HOUR, 0, true)];
    for (initial_offset, lag_ms, fresh) in
        cases.into_iter().chain([(2 * SECOND, 2_500, false), (2 * SECOND, 0, true)])
    {
        let clock = SteppedClock::start(initial_offset);
        let replica = replica_at(move || unix_millis() - lag_ms);
        let (driver, replica, _primary) = proxy_with_replica(&clock, replica, "recent");
        let mut client = Client::connect(driver.address);
        until("the log line about the members' clock", || {
            assert!(served(&client.ask(&order(15_000))) && served(&client.ask(&look(15_000))));
            driver.logged("differs from the members'")
        });
        (0..5).for_each(|_| assert!(served(&client.ask(&order(15_000)))));
        let requests_before = replica.requests().len();
        let mut reads = |count| {
            (0..count).for_each(|_| assert!(served(&client.ask(&look(15_000)))));
            replica.requests().len() - requests_before
        };
        if fresh {
            until("a read at the replica", || reads(1) > 0);
        } else {
            assert_eq!(
                reads(100),
                0,
                "stale reads: clock off by {initial_offset} us, replica lag {lag_ms} ms"
            );
        }
    }
}
