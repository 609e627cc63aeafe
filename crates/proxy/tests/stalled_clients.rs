//! End-to-end tests over loopback of clients that stall in the middle of a message: the proxy closes each connection
//! within three seconds, whatever its state.

use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Hold, Member, delivered, look, named, serve, served, sound};
use aldermill_wire::pg;

/// Upper bound on how long a stalled client's connection may stay open: three seconds, and 300 ms for delays of a busy
/// machine.
const LONGEST_STALL: Duration = Duration::from_millis(3300);

/// Returns the bytes of a startup message.
fn startup_message() -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_startup_message(&mut bytes, "client", "core");
    bytes
}

/// Returns the bytes of a query message with this statement.
fn query_message(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

/// Returns a query message large enough that the proxy reserves buffer space for it.
fn large_query_message() -> Vec<u8> {
    query_message(&look(15000).replace("'k'", &format!("'{}'", "9f".repeat(50_000))))
}

/// Asserts that the connection is closed, with or without an error response, within [`LONGEST_STALL`] of
/// `last_sent_at`.
fn assert_disconnected(client: &mut Client, last_sent_at: Instant, state: &str) {
    let response = client.answer();
    assert!(response.as_ref().is_none_or(|response| !response.code.is_empty()), "{state}: {response:?}");
    assert!(last_sent_at.elapsed() < LONGEST_STALL, "{state}: open for {:?}", last_sent_at.elapsed());
}

#[test]
fn a_new_client_that_stalls_in_its_startup_or_first_statement_is_disconnected() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let startup = startup_message();
    let mut with_partial_statement = startup.clone();
    with_partial_statement.extend_from_slice(&query_message(&look(15000))[..40]);
    // The input ends within the length, the version or the parameters, after the startup message, and within a
    // statement sent together with it.
    let partial_inputs =
        [&startup[..2], &startup[..6], &startup[..12], &startup[..], &with_partial_statement[..]];
    let mut clients: Vec<Client> = partial_inputs.iter().map(|_| Client::bare(proxy.address)).collect();
    let last_sent_at = Instant::now();
    clients.iter_mut().zip(partial_inputs).for_each(|(client, bytes)| client.raw(bytes));
    for (index, client) in clients.iter_mut().enumerate() {
        let startup_complete = index >= 3;
        assert!(!startup_complete || client.answer().is_some(), "no response to the startup message");
        assert_disconnected(client, last_sent_at, &format!("partial input {index}"));
    }
}

#[test]
fn a_served_client_that_stalls_in_a_message_is_disconnected() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let (small, large) = (query_message(&look(15000)), large_query_message());
    // The input ends after the message type, within the length, within the comment, and within statements for which
    // buffer space is reserved.
    let partial_inputs =
        [&small[..1], &small[..3], &small[..30], &large[..20], &large[..60_000], &large[..large.len() - 1]];
    let mut clients: Vec<Client> = partial_inputs.iter().map(|_| Client::connect(proxy.address)).collect();
    for client in &mut clients {
        assert!(served(&client.ask(&look(15000))));
    }
    let last_sent_at = Instant::now();
    clients.iter_mut().zip(partial_inputs).for_each(|(client, bytes)| client.raw(bytes));
    for (index, client) in clients.iter_mut().enumerate() {
        assert_disconnected(client, last_sent_at, &format!("partial input {index}"));
    }
    assert!(served(&Client::connect(proxy.address).ask(&look(15000))));
}

#[test]
fn a_client_that_stalls_after_a_complete_request_is_answered_and_then_disconnected() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("id=held") {
            member_hold.pass();
        }
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    hold.close();
    client.send(&named(&look(15000), "held"));
    hold.reached();
    client.raw(&query_message(&look(15000))[..30]);
    delivered(&client.stream);
    hold.open();
    let released_at = Instant::now();
    assert!(served(&client.answer().expect("no response to the complete request")));
    assert_disconnected(&mut client, released_at, "after a complete request");
}

#[test]
fn a_client_that_writes_slowly_but_steadily_is_served() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&look(15000))));
    let query = query_message(&look(15000));
    // Each pause is shorter than the stall timeout; together they are longer.
    for chunk in query.chunks(query.len().div_ceil(4)) {
        std::thread::sleep(Duration::from_millis(900));
        client.raw(chunk);
    }
    assert!(served(&client.answer().expect("no response")));
}
