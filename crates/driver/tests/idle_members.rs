//! Members that close, reset or forget connections that have rested, and members that fail each attempt at once, over
//! loopback.

use std::collections::{HashMap, HashSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{Client, Driver, Member, Said, honour, honoured, look, order, refuse};
use socket2::SockRef;

/// How long a connection may rest at these members.
const REST: Duration = Duration::from_millis(120);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    Forgotten,
}

/// Ends the connection unless something was asked on it meanwhile. Only this side of reading is shut, so that the last
/// holder's close is what the other side sees.
fn end_unless_used(stream: &TcpStream, end: End, uses: &Arc<Mutex<u32>>) {
    let (stream, uses) = (stream.try_clone().unwrap(), uses.clone());
    let then = *uses.lock().unwrap();
    thread::spawn(move || {
        thread::sleep(REST);
        if *uses.lock().unwrap() == then {
            if end == End::Reset {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            let _ = stream.shutdown(if end == End::Reset { Shutdown::Read } else { Shutdown::Both });
        }
    });
}

/// A primary whose connections end so, each after its rest.
fn resting(end: End) -> Member {
    type Uses = Arc<Mutex<u32>>;
    let known = Mutex::new(HashMap::<SocketAddr, (Uses, Instant)>::new());
    let act = move |text: &str, stream: &mut TcpStream| {
        let mut known = known.lock().unwrap();
        let from = stream.peer_addr().unwrap_or_else(|_| "127.0.0.1:1".parse().unwrap());
        let (uses, last) = known.entry(from).or_insert_with(|| (Uses::default(), Instant::now()));
        if end == End::Forgotten && last.elapsed() > REST {
            return;
        }
        *uses.lock().unwrap() += 1;
        *last = Instant::now();
        let uses = uses.clone();
        drop(known);
        honour(text, "writer", stream);
        if end != End::Forgotten {
            end_unless_used(stream, end, &uses);
        }
    };
    Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), |_, _| true, act)
}

/// Four clients that pause for a little less or more than connections may rest: their requests cross the ends.
fn cross(driver: &Driver, statement: fn(u32) -> String) -> Vec<Said> {
    let clients: Vec<_> = (0..4u64)
        .map(|number| {
            let address = driver.address;
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let pause = |round: u64| REST + Duration::from_millis(round % 16) - Duration::from_millis(8);
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

/// A read is placed again, unless all its attempts cross an end; a write may have run where its answer was cut off, and
/// none runs twice.
fn holds_while_connections_end(end: End) {
    let member = resting(end);
    let driver = Driver::before(&[("a", &member)]);
    for (statement, code) in [(look as fn(u32) -> String, "53300"), (order, "40003")] {
        let all = cross(&driver, statement);
        let other = all.iter().find(|said| !honoured(said) && said.code != code);
        assert!(other.is_none(), "{end:?}: {other:?}");
        let served = all.iter().filter(|said| honoured(said)).count();
        assert!(served * 10 >= all.len() * 9, "{end:?}: {served} of {}", all.len());
    }
    let ran: Vec<String> = member.tasks().into_iter().filter(|task| task.contains("INSERT")).collect();
    assert_eq!(ran.iter().collect::<HashSet<_>>().len(), ran.len(), "{end:?}: rule 2, a write twice");
}

#[test]
fn requests_that_cross_a_members_close_run_once_at_most() {
    holds_while_connections_end(End::Closed);
}

#[test]
fn requests_that_cross_a_members_reset_run_once_at_most() {
    holds_while_connections_end(End::Reset);
}

#[test]
fn a_member_that_forgets_resting_connections_costs_few_requests() {
    let member = resting(End::Forgotten);
    let driver = Driver::before(&[("a", &member)]);
    let reads = cross(&driver, look);
    let served = reads.iter().filter(|said| honoured(said)).count();
    // A read that meets silence waits for it to the end of its time: connections end around the clients' pauses here.
    assert!(served * 4 >= reads.len() * 3, "{served} of {}", reads.len());
    assert!(reads.iter().all(|said| honoured(said) || said.code == "53300"), "each has its answer");
}

#[test]
fn attempts_that_fail_at_once_are_few_and_end_in_an_answer() {
    type Act = fn(&mut TcpStream);
    let full: Act = |stream| refuse("53300", "writer", stream);
    let fails: Act = |stream| refuse("XX000", "writer", stream);
    let closes: Act = |stream| stream.shutdown(Shutdown::Both).unwrap();
    for (name, act) in [("full", full), ("fails", fails), ("closes", closes)] {
        let answers = move |text: &str, stream: &mut TcpStream| {
            if text.starts_with("/*") { act(stream) } else { honour(text, "writer", stream) }
        };
        for statement in [look, order] {
            let members: Vec<Member> = (0..3).map(|_| Member::start(answers)).collect();
            let driver = Driver::before(&[("a", &members[0]), ("b", &members[1]), ("c", &members[2])]);
            let mut client = Client::connect(driver.address);
            let start = Instant::now();
            let said = client.ask(&statement(5000));
            let sent: usize = members.iter().map(|member| member.tasks().len()).sum();
            assert!(["53300", "40003"].contains(&said.code.as_str()), "{name}: {said:?}");
            assert!((1..=4).contains(&sent), "{name}: {sent} attempts");
            assert!(start.elapsed() < Duration::from_secs(1), "{name}: {:?}", start.elapsed());
        }
    }
}
