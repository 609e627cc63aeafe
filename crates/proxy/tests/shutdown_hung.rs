//! Test, over loopback, of SIGTERM while the only member hangs: the proxy answers every request that it has
//! read before the process may be killed.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Hold, Member, config, list, look, serve, served, until,
};
use aldermill_wire::pg;

/// The deadline of each request, in milliseconds.
const DEADLINE_MS: u32 = 300;
/// Time after SIGTERM at which the process may be killed if requests have these deadlines.
const KILLED_AFTER: Duration = Duration::from_millis(1000);
/// Interval between two requests of a client on a busy connection.
const SEND_INTERVAL: Duration = Duration::from_millis(40);
/// Time after SIGTERM until which clients send requests.
const SENDING_DURATION: Duration = Duration::from_millis(960);
/// A request written less than this before its connection ends may cross the close and remain unread.
const CLOSE_MARGIN: Duration = Duration::from_millis(60);

/// Events on one connection, as times since SIGTERM.
struct Timeline {
    /// Time at which the write of each request began.
    written: Vec<Duration>,
    /// Time at which each response arrived.
    answered: Vec<Duration>,
    /// Time at which the connection ended.
    ended: Duration,
}

/// Pipelines requests until [`SENDING_DURATION`] has passed or a write fails, and reads responses until the
/// connection ends.
fn keep_busy(mut client: Client, signalled_at: Instant) -> Timeline {
    let mut writer = client.stream.try_clone().unwrap();
    let writer_thread = thread::spawn(move || {
        let mut written = Vec::new();
        while signalled_at.elapsed() < SENDING_DURATION {
            let mut query = Vec::new();
            pg::write_query(&mut query, &[look(DEADLINE_MS).as_bytes()]);
            written.push(signalled_at.elapsed());
            if writer.write_all(&query).is_err() {
                break;
            }
            thread::sleep(SEND_INTERVAL);
        }
        written
    });
    let mut answered = Vec::new();
    while client.answer().is_some() {
        answered.push(signalled_at.elapsed());
    }
    let ended = signalled_at.elapsed();
    Timeline { written: writer_thread.join().unwrap(), answered, ended }
}

#[test]
fn requests_pipelined_until_the_kill_are_answered_while_the_only_member_hangs() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        member_hold.pass();
        serve(text, "writer", stream);
    });
    let initial_list = list(1, true, &[("a", &member, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(initial_list.clone());
    let config_with_short_deadlines = config(discovery.start(), 256, &initial_list)
        .replace(r#""targetMs":1000,"deadlineMs":20000"#, r#""targetMs":200,"deadlineMs":300"#);
    let mut proxy = Driver::of(&config_with_short_deadlines);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| assert!(served(&client.ask(&look(5000)))));
    hold.close();
    // Each connection is busy when the signal arrives: later requests are pipelined behind this one.
    clients.iter_mut().for_each(|client| client.send(&look(DEADLINE_MS)));
    hold.reached();
    proxy.signal("-TERM");
    let signalled_at = Instant::now();
    let busy_threads: Vec<_> =
        clients.into_iter().map(|client| thread::spawn(move || keep_busy(client, signalled_at))).collect();
    let timelines: Vec<Timeline> = busy_threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    for Timeline { written, answered, ended } in &timelines {
        // One more request was in flight before SIGTERM.
        let expected = 1 + written.iter().filter(|&&at| at + CLOSE_MARGIN < *ended).count();
        assert!(
            answered.len() >= expected,
            "{} of {expected} requests answered, connection ended after {ended:?}",
            answered.len()
        );
        assert!(answered.iter().all(|&at| at < KILLED_AFTER), "{answered:?}");
    }
    until("the exit of the process", || proxy.child.try_wait().unwrap().is_some());
    assert!(proxy.child.wait().unwrap().success());
    hold.open();
}
