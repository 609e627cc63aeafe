//! The member list at discovery: silence, pieces, and its return, over loopback.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Discovery, Driver, config, list, look, served, sound, until};

#[test]
fn the_list_is_followed_through_changes_nonsense_and_silence() {
    let (old, new, newer) = (sound("writer"), sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    discovery.mute.store(true, Ordering::SeqCst);
    // Silent discovery: what was known at the start serves.
    let driver = Driver::start(&discovery, 256, &list(1, true, &[("a", &old, "in_service")]));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    assert!(served(&client.ask(&look(15000))));
    // A silent watch is opened again, from the revision held.
    until("another watch", || discovery.requests.lock().unwrap().len() >= 2);
    let mut client = Client::connect(driver.address);
    assert!(discovery.requests.lock().unwrap().iter().all(|request| request.contains("index=1")));
    discovery.say(list(2, false, &[("a", &old, "terminating"), ("b", &new, "in_service")]));
    discovery.mute.store(false, Ordering::SeqCst);
    until("a task at the new member", || {
        assert!(served(&client.ask(&look(15000))));
        !new.requests().is_empty()
    });
    // Once told of the drain, nothing more goes there.
    let before = old.requests().len();
    for _ in 0..5 {
        assert!(served(&client.ask(&look(15000))));
    }
    assert_eq!(old.requests().len(), before);
    // Nonsense is logged and the list asked for anew, whole.
    let watches = discovery.requests.lock().unwrap().len();
    discovery.say("{\"revision\":3,\"members\":[{".to_owned());
    until("a new watch", || discovery.requests.lock().unwrap().len() > watches);
    assert!(driver.logged("discovery watch lost"));
    // The member moves: same id, other address.
    discovery.lines.lock().unwrap().clear();
    discovery.say(list(4, true, &[("b", &newer, "in_service")]));
    until("a task at the new address", || {
        assert!(served(&client.ask(&look(15000))));
        !newer.requests().is_empty()
    });
    let requests = discovery.requests.lock().unwrap();
    assert!(!requests[watches].contains("index="), "{}", requests[watches]);
}

#[test]
fn a_list_may_come_indented_and_one_cut_in_two_is_asked_for_anew() {
    let (old, new) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 256, &list(1, true, &[("a", &old, "in_service")]));

    // Braces within names are none of the list's.
    let told =
        list(2, false, &[("a}", &old, "in_service"), ("a", &old, "terminating"), ("b", &new, "in_service")]);
    let told = told.replace(",\"", ",\n    \"").replace(":[{", ":\n[\n {");
    assert!(told.lines().count() > 10);
    discovery.say(told);
    until("the list", || driver.logged("revision: 2"));
    assert!(!driver.logged("discovery watch lost"));
    let mut client = Client::connect(driver.address);
    assert!(served(&client.ask(&look(15000))));
    // Half of one, and what comes between lists: the other half is not waited for.
    let watches = discovery.requests.lock().unwrap().len();
    discovery.say("{\"revision\":3,\n\"complete\":false,".to_owned());
    until("a new watch", || discovery.requests.lock().unwrap().len() > watches);
    assert!(!discovery.requests.lock().unwrap()[watches].contains("index="));
}

#[test]
fn discovery_that_was_away_is_asked_within_the_grace_of_drains() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let driver = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    // It breaks the watch off, and refuses connections for three seconds.
    drop(listener.accept().unwrap());
    drop(listener);
    until("the loss", || driver.logged("discovery watch lost"));
    thread::sleep(Duration::from_secs(3));
    let back = Instant::now();
    let listener = TcpListener::bind(address).unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    let waited = back.elapsed();
    assert!(waited < Duration::from_millis(400), "{waited:?}");
    // Silence after the request: the next one comes at once when it is over, six seconds after at the latest.
    let _ = stream.read(&mut [0; 512]);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let silent = Instant::now();
    let _next = listener.accept().unwrap();
    let waited = silent.elapsed();
    assert!(waited < Duration::from_secs(6), "{waited:?}");
}

#[test]
fn a_watch_that_trickles_is_silent() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let driver = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    let (mut stream, _) = listener.accept().unwrap();
    let _ = stream.read(&mut [0; 512]);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    let silent = Instant::now();
    let trickling = thread::spawn(move || {
        // A line that never ends, a byte at a time.
        while stream.write_all(b"1\r\n{\r\n").is_ok() && silent.elapsed() < Duration::from_secs(9) {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let (mut stream, _) = listener.accept().unwrap();
    let waited = silent.elapsed();
    assert!((4500..6000).contains(&waited.as_millis()), "{waited:?}");
    until("the loss", || driver.logged("discovery watch lost"));
    // A long list on a slow line is none: it takes longer than any silence, and is taken.
    let _ = stream.read(&mut [0; 512]);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let told = list(2, true, &[("a", &member, "in_service")]).replace(",", &format!(",{}", " ".repeat(6000)));
    let line = format!("{}\n", told);
    assert!(line.len() > 30_000, "{}", line.len());
    for piece in line.as_bytes().chunks(line.len() / 7 + 1) {
        let _ = stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes());
        let _ = stream.write_all(piece);
        let _ = stream.write_all(b"\r\n");
        thread::sleep(Duration::from_secs(1));
    }
    until("the list", || driver.logged("revision: 2"));
    trickling.join().unwrap();
}

#[test]
fn silence_and_an_opening_that_hangs_add_up_to_less_than_six_seconds() {
    let member = sound("writer");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let driver = Driver::of(&config(address, 256, &list(1, true, &[("a", &member, "in_service")])));
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
    let (mut watch, _) = listener.accept().unwrap();
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(head);
    let silent = Instant::now();
    // The next connection is taken, and nothing is ever said on it.
    let _mute = listener.accept().unwrap();
    let (mut watch, _) = listener.accept().unwrap();
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
    let _ = watch.read(&mut [0; 512]);
    let _ = watch.write_all(head);
    until("the list", || driver.logged("discovery watch restored"));
}

#[test]
fn idle_clients_that_use_up_their_descriptors_leave_those_of_discovery_members_and_reload() {
    let (old, new) = (sound("writer"), sound("writer"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let known = list(1, true, &[("a", &old, "in_service")]);
    let driver = Driver::of(&config(address, 64, &known));
    // Discovery goes away, and clients take all that they can get.
    drop(listener.accept().unwrap());
    drop(listener);
    until("the loss", || driver.logged("discovery watch lost"));
    let _idle: Vec<Client> = (0..200).map(|_| Client::bare(driver.address)).collect();
    until("the line on the clients' share", || driver.logged("client share of descriptors used up"));
    let listener = TcpListener::bind(address).unwrap();
    let (mut watch, _) = listener.accept().unwrap();
    let _ = watch.read(&mut [0; 512]);
    let told = list(2, false, &[("a", &old, "terminating"), ("b", &new, "in_service")]);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = watch.write_all(format!("{head}{:x}\r\n{told}\n\r\n", told.len() + 1).as_bytes());
    until("the list", || driver.logged("revision: 2"));
    let mut client = Client::connect(driver.address);
    assert!(served(&client.ask(&look(15000))));
    assert!(!new.requests().is_empty(), "a new connection to a member");
    driver.signal("-HUP");
    until("the file", || driver.logged("configuration reloaded"));
}
