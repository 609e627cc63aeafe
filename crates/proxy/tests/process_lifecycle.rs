//! End-to-end tests over loopback of how connections are opened, kept and closed, and of how the proxy starts, reloads
//! its configuration, stops and restarts.

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
fn connections_without_a_request_time_out_and_are_evicted_for_new_clients() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let proxy = Driver::start(&discovery, 64, &list(1, true, &[("a", &member, "in_service")]));
    let mut served_client = Client::connect(proxy.address);
    assert!(served(&served_client.ask(&look(15000))));
    let opened_at = Instant::now();
    let silent_clients: Vec<Client> = (0..150).map(|_| Client::bare(proxy.address)).collect();
    // Some clients begin a statement and never finish it.
    let connect_with_partial_statement = || {
        let mut client = Client::connect(proxy.address);
        client.raw(b"Q\0\0\0");
        client
    };
    let partial_statement_clients: Vec<Client> = (0..50).map(|_| connect_with_partial_statement()).collect();
    for _ in 0..5 {
        assert!(served(&Client::connect(proxy.address).ask(&look(15000))), "a new client is served at once");
    }
    assert!(served(&served_client.ask(&look(15000))), "a client with earlier requests is not evicted first");
    assert!(silent_clients.into_iter().chain(partial_statement_clients).all(|mut client| client.ended()));
    assert!(opened_at.elapsed() < Duration::from_secs(15), "{:?}", opened_at.elapsed());
}

#[test]
fn idle_connections_do_not_exhaust_the_descriptor_share_of_clients() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let proxy = Driver::start(&discovery, 256, &list(1, true, &[("a", &member, "in_service")]));
    let mut idle_clients = Vec::new();
    for index in 0..80 {
        let mut client = Client::connect(proxy.address);
        assert!(served(&client.ask(&look(15000))), "{index}");
        idle_clients.push(client);
        if index == 70 {
            // The oldest connection is closed well before the idle timeout.
            idle_clients[0].stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            assert!(matches!(idle_clients[0].stream.read(&mut [0]), Ok(0)));
            assert!(served(&idle_clients[69].ask(&look(15000))));
        }
    }
}

#[test]
fn an_oversized_message_is_rejected_while_the_client_is_still_sending() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let mut writer = client.stream.try_clone().unwrap();
    let sender = thread::spawn(move || {
        let _ = writer.write_all(b"Q\x03\x93\x87\x00/* id=1,c=look");
        let chunk = [b'x'; 1 << 16];
        (0..900).take_while(|_| writer.write_all(&chunk).is_ok()).count()
    });
    assert_eq!(client.answer().unwrap().code, "08P01");
    assert!(sender.join().unwrap() < 900, "most of the message was never read");
    assert!(served(&Client::connect(proxy.address).ask(&look(15000))));
}

#[test]
fn a_configuration_reload_switches_to_the_new_discovery_address() {
    let (old_member, new_member) = (sound("writer"), sound("writer"));
    let (old_discovery, new_discovery) = (Discovery::default(), Discovery::default());
    old_discovery.say(list(1, true, &[("a", &old_member, "in_service")]));
    let endpoint_list = list(1, true, &[("a", &old_member, "in_service")]);
    let mut proxy = Driver::of(&config(old_discovery.start(), 256, &endpoint_list));
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&look(15000))));
    let configuration = config(new_discovery.start(), 256, &endpoint_list);
    // A truncated or missing file leaves the configuration unchanged.
    std::fs::write(&proxy.config, &configuration[..configuration.len() / 2]).unwrap();
    proxy.signal("-HUP");
    until("the log line about the truncated file", || proxy.logged("configuration not reloaded"));
    std::fs::write(&proxy.config, configuration.replace("\"n0\"", "\"n1\"")).unwrap();
    new_discovery.say(list(2, false, &[("a", &old_member, "terminating"), ("b", &new_member, "in_service")]));
    proxy.signal("-HUP");
    proxy.signal("-HUP");
    let mut client = Client::connect(proxy.address);
    until("a request at the member that only the new discovery address lists", || {
        assert!(served(&client.ask(&look(15000))));
        !new_member.requests().is_empty()
    });
    assert!(
        new_discovery.requests.lock().unwrap()[0].contains("index=1"),
        "the last endpoint list stays in force"
    );
    assert!(proxy.logged("cannot change while running, field: name"));
    proxy.signal("-TERM");
    proxy.signal("-HUP");
    until("the exit of the proxy", || proxy.child.try_wait().unwrap().is_some());
    assert!(proxy.child.wait().unwrap().success());
}

#[test]
fn old_connections_to_a_silent_member_are_abandoned_after_one_timeout() {
    let (old_connections_silent, old_connections) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (member_old_connections_silent, member_old_connections) =
        (old_connections_silent.clone(), old_connections.clone());
    let member = Member::start(move |text, stream| {
        let peer = stream.peer_addr().unwrap();
        if !member_old_connections_silent.load(Ordering::SeqCst) {
            member_old_connections.lock().unwrap().push(peer);
            thread::sleep(Duration::from_millis(100));
        }
        // From then on, connections opened before stay open without an answer; new ones are answered.
        if !member_old_connections_silent.load(Ordering::SeqCst)
            || !member_old_connections.lock().unwrap().contains(&peer)
        {
            serve(text, "writer", stream);
        }
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(proxy.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(15000)));
    assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())));
    old_connections_silent.store(true, Ordering::SeqCst);
    let mut timeouts = 0;
    until("an answer over a new connection", || {
        let served = served(&clients[0].ask(&order(1000)));
        timeouts += usize::from(!served);
        served
    });
    assert!(timeouts <= 2, "{timeouts}");
}

#[test]
fn a_client_that_disconnects_affects_no_other_request() {
    let member = Member::start(|text, stream| {
        if text.contains("id=5") {
            thread::sleep(Duration::from_millis(300));
        }
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let slow_statement = named(&look(15000), "5");
    let mut disconnecting_client = Client::connect(proxy.address);
    disconnecting_client.send(&slow_statement);
    until("the attempt", || member.requests().len() == 1);
    drop(disconnecting_client);
    let mut client = Client::connect(proxy.address);
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
    let mut proxy = Driver::of(&config);
    let (address, finished) = (proxy.address, Arc::new(AtomicBool::new(false)));
    let terminated_at = Arc::new(Mutex::new(None::<Instant>));
    let traffic = |number: usize| {
        let (terminated_at, finished) = (terminated_at.clone(), finished.clone());
        thread::spawn(move || {
            let mut answers = 0;
            while !finished.load(Ordering::SeqCst) {
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
                let response = client.answer().and_then(|_| client.answer());
                // A connection opened late in the shutdown may be closed without an answer.
                let late_in_shutdown = terminated_at
                    .lock()
                    .unwrap()
                    .is_some_and(|terminated_at| terminated_at.elapsed() > Duration::from_millis(400));
                assert!(response.as_ref().is_some_and(served) || late_in_shutdown, "{response:?}");
                // The proxy may close a connection in use between requests, but must send neither a partial
                // response nor an error.
                while response.is_some() && !finished.load(Ordering::SeqCst) {
                    let mut query = Vec::new();
                    pg::write_query(&mut query, &[statement.as_bytes()]);
                    let Some(response) = client.stream.write_all(&query).ok().and_then(|()| client.answer())
                    else {
                        break;
                    };
                    assert!(served(&response), "{response:?}");
                    answers += 1;
                }
            }
            answers
        })
    };
    let clients: Vec<_> = (0..8).map(traffic).collect();
    until("traffic before the restart", || member.requests().len() > 50);
    *terminated_at.lock().unwrap() = Some(Instant::now());
    proxy.signal("-TERM");
    assert!(proxy.child.wait().unwrap().success());
    let requests_before = member.requests().len();
    let restarted_proxy = Driver::at(address, &config);
    until("traffic after the restart", || member.requests().len() > requests_before + 50);
    finished.store(true, Ordering::SeqCst);
    for client in clients {
        assert!(client.join().unwrap() > 0);
    }
    drop(restarted_proxy);
}

#[test]
fn a_killed_proxy_restarts_on_the_same_address() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let config = config(discovery.start(), 256, &list(1, true, &[("a", &member, "in_service")]));
    let mut proxy = Driver::of(&config);
    let mut clients: Vec<Client> = (0..5).map(|_| Client::connect(proxy.address)).collect();
    assert!(clients.iter_mut().all(|client| served(&client.ask(&order(15000)))));
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    let restarted_proxy = Driver::at(proxy.address, &config);
    assert!(clients.iter_mut().all(Client::ended));
    assert!(served(&Client::connect(restarted_proxy.address).ask(&order(15000))));
}

#[test]
fn clients_beyond_the_descriptor_share_are_rejected_and_idle_ones_evicted() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") && text.contains("id=5") {
            thread::sleep(Duration::from_secs(2));
        }
        serve(text, "writer", stream);
    });
    let discovery = Discovery::default();
    let proxy = Driver::start(&discovery, 64, &list(1, true, &[("a", &member, "in_service")]));
    let mut clients: Vec<Client> = (0..200).map(|_| Client::connect(proxy.address)).collect();
    let open_clients = clients.iter_mut().filter(|client| {
        client.stream.set_nonblocking(true).unwrap();
        let is_open = matches!(client.stream.peek(&mut [0; 1]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).unwrap();
        is_open
    });
    let mut open_clients: Vec<&mut Client> = open_clients.collect();
    assert!((8..64).contains(&open_clients.len()), "{}", open_clients.len());
    // With a request in flight on every connection, the next client is rejected.
    for (index, client) in open_clients.iter_mut().enumerate() {
        // An empty query sent in the same write: its response shows that the request after it was read, too.
        let mut queries = Vec::new();
        pg::write_query(&mut queries, &[]);
        pg::write_query(&mut queries, &[named(&look(15000), &format!("5{index}")).as_bytes()]);
        client.raw(&queries);
    }
    open_clients.iter_mut().for_each(|client| assert!(client.answer().unwrap().empty));
    let mut extra_client = Client::bare(proxy.address);
    let mut startup_message = Vec::new();
    pg::write_startup_message(&mut startup_message, "client", "core");
    extra_client.raw(&startup_message);
    let response = extra_client.answer();
    assert!(response.is_none_or(|response| response.code == "53300"));
    let mut codes: HashMap<String, usize> = HashMap::new();
    for client in open_clients {
        let response = client.answer().unwrap();
        *codes.entry(response.code).or_default() += usize::from(response.value.is_some()).max(1);
    }
    assert!(codes.keys().all(|code| code.is_empty() || code == "53300"), "{codes:?}");
    assert!(proxy.logged("client share of descriptors used up"));
}

#[test]
fn idle_connections_to_one_member_are_closed_when_another_needs_descriptors() {
    let slow_member = || {
        Member::start(|text, stream| {
            if text.starts_with("/*") {
                thread::sleep(Duration::from_millis(300));
            }
            serve(text, "reader", stream);
        })
    };
    let (first, second) = (slow_member(), slow_member());
    let discovery = Discovery::default();
    let members = [("a2", &first, "in_service"), ("b3", &second, "in_service")];
    let proxy = Driver::start(&discovery, 64, &list(1, true, &members));
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(proxy.address)).collect();
    for group in ["cluster=2", "cluster=3", "cluster=2"] {
        clients.iter_mut().for_each(|client| client.send(&look(15000).replace("cluster=2", group)));
        assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())), "{group}");
    }
    // The members' share of descriptors has no room for ten connections beside the first member's ten idle ones.
    assert!(second.connections.load(Ordering::SeqCst) >= 8);
}

#[test]
fn startup_errors_are_reported_in_one_line() {
    let assert_fails = |output: Output, fragments: &[&str]| {
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && message.trim_end().lines().count() == 1, "{message}");
        assert!(fragments.iter().all(|fragment| message.contains(fragment)), "{message}");
    };
    let run = |subcommand: &str, config: &str| {
        let (mut command, path) = aldermill(&[subcommand], config);
        let output = command.output().unwrap();
        std::fs::remove_file(path).unwrap();
        output
    };
    let valid_configuration = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    for subcommand in ["serve", "check"] {
        assert_fails(run(subcommand, "{"), &["config-", "EOF"]);
        assert_fails(
            run(subcommand, &valid_configuration.replace("\"seed\":\"8c", "\"seed\":\"xx")),
            &["config-", "seed"],
        );
        assert_fails(
            run(subcommand, &valid_configuration.replace("127.0.0.1:1\"", "nowhere\"")),
            &["config-", "listen"],
        );
        assert_fails(
            run(subcommand, &valid_configuration.replace("\"weights\"", "\"heights\"")),
            &["config-", "weights"],
        );
        assert_fails(
            run(subcommand, &valid_configuration.replace("\"sockets\":256", "\"sockets\":6")),
            &["config-", "limits.sockets"],
        );
    }
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap().to_string();
    assert_fails(
        run("serve", &valid_configuration.replace("127.0.0.1:1\"", &format!("{address}\""))),
        &["listen", &address],
    );
    let check_output = run("check", &valid_configuration);
    assert!(check_output.status.success());
    assert!(String::from_utf8(check_output.stdout).unwrap().contains("2 offerings"));
}

#[test]
fn shadow_settings_are_evaluated_and_invalid_ones_leave_the_proxy_unchanged() {
    let shadow_configuration = |settings: &str| {
        let path = file("settings", settings);
        format!(r#"{{"trial":{{"settings":{:?},"one_in":1,"every_s":1}}}}"#, path.display().to_string())
    };
    let shadow_settings = TERMS.replace(r#""balancers":1"#, r#""balancers":400"#);
    let (primary, replica) = (sound("writer"), sound("reader"));
    let endpoint_list = list(1, true, &[("a", &primary, "in_service"), ("b", &replica, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(endpoint_list.clone());
    let config = config(discovery.start(), 256, &endpoint_list);
    let mut proxy =
        Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&shadow_configuration(&shadow_settings)));
    let mut client = Client::connect(proxy.address);
    let all_served = |client: &mut Client| (0..20).all(|_| served(&client.ask(&look(15000))));
    assert!(all_served(&mut client));
    until("the counts of the shadow evaluation", || {
        proxy.logged("shadow evaluation") && proxy.logged("not_health_checked=")
    });
    let operator = proxy.operator.clone().unwrap();
    // With settings that cannot be parsed, the shadow evaluation and service continue.
    std::fs::write(&operator, shadow_configuration("{")).unwrap();
    proxy.signal("-HUP");
    until("the log line about the invalid settings", || proxy.logged("configuration not reloaded"));
    assert!(proxy.logged("shadow.settings: "));
    assert!(all_served(&mut client));
    std::fs::write(&operator, "{}").unwrap();
    proxy.signal("-HUP");
    until("the log line about the reload", || proxy.logged("configuration reloaded"));
    assert!(all_served(&mut client));
    proxy.signal("-TERM");
    until("the exit of the proxy", || proxy.child.try_wait().unwrap().is_some());
    // At startup such settings are rejected with a one-line message.
    let (mut command, _) = aldermill(&["check"], &config);
    let invalid_configuration =
        file("operator", &shadow_configuration(&TERMS.replace("\"look\"", "\"see\"")));
    let output = command.env("ALDERMILL_OPERATOR", &invalid_configuration).output().unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("shadow.settings: ")
            && message.contains("categories")
            && message.lines().count() == 1,
        "{message}"
    );
}
