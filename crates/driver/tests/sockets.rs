//! Starts the program and speaks to it over loopback, with stand-ins for members and discovery.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Output;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{
    Act, Client, Discovery, Driver, LONG, Member, Said, TERMS, aldermill, config, file, honour, honoured,
    list, look, named, order, refuse, sound, until,
};
use aldermill_wire::{Buffer, pg};

#[test]
fn reads_and_writes_are_honoured_and_passed_on_unchanged_but_for_the_wait() {
    let (primary, replica) = (sound("writer"), sound("reader"));
    let driver = Driver::before(&[("a", &replica), ("b", &primary)]);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    let asked: Vec<String> = (0..20).flat_map(|_| [look(15000), order(15000)]).collect();
    assert!(asked.iter().all(|text| honoured(&client.ask(text))));
    // The replica turned one write away at the most, before the primary was known.
    let passed_on = [primary.tasks(), replica.tasks()].concat();
    assert!(passed_on.len() <= 41, "{}", passed_on.len());
    let masked = |text: &str| {
        let (before, rest) = text.split_once(",d=").unwrap();
        let (wait, after) = rest.split_once(',').unwrap();
        assert!((1..=15000).contains(&wait.parse::<u32>().unwrap()), "{text}");
        format!("{before},d=15000,{after}")
    };
    assert!(passed_on.iter().all(|text| asked.contains(&masked(text))));
    // One task at a time needs one connection a member, and one more for a probe on the way.
    assert!(primary.connections.load(Ordering::SeqCst) <= 3);
}

#[test]
fn a_startup_and_queries_in_one_segment_or_byte_by_byte_are_answered_in_order() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut bytes = Vec::new();
    pg::startup(&mut bytes, "client", "core");
    pg::query(&mut bytes, &[look(15000).as_bytes()]);
    pg::query(&mut bytes, &[b" ; "]);
    pg::query(&mut bytes, &[b"SELECT 1"]);
    pg::query(&mut bytes, &[look(15000).as_bytes()]);
    for size in [bytes.len(), 1] {
        let mut client = Client::bare(driver.address);
        client.stream.set_nodelay(true).unwrap();
        // Encryption is declined first.
        client.raw(&[0, 0, 0, 8, 4, 210, 22, 47]);
        let mut declined = [0];
        client.stream.read_exact(&mut declined).unwrap();
        assert_eq!(declined, *b"N");
        bytes.chunks(size).for_each(|piece| client.raw(piece));
        assert_eq!(client.answer(), Some(Said::default()));
        assert!(honoured(&client.answer().unwrap()));
        assert!(client.answer().unwrap().empty);
        assert_eq!(client.answer().unwrap().code, "08P01");
        assert!(honoured(&client.answer().unwrap()));
    }
}

#[test]
fn statements_sent_ahead_are_under_way_together_and_answered_in_order() {
    let (busy, most) = (AtomicUsize::new(0), Arc::<AtomicUsize>::default());
    let seen = most.clone();
    let member = Member::start(move |text, stream| {
        let mut out = Vec::new();
        seen.fetch_max(busy.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        let key = text.split('\'').nth(1).unwrap_or_default();
        if key.starts_with("slow") {
            thread::sleep(Duration::from_millis(300));
        }
        busy.fetch_sub(1, Ordering::SeqCst);
        pg::single_row(&mut out, "val", key.as_bytes(), "SELECT 1");
        pg::parameter_status(&mut out, "server_role", "writer");
        pg::ready(&mut out);
        let _ = stream.write_all(&out);
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    let keys = ["slow1", "slow2", "slow3", "quick", "slow4"];
    for key in keys {
        client.send(&look(15000).replace("'k'", &format!("'{key}'")));
    }
    client.send("SELECT 1");
    for key in keys {
        assert_eq!(client.answer().unwrap().value.unwrap(), key.as_bytes());
    }
    assert_eq!(client.answer().unwrap().code, "08P01");
    assert!(most.load(Ordering::SeqCst) >= 3, "one after another");
}

#[test]
fn bad_input_gets_its_error_and_reaches_no_member() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    let unknown = look(15000).replace("c=look", "c=other");
    let elsewhere = look(15000).replace("cluster=2", "cluster=77");
    let absurd = look(15000).replace("cluster=2", &format!("cluster=2,after={}", u64::MAX));
    assert!(honoured(&client.ask(&absurd)));
    for text in ["SELECT 1", &unknown, &elsewhere, &look(0), "/* id=1", "SET x TO 1"] {
        assert_eq!(client.ask(text).code, "08P01", "{text}");
    }
    // The extended protocol is passed over up to its Sync.
    client.raw(b"P\0\0\0\x08\0\0\0\0B\0\0\0\x04S\0\0\0\x04");
    assert_eq!(client.answer().unwrap().code, "0A000");
    assert!(honoured(&client.ask(&look(15000))));
    // Where the framing is lost, the connection ends; the process lives.
    for garbage in
        [&b"Q\0\0\0\x01\0\0"[..], b"Q\x7f\xff\xff\xff", b"\x01\x02\x03\x04\x05\x06", b"y\0\0\0\x04"]
    {
        let mut client = Client::connect(driver.address);
        client.raw(garbage);
        assert_eq!(client.answer().unwrap().code, "08P01");
        assert!(client.ended());
    }
    let mut cancel = Client::bare(driver.address);
    cancel.raw(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2]);
    assert!(cancel.ended());
    assert!(honoured(&client.ask(&look(15000))));
    assert_eq!(member.tasks().len(), 3);
}

#[test]
fn a_write_walks_past_misses_to_the_primary() {
    let (first, second, primary) = (sound("reader"), sound("reader"), sound("writer"));
    let driver = Driver::before(&[("a", &first), ("b", &second), ("c", &primary)]);
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&order(15000))));
    assert_eq!(primary.tasks().len(), 1);
}

#[test]
fn a_listed_primary_is_tried_first_where_the_list_tells_roles() {
    let (replica, primary) = (sound("reader"), sound("writer"));
    let known = list(1, true, &[("a", &replica, "in_service"), ("b", &primary, "in_service")]);
    let known = known.replacen("\"cell\"", "\"access\":\"reader\",\"cell\"", 1);
    let last = known.rfind("\"cell\"").unwrap();
    let known = format!("{}\"access\":\"writer\",{}", &known[..last], &known[last..]);
    let config = config(Discovery::default().start(), 256, &known);
    let driver = Driver::of(
        &config
            .replace("\"probes\":true", "\"probes\":false")
            .replace("\"roleListed\":\"off\"", "\"roleListed\":\"delayed\""),
    );
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&order(15000))));
    assert_eq!((replica.tasks().len(), primary.tasks().len()), (0, 1));
}

#[test]
fn what_finds_no_room_in_time_is_denied_with_a_cool_down() {
    let member = Member::start(|text, stream| match text {
        "SHOW usage" => honour(text, "writer", stream),
        _ => refuse("53300", "writer", stream),
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    for statement in [look(2000), order(2000)] {
        let said = client.ask(&statement);
        assert_eq!((&said.code[..], said.value), ("53300", None));
        assert!((1..=500).contains(&said.detail.parse::<u32>().unwrap()), "{}", said.detail);
    }
}

#[test]
fn an_effectful_task_of_unknown_fate_is_broken_off_after_one_copy() {
    // Silence after the whole statement, a reset, an error, nonsense, and half a value.
    let ways: [(&str, Box<Act>); 5] = [
        ("silent", Box::new(|_, _| {})),
        ("cut", Box::new(|_, stream| stream.shutdown(std::net::Shutdown::Both).unwrap())),
        ("error", Box::new(|_, stream| refuse("XX000", "writer", stream))),
        ("nonsense", Box::new(|_, stream| stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap())),
        (
            "half",
            Box::new(|_, stream| {
                let mut out = Vec::new();
                pg::single_row(&mut out, "val", b"the value", "INSERT 0 1");
                stream.write_all(&out[..out.len() - 20]).unwrap();
                stream.shutdown(std::net::Shutdown::Both).unwrap();
            }),
        ),
    ];
    for (way, act) in ways {
        let member = Member::start(move |text, stream| match text {
            "SHOW usage" => honour(text, "writer", stream),
            _ => act(text, stream),
        });
        let driver = Driver::before(&[("a", &member)]);
        let mut client = Client::connect(driver.address);
        let said = client.ask(&order(3000));
        assert_eq!((&said.code[..], said.value), ("40003", None), "{way}");
        assert_eq!(member.tasks().len(), 1, "{way}");
        if way != "silent" {
            assert!(member.connections.load(Ordering::SeqCst) >= 1);
        }
    }
}

#[test]
fn a_launch_cut_before_its_last_byte_never_ran_and_goes_again() {
    // A narrow way: with small segments the statement cannot be handed to the system whole.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(64).unwrap();
    let cuts = Arc::new(AtomicUsize::new(0));
    let counted = cuts.clone();
    // The first two times that a task's beginning comes, the connection is cut.
    let bears = move |bytes: &[u8], welcomed: bool| {
        !welcomed || !bytes[5..].starts_with(b"/*") || counted.fetch_add(1, Ordering::SeqCst) >= 2
    };
    let member = Member::at(socket.into(), bears, |text, stream| honour(text, "writer", stream));
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    let large = order(15000).replace("9f", &"9f".repeat(60_000));
    assert!(honoured(&client.ask(&large)));
    assert!(cuts.load(Ordering::SeqCst) > 2);
    assert_eq!(member.tasks().len(), 1);
}

#[test]
fn a_drain_told_while_a_connection_opens_keeps_the_launch_back() {
    let (asked, hold) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
    let (seen_asked, seen_hold) = (asked.clone(), hold.clone());
    // The first member admits nobody until the list has told of its drain.
    let bears = move |_: &[u8], welcomed: bool| {
        seen_asked.store(true, Ordering::SeqCst);
        until("the drain", || welcomed || !seen_hold.load(Ordering::SeqCst));
        true
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let drained = Member::at(listener, bears, |text, stream| honour(text, "writer", stream));
    let primary = sound("writer");
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 256, &list(1, true, &[("a", &drained, "in_service")]));
    let mut client = Client::connect(driver.address);
    client.send(&look(15000));
    until("a connection", || asked.load(Ordering::SeqCst));
    discovery.say(list(2, false, &[("a", &drained, "terminating"), ("b", &primary, "in_service")]));
    until("the list", || driver.logged("revision: 2"));
    hold.store(false, Ordering::SeqCst);
    assert!(honoured(&client.answer().unwrap()));
    assert_eq!((drained.tasks().len(), primary.tasks().len()), (0, 1));
}

#[test]
fn values_of_full_size_on_every_connection_fit_into_the_memory() {
    let member = Member::start(|text, stream| {
        let mut out = Vec::new();
        pg::single_row(
            &mut out,
            "val",
            &vec![7; if text.starts_with("/*") { 65_536 } else { 0 }],
            "SELECT 1",
        );
        pg::parameter_status(&mut out, "server_role", "writer");
        pg::ready(&mut out);
        let _ = stream.write_all(&out);
    });
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 256, &list(1, true, &[("a", &member, "in_service")]));
    let large = || order(15000).replace("9f", &"9f".repeat(65_536));
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(driver.address)).collect();
    for _ in 0..3 {
        clients.iter_mut().for_each(|client| client.send(&large()));
        for client in &mut clients {
            let said = client.answer().unwrap();
            assert!(said.value.is_some_and(|value| value.len() == 65_536) || said.code == "53300");
        }
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", driver.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kilobytes: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    println!("at its highest {kilobytes} kB");
    assert!(kilobytes < 64 * 1024, "{kilobytes}");
}

#[test]
fn values_larger_than_they_are_said_to_be_are_passed_on_within_the_memory() {
    let member = Member::start(|text, stream| {
        let mut out = Vec::new();
        pg::single_row(
            &mut out,
            "val",
            &vec![7; if text.starts_with("/*") { 900_000 } else { 0 }],
            "SELECT 1",
        );
        pg::parameter_status(&mut out, "server_role", "writer");
        pg::ready(&mut out);
        let _ = stream.write_all(&out);
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(15000)));
    let whole =
        |client: &mut Client| client.answer().unwrap().value.is_some_and(|value| value.len() == 900_000);
    assert!(clients.iter_mut().all(whole));
    assert!(!driver.logged("nothing that can be used"));
}

#[test]
fn reads_go_past_a_member_that_fails_them() {
    let broken = Member::start(|_, stream| stream.shutdown(std::net::Shutdown::Both).unwrap());
    let primary = sound("writer");
    let driver = Driver::before(&[("a", &broken), ("b", &primary)]);
    let mut client = Client::connect(driver.address);
    for _ in 0..10 {
        assert!(honoured(&client.ask(&look(15000))));
    }
    until("the line on that member", || driver.logged("answers nothing that can be used"));
    let lines = driver
        .log
        .lock()
        .unwrap()
        .iter()
        .filter(|line| line.contains("answers nothing that can be used"))
        .count();
    assert_eq!(lines, 1, "once, not once a task");
}

#[test]
fn a_probe_that_finds_no_connection_in_time_is_no_sign_of_a_dead_process() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let refuses = || loop {
        thread::sleep(LONG);
    };
    let silent = Member::at(listener, move |_, _| refuses(), |_, _| {});
    let driver = Driver::before(&[("a", &silent)]);
    until("a second probe", || silent.connections.load(Ordering::SeqCst) >= 2);
    thread::sleep(Duration::from_millis(200));
    assert!(!driver.logged("symptom: Unconnected"));
}

#[test]
fn a_connection_that_breaks_alone_or_an_answer_that_cannot_be_read_costs_one_launch() {
    let member = Member::start(|text, stream| match text {
        text if text.contains("id=slow") => {
            thread::sleep(Duration::from_millis(300));
            honour(text, "writer", stream);
        }
        text if text.contains("id=cut") => stream.shutdown(std::net::Shutdown::Both).unwrap(),
        text if text.contains("id=noise") => stream.write_all(b"?\0\0what is this").unwrap(),
        text => honour(text, "writer", stream),
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(driver.address)).collect();
    // Both without another connection to that member and beside some.
    assert_eq!(clients[0].ask(&named(&order(15000), "cut")).code, "40003");
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&named(&order(15000), &format!("slow{number}")));
    }
    assert!(clients.iter_mut().all(|client| honoured(&client.answer().unwrap())));
    for bad in ["cut", "noise"] {
        assert_eq!(clients[0].ask(&named(&order(15000), bad)).code, "40003");
        assert!(honoured(&clients[0].ask(&order(15000))));
    }
    assert!(!driver.logged("member lost"), "the member stood all the while");
}

#[test]
fn a_new_connection_that_breaks_is_no_death_and_a_refused_one_is() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    // Two of three connections break at their opening.
    let bears = move |_: &[u8], welcomed: bool| welcomed || count.fetch_add(1, Ordering::SeqCst) % 3 == 2;
    let act = |text: &str, stream: &mut TcpStream| {
        honour(text, "writer", stream);
        stream.shutdown(std::net::Shutdown::Both).unwrap();
    };
    let member = Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), bears, act);
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    for _ in 0..10 {
        let said = client.ask(&order(15000));
        assert!(honoured(&said), "{said:?}");
    }
    assert!(opened.load(Ordering::SeqCst) >= 30 && !driver.logged("member lost"));
}

#[test]
fn a_connection_closed_as_idle_leaves_what_crossed_that_unread() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&look(15000))));
    assert!(client.ended(), "idle for long");
    // It is gone as a whole, so that a statement written now is known not to be taken.
    client.send(&look(15000));
    until("the reset", || client.stream.take_error().unwrap().is_some());
}

#[test]
fn what_comes_behind_an_answer_is_never_taken_for_the_next_one() {
    let member = Member::start(move |text, stream| {
        honour(text, "writer", stream);
        if text.starts_with("/*") {
            // Late enough for the next statement to be decided on.
            thread::sleep(Duration::from_millis(2));
            let mut out = Vec::new();
            pg::single_row(&mut out, "val", b"a stray value", "SELECT 1");
            pg::ready(&mut out);
            let _ = stream.write_all(&out);
        }
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    for _ in 0..100 {
        assert!(honoured(&client.ask(&look(15000))));
    }
    assert!(!driver.logged("member lost"));
}

#[test]
fn lengths_that_claim_too_much_are_noticed_before_the_time_limit() {
    let whole = |value: &[u8]| {
        let mut out = Vec::new();
        pg::single_row(&mut out, "val", value, "SELECT 1");
        pg::ready(&mut out);
        out
    };
    let member = Member::start(move |text, stream| {
        let mut out = whole(b"the value");
        let row = out.iter().position(|&byte| byte == b'D').unwrap();
        if text.contains("id=long") {
            // Row and value both claim 200 bytes more than there are.
            (out[row + 4], out[row + 10]) = (out[row + 4] + 200, out[row + 10] + 200);
        } else if text.contains("id=huge") {
            out[row + 1..row + 5].copy_from_slice(&[0xc0, 0, 0, 0]);
        } else if text.contains("id=short") {
            out[row + 10] -= 3;
        }
        let _ = stream.write_all(&out);
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&look(15000))));
    for bad in ["long", "huge", "short"] {
        let start = Instant::now();
        let said = client.ask(&named(&look(19000), bad));
        assert!(said.value.is_none() && start.elapsed() < Duration::from_secs(15), "{bad}: {said:?}");
        assert!(honoured(&client.ask(&look(15000))), "{bad}");
    }
}

#[test]
fn an_id_under_way_is_an_error_and_leaves_its_task_alone() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") {
            thread::sleep(Duration::from_millis(300));
        }
        honour(text, "writer", stream);
    });
    let driver = Driver::before(&[("a", &member)]);
    let (mut first, mut second) = (Client::connect(driver.address), Client::connect(driver.address));
    let statement = order(15000);
    first.send(&statement);
    until("the launch", || member.tasks().len() == 1);
    assert_eq!(second.ask(&statement).code, "08P01");
    assert!(honoured(&first.answer().unwrap()));
    assert_eq!(member.tasks().len(), 1);
}

#[test]
fn connections_that_never_ask_are_closed_soon_and_give_way_at_once() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let driver = Driver::start(&discovery, 64, &list(1, true, &[("a", &member, "in_service")]));
    let mut usual = Client::connect(driver.address);
    assert!(honoured(&usual.ask(&look(15000))));
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
        assert!(honoured(&Client::connect(driver.address).ask(&look(15000))), "there is room at once");
    }
    assert!(honoured(&usual.ask(&look(15000))), "who was served before is not the first to go");
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
        assert!(honoured(&client.ask(&look(15000))), "{number}");
        kept.push(client);
        if number == 70 {
            // Long before it would be closed for having stood idle.
            kept[0].stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
            assert!(matches!(kept[0].stream.read(&mut [0]), Ok(0)));
            assert!(honoured(&kept[69].ask(&look(15000))));
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
    assert!(honoured(&Client::connect(driver.address).ask(&look(15000))));
}

#[test]
fn told_to_read_its_configuration_anew_it_follows_discovery_to_its_new_address() {
    let (old, new) = (sound("writer"), sound("writer"));
    let (first, second) = (Discovery::default(), Discovery::default());
    first.say(list(1, true, &[("a", &old, "in_service")]));
    let told = list(1, true, &[("a", &old, "in_service")]);
    let mut driver = Driver::of(&config(first.start(), 256, &told));
    let mut client = Client::connect(driver.address);
    assert!(honoured(&client.ask(&look(15000))));
    let whole = config(second.start(), 256, &told);
    // A file that is half written, or gone, changes nothing.
    std::fs::write(&driver.config, &whole[..whole.len() / 2]).unwrap();
    driver.signal("-HUP");
    until("the line on the half file", || driver.logged("configuration not read"));
    std::fs::write(&driver.config, whole.replace("\"n0\"", "\"n1\"")).unwrap();
    second.say(list(2, false, &[("a", &old, "terminating"), ("b", &new, "in_service")]));
    driver.signal("-HUP");
    driver.signal("-HUP");
    let mut client = Client::connect(driver.address);
    until("a task at the member that only the new address names", || {
        assert!(honoured(&client.ask(&look(15000))));
        !new.tasks().is_empty()
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
            honour(text, "writer", stream);
        }
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(driver.address)).collect();
    clients.iter_mut().for_each(|client| client.send(&look(15000)));
    assert!(clients.iter_mut().all(|client| honoured(&client.answer().unwrap())));
    vanished.store(true, Ordering::SeqCst);
    let mut silent = 0;
    until("an answer over a new connection", || {
        let honoured = honoured(&clients[0].ask(&order(1000)));
        silent += usize::from(!honoured);
        honoured
    });
    assert!(silent <= 2, "{silent}");
}

#[test]
fn a_client_that_leaves_costs_nothing_but_its_own_task() {
    let member = Member::start(|text, stream| {
        if text.contains("id=5") {
            thread::sleep(Duration::from_millis(300));
        }
        honour(text, "writer", stream);
    });
    let driver = Driver::before(&[("a", &member)]);
    let slow = named(&look(15000), "5");
    let mut gone = Client::connect(driver.address);
    gone.send(&slow);
    until("the launch", || member.tasks().len() == 1);
    drop(gone);
    let mut client = Client::connect(driver.address);
    for _ in 0..5 {
        assert!(honoured(&client.ask(&look(15000))));
    }
    assert_eq!(member.tasks().len(), 6);
}

#[test]
fn told_to_stop_it_answers_what_it_took_and_ends_well() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") {
            thread::sleep(Duration::from_millis(400));
        }
        honour(text, "writer", stream);
    });
    let mut driver = Driver::before(&[("a", &member)]);
    let mut busy: Vec<Client> = (0..4).map(|_| Client::connect(driver.address)).collect();
    let mut idle = Client::connect(driver.address);
    assert!(honoured(&idle.ask(&look(15000))));
    let mut fresh = Client::connect(driver.address);
    busy.iter_mut().for_each(|client| client.send(&look(15000)));
    until("the launches", || member.tasks().len() == 5);
    let told = Instant::now();
    driver.signal("-TERM");
    assert!(idle.ended());
    // Who had no answer yet is still served for a while; on a machine too slow for that nothing is claimed.
    let mut out = Vec::new();
    pg::query(&mut out, &[look(15000).as_bytes()]);
    let served = fresh.stream.write_all(&out).is_ok() && fresh.answer().is_some_and(|said| honoured(&said));
    assert!(served || told.elapsed() > Duration::from_millis(500));
    assert!(fresh.ended());
    for client in &mut busy {
        assert!(honoured(&client.answer().unwrap()));
        assert!(client.ended());
    }
    assert!(driver.child.wait().unwrap().success());
    assert!(driver.logged("stopped"));
}

#[test]
fn a_planned_restart_under_traffic_loses_no_task() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") {
            thread::sleep(Duration::from_millis(30));
        }
        honour(text, "writer", stream);
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
                pg::startup(&mut bytes, "client", "core");
                let statement = if number.is_multiple_of(2) { look(15000) } else { order(15000) };
                pg::query(&mut bytes, &[statement.as_bytes()]);
                if client.stream.write_all(&bytes).is_err() {
                    continue;
                }
                let said = client.answer().and_then(|_| client.answer());
                // What comes late in the stop may find the door closed.
                let late =
                    told.lock().unwrap().is_some_and(|told| told.elapsed() > Duration::from_millis(400));
                assert!(said.as_ref().is_some_and(honoured) || late, "{said:?}");
                // On a connection in use an end between tasks is allowed, half an answer or an error is not.
                while said.is_some() && !over.load(Ordering::SeqCst) {
                    let mut query = Vec::new();
                    pg::query(&mut query, &[statement.as_bytes()]);
                    let Some(said) = client.stream.write_all(&query).ok().and_then(|()| client.answer())
                    else {
                        break;
                    };
                    assert!(honoured(&said), "{said:?}");
                    answers += 1;
                }
            }
            answers
        })
    };
    let clients: Vec<_> = (0..8).map(traffic).collect();
    until("traffic", || member.tasks().len() > 50);
    *told.lock().unwrap() = Some(Instant::now());
    driver.signal("-TERM");
    assert!(driver.child.wait().unwrap().success());
    let before = member.tasks().len();
    let again = Driver::at(address, &config);
    until("traffic again", || member.tasks().len() > before + 50);
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
    assert!(clients.iter_mut().all(|client| honoured(&client.ask(&order(15000)))));
    driver.child.kill().unwrap();
    driver.child.wait().unwrap();
    let again = Driver::at(driver.address, &config);
    assert!(clients.iter_mut().all(Client::ended));
    assert!(honoured(&Client::connect(again.address).ask(&order(15000))));
}

#[test]
fn clients_over_their_share_are_told_and_idle_ones_make_room() {
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") && text.contains("id=5") {
            thread::sleep(Duration::from_secs(2));
        }
        honour(text, "writer", stream);
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
    // With a task under way on each, the next is told that there is no room.
    for (number, client) in open.iter_mut().enumerate() {
        client.send(&named(&look(15000), &format!("5{number}")));
    }
    let mut more = Client::bare(driver.address);
    let mut hello = Vec::new();
    pg::startup(&mut hello, "client", "core");
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
            honour(text, "reader", stream);
        })
    };
    let (first, second) = (slow(), slow());
    let discovery = Discovery::default();
    let members = [("a2", &first, "in_service"), ("b3", &second, "in_service")];
    let driver = Driver::start(&discovery, 64, &list(1, true, &members));
    let mut clients: Vec<Client> = (0..10).map(|_| Client::connect(driver.address)).collect();
    for group in ["cluster=2", "cluster=3", "cluster=2"] {
        clients.iter_mut().for_each(|client| client.send(&look(15000).replace("cluster=2", group)));
        assert!(clients.iter_mut().all(|client| honoured(&client.answer().unwrap())), "{group}");
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
    let ask = |client: &mut Client| (0..20).all(|_| honoured(&client.ask(&look(15000))));
    assert!(ask(&mut client));
    until("counts", || driver.logged("settings on trial") && driver.logged("not_probed="));
    let operator = driver.operator.clone().unwrap();
    // Settings that cannot be read: the counts go on, and so does service.
    std::fs::write(&operator, trial("{")).unwrap();
    driver.signal("-HUP");
    until("the line on the bad file", || driver.logged("configuration not read"));
    assert!(driver.logged("trial.settings: "));
    assert!(ask(&mut client));
    std::fs::write(&operator, "{}").unwrap();
    driver.signal("-HUP");
    until("the line on the good file", || driver.logged("configuration read anew"));
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
        why.contains("trial.settings: ") && why.contains("categories") && why.lines().count() == 1,
        "{why}"
    );
}
