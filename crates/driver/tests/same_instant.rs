//! Two events in one turn of the program, over loopback: it is stopped by the system while both come, and finds both when
//! it goes on, in the order in which they came.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_stand_ins::{
    Client, Discovery, Driver, Hold, Member, config, delivered, honour, honoured, list, look, named, order,
    until,
};

/// A member that waits at `hold` with its answer, and says which role it has when it gives it. `given` is set once the
/// program's system has the whole answer.
fn holding(hold: &Hold, replica: &Arc<AtomicBool>, given: &Arc<AtomicBool>) -> Member {
    let (hold, replica, given) = (hold.clone(), replica.clone(), given.clone());
    Member::start(move |text, stream| {
        hold.pass();
        honour(text, if replica.load(Ordering::SeqCst) { "reader" } else { "writer" }, stream);
        delivered(stream);
        given.store(true, Ordering::SeqCst);
    })
}

/// A proxy before this member, which hears of its role by answers alone; reads must see all that was committed before.
fn before(member: &Member) -> Driver {
    let known = list(1, true, &[("a", member, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(known.clone());
    let config = config(discovery.start(), 256, &known)
        .replace(r#""probes":true"#, r#""probes":false"#)
        .replace(r#"["loose","#, r#"["latest","#);
    Driver::of(&config)
}

#[test]
fn a_read_that_comes_with_its_primarys_word_that_it_is_a_replica_is_not_sent_there() {
    let (hold, replica, given) = (Hold::default(), Arc::default(), Arc::default());
    let member = holding(&hold, &replica, &given);
    let driver = before(&member);
    let (mut first, mut second) = (Client::connect(driver.address), Client::connect(driver.address));
    for round in 0..5 {
        replica.store(false, Ordering::SeqCst);
        until("the primary's word", || honoured(&first.ask(&order(2000))));
        assert!(honoured(&first.ask(&look(2000))) && honoured(&second.ask(&look(2000))));
        hold.close();
        first.send(&named(&look(2000), &format!("word{round}")));
        hold.reached();
        driver.signal("-STOP");
        given.store(false, Ordering::SeqCst);
        replica.store(true, Ordering::SeqCst);
        hold.open();
        until("the word", || given.load(Ordering::SeqCst));
        // The router hears of this read before it hears of the word, which the member's actor has by then.
        second.send(&named(&look(1000), &format!("read{round}")));
        delivered(&second.stream);
        driver.signal("-CONT");
        assert!(first.answer().is_some());
        let said = second.answer().expect("its one answer");
        assert_eq!(said.code, "53300", "nobody is left who may answer it: {said:?}");
        let id = format!("id=read{round},");
        assert!(member.tasks().iter().all(|task| !task.contains(&id)), "rule 5: asked as a replica");
    }
}

#[test]
fn an_answer_that_comes_in_the_instant_of_its_time_limit_counts() {
    let (hold, replica, given) = (Hold::default(), Arc::default(), Arc::default());
    let member = holding(&hold, &replica, &given);
    let driver = before(&member);
    let mut client = Client::connect(driver.address);
    until("the primary's word", || honoured(&client.ask(&order(2000))));
    // By then it is known how quick the member is: a request with so little time is worth an attempt.
    for _ in 0..60 {
        assert!(honoured(&client.ask(&look(2000))) && honoured(&client.ask(&order(2000))));
    }
    for statement in [order, look] {
        hold.close();
        let wait = Duration::from_millis(400);
        let sent = Instant::now();
        client.send(&statement(wait.as_millis() as u32));
        hold.reached();
        driver.signal("-STOP");
        let in_time = sent.elapsed() < wait / 2;
        given.store(false, Ordering::SeqCst);
        hold.open();
        until("the answer", || given.load(Ordering::SeqCst));
        // Both are there when it goes on: the answer, and the end of the time limit.
        thread::sleep((sent + wait).saturating_duration_since(Instant::now()));
        driver.signal("-CONT");
        let said = client.answer().expect("its one answer");
        assert!(honoured(&said) || !in_time, "{said:?}");
    }
}
