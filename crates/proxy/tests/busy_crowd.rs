//! Tests, over loopback, that a crowd of busy clients does not drive out clients that wait for each answer.

use aldermill_test_support::{Client, Driver, Hold, Member, look, order, serve, served, sound};

/// Number of clients with a request in progress: more than a quarter of the descriptors, from which on idle connections
/// are closed for new ones.
const BUSY_CLIENTS: usize = 70;
/// Number of clients between two requests.
const ORDINARY_CLIENTS: usize = 5;
/// Time that clients wait for their answers, in milliseconds.
const TIMEOUT_MS: u32 = 15_000;

/// Guards against the close of a connection that had its last answer a moment ago for each new connection of clients
/// that always have a request in progress.
#[test]
fn clients_between_two_requests_keep_their_connections_beside_a_busy_crowd() {
    let hold = Hold::default();
    let member_hold = hold.clone();
    let member = Member::start(move |text, stream| {
        if text.contains("INSERT") {
            member_hold.pass();
        }
        serve(text, "writer", stream);
    });
    let replica = sound("reader");
    let proxy = Driver::before(&[("a", &member), ("b", &replica)]);
    let mut ordinary: Vec<Client> = (0..ORDINARY_CLIENTS).map(|_| Client::connect(proxy.address)).collect();
    let mut busy: Vec<Client> = (0..BUSY_CLIENTS).map(|_| Client::connect(proxy.address)).collect();
    assert!(busy.iter_mut().all(|client| served(&client.ask(&look(TIMEOUT_MS)))));
    hold.close();
    busy.iter_mut().for_each(|client| client.send(&order(TIMEOUT_MS)));
    hold.reached();
    let mut kept = 0;
    for client in &mut ordinary {
        assert!(served(&client.ask(&look(TIMEOUT_MS))));
        drop(Client::connect(proxy.address));
        let answer = client.offer(&look(TIMEOUT_MS)).then(|| client.answer()).flatten();
        kept += usize::from(answer.as_ref().is_some_and(served));
    }
    hold.open();
    // One may have been held up by the machine for longer than its connection is kept.
    assert!(kept >= ORDINARY_CLIENTS - 1, "{kept} of {ORDINARY_CLIENTS}");
}
