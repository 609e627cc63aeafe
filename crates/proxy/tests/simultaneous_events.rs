//! Two events in one turn of the event loop, over loopback: the program is suspended (SIGSTOP) while both happen, and
//! finds both when it continues, in the order in which they came.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Hold, Member, config, delivered, list, look, named, order, serve, served,
    sound, until,
};

/// Long enough for the program to notice the stall, and for discovery to send what it has.
const STALL: Duration = Duration::from_millis(200);

/// A member that waits at `hold` before it responds, and reports the role that it has by then. `given` is set once the
/// proxy's kernel has the whole response.
fn held_member(hold: &Hold, is_replica: &Arc<AtomicBool>, response_delivered: &Arc<AtomicBool>) -> Member {
    let (hold, is_replica, response_delivered) =
        (hold.clone(), is_replica.clone(), response_delivered.clone());
    Member::start(move |text, stream| {
        hold.pass();
        serve(text, if is_replica.load(Ordering::SeqCst) { "reader" } else { "writer" }, stream);
        delivered(stream);
        response_delivered.store(true, Ordering::SeqCst);
    })
}

/// A proxy before this member that learns of its role by responses alone; reads must see everything committed before.
fn start_proxy(member: &Member) -> Driver {
    let initial_list = list(1, true, &[("a", member, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(initial_list.clone());
    let config = config(discovery.start(), 256, &initial_list)
        .replace(r#""probes":true"#, r#""probes":false"#)
        .replace(r#"["loose","#, r#"["latest","#);
    Driver::of(&config)
}

#[test]
fn a_read_that_arrives_with_the_demotion_of_its_primary_is_not_sent_there() {
    let (hold, is_replica, response_delivered) = (Hold::default(), Arc::default(), Arc::default());
    let member = held_member(&hold, &is_replica, &response_delivered);
    let proxy = start_proxy(&member);
    let (mut first, mut second) = (Client::connect(proxy.address), Client::connect(proxy.address));
    for round in 0..5 {
        is_replica.store(false, Ordering::SeqCst);
        until("the primary's report", || served(&first.ask(&order(2000))));
        assert!(served(&first.ask(&look(2000))) && served(&second.ask(&look(2000))));
        hold.close();
        first.send(&named(&look(2000), &format!("word{round}")));
        hold.reached();
        proxy.signal("-STOP");
        response_delivered.store(false, Ordering::SeqCst);
        is_replica.store(true, Ordering::SeqCst);
        hold.open();
        until("the demotion", || response_delivered.load(Ordering::SeqCst));
        // The router is asked about this read before it hears of the demotion, which the member's actor has by then.
        second.send(&named(&look(1000), &format!("read{round}")));
        delivered(&second.stream);
        proxy.signal("-CONT");
        assert!(first.answer().is_some());
        let response = second.answer().expect("its one answer");
        assert_eq!(response.code, "53300", "nobody is left who may answer it: {response:?}");
        let id = format!("id=read{round},");
        assert!(member.requests().iter().all(|request| !request.contains(&id)), "rule 5: asked as a replica");
    }
}

#[test]
fn a_response_that_arrives_at_its_deadline_counts() {
    let (hold, is_replica, response_delivered) = (Hold::default(), Arc::default(), Arc::default());
    let member = held_member(&hold, &is_replica, &response_delivered);
    let proxy = start_proxy(&member);
    let mut client = Client::connect(proxy.address);
    until("the primary's report", || served(&client.ask(&order(2000))));
    // After these the member is known to be fast: a request with little time left is worth an attempt.
    for _ in 0..60 {
        assert!(served(&client.ask(&look(2000))) && served(&client.ask(&order(2000))));
    }
    for statement in [order, look] {
        hold.close();
        let wait = Duration::from_millis(400);
        let sent = Instant::now();
        client.send(&statement(wait.as_millis() as u32));
        hold.reached();
        proxy.signal("-STOP");
        let suspended_in_time = sent.elapsed() < wait / 2;
        response_delivered.store(false, Ordering::SeqCst);
        hold.open();
        until("the answer", || response_delivered.load(Ordering::SeqCst));
        // Both are there when it continues: the response, and the deadline.
        thread::sleep((sent + wait).saturating_duration_since(Instant::now()));
        proxy.signal("-CONT");
        let response = client.answer().expect("its one answer");
        assert!(served(&response) || !suspended_in_time, "{response:?}");
    }
}

/// Of two endpoint lists that arrived during a stall the older one was applied last, so that a member that had moved was asked
/// at its former address again, and one that drains got new requests until the next list. The log of such a run had
/// `revision: 1` behind `revision: 2`, both right after `process stalled`.
#[test]
fn lists_that_arrive_during_a_stall_are_applied_in_order() {
    const ROUNDS: u64 = 6;
    let (draining, added) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    let first_list = list(1, true, &[("a", &draining, "in_service")]);
    discovery.say(first_list.clone());
    let proxy = Driver::start(&discovery, 256, &first_list);
    until("the watch", || discovery.requests.lock().unwrap().len() == 1);
    // Traffic, so that the stall mostly begins while the program runs: it then finds the lists before its timers.
    let (address, stop) = (proxy.address, Arc::new(AtomicBool::new(false)));
    let send_requests = |_| {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut client = Client::connect(address);
            while !stop.load(Ordering::SeqCst) {
                assert!(served(&client.ask(&look(15000))));
            }
        })
    };
    let clients: Vec<_> = (0..4).map(send_requests).collect();
    for round in 0..ROUNDS {
        let older_revision = 2 + 2 * round;
        proxy.signal("-STOP");
        discovery.say(list(older_revision, true, &[("a", &draining, "in_service")]));
        discovery.say(list(
            older_revision + 1,
            true,
            &[("a", &draining, "terminating"), ("b", &added, "in_service")],
        ));
        thread::sleep(STALL);
        proxy.signal("-CONT");
        let applied = |revision: u64| proxy.logged(&format!("revision: {revision}"));
        until("both lists", || applied(older_revision) && applied(older_revision + 1));
        // What was under way when the lists were applied has its answer, too.
        let mut client = Client::connect(proxy.address);
        assert!((0..20).all(|_| served(&client.ask(&look(15000)))));
        let requests_before = draining.requests().len();
        assert!((0..20).all(|_| served(&client.ask(&look(15000)))));
        assert_eq!(draining.requests().len(), requests_before, "round {round}: asked though it drains");
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
}
