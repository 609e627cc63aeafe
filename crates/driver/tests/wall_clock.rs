//! The wall clock of the process is stepped, before and while it serves, over loopback.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{
    Client, Discovery, Driver, Member, SteppedClock, config, honoured, list, look, order, sound, unix_millis,
    until,
};
use aldermill_wire::pg;

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;
const STEPS: [i64; 4] = [-HOUR, -2 * SECOND, 2 * SECOND, HOUR];

/// How the wall clock is off at the process's start, when the replica starts, and half a second into its slow start.
type Course = [i64; 3];

/// Requests that a replica gets in slow start beside two warm ones, by half seconds.
fn slow_start(clock_at: Course) -> Vec<usize> {
    const HALVES: usize = 8;
    let members = [sound("reader"), sound("reader"), sound("reader")];
    let told = |revision, phase, since: u128| {
        let [a, b, c] = &members;
        let line = list(revision, true, &[("a", a, "in_service"), ("b", b, "in_service"), ("c", c, phase)]);
        let (others, own) = line.rsplit_once(r#""up_since_ms":0"#).unwrap();
        format!(r#"{others}"up_since_ms":{since}{own}"#)
    };
    let clock = SteppedClock::start(clock_at[0]);
    let discovery = Discovery::default();
    let config = config(discovery.start(), 256, &told(1, "in_service", 0));
    let config =
        config.replace(r#""coldFrom":0.2,"warmWithinMs":1000"#, r#""coldFrom":0.1,"warmWithinMs":4000"#);
    let driver = Driver::under(&clock, &config);
    let mut client = Client::connect(driver.address);
    let mut ask_for = |long: Duration| {
        let start = Instant::now();
        for at in 0..(long.as_millis() / 5) as u32 {
            thread::sleep((Duration::from_millis(5) * at).saturating_sub(start.elapsed()));
            assert!(honoured(&client.ask(&look(15_000))));
        }
    };
    ask_for(Duration::from_secs(1));
    clock.step(clock_at[1]);
    discovery.say(told(2, "terminating", 0));
    until("the drain", || driver.logged("revision: 2"));
    discovery.say(told(3, "in_service", unix_millis()));
    until("the new start", || driver.logged("revision: 3"));
    let before = members[2].tasks().len();
    let mut got = vec![before];
    for half in 0..HALVES {
        ask_for(Duration::from_millis(500));
        got.push(members[2].tasks().len());
        if half == 0 {
            clock.step(clock_at[2]);
        }
    }
    got.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

/// Rule 4, and no replica kept cold: of 33 requests each half second, its part once warm, it gets few at first and most
/// at last. What the bounds leave is the chance of a crowded machine.
fn as_unstepped(courses: Vec<Course>) {
    for courses in courses.chunks(4) {
        let start = |&clock_at: &Course| (clock_at, thread::spawn(move || slow_start(clock_at)));
        let runs: Vec<_> = courses.iter().map(start).collect();
        for (clock_at, run) in runs {
            let course = run.join().unwrap();
            let first: usize = course[..2].iter().sum();
            let last: usize = course[6..].iter().sum();
            assert!(first <= 36, "warm too early, {clock_at:?}: {course:?}");
            assert!(last >= 32, "cold for too long, {clock_at:?}: {course:?}");
        }
    }
}

#[test]
fn slow_start_survives_steps_of_the_wall_clock() {
    as_unstepped(STEPS.iter().flat_map(|&step| [[0, step, step], [0, 0, step]]).collect());
}

#[test]
fn slow_start_survives_a_process_started_under_a_wrong_wall_clock() {
    as_unstepped([0].iter().chain(&STEPS).map(|&step| [step; 3]).collect());
}

/// A replica that stands at such a position, in milliseconds, whenever it is asked.
fn standing_at(position: impl Fn() -> u128 + Send + Sync + 'static) -> Member {
    Member::start(move |text, stream| {
        let (mut out, position) = (Vec::new(), position());
        let report = format!("x0={}.0,x1=0,inflight=0", position / 1000);
        let value = if text == "SHOW usage" { report.as_bytes() } else { b"the value" };
        pg::single_row(&mut out, "val", value, "SELECT 1");
        pg::parameter_status(&mut out, "server_role", "reader");
        pg::parameter_status(&mut out, "commit_clock", &position.to_string());
        pg::ready(&mut out);
        let _ = stream.write_all(&out);
    })
}

/// Before a replica and a primary, reads needing what the settings' word says.
fn beside(clock: &SteppedClock, replica: Member, need: &str) -> (Driver, Member, Member) {
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

fn look_after(position: u128) -> String {
    look(15_000).replace(",cluster=2", &format!(",cluster=2,after={position}"))
}

#[test]
fn a_position_and_a_sessions_last_write_are_compared_as_told_across_steps() {
    for (at_start, step) in STEPS.into_iter().flat_map(|step| [(0, step), (step, 0)]) {
        let clock = SteppedClock::start(at_start);
        let position = (unix_millis() / 1000 - 1) * 1000;
        let (driver, replica, _primary) = beside(&clock, standing_at(move || position), "own_writes");
        let mut client = Client::connect(driver.address);
        let mut reads = |after, times| {
            let before = replica.tasks().len();
            (0..times).for_each(|_| assert!(honoured(&client.ask(&look_after(after)))));
            replica.tasks().len() - before
        };
        if at_start >= 0 {
            until("a read of the replica", || reads(position, 1) > 0);
        }
        clock.step(step);
        assert_eq!(reads(position + 500, 20), 0, "stale reads, clock at {at_start}, then {step}");
        if at_start >= 0 {
            assert!(reads(position, 20) > 0, "held from the replica for nothing, {at_start}, then {step}");
        }
    }
}

#[test]
fn a_process_started_under_a_wrong_wall_clock_learns_what_bounded_reads_may_see() {
    // How far the replica is behind, in milliseconds, and whether it is fresh enough for reads of data 300 ms old.
    let cases = [(-3 * SECOND, 2_500, false), (-HOUR, 3_599_900, false), (-HOUR, 0, true), (HOUR, 0, true)];
    for (at_start, behind, fresh) in
        cases.into_iter().chain([(2 * SECOND, 2_500, false), (2 * SECOND, 0, true)])
    {
        let clock = SteppedClock::start(at_start);
        let replica = standing_at(move || unix_millis() - behind);
        let (driver, replica, _primary) = beside(&clock, replica, "recent");
        let mut client = Client::connect(driver.address);
        until("the members' clock", || {
            assert!(honoured(&client.ask(&order(15_000))) && honoured(&client.ask(&look(15_000))));
            driver.logged("differs from the members'")
        });
        (0..5).for_each(|_| assert!(honoured(&client.ask(&order(15_000)))));
        let before = replica.tasks().len();
        let mut reads = |times| {
            (0..times).for_each(|_| assert!(honoured(&client.ask(&look(15_000)))));
            replica.tasks().len() - before
        };
        if fresh {
            until("a read of the replica", || reads(1) > 0);
        } else {
            assert_eq!(reads(100), 0, "stale: clock off by {at_start}, replica behind by {behind}");
        }
    }
}
