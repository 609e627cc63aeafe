//! Tests, over loopback, of two events in one iteration of the event loop: the proxy is suspended (SIGSTOP)
//! while both occur, and finds both when it continues, in the order in which they arrived.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    Client, Discovery, Driver, Hold, Member, config, delivered, list, look, named, order, serve, served,
    sound, until,
};

/// Long enough for the proxy to notice the stall, and for discovery to send the lists that it has.
const STALL: Duration = Duration::from_millis(200);

/// Starts a member that waits at `hold` before it responds, and reports the role that it has after the wait.
/// `response_delivered` is set once the proxy's kernel has the whole response.
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

/// Starts a proxy for this member that learns the member's role only from responses, because it sends no
/// health checks. Reads must see everything that was committed before them.
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
        until("the primary's first response", || served(&first.ask(&order(2000))));
        assert!(served(&first.ask(&look(2000))) && served(&second.ask(&look(2000))));
        hold.close();
        first.send(&named(&look(2000), &format!("demotion{round}")));
        hold.reached();
        proxy.signal("-STOP");
        response_delivered.store(false, Ordering::SeqCst);
        is_replica.store(true, Ordering::SeqCst);
        hold.open();
        until("the demotion", || response_delivered.load(Ordering::SeqCst));
        // The router decides on this read before it learns of the demotion, which the member's actor knows by
        // then.
        second.send(&named(&look(1000), &format!("read{round}")));
        delivered(&second.stream);
        proxy.signal("-CONT");
        assert!(first.answer().is_some());
        let response = second.answer().expect("a response");
        assert_eq!(response.code, "53300", "no member may serve the read: {response:?}");
        let id = format!("id=read{round},");
        assert!(
            member.requests().iter().all(|request| !request.contains(&id)),
            "rule 5: a read was sent to a replica"
        );
    }
}

#[test]
fn a_response_that_arrives_at_its_deadline_counts() {
    let (hold, is_replica, response_delivered) = (Hold::default(), Arc::default(), Arc::default());
    let member = held_member(&hold, &is_replica, &response_delivered);
    let proxy = start_proxy(&member);
    let mut client = Client::connect(proxy.address);
    until("the primary's first response", || served(&client.ask(&order(2000))));
    // These requests show that the member is fast, so that a request with little time left is attempted.
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
        until("the response", || response_delivered.load(Ordering::SeqCst));
        // When the proxy continues, the response has arrived and the deadline has passed.
        thread::sleep((sent + wait).saturating_duration_since(Instant::now()));
        proxy.signal("-CONT");
        let response = client.answer().expect("a response");
        assert!(served(&response) || !suspended_in_time, "{response:?}");
    }
}

/// Guards against applying the older of two endpoint lists last if both arrived during a stall. A member that
/// had moved was then sent requests at its former address again, and a draining member got new requests until
/// the next list. The log of such a run had `revision: 1` after `revision: 2`, both right after
/// `process stalled`.
#[test]
fn lists_that_arrive_during_a_stall_are_applied_in_order() {
    const ROUNDS: u64 = 6;
    let (draining, added) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    let first_list = list(1, true, &[("a", &draining, "in_service")]);
    discovery.say(first_list.clone());
    let proxy = Driver::start(&discovery, 256, &first_list);
    until("the discovery watch", || discovery.requests.lock().unwrap().len() == 1);
    // With this traffic, the stall mostly begins while the proxy is running: it then finds the lists before
    // its timers.
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
        // Once these are answered, so are the requests that were in flight when the lists were applied.
        let mut client = Client::connect(proxy.address);
        assert!((0..20).all(|_| served(&client.ask(&look(15000)))));
        let requests_before = draining.requests().len();
        assert!((0..20).all(|_| served(&client.ask(&look(15000)))));
        assert_eq!(
            draining.requests().len(),
            requests_before,
            "round {round}: a draining member was sent a request"
        );
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
}
