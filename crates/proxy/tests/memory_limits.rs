//! Tests, over loopback, that a process with the least memory of a deployment stays within it whatever clients send.

use std::io::Write;
use std::time::Duration;

use aldermill_test_support::{
    Client, Driver, Hold, Member, look, named, new_id, order, serve, served, until,
};
use aldermill_wire::pg;

/// Memory limit of the process, in MiB.
const MEMORY_MB: u64 = 32;
/// Number of clients that send at once, as many as such a process serves.
const CLIENTS: usize = 200;
/// Length of statements that are accepted and reserve buffer space, in bytes.
const LARGE_STATEMENT: usize = 125_000;
/// Length of statements that need no reservation, in bytes.
const SMALL_STATEMENT: usize = 7_500;
/// Number of statements that each client pipelines.
const PIPELINED: usize = 64;
/// Time that a client may take to send; what is not taken by then stays with it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);

/// Starts a process with little memory in front of this member.
fn start_proxy(member: &Member) -> Driver {
    Driver::with_memory(MEMORY_MB, 1024, member)
}

fn query(statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    pg::write_query(&mut bytes, &[statement.as_bytes()]);
    bytes
}

/// Adds short fields to the front of a statement's comment, up to this length in bytes.
fn with_short_fields(statement: &str, length: usize) -> String {
    let mut fields = String::from("/* ");
    while fields.len() + statement.len() < length {
        fields.push_str("x=1,");
    }
    statement.replacen("/* ", &fields, 1)
}

/// Asserts that the process never takes more than its memory while clients send these bytes, one time each, and are
/// still there.
fn assert_within_memory(proxy: &Driver, bytes: impl Fn() -> Vec<u8>) {
    let clients: Vec<Client> = (0..CLIENTS)
        .filter_map(|_| {
            let mut client = Client::bare(proxy.address).greeted()?;
            client.stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
            let _ = client.stream.write_all(&bytes());
            Some(client)
        })
        .collect();
    assert!(clients.len() > CLIENTS / 2, "{} clients", clients.len());
    let peak = proxy.memory("VmHWM");
    assert!(peak <= MEMORY_MB * 1024, "{peak} KiB");
}

/// Guards against a buffer that grows by half when all but the end of a large statement has come.
#[test]
fn unfinished_statements_of_short_fields_stay_within_the_memory() {
    let member = Member::start(|text, stream| serve(text, "writer", stream));
    let proxy = start_proxy(&member);
    assert_within_memory(&proxy, || {
        let statement = with_short_fields(&look(15_000), LARGE_STATEMENT);
        let mut bytes = query(&statement);
        bytes.truncate(bytes.len() - 100);
        bytes
    });
}

/// Guards against copies of a statement's key by its connection, the router and its sessions, which nobody is charged
/// for.
#[test]
fn writes_to_long_keys_stay_within_the_memory() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        member_hold.pass();
        serve(text, "writer", stream);
    });
    let proxy = start_proxy(&member);
    hold.close();
    assert_within_memory(&proxy, || {
        let key = format!("'{}{}'", new_id(), "k".repeat(LARGE_STATEMENT));
        query(&order(15_000).replacen("'k'", &key, 1))
    });
    hold.open();
}

/// Guards against pipelined statements that are small enough to need no reservation, and together take more than there
/// is.
#[test]
fn pipelined_small_statements_stay_within_the_memory() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        member_hold.pass();
        serve(text, "writer", stream);
    });
    let proxy = start_proxy(&member);
    hold.close();
    assert_within_memory(&proxy, || {
        (0..PIPELINED).flat_map(|_| query(&with_short_fields(&look(15_000), SMALL_STATEMENT))).collect()
    });
    hold.open();
}

/// Guards against buffer space that is given back when a client leaves, while its statement is still held for the
/// attempt in progress.
#[test]
fn large_statements_of_clients_that_left_stay_within_the_memory() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("INSERT") {
            member_hold.pass();
        }
        serve(text, "writer", stream);
    });
    let proxy = start_proxy(&member);
    hold.close();
    for _ in 0..2 * CLIENTS {
        let mut client = Client::connect(proxy.address);
        client.raw(&query(&with_short_fields(&order(15_000), LARGE_STATEMENT)));
        // Whether the statement is attempted or rejected, the proxy has read it once this is answered.
        assert!(served(&Client::connect(proxy.address).ask(&look(15_000))));
    }
    let peak = proxy.memory("VmHWM");
    assert!(peak <= MEMORY_MB * 1024, "{peak} KiB");
    hold.open();
}

/// Guards against names that are kept for as long as a request is open, however long they are.
#[test]
fn a_request_with_a_name_too_long_is_invalid() {
    let member = Member::start(|text, stream| serve(text, "writer", stream));
    let proxy = start_proxy(&member);
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&named(&look(15_000), &"i".repeat(256)))));
    assert_eq!(client.ask(&named(&look(15_000), &"i".repeat(257))).code, "08P01");
    assert_eq!(client.ask(&look(15_000).replace("c=look", &format!("c={}", "l".repeat(257)))).code, "08P01");
    until("the request after them", || served(&client.ask(&look(15_000))));
}
