//! The built program while its system calls fail, by rules in a file that only builds with debug assertions read.
#![cfg(debug_assertions)]

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Faults, Hold, LONG, Member, config, free_port, list, look, named, order,
    served, sound, until, whole,
};
use aldermill_wire::pg;

/// Longer than new connections are accepted after SIGTERM.
const BEYOND_ACCEPT_WINDOW: Duration = Duration::from_millis(700);

fn start_driver(name: &str, members: &[(&str, &Member)], faults: &Faults, operator: Option<&str>) -> Driver {
    let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
    let discovery = Discovery::default();
    discovery.say(list(1, true, &members));
    let config = config(discovery.start(), 256, &list(1, true, &members));
    Driver::failing(faults, &config.replace("\"n0\"", &format!("\"{name}\"")), operator)
}

/// A client that has connected and sent a request, and has read neither the greeting nor the answer.
fn connect_and_send_request(driver: &Driver) -> Client {
    let mut client = Client::bare(driver.address);
    let mut bytes = Vec::new();
    pg::write_startup_message(&mut bytes, "client", "core");
    pg::write_query(&mut bytes, &[look(15000).as_bytes()]);
    client.raw(&bytes);
    client
}

fn is_greeted_and_served(client: &mut Client) -> bool {
    client.answer().is_some() && client.answer().is_some_and(|response| served(&response))
}

/// What the status socket at that path answers.
fn read_status(path: &str) -> String {
    let mut text = String::new();
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let _ = stream.read_to_string(&mut text);
    text
}

fn status_path(kind: &str) -> String {
    let name = format!("aldermill-{kind}-{}", std::process::id());
    std::env::temp_dir().join(name).to_str().unwrap().to_owned()
}

#[test]
fn a_backlog_is_drained_despite_aborted_connections_and_failing_calls() {
    for error in ["ECONNABORTED", "EMFILE", "ENOBUFS", "EINTR"] {
        let (member, faults) = (sound("writer"), Faults::default());
        let mut driver = start_driver("n0", &[("a", &member)], &faults, None);
        let mut connected_client = Client::connect(driver.address);
        assert!(served(&connected_client.ask(&look(15000))));
        driver.signal("-TERM");
        until("shutdown is logged", || driver.logged("stopping"));
        driver.signal("-STOP");
        let mut clients: Vec<Client> = (0..5).map(|_| connect_and_send_request(&driver)).collect();
        faults.set(&format!("accept {error} 100 2"));
        // The time for new connections ends while nobody accepts.
        thread::sleep(BEYOND_ACCEPT_WINDOW);
        driver.signal("-CONT");
        let lost =
            clients.iter_mut().filter_map(|client| (!is_greeted_and_served(client)).then_some(())).count();
        // A connection that accept reports as aborted was one of the backlog.
        let aborted = if error == "ECONNABORTED" { 2 } else { 0 };
        assert_eq!(lost, aborted, "{error}");
        assert!(driver.child.wait().unwrap().success());
    }
}

#[test]
fn failing_accepts_stop_neither_clients_nor_shutdown() {
    let (member, faults) = (sound("writer"), Faults::default());
    let mut driver = start_driver("n0", &[("a", &member)], &faults, None);
    let mut connected_client = Client::connect(driver.address);
    faults.set("accept EMFILE 100 -");
    // Accepted by the call that was already waiting.
    let _accepted = connect_and_send_request(&driver);
    until("the failure is logged", || driver.logged("cannot accept connections"));
    let mut waiting = connect_and_send_request(&driver);
    assert!(served(&connected_client.ask(&look(15000))));
    faults.set("");
    assert!(is_greeted_and_served(&mut waiting), "accepted from the backlog");
    until("the recovery is logged", || driver.logged("accepting connections again"));
    faults.set("accept EMFILE 100 -");
    drop((connected_client, waiting));
    driver.signal("-TERM");
    assert!(driver.child.wait().unwrap().success());
}

#[test]
fn a_gateways_status_socket_answers_despite_failing_accepts() {
    let (member, faults, path) = (sound("writer"), Faults::default(), status_path("gateway"));
    let operator = format!(r#"{{"gateway":{{"site":"west","status":"{path}","peers":[]}}}}"#);
    let _driver = start_driver("n0", &[("a", &member)], &faults, Some(&operator));
    until("the socket", || std::path::Path::new(&path).exists());
    for error in ["ECONNABORTED", "EMFILE"] {
        faults.set(&format!("accept_local {error} 100 2"));
        assert!(read_status(&path).contains("west"), "{error}");
    }
}

#[test]
fn failing_datagram_reads_cause_no_busy_loop_and_no_lost_peer() {
    let (member, faults, path) = (sound("writer"), Faults::default(), status_path("fellows"));
    let (first, second) = (free_port(), free_port());
    let membership = |listen: SocketAddr, peer: SocketAddr, status: &str| {
        format!(
            r#"{{"fellows":{{"fleet":"f","listen":"{listen}","networks":["127.0.0.0/8"],
            "peers":[{{"address":"{peer}"}}],"status":"{status}"}}}}"#
        )
    };
    let faulty_driver =
        start_driver("n1", &[("a", &member)], &faults, Some(&membership(first, second, &path)));
    faults.set("receive ENOBUFS 100 -\naccept_local EMFILE 50 -");
    let (no_faults, other_path) = (Faults::default(), status_path("other"));
    let _other_driver =
        start_driver("n2", &[("a", &member)], &no_faults, Some(&membership(second, first, &other_path)));
    until("the failure is logged", || faulty_driver.logged("cannot receive datagrams"));
    let cpu_before = faulty_driver.cpu();
    thread::sleep(Duration::from_millis(500));
    assert!(
        faulty_driver.cpu() - cpu_before < 0.25,
        "it spins: {} s in 0.5 s",
        faulty_driver.cpu() - cpu_before
    );
    assert!(read_status(&path).contains("n1"));
    faults.set("");
    until("gossip of the other", || read_status(&path).contains("n2"));
}

#[test]
fn a_peek_that_a_signal_interrupts_is_made_again() {
    let (member, faults) = (sound("writer"), Faults::default());
    let driver = start_driver("n0", &[("a", &member)], &faults, None);
    let mut client = Client::connect(driver.address);
    assert!(served(&client.ask(&look(15000))));
    faults.set("seed 3\npeek EINTR 60 -");
    let opened = member.connections.load(Ordering::SeqCst);
    (0..20).for_each(|_| assert!(served(&client.ask(&look(15000)))));
    assert_eq!(member.connections.load(Ordering::SeqCst), opened, "idle connections are good as before");
}

#[test]
fn reads_and_writes_that_a_signal_interrupts_are_made_again() {
    let (member, faults) = (sound("writer"), Faults::default());
    let driver = start_driver("n0", &[("a", &member)], &faults, None);
    let mut client = Client::connect(driver.address);
    let calls = ["read:client", "write:client", "read:member", "write:member"];
    faults.set(&calls.map(|call| format!("{call} EINTR 50 -")).join("\n"));
    (0..20).for_each(|_| assert!(served(&client.ask(&order(15000)))));
}

#[test]
fn a_network_failure_is_not_reported_as_a_lost_member() {
    // All idle connections are reset meanwhile, as by a member's death; the error of the connection in use decides.
    for (error, lost) in [("ETIMEDOUT", false), ("EHOSTUNREACH", false), ("ECONNRESET", true)] {
        let (hold, faults) = (Hold::default(), Faults::default());
        let member_hold = hold.clone();
        let member = Member::start(move |text, stream| {
            let answer = whole(b"the value", text, "writer");
            member_hold.pass();
            // The rest after the first bytes is read by another call.
            let length = if text.contains("id=broken") { 5 } else { answer.len() };
            let _ = stream.write_all(&answer[..length]);
        });
        let driver = start_driver("n0", &[("a", &member)], &faults, None);
        let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(driver.address)).collect();
        hold.close();
        clients.iter_mut().for_each(|client| client.send(&order(15000)));
        until("both attempts", || member.requests().len() == 2);
        hold.open();
        clients.iter_mut().for_each(|client| assert!(served(&client.answer().unwrap())));
        hold.close();
        clients[0].send(&named(&order(15000), "broken"));
        until("the attempt", || member.requests().len() == 3);
        faults.set(&format!("read:member {error} 100 -\npeek ECONNRESET 100 -"));
        hold.open();
        let response = clients[0].answer().unwrap();
        assert_eq!(response.code, "40003", "{error}");
        // Log lines are in order, so nothing is missing before this one.
        driver.signal("-HUP");
        until("the reload is logged", || driver.logged("configuration reloaded"));
        assert_eq!(driver.logged("member lost"), lost, "{error}");
    }
}

#[test]
fn a_broken_watch_is_resumed_from_the_current_revision() {
    let (member, faults, discovery) = (sound("writer"), Faults::default(), Discovery::default());
    let members = |revision| list(revision, true, &[("a", &member, "in_service")]);
    discovery.say(members(1));
    let _driver = Driver::failing(&faults, &config(discovery.start(), 256, &members(1)), None);
    let list_requests = || discovery.requests.lock().unwrap().clone();
    until("the first call", || list_requests().len() == 1);
    for (retries, error) in ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE", "ENOBUFS"].iter().enumerate()
    {
        faults.set(&format!("read:discovery {error} 100 1"));
        until("the next call", || list_requests().len() == retries + 2);
        assert!(list_requests()[retries + 1].contains("index=1"), "{error}: {:?}", list_requests().last());
    }
    faults.set("read:discovery EINTR 50 -");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(list_requests().len(), 6, "a call that a signal interrupts is made again");
}

#[test]
fn discovery_is_retried_without_backoff_while_this_machine_cannot_connect() {
    let (member, faults, discovery) = (sound("writer"), Faults::default(), Discovery::default());
    discovery.say(list(1, true, &[("a", &member, "in_service")]));
    faults.set("connect ENETUNREACH 100 40");
    let start = Instant::now();
    let known = list(1, true, &[("a", &member, "in_service")]);
    // Backoff would grow up to half of the drain grace.
    let config =
        config(discovery.start(), 256, &known).replace("\"fallMs\"", "\"drainGraceMs\":4000,\"fallMs\"");
    let _driver = Driver::failing(&faults, &config, None);
    until("the first call", || !discovery.requests.lock().unwrap().is_empty());
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}
