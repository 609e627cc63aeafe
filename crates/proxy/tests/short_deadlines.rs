//! Requests with 5 to 50 ms left, over loopback: each has its one answer in time, nothing is sent for it with no time
//! left, and a member that drops such statements without a word is not blamed for that.

use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, sound};

/// What a final answer may be late by and still count, less the delays of a busy machine.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(400);

/// The time that a statement tells its member, in milliseconds.
fn stated_deadline_ms(statement: &str) -> u32 {
    let digits = statement.split_once(",d=").expect("a time").1.split(',').next();
    digits.and_then(|digits| digits.parse().ok()).expect("a number")
}

/// Asks for 5 to 50 ms, over and over; says how many were served.
fn ask_with_short_deadlines(client: &mut Client) -> usize {
    let mut served_count = 0;
    for deadline_ms in (1..=50).chain((5..=50).rev()) {
        for statement in [look(deadline_ms), order(deadline_ms)] {
            let sent_at = Instant::now();
            client.send(&statement);
            let response = client.answer().expect("its one answer");
            let limit = Duration::from_millis(deadline_ms.into()) + LATENESS_TOLERANCE;
            assert!(sent_at.elapsed() < limit, "{deadline_ms} ms: {:?}, {response:?}", sent_at.elapsed());
            assert!(
                served(&response) || ["53300", "40003"].contains(&response.code.as_str()),
                "{response:?}"
            );
            served_count += usize::from(served(&response));
        }
    }
    served_count
}

#[test]
fn requests_with_short_deadlines_are_answered_in_time_and_never_sent_with_no_time_left() {
    let member = Member::start(|text, stream| serve(text, "writer", stream));
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    // By then it is known how quick the member is.
    for _ in 0..60 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    let requests_before = member.requests().len();
    let served_count = ask_with_short_deadlines(&mut client);
    let sent = &member.requests()[requests_before..];
    assert!(served_count > 0 && sent.len() >= served_count, "{served_count} served of {} sent", sent.len());
    assert!(sent.iter().all(|request| (1..=50).contains(&stated_deadline_ms(request))), "{sent:?}");
}

#[test]
fn the_deadline_given_to_a_member_is_shorter_than_the_time_left() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let margin_ms = 10;
    for _ in 0..20 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    assert!(
        member.requests().iter().all(|request| stated_deadline_ms(request) <= 5000 - margin_ms),
        "{:?}",
        member.requests()
    );
}

#[test]
fn a_member_that_silently_drops_requests_with_short_deadlines_serves_the_others() {
    let member = Member::start(|text, stream| {
        if !text.starts_with("/*") || stated_deadline_ms(text) > 50 {
            serve(text, "writer", stream);
        }
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    for _ in 0..60 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    assert_eq!(ask_with_short_deadlines(&mut client), 0);
    for _ in 0..10 {
        for statement in [look(5000), order(5000)] {
            let start = Instant::now();
            let response = client.ask(&statement);
            assert!(served(&response), "{response:?} after {:?}", start.elapsed());
            assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
        }
    }
    assert!(!proxy.logged("member lost"));
}
