//! Tests with members that close, reset or silently drop idle connections, and with members that fail each attempt
//! immediately.

use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Member, Said, look, order, refuse, serve, served};
use socket2::SockRef;

/// Time for which a connection may be idle before the member ends it.
const IDLE_LIMIT: Duration = Duration::from_millis(120);

/// How the member ends idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
    /// The connection stays open, but requests on it are ignored.
    SilentlyDropped,
}

/// Ends the connection after [`IDLE_LIMIT`], unless it is used before then. For a reset, only the read half is shut
/// down, so that the other side sees the close of the last handle of the socket.
fn end_connection_unless_used(
    stream: &TcpStream,
    connection_end: ConnectionEnd,
    use_count: &Arc<Mutex<u32>>,
) {
    let (stream, use_count) = (stream.try_clone().unwrap(), use_count.clone());
    let use_count_before = *use_count.lock().unwrap();
    thread::spawn(move || {
        thread::sleep(IDLE_LIMIT);
        if *use_count.lock().unwrap() == use_count_before {
            if connection_end == ConnectionEnd::Reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            let _ = stream.shutdown(if connection_end == ConnectionEnd::Reset {
                Shutdown::Read
            } else {
                Shutdown::Both
            });
        }
    });
}

/// Starts a primary that ends each connection as `connection_end` says once it has been idle for [`IDLE_LIMIT`].
fn member_with_idle_limit(connection_end: ConnectionEnd) -> Member {
    type UseCount = Arc<Mutex<u32>>;
    let connections = Mutex::new(HashMap::<SocketAddr, (UseCount, Instant)>::new());
    let respond = move |text: &str, stream: &mut TcpStream| {
        let mut connections = connections.lock().unwrap();
        let client_address = stream.peer_addr().unwrap_or_else(|_| "127.0.0.1:1".parse().unwrap());
        let (use_count, last_used_at) =
            connections.entry(client_address).or_insert_with(|| (UseCount::default(), Instant::now()));
        if connection_end == ConnectionEnd::SilentlyDropped && last_used_at.elapsed() > IDLE_LIMIT {
            return;
        }
        *use_count.lock().unwrap() += 1;
        *last_used_at = Instant::now();
        let use_count = use_count.clone();
        drop(connections);
        serve(text, "writer", stream);
        if connection_end != ConnectionEnd::SilentlyDropped {
            end_connection_unless_used(stream, connection_end, &use_count);
        }
    };
    Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), |_, _| true, respond)
}

/// Sends requests from four clients that pause for up to 8 ms less or 7 ms more than [`IDLE_LIMIT`] between
/// requests, so that requests are sent while connections end. Returns all responses.
fn ask_around_idle_limit(proxy: &Driver, statement: fn(u32) -> String) -> Vec<Said> {
    let clients: Vec<_> = (0..4u64)
        .map(|number| {
            let address = proxy.address;
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let pause =
                    |round: u64| IDLE_LIMIT + Duration::from_millis(round % 16) - Duration::from_millis(8);
                let mut ask = |round: u64| {
                    thread::sleep(pause(round + number));
                    client.ask(&statement(1500))
                };
                (0..25u64).map(&mut ask).collect::<Vec<Said>>()
            })
        })
        .collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

/// Checks that reads are retried and are rejected only if all their attempts meet a connection that ends, that
/// writes fail only as possibly executed because their response was cut off, and that no write runs twice.
fn check_requests_while_connections_end(connection_end: ConnectionEnd) {
    let member = member_with_idle_limit(connection_end);
    let proxy = Driver::before(&[("a", &member)]);
    for (statement, code) in [(look as fn(u32) -> String, "53300"), (order, "40003")] {
        let responses = ask_around_idle_limit(&proxy, statement);
        let unexpected = responses.iter().find(|response| !served(response) && response.code != code);
        assert!(unexpected.is_none(), "{connection_end:?}: {unexpected:?}");
        let served_count = responses.iter().filter(|response| served(response)).count();
        assert!(
            served_count * 10 >= responses.len() * 9,
            "{connection_end:?}: {served_count} of {}",
            responses.len()
        );
    }
    let writes: Vec<String> =
        member.requests().into_iter().filter(|request| request.contains("INSERT")).collect();
    assert_eq!(
        writes.iter().collect::<HashSet<_>>().len(),
        writes.len(),
        "{connection_end:?}: rule 2: a write ran twice"
    );
}

#[test]
fn requests_that_cross_a_members_close_run_at_most_once() {
    check_requests_while_connections_end(ConnectionEnd::Closed);
}

#[test]
fn requests_that_cross_a_members_reset_run_at_most_once() {
    check_requests_while_connections_end(ConnectionEnd::Reset);
}

#[test]
fn a_member_that_silently_drops_idle_connections_fails_few_requests() {
    let member = member_with_idle_limit(ConnectionEnd::SilentlyDropped);
    let proxy = Driver::before(&[("a", &member)]);
    let responses = ask_around_idle_limit(&proxy, look);
    let served_count = responses.iter().filter(|response| served(response)).count();
    // A read on a dropped connection waits for a response until its deadline, and connections are dropped after
    // about the time for which the clients pause.
    assert!(served_count * 4 >= responses.len() * 3, "{served_count} of {}", responses.len());
    assert!(
        responses.iter().all(|response| served(response) || response.code == "53300"),
        "a read was neither served nor rejected"
    );
}

#[test]
fn attempts_that_fail_immediately_are_few_and_end_in_an_answer() {
    type Respond = fn(&mut TcpStream);
    let too_many_connections: Respond = |stream| refuse("53300", "writer", stream);
    let internal_error: Respond = |stream| refuse("XX000", "writer", stream);
    let close: Respond = |stream| stream.shutdown(Shutdown::Both).unwrap();
    for (name, respond) in [
        ("too many connections", too_many_connections),
        ("internal error", internal_error),
        ("connection closed", close),
    ] {
        let respond_to_statement = move |text: &str, stream: &mut TcpStream| {
            if text.starts_with("/*") { respond(stream) } else { serve(text, "writer", stream) }
        };
        for statement in [look, order] {
            let members: Vec<Member> = (0..3).map(|_| Member::start(respond_to_statement)).collect();
            let proxy = Driver::before(&[("a", &members[0]), ("b", &members[1]), ("c", &members[2])]);
            let mut client = Client::connect(proxy.address);
            let start = Instant::now();
            let response = client.ask(&statement(5000));
            let sent: usize = members.iter().map(|member| member.requests().len()).sum();
            assert!(["53300", "40003"].contains(&response.code.as_str()), "{name}: {response:?}");
            assert!((1..=4).contains(&sent), "{name}: {sent} attempts");
            assert!(start.elapsed() < Duration::from_secs(1), "{name}: {:?}", start.elapsed());
        }
    }
}
