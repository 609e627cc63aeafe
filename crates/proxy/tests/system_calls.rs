//! The proxy as a child process whose system calls fail by the rules of a file, see `src/system/faults.rs`.
//! Only builds with debug assertions read such a file.
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

/// Longer than the time for which the proxy accepts new connections after SIGTERM.
const BEYOND_ACCEPT_WINDOW: Duration = Duration::from_millis(700);

/// Starts a proxy with this name in front of these members, all of them in service. Its system calls fail by
/// the rules in `faults`. `operator` is the text of the operator's configuration file; `None` for no such
/// file.
fn start_driver(name: &str, members: &[(&str, &Member)], faults: &Faults, operator: Option<&str>) -> Driver {
    let members: Vec<_> = members.iter().map(|&(id, member)| (id, member, "in_service")).collect();
    let discovery = Discovery::default();
    discovery.say(list(1, true, &members));
    let config = config(discovery.start(), 256, &list(1, true, &members));
    Driver::failing(faults, &config.replace("\"n0\"", &format!("\"{name}\"")), operator)
}

/// Connects a client that sends the startup message and a request without reading the greeting or the
/// response.
fn connect_and_send_request(driver: &Driver) -> Client {
    let mut client = Client::bare(driver.address);
    let mut bytes = Vec::new();
    pg::write_startup_message(&mut bytes, "client", "core");
    pg::write_query(&mut bytes, &[look(15000).as_bytes()]);
    client.raw(&bytes);
    client
}

/// Returns whether the client receives the greeting, and then a response that serves its request.
fn is_greeted_and_served(client: &mut Client) -> bool {
    client.answer().is_some() && client.answer().is_some_and(|response| served(&response))
}

/// Reads the text that the status socket at `path` sends.
fn read_status(path: &str) -> String {
    let mut text = String::new();
    let mut stream = UnixStream::connect(path).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let _ = stream.read_to_string(&mut text);
    text
}

/// Returns a path for a status socket that no other test process uses.
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
        until("the log line about the shutdown", || driver.logged("stopping"));
        driver.signal("-STOP");
        let mut clients: Vec<Client> = (0..5).map(|_| connect_and_send_request(&driver)).collect();
        faults.set(&format!("accept {error} 100 2"));
        // The time for new connections ends while the proxy is suspended and accepts none.
        thread::sleep(BEYOND_ACCEPT_WINDOW);
        driver.signal("-CONT");
        let lost =
            clients.iter_mut().filter_map(|client| (!is_greeted_and_served(client)).then_some(())).count();
        // Each connection that `accept` reports as aborted is one of the backlog.
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
    // Accepted by the call that was already waiting when the rule was set.
    let _accepted = connect_and_send_request(&driver);
    until("the log line about the failure", || driver.logged("cannot accept connections"));
    let mut waiting = connect_and_send_request(&driver);
    assert!(served(&connected_client.ask(&look(15000))));
    faults.set("");
    assert!(is_greeted_and_served(&mut waiting), "the waiting connection was not accepted from the backlog");
    until("the log line about the recovery", || driver.logged("accepting connections again"));
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
    until("the status socket", || std::path::Path::new(&path).exists());
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
    until("the log line about the failure", || faulty_driver.logged("cannot receive datagrams"));
    let cpu_before = faulty_driver.cpu();
    thread::sleep(Duration::from_millis(500));
    assert!(
        faulty_driver.cpu() - cpu_before < 0.25,
        "busy loop: {} s of CPU time in 0.5 s",
        faulty_driver.cpu() - cpu_before
    );
    assert!(read_status(&path).contains("n1"));
    faults.set("");
    until("gossip from the other proxy", || read_status(&path).contains("n2"));
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
    assert_eq!(
        member.connections.load(Ordering::SeqCst),
        opened,
        "an interrupted peek closed an idle connection"
    );
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
    // Every peek at an idle connection reports a reset, as after the end of the member's process. Whether the
    // member is lost is decided by the error of the connection in use.
    for (error, lost) in [("ETIMEDOUT", false), ("EHOSTUNREACH", false), ("ECONNRESET", true)] {
        let (hold, faults) = (Hold::default(), Faults::default());
        let member_hold = hold.clone();
        let member = Member::start(move |text, stream| {
            let answer = whole(b"the value", text, "writer");
            member_hold.pass();
            // Only the first five bytes are sent, so that the proxy must read the rest by another call.
            let length = if text.contains("id=broken") { 5 } else { answer.len() };
            let _ = stream.write_all(&answer[..length]);
        });
        let driver = start_driver("n0", &[("a", &member)], &faults, None);
        let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(driver.address)).collect();
        hold.close();
        clients.iter_mut().for_each(|client| client.send(&order(15000)));
        until("both attempts at the member", || member.requests().len() == 2);
        hold.open();
        clients.iter_mut().for_each(|client| assert!(served(&client.answer().unwrap())));
        hold.close();
        clients[0].send(&named(&order(15000), "broken"));
        until("the third attempt at the member", || member.requests().len() == 3);
        faults.set(&format!("read:member {error} 100 -\npeek ECONNRESET 100 -"));
        hold.open();
        let response = clients[0].answer().unwrap();
        assert_eq!(response.code, "40003", "{error}");
        // Log lines are in order: once this one is there, all earlier ones are.
        driver.signal("-HUP");
        until("the log line about the reload", || driver.logged("configuration reloaded"));
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
    until("the first request to discovery", || list_requests().len() == 1);
    for (retries, error) in ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE", "ENOBUFS"].iter().enumerate()
    {
        faults.set(&format!("read:discovery {error} 100 1"));
        until("the next request to discovery", || list_requests().len() == retries + 2);
        assert!(list_requests()[retries + 1].contains("index=1"), "{error}: {:?}", list_requests().last());
    }
    faults.set("read:discovery EINTR 50 -");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(list_requests().len(), 6, "an interrupted read ended the watch");
}

#[test]
fn discovery_is_retried_without_backoff_while_this_machine_cannot_connect() {
    let (member, faults, discovery) = (sound("writer"), Faults::default(), Discovery::default());
    discovery.say(list(1, true, &[("a", &member, "in_service")]));
    faults.set("connect ENETUNREACH 100 40");
    let start = Instant::now();
    let known = list(1, true, &[("a", &member, "in_service")]);
    // A backoff would grow up to half of the drain grace, which is 4 s here.
    let config =
        config(discovery.start(), 256, &known).replace("\"fallMs\"", "\"drainGraceMs\":4000,\"fallMs\"");
    let _driver = Driver::failing(&faults, &config, None);
    until("the first request to discovery", || !discovery.requests.lock().unwrap().is_empty());
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}
