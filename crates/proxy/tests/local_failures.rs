//! Tests of a second in which this machine cannot open connections: members must not be blamed for it, and few
//! requests may fail. Only builds with debug assertions support failing system calls.
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

/// Deadline of each request, in milliseconds from its sending.
const REQUEST_DEADLINE_MS: u32 = 1500;
/// Rate of requests over all clients.
const REQUESTS_PER_SECOND: u32 = 100;
/// Number of clients. Each sends a request every 1.7 s, which is longer than the request deadline, so that its
/// previous request has ended by then and the load is as even after the failure as before.
const CLIENTS: usize = 170;

/// Age, since the first response, at which a member closes a connection.
const CONNECTION_LIFETIME: Duration = Duration::from_millis(300);

/// Starts a member that closes each connection after the first response past [`CONNECTION_LIFETIME`]. The time at
/// which each connection was opened is appended to `opened_at`.
fn member_with_connection_lifetime(role: &'static str, opened_at: &Arc<Mutex<Vec<Instant>>>) -> Member {
    let (first_used_at, opened_at) = (Mutex::new(HashMap::new()), opened_at.clone());
    let keep_connection = move |_: &[u8], startup_done: bool| {
        if !startup_done {
            opened_at.lock().unwrap().push(Instant::now());
        }
        true
    };
    let respond = move |text: &str, stream: &mut std::net::TcpStream| {
        thread::sleep(Duration::from_millis(5));
        if role == "reader" && text.contains("INSERT") {
            refuse("25006", role, stream);
        } else {
            serve(text, role, stream);
        }
        let peer = stream.peer_addr().ok();
        let age = first_used_at.lock().unwrap().entry(peer).or_insert_with(Instant::now).elapsed();
        if age > CONNECTION_LIFETIME {
            first_used_at.lock().unwrap().remove(&peer);
            let _ = stream.shutdown(Shutdown::Both);
        }
    };
    Member::at(std::net::TcpListener::bind("127.0.0.1:0").unwrap(), keep_connection, respond)
}

/// Makes system calls fail by `rule` for one second under steady load. Returns the fraction of requests not served,
/// of those due in that second and the next, and the maximum number of connections opened in any 100 ms of the
/// second after it.
fn fail_calls_for_one_second(rule: &str) -> (f64, usize) {
    let (faults, opened_at) = (Faults::default(), Arc::<Mutex<Vec<Instant>>>::default());
    let members = [
        member_with_connection_lifetime("writer", &opened_at),
        member_with_connection_lifetime("reader", &opened_at),
        member_with_connection_lifetime("reader", &opened_at),
    ];
    let endpoints = [
        ("a", &members[0], "in_service"),
        ("b", &members[1], "in_service"),
        ("c", &members[2], "in_service"),
    ];
    let discovery = Discovery::default();
    discovery.say(list(1, true, &endpoints));
    let proxy = Driver::failing(&faults, &config(discovery.start(), 1024, &list(1, true, &endpoints)), None);
    let start = Instant::now();
    let (faults_start, faults_end) = (start + Duration::from_secs(4), start + Duration::from_secs(5));
    let (requests, not_served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(faults_start.saturating_duration_since(Instant::now()));
            faults.set(rule);
            thread::sleep(faults_end.saturating_duration_since(Instant::now()));
            faults.set("");
        });
        let interval = Duration::from_millis(1000 * CLIENTS as u64 / u64::from(REQUESTS_PER_SECOND));
        paced(CLIENTS, interval, Duration::from_secs(8), |round, due, client| {
            let statement =
                if round % 3 == 0 { order(REQUEST_DEADLINE_MS) } else { look(REQUEST_DEADLINE_MS) };
            let mut connection = client.take().unwrap_or_else(|| Client::connect(proxy.address));
            let response = connection.offer(&statement).then(|| connection.answer()).flatten();
            if due >= faults_start && due < faults_end + Duration::from_secs(1) {
                requests.fetch_add(1, Ordering::SeqCst);
                let is_served = response.as_ref().is_some_and(served);
                not_served.fetch_add(usize::from(!is_served), Ordering::SeqCst);
            }
            *client = response.map(|_| connection);
        });
    });
    let opened_at = opened_at.lock().unwrap();
    let opened_within = |start: Instant, millis: u64| {
        opened_at.iter().filter(|&&at| at >= start && at < start + Duration::from_millis(millis)).count()
    };
    let rate_before = opened_within(faults_start - Duration::from_secs(1), 1000).div_ceil(10);
    let opened_per_bin: Vec<usize> =
        (0..20).map(|bin| opened_within(faults_start + Duration::from_millis(100 * bin), 100)).collect();
    eprintln!(
        "{rule}: {not_served:?} of {requests:?} not served, opened per 100 ms: {rate_before}, {opened_per_bin:?}"
    );
    assert!(!proxy.logged("member lost") && !proxy.logged("responses are unusable"));
    let max_after = opened_per_bin[10..].iter().copied().max().unwrap_or(0);
    (not_served.into_inner() as f64 / requests.into_inner() as f64, max_after)
}

#[test]
fn a_second_without_new_connections_fails_few_requests_and_ends_without_a_burst() {
    for rule in ["socket EMFILE 100 -", "connect EADDRNOTAVAIL 100 -", "connect ENETUNREACH 60 -"] {
        let (not_served, max_after) = fail_calls_for_one_second(rule);
        assert!(not_served < 0.01, "{rule}: {not_served}");
        // While the backoff is active, one connection is tried every 20 ms; health checks open their own.
        assert!(max_after <= 8, "{rule}: {max_after} connections in 100 ms");
    }
}
