//! Clients that stop in the middle of a message and stay, over loopback: each connection ends within the three seconds
//! that the protocol owes to bad clients, in whatever state it is.

use std::time::{Duration, Instant};

use aldermill_stand_ins::{Client, Driver, Hold, Member, delivered, honour, honoured, look, named, sound};
use aldermill_wire::pg;

/// What a bad client is owed, with a busy machine's delays.
const OWED: Duration = Duration::from_millis(3300);

fn startup() -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::startup(&mut bytes, "client", "core");
    bytes
}

fn message(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

fn large() -> Vec<u8> {
    message(&look(15000).replace("'k'", &format!("'{}'", "9f".repeat(50_000))))
}

/// Asserts that the connection ends, by an error or a bare close, within what is owed from `stopped` on.
fn ends(client: &mut Client, stopped: Instant, state: &str) {
    let said = client.answer();
    assert!(said.as_ref().is_none_or(|said| !said.code.is_empty()), "{state}: {said:?}");
    assert!(stopped.elapsed() < OWED, "{state}: open for {:?}", stopped.elapsed());
}

#[test]
fn a_new_client_that_stops_in_its_startup_or_first_statement_is_ended() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let whole = startup();
    let mut first = whole.clone();
    first.extend_from_slice(&message(&look(15000))[..40]);
    // Within the length, the version, the parameters, behind them, and within a statement that came along.
    let stopped = [&whole[..2], &whole[..6], &whole[..12], &whole[..], &first[..]];
    let mut clients: Vec<Client> = stopped.iter().map(|_| Client::bare(driver.address)).collect();
    let start = Instant::now();
    clients.iter_mut().zip(stopped).for_each(|(client, bytes)| client.raw(bytes));
    for (number, client) in clients.iter_mut().enumerate() {
        let welcomed = number >= 3;
        assert!(!welcomed || client.answer().is_some(), "the welcome");
        ends(client, start, &format!("stopped at {number}"));
    }
}

#[test]
fn a_served_client_that_stops_in_a_message_is_ended() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let (small, large) = (message(&look(15000)), large());
    // Within the type, the length, the comment, and statements for which room is reserved.
    let stopped =
        [&small[..1], &small[..3], &small[..30], &large[..20], &large[..60_000], &large[..large.len() - 1]];
    let mut clients: Vec<Client> = stopped.iter().map(|_| Client::connect(driver.address)).collect();
    for client in &mut clients {
        assert!(honoured(&client.ask(&look(15000))));
    }
    let start = Instant::now();
    clients.iter_mut().zip(stopped).for_each(|(client, bytes)| client.raw(bytes));
    for (number, client) in clients.iter_mut().enumerate() {
        ends(client, start, &format!("stopped at {number}"));
    }
    assert!(honoured(&Client::connect(driver.address).ask(&look(15000))));
}

#[test]
fn a_client_that_stops_behind_a_request_has_its_answer_and_is_then_ended() {
    let hold = Hold::default();
    let seen = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("id=held") {
            seen.pass();
        }
        honour(text, "writer", stream);
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
    assert!(honoured(&client.answer().expect("the answer to what came whole")));
    ends(&mut client, start, "behind a request");
}

#[test]
fn a_client_that_writes_slowly_is_served() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&look(15000))));
    let statement = message(&look(15000));
    // Pauses shorter than the limit on silence, together longer than it.
    for piece in statement.chunks(statement.len().div_ceil(4)) {
        std::thread::sleep(Duration::from_millis(900));
        client.raw(piece);
    }
    assert!(honoured(&client.answer().expect("an answer")));
}
