//! This machine opens no connections for a moment, over loopback: that costs members nothing and clients little. Only
//! builds with debug assertions heed what tests say of system calls.
#![cfg(debug_assertions)]

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Faults, Member, config, list, look, order, paced, refuse, serve, served,
};

/// A client's whole time for a request, in milliseconds.
const LEFT: u32 = 1500;
const RATE: u32 = 100;
/// So many that each has its answer, or none, before its next turn: requests come as evenly after the failure as before.
const CLIENTS: usize = 170;

/// How long a member lets a connection stand.
const STANDS: Duration = Duration::from_millis(300);

/// A member that ends each connection with an answer after a while, and when each was opened.
fn turning_over(role: &'static str, opened: &Arc<Mutex<Vec<Instant>>>) -> Member {
    let (since, opened) = (Mutex::new(HashMap::new()), opened.clone());
    let bears = move |_: &[u8], welcomed: bool| {
        if !welcomed {
            opened.lock().unwrap().push(Instant::now());
        }
        true
    };
    let act = move |text: &str, stream: &mut std::net::TcpStream| {
        thread::sleep(Duration::from_millis(5));
        if role == "reader" && text.contains("INSERT") {
            refuse("25006", role, stream);
        } else {
            serve(text, role, stream);
        }
        let peer = stream.peer_addr().ok();
        let age = since.lock().unwrap().entry(peer).or_insert_with(Instant::now).elapsed();
        if age > STANDS {
            since.lock().unwrap().remove(&peer);
            let _ = stream.shutdown(Shutdown::Both);
        }
    };
    Member::at(std::net::TcpListener::bind("127.0.0.1:0").unwrap(), bears, act)
}

/// One second in which calls fail by this rule, in the midst of steady load: the part of its requests that were not
/// served, and the most connections opened in any 100 ms of the second after it.
fn second_of(rule: &str) -> (f64, usize) {
    let (faults, opened) = (Faults::default(), Arc::<Mutex<Vec<Instant>>>::default());
    let members =
        [turning_over("writer", &opened), turning_over("reader", &opened), turning_over("reader", &opened)];
    let named = [
        ("a", &members[0], "in_service"),
        ("b", &members[1], "in_service"),
        ("c", &members[2], "in_service"),
    ];
    let discovery = Discovery::default();
    discovery.say(list(1, true, &named));
    let driver = Driver::failing(&faults, &config(discovery.start(), 1024, &list(1, true, &named)), None);
    let start = Instant::now();
    let (from, to) = (start + Duration::from_secs(4), start + Duration::from_secs(5));
    let (asked, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(from.saturating_duration_since(Instant::now()));
            faults.set(rule);
            thread::sleep(to.saturating_duration_since(Instant::now()));
            faults.set("");
        });
        let every = Duration::from_millis(1000 * CLIENTS as u64 / u64::from(RATE));
        paced(CLIENTS, every, Duration::from_secs(8), |turn, due, client| {
            let statement = if turn % 3 == 0 { order(LEFT) } else { look(LEFT) };
            let mut held = client.take().unwrap_or_else(|| Client::connect(driver.address));
            let said = held.offer(&statement).then(|| held.answer()).flatten();
            if due >= from && due < to + Duration::from_secs(1) {
                asked.fetch_add(1, Ordering::SeqCst);
                let served_count = said.as_ref().is_some_and(served);
                lost.fetch_add(usize::from(!served_count), Ordering::SeqCst);
            }
            *client = said.map(|_| held);
        });
    });
    let opened = opened.lock().unwrap();
    let within = |since: Instant, long: u64| {
        opened.iter().filter(|&&at| at >= since && at < since + Duration::from_millis(long)).count()
    };
    let before = within(from - Duration::from_secs(1), 1000).div_ceil(10);
    let bins: Vec<usize> = (0..20).map(|bin| within(from + Duration::from_millis(100 * bin), 100)).collect();
    eprintln!("{rule}: {lost:?} of {asked:?}, before {before}, by 100 ms {bins:?}");
    assert!(!driver.logged("member lost") && !driver.logged("responses are unusable"));
    let after = bins[10..].iter().copied().max().unwrap_or(0);
    (lost.into_inner() as f64 / asked.into_inner() as f64, after)
}

#[test]
fn a_second_without_sockets_costs_hardly_a_request_and_ends_without_a_burst() {
    for rule in ["socket EMFILE 100 -", "connect EADDRNOTAVAIL 100 -", "connect ENETUNREACH 60 -"] {
        let (lost, after) = second_of(rule);
        assert!(lost < 0.01, "{rule}: {lost}");
        // One is tried each 20 ms, and health checks have their own.
        assert!(after <= 8, "{rule}: {after} connections in 100 ms");
    }
}
