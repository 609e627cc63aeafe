//! Requests that cross the end of a resting client connection, whoever ends it, over loopback. The program is stopped by
//! the system while both come, and finds both when it goes on.

use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{
    Client, Discovery, Driver, Member, closed, delivered, honoured, list, look, named, order, sound,
};

/// How long the program lets a connection rest.
const REST: Duration = Duration::from_millis(2100);

fn asked(member: &Member, id: &str) -> bool {
    member.tasks().iter().any(|task| task.contains(&format!("id={id},")))
}

#[test]
fn a_request_that_comes_as_its_connection_has_rested_too_long_is_answered() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| assert!(honoured(&client.ask(&look(15000)))));
    let rests = Instant::now();
    thread::sleep(REST / 2);
    driver.signal("-STOP");
    let in_time = rests.elapsed() < REST;
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&named(&look(15000), &format!("idle{number}")));
        delivered(&client.stream);
    }
    // The end of its rest comes while the request lies there.
    thread::sleep((REST + REST / 10).saturating_sub(rests.elapsed()));
    driver.signal("-CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let answered = client.answer().is_some_and(|said| honoured(&said));
        assert!(answered || !in_time, "{number}");
        assert_eq!(
            answered,
            asked(&member, &format!("idle{number}")),
            "{number}: forwarded and not answered"
        );
    }
}

#[test]
fn a_request_that_comes_as_its_connection_gives_way_to_a_newcomer_is_answered() {
    let member = sound("writer");
    let driver = Driver::start(&Discovery::default(), 64, &list(1, true, &[("a", &member, "in_service")]));
    // A quarter of the descriptors; whoever comes then takes the place of the one that has rested longest.
    let mut clients: Vec<Client> = (0..16).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| assert!(honoured(&client.ask(&look(15000)))));
    driver.signal("-STOP");
    let newcomers: Vec<Client> = (0..8).map(|_| Client::bare(driver.address)).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&named(&look(15000), &format!("yields{number}")));
        delivered(&client.stream);
    }
    driver.signal("-CONT");
    for (number, client) in clients.iter_mut().enumerate() {
        let answered = client.answer().is_some_and(|said| honoured(&said));
        assert!(answered, "{number}: it was there before its connection was closed");
        assert!(asked(&member, &format!("yields{number}")));
    }
    drop(newcomers);
}

#[test]
fn a_request_whose_client_closed_right_behind_it_is_not_forwarded() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut other = Client::connect(driver.address);
    for round in 0..5 {
        let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(driver.address)).collect();
        clients.iter_mut().for_each(|client| assert!(honoured(&client.ask(&look(15000)))));
        driver.signal("-STOP");
        for (number, mut client) in clients.into_iter().enumerate() {
            client.send(&named(&order(15000), &format!("left{round}-{number}")));
            closed(client.stream);
        }
        driver.signal("-CONT");
        assert!(honoured(&other.ask(&look(15000))));
    }
    assert!(honoured(&other.ask(&order(15000))));
    let left: Vec<String> = member.tasks().into_iter().filter(|task| task.contains("id=left")).collect();
    assert!(left.is_empty(), "rule 2: sent for nobody: {left:?}");
}
