//! Slow clients and members beside fast ones, over loopback: the slow ones are disconnected in time, the others notice
//! nothing.

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

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Limits under which slow peers are noticed within a test's time.
const QUICK: &str = r#"{"slow_peers":{"reading":{"bytes_a_second":100000,"start_ms":500,"window_ms":1500},
 "sending":{"bytes_a_second":1000,"start_ms":500,"window_ms":500},"overdue_ms":500,"lingering_ms":500,"stopping_ms":1000}}"#;

fn driver(members: &[(&str, &Member)], memory: usize, sockets: usize, operator: &str) -> (Driver, String) {
    let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
    let discovery = Discovery::default();
    discovery.say(list(1, true, &members));
    let whole = config(discovery.start(), sockets, &list(1, true, &members));
    let whole = whole.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory}"));
    (Driver::with("127.0.0.1:0".parse().unwrap(), &whole, Some(operator)), whole)
}

/// A primary whose values are as long as the request's key says: `k` for a short one, `v1000` for a thousand
/// bytes.
fn with_values() -> Member {
    Member::start(|text, stream| {
        let length = text.split_once("'v").and_then(|(_, rest)| rest.split('\'').next()?.parse().ok());
        match length {
            Some(length) => serve_with(&vec![7; length], text, "writer", stream),
            None => serve(text, "writer", stream),
        }
    })
}

fn value(length: usize) -> String {
    look(15000).replace("'k'", &format!("'v{length}'"))
}

/// Fast clients that send one request after another, each connecting again where its connection was closed between two.
struct FastClients {
    stop: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    served: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl FastClients {
    fn start(address: SocketAddr, clients: usize) -> FastClients {
        let (stop, asked, good) = (Arc::default(), Arc::default(), Arc::default());
        let mut fast = FastClients { stop, asked, served: good, threads: Vec::new() };
        for _ in 0..clients {
            let (stop, asked) = (fast.stop.clone(), fast.asked.clone());
            let good = fast.served.clone();
            fast.threads.push(thread::spawn(move || {
                let mut client = Some(Client::connect(address));
                while !stop.load(Ordering::SeqCst) {
                    let said = client
                        .as_mut()
                        .and_then(|client| client.offer(&look(5000)).then(|| client.answer()).flatten());
                    asked.fetch_add(1, Ordering::SeqCst);
                    good.fetch_add(usize::from(said.as_ref().is_some_and(served)), Ordering::SeqCst);
                    if said.is_none() {
                        client = Client::bare(address).greeted();
                    }
                    thread::sleep(MS(5));
                }
            }));
        }
        until("the fast clients' load", || fast.asked.load(Ordering::SeqCst) > 3 * clients);
        fast
    }

    fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
        (self.asked.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}

/// Slow readers must take neither buffer space nor connection slots from others, however often they reconnect.
#[test]
fn hundreds_of_slow_readers_do_not_affect_other_clients() {
    let member = with_values();
    let (driver, _) = driver(&[("a", &member)], 48, 256, QUICK);
    let fast = FastClients::start(driver.address, 60);
    let stop = Arc::<AtomicBool>::default();
    let readers: Vec<_> = (0..240)
        .map(|number| {
            let (address, stop) = (driver.address, stop.clone());
            thread::spawn(move || {
                // They connect again as soon as they are disconnected.
                while !stop.load(Ordering::SeqCst) {
                    if let Some(mut client) = Client::narrow(address) {
                        client.send(&value([20, 60_000, 1_000_000][number % 3]));
                        client.sip(5, MS(200), MS(4000));
                    }
                    thread::sleep(MS(20));
                }
            })
        })
        .collect();
    thread::sleep(MS(4000));
    stop.store(true, Ordering::SeqCst);
    let (asked, good) = fast.end();
    assert!(asked > 500 && good * 100 >= asked * 99, "{good} of {asked}");
    assert!(driver.logged("slow clients disconnected"));
    let peak = driver.memory("VmHWM");
    assert!(peak < 40 * 1024, "{peak} KiB");
    drop(driver);
    readers.into_iter().for_each(|reader| reader.join().unwrap());
}

/// A sound client must not be disconnected for a pause, or for a poor line that keeps up with the minimum rate.
#[test]
fn a_fast_reader_may_pause_and_a_reader_above_the_least_rate_is_kept() {
    let member = with_values();
    let (driver, _) = driver(&[("a", &member)], 48, 128, QUICK);
    let mut client = Client::narrow(driver.address).unwrap();
    client.send(&value(900_000));
    let (came, _) = client.sip(16 * 1024, MS(0), MS(300));
    assert!(came > 100_000, "{came}");
    thread::sleep(MS(1000));
    let mut rest = 0;
    while rest + came < 900_000 {
        let (more, ended) = client.sip(16 * 1024, MS(0), MS(200));
        assert!(more > 0 && !ended, "{came} and {rest}");
        rest += more;
    }
    // About twice the least rate, for far longer than a client below it would be kept.
    let mut client = Client::narrow(driver.address).unwrap();
    client.send(&value(400_000));
    let mut came = 0;
    while came < 400_000 {
        let (more, ended) = client.sip(2048, MS(10), MS(1000));
        came += more;
        assert!(!ended || came >= 400_000, "{came}");
    }
    assert!(!driver.logged("slow clients disconnected"));
}

/// A client that stops reading must not hold buffer space for ever, and all that it held must be released.
#[test]
fn a_client_that_never_reads_its_response_is_disconnected_and_its_buffer_space_freed() {
    let member = with_values();
    let (driver, _) = driver(&[("a", &member)], 48, 128, QUICK);
    let mut slow: Vec<Client> = (0..20).map(|_| Client::narrow(driver.address).unwrap()).collect();
    for client in &mut slow {
        // A non-idempotent request: it is served once, whether or not its response is read.
        client.send(&order(15000).replace("'k'", "'v900000'"));
    }
    until("each is cut", || driver.logged("too_slow: ") || driver.logged("buffer_space: "));
    slow.iter_mut().for_each(|client| while !client.sip(4096, MS(0), MS(50)).1 {});
    let orders = member.requests();
    assert!(orders.len() <= 20, "{}", orders.len());
    // The buffer space that they held is free again: as many fast clients as ever fit.
    let mut quick: Vec<Client> = (0..20).map(|_| Client::connect(driver.address)).collect();
    quick.iter_mut().for_each(|client| client.send(&value(900_000)));
    assert!(quick.iter_mut().all(|client| client.answer().unwrap().value.is_some()));
}

/// A member that sends single bytes must not hold a request up to its deadline.
#[test]
fn a_trickling_member_delays_reads_little_and_its_writes_are_not_repeated() {
    for (piece, pause) in [(1, 1000), (1, 250), (20, 250)] {
        let trickles = Member::start(move |text, stream| {
            drip(&whole(&[7; 4000], text, "reader"), piece, MS(pause), stream);
        });
        let primary = sound("writer");
        let (driver, _) = driver(&[("a", &trickles), ("b", &primary)], 48, 128, "{}");
        let mut client = Client::connect(driver.address);
        let start = Instant::now();
        assert!((0..8).all(|_| served(&client.ask(&look(15000)))));
        assert!(start.elapsed() < MS(8000), "{:?} for {piece} bytes a time", start.elapsed());
    }
    // A non-idempotent request fails as one that may have run, long before its deadline, and is sent once.
    let trickles = Member::start(|text, stream| {
        let out = whole(b"x", text, "writer");
        if text.starts_with("/*") { drip(&out, 1, MS(250), stream) } else { drip(&out, 4096, MS(0), stream) }
    });
    let (driver, _) = driver(&[("a", &trickles)], 48, 128, "{}");
    let start = Instant::now();
    assert_eq!(Client::connect(driver.address).ask(&order(15000)).code, "40003");
    assert!(start.elapsed() < MS(5000));
    assert_eq!(trickles.requests().len(), 1);
}

/// A slow but sound member must not be taken for one that trickles.
#[test]
fn a_member_that_sends_at_twice_the_least_rate_is_not_cut_off() {
    let steady = Member::start(|text, stream| {
        let value = vec![7; if text.starts_with("/*") { 60_000 } else { 0 }];
        drip(&whole(&value, text, "writer"), 6_500, MS(100), stream);
    });
    let (driver, _) = driver(&[("a", &steady)], 48, 128, "{}");
    let mut client = Client::connect(driver.address);
    assert!((0..4).all(|_| client.ask(&look(15000)).value.is_some_and(|value| value.len() == 60_000)));
    assert!(!driver.logged("nothing that can be used"));
    assert_eq!(steady.requests().len(), 4);
}

/// A statement whose last byte was not written never ran, so it may be retried elsewhere.
#[test]
fn a_member_that_reads_a_statement_byte_by_byte_never_ran_it() {
    let listener = {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(64).unwrap();
        std::net::TcpListener::from(socket)
    };
    let ill = Arc::new(AtomicBool::new(true));
    let slow = ill.clone();
    let bears = move |bytes: &[u8], welcomed: bool| {
        if welcomed && bytes.len() > 500 && slow.load(Ordering::SeqCst) {
            thread::sleep(MS(500));
        }
        true
    };
    // One primary in the group: with two, each said to be it, routing would depend on whose report came last.
    let taker = Member::at(listener, bears, |text, stream| serve(text, "writer", stream));
    let replica = sound("reader");
    let (driver, _) = driver(&[("a", &taker), ("b", &replica)], 192, 128, "{}");
    let mut client = Client::connect(driver.address);
    let start = Instant::now();
    // A rejected request never ran: it was attempted at the primary as often as the limits on retries allow.
    let said = client.ask(&order(15000).replace("9f", &"9f".repeat(60_000)));
    assert_eq!(said.code, "53300", "{said:?}, after {:?}", start.elapsed());
    // Reads, which the replica may serve, are served there.
    for _ in 0..4 {
        let said = client.ask(&look(15000).replace("'k'", &format!("'{}'", "k".repeat(120_000))));
        assert!(served(&said), "{said:?}, after {:?}", start.elapsed());
    }
    assert!(start.elapsed() < MS(15_000), "{:?}", start.elapsed());
    assert_eq!((taker.requests().len(), replica.requests().len()), (0, 4));
    ill.store(false, Ordering::SeqCst);
    until("the primary is asked again", || {
        served(&client.ask(&order(15000).replace("9f", &"9f".repeat(60_000))))
    });
    assert_eq!(taker.requests().len(), 1);
}

/// Members that were slow together must serve again once they are sound, not stay ejected.
#[test]
fn a_group_whose_members_all_trickled_serves_again_once_they_recover() {
    let ill = Arc::new(AtomicBool::new(true));
    let either = |role: &'static str| {
        let ill = ill.clone();
        Member::start(move |text, stream| {
            let out = whole(b"the value", text, role);
            let slow = ill.load(Ordering::SeqCst);
            drip(&out, if slow { 1 } else { 4096 }, MS(if slow { 250 } else { 0 }), stream);
        })
    };
    let (first, second) = (either("writer"), either("reader"));
    let (driver, _) = driver(&[("a", &first), ("b", &second)], 48, 128, "{}");
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(1500)));
    clients.iter_mut().for_each(|client| drop(client.answer().unwrap()));
    ill.store(false, Ordering::SeqCst);
    until("a task is honoured again", || served(&clients[0].ask(&look(3000))));
    let good = (0..50).filter(|_| served(&clients[1].ask(&look(3000)))).count();
    assert!(good >= 45, "{good}");
}

/// Clients that never finish a statement must not take the connection slots of others.
#[test]
fn partial_statements_at_a_byte_a_second_do_not_affect_other_clients() {
    let member = sound("writer");
    let (driver, _) = driver(&[("a", &member)], 48, 128, QUICK);
    let fast = FastClients::start(driver.address, 20);
    let mut statement = Vec::new();
    pg::write_query(
        &mut statement,
        &[look(15000).replace("'k'", &format!("'{}'", "k".repeat(40_000))).as_bytes()],
    );
    let senders: Vec<_> = (0..200)
        .map(|number| {
            let (address, statement) = (driver.address, statement.clone());
            thread::spawn(move || {
                // Half of them had a response before.
                let Some(mut client) = Client::narrow(address) else { return };
                if number % 2 == 0 && client.offer(&look(5000)) {
                    client.answer();
                }
                let half = [&statement[..200], &statement[200..210]];
                if std::io::Write::write_all(&mut client.stream, half[0]).is_ok() {
                    drip(half[1], 1, MS(400), &mut client.stream);
                }
            })
        })
        .collect();
    thread::sleep(MS(2500));
    let (asked, good) = fast.end();
    assert!(asked > 300 && good * 100 >= asked * 99, "{good} of {asked}");
    drop(driver);
    senders.into_iter().for_each(|sender| sender.join().unwrap());
}

/// A slow reader must not hold up a shutdown.
#[test]
fn shutdown_does_not_wait_for_slow_readers() {
    let member = with_values();
    let (mut driver, _) = driver(&[("a", &member)], 48, 128, QUICK);
    let mut slow: Vec<Client> = (0..10).map(|_| Client::narrow(driver.address).unwrap()).collect();
    slow.iter_mut().for_each(|client| client.send(&value(900_000)));
    until("all have been asked", || member.requests().len() == 10);
    let start = Instant::now();
    driver.signal("-TERM");
    assert!(driver.child.wait().unwrap().success());
    assert!(start.elapsed() < MS(10_000), "{:?}", start.elapsed());
}

/// An operator in trouble lowers limits while the proxy runs, and may mistype.
#[test]
fn a_reload_applies_lowered_limits_and_a_wrong_file_changes_nothing() {
    let member = with_values();
    let patient = QUICK.replace("\"overdue_ms\":500", "\"overdue_ms\":60000");
    let (driver, _) = driver(&[("a", &member)], 48, 128, &patient);
    let mut slow: Vec<Client> = (0..6).map(|_| Client::narrow(driver.address).unwrap()).collect();
    slow.iter_mut().for_each(|client| client.send(&value(900_000)));
    until("all have been asked", || member.requests().len() == 6);
    thread::sleep(MS(800));
    assert!(!driver.logged("slow clients disconnected"));
    let operator = driver.operator.clone().unwrap();
    std::fs::write(&operator, patient.replace("{\"reading", "{\"room_kib\":100,\"reading")).unwrap();
    driver.signal("-HUP");
    until("the file is refused", || driver.logged("slow_peers.room_kib: too little"));
    assert!(!driver.logged("slow clients disconnected"));
    let lowered = patient.replace("{\"reading", "{\"room_kib\":3000,\"connection_kib\":2600,\"reading");
    std::fs::write(&operator, lowered).unwrap();
    driver.signal("-HUP");
    until("those who are behind give way", || driver.logged("buffer_space: "));
    assert!(Client::connect(driver.address).ask(&value(900_000)).value.is_some());
}

/// One address must not take all connection slots where the operator forbids it.
#[test]
fn connections_of_one_address_are_limited_where_the_operator_says_so() {
    let member = sound("writer");
    let few = r#"{"slow_peers":{"per_address":{"connections":3,"room_kib":4000}}}"#;
    let (driver, _) = driver(&[("a", &member)], 48, 128, few);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(driver.address)).collect();
    let mut hello = Vec::new();
    pg::write_startup_message(&mut hello, "client", "core");
    let mut fourth = Client::bare(driver.address);
    fourth.raw(&hello);
    assert!(fourth.answer().is_none_or(|said| said.code == "53300"));
    assert!(clients.iter_mut().all(|client| served(&client.ask(&look(5000)))));
    drop(clients.pop());
    until("its place is free", || Client::narrow(driver.address).is_some());
}

/// An operator must find a mistake in the file from the message alone.
#[test]
fn an_error_in_the_operators_file_names_its_field() {
    let good = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    let check = |operator: &str| {
        let (mut command, path) = aldermill(&["check"], &good);
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
        let (well, said) = check(wrong);
        assert!(!well && said.trim_end().lines().count() == 1 && said.contains(path), "{said}");
    }
    assert!(check("{}").0);
    let (mut command, path) = aldermill(&["schema"], "{}");
    let schema = String::from_utf8(command.output().unwrap().stdout).unwrap();
    std::fs::remove_file(path).unwrap();
    assert!(schema.contains("slow_peers") && schema.contains("bytes_a_second"));
}
