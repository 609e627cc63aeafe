//! Clients that stall in the middle of a message, over loopback: each connection ends within three seconds, whatever
//! state it is in.

use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Hold, Member, delivered, look, named, serve, served, sound};
use aldermill_wire::pg;

/// The longest time a stalled client's connection may stay open, with a busy machine's delays.
const LONGEST_STALL: Duration = Duration::from_millis(3300);

fn startup() -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_startup_message(&mut bytes, "client", "core");
    bytes
}

fn message(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

fn large_message() -> Vec<u8> {
    message(&look(15000).replace("'k'", &format!("'{}'", "9f".repeat(50_000))))
}

/// Asserts that the connection ends, by an error or a bare close, within [`LONGEST_STALL`] of `stopped`.
fn assert_disconnected(client: &mut Client, stopped: Instant, state: &str) {
    let said = client.answer();
    assert!(said.as_ref().is_none_or(|said| !said.code.is_empty()), "{state}: {said:?}");
    assert!(stopped.elapsed() < LONGEST_STALL, "{state}: open for {:?}", stopped.elapsed());
}

#[test]
fn a_new_client_that_stalls_in_its_startup_or_first_statement_is_disconnected() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let whole = startup();
    let mut first = whole.clone();
    first.extend_from_slice(&message(&look(15000))[..40]);
    // Amid the length, the version, the parameters, behind them, and amid a statement that came along.
    let stopped = [&whole[..2], &whole[..6], &whole[..12], &whole[..], &first[..]];
    let mut clients: Vec<Client> = stopped.iter().map(|_| Client::bare(driver.address)).collect();
    let start = Instant::now();
    clients.iter_mut().zip(stopped).for_each(|(client, bytes)| client.raw(bytes));
    for (number, client) in clients.iter_mut().enumerate() {
        let welcomed = number >= 3;
        assert!(!welcomed || client.answer().is_some(), "the welcome");
        assert_disconnected(client, start, &format!("stopped at {number}"));
    }
}

#[test]
fn a_served_client_that_stalls_in_a_message_is_disconnected() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let (small, large) = (message(&look(15000)), large_message());
    // Amid the type, the length, the comment, and statements for which buffer space is reserved.
    let stopped =
        [&small[..1], &small[..3], &small[..30], &large[..20], &large[..60_000], &large[..large.len() - 1]];
    let mut clients: Vec<Client> = stopped.iter().map(|_| Client::connect(driver.address)).collect();
    for client in &mut clients {
        assert!(served(&client.ask(&look(15000))));
    }
    let start = Instant::now();
    clients.iter_mut().zip(stopped).for_each(|(client, bytes)| client.raw(bytes));
    for (number, client) in clients.iter_mut().enumerate() {
        assert_disconnected(client, start, &format!("stopped at {number}"));
    }
    assert!(served(&Client::connect(driver.address).ask(&look(15000))));
}

#[test]
fn a_client_that_stalls_behind_a_request_is_answered_and_then_disconnected() {
    let hold = Hold::default();
    let seen = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("id=held") {
            seen.pass();
        }
        serve(text, "writer", stream);
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    hold.close();
    client.send(&named(&look(15000), "held"));
    hold.reached();
    client.raw(&message(&look(15000))[..30]);
    delivered(&client.stream);
    hold.open();
    let start = Instant::now();
    assert!(served(&client.answer().expect("the answer to what came whole")));
    assert_disconnected(&mut client, start, "behind a request");
}

#[test]
fn a_client_that_writes_slowly_but_steadily_is_served() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    assert!(served(&client.ask(&look(15000))));
    let statement = message(&look(15000));
    // Pauses shorter than the stall timeout, together longer than it.
    for piece in statement.chunks(statement.len().div_ceil(4)) {
        std::thread::sleep(Duration::from_millis(900));
        client.raw(piece);
    }
    assert!(served(&client.answer().expect("an answer")));
}
