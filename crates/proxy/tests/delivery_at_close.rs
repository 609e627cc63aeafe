//! Tests, over loopback, that every response that was written reaches its client when the proxy closes the connection,
//! and that a request which crosses the close is never attempted.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Driver, Member, ended_by_peer, look, named, serve, serve_with, served, until,
};

/// Time from SIGTERM after which the process may be killed: the longest timeout, taken as 3 s, and a margin.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Time that clients wait for their answers, in milliseconds.
const TIMEOUT_MS: u32 = 15_000;
/// Number of responses that the kernel holds for a client that does not read.
const HELD_RESPONSES: usize = 6;
/// Length of their values, in bytes: more than such a client's kernel takes in, less than the proxy's holds.
const VALUE_LENGTH: usize = 1_500;
/// Number of requests that a pipelining client always has in progress.
const PIPELINED: usize = 40;

/// Starts a member whose values are [`VALUE_LENGTH`] bytes long.
fn member_with_long_values() -> Member {
    Member::start(|text, stream| serve_with(&[b'v'; VALUE_LENGTH], text, "writer", stream))
}

/// Returns a client that has not read [`HELD_RESPONSES`] responses, all of which the member has given.
fn client_with_unread_responses(proxy: &Driver, member: &Member) -> Client {
    let mut client = Client::narrow(proxy.address).expect("a session");
    let before = member.requests().len();
    (0..HELD_RESPONSES).for_each(|_| client.send(&look(TIMEOUT_MS)));
    until("the attempts at the member", || member.requests().len() == before + HELD_RESPONSES);
    client
}

/// Asserts that the client, whose connection the proxy is ending, gets all of its responses although it sends another
/// statement meanwhile, which is not attempted.
#[track_caller]
fn assert_delivered(mut client: Client, member: &Member) {
    ended_by_peer(&client.stream);
    client.offer(&named(&look(TIMEOUT_MS), "crossing"));
    for number in 0..HELD_RESPONSES {
        let response = client.answer().unwrap_or_else(|| panic!("response {number} is lost"));
        assert_eq!(response.value.map(|value| value.len()), Some(VALUE_LENGTH));
    }
    assert!(client.ended());
    assert!(!member.requests().iter().any(|text| text.contains("id=crossing,")));
}

/// Guards against the loss of responses that the kernel still holds when a shutdown closes an idle connection: the
/// client's next statement met a closed socket, and the reset threw them away.
#[test]
fn a_shutdown_delivers_the_responses_that_the_kernel_holds() {
    let member = member_with_long_values();
    let mut proxy = Driver::before(&[("a", &member)]);
    let client = client_with_unread_responses(&proxy, &member);
    proxy.signal("-TERM");
    assert_delivered(client, &member);
    assert!(proxy.child.wait().unwrap().success());
}

/// The same where a connection is closed because its client was idle for too long.
#[test]
fn the_end_of_an_idle_connection_delivers_the_responses_that_the_kernel_holds() {
    let member = member_with_long_values();
    let proxy = Driver::before(&[("a", &member)]);
    let client = client_with_unread_responses(&proxy, &member);
    assert_delivered(client, &member);
}

/// Guards against a client that delays the end of the process by neither reading nor closing.
#[test]
fn a_client_that_never_reads_does_not_hold_up_the_shutdown() {
    let member = member_with_long_values();
    let mut proxy = Driver::before(&[("a", &member)]);
    let client = client_with_unread_responses(&proxy, &member);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
    assert!(signalled_at.elapsed() < EARLIEST_KILL, "{:?}", signalled_at.elapsed());
    drop(client);
}

/// Keeps [`PIPELINED`] requests in progress until the proxy ends the connection. Returns the ids of those that were not
/// answered; answers come in the order of the requests.
fn pipeline_until_the_end(address: SocketAddr, number: usize) -> Vec<String> {
    let mut client = Client::connect(address);
    let (mut sent, mut answered) = (PIPELINED, 0);
    let id = |index| format!("pipelined{number}x{index}");
    (0..PIPELINED).for_each(|index| client.send(&named(&look(TIMEOUT_MS), &id(index))));
    while client.answer().is_some() {
        answered += 1;
        client.offer(&named(&look(TIMEOUT_MS), &id(sent)));
        sent += 1;
    }
    (answered..sent).map(id).collect()
}

/// Guards against connections that a shutdown never closes, as their clients always have requests in progress: the kill
/// at its end found hundreds of requests unanswered.
#[test]
fn a_shutdown_ends_connections_that_always_have_requests_in_progress() {
    let member = Member::start(|text, stream| {
        thread::sleep(Duration::from_millis(10));
        serve(text, "writer", stream);
    });
    let mut proxy = Driver::before(&[("a", &member)]);
    assert!(served(&Client::connect(proxy.address).ask(&look(TIMEOUT_MS))));
    let address = proxy.address;
    let clients: Vec<_> =
        (0..8).map(|number| thread::spawn(move || pipeline_until_the_end(address, number))).collect();
    until("requests of all clients", || member.requests().len() > 8 * PIPELINED);
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    while proxy.child.try_wait().unwrap().is_none() && signalled_at.elapsed() < EARLIEST_KILL {
        thread::sleep(Duration::from_millis(10));
    }
    let has_ended = proxy.child.try_wait().unwrap().is_some();
    // Ends the clients in any case, as the supervisor of a process would.
    let _ = proxy.child.kill();
    let unanswered: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    assert!(has_ended, "connections are still open");
    let ran = member.requests();
    let has_run = |id: &&String| ran.iter().any(|text| text.contains(&format!("id={id},")));
    let lost: Vec<&String> = unanswered.iter().filter(has_run).collect();
    assert!(lost.is_empty(), "ran and were not answered: {lost:?}");
}
