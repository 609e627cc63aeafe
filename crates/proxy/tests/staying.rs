//! Connections that come, stay and go, and the program that is told to stop, restarted or started wrongly, over loopback.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, LONG, Member, TERMS, aldermill, config, file, list, look, named, order, serve,
    served, sound, until,
};
use aldermill_wire::{Buffer, pg};

#[test]
fn connections_that_never_ask_are_closed_soon_and_give_way_at_once() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 64, &list(1, true, &[("a", &member, "in_service")]));
    let mut usual = Client::connect(driver.address);
    assert!(served(&usual.ask(&look(15000))));
    let start = Instant::now();
    let silent: Vec<Client> = (0..150).map(|_| Client::bare(driver.address)).collect();
    // Some begin a statement and never end it.
    let begin = || {
        let mut client = Client::connect(driver.address);
        client.raw(b"Q\0\0\0");
        client
    };
    let half: Vec<Client> = (0..50).map(|_| begin()).collect();
    for _ in 0..5 {
        assert!(served(&Client::connect(driver.address).ask(&look(15000))), "there is room at once");
    }
    assert!(served(&usual.ask(&look(15000))), "who was served before is not the first to go");
    assert!(silent.into_iter().chain(half).all(|mut client| client.ended()));
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
}

#[test]
fn connections_used_once_and_kept_do_not_use_up_what_clients_have() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 256, &list(1, true, &[("a", &member, "in_service")]));
    let mut kept = Vec::new();
    for number in 0..80 {
        let mut client = Client::connect(driver.address);
        assert!(served(&client.ask(&look(15000))), "{number}");
        kept.push(client);
        if number == 70 {
            // Long before it would be closed for having stood idle.
            kept[0].stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            assert!(matches!(kept[0].stream.read(&mut [0]), Ok(0)));
            assert!(served(&kept[69].ask(&look(15000))));
        }
    }
}

#[test]
fn a_client_that_sends_without_end_gets_its_error_while_it_sends() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    let mut writer = client.stream.try_clone().unwrap();
    let sending = thread::spawn(move || {
        let _ = writer.write_all(b"Q\x03\x93\x87\x00/* id=1,c=look");
        let piece = [b'x'; 1 << 16];
        (0..900).take_while(|_| writer.write_all(&piece).is_ok()).count()
    });
    assert_eq!(client.answer().unwrap().code, "08P01");
    assert!(sending.join().unwrap() < 900, "most of it was never taken in");
    assert!(served(&Client::connect(driver.address).ask(&look(15000))));
}

#[test]
fn told_to_read_its_configuration_anew_it_follows_discovery_to_its_new_address() {
    let (old, new) = (sound("writer"), sound("writer"));
    let (first, second) = (Discovery::default(), Discovery::default());
    first.say(list(1, true, &[("a", &old, "in_service")]));
    let told = list(1, true, &[("a", &old, "in_service")]);
    let mut driver = Driver::of(&config(first.start(), 256, &told));
    let mut client = Client::connect(driver.address);
    assert!(served(&client.ask(&look(15000))));
    let whole = config(second.start(), 256, &told);
    // A file that is half written, or gone, changes nothing.
    std::fs::write(&driver.config, &whole[..whole.len() / 2]).unwrap();
    driver.signal("-HUP");
    until("the line on the half file", || driver.logged("configuration not reloaded"));
    std::fs::write(&driver.config, whole.replace("\"n0\"", "\"n1\"")).unwrap();
    second.say(list(2, false, &[("a", &old, "terminating"), ("b", &new, "in_service")]));
    driver.signal("-HUP");
    driver.signal("-HUP");
    let mut client = Client::connect(driver.address);
    until("a task at the member that only the new address names", || {
        assert!(served(&client.ask(&look(15000))));
        !new.requests().is_empty()
    });
    assert!(second.requests.lock().unwrap()[0].contains("index=1"), "the last list stays in force");
    assert!(driver.logged("cannot change while running, field: name"));
    driver.signal("-TERM");
    driver.signal("-HUP");
    until("the end", || driver.child.try_wait().unwrap().is_some());
    assert!(driver.child.wait().unwrap().success());
}

#[test]
fn one_silence_is_enough_to_give_up_old_connections() {
    let (vanished, old) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (seen_vanished, seen_old) = (vanished.clone(), old.clone());
    let member = Member::start(move |text, stream| {
        let peer = stream.peer_addr().unwrap();
        if !seen_vanished.load(Ordering::SeqCst) {
            seen_old.lock().unwrap().push(peer);
            thread::sleep(Duration::from_millis(100));
        }
        // Connections from before it vanished stay open and silent; new ones are answered.
        if !seen_vanished.load(Ordering::SeqCst) || !seen_old.lock().unwrap().contains(&peer) {
            serve(text, "writer", stream);
        }
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(15000)));
    assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())));
    vanished.store(true, Ordering::SeqCst);
    let mut silent = 0;
    until("an answer over a new connection", || {
        let served = served(&clients[0].ask(&order(1000)));
        silent += usize::from(!served);
        served
    });
    assert!(silent <= 2, "{silent}");
}

#[test]
fn a_client_that_leaves_costs_nothing_but_its_own_request() {
    let member = Member::start(|text, stream| {
        if text.contains("id=5") {
            thread::sleep(Duration::from_millis(300));
        }
        serve(text, "writer", stream);
    });
    let driver = Driver::before(&[("a", &member)]);
    let slow = named(&look(15000), "5");
    let mut gone = Client::connect(driver.address);
    gone.send(&slow);
    until("the attempt", || member.requests().len() == 1);
    drop(gone);
    let mut client = Client::connect(driver.address);
    for _ in 0..5 {
        assert!(served(&client.ask(&look(15000))));
    }
    assert_eq!(member.requests().len(), 6);
}

#[test]
fn a_planned_restart_under_traffic_loses_no_request() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") {
            thread::sleep(Duration::from_millis(30));
        }
        serve(text, "writer", stream);
    });
    let config = config(Discovery::default().start(), 256, &list(1, true, &[("a", &member, "in_service")]));
    let mut driver = Driver::of(&config);
    let (address, over) = (driver.address, Arc::new(AtomicBool::new(false)));
    let told = Arc::new(Mutex::new(None::<Instant>));
    let traffic = |number: usize| {
        let (told, over) = (told.clone(), over.clone());
        thread::spawn(move || {
            let mut answers = 0;
            while !over.load(Ordering::SeqCst) {
                let Ok(stream) = TcpStream::connect(address) else {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                stream.set_read_timeout(Some(LONG)).unwrap();
                let mut client = Client { stream, buffer: Buffer::default() };
                let mut bytes = Vec::new();
                pg::write_startup_message(&mut bytes, "client", "core");
                let statement = if number.is_multiple_of(2) { look(15000) } else { order(15000) };
                pg::write_query(&mut bytes, &[statement.as_bytes()]);
                if client.stream.write_all(&bytes).is_err() {
                    continue;
                }
                let said = client.answer().and_then(|_| client.answer());
                // What comes late in the stop may find the door closed.
                let late =
                    told.lock().unwrap().is_some_and(|told| told.elapsed() > Duration::from_millis(400));
                assert!(said.as_ref().is_some_and(served) || late, "{said:?}");
                // On a connection in use an end between requests is allowed, half an answer or an error is
                // not.
                while said.is_some() && !over.load(Ordering::SeqCst) {
                    let mut query = Vec::new();
                    pg::write_query(&mut query, &[statement.as_bytes()]);
                    let Some(said) = client.stream.write_all(&query).ok().and_then(|()| client.answer())
                    else {
                        break;
                    };
                    assert!(served(&said), "{said:?}");
                    answers += 1;
                }
            }
            answers
        })
    };
    let clients: Vec<_> = (0..8).map(traffic).collect();
    until("traffic", || member.requests().len() > 50);
    *told.lock().unwrap() = Some(Instant::now());
    driver.signal("-TERM");
    assert!(driver.child.wait().unwrap().success());
    let before = member.requests().len();
    let again = Driver::at(address, &config);
    until("traffic again", || member.requests().len() > before + 50);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    drop(again);
}

#[test]
fn killed_outright_it_starts_again_under_its_address() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let config = config(discovery.start(), 256, &list(1, true, &[("a", &member, "in_service")]));
    let mut driver = Driver::of(&config);
    let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(driver.address)).collect();
    assert!(clients.iter_mut().all(|client| served(&client.ask(&order(15000)))));
    driver.child.kill().unwrap();
    driver.child.wait().unwrap();
    let again = Driver::at(driver.address, &config);
    assert!(clients.iter_mut().all(Client::ended));
    assert!(served(&Client::connect(again.address).ask(&order(15000))));
}

#[test]
fn clients_over_their_share_are_told_and_idle_ones_make_room() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") && text.contains("id=5") {
            thread::sleep(Duration::from_secs(2));
        }
        serve(text, "writer", stream);
    });
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 64, &list(1, true, &[("a", &member, "in_service")]));
    let mut clients: Vec<Client> = (0..200).map(|_| Client::connect(driver.address)).collect();
    let open = clients.iter_mut().filter(|client| {
        client.stream.set_nonblocking(true).unwrap();
        let open = matches!(client.stream.peek(&mut [0; 1]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).unwrap();
        open
    });
    let mut open: Vec<&mut Client> = open.collect();
    assert!((8..64).contains(&open.len()), "{}", open.len());
    // With a request under way on each, the next is told that there is no room.
    for (number, client) in open.iter_mut().enumerate() {
        // An empty query in the same piece: its answer shows that the request behind it was read, too.
        let mut piece = Vec::new();
        pg::write_query(&mut piece, &[]);
        pg::write_query(&mut piece, &[named(&look(15000), &format!("5{number}")).as_bytes()]);
        client.raw(&piece);
    }
    open.iter_mut().for_each(|client| assert!(client.answer().unwrap().empty));
    let mut more = Client::bare(driver.address);
    let mut hello = Vec::new();
    pg::write_startup_message(&mut hello, "client", "core");
    more.raw(&hello);
    let said = more.answer();
    assert!(said.is_none_or(|said| said.code == "53300"));
    let mut codes: HashMap<String, usize> = HashMap::new();
    for client in open {
        let said = client.answer().unwrap();
        *codes.entry(said.code).or_default() += usize::from(said.value.is_some()).max(1);
    }
    assert!(codes.keys().all(|code| code.is_empty() || code == "53300"), "{codes:?}");
    assert!(driver.logged("client share of descriptors used up"));
}

#[test]
fn a_member_at_its_limit_takes_the_place_of_others_idle_connections() {
    let slow = || {
        Member::start(|text, stream| {
            if text.starts_with("/*") {
                thread::sleep(Duration::from_millis(300));
            }
            serve(text, "reader", stream);
        })
    };
    let (first, second) = (slow(), slow());
    let discovery = Discovery::default();
    let members = [("a2", &first, "in_service"), ("b3", &second, "in_service")];
    let driver = Driver::start(&discovery, 64, &list(1, true, &members));
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(driver.address)).collect();
    for group in ["cluster=2", "cluster=3", "cluster=2"] {
        clients.iter_mut().for_each(|client| client.send(&look(15000).replace("cluster=2", group)));
        assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())), "{group}");
    }
    // Ten at once do not fit into the members' share beside the first member's ten idle ones.
    assert!(second.connections.load(Ordering::SeqCst) >= 8);
}

#[test]
fn what_is_wrong_with_a_start_is_said_in_one_line() {
    let fails = |output: Output, words: &[&str]| {
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && said.trim_end().lines().count() == 1, "{said}");
        assert!(words.iter().all(|word| said.contains(word)), "{said}");
    };
    let run = |verb: &str, config: &str| {
        let (mut command, path) = aldermill(&[verb], config);
        let output = command.output().unwrap();
        std::fs::remove_file(path).unwrap();
        output
    };
    let good = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    for verb in ["serve", "check"] {
        fails(run(verb, "{"), &["config-", "EOF"]);
        fails(run(verb, &good.replace("\"seed\":\"8c", "\"seed\":\"xx")), &["config-", "seed"]);
        fails(run(verb, &good.replace("127.0.0.1:1\"", "nowhere\"")), &["config-", "listen"]);
        fails(run(verb, &good.replace("\"weights\"", "\"heights\"")), &["config-", "weights"]);
        fails(run(verb, &good.replace("\"sockets\":256", "\"sockets\":6")), &["config-", "limits.sockets"]);
    }
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    fails(run("serve", &good.replace("127.0.0.1:1\"", &format!("{address}\""))), &["listen", &address]);
    let understood = run("check", &good);
    assert!(understood.status.success());
    assert!(String::from_utf8(understood.stdout).unwrap().contains("2 offerings"));
}

#[test]
fn settings_on_trial_are_counted_and_a_bad_file_of_them_leaves_the_driver_as_it_was() {
    let trial = |settings: &str| {
        let path = file("settings", settings);
        format!(r#"{{"trial":{{"settings":{:?},"one_in":1,"every_s":1}}}}"#, path.display().to_string())
    };
    let other = TERMS.replace(r#""balancers":1"#, r#""balancers":400"#);
    let (member, replica) = (sound("writer"), sound("reader"));
    let told = list(1, true, &[("a", &member, "in_service"), ("b", &replica, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(told.clone());
    let config = config(discovery.start(), 256, &told);
    let mut driver = Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&trial(&other)));
    let mut client = Client::connect(driver.address);
    let ask = |client: &mut Client| (0..20).all(|_| served(&client.ask(&look(15000))));
    assert!(ask(&mut client));
    until("counts", || driver.logged("shadow evaluation") && driver.logged("not_health_checked="));
    let operator = driver.operator.clone().unwrap();
    // Settings that cannot be read: the counts go on, and so does service.
    std::fs::write(&operator, trial("{")).unwrap();
    driver.signal("-HUP");
    until("the line on the bad file", || driver.logged("configuration not reloaded"));
    assert!(driver.logged("shadow.settings: "));
    assert!(ask(&mut client));
    std::fs::write(&operator, "{}").unwrap();
    driver.signal("-HUP");
    until("the line on the good file", || driver.logged("configuration reloaded"));
    assert!(ask(&mut client));
    driver.signal("-TERM");
    until("the end", || driver.child.try_wait().unwrap().is_some());
    // At the start such a file is refused in one line.
    let (mut command, _) = aldermill(&["check"], &config);
    let bad = file("operator", &trial(&TERMS.replace("\"look\"", "\"see\"")));
    let output = command.env("ALDERMILL_OPERATOR", &bad).output().unwrap();
    assert!(!output.status.success());
    let why = String::from_utf8(output.stderr).unwrap();
    assert!(
        why.contains("shadow.settings: ") && why.contains("categories") && why.lines().count() == 1,
        "{why}"
    );
}
