//! Tests, over loopback, that nothing is sent to a member for a client that has left, and that it holds nothing.

use std::io::Write;
use std::thread;
use std::time::Duration;

use aldermill_test_support::{
    Client, Driver, Hold, Member, closed, delivered, look, named, order, refuse, serve, serve_with, served,
    until,
};
use aldermill_wire::pg;

/// Number of statements that a client pipelines before it leaves: several times as many as a proxy accepts at once.
const PIPELINED: usize = 400;
/// Time after its client's close within which a request may still be attempted.
const GRACE: Duration = Duration::from_millis(100);

/// Time that the member takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time that writes wait between two searches for a primary.
const SEARCH_HOLD: Duration = Duration::from_millis(500);
/// Time that a client may take to send; what is not taken by then stays with its system.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that clients wait for their answers, in milliseconds.
const TIMEOUT_MS: u32 = 15_000;

/// Encodes statements as Query messages.
fn queries(statements: impl IntoIterator<Item = String>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for statement in statements {
        pg::write_query(&mut bytes, &[statement.as_bytes()]);
    }
    bytes
}

/// Returns how many statements are attempted for a client later than [`GRACE`] after it has closed its connection. It has
/// sent these statements, the first of which the member holds up; the others take [`SERVICE_TIME`] each.
fn attempted_after_departure(statements: impl IntoIterator<Item = String>) -> usize {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("id=first,") {
            member_hold.pass();
        }
        thread::sleep(SERVICE_TIME);
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    assert!(served(&Client::connect(proxy.address).ask(&look(TIMEOUT_MS))));
    hold.close();
    let mut client = Client::connect(proxy.address);
    client.raw(&queries([named(&look(TIMEOUT_MS), "first")].into_iter().chain(statements)));
    hold.reached();
    drop(client);
    thread::sleep(GRACE);
    let attempted = member.requests().len();
    thread::sleep(SERVICE_TIME * 5);
    hold.open();
    thread::sleep(SERVICE_TIME * 2);
    member.requests().len() - attempted
}

/// Guards against a proxy that does not see the end of a client behind the statements that it has not read.
#[test]
fn pipelined_reads_of_a_client_that_has_left_are_not_attempted() {
    assert_eq!(attempted_after_departure((0..PIPELINED).map(|_| look(TIMEOUT_MS))), 0);
}

/// The same for writes to one key, each of which waits for the one before it.
#[test]
fn pipelined_writes_of_a_client_that_has_left_are_not_attempted() {
    assert_eq!(attempted_after_departure((0..PIPELINED).map(|_| order(TIMEOUT_MS))), 0);
}

/// The same where so much is left unread that the end of the client cannot be seen.
#[test]
fn statements_before_more_than_is_read_ahead_are_attempted_one_at_a_time() {
    let long = |_| format!("{} -- {}", look(TIMEOUT_MS), "x".repeat(6_000));
    assert_eq!(attempted_after_departure((0..PIPELINED / 10).map(long)), 0);
}

/// Asserts that a write which waits for a primary is not attempted again once its client has left, though the client has
/// sent these statements behind it. The process has this memory limit, in MiB.
#[track_caller]
fn assert_write_is_abandoned(memory_mb: u64, behind: impl IntoIterator<Item = String>) {
    let member = Member::start(|text, stream| match text {
        "SHOW usage" => serve(text, "reader", stream),
        _ => refuse("25006", "reader", stream),
    });
    let proxy = Driver::with_memory(memory_mb, 256, &member);
    let mut client = Client::connect(proxy.address);
    client.stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    let first = named(&order(TIMEOUT_MS), "first");
    // A proxy that reads only a part of this leaves the rest with the client's system.
    let _ = client.stream.write_all(&queries([first].into_iter().chain(behind)));
    until("the first attempt", || !member.requests().is_empty());
    drop(client);
    thread::sleep(GRACE);
    let attempted = member.requests().len();
    thread::sleep(SEARCH_HOLD * 2);
    assert_eq!(member.requests().len(), attempted);
}

/// Returns a write with a value of this length in bytes.
fn long_write(length: usize) -> String {
    order(TIMEOUT_MS).replacen("\\x9f", &format!("\\x{}", "9f".repeat(length)), 1)
}

/// Guards against a bound on what is read ahead: the end of the client came behind what was left unread, and its write
/// was attempted seconds later.
#[test]
fn a_write_is_abandoned_when_its_client_leaves_behind_large_statements() {
    assert_write_is_abandoned(192, (0..8).map(|_| long_write(20_000)));
}

/// The same where the statements are small and many.
#[test]
fn a_write_is_abandoned_when_its_client_leaves_behind_many_statements() {
    assert_write_is_abandoned(192, (0..5_000).map(|_| look(TIMEOUT_MS)));
}

/// The same where the client sends more than there is buffer space for.
#[test]
fn a_write_is_abandoned_when_its_client_leaves_behind_more_than_the_buffer_space() {
    assert_write_is_abandoned(32, (0..200).map(|_| long_write(30_000)));
}

/// Guards against a client that gets no answer, or a wrong one, to what it sends beyond the buffer space, and against a
/// proxy that takes memory for it.
#[test]
fn a_client_that_stays_gets_each_answer_in_order_though_it_sends_more_than_the_buffer_space() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        member_hold.pass();
        match text.split_once("id=count").and_then(|(_, rest)| rest.split_once(',')) {
            Some((number, _)) => serve_with(number.as_bytes(), text, "writer", stream),
            None => serve(text, "writer", stream),
        }
    });
    let proxy = Driver::with_memory(32, 256, &member);
    assert!(served(&Client::connect(proxy.address).ask(&look(TIMEOUT_MS))));
    hold.close();
    let mut client = Client::connect(proxy.address);
    let statements = (0..PIPELINED).map(|number| named(&long_write(20_000), &format!("count{number}")));
    client.raw(&queries(statements));
    delivered(&client.stream);
    hold.open();
    let mut rejected = 0;
    for number in 0..PIPELINED {
        let answer = client.answer().unwrap_or_else(|| panic!("no answer to statement {number}"));
        match answer.code.as_str() {
            "" => assert_eq!(answer.value, Some(number.to_string().into_bytes())),
            code => {
                assert_eq!(code, "53300", "statement {number}");
                rejected += 1;
            }
        }
    }
    assert!(0 < rejected && rejected < PIPELINED, "{rejected} rejected");
    // The connection takes statements again.
    assert!(served(&client.ask(&look(TIMEOUT_MS))));
    assert!(proxy.memory("VmHWM") <= 32 * 1024, "{} KiB", proxy.memory("VmHWM"));
}

/// Guards against a second run of a write whose client left before its answer, when it comes again under the same id:
/// while its first attempt is in progress, and after that.
#[test]
fn a_write_whose_client_left_is_not_run_again_under_the_same_id() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("id=first,") {
            member_hold.pass();
        }
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let write = named(&order(TIMEOUT_MS), "first");
    hold.close();
    let mut client = Client::connect(proxy.address);
    client.send(&write);
    hold.reached();
    closed(client.stream);
    assert_eq!(Client::connect(proxy.address).ask(&write).code, "08P01");
    hold.open();
    // The answer to the first attempt has arrived once its connection is used again, or another has been served.
    for _ in 0..5 {
        assert!(served(&Client::connect(proxy.address).ask(&look(TIMEOUT_MS))));
        thread::sleep(GRACE / 5);
    }
    assert_eq!(Client::connect(proxy.address).ask(&write).code, "08P01");
    // Nor is one whose client has left with its answer, which it may not have read.
    let answered = order(TIMEOUT_MS);
    assert!(served(&Client::connect(proxy.address).ask(&answered)));
    assert_eq!(Client::connect(proxy.address).ask(&answered).code, "08P01");
    let runs = member.requests().iter().filter(|text| text.contains("id=first,")).count();
    assert_eq!(runs, 1);
}

/// Guards against a connection that waits for the first endpoint list and does not notice that its client has left.
#[test]
fn a_client_that_leaves_before_the_first_endpoint_list_frees_its_connection() {
    assert_connections_are_freed(&[]);
}

/// The same where the client has sent many statements meanwhile.
#[test]
fn a_client_that_leaves_behind_statements_before_the_first_endpoint_list_frees_its_connection() {
    assert_connections_are_freed(&queries((0..5_000).map(|_| look(TIMEOUT_MS))));
}

/// Asserts that connections end whose clients leave before the first endpoint list, having sent an empty query and these
/// bytes.
#[track_caller]
fn assert_connections_are_freed(behind: &[u8]) {
    let proxy = Driver::of(&without_members());
    let descriptors = || std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).unwrap().count();
    let before = descriptors();
    for _ in 0..8 {
        let mut client = Client::connect(proxy.address);
        client.stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        client.send("");
        let _ = client.stream.write_all(behind);
        closed(client.stream);
    }
    until("the end of the connections", || descriptors() <= before);
}

/// Returns a configuration without members, whose discovery does not answer.
fn without_members() -> String {
    let known = r#"{"revision":0,"complete":false,"members":[]}"#;
    aldermill_test_support::config("127.0.0.1:9".parse().unwrap(), 256, known)
}
