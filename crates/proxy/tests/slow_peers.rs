//! Tests, over loopback, of slow clients and members beside fast ones: the slow ones are disconnected in
//! time, and the others are not affected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Member, aldermill, config, drip, file, list, look, order, serve, serve_with,
    served, sound, until, whole,
};
use aldermill_wire::pg;

/// Converts milliseconds to a duration.
const MILLIS: fn(u64) -> Duration = Duration::from_millis;
/// Operator configuration with limits so short that slow peers are detected within the time of a test.
const SHORT_LIMITS: &str = r#"{"slow_peers":{"reading":{"bytes_a_second":100000,"start_ms":500,"window_ms":1500},
 "sending":{"bytes_a_second":1000,"start_ms":500,"window_ms":500},"overdue_ms":500,"lingering_ms":500,"stopping_ms":1000}}"#;

/// Starts a proxy for members in service, and returns it with its configuration, as JSON. `memory_mb` and
/// `sockets` are limits of that configuration, and `operator` is the operator configuration.
fn start_proxy(
    members: &[(&str, &Member)],
    memory_mb: usize,
    sockets: usize,
    operator: &str,
) -> (Driver, String) {
    let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
    let discovery = Discovery::default();
    discovery.say(list(1, true, &members));
    let config_text = config(discovery.start(), sockets, &list(1, true, &members));
    let config_text = config_text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
    (Driver::with("127.0.0.1:0".parse().unwrap(), &config_text, Some(operator)), config_text)
}

/// Starts a primary that serves values of the length given by the request's key: `v1000` requests 1000 bytes,
/// and `k` a short value.
fn primary_with_sized_values() -> Member {
    Member::start(|text, stream| {
        let length = text.split_once("'v").and_then(|(_, rest)| rest.split('\'').next()?.parse().ok());
        match length {
            Some(length) => serve_with(&vec![7; length], text, "writer", stream),
            None => serve(text, "writer", stream),
        }
    })
}

/// Returns a read of a value of this many bytes.
fn read_value(length: usize) -> String {
    look(15000).replace("'k'", &format!("'v{length}'"))
}

/// Fast clients that send one request after another. A client that gets no response, because its connection
/// was closed between two requests, connects again.
struct FastClients {
    /// Set to make the clients stop.
    stop: Arc<AtomicBool>,
    /// Number of requests, including those that could not be sent.
    sent: Arc<AtomicUsize>,
    /// Number of requests that were served.
    succeeded: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl FastClients {
    /// Starts this many clients, and waits until they have sent more than three requests each on average.
    fn start(address: SocketAddr, clients: usize) -> FastClients {
        let (stop, sent, succeeded) = (Arc::default(), Arc::default(), Arc::default());
        let mut fast = FastClients { stop, sent, succeeded, threads: Vec::new() };
        for _ in 0..clients {
            let (stop, sent) = (fast.stop.clone(), fast.sent.clone());
            let succeeded = fast.succeeded.clone();
            fast.threads.push(thread::spawn(move || {
                let mut client = Some(Client::connect(address));
                while !stop.load(Ordering::SeqCst) {
                    let response = client
                        .as_mut()
                        .and_then(|client| client.offer(&look(5000)).then(|| client.answer()).flatten());
                    sent.fetch_add(1, Ordering::SeqCst);
                    succeeded.fetch_add(usize::from(response.as_ref().is_some_and(served)), Ordering::SeqCst);
                    if response.is_none() {
                        client = Client::bare(address).greeted();
                    }
                    thread::sleep(MILLIS(5));
                }
            }));
        }
        until("the load of the fast clients", || fast.sent.load(Ordering::SeqCst) > 3 * clients);
        fast
    }

    /// Stops the clients, and returns how many requests they sent and how many of those were served.
    fn finish(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        (self.sent.load(Ordering::SeqCst), self.succeeded.load(Ordering::SeqCst))
    }
}

/// Slow readers must not take buffer space or connection slots from other clients, however often they
/// reconnect.
#[test]
fn hundreds_of_slow_readers_do_not_affect_other_clients() {
    let member = primary_with_sized_values();
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 256, SHORT_LIMITS);
    let fast = FastClients::start(proxy.address, 60);
    let stop = Arc::<AtomicBool>::default();
    let readers: Vec<_> = (0..240)
        .map(|number| {
            let (address, stop) = (proxy.address, stop.clone());
            thread::spawn(move || {
                // Slow readers reconnect as soon as they are disconnected.
                while !stop.load(Ordering::SeqCst) {
                    if let Some(mut client) = Client::narrow(address) {
                        client.send(&read_value([20, 60_000, 1_000_000][number % 3]));
                        client.sip(5, MILLIS(200), MILLIS(4000));
                    }
                    thread::sleep(MILLIS(20));
                }
            })
        })
        .collect();
    thread::sleep(MILLIS(4000));
    stop.store(true, Ordering::SeqCst);
    let (sent, succeeded) = fast.finish();
    assert!(sent > 500 && succeeded * 100 >= sent * 99, "{succeeded} of {sent}");
    assert!(proxy.logged("slow clients disconnected"));
    let peak = proxy.memory("VmHWM");
    assert!(peak < 40 * 1024, "{peak} KiB");
    drop(proxy);
    readers.into_iter().for_each(|reader| reader.join().unwrap());
}

/// A healthy client must not be disconnected because of a pause, or because of a slow network that keeps up
/// with the minimum rate.
#[test]
fn a_fast_reader_may_pause_and_a_reader_above_the_minimum_rate_is_kept() {
    let member = primary_with_sized_values();
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 128, SHORT_LIMITS);
    let mut client = Client::narrow(proxy.address).unwrap();
    client.send(&read_value(900_000));
    let (received, _) = client.sip(16 * 1024, MILLIS(0), MILLIS(300));
    assert!(received > 100_000, "{received}");
    thread::sleep(MILLIS(1000));
    let mut received_later = 0;
    while received_later + received < 900_000 {
        let (count, ended) = client.sip(16 * 1024, MILLIS(0), MILLIS(200));
        assert!(count > 0 && !ended, "{received} and {received_later}");
        received_later += count;
    }
    // About twice the minimum rate, for far longer than a client below the minimum rate would stay connected.
    let mut client = Client::narrow(proxy.address).unwrap();
    client.send(&read_value(400_000));
    let mut received = 0;
    while received < 400_000 {
        let (count, ended) = client.sip(2048, MILLIS(10), MILLIS(1000));
        received += count;
        assert!(!ended || received >= 400_000, "{received}");
    }
    assert!(!proxy.logged("slow clients disconnected"));
}

/// A client that stops reading must not hold buffer space forever, and all that it held must be released.
#[test]
fn a_client_that_never_reads_its_response_is_disconnected_and_its_buffer_space_freed() {
    let member = primary_with_sized_values();
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 128, SHORT_LIMITS);
    let mut slow_clients: Vec<Client> = (0..20).map(|_| Client::narrow(proxy.address).unwrap()).collect();
    for client in &mut slow_clients {
        // The request is not idempotent, so it is executed at most once, whether or not its response is read.
        client.send(&order(15000).replace("'k'", "'v900000'"));
    }
    until("a disconnection", || proxy.logged("too_slow: ") || proxy.logged("buffer_space: "));
    slow_clients.iter_mut().for_each(|client| while !client.sip(4096, MILLIS(0), MILLIS(50)).1 {});
    let requests = member.requests();
    assert!(requests.len() <= 20, "{}", requests.len());
    // The buffer space that they held is free again, and suffices for as many fast clients.
    let mut fast_clients: Vec<Client> = (0..20).map(|_| Client::connect(proxy.address)).collect();
    fast_clients.iter_mut().for_each(|client| client.send(&read_value(900_000)));
    assert!(fast_clients.iter_mut().all(|client| client.answer().unwrap().value.is_some()));
}

/// A member that sends single bytes must not hold up a request until its deadline.
#[test]
fn a_trickling_member_delays_reads_little_and_its_writes_are_not_repeated() {
    for (piece, pause) in [(1, 1000), (1, 250), (20, 250)] {
        let trickling = Member::start(move |text, stream| {
            drip(&whole(&[7; 4000], text, "reader"), piece, MILLIS(pause), stream);
        });
        let primary = sound("writer");
        let (proxy, _) = start_proxy(&[("a", &trickling), ("b", &primary)], 48, 128, "{}");
        let mut client = Client::connect(proxy.address);
        let start = Instant::now();
        assert!((0..8).all(|_| served(&client.ask(&look(15000)))));
        assert!(start.elapsed() < MILLIS(8000), "{:?} with {piece} bytes per write", start.elapsed());
    }
    // A non-idempotent request fails long before its deadline, as one that may have run, and is sent only
    // once.
    let trickling = Member::start(|text, stream| {
        let out = whole(b"x", text, "writer");
        if text.starts_with("/*") {
            drip(&out, 1, MILLIS(250), stream)
        } else {
            drip(&out, 4096, MILLIS(0), stream)
        }
    });
    let (proxy, _) = start_proxy(&[("a", &trickling)], 48, 128, "{}");
    let start = Instant::now();
    assert_eq!(Client::connect(proxy.address).ask(&order(15000)).code, "40003");
    assert!(start.elapsed() < MILLIS(5000));
    assert_eq!(trickling.requests().len(), 1);
}

/// A slow but healthy member must not be taken for one that sends below the minimum rate.
#[test]
fn a_member_that_sends_at_twice_the_minimum_rate_is_not_disconnected() {
    let steady = Member::start(|text, stream| {
        let value = vec![7; if text.starts_with("/*") { 60_000 } else { 0 }];
        drip(&whole(&value, text, "writer"), 6_500, MILLIS(100), stream);
    });
    let (proxy, _) = start_proxy(&[("a", &steady)], 48, 128, "{}");
    let mut client = Client::connect(proxy.address);
    assert!((0..4).all(|_| client.ask(&look(15000)).value.is_some_and(|value| value.len() == 60_000)));
    assert!(!proxy.logged("responses are unusable"));
    assert_eq!(steady.requests().len(), 4);
}

/// A statement whose last byte was not written never ran, so it may be retried elsewhere.
#[test]
fn a_member_that_has_not_read_the_whole_statement_never_ran_it() {
    let listener = {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(64).unwrap();
        std::net::TcpListener::from(socket)
    };
    let is_slow = Arc::new(AtomicBool::new(true));
    let slow_flag = is_slow.clone();
    let keeps_connection = move |bytes: &[u8], started: bool| {
        if started && bytes.len() > 500 && slow_flag.load(Ordering::SeqCst) {
            thread::sleep(MILLIS(500));
        }
        true
    };
    // The group has only one primary: with two members that report to be it, routing would depend on whose
    // report came last.
    let primary = Member::at(listener, keeps_connection, |text, stream| serve(text, "writer", stream));
    let replica = sound("reader");
    let (proxy, _) = start_proxy(&[("a", &primary), ("b", &replica)], 192, 128, "{}");
    let mut client = Client::connect(proxy.address);
    let start = Instant::now();
    // A rejected request never ran: it was attempted at the primary as often as the retry limits allow.
    let response = client.ask(&order(15000).replace("9f", &"9f".repeat(60_000)));
    assert_eq!(response.code, "53300", "{response:?}, after {:?}", start.elapsed());
    // Reads may be served by the replica, and are.
    for _ in 0..4 {
        let response = client.ask(&look(15000).replace("'k'", &format!("'{}'", "k".repeat(120_000))));
        assert!(served(&response), "{response:?}, after {:?}", start.elapsed());
    }
    assert!(start.elapsed() < MILLIS(15_000), "{:?}", start.elapsed());
    assert_eq!((primary.requests().len(), replica.requests().len()), (0, 4));
    is_slow.store(false, Ordering::SeqCst);
    until("the retry of the primary", || {
        served(&client.ask(&order(15000).replace("9f", &"9f".repeat(60_000))))
    });
    assert_eq!(primary.requests().len(), 1);
}

/// Members that were all slow at the same time must serve requests again once they are healthy, and not stay
/// excluded.
#[test]
fn a_group_whose_members_all_trickled_serves_again_once_they_recover() {
    let is_slow = Arc::new(AtomicBool::new(true));
    let start_member = |role: &'static str| {
        let is_slow = is_slow.clone();
        Member::start(move |text, stream| {
            let out = whole(b"the value", text, role);
            let slow = is_slow.load(Ordering::SeqCst);
            drip(&out, if slow { 1 } else { 4096 }, MILLIS(if slow { 250 } else { 0 }), stream);
        })
    };
    let (first, second) = (start_member("writer"), start_member("reader"));
    let (proxy, _) = start_proxy(&[("a", &first), ("b", &second)], 48, 128, "{}");
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(1500)));
    clients.iter_mut().for_each(|client| drop(client.answer().unwrap()));
    is_slow.store(false, Ordering::SeqCst);
    until("a served request", || served(&clients[0].ask(&look(3000))));
    let succeeded = (0..50).filter(|_| served(&clients[1].ask(&look(3000)))).count();
    assert!(succeeded >= 45, "{succeeded}");
}

/// Clients that never complete a statement must not take connection slots from other clients.
#[test]
fn partial_statements_sent_slowly_do_not_affect_other_clients() {
    let member = sound("writer");
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 128, SHORT_LIMITS);
    let fast = FastClients::start(proxy.address, 20);
    let mut statement = Vec::new();
    pg::write_query(
        &mut statement,
        &[look(15000).replace("'k'", &format!("'{}'", "k".repeat(40_000))).as_bytes()],
    );
    let senders: Vec<_> = (0..200)
        .map(|number| {
            let (address, statement) = (proxy.address, statement.clone());
            thread::spawn(move || {
                // Half of the clients have had a response before.
                let Some(mut client) = Client::narrow(address) else { return };
                if number % 2 == 0 && client.offer(&look(5000)) {
                    client.answer();
                }
                let parts = [&statement[..200], &statement[200..210]];
                if std::io::Write::write_all(&mut client.stream, parts[0]).is_ok() {
                    drip(parts[1], 1, MILLIS(400), &mut client.stream);
                }
            })
        })
        .collect();
    thread::sleep(MILLIS(2500));
    let (sent, succeeded) = fast.finish();
    assert!(sent > 300 && succeeded * 100 >= sent * 99, "{succeeded} of {sent}");
    drop(proxy);
    senders.into_iter().for_each(|sender| sender.join().unwrap());
}

/// A slow reader must not delay a shutdown.
#[test]
fn shutdown_does_not_wait_for_slow_readers() {
    let member = primary_with_sized_values();
    let (mut proxy, _) = start_proxy(&[("a", &member)], 48, 128, SHORT_LIMITS);
    let mut slow_clients: Vec<Client> = (0..10).map(|_| Client::narrow(proxy.address).unwrap()).collect();
    slow_clients.iter_mut().for_each(|client| client.send(&read_value(900_000)));
    until("the attempts of all requests", || member.requests().len() == 10);
    let start = Instant::now();
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
    assert!(start.elapsed() < MILLIS(10_000), "{:?}", start.elapsed());
}

/// In an incident, operators lower limits while the proxy is running, and may make a typing error.
#[test]
fn a_reload_applies_lowered_limits_and_a_wrong_file_changes_nothing() {
    let member = primary_with_sized_values();
    let long_overdue_limit = SHORT_LIMITS.replace("\"overdue_ms\":500", "\"overdue_ms\":60000");
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 128, &long_overdue_limit);
    let mut slow_clients: Vec<Client> = (0..6).map(|_| Client::narrow(proxy.address).unwrap()).collect();
    slow_clients.iter_mut().for_each(|client| client.send(&read_value(900_000)));
    until("the attempts of all requests", || member.requests().len() == 6);
    thread::sleep(MILLIS(800));
    assert!(!proxy.logged("slow clients disconnected"));
    let operator = proxy.operator.clone().unwrap();
    std::fs::write(&operator, long_overdue_limit.replace("{\"reading", "{\"room_kib\":100,\"reading"))
        .unwrap();
    proxy.signal("-HUP");
    until("the rejection of the file", || proxy.logged("slow_peers.room_kib: too little"));
    assert!(!proxy.logged("slow clients disconnected"));
    let lowered_limits =
        long_overdue_limit.replace("{\"reading", "{\"room_kib\":3000,\"connection_kib\":2600,\"reading");
    std::fs::write(&operator, lowered_limits).unwrap();
    proxy.signal("-HUP");
    until("the disconnection of clients that are behind", || proxy.logged("buffer_space: "));
    assert!(Client::connect(proxy.address).ask(&read_value(900_000)).value.is_some());
}

/// Clients of one address must not take all connection slots if the operator configuration limits them.
#[test]
fn connections_per_address_are_limited_if_the_operator_says_so() {
    let member = sound("writer");
    let per_address_limit = r#"{"slow_peers":{"per_address":{"connections":3,"room_kib":4000}}}"#;
    let (proxy, _) = start_proxy(&[("a", &member)], 48, 128, per_address_limit);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(proxy.address)).collect();
    let mut startup_message = Vec::new();
    pg::write_startup_message(&mut startup_message, "client", "core");
    let mut fourth = Client::bare(proxy.address);
    fourth.raw(&startup_message);
    assert!(fourth.answer().is_none_or(|response| response.code == "53300"));
    assert!(clients.iter_mut().all(|client| served(&client.ask(&look(5000)))));
    drop(clients.pop());
    until("the release of its connection slot", || Client::narrow(proxy.address).is_some());
}

/// The error message alone must be enough to find a mistake in the operator configuration.
#[test]
fn an_error_in_the_operators_file_names_its_field() {
    let valid_config = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    let check = |operator: &str| {
        let (mut command, path) = aldermill(&["check"], &valid_config);
        let operator = file("operator", operator);
        let output = command.env("ALDERMILL_OPERATOR", &operator).output().unwrap();
        std::fs::remove_file(path).unwrap();
        std::fs::remove_file(operator).unwrap();
        (output.status.success(), String::from_utf8(output.stderr).unwrap())
    };
    for (wrong, path) in [
        (r#"{"slow_peers":{"reading":{"bytes_a_second":"fast"}}}"#, "slow_peers.reading.bytes_a_second"),
        (r#"{"slow_peers":{"pace":1}}"#, "pace"),
        (r#"{"slow_peers":{"room_kib":1000}}"#, "slow_peers.room_kib: too little"),
        (r#"{"slow_peers":{"connection_kib":1}}"#, "slow_peers.connection_kib: too little"),
        (r#"{"slow_peers":{"per_address":{"connections":0,"room_kib":90000}}}"#, "per_address.connections"),
    ] {
        let (accepted, message) = check(wrong);
        assert!(!accepted && message.trim_end().lines().count() == 1 && message.contains(path), "{message}");
    }
    assert!(check("{}").0);
    let (mut command, path) = aldermill(&["schema"], "{}");
    let schema = String::from_utf8(command.output().unwrap().stdout).unwrap();
    std::fs::remove_file(path).unwrap();
    assert!(schema.contains("slow_peers") && schema.contains("bytes_a_second"));
}
