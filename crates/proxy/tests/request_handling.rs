//! End-to-end tests of request handling over loopback, with scripted members and discovery: which requests are served,
//! retried, rejected or failed.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use aldermill_test_support::{
    Act, Client, Discovery, Driver, Member, Said, config, config_where_only_draining_binds, list, look,
    order, refuse, serve, served, sound, until,
};
use aldermill_wire::pg;

#[test]
fn reads_and_writes_reach_members_unchanged_but_for_the_timeout() {
    let (primary, replica) = (sound("writer"), sound("reader"));
    let proxy = Driver::before(&[("a", &replica), ("b", &primary)]);
    let mut client = Client::connect(proxy.address);
    assert!(client.ask("").empty);
    let statements: Vec<String> = (0..20).flat_map(|_| [look(15000), order(15000)]).collect();
    assert!(statements.iter().all(|text| served(&client.ask(text))));
    // Until the primary is known, at most one write goes to the replica, which rejects it as not being primary.
    let forwarded = [primary.requests(), replica.requests()].concat();
    assert!(forwarded.len() <= 41, "{}", forwarded.len());
    let with_original_timeout = |text: &str| {
        let (before, rest) = text.split_once(",d=").unwrap();
        let (timeout, after) = rest.split_once(',').unwrap();
        assert!((1..=15000).contains(&timeout.parse::<u32>().unwrap()), "{text}");
        format!("{before},d=15000,{after}")
    };
    assert!(forwarded.iter().all(|text| statements.contains(&with_original_timeout(text))));
    // One request at a time needs one connection per member, and a concurrent health check needs one more.
    assert!(primary.connections.load(Ordering::SeqCst) <= 3);
}

#[test]
fn startup_and_queries_in_one_segment_or_byte_by_byte_are_answered_in_order() {
    let primary = sound("writer");
    let proxy = Driver::before(&[("a", &primary)]);
    let mut bytes = Vec::new();
    pg::write_startup_message(&mut bytes, "client", "core");
    pg::write_query(&mut bytes, &[look(15000).as_bytes()]);
    pg::write_query(&mut bytes, &[b" ; "]);
    pg::write_query(&mut bytes, &[b"SELECT 1"]);
    pg::write_query(&mut bytes, &[look(15000).as_bytes()]);
    for size in [bytes.len(), 1] {
        let mut client = Client::bare(proxy.address);
        client.stream.set_nodelay(true).unwrap();
        // The client first requests encryption, which the proxy declines.
        client.raw(&[0, 0, 0, 8, 4, 210, 22, 47]);
        let mut encryption_response = [0];
        client.stream.read_exact(&mut encryption_response).unwrap();
        assert_eq!(encryption_response, *b"N");
        bytes.chunks(size).for_each(|chunk| client.raw(chunk));
        assert_eq!(client.answer(), Some(Said::default()));
        assert!(served(&client.answer().unwrap()));
        assert!(client.answer().unwrap().empty);
        assert_eq!(client.answer().unwrap().code, "08P01");
        assert!(served(&client.answer().unwrap()));
    }
}

#[test]
fn pipelined_statements_run_together_and_are_answered_in_order() {
    let concurrency = AtomicUsize::new(0);
    let peak_concurrency = Arc::<AtomicUsize>::default();
    let member_peak = peak_concurrency.clone();
    let member = Member::start(move |text, stream| {
        let mut out = Vec::new();
        member_peak.fetch_max(concurrency.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        let key = text.split('\'').nth(1).unwrap_or_default();
        if key.starts_with("slow") {
            thread::sleep(Duration::from_millis(300));
        }
        concurrency.fetch_sub(1, Ordering::SeqCst);
        pg::write_single_row(&mut out, "val", key.as_bytes(), "SELECT 1");
        pg::write_parameter_status(&mut out, "server_role", "writer");
        pg::write_ready_for_query(&mut out);
        let _ = stream.write_all(&out);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let keys = ["slow1", "slow2", "slow3", "quick", "slow4"];
    for key in keys {
        client.send(&look(15000).replace("'k'", &format!("'{key}'")));
    }
    client.send("SELECT 1");
    for key in keys {
        assert_eq!(client.answer().unwrap().value.unwrap(), key.as_bytes());
    }
    assert_eq!(client.answer().unwrap().code, "08P01");
    assert!(peak_concurrency.load(Ordering::SeqCst) >= 3, "requests ran one after another");
}

#[test]
fn malformed_input_is_answered_with_an_error_and_reaches_no_member() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let unknown_class = look(15000).replace("c=look", "c=other");
    let unknown_group = look(15000).replace("cluster=2", "cluster=77");
    let max_after = look(15000).replace("cluster=2", &format!("cluster=2,after={}", u64::MAX));
    assert!(served(&client.ask(&max_after)));
    assert_eq!(
        client.ask(&unknown_group).code,
        "53300",
        "the endpoint list may be outdated, and nothing was forwarded"
    );
    for statement in ["SELECT 1", &unknown_class, &look(0), "/* id=1", "SET x TO 1"] {
        assert_eq!(client.ask(statement).code, "08P01", "{statement}");
    }
    // Extended-protocol messages are skipped up to the next Sync.
    client.raw(b"P\0\0\0\x08\0\0\0\0B\0\0\0\x04S\0\0\0\x04");
    assert_eq!(client.answer().unwrap().code, "0A000");
    assert!(served(&client.ask(&look(15000))));
    // Invalid framing closes the connection, but the process keeps running.
    for garbage in
        [&b"Q\0\0\0\x01\0\0"[..], b"Q\x7f\xff\xff\xff", b"\x01\x02\x03\x04\x05\x06", b"y\0\0\0\x04"]
    {
        let mut client = Client::connect(proxy.address);
        client.raw(garbage);
        assert_eq!(client.answer().unwrap().code, "08P01");
        assert!(client.ended());
    }
    let mut cancel_client = Client::bare(proxy.address);
    cancel_client.raw(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2]);
    assert!(cancel_client.ended());
    assert!(served(&client.ask(&look(15000))));
    assert_eq!(member.requests().len(), 3);
}

#[test]
fn a_write_is_retried_past_replicas_until_it_finds_the_primary() {
    let (first, second, primary) = (sound("reader"), sound("reader"), sound("writer"));
    let proxy = Driver::before(&[("a", &first), ("b", &second), ("c", &primary)]);
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&order(15000))));
    assert_eq!(primary.requests().len(), 1);
}

#[test]
fn a_write_goes_first_to_the_primary_that_the_endpoint_list_names() {
    let (replica, primary) = (sound("reader"), sound("writer"));
    let endpoint_list = list(1, true, &[("a", &replica, "in_service"), ("b", &primary, "in_service")]);
    let endpoint_list = endpoint_list.replacen("\"cell\"", "\"access\":\"reader\",\"cell\"", 1);
    let last_entry = endpoint_list.rfind("\"cell\"").unwrap();
    let endpoint_list =
        format!("{}\"access\":\"writer\",{}", &endpoint_list[..last_entry], &endpoint_list[last_entry..]);
    let config = config(Discovery::default().start(), 256, &endpoint_list);
    let proxy = Driver::of(
        &config
            .replace("\"probes\":true", "\"probes\":false")
            .replace("\"roleListed\":\"off\"", "\"roleListed\":\"delayed\""),
    );
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&order(15000))));
    assert_eq!((replica.requests().len(), primary.requests().len()), (0, 1));
}

#[test]
fn requests_to_an_overloaded_member_are_rejected_with_a_retry_after() {
    let member = Member::start(|text, stream| match text {
        "SHOW usage" => serve(text, "writer", stream),
        _ => refuse("53300", "writer", stream),
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    for statement in [look(2000), order(2000)] {
        let response = client.ask(&statement);
        assert_eq!((&response.code[..], response.value), ("53300", None));
        assert!((1..=500).contains(&response.detail.parse::<u32>().unwrap()), "{}", response.detail);
    }
}

#[test]
fn a_non_idempotent_request_of_unknown_outcome_fails_and_is_not_repeated() {
    // After the whole statement the member stays silent, closes the connection, or sends an error, a malformed response
    // or a truncated one.
    let failures: [(&str, Box<Act>); 5] = [
        ("silent", Box::new(|_, _| {})),
        ("closed", Box::new(|_, stream| stream.shutdown(std::net::Shutdown::Both).unwrap())),
        ("error", Box::new(|_, stream| refuse("XX000", "writer", stream))),
        ("malformed", Box::new(|_, stream| stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap())),
        (
            "truncated",
            Box::new(|_, stream| {
                let mut out = Vec::new();
                pg::write_single_row(&mut out, "val", b"the value", "INSERT 0 1");
                stream.write_all(&out[..out.len() - 20]).unwrap();
                stream.shutdown(std::net::Shutdown::Both).unwrap();
            }),
        ),
    ];
    for (failure, act) in failures {
        let member = Member::start(move |text, stream| match text {
            "SHOW usage" => serve(text, "writer", stream),
            _ => act(text, stream),
        });
        let proxy = Driver::before(&[("a", &member)]);
        let mut client = Client::connect(proxy.address);
        let response = client.ask(&order(3000));
        assert_eq!((&response.code[..], response.value), ("40003", None), "{failure}");
        assert_eq!(member.requests().len(), 1, "{failure}");
        if failure != "silent" {
            assert!(member.connections.load(Ordering::SeqCst) >= 1);
        }
    }
}

#[test]
fn an_attempt_cut_before_its_last_byte_never_ran_and_is_retried() {
    // With a small receive buffer and small segments at the member, the kernel on the proxy's side cannot accept the
    // whole statement at once.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(64).unwrap();
    let closed_connections = Arc::new(AtomicUsize::new(0));
    let member_closed_connections = closed_connections.clone();
    // Closes the connection the first two times that the start of a request arrives.
    let keeps_open = move |bytes: &[u8], startup_complete: bool| {
        !startup_complete
            || !bytes[5..].starts_with(b"/*")
            || member_closed_connections.fetch_add(1, Ordering::SeqCst) >= 2
    };
    let member = Member::at(socket.into(), keeps_open, |text, stream| serve(text, "writer", stream));
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let large = order(15000).replace("9f", &"9f".repeat(60_000));
    assert!(served(&client.ask(&large)));
    assert!(closed_connections.load(Ordering::SeqCst) > 2);
    assert_eq!(member.requests().len(), 1);
}

#[test]
fn a_drain_announced_while_a_connection_opens_withdraws_the_attempt() {
    attempt_is_withdrawn_while_connecting(config, &["terminating"]);
}

/// Guards against an attempt that was decided before the drain and is sent once the member is gone.
#[test]
fn a_member_that_drains_and_goes_while_a_connection_opens_does_not_get_the_attempt() {
    attempt_is_withdrawn_while_connecting(config_where_only_draining_binds, &["terminating", "terminated"]);
}

/// Has the endpoint list state these phases of a member, one after another, while a connection to it opens.
fn attempt_is_withdrawn_while_connecting(config: fn(SocketAddr, usize, &str) -> String, phases: &[&str]) {
    let (connecting, startup_blocked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
    let (member_connecting, member_startup_blocked) = (connecting.clone(), startup_blocked.clone());
    // The first member answers no startup message until the endpoint list has stated all phases.
    let keeps_open = move |_: &[u8], startup_complete: bool| {
        member_connecting.store(true, Ordering::SeqCst);
        until("the last phase", || startup_complete || !member_startup_blocked.load(Ordering::SeqCst));
        true
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let drained = Member::at(listener, keeps_open, |text, stream| serve(text, "writer", stream));
    let primary = sound("writer");
    let discovery = Discovery::default();
    let initial_list = list(1, true, &[("a", &drained, "in_service")]);
    let proxy = Driver::of(&config(discovery.start(), 256, &initial_list));
    let mut client = Client::connect(proxy.address);
    client.send(&look(15000));
    until("a connection to the first member", || connecting.load(Ordering::SeqCst));
    for (revision, phase) in (2..).zip(phases) {
        discovery.say(list(revision, false, &[("a", &drained, phase), ("b", &primary, "in_service")]));
        until("the log line of the list", || proxy.logged(&format!("revision: {revision}")));
    }
    startup_blocked.store(false, Ordering::SeqCst);
    assert!(served(&client.answer().unwrap()));
    assert_eq!((drained.requests().len(), primary.requests().len()), (0, 1));
}

#[test]
fn full_size_values_on_every_connection_stay_within_the_memory_limit() {
    let member = Member::start(|text, stream| {
        let mut out = Vec::new();
        pg::write_single_row(
            &mut out,
            "val",
            &vec![7; if text.starts_with("/*") { 65_536 } else { 0 }],
            "SELECT 1",
        );
        pg::write_parameter_status(&mut out, "server_role", "writer");
        pg::write_ready_for_query(&mut out);
        let _ = stream.write_all(&out);
    });
    let discovery = Discovery::default();
    let proxy = Driver::start(&discovery, 256, &list(1, true, &[("a", &member, "in_service")]));
    let large_statement = || order(15000).replace("9f", &"9f".repeat(65_536));
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(proxy.address)).collect();
    for _ in 0..3 {
        clients.iter_mut().for_each(|client| client.send(&large_statement()));
        for client in &mut clients {
            let response = client.answer().unwrap();
            assert!(response.value.is_some_and(|value| value.len() == 65_536) || response.code == "53300");
        }
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let peak_line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kib: u64 = peak_line.trim().trim_end_matches(" kB").parse().unwrap();
    println!("peak resident memory: {peak_kib} KiB");
    assert!(peak_kib < 64 * 1024, "{peak_kib}");
}

#[test]
fn values_above_the_stated_size_are_served_on_every_connection() {
    let member = Member::start(|text, stream| {
        let mut out = Vec::new();
        pg::write_single_row(
            &mut out,
            "val",
            &vec![7; if text.starts_with("/*") { 900_000 } else { 0 }],
            "SELECT 1",
        );
        pg::write_parameter_status(&mut out, "server_role", "writer");
        pg::write_ready_for_query(&mut out);
        let _ = stream.write_all(&out);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(15000)));
    let answered_in_full =
        |client: &mut Client| client.answer().unwrap().value.is_some_and(|value| value.len() == 900_000);
    assert!(clients.iter_mut().all(answered_in_full));
    assert!(!proxy.logged("member's responses are unusable"));
}
