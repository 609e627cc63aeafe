//! Tests of requests that arrive while an idle client connection is being closed by the proxy or by the client. The
//! proxy is suspended (SIGSTOP) while both events occur, and finds both when it continues.

use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Member, closed, delivered, list, look, named, order, served, sound,
};

/// The proxy's idle timeout of a client connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);

/// Returns whether the member received the request with this id.
fn was_forwarded(member: &Member, id: &str) -> bool {
    member.requests().iter().any(|request| request.contains(&format!("id={id},")))
}

#[test]
fn a_request_that_crosses_the_idle_timeout_of_its_connection_is_answered() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| assert!(served(&client.ask(&look(15000)))));
    let idle_since = Instant::now();
    thread::sleep(IDLE_TIMEOUT / 2);
    proxy.signal("-STOP");
    let sent_in_time = idle_since.elapsed() < IDLE_TIMEOUT;
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&named(&look(15000), &format!("idle{number}")));
        delivered(&client.stream);
    }
    // The idle timeout expires while the request waits in the proxy's socket buffer.
    thread::sleep((IDLE_TIMEOUT + IDLE_TIMEOUT / 10).saturating_sub(idle_since.elapsed()));
    proxy.signal("-CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let answered = client.answer().is_some_and(|response| served(&response));
        assert!(answered || !sent_in_time, "{number}");
        assert_eq!(
            answered,
            was_forwarded(&member, &format!("idle{number}")),
            "{number}: forwarded, but not answered, or the reverse"
        );
    }
}

#[test]
fn a_request_that_crosses_the_eviction_of_its_connection_is_answered() {
    let member = sound("writer");
    let proxy = Driver::start(&Discovery::default(), 64, &list(1, true, &[("a", &member, "in_service")]));
    // These use a quarter of the descriptors; from here on, each new connection evicts the one that has been idle
    // longest.
    let mut clients: Vec<Client> = (0..16).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| assert!(served(&client.ask(&look(15000)))));
    proxy.signal("-STOP");
    let new_clients: Vec<Client> = (0..8).map(|_| Client::bare(proxy.address)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&named(&look(15000), &format!("yields{number}")));
        delivered(&client.stream);
    }
    proxy.signal("-CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let answered = client.answer().is_some_and(|response| served(&response));
        assert!(answered, "{number}: the request arrived before its connection was closed");
        assert!(was_forwarded(&member, &format!("yields{number}")));
    }
    drop(new_clients);
}

#[test]
fn a_request_whose_client_closed_right_behind_it_is_not_forwarded() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut other_client = Client::connect(proxy.address);
    for round in 0..5 {
        let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(proxy.address)).collect();
        clients.iter_mut().for_each(|client| assert!(served(&client.ask(&look(15000)))));
        proxy.signal("-STOP");
        for (number, mut client) in clients.into_iter().enumerate() {
            client.send(&named(&order(15000), &format!("left{round}-{number}")));
            closed(client.stream);
        }
        proxy.signal("-CONT");
        assert!(served(&other_client.ask(&look(15000))));
    }
    assert!(served(&other_client.ask(&order(15000))));
    let forwarded: Vec<String> =
        member.requests().into_iter().filter(|request| request.contains("id=left")).collect();
    assert!(forwarded.is_empty(), "rule 2: sent although no client waited: {forwarded:?}");
}
