//! Tests of the watch on discovery's endpoint list: silent and unreachable discovery, lists in pieces and malformed
//! lists.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Discovery, Driver, config, list, look, served, sound, until};

#[test]
fn the_list_is_followed_through_changes_malformed_lines_and_silence() {
    let (old_member, new_member, moved_member) = (sound("writer"), sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    discovery.mute.store(true, Ordering::SeqCst);
    // Discovery is silent: requests are served from the list in the configuration.
    let proxy = Driver::start(&discovery, 256, &list(1, true, &[("a", &old_member, "in_service")]));
    let mut client = Client::connect(proxy.address);
    assert!(client.ask("").empty);
    assert!(served(&client.ask(&look(15000))));
    // A silent watch is replaced by one that starts from the known revision.
    until("a second watch", || discovery.requests.lock().unwrap().len() >= 2);
    let mut client = Client::connect(proxy.address);
    assert!(discovery.requests.lock().unwrap().iter().all(|request| request.contains("index=1")));
    discovery.say(list(2, false, &[("a", &old_member, "terminating"), ("b", &new_member, "in_service")]));
    discovery.mute.store(false, Ordering::SeqCst);
    until("a request at the new member", || {
        assert!(served(&client.ask(&look(15000))));
        !new_member.requests().is_empty()
    });
    // The old member is draining and gets no more requests.
    let requests_before = old_member.requests().len();
    for _ in 0..5 {
        assert!(served(&client.ask(&look(15000))));
    }
    assert_eq!(old_member.requests().len(), requests_before);
    // A malformed line is logged, and the complete list is requested again.
    let watch_count = discovery.requests.lock().unwrap().len();
    discovery.say("{\"revision\":3,\"members\":[{".to_owned());
    until("a new watch", || discovery.requests.lock().unwrap().len() > watch_count);
    assert!(proxy.logged("discovery watch lost"));
    // The member moves: the same id has another address.
    discovery.lines.lock().unwrap().clear();
    discovery.say(list(4, true, &[("b", &moved_member, "in_service")]));
    until("a request at the new address", || {
        assert!(served(&client.ask(&look(15000))));
        !moved_member.requests().is_empty()
    });
    let requests = discovery.requests.lock().unwrap();
    assert!(!requests[watch_count].contains("index="), "{}", requests[watch_count]);
}

#[test]
fn an_indented_list_is_accepted_and_a_truncated_one_is_requested_again() {
    let (old_member, new_member) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    let proxy = Driver::start(&discovery, 256, &list(1, true, &[("a", &old_member, "in_service")]));

    // Braces in names must not be mistaken for those of the list.
    let new_list = list(
        2,
        false,
        &[
            ("a}", &old_member, "in_service"),
            ("a", &old_member, "terminating"),
            ("b", &new_member, "in_service"),
        ],
    );
    let new_list = new_list.replace(",\"", ",\n    \"").replace(":[{", ":\n[\n {");
    assert!(new_list.lines().count() > 10);
    discovery.say(new_list);
    until("the new list", || proxy.logged("revision: 2"));
    assert!(!proxy.logged("discovery watch lost"));
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&look(15000))));
    // Half of a list, followed by the blank line that discovery sends between lists: the proxy does not wait for
    // the other half.
    let watch_count = discovery.requests.lock().unwrap().len();
    discovery.say("{\"revision\":3,\n\"complete\":false,".to_owned());
    until("a new watch", || discovery.requests.lock().unwrap().len() > watch_count);
    assert!(!discovery.requests.lock().unwrap()[watch_count].contains("index="));
}

#[test]
fn discovery_that_was_unreachable_is_contacted_again_within_the_drain_grace_period() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    // Discovery closes the watch, and refuses connections for three seconds.
    drop(listener.accept().unwrap());
    drop(listener);
    until("the log line on the lost watch", || proxy.logged("discovery watch lost"));
    thread::sleep(Duration::from_secs(3));
    let reachable_since = Instant::now();
    let listener = TcpListener::bind(address).unwrap();
    let (mut watch, _) = listener.accept().unwrap();
    let elapsed = reachable_since.elapsed();
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
    // Discovery is silent after the response head: the next watch is opened as soon as the silence counts as a
    // failure, within six seconds.
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let silent_since = Instant::now();
    let _next_watch = listener.accept().unwrap();
    let elapsed = silent_since.elapsed();
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
}

#[test]
fn a_watch_that_never_completes_a_line_counts_as_silent() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    let (mut watch, _) = listener.accept().unwrap();
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let silent_since = Instant::now();
    let trickle = thread::spawn(move || {
        // A line that never ends, one byte at a time.
        while watch.write_all(b"1\r\n{\r\n").is_ok() && silent_since.elapsed() < Duration::from_secs(9) {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let (mut watch, _) = listener.accept().unwrap();
    let elapsed = silent_since.elapsed();
    assert!((4500..6000).contains(&elapsed.as_millis()), "{elapsed:?}");
    until("the log line on the lost watch", || proxy.logged("discovery watch lost"));
    // A long list over a slow connection is not silence: it takes longer than the silence timeout and is accepted.
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let new_list =
        list(2, true, &[("a", &member, "in_service")]).replace(",", &format!(",{}", " ".repeat(6000)));
    let line = format!("{}\n", new_list);
    assert!(line.len() > 30_000, "{}", line.len());
    for chunk in line.as_bytes().chunks(line.len() / 7 + 1) {
        let _ = watch.write_all(format!("{:x}\r\n", chunk.len()).as_bytes());
        let _ = watch.write_all(chunk);
        let _ = watch.write_all(b"\r\n");
        thread::sleep(Duration::from_secs(1));
    }
    until("the new list", || proxy.logged("revision: 2"));
    trickle.join().unwrap();
}

#[test]
fn silence_and_a_watch_request_without_a_response_together_take_less_than_six_seconds() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    let response_head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
    let (mut watch, _) = listener.accept().unwrap();
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(response_head);
    let silent_since = Instant::now();
    // The next connection is accepted, but nothing is ever sent on it.
    let _silent_connection = listener.accept().unwrap();
    let (mut watch, _) = listener.accept().unwrap();
    assert!(silent_since.elapsed() < Duration::from_secs(6), "{:?}", silent_since.elapsed());
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(response_head);
    until("the restored watch", || proxy.logged("discovery watch restored"));
}

#[test]
fn idle_clients_cannot_use_up_the_descriptors_of_discovery_members_and_reload() {
    let (old_member, new_member) = (sound("writer"), sound("writer"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let initial_list = list(1, true, &[("a", &old_member, "in_service")]);
    let proxy = Driver::of(&config(address, 64, &initial_list));
    // Discovery becomes unreachable, and clients open as many connections as they can.
    drop(listener.accept().unwrap());
    drop(listener);
    until("the log line on the lost watch", || proxy.logged("discovery watch lost"));
    let _idle_clients: Vec<Client> = (0..200).map(|_| Client::bare(proxy.address)).collect();
    until("the log line on the clients' share of descriptors", || {
        proxy.logged("client share of descriptors used up")
    });
    let listener = TcpListener::bind(address).unwrap();
    let (mut watch, _) = listener.accept().unwrap();
    let _ = watch.read(&mut [0; 512]);
    let new_list = list(2, false, &[("a", &old_member, "terminating"), ("b", &new_member, "in_service")]);
    let response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ =
        watch.write_all(format!("{response_head}{:x}\r\n{new_list}\n\r\n", new_list.len() + 1).as_bytes());
    until("the new list", || proxy.logged("revision: 2"));
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&look(15000))));
    assert!(!new_member.requests().is_empty(), "no request reached the new member");
    proxy.signal("-HUP");
    until("the reloaded configuration", || proxy.logged("configuration reloaded"));
}
