//! Requests with 5 to 50 ms left, over loopback: each has its one answer in time, nothing is sent for it with no time
//! left, and a member that drops such statements without a word is not blamed for that.

use std::time::{Duration, Instant};

use aldermill_stand_ins::{Client, Driver, Member, honour, honoured, look, order, sound};

/// What a final answer may be late by and still count, less the delays of a busy machine.
const LATE: Duration = Duration::from_millis(400);

/// The time that a statement tells its member, in milliseconds.
fn told(statement: &str) -> u32 {
    let digits = statement.split_once(",d=").expect("a time").1.split(',').next();
    digits.and_then(|digits| digits.parse().ok()).expect("a number")
}

/// Asks for 5 to 50 ms, over and over; says how many were served.
fn hurry(client: &mut Client) -> usize {
    let mut served = 0;
    for wait in (1..=50).chain((5..=50).rev()) {
        for statement in [look(wait), order(wait)] {
            let sent = Instant::now();
            client.send(&statement);
            let said = client.answer().expect("its one answer");
            let limit = Duration::from_millis(wait.into()) + LATE;
            assert!(sent.elapsed() < limit, "{wait} ms: {:?}, {said:?}", sent.elapsed());
            assert!(honoured(&said) || ["53300", "40003"].contains(&said.code.as_str()), "{said:?}");
            served += usize::from(honoured(&said));
        }
    }
    served
}

#[test]
fn requests_with_little_time_left_are_answered_in_it_and_never_sent_with_none() {
    let member = Member::start(|text, stream| honour(text, "writer", stream));
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    // By then it is known how quick the member is.
    for _ in 0..60 {
        assert!(honoured(&client.ask(&look(5000))) && honoured(&client.ask(&order(5000))));
    }
    let before = member.tasks().len();
    let served = hurry(&mut client);
    let sent = &member.tasks()[before..];
    assert!(served > 0 && sent.len() >= served, "{served} served of {} sent", sent.len());
    assert!(sent.iter().all(|task| (1..=50).contains(&told(task))), "{sent:?}");
}

#[test]
fn a_member_is_told_less_than_is_left_so_that_a_process_held_up_tells_not_too_much() {
    let member = sound("writer");
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    let reserve = 10;
    for _ in 0..20 {
        assert!(honoured(&client.ask(&look(5000))) && honoured(&client.ask(&order(5000))));
    }
    assert!(member.tasks().iter().all(|task| told(task) <= 5000 - reserve), "{:?}", member.tasks());
}

#[test]
fn a_member_that_drops_hurried_requests_without_a_word_serves_the_others() {
    let member = Member::start(|text, stream| {
        if !text.starts_with("/*") || told(text) > 50 {
            honour(text, "writer", stream);
        }
    });
    let driver = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(driver.address);
    for _ in 0..60 {
        assert!(honoured(&client.ask(&look(5000))) && honoured(&client.ask(&order(5000))));
    }
    assert_eq!(hurry(&mut client), 0);
    for _ in 0..10 {
        for statement in [look(5000), order(5000)] {
            let start = Instant::now();
            let said = client.ask(&statement);
            assert!(honoured(&said), "{said:?} after {:?}", start.elapsed());
            assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
        }
    }
    assert!(!driver.logged("member lost"));
}
